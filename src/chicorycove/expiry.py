"""Leases by which the store deletes values some time after they expire."""

import asyncio
import dataclasses

from .backing.store import Store
from .clock import Clock

SHARING_PERIOD = 3600.0  # seconds for which new values share a lease


@dataclasses.dataclass(frozen=True, slots=True)
class _SharedLease:
    """A lease and its end, in seconds since the epoch."""

    lease: int
    expires_at: float


class ExpiryLeases:
    """Shares one lease among many values, so that few are granted.

    A value is deleted at most :data:`SHARING_PERIOD` after its expiry.
    """

    def __init__(self, store: Store, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._shared: _SharedLease | None = None
        self._lock = asyncio.Lock()

    async def lease_until(self, expiry: float) -> int:
        """Return a lease that lasts at least until a time.

        :raises StoreUnavailable: if no lease was granted
        :raises StoreUnknown: if a lease may have been granted
        """
        async with self._lock:
            if self._shared is None or self._shared.expires_at < expiry:
                self._shared = await self._grant(expiry)
            return self._shared.lease

    def discard(self, lease: int) -> None:
        """Stop sharing a lease that the store no longer has."""
        if self._shared is not None and self._shared.lease == lease:
            self._shared = None

    async def _grant(self, expiry: float) -> _SharedLease:
        requested_at = self._clock.now()
        ttl = max(expiry - requested_at, 0.0) + SHARING_PERIOD
        lease = await self._store.grant(ttl)
        return _SharedLease(lease, requested_at + ttl)
