"""Tests of the bound on what an entry holds for its callers."""

import random
import unittest

from chicorycove import Reason, Verdict
from chicorycove.direct.caller_buffers import CallerBuffers
from chicorycove.direct.event import BufferBoundExceeded
from chicorycove.direct.settings import DirectSettings
from chicorycove.platform.process import create_settings

from .direct import (
    LOOKUP,
    ORDER,
    SHORT,
    DirectWorld,
    command_names,
    only_command,
)
from .platform_case import new_boot

BOUND = 38_000_000  # bytes, of an entry with 152 MB
SMALL = 5_000  # bytes


class World:
    """Connections whose bytes are ended as an entry does it."""

    def __init__(self, bound=BOUND):
        self.buffers = CallerBuffers(bound)
        self.sizes = {}
        self.ended = []
        self.largest_total = 0
        self.measured = 0

    def measure(self, key):
        self.measured += 1
        return self.sizes.get(key, 0)

    def hold(self, key, size):
        self.sizes[key] = size
        self.buffers.update(key, size)
        if self.buffers.recount_due:
            self.buffers.recount(self.measure)
            while self.buffers.exceeded:
                fullest, _ = self.buffers.find_fullest()
                self.ended.append((fullest, self.sizes.pop(fullest)))
                self.buffers.remove(fullest)
        self.largest_total = max(self.largest_total, sum(self.sizes.values()))


class CallerBuffersTest(unittest.TestCase):
    def test_one_huge_connection_is_ended_and_many_small_ones_stay(self):
        world = World()
        for number in range(1_500):
            world.hold(number, SMALL)
        for size in range(1_000_000, 40_000_000, 1_000_000):
            if "huge" in world.sizes or size == 1_000_000:
                world.hold("huge", size)
        self.assertEqual([key for key, _ in world.ended], ["huge"])
        self.assertEqual(len(world.sizes), 1_500)

    def test_of_equal_connections_as_few_as_needed_are_ended(self):
        world = World()
        for number in range(1_500):
            world.hold(number, 320_000)
        self.assertGreaterEqual(len(world.sizes), BOUND // 320_000)
        self.assertLessEqual(world.largest_total, BOUND * 1.01)

    def test_fullest_is_ended_first_under_load(self):
        rng = random.Random(1)
        world = World()
        for _ in range(20_000):
            key = rng.randrange(4_000)
            size = int(rng.paretovariate(1.2) * SMALL)
            before = max([*world.sizes.values(), size])
            ended = len(world.ended)
            world.hold(key, size)
            for _, ended_size in world.ended[ended : ended + 1]:
                self.assertEqual(ended_size, before)
        self.assertTrue(world.ended)
        self.assertLessEqual(world.largest_total, BOUND * 1.01)
        # A recount measures up to 4,000 connections. One for each update near
        # the bound would delay the event loop.
        self.assertLess(world.measured, 20_000 * 200)

    def test_large_answers_share_a_bound_that_small_ones_do_not_need(self):
        world = World(2_000_000)
        world.hold("first", 900_000)
        world.hold("second", 1_000_000)
        world.hold("small", 65_536)
        world.hold("third", 950_000)
        self.assertEqual([key for key, _ in world.ended], ["second"])
        world.hold("small too", 65_536)
        self.assertEqual(len(world.ended), 1)

    def test_connection_that_has_shrunk_unnoticed_is_not_ended(self):
        world = World(1_000)
        world.hold("drained", 900)
        world.sizes["drained"] = 100
        world.hold("other", 800)
        self.assertEqual(world.ended, [])
        self.assertEqual(world.buffers.total, 900)

    def test_removed_connection_counts_no_longer(self):
        buffers = CallerBuffers(1_000)
        buffers.update("a", 600)
        buffers.remove("a")
        buffers.remove("a")
        self.assertEqual(buffers.total, 0)
        self.assertIsNone(buffers.find_fullest())

    def test_bound_is_a_share_of_the_memory_if_it_is_known(self):
        small = create_settings(new_boot(memory=152_000_000)).caller_buffers
        self.assertEqual(small.max_size, BOUND)
        unknown = create_settings(new_boot(memory=0)).caller_buffers
        self.assertEqual(unknown.max_size, 67_108_864)


class FullestRequestTest(unittest.TestCase):
    def setUp(self):
        self.world = DirectWorld()

    def end(self, answerable=True):
        return self.world.handle(BufferBoundExceeded("r", answerable))

    def test_request_that_was_not_sent_is_refused_as_not_run(self):
        self.world.receive("r", ORDER)
        fail = only_command(self.end(), "FailRequest")
        self.assertEqual(
            (fail.reason, fail.verdict), (Reason.BUFFERS_FULL, Verdict.NOT_RUN)
        )
        self.assertEqual(fail.retry_after, DirectSettings().caller_buffers.retry_after)

    def test_request_that_may_have_run_is_not_refused_as_not_run(self):
        self.world.send("r", ORDER)
        fail = only_command(self.end(), "FailRequest")
        self.assertIs(fail.verdict, Verdict.MAY_HAVE_RUN)
        self.assertIsNone(fail.retry_after)

    def test_answer_that_has_started_is_aborted(self):
        self.world.stream(self.world.send("r", SHORT))
        names = command_names(self.end())
        self.assertIn("AbortAnswer", names)
        self.assertIn("CancelAttempt", names)
        self.assertNotIn("FailRequest", names)

    def test_caller_that_reads_nothing_gets_no_refusal(self):
        self.world.send("r", LOOKUP)
        self.assertIn("AbortAnswer", command_names(self.end(answerable=False)))

    def test_end_is_not_held_against_the_target(self):
        for number in range(5):
            send = self.world.send(f"r{number}", LOOKUP)
            self.world.handle(BufferBoundExceeded(f"r{number}", True))
            view = self.world.board.targets[send.target.target]
            self.assertFalse(view.is_avoided(self.world.now))
            self.assertEqual(view.work_items, {})

    def test_request_that_has_ended_meanwhile_is_left_alone(self):
        self.assertEqual(self.end(), [])
