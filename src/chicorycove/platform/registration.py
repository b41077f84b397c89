"""Keeps this entry registered in the platform's store."""

import asyncio
import random
import typing as t

from ..direct.linelog import LineLog
from ..exceptions import LeaseLost, PlatformError
from .store import Lease, Store

LEASE_DURATION = 6.0  # seconds that an entry is listed without a renewal
RENEWALS_PER_LEASE = 3  # so that two may fail
# Seconds, random, until an entry is registered with a restored store, so that
# entries do not write at once.
MAX_REGISTRATION_DELAY = 1.0


class Registration:
    """Writes a key under a lease, and renews the lease."""

    def __init__(
        self,
        store: Store,
        log: LineLog,
        rng: random.Random,
        on_later_era: t.Callable[[], None],
    ) -> None:
        """Call back when the store names a later era than the one entered."""
        self._store = store
        self._log = log
        self._random = rng
        self._on_later_era = on_later_era
        self._era: int | None = None  # of the newest list
        self._era_changed = asyncio.Event()

    def enter_era(self, era: int) -> None:
        """Write the key again, which a restored store may lack."""
        if self._era is not None and era != self._era:
            self._era_changed.set()
        self._era = era

    async def keep(self, key: str, value: bytes) -> None:
        """Keep a key written until cancelled."""
        lease: Lease | None = None
        written = False  # under the lease
        while True:
            self._era_changed.clear()
            try:
                if lease is None:
                    written = False
                    lease = await self._store.grant(LEASE_DURATION)
                if written:
                    await self._store.renew(lease)
                else:
                    await self._store.put(key, value, lease)
                    written = True
                if self._era is not None and lease.era > self._era:
                    self._on_later_era()
            except LeaseLost as error:
                self._log.write("lease lost", cause=str(error))
                lease = None
                if written:
                    continue
            except PlatformError as error:
                self._log.write("entry not registered", cause=str(error))
            except Exception as error:  # others must not stop to see this entry
                self._log.write("entry not registered", cause=repr(error))
            await self._wait_renewal_due()
            if lease is not None and self._era is not None and lease.era < self._era:
                lease = None

    async def _wait_renewal_due(self) -> None:
        """Wait until the lease is to be renewed, or the store was restored.

        The copy may lack this entry, and the id of its lease may be assigned
        again.
        """
        interval = LEASE_DURATION / RENEWALS_PER_LEASE
        try:
            async with asyncio.timeout(interval * self._random.uniform(0.8, 1.0)):
                await self._era_changed.wait()
        except TimeoutError:
            return
        await asyncio.sleep(self._random.uniform(0.0, MAX_REGISTRATION_DELAY))
