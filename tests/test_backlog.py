"""Tests the agent's queue: order, ageing, deadlines and bounds."""

import unittest

from hypothesis import given, settings, strategies as st

from chicorycove.backlog import Backlog, BacklogSettings
from chicorycove.event import AttemptOffer
from chicorycove.identity import AttemptId
from chicorycove.ledger import Ledger, LedgerSettings
from chicorycove.reason import Reason

STEP = 5.0
SETTINGS = BacklogSettings(limit=4, ageing_step=STEP, backfill_time=1.0)


def offer(number, priority=0, memory=10, deadline=1e9, prefill=0, grouped=False):
    return AttemptOffer(
        AttemptId("r", number, "n"),
        "owner",
        "incarnation",
        deadline,
        priority,
        prefill=prefill,
        memory=memory,
        grouped=grouped,
    )


class OrderTest(unittest.TestCase):
    def setUp(self):
        self.backlog = Backlog(SETTINGS)
        self.ledger = Ledger(1000)

    def dequeue(self, now):
        offer = self.backlog.dequeue(now, self.ledger)
        return offer.attempt.number if offer else None

    def test_priority_goes_first(self):
        self.backlog.enqueue(offer(1, priority=5), 0.0)
        self.backlog.enqueue(offer(2, priority=0), 0.1)
        self.assertEqual([self.dequeue(0.2), self.dequeue(0.2)], [2, 1])

    def test_equal_priority_keeps_order(self):
        for number in (1, 2, 3):
            self.backlog.enqueue(offer(number), 0.0)
        self.assertEqual([self.dequeue(0.0) for _ in range(4)], [1, 2, 3, None])

    def test_wait_counts_as_priority(self):
        self.backlog.enqueue(offer(1, priority=2), 0.0)
        self.backlog.enqueue(offer(2, priority=0), 2 * STEP + 0.1)
        self.assertEqual(self.dequeue(2 * STEP + 0.1), 1)

    def test_dequeue_reserves_memory(self):
        self.backlog.enqueue(offer(1, memory=700), 0.0)
        self.dequeue(0.0)
        self.assertEqual(self.ledger.used, 700)
        self.assertNotIn(AttemptId("r", 1, "n"), self.backlog)


class AdmissionTest(unittest.TestCase):
    def setUp(self):
        self.backlog = Backlog(SETTINGS)

    def test_full_queue_refuses(self):
        for number in range(4):
            self.assertIsNone(self.backlog.enqueue(offer(number), 0.0))
        self.assertIs(self.backlog.enqueue(offer(9), 0.0), Reason.QUEUE_FULL)

    def test_offer_past_its_deadline_is_refused(self):
        expired = offer(1, deadline=5.0)
        self.assertIs(self.backlog.enqueue(expired, 5.0), Reason.DEADLINE_PAST)

    def test_infeasible_deadline_is_refused_with_an_estimate(self):
        self.backlog.record_prefill(1000, 1.0)
        self.assertIsNone(self.backlog.enqueue(offer(1, prefill=8000), 0.0))
        infeasible = offer(2, prefill=1000, deadline=5.0)
        reason = self.backlog.enqueue(infeasible, 0.0)
        self.assertIs(reason, Reason.DEADLINE_INFEASIBLE)
        self.assertEqual(self.backlog.retry_after(0.0), 4.0)

    def test_only_offers_ahead_count(self):
        self.backlog.record_prefill(1000, 1.0)
        self.backlog.enqueue(offer(1, priority=5, prefill=8000), 0.0)
        urgent = offer(2, priority=0, prefill=1000, deadline=5.0)
        self.assertIsNone(self.backlog.enqueue(urgent, 0.0))

    def test_expired_offers_are_returned_once(self):
        self.backlog.enqueue(offer(1, deadline=5.0), 0.0)
        self.backlog.enqueue(offer(2), 0.0)
        self.assertIsNone(self.backlog.enqueue(offer(3, priority=9), 0.0))
        self.assertEqual(
            [x.attempt.number for x in self.backlog.remove_expired(5.0)], [1]
        )
        self.assertEqual(self.backlog.remove_expired(5.0), [])
        self.assertEqual(len(self.backlog), 2)

    def test_offers_of_a_lapsed_owner_are_removed(self):
        ledger = Ledger(1000, LedgerSettings(lease_duration=3.0))
        ledger.renew("owner", 0.0)
        self.backlog.enqueue(offer(1), 0.0)
        self.assertEqual(self.backlog.remove_lapsed(2.9, ledger), [])
        self.assertEqual(self.backlog.remove_lapsed(3.0, ledger), [offer(1)])
        self.assertIsNone(self.backlog.dequeue(3.0, ledger))


