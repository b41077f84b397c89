"""Tests of the queue of calls to the store."""

import asyncio
import unittest

from chicorycove.backing.call_queue import CallClass, CallQueue, QueuedStore
from chicorycove.event import ValueRead


class SlowStore:
    """A store whose reads wait until the test releases them."""

    def __init__(self):
        self.started_keys = []
        self.released_reads = asyncio.Semaphore(0)

    async def get(self, key):
        self.started_keys.append(key)
        await self.released_reads.acquire()
        return ValueRead(b"", 0)


class QueuedStoreTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.store = SlowStore()
        self.queue = CallQueue(2)
        self.claims = QueuedStore(self.store, self.queue, CallClass.CLAIM)
        self.others = QueuedStore(self.store, self.queue, CallClass.OTHER)

    async def start_calls(self, *calls):
        tasks = [asyncio.create_task(store.get(key)) for store, key in calls]
        await asyncio.sleep(0)
        return tasks

    async def finish(self, tasks):
        for _ in tasks:
            self.store.released_reads.release()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def test_claims_go_before_earlier_calls(self):
        tasks = await self.start_calls(
            *((self.others, f"other-{number}") for number in range(4)),
            (self.claims, "claim-1"),
            (self.claims, "claim-2"),
        )
        self.assertEqual(self.store.started_keys, ["other-0", "other-1"])
        await self.finish(tasks)
        self.assertEqual(self.store.started_keys[2:4], ["claim-1", "claim-2"])
        self.assertEqual(sorted(self.store.started_keys[4:]), ["other-2", "other-3"])

    async def test_cancelled_calls_release_their_slot(self):
        tasks = await self.start_calls(
            *((self.others, f"other-{number}") for number in range(5))
        )
        for task in tasks[:4]:
            task.cancel()
        await self.finish(tasks)
        self.assertEqual(self.store.started_keys, ["other-0", "other-1", "other-4"])
        more = await self.start_calls((self.others, "a"), (self.others, "b"))
        self.assertEqual(self.store.started_keys[-2:], ["a", "b"])
        await self.finish(more)
