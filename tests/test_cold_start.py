"""Tests of callers that come before an entry knows any deployment."""

import asyncio
import itertools
import unittest
from unittest import mock

from chicorycove.direct.cold_start import ColdStartSettings, HeldRequests

from .platform_case import PlatformTestCase


class ColdStartTest(PlatformTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.store.faults.down = True
        self.entry = await self.start_entry(wait_ready=False)
        self.assertFalse(await self.is_ready())

    async def send(self, path="/lookup/x", **fields):
        """Send a request that is answered later."""
        caller = await self.open_caller()
        caller.send(path, method="GET", **fields)
        await asyncio.sleep(0.1)
        return caller

    async def test_caller_that_comes_before_the_configuration_is_answered(self):
        callers = [await self.send(), await self.send()]
        self.store.faults.down = False
        answers = [await caller.read() for caller in callers]
        self.assertEqual([answer.status for answer in answers], [200, 200])

    async def test_caller_whose_deadline_ends_first_is_told_when_to_return(self):
        caller = await self.send(Chicorycove_Time_Budget_Ms="400")
        answer = await caller.read()
        self.assertEqual(answer.status, 503)
        self.assertGreater(float(answer.headers["retry-after"]), 0.0)
        self.assertFalse([run for run in self.runs() if run.path == "/lookup/x"])

    async def test_held_request_is_rejected_at_once_by_the_configuration(self):
        callers = [await self.send("/none/x"), await self.send(key="wrong")]
        self.store.faults.down = False
        answers = [await caller.read() for caller in callers]
        self.assertEqual([answer.status for answer in answers], [404, 401])

    async def test_exception_as_a_request_is_held_no_longer_is_answered(self):
        caller = await self.send()
        where = "chicorycove.platform.headers.PlatformDialect.parse_request"
        with mock.patch(where, side_effect=KeyError("unforeseen")):
            self.store.faults.down = False
            self.assertEqual((await caller.read()).status, 503)
        self.assertEqual(self.runs(), [])

    async def test_held_request_of_a_caller_that_left_does_not_run(self):
        caller = await self.send()
        caller.close()
        await asyncio.sleep(0.1)
        self.store.faults.down = False
        await self.wait_until(self.is_ready)
        await asyncio.sleep(0.2)
        self.assertEqual(self.runs(), [])

    async def test_stopping_entry_refuses_held_requests_at_once(self):
        caller = await self.send()
        stop = asyncio.create_task(self.entry.stop())
        async with asyncio.timeout(1.0):
            answer = await caller.read()
        self.assertEqual(answer.status, 503)
        await stop


class HeldRequestsTest(unittest.TestCase):
    def setUp(self):
        settings = ColdStartSettings(max_requests=3, max_size=100, answer_time=0.2)
        self.held = HeldRequests(settings, started_at=10.0)
        self.keys = itertools.count()

    def hold(self, size=10, time_limit=1.0):
        key = next(self.keys)
        return self.held.hold(key, size, 12.0, time_limit, now=12.0)

    def test_request_is_held_until_its_answer_would_be_late(self):
        self.assertAlmostEqual(self.hold(time_limit=1.0), 12.8)
        self.assertIsNone(self.hold(time_limit=0.2))

    def test_count_and_size_are_bounded(self):
        self.assertIsNone(self.hold(size=101))
        self.assertIsNotNone(self.hold(size=60))
        self.assertIsNone(self.hold(size=60))
        self.assertIsNotNone(self.hold())
        self.assertIsNotNone(self.hold())
        self.assertIsNone(self.hold())
        self.assertTrue(self.held.remove(1))
        self.assertIsNotNone(self.hold(size=60))

    def test_earliest_deadline_is_taken_first(self):
        for time_limit in (3.0, 1.0, 2.0):
            self.hold(time_limit=time_limit)
        taken = [self.held.take_next() for _ in range(4)]
        self.assertEqual(taken, [1, 2, 0, None])

    def test_refused_callers_return_after_the_time_awaited_so_far(self):
        self.assertEqual(self.held.retry_after(0.0, now=12.0), 2.0)
        self.assertEqual(self.held.retry_after(0.5, now=12.0), 3.0)
        self.assertEqual(self.held.retry_after(0.0, now=10.0), 0.3)
        self.assertEqual(self.held.retry_after(0.0, now=90.0), 5.0)
