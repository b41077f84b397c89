"""Failure: an entry's view stays stale after the store came back from a copy.

Numbers of revisions and leases are assigned again then, so that one says
nothing outside its era. Entries must apply what is written from then on.
"""

import asyncio
import unittest

from chicorycove.platform.store import Store

from .platform_case import (
    KEY,
    FailureDomainTestCase,
    PlatformTestCase,
    config,
    new_boot,
)

MAX_DELAY = 2.0  # seconds in which a change must be in force


class FollowersTest(FailureDomainTestCase):
    """Two of the entries follow the other two in place of the store."""

    async def restore_without(self, version):
        """Restore the store from a copy without a followed configuration.

        The operator and the server write again what was lost.
        """
        copy = self.store.copy()
        self.write_server(20)
        await self.wait_for_version(version, MAX_DELAY)
        self.store.faults.abort_watches = True
        self.store.restore(copy)
        await asyncio.sleep(0.1)
        self.store.faults.abort_watches = False
        self.write_config(config(version))
        self.write_server(1)

    def write_server(self, count):
        for _ in range(count):
            self.register_server(self.shop_servers[0])

    async def test_change_below_the_former_revision_is_applied(self):
        for version in (2, 4):  # eras in a row
            await self.restore_without(version)
            await asyncio.sleep(1.0)  # the watchers have listed the store
            self.write_config(config(version + 1))
            await asyncio.sleep(0.5)  # the change was relayed
            self.write_server(30)
            await asyncio.sleep(MAX_DELAY - 0.5)
            self.assertEqual(self.versions(), [version + 1] * 4)

    async def test_entries_follow_the_watchers_again(self):
        await self.restore_without(2)
        await asyncio.sleep(MAX_DELAY)
        self.assertEqual(await self.following(), [False, False, True, True])
        await self.wait_for_version(3, MAX_DELAY)

    async def test_entry_that_restarts_meanwhile_applies_changes(self):
        copy = self.store.copy()
        self.write_server(20)
        await self.wait_for_version(2, MAX_DELAY)
        self.store.restore(copy)
        await self.processes[3].stop()
        boot = new_boot(store=self.boot.store, name="entry-4")
        self.processes[3] = await self.start_entry(boot)
        await self.wait_for_version(3, MAX_DELAY)


class WatcherTest(PlatformTestCase):
    """One entry watches the store itself."""

    async def restore(self, copy):
        """Restore the store, and wait until the entry has listed it."""
        self.store.calls.clear()
        self.store.restore(copy)
        await self.wait_until(self.has_listed)
        await asyncio.sleep(0.2)

    async def has_listed(self):
        return "/chicorycove/kv-range" in self.store.calls

    async def test_change_before_the_next_watch_is_applied(self):
        # The store is back, and has passed the revision that the entry
        # follows, before a call fails.
        copy = self.store.copy()
        for _ in range(3):
            self.register_server(self.shop_servers[0])
        await asyncio.sleep(0.6)
        self.store.restore(copy)
        self.write_config(config(2, keys=("key-2",)))
        for _ in range(10):
            self.register_server(self.shop_servers[0])
        await asyncio.sleep(MAX_DELAY)
        self.assertEqual((await self.request("/order/x", key="key-2")).status, 200)

    async def test_older_configuration_of_the_copy_is_not_applied(self):
        copy = self.store.copy()
        self.write_config(config(2, keys=("key-2",)))
        await asyncio.sleep(0.6)
        await self.restore(copy)
        self.assertEqual((await self.request("/order/x", key=KEY)).status, 401)

    async def test_server_that_the_copy_lacks_is_used_until_it_is_listed_again(self):
        for server in self.shop_servers:
            self.store.remove(f"servers/{server.id}")
        copy = self.store.copy()
        self.register_server(self.shop_servers[1])
        await asyncio.sleep(0.6)
        await self.restore(copy)
        self.assertEqual((await self.request("/order/x")).status, 200)
        self.register_server(self.shop_servers[1])
        await asyncio.sleep(2.5)  # seconds, after which lapsed servers are removed
        self.assertEqual((await self.request("/order/x")).status, 200)

    async def test_entry_that_the_copy_lacks_is_registered_again(self):
        # Another entry gets the lease's id, so that the lease can be renewed.
        copy = self.store.copy()
        boot = new_boot(store=self.boot.store, name="entry-2")
        await self.start_entry(boot)
        await self.wait_until(self.is_registered)
        self.store.restore(copy)
        other = Store(self.boot.store)
        self.addCleanup(other.close)
        await other.grant(60.0)
        self.assertFalse(await self.is_registered())
        async with asyncio.timeout(3.0):
            await self.wait_until(self.is_registered)

    async def is_registered(self):
        return bool(self.store.keys("chicorycove/entries/entry-2."))


if __name__ == "__main__":
    unittest.main()
