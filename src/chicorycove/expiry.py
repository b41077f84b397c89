"""Leases that let the store drop values some time after they expire."""

import asyncio
import dataclasses

from .backing.store import Store
from .clock import Clock

PERIOD = 3600.0  # seconds for which a lease is shared by new values


@dataclasses.dataclass(frozen=True, slots=True)
class _Shared:
    """A lease and when it ends; times are in seconds."""

    lease: int
    ends: float


class ExpiryLeases:
    """Shares one lease among many values, so that few are granted.

    A value outlives its expiry by the period at most.
    """

    def __init__(self, store: Store, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._shared: _Shared | None = None
        self._lock = asyncio.Lock()

    async def covering(self, expires: float) -> int:
        """Return a lease that lasts until a time at least.

        :raises StoreUnavailable: if none could be granted
        :raises StoreUnknown: if none is known to be granted
        """
        async with self._lock:
            if self._shared is None or self._shared.ends < expires:
                self._shared = await self._grant(expires)
            return self._shared.lease

    def forget(self, lease: int) -> None:
        """Drop a lease that the store no longer has."""
        if self._shared is not None and self._shared.lease == lease:
            self._shared = None

    async def _grant(self, expires: float) -> _Shared:
        asked_at = self._clock.now()
        ttl = max(expires - asked_at, 0.0) + PERIOD
        lease = await self._store.grant(ttl)
        return _Shared(lease, asked_at + ttl)
