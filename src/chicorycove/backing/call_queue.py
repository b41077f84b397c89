"""A queue of calls to the store in which calls for claims go first."""

import asyncio
import contextlib
import enum
import heapq
import typing as t

from ..event import StoreUnreachable, ValueRead
from .store import Store, SwapResult


class CallClass(enum.IntEnum):
    """The priority of a call; a lower number goes first."""

    CLAIM = 0
    OTHER = 1


class CallQueue:
    """Limits the calls in flight and orders those that wait."""

    def __init__(self, limit: int) -> None:
        self._free_slots = limit
        self._waiters: list[tuple[CallClass, int, asyncio.Future]] = []
        self._last_number = 0

    @contextlib.asynccontextmanager
    async def slot(self, call_class: CallClass) -> t.AsyncIterator[None]:
        """Wait for a slot and hold it within the context."""
        await self._acquire(call_class)
        try:
            yield
        finally:
            self._release()

    async def _acquire(self, call_class: CallClass) -> None:
        if self._free_slots:
            self._free_slots -= 1
            return
        waiter = asyncio.get_running_loop().create_future()
        self._last_number += 1
        heapq.heappush(self._waiters, (call_class, self._last_number, waiter))
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self._release()
            raise

    def _release(self) -> None:
        while self._waiters:
            waiter = heapq.heappop(self._waiters)[-1]
            if not waiter.done():
                waiter.set_result(None)
                return
        self._free_slots += 1


class QueuedStore:
    """A store whose calls, except watches, wait for a slot in a queue."""

    def __init__(self, store: Store, queue: CallQueue, call_class: CallClass) -> None:
        self._store = store
        self._queue = queue
        self._call_class = call_class

    async def get(self, key: str) -> ValueRead | StoreUnreachable:
        """Read a key; an absent one has version 0."""
        async with self._queue.slot(self._call_class):
            return await self._store.get(key)

    async def swap(
        self, key: str, version: int, value: bytes, lease: int | None = None
    ) -> SwapResult:
        """Write a key if its version is still the given one; 0 means absent.

        :raises LeaseLost: if the lease does not exist
        """
        async with self._queue.slot(self._call_class):
            return await self._store.swap(key, version, value, lease)

    async def delete(self, key: str, version: int) -> SwapResult:
        """Delete a key if its version is still the given one."""
        async with self._queue.slot(self._call_class):
            return await self._store.delete(key, version)

    async def grant(self, ttl: float) -> int:
        """Create a lease and return its id; the time to live is in seconds.

        :raises StoreUnavailable: if the store did not grant it
        :raises StoreUnknown: if the store may have granted it; it then expires
        """
        async with self._queue.slot(self._call_class):
            return await self._store.grant(ttl)

    async def keep_alive(self, lease: int) -> float:
        """Renew a lease and return its time to live in seconds.

        :raises LeaseLost: if the lease does not exist
        :raises StoreUnavailable: if the lease may not have been renewed
        """
        async with self._queue.slot(self._call_class):
            return await self._store.keep_alive(lease)

    async def revoke(self, lease: int) -> None:
        """Revoke a lease, which deletes its keys.

        :raises StoreUnavailable: if the store did not revoke it
        :raises StoreUnknown: if the store may have revoked it
        """
        async with self._queue.slot(self._call_class):
            await self._store.revoke(lease)

    def watch(self, key: str, version: int) -> t.AsyncIterator[ValueRead]:
        """Yield a key's value whenever its version is above the given one.

        :raises StoreUnavailable: when the watch ends
        """
        return self._store.watch(key, version)
