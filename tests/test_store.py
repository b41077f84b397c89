"""Tests of the key-value service's client against the stand-in."""

import asyncio

from chicorycove.backing.store import MAX_VALUE_SIZE, EtcdStore
from chicorycove.event import (
    OutcomeUnknown,
    StoreUnreachable,
    SwapConflicted,
    SwapSucceeded,
    ValueRead,
)
from chicorycove.exceptions import LeaseLost, StoreUnavailable, StoreUnknown
from soak.proxy import Mode, Proxy
from standin.store import StoreSettings, create_app
from tests.served import TIMEOUT, ServedTestCase

LINK_RATE = 875_000  # bytes per second, 7 Mbit/s
STORE_TIMEOUT = 1.0  # seconds, as in the default settings


class StoreTestCase(ServedTestCase):
    timeout = TIMEOUT

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.app = create_app(StoreSettings(progress_interval=0.05))
        self.server = await self.serve(self.app)
        self.store = EtcdStore(self.server.address, self.timeout)
        self.addAsyncCleanup(self.store.close)

    async def set_faults(self, **faults):
        await self.post(f"{self.server.url}/standin/faults", faults)

    async def next_value(self, watch):
        async with asyncio.timeout(TIMEOUT):
            return await anext(watch)


class SwapTest(StoreTestCase):
    async def test_absent_key_has_version_zero(self):
        self.assertEqual(await self.store.get("head"), ValueRead(b"", 0))

    async def test_swap_requires_the_current_version(self):
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

    async def test_delete_requires_the_current_version(self):
        first = await self.store.swap("head", 0, b"one")
        stale = await self.store.delete("head", first.version + 5)
        self.assertEqual(stale, SwapConflicted(b"one", first.version))
        self.assertIsInstance(
            await self.store.delete("head", first.version), SwapSucceeded
        )
        self.assertEqual(await self.store.get("head"), ValueRead(b"", 0))

    async def test_one_of_many_concurrent_writers_succeeds(self):
        writers = [self.store.swap("head", 0, b"%d" % number) for number in range(20)]
        results = await asyncio.gather(*writers)
        succeeded = [result for result in results if isinstance(result, SwapSucceeded)]
        conflicted = [
            result for result in results if isinstance(result, SwapConflicted)
        ]
        self.assertEqual((len(succeeded), len(conflicted)), (1, 19))

    async def test_values_up_to_a_megabyte_are_accepted(self):
        value = bytes(range(256)) * (MAX_VALUE_SIZE // 256)
        await self.store.swap("big", 0, value)
        self.assertEqual((await self.store.get("big")).value, value)
        with self.assertRaises(ValueError):
            await self.store.swap("big", 0, value + b"x")


class ThinLinkTest(StoreTestCase):
    """Values of the largest size pass a link that takes seconds for them."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        link = Proxy(self.server.port)
        link.link_rate = LINK_RATE
        await link.start()
        self.addAsyncCleanup(link.close)
        self.link = link
        self.thin_store = EtcdStore(f"127.0.0.1:{link.port}", STORE_TIMEOUT)
        self.addAsyncCleanup(self.thin_store.close)
        self.value = bytes(range(256)) * (MAX_VALUE_SIZE // 256)

    async def test_large_value_is_read(self):
        await self.store.swap("big", 0, self.value)
        async with asyncio.timeout(TIMEOUT):
            found = await self.thin_store.get("big")
        self.assertIsInstance(found, ValueRead)
        self.assertEqual(found.value, self.value)

    async def test_outcome_of_a_large_write_is_known(self):
        async with asyncio.timeout(TIMEOUT):
            result = await self.thin_store.swap("big", 0, self.value)
        self.assertIsInstance(result, SwapSucceeded)

    async def test_answer_that_stops_is_given_up(self):
        await self.store.swap("big", 0, self.value)
        reading = asyncio.create_task(self.thin_store.get("big"))
        await asyncio.sleep(0.5)
        self.link.set_mode(Mode.SILENCE)
        async with asyncio.timeout(TIMEOUT):
            self.assertEqual(await reading, StoreUnreachable())


class FaultTest(StoreTestCase):
    async def test_write_with_a_lost_answer_has_an_unknown_outcome(self):
        await self.set_faults(lose_answers=1)
        self.assertEqual(await self.store.swap("head", 0, b"one"), OutcomeUnknown())
        self.assertEqual((await self.store.get("head")).value, b"one")

    async def test_write_aborted_before_its_effect_has_an_unknown_outcome(self):
        await self.set_faults(cut=True)
        self.assertEqual(await self.store.swap("head", 0, b"one"), OutcomeUnknown())
        self.assertEqual(await self.store.get("head"), StoreUnreachable())
        await self.set_faults(cut=False)
        self.assertEqual(await self.store.get("head"), ValueRead(b"", 0))

    async def test_refused_write_is_unavailable(self):
        await self.set_faults(down=True)
        self.assertEqual(await self.store.swap("head", 0, b"one"), StoreUnreachable())
        with self.assertRaises(StoreUnavailable):
            await self.store.grant(5)

    async def test_refused_connection_is_unavailable(self):
        await self.server.close()
        self.assertEqual(await self.store.swap("head", 0, b"one"), StoreUnreachable())
        self.assertEqual(await self.store.get("head"), StoreUnreachable())

    async def test_grant_with_a_lost_answer_has_an_unknown_outcome(self):
        await self.set_faults(lose_answers=1)
        with self.assertRaises(StoreUnknown):
            await self.store.grant(5)


class TimeoutTest(StoreTestCase):
    timeout = 0.2

    async def test_late_answer_of_a_slow_write_is_not_read_by_another_call(self):
        await self.store.swap("a", 0, b"one")
        await self.set_faults(slow=0.4)
        self.assertEqual(await self.store.swap("b", 0, b"two"), OutcomeUnknown())
        await self.set_faults(slow=0.0)
        self.assertEqual((await self.store.get("a")).value, b"one")

        async def is_written():
            return (await self.store.get("b")).value == b"two"

        await self.wait_until(is_written)


class LeaseTest(StoreTestCase):
    async def test_keys_are_deleted_with_their_lease(self):
        lease = await self.store.grant(60)
        await self.store.swap("leader", 0, b"me", lease)
        self.assertEqual(await self.store.keep_alive(lease), 60.0)
        await self.store.revoke(lease)
        self.assertEqual(await self.store.get("leader"), ValueRead(b"", 0))
        await self.store.revoke(lease)

    async def test_expired_lease_is_lost(self):
        lease = await self.store.grant(60)
        await self.store.swap("leader", 0, b"me", lease)
        await self.set_faults(lapse_lease=lease)
        with self.assertRaises(LeaseLost):
            await self.store.keep_alive(lease)
        with self.assertRaises(LeaseLost):
            await self.store.swap("leader", 0, b"me", lease)

    async def test_lease_expires_without_renewal(self):
        lease = await self.store.grant(1)
        await self.store.swap("leader", 0, b"me", lease)

        async def is_deleted():
            return (await self.store.get("leader")).version == 0

        await self.wait_until(is_deleted)

    async def test_keep_alive_with_a_lost_answer_is_unavailable(self):
        lease = await self.store.grant(60)
        await self.set_faults(lose_answers=1)
        with self.assertRaises(StoreUnavailable):
            await self.store.keep_alive(lease)


class WatchTest(StoreTestCase):
    async def test_watch_yields_values_in_order(self):
        first = await self.store.swap("head", 0, b"one")
        watch = self.store.watch("head", 0)
        self.assertEqual(await self.next_value(watch), ValueRead(b"one", first.version))
        second = await self.store.swap("head", first.version, b"two")
        await self.store.swap("other", 0, b"x")
        self.assertEqual(
            await self.next_value(watch), ValueRead(b"two", second.version)
        )
        await self.store.delete("head", second.version)
        self.assertEqual(await self.next_value(watch), ValueRead(b"", 0))

    async def test_watch_yields_only_newer_values(self):
        first = await self.store.swap("head", 0, b"one")
        watch = self.store.watch("head", first.version)
        task = asyncio.create_task(self.next_value(watch))
        await asyncio.sleep(0.2)  # a few progress notifications arrive
        self.assertFalse(task.done())
        second = await self.store.swap("head", first.version, b"two")
        self.assertEqual(await task, ValueRead(b"two", second.version))

    async def test_dropped_watch_raises(self):
        await self.store.swap("head", 0, b"one")
        watch = self.store.watch("head", 0)
        await self.next_value(watch)
        task = asyncio.create_task(self.next_value(watch))
        await asyncio.sleep(0.05)
        await self.set_faults(drop_watches=True)
        with self.assertRaises(StoreUnavailable):
            await task

    async def test_watch_of_a_store_that_is_down_raises(self):
        await self.set_faults(down=True)
        with self.assertRaises(StoreUnavailable):
            await self.next_value(self.store.watch("head", 0))

    async def test_compaction_between_read_and_watch(self):
        first = await self.store.swap("head", 0, b"one")
        watch = self.store.watch("head", 0)
        await self.next_value(watch)
        second = await self.store.swap("head", first.version, b"two")
        await self.set_faults(compact=True)
        self.assertEqual(
            await self.next_value(watch), ValueRead(b"two", second.version)
        )

    async def test_idle_watch_is_one_call(self):
        await self.store.swap("head", 0, b"one")
        watch = self.store.watch("head", 0)
        await self.next_value(watch)
        task = asyncio.create_task(self.next_value(watch))
        await asyncio.sleep(0.2)
        _, calls = await self.get(f"{self.server.url}/standin/calls")
        self.assertEqual(calls["/v3/watch"], 1)
        self.assertEqual(calls["/v3/kv/range"], 1)
        task.cancel()
