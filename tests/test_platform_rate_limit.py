"""Tests of what servers say of themselves, with entries on real sockets."""

import asyncio
import json
import random

from .platform_case import Caller, PlatformTestCase, new_boot
from .test_direct_backoff import ALLOWED_REQUESTS, DRAIN_TIME, GRACE
from .test_direct_rate_limit import STABLE_AFTER, WINDOW, allowed_requests

RATE = 2.0  # requests per second that the limited server names
LOAD = 16.0  # requests per second from all callers


class SharedLimitTest(PlatformTestCase):
    shop_count = 3
    model_count = 0

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.callers = [self.boot.callers]
        for number in (2, 3):
            boot = new_boot(store=self.boot.store, name=f"entry-{number}")
            await self.start_entry(boot)
            self.callers.append(boot.callers)

    async def send_requests(self, duration):
        """Send requests by Poisson to all entries; return the statuses."""
        rng = random.Random(1)
        clock = asyncio.get_running_loop().time
        end = clock() + duration
        tasks = []
        while clock() < end:
            tasks.append(asyncio.create_task(self.send(rng.choice(self.callers))))
            await asyncio.sleep(rng.expovariate(LOAD))
        return await asyncio.gather(*tasks)

    async def send(self, address):
        caller = await Caller.open(address)
        try:
            return (await caller.request("/lookup/x", method="GET")).status
        finally:
            caller.close()

    async def test_limited_server_gets_no_more_than_it_named_from_three_entries(self):
        limited = self.shop_servers[0]
        limited.rate_limit = str(RATE)
        statuses = await self.send_requests(STABLE_AFTER + WINDOW + 1.0)
        start = limited.arrivals[0] + STABLE_AFTER
        times = [time for time in limited.arrivals if time >= start]
        most = max(
            sum(first <= time < first + WINDOW for time in times) for first in times
        )
        self.assertLessEqual(most, allowed_requests(RATE))
        self.assertEqual(set(statuses), {200})


class BackoffTest(PlatformTestCase):
    shop_count = 2
    model_count = 0

    async def fetch_for(self, duration):
        """Fetch pages one after another; return the statuses."""
        clock = asyncio.get_running_loop().time
        end = clock() + duration
        statuses = set()
        while clock() < end:
            answer = await self.request("/lookup/x", method="GET")
            statuses.add(answer.status)
            await asyncio.sleep(0.02)
        return statuses

    async def test_server_that_asks_to_back_off_gets_no_requests(self):
        server = self.shop_servers[0]
        server.retry_after = "2"
        statuses = await self.fetch_for(1.9)
        self.assertEqual(statuses, {200})
        self.assertGreaterEqual(len(server.arrivals), 1)
        first = server.arrivals[0]
        late = [time for time in server.arrivals if first + GRACE <= time < first + 2]
        self.assertLessEqual(len(late), ALLOWED_REQUESTS)

    async def test_backoff_outlasts_new_listings_a_resync_and_a_reload(self):
        server, other = self.shop_servers
        self.store.remove(f"servers/{other.id}")
        await asyncio.sleep(0.6)
        server.retry_after = "3"
        self.assertEqual(await self.fetch_for(0.5), {503})
        disturbances = (self.list_again, self.process.reload, self.resync)
        for disturb in disturbances * 2:
            disturb()
            self.assertEqual(await self.fetch_for(0.25), {503})
        first = server.arrivals[0]
        late = [time for time in server.arrivals if first < time < first + 3]
        self.assertEqual(late, [])

    def list_again(self):
        server = self.shop_servers[0]
        self.store.remove(f"servers/{server.id}")
        self.register_server(server)

    def resync(self):
        self.process._follower.resync()

    async def test_server_that_says_it_leaves_gets_no_requests(self):
        server = self.shop_servers[0]
        server.leaving = True
        statuses = await self.fetch_for(DRAIN_TIME + 1.0)
        self.assertEqual(statuses, {200})
        self.assertGreaterEqual(len(server.arrivals), 1)
        end = server.arrivals[0] + DRAIN_TIME
        self.assertEqual([time for time in server.arrivals if time >= end], [])


class LateAnswerTest(PlatformTestCase):
    shop_count = 1
    model_count = 0

    async def add_slow_server(self, delay):
        """Add a server that refuses a request some seconds after it came."""

        async def refuse(reader, writer):
            try:
                await reader.readuntil(b"\r\n\r\n")
                self.arrivals.append(asyncio.get_running_loop().time())
                await asyncio.sleep(delay)
                writer.write(
                    b"HTTP/1.1 503 Unavailable\r\nChicorycove-Not-Executed: 1\r\n"
                    b"Retry-After: 5\r\nContent-Length: 0\r\n\r\n"
                )
                await writer.drain()
            except (ConnectionError, asyncio.IncompleteReadError):
                pass  # the entry closed the connection
            finally:
                writer.close()

        self.arrivals = []
        server = await asyncio.start_server(refuse, "127.0.0.1", 0)
        self.addAsyncCleanup(self.close_server, server)
        host, port = server.sockets[0].getsockname()
        self.store.put(
            "servers/slow",
            json.dumps(
                self.shop_servers[0].registration(f"{host}:{port}", born=2)
            ).encode(),
        )
        await asyncio.sleep(0.2)

    async def close_server(self, server):
        server.close()
        await server.wait_closed()

    async def leave_early(self, delay):
        """Let a caller leave the slow server, which is the only one, early."""
        await self.add_slow_server(delay)
        self.register_server(self.shop_servers[0], state="draining")
        await asyncio.sleep(0.1)
        caller = await self.open_caller()
        caller.send("/lookup/x", method="GET")
        await self.wait_until(self.has_arrived)
        caller.close()
        await asyncio.sleep(0.5)
        self.assertEqual(len(self.arrivals), 1)
        lines = await self.log_lines()
        return [line for line in lines if line["event"] == "target backoff begun"]

    async def has_arrived(self):
        return bool(self.arrivals)

    async def test_refusal_that_comes_after_its_caller_left_begins_a_backoff(self):
        self.assertEqual(len(await self.leave_early(delay=0.05)), 1)
        answer = await self.request("/lookup/x", method="GET")
        self.assertEqual(answer.status, 503)
        self.assertGreater(float(answer.headers["retry-after"]), 3.0)
        self.assertEqual(len(self.arrivals), 1)

    async def test_answer_long_after_its_caller_left_is_not_awaited(self):
        self.assertEqual(await self.leave_early(delay=0.4), [])
