"""Tests of targets that ask entries to back off, or say that they leave."""

import unittest

from chicorycove import Reason, Verdict
from chicorycove.direct import peer_datagram
from chicorycove.direct.command import UpdatePeers
from chicorycove.direct.event import (
    AnswerHeadReceived,
    PeerUpdateReceived,
    TargetAnswer,
    TargetNotice,
)
from chicorycove.direct.settings import DirectSettings
from chicorycove.direct.target_limits import TargetLimitSettings
from chicorycove.identity import AgentId
from chicorycove.lifecycle import MemoryReserved
from chicorycove.platform.headers import PlatformDialect

from .direct import (
    LONG,
    LOOKUP,
    REVISION,
    SHORT,
    DirectWorld,
    command_names,
    only_command,
)
from .direct_fleet import Fleet, cut_datagram

RETRY_AFTER = 3.0  # seconds that targets name
GRACE = 0.5  # seconds after a refusal in which requests may still arrive
ALLOWED_REQUESTS = 2  # of one entry, from then on
DRAIN_TIME = 2.0  # seconds


class BackoffHeaderTest(unittest.TestCase):
    def parse(self, status, *headers):
        return PlatformDialect().parse_answer_head(status, list(headers))

    def test_retry_after_is_read_from_a_refusal_only(self):
        self.assertEqual(self.parse(503, (b"Retry-After", b"2.5")).retry_after, 2.5)
        self.assertIsNone(self.parse(200, (b"Retry-After", b"2.5")).retry_after)
        self.assertIsNone(self.parse(503).retry_after)

    def test_leaving_is_read_from_any_answer(self):
        for status in (200, 500, 503):
            self.assertTrue(self.parse(status, (b"Server-Leaving", b"1")).leaving)
        self.assertFalse(self.parse(200, (b"Server-Leaving", b"0")).leaving)
        self.assertFalse(self.parse(200).leaving)

    def test_other_value_is_reported_and_ignored(self):
        for header in (b"Retry-After", b"-1"), (b"Retry-After", b"Fri, 04 Dec"):
            with self.subTest(header=header):
                answer = self.parse(503, header)
                self.assertIsNone(answer.retry_after)
                self.assertEqual(len(answer.invalid_headers), 1)
        answer = self.parse(200, (b"Server-Leaving", b"yes"))
        self.assertFalse(answer.leaving)
        self.assertEqual(answer.invalid_headers, ("server-leaving: yes",))


class BackoffTest(unittest.TestCase):
    def refuse(self, fleet, start, end, *ids):
        """Let targets refuse all requests for some time."""
        targets = [fleet.targets[id] for id in ids]
        for target in targets:
            fleet.call_at(start, setattr, target, "retry_after", RETRY_AFTER)
            fleet.call_at(end, setattr, target, "retry_after", None)
        return targets

    def assert_backoff(self, targets):
        for target in targets:
            most = target.most_arrivals_in_backoff(GRACE)
            self.assertLessEqual(most, ALLOWED_REQUESTS, target.listing.id)

    def test_target_that_asks_an_entry_to_back_off_gets_no_requests_from_it(self):
        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                fleet = Fleet(engines=8, shops=3, seed=seed)
                targets = self.refuse(fleet, 5.0, 20.0, "e0", "e1", "e2", "s0")
                fleet.load(SHORT, rate=20.0, until=30.0)
                fleet.load(LOOKUP, rate=10.0, until=30.0)
                fleet.run_until(40.0)
                self.assert_backoff(targets)
                self.assertEqual(fleet.answered_share(0.0, 30.0), 1.0)

    def test_backoff_is_kept_while_all_targets_of_a_service_ask_for_it(self):
        fleet = Fleet(engines=0, shops=3)
        targets = self.refuse(fleet, 5.0, 20.0, "s0", "s1", "s2")
        fleet.load(LOOKUP, rate=20.0, until=30.0)
        fleet.run_until(40.0)
        self.assert_backoff(targets)
        self.assertEqual(fleet.answered_share(24.0, 30.0), 1.0)

    def test_backoff_is_kept_while_datagrams_are_lost(self):
        fleet = Fleet(engines=8, loss=0.3)
        targets = self.refuse(fleet, 5.0, 20.0, "e0", "e1", "e2")
        fleet.load(SHORT, rate=20.0, until=30.0)
        fleet.run_until(40.0)
        self.assert_backoff(targets)

    def test_other_entries_prefer_other_targets(self):
        fleet = Fleet(engines=8)
        (target,) = self.refuse(fleet, 5.0, 20.0, "e0")
        fleet.load(SHORT, rate=20.0, until=20.0)
        fleet.run_until(30.0)
        # All entries may meet a refusal twice: before the first report, and
        # as a backoff of the others ends.
        self.assertLessEqual(target.count_arrivals(5.0, 20.0), 5 * 2 * 2)

    def test_entries_of_an_older_version_prefer_other_targets(self):
        fleet = Fleet(engines=8, older=2)
        (target,) = self.refuse(fleet, 5.0, 20.0, "e0")
        fleet.load(SHORT, rate=20.0, until=20.0)
        fleet.run_until(30.0)
        older = {"entry-0", "entry-1"}
        count = sum(arrival.entry in older for arrival in target.arrivals)
        self.assertLessEqual(count, 2 * 15)  # one request of each in a second
        self.assertEqual(fleet.answered_share(0.0, 20.0), 1.0)


