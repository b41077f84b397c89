"""Tests the ledger, also against a model of an engine's memory."""

import unittest

from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from chicorycove.event import EngineMemoryReported
from chicorycove.identity import AttemptId
from chicorycove.ledger import Ledger, LedgerSettings

CAPACITY = 1000
SETTINGS = LedgerSettings(
    lease_duration=3.0, cancel_retry_interval=1.0, max_preemptions=2
)


def attempt(number):
    return AttemptId("r", number, "n")


def report(held, as_of, capacity=CAPACITY):
    return EngineMemoryReported(capacity, sum(held.values()), dict(held), as_of)


class LedgerTest(unittest.TestCase):
    def setUp(self):
        self.ledger = Ledger(CAPACITY, SETTINGS)

    def test_reserves_up_to_capacity(self):
        self.assertTrue(self.ledger.reserve(attempt(1), "e", 1000, 0.0))
        self.assertFalse(self.ledger.reserve(attempt(2), "e", 1, 0.0))
        self.assertEqual(self.ledger.release(attempt(1)), 1000)
        self.assertTrue(self.ledger.reserve(attempt(2), "e", 1, 0.0))

    def test_same_attempt_is_counted_once(self):
        self.assertTrue(self.ledger.reserve(attempt(1), "e", 600, 0.0))
        self.assertTrue(self.ledger.reserve(attempt(1), "e", 600, 0.0))
        self.assertEqual(self.ledger.used, 600)

    def test_growth_stops_at_capacity(self):
        self.ledger.reserve(attempt(1), "e", 600, 0.0)
        self.assertTrue(self.ledger.grow(attempt(1), 1000))
        self.assertFalse(self.ledger.grow(attempt(1), 1001))
        self.assertEqual(self.ledger.used, 1000)

    def test_memory_of_lapsed_owner_counts_until_released(self):
        self.ledger.reserve(attempt(1), "lapsed", 400, 0.0)
        self.ledger.reserve(attempt(2), "alive", 400, 0.0)
        self.ledger.renew("alive", 2.0)
        self.assertEqual(self.ledger.cancel_lapsed(2.9), [])
        self.assertEqual(self.ledger.cancel_lapsed(3.0), [attempt(1)])
        self.assertEqual(self.ledger.used, 800)
        self.assertFalse(self.ledger.reserve(attempt(1), "lapsed", 400, 3.0))

    def test_lost_cancel_is_repeated(self):
        self.ledger.reserve(attempt(1), "e", 400, 0.0)
        self.assertEqual(self.ledger.cancel_lapsed(3.0), [attempt(1)])
        self.assertEqual(self.ledger.cancel_lapsed(3.5), [])
        self.assertEqual(self.ledger.cancel_lapsed(4.0), [attempt(1)])

    def test_cancelled_attempt_that_the_engine_dropped_is_released(self):
        self.ledger.reserve(attempt(1), "e", 400, 0.0)
        self.ledger.cancel_lapsed(3.0)
        self.ledger.reconcile(report({}, as_of=2.9))
        self.assertEqual(self.ledger.used, 400)
        self.ledger.reconcile(report({}, as_of=3.1))
        self.assertEqual(self.ledger.used, 0)

    def test_memory_without_reservation_is_cancelled_and_counts(self):
        orphan = attempt(9)
        cancels = self.ledger.reconcile(report({orphan: 700}, as_of=1.0))
        self.assertEqual(cancels, [orphan])
        self.assertFalse(self.ledger.reserve(attempt(1), "e", 400, 1.0))
        self.ledger.reconcile(report({}, as_of=2.0))
        self.assertTrue(self.ledger.reserve(attempt(1), "e", 400, 2.0))

    def test_report_raises_a_reservation(self):
        self.ledger.reserve(attempt(1), "e", 400, 0.0)
        self.ledger.reconcile(report({attempt(1): 500}, as_of=1.0))
        self.assertEqual(self.ledger.used, 500)

    def test_engine_that_shrank_accepts_no_more(self):
        self.ledger.reserve(attempt(1), "e", 400, 0.0)
        self.ledger.reconcile(report({}, as_of=1.0, capacity=300))
        self.assertEqual(self.ledger.free, -100)
        self.assertFalse(self.ledger.reserve(attempt(2), "e", 1, 1.0))


