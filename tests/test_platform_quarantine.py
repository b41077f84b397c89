"""Tests of crashing requests with entries and servers on real sockets."""

import asyncio
import time

from .platform_case import Caller, PlatformTestCase, new_boot
from .test_direct_crashing_request import ALLOWED_REPEATS
from .test_direct_quarantine import (
    ALLOWED_REQUESTS,
    COUNTED_CRASHES,
    HARMFUL,
    STABLE_AFTER,
)


class CrashTestCase(PlatformTestCase):
    """A test case with three entries and servers that may crash."""

    shop_count = 0
    model_count = 0

    async def asyncSetUp(self):
        self.crashes = []
        await super().asyncSetUp()
        self.callers = [self.boot.callers]
        for number in (2, 3):
            boot = new_boot(store=self.boot.store, name=f"entry-{number}")
            await self.start_entry(boot)
            self.callers.append(boot.callers)

    async def add_server(self, service, **fields):
        server = await super().add_server(service, **fields)
        server.crashing_part = HARMFUL
        server.crashing_path = f"/lookup/{HARMFUL}"
        task = asyncio.create_task(self.end_when_crashed(server))
        self.addCleanup(task.cancel)
        return server

    async def end_when_crashed(self, server):
        await server.crashed.wait()
        self.crashes.append(time.monotonic())
        await self.close_listener(server)

    async def send_request(self, address, path, **fields):
        caller = await Caller.open(address)
        try:
            return await caller.request(path, **fields)
        finally:
            caller.close()


class CrashingPartTest(CrashTestCase):
    model_count = 10

    async def send(self, address, parts):
        return await self.send_request(
            address,
            "/ask/x",
            Chicorycove_Token_Counts="1000,460",
            Chicorycove_Prompt_Prefix=parts,
        )

    def harmful_arrivals(self):
        return [
            run.time
            for server in self.model_servers
            for run in server.runs
            if HARMFUL in run.headers["chicorycove-prompt-prefix"]
        ]

    async def test_crashing_part_is_sent_to_few_servers_by_three_entries(self):
        for number in range(8):
            if len(self.crashes) < COUNTED_CRASHES:
                address = self.callers[number % 3]
                await self.send(address, f"c0:9,{HARMFUL}:9,{number:x}:9")
        if len(self.crashes) >= COUNTED_CRASHES:
            await asyncio.sleep(STABLE_AFTER)
        start = time.monotonic()
        for number in range(9):
            address = self.callers[number % 3]
            await self.send(address, f"c1:9,{HARMFUL}:9,{number:x}:9")
        late = [time for time in self.harmful_arrivals() if time >= start]
        self.assertLessEqual(len(late), ALLOWED_REQUESTS)
        sound = await self.send(self.callers[0], "c0:9,a1:9,ff:9")
        self.assertEqual(sound.status, 200)
        self.assertTrue(sound.complete)


class CrashingRequestTest(CrashTestCase):
    shop_count = 10

    async def fetch(self, number, page):
        address = self.callers[number % 3]
        return await self.send_request(address, f"/lookup/{page}", method="GET")

    async def test_request_that_crashed_three_servers_is_not_sent_on(self):
        for number in range(8):
            if len(self.crashes) < 3:
                await self.fetch(number, HARMFUL)
        await asyncio.sleep(STABLE_AFTER)
        count = len(self.runs())
        for number in range(9):
            await self.fetch(number, HARMFUL)
        self.assertLessEqual(len(self.runs()) - count, ALLOWED_REPEATS)
        sound = await self.fetch(0, "sound")
        self.assertEqual(sound.status, 200)
