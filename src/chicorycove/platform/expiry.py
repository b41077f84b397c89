"""Leases that are shared by keys which expire at about the same time."""

import asyncio
import math

from ..command import StoreSwap
from ..event import Unavailable
from ..exceptions import LeaseLost, PlatformError
from .store import Store, SwapResult

SPAN = 3600.0  # seconds; keys that expire in one span share a lease
NO_LEASE_PAUSE = 5.0  # seconds without another try after a failure


class ExpiringWriter:
    """Writes keys that the store drops within a span of their expiry.

    A lease costs a call to the store only once a span.  While there is none
    to be had, keys are written without one: a claim that stays is better
    than a call that is refused.
    """

    def __init__(self, store: Store) -> None:
        self._store = store
        self._leases: dict[int, int] = {}
        self._granting = asyncio.Lock()
        self._paused_until = 0.0

    async def swap(self, command: StoreSwap, now: float) -> SwapResult:
        """Carry a write out; now is in seconds since the epoch."""
        lease = None
        if command.expires is not None:
            lease = await self._lease(command.expires, now)
        try:
            return await self._store.swap(
                command.key, command.version, command.value, lease
            )
        except LeaseLost:
            self._leases.clear()
            return Unavailable()

    async def _lease(self, expires: float, now: float) -> int | None:
        span = math.ceil(expires / SPAN)
        async with self._granting:
            if span not in self._leases and now >= self._paused_until:
                await self._grant(span, now)
        return self._leases.get(span)

    async def _grant(self, span: int, now: float) -> None:
        try:
            lease = await self._store.grant((span + 1) * SPAN - now)
        except PlatformError:
            self._paused_until = now + NO_LEASE_PAUSE
            return
        self._leases = {
            old: held for old, held in self._leases.items() if old * SPAN > now
        }
        self._leases[span] = lease
