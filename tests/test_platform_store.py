"""An entry and the store of the users' platform, against stand-ins."""

import asyncio
import unittest

from chicorycove.direct import peers
from chicorycove.exceptions import StoreUnavailable
from chicorycove.platform.listeners import open_listeners
from chicorycove.platform.store import Store
from standin import platform_store

from .platform_case import Caller, PlatformTestCase, config, new_boot


class StoreTest(PlatformTestCase):
    async def test_serves_on_without_the_store(self):
        self.store.faults.down = True
        await asyncio.sleep(0.3)
        self.assertEqual((await self.ask("/order/x", b"y")).status, 200)
        self.assertTrue(await self.is_ready())

    async def test_first_configuration_is_awaited(self):
        self.store.faults.down = True
        await self.start(wait=False)
        self.assertFalse(await self.is_ready())
        answer = await self.ask("/order/x")
        self.assertEqual(answer.status, 503)
        self.store.faults.down = False
        await self.wait_until(self.is_ready)

    async def test_forgotten_history_is_read_anew(self):
        self.configure(config(2, keys=("key-2",)))
        self.store.compact()
        await asyncio.sleep(0.8)
        self.assertEqual((await self.ask("/order/x", key="key-2")).status, 200)

    async def test_change_kept_from_a_broken_watch_is_found(self):
        # scale-2 of the grown intranett: while the store compacted, watches
        # were told of nothing, were reset, and the next ones were told of
        # nothing either; one entry knew no change for five seconds.
        self.store.faults.watches_stalled = True
        self.configure(config(2, keys=("key-2",)))
        await asyncio.sleep(0.4)
        self.store.faults.abort_watches = True
        await asyncio.sleep(0.2)
        self.store.faults.abort_watches = False
        await asyncio.sleep(0.8)
        self.assertEqual((await self.ask("/order/x", key="key-2")).status, 200)

    async def test_change_that_a_peer_has_seen_is_found(self):
        self.store.faults.watches_stalled = True
        self.configure(config(2, keys=("key-2",)))
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            asyncio.DatagramProtocol, local_addr=("127.0.0.1", 0)
        )
        self.addCleanup(transport.close)
        (account,) = peers.encode("entry-2", (), (), (), 1_000, loop.time())
        for _ in range(8):
            transport.sendto(account, ("127.0.0.1", self.boot.peer_port))
            await asyncio.sleep(0.2)
        self.assertEqual((await self.ask("/order/x", key="key-2")).status, 200)
        events = [line["event"] for line in await self.lines()]
        self.assertIn("behind a peer", events)

    async def test_leaving_server_gets_nothing_new(self):
        self.list(self.shop[0], state="draining")
        await asyncio.sleep(0.6)
        for _ in range(4):
            await self.ask("/order/x")
        self.assertEqual(len(self.shop[0].runs), 0)

    async def test_unlisted_server_gets_nothing_new(self):
        self.store.remove(f"servers/{self.shop[0].id}")
        await asyncio.sleep(0.6)
        for _ in range(4):
            await self.ask("/order/x")
        self.assertEqual(len(self.shop[0].runs), 0)

    async def test_caller_who_comes_during_a_start_is_served(self):
        # The closing kills of all days: a refused connection is half of what
        # a caller has, and imports take most of a start.
        boot = new_boot(store=self.boot.store)
        listeners = open_listeners(boot)
        caller = await Caller.open(boot.callers)
        self.addCleanup(caller.close)
        caller.send("/order/x", b"12 tons")
        self.store.faults.delay = 0.1
        await self.start(boot, listeners, wait=False)
        answer = await caller.read()
        self.assertEqual((answer.status, answer.body), (200, b"12 tons"))

    async def test_first_page_of_a_long_list_is_used_at_once(self):
        # sweep of moldline: 299 entries that start together list 3,000 servers
        # each, which takes the store's link seconds.
        for number in range(platform_store.PAGE_SIZE):
            self.store.put(f"servers/z-{number:05}", b"no server")
        self.store.faults.page_delay = 5.0
        await self.start(wait=False)
        self.assertEqual((await self.ask("/order/x", b"y")).status, 200)

    async def test_entry_is_listed_while_it_lives(self):
        await self.wait_until(self.is_listed)

    async def is_listed(self):
        return bool(self.store.keys("chicorycove/entries/entry-1."))


class ListTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.standin, served = await platform_store.start()
        self.addAsyncCleanup(served.close)
        for number in range(3 * platform_store.PAGE_SIZE):
            self.standin.put(f"servers/i-{number:05}", b"{}")
        self.store = Store(served.address)
        self.addCleanup(self.store.close)

    async def test_page_that_is_refused_is_asked_for_again(self):
        sizes = []
        async for page in self.store.pages("servers/"):
            sizes.append(len(page.items))
            if len(sizes) == 1:
                self.standin.faults.rate_limited = 3
        self.assertEqual(sizes, 3 * [platform_store.PAGE_SIZE])
        self.assertEqual(len(self.standin.calls), 3 + 3)

    async def test_store_that_stays_busy_is_away(self):
        self.standin.faults.rate_limited = 1_000
        with self.assertRaises(StoreUnavailable):
            async for _ in self.store.pages("servers/"):
                self.fail("a page came")
        # inc-fd53: refused calls are priced, and a store turns some hosts away
        # for seconds; the next list begins after a growing pause.
        self.assertEqual(len(self.standin.calls), 1)
