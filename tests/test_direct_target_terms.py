"""Tests that what a target says holds for its incarnation, however it came."""

import unittest

from chicorycove.direct.board import WorkItem, WorkItemKey
from chicorycove.direct.event import (
    AnswerHeadReceived,
    PeerUpdateReceived,
    TargetAnswer,
    TargetNotice,
    TargetUnlisted,
)
from chicorycove.direct.target_terms import TargetTerms, UnlistedTerms
from chicorycove.identity import AgentId

from .direct import LOOKUP, SHORT, DirectWorld
from .direct_fleet import LINK_DELAY, Fleet
from .test_direct_backoff import ALLOWED_REQUESTS, GRACE

RETRY_AFTER = 6.0  # seconds that targets name
START, END = 5.0, 20.0  # seconds between which targets refuse requests


class TermsTestCase(unittest.TestCase):
    seeds = (1, 2, 3)

    def refuse(self, fleet, *ids, retry_after=RETRY_AFTER):
        """Let targets refuse all requests from START to END."""
        targets = [fleet.targets[id] for id in ids]
        for target in targets:
            fleet.call_at(START, setattr, target, "retry_after", retry_after)
            fleet.call_at(END, setattr, target, "retry_after", None)
        return targets

    def assert_backoff(self, targets):
        for target in targets:
            self.assertTrue(target.refusals)
            most = target.most_arrivals_in_backoff(GRACE)
            self.assertLessEqual(most, ALLOWED_REQUESTS, target.listing.id)


class ListedAgainTest(TermsTestCase):
    def play(self, seed, gap):
        """Let the platform drop targets once a second, and list them again."""
        fleet = Fleet(engines=8, shops=3, seed=seed)
        for time in range(5, 25):
            for id in ("e0", "s0"):
                fleet.call_at(time + 0.5, fleet.relist, id, gap)
        fleet.load(SHORT, rate=20.0, until=25.0)
        fleet.load(LOOKUP, rate=10.0, until=25.0)
        return fleet

    def test_target_listed_again_during_its_backoff_gets_no_requests(self):
        for seed in self.seeds:
            for gap in (0.0, 0.3):
                with self.subTest(seed=seed, gap=gap):
                    fleet = self.play(seed, gap)
                    targets = self.refuse(fleet, "e0", "s0")
                    fleet.run_until(40.0)
                    self.assert_backoff(targets)
                    self.assertEqual(fleet.answered_share(0.0, 25.0), 1.0)

    def test_leaving_target_that_is_listed_again_gets_no_requests(self):
        for seed in self.seeds:
            with self.subTest(seed=seed):
                fleet = self.play(seed, 0.1)
                for id in ("e0", "s0"):
                    fleet.call_at(START, setattr, fleet.targets[id], "leaving", True)
                fleet.run_until(40.0)
                late = [
                    fleet.targets[id].count_arrivals(START + 2.0, 40.0)
                    for id in ("e0", "s0")
                ]
                self.assertEqual(late, [0, 0])


class UnlistedTermsTest(unittest.TestCase):
    def setUp(self):
        self.world = DirectWorld(engines=0, shops=1)

    def is_refused(self, id):
        commands = self.world.receive(id, LOOKUP)
        return any(type(command).__name__ == "FailRequest" for command in commands)

    def test_answer_that_comes_while_its_target_is_not_listed_counts(self):
        send = self.world.send("r", LOOKUP)
        self.world.handle(TargetUnlisted("s0"))
        answer = TargetAnswer(503, True, retry_after=3.0)
        self.world.handle(AnswerHeadReceived(send.attempt, answer))
        self.world.add_target("s0", "shop")
        self.assertTrue(self.is_refused("early"))
        self.world.now = 3.0
        self.assertFalse(self.is_refused("late"))

    def test_notice_that_comes_before_its_target_is_listed_counts(self):
        notice = TargetNotice(AgentId("s1", "1"), 9.0, True)
        self.world.handle(PeerUpdateReceived("entry-2", notices=(notice,)))
        self.world.handle(TargetUnlisted("s0"))
        self.world.add_target("s1", "shop")
        self.assertTrue(self.is_refused("r"))

    def test_earlier_incarnation_that_is_listed_again_keeps_its_terms(self):
        send = self.world.send("r", LOOKUP)
        answer = TargetAnswer(503, True, retry_after=3.0)
        self.world.handle(AnswerHeadReceived(send.attempt, answer))
        self.world.add_target("s0", "shop", started_at=2)
        self.assertFalse(self.is_refused("new"))
        self.world.add_target("s0", "shop", started_at=1)
        self.assertTrue(self.is_refused("old"))

    def test_work_of_a_peer_is_charged_once_if_its_target_is_listed_again(self):
        send = self.world.send("r", LOOKUP)
        self.world.answer(send, TargetAnswer(200, False, rate_limit=1.0))
        item = WorkItem(WorkItemKey("entry-2", 1), "s0")
        update = PeerUpdateReceived("entry-2", (item,))
        self.world.handle(update)
        balance = self.world.board.targets["s0"].terms.rate_limit.balance
        self.world.handle(TargetUnlisted("s0"))
        self.world.add_target("s0", "shop")
        self.world.handle(update)
        limit = self.world.board.targets["s0"].terms.rate_limit
        self.assertEqual(limit.balance, balance)

    def test_oldest_terms_are_dropped_beyond_the_capacity(self):
        unlisted = UnlistedTerms(capacity=2)
        for number in range(4):
            terms = TargetTerms(leaving_announced=number > 0)
            unlisted.keep(AgentId(f"t{number}", "1"), terms)
        kept = [
            unlisted.find(AgentId(f"t{number}", "1")).leaving_announced
            for number in range(4)
        ]
        self.assertEqual(kept, [False, False, True, True])


class UnawaitedAnswerTest(TermsTestCase):
    def test_refusal_of_a_request_whose_caller_left_begins_a_backoff(self):
        for seed in self.seeds:
            with self.subTest(seed=seed):
                fleet = Fleet(engines=4, shops=1, seed=seed)
                targets = self.refuse(fleet, "s0")
                patience = 1.5 * LINK_DELAY  # the refusal is on its way then
                fleet.load(LOOKUP, rate=20.0, until=END, patience=patience)
                fleet.run_until(30.0)
                self.assert_backoff(targets)
