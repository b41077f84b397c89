"""Tests of evacuations and allowed regions through an entry process."""

import asyncio
import json

from .platform_case import PlatformTestCase, config, route

EVACUATION_TIME = 1.0  # seconds until the entry has heard of a change
ANSWER_EVENTS = 40  # with pauses of 50 ms, within the time limit of 3 s


class EvacuationTest(PlatformTestCase):
    """Guards against new requests at servers of an evacuated domain."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        for servers in (self.shop_servers, self.model_servers):
            self.register_server(servers[1], zone="there")
        await asyncio.sleep(EVACUATION_TIME)

    async def evacuate(self, *domains):
        for domain in domains:
            self.store.put(f"op/evacuate/{domain}", b"")
        await asyncio.sleep(EVACUATION_TIME)

    async def readmit(self, *domains):
        for domain in domains:
            self.store.remove(f"op/evacuate/{domain}")
        await asyncio.sleep(EVACUATION_TIME)

    async def read_metrics(self):
        page = await self.get_page(f"127.0.0.1:{self.boot.metrics_port}", "/metrics")
        return page.body.decode()

    async def count_runs_of_first_servers(self):
        """Send requests of both services; count those at the first ones."""
        before = len(self.shop_servers[0].runs) + len(self.model_servers[0].runs)
        for _ in range(6):
            self.assertEqual((await self.request("/order/x")).status, 200)
            self.assertEqual((await self.request_stream()).status, 200)
        after = len(self.shop_servers[0].runs) + len(self.model_servers[0].runs)
        return after - before

    async def test_evacuated_domain_gets_nothing_until_it_is_readmitted(self):
        self.assertGreater(await self.count_runs_of_first_servers(), 0)
        await self.evacuate("here")
        self.assertEqual(await self.count_runs_of_first_servers(), 0)
        await self.readmit("here")
        self.assertGreater(await self.count_runs_of_first_servers(), 0)

    async def test_running_stream_finishes_and_others_are_refused(self):
        for server in self.model_servers:
            server.faults.pause = 0.05
        stream = asyncio.create_task(self.request_stream(output=46 * ANSWER_EVENTS))
        await asyncio.sleep(0.2)
        await self.evacuate("here", "there")
        answer = await self.request("/order/x")
        self.assertEqual(answer.status, 503)
        self.assertGreater(float(answer.headers["retry-after"]), 0.0)
        lines = (await self.read_metrics()).splitlines()
        running = [
            line.rsplit(" ", 1)[1]
            for line in lines
            if line.startswith("chicorycove_evacuated_domain_requests{")
        ]
        self.assertEqual(sorted(running), ["0.0", "1.0"])
        streamed = await stream
        self.assertTrue(streamed.complete)
        self.assertEqual(len(streamed.events), ANSWER_EVENTS)
        await self.readmit("here", "there")
        self.assertEqual((await self.request("/order/x")).status, 200)
        lines = (await self.read_metrics()).splitlines()
        for domain in "here", "there":
            line = f'chicorycove_evacuated_domains{{failure_domain="{domain}"}} 0.0'
            self.assertIn(line, lines)
        log = await self.log_lines()
        subjects = {
            (line["event"], line.get("subject"))
            for line in log
            if line["event"].startswith("evacuation")
        }
        events = ("evacuation begun", "evacuation ended")
        expected = {(event, domain) for event in events for domain in ("here", "there")}
        self.assertEqual(subjects, expected)
        reasons = [line["reason"] for line in log if line["event"] == "request failed"]
        self.assertEqual(reasons, ["service_evacuated"])

    async def test_order_that_precedes_the_start_holds_from_the_first_request(self):
        self.store.put("op/evacuate/here", b"")
        await self.process.stop()
        self.process = await self.start_entry()
        self.assertEqual(await self.count_runs_of_first_servers(), 0)

    async def test_order_holds_while_the_store_is_away(self):
        await self.evacuate("here")
        self.store.faults.down = True
        await asyncio.sleep(EVACUATION_TIME)
        self.assertEqual(await self.count_runs_of_first_servers(), 0)
        self.store.faults.down = False

    async def test_requests_stay_in_the_regions_of_route_and_workspace(self):
        routes = [
            route("lookup", allowedRegions=["south", "east"]),
            route("order", kind="unsafe"),
            route("deny", allowedRegions=["north"]),
        ]
        limited = config(2, routes)
        limited["tenants"][0]["allowedRegions"] = ["south"]
        self.store.put("op/config", json.dumps(limited).encode())
        await asyncio.sleep(EVACUATION_TIME)
        for _ in range(6):
            self.assertEqual((await self.request("/lookup/x")).status, 200)
            self.assertEqual((await self.request("/order/x")).status, 200)
        self.assertEqual(self.shop_servers[0].runs, [])
        answer = await self.request("/deny/x")
        self.assertEqual(answer.status, 503)
        self.assertIn("retry-after", answer.headers)
        self.assertEqual(len(self.shop_servers[1].runs), 12)
