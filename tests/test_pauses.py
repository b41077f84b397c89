"""Failure: a process acts on a permission that ended while it was paused.

Each permission is checked against the time immediately before the action. For
the planner's lease, see ``tests/test_lease.py`` and
``tests/test_order_processes.py``; for claims, ``tests/test_faults.py``; for a
backoff, ``tests/test_direct_backoff.py``.
"""

import time
import unittest
from unittest import mock

from chicorycove.clock import Clock
from chicorycove.direct.event import AttemptConnected
from chicorycove.lifecycle import MemoryReserved, Tick
from chicorycove.platform.process import EventLoop
from tests.direct import LONG, DirectWorld, command_names, only_command

PAUSE = 3.5  # seconds, more than the lease of reserved memory


class ReservedMemoryTest(unittest.TestCase):
    def setUp(self):
        self.world = DirectWorld(engines=4)
        commands = self.world.receive("r", LONG, tokens=700_000)
        self.orders = [
            command for command in commands if type(command).__name__ == "ReserveMemory"
        ]

    def confirm(self):
        return [
            command
            for order in self.orders
            for command in self.world.handle(MemoryReserved(order.attempt))
        ]

    def test_memory_confirmed_before_a_pause_is_not_used_after_it(self):
        self.world.now += PAUSE
        self.assertNotIn("SendAttempt", command_names(self.confirm()))
        names = command_names(self.world.handle(Tick()))
        self.assertIn("ReleaseMemory", names)
        self.assertNotIn("SendAttempt", names)

    def test_connection_that_opens_after_a_pause_is_not_used(self):
        send = only_command(self.confirm(), "SendAttempt")
        self.world.now += PAUSE
        commands = self.world.handle(AttemptConnected(send.attempt))
        self.assertIn("CancelAttempt", command_names(commands))
        self.assertFalse(self.world.board.requests["r"].may_have_run)


class ClockTest(unittest.TestCase):
    def test_clock_goes_on_while_the_host_is_suspended(self):
        clock = Clock()
        before = clock.now()
        boot_time = time.clock_gettime(time.CLOCK_BOOTTIME)
        with mock.patch("time.clock_gettime", return_value=boot_time + 100.0):
            self.assertGreaterEqual(clock.now() - before, 99.0)

    def test_event_loop_goes_on_while_the_host_is_suspended(self):
        loop = EventLoop()
        self.addCleanup(loop.close)
        before = loop.time()
        with mock.patch("time.clock_gettime", return_value=before + 100.0):
            self.assertGreaterEqual(loop.time() - before, 99.0)
