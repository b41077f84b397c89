"""The adapter to the key-value service, against the stand-in."""

import asyncio

from chicorycove.backing.store import MAX_VALUE, EtcdStore
from chicorycove.event import (
    OutcomeUnknown,
    StoreUnreachable,
    SwapConflicted,
    SwapSucceeded,
    ValueRead,
)
from chicorycove.exceptions import LeaseLost, StoreUnavailable, StoreUnknown
from standin.store import StoreSettings, create_app
from tests.served import TIMEOUT, ServedTestCase


class StoreTestCase(ServedTestCase):
    timeout = TIMEOUT

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.app = create_app(StoreSettings(progress_interval=0.05))
        self.server = await self.serve(self.app)
        self.store = EtcdStore(self.server.address, self.timeout)
        self.addAsyncCleanup(self.store.close)

    async def fault(self, **faults):
        await self.post(f"{self.server.url}/standin/faults", faults)

    async def next(self, watch):
        async with asyncio.timeout(TIMEOUT):
            return await anext(watch)


class SwapTest(StoreTestCase):
    async def test_absent_key(self):
        self.assertEqual(await self.store.get("head"), ValueRead(b"", 0))

    async def test_only_the_version_named_is_overwritten(self):
        first = await self.store.swap("head", 0, b"one")
        self.assertIsInstance(first, SwapSucceeded)
        second = await self.store.swap("head", first.version, b"two")
        stale = await self.store.swap("head", first.version, b"three")
        self.assertEqual(stale, SwapConflicted(b"two", second.version))
        self.assertEqual(
            await self.store.get("head"), ValueRead(b"two", second.version)
        )
        created = await self.store.swap("head", 0, b"four")
        self.assertEqual(created, SwapConflicted(b"two", second.version))

    async def test_delete_compares_too(self):
        first = await self.store.swap("head", 0, b"one")
        stale = await self.store.delete("head", first.version + 5)
        self.assertEqual(stale, SwapConflicted(b"one", first.version))
        self.assertIsInstance(
            await self.store.delete("head", first.version), SwapSucceeded
        )
        self.assertEqual(await self.store.get("head"), ValueRead(b"", 0))

    async def test_one_of_many_writers_wins(self):
        writers = [self.store.swap("head", 0, b"%d" % n) for n in range(20)]
        results = await asyncio.gather(*writers)
        won = [result for result in results if isinstance(result, SwapSucceeded)]
        lost = [result for result in results if isinstance(result, SwapConflicted)]
        self.assertEqual((len(won), len(lost)), (1, 19))

    async def test_value_of_a_megabyte(self):
        value = bytes(range(256)) * (MAX_VALUE // 256)
        await self.store.swap("big", 0, value)
        self.assertEqual((await self.store.get("big")).value, value)
        with self.assertRaises(ValueError):
            await self.store.swap("big", 0, value + b"x")


class FaultTest(StoreTestCase):
    async def test_lost_answer_is_unknown_and_took_effect(self):
        await self.fault(lose_answers=1)
        self.assertEqual(await self.store.swap("head", 0, b"one"), OutcomeUnknown())
        self.assertEqual((await self.store.get("head")).value, b"one")

    async def test_cut_before_the_effect_is_unknown_too(self):
        await self.fault(cut=True)
        self.assertEqual(await self.store.swap("head", 0, b"one"), OutcomeUnknown())
        self.assertEqual(await self.store.get("head"), StoreUnreachable())
        await self.fault(cut=False)
        self.assertEqual(await self.store.get("head"), ValueRead(b"", 0))

    async def test_refusal_is_unavailable(self):
        await self.fault(down=True)
        self.assertEqual(await self.store.swap("head", 0, b"one"), StoreUnreachable())
        with self.assertRaises(StoreUnavailable):
            await self.store.grant(5)

    async def test_nobody_listening_is_unavailable(self):
        await self.server.close()
        self.assertEqual(await self.store.swap("head", 0, b"one"), StoreUnreachable())
        self.assertEqual(await self.store.get("head"), StoreUnreachable())

    async def test_lost_answer_to_a_grant(self):
        await self.fault(lose_answers=1)
        with self.assertRaises(StoreUnknown):
            await self.store.grant(5)


class TimeoutTest(StoreTestCase):
    timeout = 0.2

    async def test_slow_write_is_unknown_and_its_answer_crosses_no_other(self):
        await self.store.swap("a", 0, b"one")
        await self.fault(slow=0.4)
        self.assertEqual(await self.store.swap("b", 0, b"two"), OutcomeUnknown())
        await self.fault(slow=0.0)
        self.assertEqual((await self.store.get("a")).value, b"one")

        async def written():
            return (await self.store.get("b")).value == b"two"

        await self.wait_until(written)


class LeaseTest(StoreTestCase):
    async def test_keys_go_with_their_lease(self):
        lease = await self.store.grant(60)
        await self.store.swap("leader", 0, b"me", lease)
        self.assertEqual(await self.store.keep_alive(lease), 60.0)
        await self.store.revoke(lease)
        self.assertEqual(await self.store.get("leader"), ValueRead(b"", 0))
        await self.store.revoke(lease)

    async def test_lapsed_lease(self):
        lease = await self.store.grant(60)
        await self.store.swap("leader", 0, b"me", lease)
        await self.fault(lapse_lease=lease)
        with self.assertRaises(LeaseLost):
            await self.store.keep_alive(lease)
        with self.assertRaises(LeaseLost):
            await self.store.swap("leader", 0, b"me", lease)

    async def test_lease_expires_by_itself(self):
        lease = await self.store.grant(1)
        await self.store.swap("leader", 0, b"me", lease)

        async def gone():
            return (await self.store.get("leader")).version == 0

        await self.wait_until(gone)

    async def test_lost_answer_to_a_keep_alive(self):
        lease = await self.store.grant(60)
        await self.fault(lose_answers=1)
        with self.assertRaises(StoreUnavailable):
            await self.store.keep_alive(lease)


class WatchTest(StoreTestCase):
    async def test_values_in_order_from_a_version(self):
        first = await self.store.swap("head", 0, b"one")
        watch = self.store.watch("head", 0)
        self.assertEqual(await self.next(watch), ValueRead(b"one", first.version))
        second = await self.store.swap("head", first.version, b"two")
        await self.store.swap("other", 0, b"x")
        self.assertEqual(await self.next(watch), ValueRead(b"two", second.version))
        await self.store.delete("head", second.version)
        self.assertEqual(await self.next(watch), ValueRead(b"", 0))

    async def test_nothing_that_is_not_newer(self):
        first = await self.store.swap("head", 0, b"one")
        watch = self.store.watch("head", first.version)
        task = asyncio.create_task(self.next(watch))
        await asyncio.sleep(0.2)  # a few progress notes pass
        self.assertFalse(task.done())
        second = await self.store.swap("head", first.version, b"two")
        self.assertEqual(await task, ValueRead(b"two", second.version))

    async def test_dropped_watch_raises(self):
        await self.store.swap("head", 0, b"one")
        watch = self.store.watch("head", 0)
        await self.next(watch)
        task = asyncio.create_task(self.next(watch))
        await asyncio.sleep(0.05)
        await self.fault(drop_watches=True)
        with self.assertRaises(StoreUnavailable):
            await task

    async def test_watch_of_a_store_that_is_down_raises(self):
        await self.fault(down=True)
        with self.assertRaises(StoreUnavailable):
            await self.next(self.store.watch("head", 0))

    async def test_compaction_between_read_and_watch(self):
        first = await self.store.swap("head", 0, b"one")
        watch = self.store.watch("head", 0)
        await self.next(watch)
        second = await self.store.swap("head", first.version, b"two")
        await self.fault(compact=True)
        self.assertEqual(await self.next(watch), ValueRead(b"two", second.version))

    async def test_a_waiting_watch_is_one_call(self):
        await self.store.swap("head", 0, b"one")
        watch = self.store.watch("head", 0)
        await self.next(watch)
        task = asyncio.create_task(self.next(watch))
        await asyncio.sleep(0.2)
        _, calls = await self.get(f"{self.server.url}/standin/calls")
        self.assertEqual(calls["/v3/watch"], 1)
        self.assertEqual(calls["/v3/kv/range"], 1)
        task.cancel()
