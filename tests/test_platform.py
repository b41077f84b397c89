"""Tests of the clients of the host list and the weight store."""

import asyncio

import msgspec

from chicorycove.backing.hosts import HostList, HostListUnavailable
from chicorycove.backing.weights import WeightStore, WeightStoreUnavailable
from chicorycove.host import Host, HostState
from soak.proxy import Proxy
from standin import hosts, weights
from tests.served import TIMEOUT, ServedTestCase

HOST_COUNT = 7_400
LINK_RATE = 200_000  # bytes per second, a part of a link of 7 Mbit/s


def host(name, **fields):
    return Host(
        name=name, agent="127.0.0.1:9", region="r", failure_domain="a", **fields
    )


class HostListTest(ServedTestCase):
    async def open(self, **settings):
        server = await self.serve(hosts.create_app(hosts.HostsSettings(**settings)))
        adapter = HostList(server.address, TIMEOUT)
        self.addAsyncCleanup(adapter.close)
        return server, adapter

    async def test_hosts_are_read_completely(self):
        first = host("one", state=HostState.LEAVING, labels={"service": "advisor"})
        _, adapter = await self.open(hosts=(first,))
        self.assertEqual(await adapter.poll(), [first])

    async def test_changes_are_visible_after_the_lag(self):
        server, adapter = await self.open(lag=0.2)
        data = msgspec.json.encode(host("two"))
        await self.send_request("PUT", f"{server.url}/hosts/two", data=data)
        self.assertEqual(await adapter.poll(), [])

        async def is_listed():
            return await adapter.poll() == [host("two")]

        await self.wait_until(is_listed)
        await self.send_request("DELETE", f"{server.url}/hosts/two")

        async def is_removed():
            return await adapter.poll() == []

        await self.wait_until(is_removed)

    async def test_large_list_is_read_over_a_thin_link(self):
        listed = tuple(host(f"host-{number:05}") for number in range(HOST_COUNT))
        server, _ = await self.open(hosts=listed)
        link = Proxy(server.port)
        link.link_rate = LINK_RATE
        await link.start()
        self.addAsyncCleanup(link.close)
        adapter = HostList(f"127.0.0.1:{link.port}")
        self.addAsyncCleanup(adapter.close)
        self.assertEqual(len(await adapter.poll()), HOST_COUNT)
        self.assertGreater(link.forwarded_size, 2.0 * LINK_RATE)

    async def test_odd_host_keeps_no_other_from_use(self):
        app = hosts.create_app(hosts.HostsSettings(hosts=(host("one"),)))
        server = await self.serve(app)
        adapter = HostList(server.address, TIMEOUT)
        self.addAsyncCleanup(adapter.close)
        odd_hosts = [3, None, [], {}, {"name": 3}, {"name": "x", "agent": 10**400}]
        for number, odd in enumerate(odd_hosts):
            app.state.hosts._visible[f"odd-{number}"] = odd
        with self.assertLogs("chicorycove") as logs:
            for _ in range(2):
                self.assertEqual(await adapter.poll(), [host("one")])
        self.assertEqual(len(logs.records), len(odd_hosts))  # logged once each

    async def test_missing_answer_raises(self):
        server, adapter = await self.open()
        await self.post(f"{server.url}/standin/faults", {"die": True})
        with self.assertRaises(HostListUnavailable):
            await adapter.poll()
        await server.close()
        with self.assertRaises(HostListUnavailable):
            await adapter.poll()


class WeightsTest(ServedTestCase):
    async def open(self, **settings):
        app = weights.create_app(weights.WeightsSettings(**settings))
        server = await self.serve(app)
        adapter = WeightStore(server.address, TIMEOUT)
        self.addAsyncCleanup(adapter.close)
        return server, adapter

    async def test_exists_reports_stored_weights(self):
        server, adapter = await self.open(sizes={"advisor-1": 10})
        self.assertTrue(await adapter.exists("advisor-1"))
        self.assertFalse(await adapter.exists("advisor-2"))
        await server.close()
        with self.assertRaises(WeightStoreUnavailable):
            await adapter.exists("advisor-1")

    async def test_transfer_rate_is_shared(self):
        size = 20_000
        server, _ = await self.open(sizes={"w": size}, rate=200_000.0)
        clock = asyncio.get_running_loop().time
        start = clock()

        async def load():
            response = await self.client.get(f"{server.url}/weights/w")
            return len(await response.content())

        sizes = await asyncio.gather(load(), load(), load())
        self.assertEqual(sizes, [size] * 3)
        self.assertGreaterEqual(clock() - start, 0.29)  # 3 * 20 kB at 200 kB/s