class PreemptionTest(unittest.TestCase):
    def setUp(self):
        self.ledger = Ledger(CAPACITY, SETTINGS)
        self.ledger.reserve(attempt(1), "e", 300, 0.0, priority=5)
        self.ledger.reserve(attempt(2), "e", 300, 1.0, priority=9)
        self.ledger.reserve(attempt(3), "e", 300, 2.0, priority=9)

    def test_lowest_priority_and_latest_is_preempted_first(self):
        self.assertEqual(self.ledger.victims(200, 0), [attempt(3)])
        self.assertEqual(self.ledger.victims(500, 0), [attempt(3), attempt(2)])

    def test_equal_priority_is_never_preempted(self):
        self.assertEqual(self.ledger.victims(200, 9), [])
        self.assertEqual(self.ledger.victims(900, 5), [])

    def test_nothing_is_preempted_if_memory_does_not_fit(self):
        self.assertEqual(self.ledger.victims(CAPACITY + 1, 0), [])

    def test_one_attempt_is_preempted_a_bounded_number_of_times(self):
        for _ in range(SETTINGS.max_preemptions):
            self.assertEqual(self.ledger.victims(200, 0), [attempt(3)])
            self.ledger.preempt(attempt(3))
            self.ledger.reserve(attempt(3), "e", 300, 2.0, priority=9)
        self.assertEqual(self.ledger.victims(200, 0), [attempt(2)])

    def test_member_of_a_group_is_not_preempted(self):
        self.ledger.release(attempt(3))
        self.ledger.reserve(attempt(4), "e", 300, 3.0, 9, preemptible=False)
        self.assertEqual(self.ledger.victims(200, 0), [attempt(2)])


class MemoryMachine(RuleBasedStateMachine):
    """An engine, owners that crash, and cancels that are lost.

    The oracle is the engine's own table. An attempt that started holds engine
    memory until the engine receives a cancel or finishes it.
    """

    TICK = 0.5

    @initialize()
    def start(self):
        self.now = 0.0
        self.ledger = Ledger(CAPACITY, SETTINGS)
        self.engine = {}
        self.alive = {"a", "b"}
        self.numbers = 0
        self.history = []

    @rule(owner=st.sampled_from(["a", "b"]), memory=st.integers(1, 600))
    def reserve(self, owner, memory):
        if owner not in self.alive:
            return
        self.numbers += 1
        new = attempt(self.numbers)
        if self.ledger.reserve(new, owner, memory, self.now, priority=5):
            self.ledger.renew(owner, self.now)
            self.engine[new] = memory

    @rule(memory=st.integers(1, 600))
    def orphan(self, memory):
        """Have the engine hold an attempt of an earlier agent."""
        if memory <= CAPACITY - self.ledger.used:
            self.numbers += 1
            self.engine[AttemptId("old", self.numbers, "n")] = memory
            self.report()

    @rule(data=st.data())
    def finish(self, data):
        if self.engine:
            ended = data.draw(st.sampled_from(sorted(self.engine, key=str)))
            del self.engine[ended]
            self.ledger.release(ended)

    @rule(owner=st.sampled_from(["a", "b"]))
    def crash(self, owner):
        self.alive.discard(owner)

    @rule(owner=st.sampled_from(["a", "b"]))
    def restart(self, owner):
        self.alive.add(owner)
        self.ledger.renew(owner, self.now)

    @rule(lost=st.booleans())
    def tick(self, lost):
        self.now += self.TICK
        for owner in self.alive:
            self.ledger.renew(owner, self.now)
        self.cancel(self.ledger.cancel_lapsed(self.now), lost)

    @rule(lag=st.integers(0, 3))
    def report(self, lag=0):
        """Have the engine report the memory it held some ticks ago."""
        self.history.append((self.now, dict(self.engine)))
        as_of, held = self.history[max(0, len(self.history) - 1 - lag)]
        self.cancel(self.ledger.reconcile(report(held, as_of)), lost=False)

    def cancel(self, attempts, lost):
        if lost:
            return
        for cancelled in attempts:
            self.engine.pop(cancelled, None)
            self.ledger.release(cancelled)

    @invariant()
    def engine_memory_is_never_overcommitted(self):
        assert sum(self.engine.values()) <= CAPACITY
        held = sum(size for each, size in self.engine.items() if each in self.ledger)
        assert self.ledger.used >= held

    def teardown(self):
        """Check that all memory is free two leases after the owners crash."""
        self.alive.clear()
        end = self.now + 2 * SETTINGS.lease_duration
        while self.now < end:
            self.tick(lost=self.now < end - 2 * SETTINGS.cancel_retry_interval)
            self.report()
        assert self.engine == {}, self.engine
        assert self.ledger.used == 0, self.ledger.used


class MemoryTest(MemoryMachine.TestCase):
    """Runs the machine under a name that test processes can import."""


MemoryTest.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)
