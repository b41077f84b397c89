"""Tests of connections to targets in a process that runs late."""

import asyncio
import unittest
import unittest.mock

from chicorycove.direct.client import CONNECT_TIMEOUT, CallFailed, HttpClient
from chicorycove.direct.event import TargetProbed
from chicorycove.direct.settings import DirectSettings
from chicorycove.direct.target_calls import TargetCalls

from .platform_case import PlatformTestCase
from .scripted import ScriptedServer, answer

SLOW_TIME = 2.0  # seconds, within the deadline of an order
LATE_TURNS = 16  # of the event loop, more than a call takes


class SteppedClock:
    """Advances the event loop's clock, as turns do that take long."""

    def __init__(self):
        self._loop = asyncio.get_running_loop()
        self._real_time = self._loop.time
        self._offset = 0.0
        self._loop.time = self.time

    def time(self):
        return self._real_time() + self._offset

    async def delay_turns(self, delays, begun=lambda: True):
        """Delay one turn after the other, once a call has begun."""
        while not begun():
            await asyncio.sleep(0)
        for delay in delays:
            self._offset += delay
            await asyncio.sleep(0)


def late_turns(timeout):
    """Yield delays by which a timeout ends in one turn or another."""
    for turn in range(LATE_TURNS):
        yield [0.0] * turn + [1.1 * timeout]
    for share in (0.1, 0.2, 0.25, 0.34, 0.5, 0.75, 1.0):
        yield [share * timeout] * int(SLOW_TIME / (share * timeout))


class OrderTest(PlatformTestCase):
    """Orders may run once, and are served although the process runs late."""

    model_count = 0

    async def asyncSetUp(self):
        self.clock = SteppedClock()
        await super().asyncSetUp()

    async def test_order_is_not_sent_again_as_its_connection_times_out(self):
        timeout = DirectSettings().timeouts.connect_timeout
        others = []
        for delays in late_turns(timeout):
            caller = await self.open_caller()
            order = caller.send("/order/x")
            turns = self.clock.delay_turns(delays, lambda: self.process._entry.busy)
            reply, _ = await asyncio.gather(caller.read(), turns)
            runs = [run for run in self.runs() if run.attempt == order]
            if (reply.status, len(runs)) != (200, 1):
                others.append((delays, reply.status, len(runs)))
        self.assertEqual(others, [])
        events = {line["event"] for line in await self.log_lines()}
        self.assertNotIn("attempt failed", events)


class CallTest(unittest.IsolatedAsyncioTestCase):
    """Calls go on over connections that have opened in time."""

    async def asyncSetUp(self):
        async def handle(request):
            request.send(answer(b"{}"))

        self.server = await ScriptedServer.start(handle)
        self.addAsyncCleanup(self.server.close)
        self.clock = SteppedClock()

    async def test_open_connection_does_not_time_out(self):
        failures = []
        for delays in late_turns(CONNECT_TIMEOUT):
            client = HttpClient(self.server.address)
            call = client.call("GET", "/", timeout=2 * SLOW_TIME)
            try:
                await asyncio.gather(call, self.clock.delay_turns(delays))
            except CallFailed as error:
                failures.append((delays, error))
        self.assertEqual(failures, [])

    async def test_live_target_is_not_reported_as_unreachable(self):
        settings = DirectSettings()
        events = []
        log = unittest.mock.Mock()
        calls = TargetCalls(None, None, settings, log, events.append)
        for delays in late_turns(settings.timeouts.connect_timeout):
            probe = calls.probe("i-1", self.server.address)
            await asyncio.gather(probe, self.clock.delay_turns(delays))
        self.assertNotIn(TargetProbed("i-1", False), events)
        log.write.assert_not_called()
