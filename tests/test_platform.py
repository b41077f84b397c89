"""The adapters to the host list and the weight store."""

import asyncio

import msgspec

from chicorycove.backing.hosts import HostList, HostListUnavailable
from chicorycove.backing.weights import Weights, WeightsUnavailable
from chicorycove.host import Host, HostState
from standin import hosts, weights
from tests.served import TIMEOUT, ServedTestCase


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

    async def test_hosts_come_whole(self):
        first = host("one", state=HostState.LEAVING, labels={"service": "advisor"})
        _, adapter = await self.open(hosts=(first,))
        self.assertEqual(await adapter.poll(), [first])

    async def test_changes_show_after_the_lag(self):
        server, adapter = await self.open(lag=0.2)
        data = msgspec.json.encode(host("two"))
        await self.send_request("PUT", f"{server.url}/hosts/two", data=data)
        self.assertEqual(await adapter.poll(), [])

        async def shown():
            return await adapter.poll() == [host("two")]

        await self.wait_until(shown)
        await self.send_request("DELETE", f"{server.url}/hosts/two")

        async def gone():
            return await adapter.poll() == []

        await self.wait_until(gone)

    async def test_no_answer(self):
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
        adapter = Weights(server.address, TIMEOUT)
        self.addAsyncCleanup(adapter.close)
        return server, adapter

    async def test_what_exists(self):
        server, adapter = await self.open(sizes={"advisor-1": 10})
        self.assertTrue(await adapter.exists("advisor-1"))
        self.assertFalse(await adapter.exists("advisor-2"))
        await server.close()
        with self.assertRaises(WeightsUnavailable):
            await adapter.exists("advisor-1")

    async def test_rate_is_shared(self):
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