class LeavingTest(unittest.TestCase):
    def play(self, **fields):
        fleet = Fleet(engines=8, shops=3, **fields)
        for id in ("e0", "s0"):
            fleet.call_at(5.0, setattr, fleet.targets[id], "leaving", True)
        fleet.load(SHORT, rate=20.0, until=20.0)
        fleet.load(LOOKUP, rate=10.0, until=20.0)
        fleet.run_until(30.0)
        return fleet

    def count_late(self, fleet):
        """Return the requests to leaving targets after the drain time."""
        return sum(
            fleet.targets[id].count_arrivals(5.0 + DRAIN_TIME, 30.0)
            for id in ("e0", "s0")
        )

    def test_target_that_says_it_leaves_gets_no_requests_after_the_drain_time(self):
        fleet = self.play()
        self.assertEqual(self.count_late(fleet), 0)
        self.assertEqual(fleet.answered_share(0.0, 20.0), 1.0)

    def test_leaving_is_known_in_all_cells(self):
        fleet = self.play(settings=DirectSettings(max_targets=4))
        cells = {entry.board.peer_names for entry in fleet.entries.values()}
        self.assertEqual(len(cells), 2)
        self.assertEqual(self.count_late(fleet), 0)

    def test_entry_that_starts_later_sends_a_leaving_target_nothing(self):
        fleet = self.play()
        fleet.add_entry("entry-late")
        fleet.run_until(32.0)
        start = fleet.now
        for _ in range(40):
            fleet.receive(SHORT, {}, entry="entry-late")
        fleet.run_until(36.0)
        self.assertEqual(fleet.targets["e0"].count_arrivals(start, 36.0), 0)


class ExclusionTest(unittest.TestCase):
    def setUp(self):
        self.world = DirectWorld(engines=0, shops=1)

    def refuse(self, id, **fields):
        """Let the target refuse a request; return the commands that follow."""
        send = self.world.send(id, LOOKUP)
        answer = TargetAnswer(503, True, **fields)
        return self.world.handle(AnswerHeadReceived(send.attempt, answer))

    def refusal(self, id):
        """Return the failure of a request, or None if it is sent."""
        commands = self.world.receive(id, LOOKUP)
        failures = [c for c in commands if type(c).__name__ == "FailRequest"]
        return failures[0] if failures else None

    def test_refused_caller_is_told_when_the_backoff_ends(self):
        failure = only_command(self.refuse("r", retry_after=3.0), "FailRequest")
        self.assertIs(failure.reason, Reason.TARGET_LIMIT)
        self.assertIs(failure.verdict, Verdict.NOT_RUN)
        self.assertEqual(failure.retry_after, 3.0)
        self.world.now = 2.9
        self.assertGreaterEqual(self.refusal("early").retry_after, 0.1)
        self.world.now = 3.0
        self.assertIsNone(self.refusal("late"))

    def test_long_backoff_is_cut(self):
        self.refuse("r", retry_after=1e9)
        self.world.now = TargetLimitSettings().max_backoff
        self.assertIsNone(self.refusal("late"))

    def test_new_incarnation_of_a_target_that_left_gets_requests(self):
        self.refuse("r", leaving=True)
        self.assertIs(self.refusal("gone").reason, Reason.NO_TARGET)
        self.world.add_target("s0", "shop", started_at=2)
        self.assertIsNone(self.refusal("new"))

    def test_answer_of_an_earlier_incarnation_does_not_exclude_the_new_one(self):
        send = self.world.send("r", LOOKUP)
        self.world.add_target("s0", "shop", started_at=2)
        answer = TargetAnswer(503, True, retry_after=3.0, leaving=True)
        self.world.handle(AnswerHeadReceived(send.attempt, answer))
        self.assertIsNone(self.refusal("new"))

    def test_group_is_not_sent_to_a_target_that_asked_to_back_off_meanwhile(self):
        world = DirectWorld(engines=4)
        reserve = only_command(
            world.receive("large", LONG, tokens=600_000), "ReserveMemory"
        )
        primary = world.board.requests["large"].attempts[-1].agent
        notice = TargetNotice(primary, 9.0, True)
        world.handle(PeerUpdateReceived("entry-2", notices=(notice,)))
        commands = world.handle(MemoryReserved(reserve.attempt))
        self.assertNotIn("SendAttempt", command_names(commands))

    def test_notice_of_another_incarnation_is_ignored(self):
        notice = TargetNotice(AgentId("s0", "0"), 9.0, True)
        self.world.handle(PeerUpdateReceived("entry-2", notices=(notice,)))
        self.assertIsNone(self.refusal("r"))

    def test_backoff_of_a_peer_does_not_exclude_the_last_target(self):
        notice = TargetNotice(AgentId("s0", "1"), 9.0, False)
        self.world.handle(PeerUpdateReceived("entry-2", notices=(notice,)))
        self.assertIsNone(self.refusal("r"))


class NoticeDatagramTest(unittest.TestCase):
    notice = TargetNotice(AgentId("t", "7"), 103.0, True)

    def test_notice_is_decoded_by_another_clock(self):
        (data,) = peer_datagram.encode(
            "e", UpdatePeers(notices=(self.notice,)), REVISION, 100.0
        )
        received = peer_datagram.decode(data, 5000.0)
        self.assertEqual(
            received.notices, (TargetNotice(AgentId("t", "7"), 5003.0, True),)
        )
        self.assertEqual(received.unreachable, ())

    def test_older_version_is_told_that_the_target_is_unreachable(self):
        (data,) = peer_datagram.encode(
            "e", UpdatePeers(notices=(self.notice,)), REVISION, 100.0
        )
        self.assertEqual(
            peer_datagram.decode(cut_datagram(data), 0.0).unreachable, ("t",)
        )

    def test_many_notices_are_split(self):
        update = UpdatePeers(notices=(self.notice,) * 45)
        datagrams = peer_datagram.encode("e", update, REVISION, 100.0)
        self.assertEqual(len(datagrams), 3)
        self.assertLess(max(map(len, datagrams)), 1400)