class MemoryWaitTest(unittest.TestCase):
    def setUp(self):
        self.backlog = Backlog(BacklogSettings(limit=1000, backfill_time=1.0))
        self.ledger = Ledger(100)

    def test_small_offers_pass_a_blocked_head_for_a_bounded_time(self):
        self.ledger.reserve(AttemptId("r", 0, "n"), "o", 50, 0.0)
        self.backlog.enqueue(offer(1, memory=80), 0.0)
        self.backlog.enqueue(offer(2, memory=10), 0.0)
        self.assertEqual(self.backlog.dequeue(0.0, self.ledger).attempt.number, 2)
        self.backlog.enqueue(offer(3, memory=10), 0.5)
        self.assertIsNone(self.backlog.dequeue(1.0, self.ledger))

    def test_stream_of_small_offers_does_not_starve_a_member(self):
        """An offer of 10 tokens comes each 0.1 s and holds memory for 1 s."""
        member = offer(0, priority=9, memory=95, grouped=True)
        running = []
        self.backlog.enqueue(member, 0.0)
        for step in range(1, 1000):
            now = step * 0.1
            self.backlog.enqueue(offer(step, priority=0), now)
            for attempt in [attempt for end, attempt in running if end <= now]:
                self.ledger.release(attempt)
            running = [(end, attempt) for end, attempt in running if end > now]
            while (dequeued := self.backlog.dequeue(now, self.ledger)) is not None:
                if dequeued == member:
                    wait = 9 * SETTINGS.ageing_step + 1.0 + 1.0
                    self.assertLessEqual(now, wait + 0.2)
                    return
                running.append((now + 1.0, dequeued.attempt))
        self.fail("the member was starved")


class WaitBoundTest(unittest.TestCase):
    @given(
        st.lists(
            st.tuples(st.floats(0.0, 3.0), st.integers(0, 9), st.integers(1, 100)),
            max_size=60,
        ),
        st.integers(0, 9),
    )
    @settings(max_examples=100, deadline=None, derandomize=True)
    def test_offer_is_overtaken_only_within_its_ageing(self, arrivals, priority):
        """Offers that overtake another one arrived before its ageing bound."""
        backlog = Backlog(BacklogSettings(limit=1000, ageing_step=STEP))
        ledger = Ledger(100)
        watched = offer(0, priority=priority, memory=100)
        arrivals_by_attempt = {watched.attempt: (0.0, priority)}
        backlog.enqueue(watched, 0.0)
        now = 0.0
        for number, (gap, other_priority, memory) in enumerate(arrivals, 1):
            now += gap
            new = offer(number, priority=other_priority, memory=memory)
            arrivals_by_attempt[new.attempt] = (now, other_priority)
            backlog.enqueue(new, now)
        while (dequeued := backlog.dequeue(now, ledger)) is not None:
            if dequeued == watched:
                return
            arrived, other_priority = arrivals_by_attempt[dequeued.attempt]
            self.assertLessEqual(arrived, STEP * max(0, priority - other_priority))
            ledger.release(dequeued.attempt)
        self.fail("the offer was never dequeued")
