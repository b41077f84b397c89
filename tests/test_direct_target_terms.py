"""Tests that what a target says holds for its incarnation, however it came."""

import itertools
import unittest

from chicorycove import Reason, Verdict
from chicorycove.direct.board import WorkItem, WorkItemKey
from chicorycove.direct.command import ProbeTarget
from chicorycove.direct.event import (
    AnswerHeadReceived,
    AttemptConnected,
    PeerUpdateReceived,
    TargetAnswer,
    TargetAnswered,
    TargetNotice,
    TargetUnlisted,
)
from chicorycove.direct.settings import DirectSettings
from chicorycove.direct.target_terms import TargetTerms, UnlistedTerms
from chicorycove.identity import AgentId
from chicorycove.lifecycle import CallerDisconnected, MemoryReserved, Tick

from .direct import LONG, LOOKUP, SHORT, DirectWorld, command_names, only_command
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

    def test_listing_without_a_start_time_is_of_the_incarnation_listed_before(self):
        send = self.world.send("r", LOOKUP)
        answer = TargetAnswer(503, True, retry_after=3.0)
        self.world.handle(AnswerHeadReceived(send.attempt, answer))
        self.world.add_target("s0", "shop", started_at=0)
        self.assertTrue(self.is_refused("early"))

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


class WaitingConnectionTest(unittest.TestCase):
    def setUp(self):
        self.world = DirectWorld(engines=0, shops=2)
        send = only_command(self.world.receive("first", LOOKUP), "SendAttempt")
        self.waiting = send
        answer = TargetAnswer(503, True, retry_after=3.0)
        self.world.handle(TargetAnswered(send.target, answer))
        self.world.now = 0.4

    def test_request_whose_connection_opens_during_a_backoff_goes_elsewhere(self):
        commands = self.world.handle(AttemptConnected(self.waiting.attempt))
        cancelled = only_command(commands, "CancelAttempt")
        self.assertEqual(cancelled.attempt, self.waiting.attempt)
        other = only_command(commands, "SendAttempt")
        self.assertNotEqual(other.target.target, self.waiting.target.target)
        request = self.world.board.requests["first"]
        self.assertEqual((request.sent_count, request.run_count), (0, 0))

    def test_withdrawn_request_without_another_target_is_refused_as_not_run(self):
        self.world.handle(TargetUnlisted("s0"))
        self.world.handle(TargetUnlisted("s1"))
        commands = self.world.handle(AttemptConnected(self.waiting.attempt))
        failure = only_command(commands, "FailRequest")
        self.assertIs(failure.verdict, Verdict.NOT_RUN)
        self.assertIs(failure.reason, Reason.NO_TARGET)


class GroupBackoffTest(TermsTestCase):
    def play(self, seed):
        """Let targets refuse requests while groups hold memory on them."""
        fleet = Fleet(entries=2, engines=4, seed=seed)
        fleet.event_count = 160  # the answers take 8 s
        fleet.load(LONG, rate=0.5, until=15.0, tokens=600_000)
        fleet.load(SHORT, rate=10.0, until=15.0)
        targets = self.refuse(fleet, *fleet.targets)
        fleet.run_until(30.0)
        return fleet, targets

    def test_orders_of_groups_keep_to_the_backoff_of_their_members(self):
        for seed in self.seeds:
            with self.subTest(seed=seed):
                _, targets = self.play(seed)
                self.assert_backoff(targets)


class LeaseBackoffTest(unittest.TestCase):
    def setUp(self):
        self.world = DirectWorld(engines=4)
        orders = self.orders(self.world.receive("r", LONG, tokens=700_000))
        for order in orders:
            commands = self.world.handle(MemoryReserved(order.attempt))
        self.send = only_command(commands, "SendAttempt")
        self.world.handle(AttemptConnected(self.send.attempt))
        self.world.stream(self.send)
        self.member = orders[-1].agent
        self.sent_at = [0.0]  # times of the orders to the member

    def orders(self, commands, agent=None):
        return [
            command
            for command in commands
            if type(command).__name__ in ("ReserveMemory", "ReleaseMemory")
            and agent in (None, command.agent)
        ]

    def refuse(self, retry_after):
        answer = TargetAnswer(503, True, retry_after=retry_after)
        commands = self.world.handle(TargetAnswered(self.member, answer))
        self.sent_at += [self.world.now] * len(self.orders(commands, self.member))

    def run_until(self, end):
        """Let time pass while the answer goes on."""
        while self.world.now < end:
            self.world.now = min(self.world.now + 0.1, end)
            self.world.stream(self.send, events=1)
            commands = self.world.handle(Tick())
            self.sent_at += [self.world.now] * len(self.orders(commands, self.member))

    def test_lease_is_renewed_as_a_backoff_begins_and_when_it_would_end(self):
        self.run_until(0.5)
        self.refuse(retry_after=6.0)
        self.run_until(6.5)
        in_backoff = [time for time in self.sent_at if 0.5 < time < 6.5]
        self.assertEqual(self.sent_at[1], 0.5)
        self.assertLessEqual(len(in_backoff), ALLOWED_REQUESTS)
        lease = DirectSettings().reservation.lease_duration
        for earlier, later in itertools.pairwise(self.sent_at):
            self.assertLess(later - earlier, lease)

    def test_lease_is_renewed_each_second_again_after_the_backoff(self):
        self.refuse(retry_after=3.0)
        self.run_until(8.0)
        times = [time for time in self.sent_at if time >= 3.0]
        self.assertGreaterEqual(len(times), 4)

    def test_no_release_is_sent_during_a_backoff(self):
        self.run_until(0.5)
        self.refuse(retry_after=6.0)
        self.run_until(0.7)
        commands = self.world.handle(CallerDisconnected("r"))
        self.assertEqual(self.orders(commands, self.member), [])
        self.world.now = 6.6
        self.assertEqual(self.orders(self.world.handle(Tick())), [])

    def test_group_is_not_sent_while_a_member_backs_off(self):
        orders = self.orders(self.world.receive("r2", LONG, tokens=700_000))
        answer = TargetAnswer(503, True, retry_after=3.0)
        self.world.handle(TargetAnswered(orders[-1].agent, answer))
        for order in orders:
            commands = self.world.handle(MemoryReserved(order.attempt))
            self.assertNotIn("SendAttempt", command_names(commands))

    def test_probes_share_the_calls_of_a_backoff(self):
        self.refuse(retry_after=6.0)
        self.world.now = 0.1
        target = self.member.target
        probes = [
            len(
                self.world.dispatcher._target_limits.withhold_calls(
                    [ProbeTarget(target, "10.0.0.1:80")], 0.1
                )
            )
            for _ in range(4)
        ]
        self.assertEqual(probes, [1, 1, 0, 0])
