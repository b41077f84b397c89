"""Tests of the request rates that targets ask for."""

import itertools
import math
import unittest

import msgspec

from chicorycove import Reason, Verdict
from chicorycove.direct import peer_datagram
from chicorycove.direct.command import UpdatePeers
from chicorycove.direct.event import (
    AnswerHeadReceived,
    PeersUpdated,
    PeerUpdateReceived,
    RateLimitReport,
    TargetAnswer,
    TargetAnswered,
)
from chicorycove.direct.settings import DirectSettings
from chicorycove.identity import AgentId
from chicorycove.platform.headers import PlatformDialect

from .direct import LOOKUP, OK, REVISION, SHORT, DirectWorld, only_command
from .direct_fleet import Fleet, cut_datagram

WINDOW = 4.0  # seconds in which requests are counted
STABLE_AFTER = 3.0  # seconds from the first answer that names a limit


def allowed_requests(rate):
    """Return the requests that a target may get in a window."""
    return 1.5 * rate * WINDOW + 5


def limited(rate):
    return TargetAnswer(status=200, not_run=False, rate_limit=rate)


class LimitHeaderTest(unittest.TestCase):
    def parse(self, value):
        return PlatformDialect().parse_answer_head(200, [(b"Server-Limit", value)])

    def test_decimal_number_is_read(self):
        self.assertEqual(self.parse(b"1.2").rate_limit, 1.2)
        self.assertEqual(self.parse(b"0").rate_limit, 0.0)

    def test_other_value_is_reported_and_names_no_limit(self):
        for value in (b"-1", b"fast", b"", b"nan", b"1e999"):
            with self.subTest(value=value):
                answer = self.parse(value)
                self.assertIsNone(answer.rate_limit)
                self.assertEqual(
                    answer.invalid_headers, (f"server-limit: {value.decode()}",)
                )

    def test_other_invalid_header_does_not_keep_a_limit(self):
        headers = [(b"Retry-After", b"soon"), (b"Server-Leaving", b"maybe")]
        answer = PlatformDialect().parse_answer_head(503, headers)
        self.assertFalse(answer.rate_limit_invalid)
        self.assertEqual(
            answer.invalid_headers, ("retry-after: soon", "server-leaving: maybe")
        )


class LimitLogTest(unittest.TestCase):
    def setUp(self):
        self.world = DirectWorld(engines=1)

    def log_of(self, answer):
        self.world.now += 1.0
        send = self.world.send(f"r{len(self.world.command_log)}", SHORT)
        commands = self.world.handle(AnswerHeadReceived(send.attempt, answer))
        return [
            (command.change, command.detail)
            for command in commands
            if type(command).__name__ == "LogChange"
        ]

    def test_each_change_of_a_limit_is_logged_once(self):
        self.assertEqual(self.log_of(OK), [])
        change = ("target limit changed", "1.5 requests/s")
        self.assertEqual(self.log_of(limited(1.5)), [change])
        self.assertEqual(self.log_of(limited(1.5)), [])
        self.assertEqual(self.log_of(OK), [("target limit changed", "none")])
        self.assertEqual(self.world.board.targets["e0"].terms.rate_limit.rate, math.inf)

    def test_invalid_limit_is_logged_and_changes_nothing(self):
        self.log_of(limited(1.5))
        invalid = ("server-limit: fast",)
        answer = TargetAnswer(
            200, False, rate_limit_invalid=True, invalid_headers=invalid
        )
        change = ("answer header ignored", "server-limit: fast")
        self.assertEqual(self.log_of(answer), [change])
        self.assertEqual(self.world.board.targets["e0"].terms.rate_limit.rate, 1.5)


class SharedLimitTest(unittest.TestCase):
    def limit(self, fleet, rate, *ids):
        self.rate = rate
        self.limited = [fleet.targets[id] for id in ids or fleet.targets]
        for target in self.limited:
            target.rate_limit = rate

    def assert_limits_hold(self, end, start=STABLE_AFTER):
        for target in self.limited:
            most = target.most_arrivals(start, end, WINDOW)
            self.assertLessEqual(most, allowed_requests(self.rate), target.listing.id)

    def test_target_gets_no_more_than_its_limit_from_all_entries(self):
        fleet = Fleet(entries=5, engines=8)
        self.limit(fleet, 1.0, "e0", "e1", "e2")
        fleet.load(SHORT, rate=20.0, until=20.0)
        fleet.run_until(25.0)
        self.assert_limits_hold(20.0)
        self.assertEqual(fleet.answered_share(0.0, 20.0), 1.0)

    def test_limit_of_every_target_of_a_service_holds(self):
        fleet = Fleet(entries=5, engines=0, shops=3)
        self.limit(fleet, 2.0)
        fleet.load(LOOKUP, rate=20.0, until=20.0)
        fleet.run_until(25.0)
        self.assert_limits_hold(20.0)

    def test_limited_targets_get_most_of_their_rate_under_excess_load(self):
        fleet = Fleet(entries=5, engines=0, shops=3)
        self.limit(fleet, 2.0)
        fleet.load(LOOKUP, rate=20.0, until=20.0)
        fleet.run_until(25.0)
        for target in self.limited:
            self.assertGreaterEqual(target.count_arrivals(4.0, 20.0), 0.9 * 2.0 * 16.0)

    def test_limit_holds_while_datagrams_are_lost(self):
        for seed in range(1, 6):
            with self.subTest(seed=seed):
                fleet = Fleet(entries=5, engines=0, shops=3, seed=seed, loss=0.2)
                self.limit(fleet, 2.0)
                fleet.load(LOOKUP, rate=20.0, until=20.0)
                fleet.run_until(25.0)
                self.assert_limits_hold(20.0)

    def test_limit_holds_beside_entries_of_an_older_version(self):
        fleet = Fleet(entries=5, engines=8, older=2)
        self.limit(fleet, 1.0, "e0", "e1", "e2")
        fleet.load(SHORT, rate=20.0, until=20.0)
        fleet.run_until(25.0)
        self.assert_limits_hold(20.0)
        self.assertEqual(fleet.answered_share(0.0, 20.0), 1.0)

    def test_limit_holds_in_a_fleet_of_two_cells(self):
        fleet = Fleet(entries=6, engines=16, settings=DirectSettings(max_targets=8))
        self.limit(fleet, 1.0, "e0", "e1", "e14", "e9")
        fleet.load(SHORT, rate=30.0, until=20.0)
        fleet.run_until(25.0)
        cells = {entry.board.peer_names for entry in fleet.entries.values()}
        self.assertEqual(len(cells), 2)
        self.assert_limits_hold(20.0)

    def test_entries_that_hear_no_others_keep_the_limit_together(self):
        fleet = Fleet(entries=5, engines=0, shops=3, loss=1.0)
        self.limit(fleet, 4.0)
        for entry in fleet.entries.values():
            others = frozenset(fleet.entries) - {entry.name}
            entry.handle(PeersUpdated(frozenset(fleet.entries), others))
        fleet.load(LOOKUP, rate=40.0, until=20.0)
        fleet.run_until(25.0)
        self.assert_limits_hold(20.0, start=5.0)

    def test_entry_that_starts_later_learns_the_limits(self):
        fleet = Fleet(entries=4, engines=0, shops=3)
        self.limit(fleet, 1.0)
        fleet.load(LOOKUP, rate=10.0, until=8.0)
        fleet.run_until(8.0)
        late = fleet.add_entry("entry-late")
        fleet.run_until(9.0)
        for view in late.board.targets.values():
            self.assertEqual(view.terms.rate_limit.rate, 1.0)

    def test_limit_ends_at_all_entries_with_an_answer_that_names_none(self):
        fleet = Fleet(entries=5, engines=0, shops=3)
        self.limit(fleet, 1.0)
        fleet.load(LOOKUP, rate=20.0, until=20.0)
        fleet.run_until(10.0)
        for target in self.limited:
            target.rate_limit = None
        fleet.run_until(25.0)
        self.assertEqual(fleet.answered_share(12.0, 20.0), 1.0)

    def test_target_that_named_zero_is_still_asked(self):
        fleet = Fleet(entries=5, engines=0, shops=1)
        self.limit(fleet, 0.0)
        fleet.load(LOOKUP, rate=20.0, until=60.0)
        fleet.run_until(30.0)
        self.limited[0].rate_limit = None
        fleet.run_until(65.0)
        self.assertEqual(fleet.answered_share(45.0, 60.0), 1.0)


class RefusalTest(unittest.TestCase):
    def test_callers_refused_together_are_told_to_return_one_by_one(self):
        world = DirectWorld(engines=1)
        send = world.send("r0", SHORT)
        world.handle(AnswerHeadReceived(send.attempt, limited(2.0)))
        world.send("r1", SHORT)
        refusals = [
            only_command(world.receive(f"r{number}", SHORT), "FailRequest")
            for number in range(2, 6)
        ]
        for refusal in refusals:
            self.assertIs(refusal.reason, Reason.TARGET_LIMIT)
            self.assertIs(refusal.verdict, Verdict.NOT_RUN)
        returns = [refusal.retry_after for refusal in refusals]
        for earlier, later in itertools.pairwise(returns):
            self.assertAlmostEqual(later - earlier, 0.5)

    def test_refused_caller_is_served_at_the_time_it_was_told(self):
        world = DirectWorld(engines=1)
        send = world.send("r0", SHORT)
        world.handle(AnswerHeadReceived(send.attempt, limited(2.0)))
        world.send("r1", SHORT)
        refusal = only_command(world.receive("r2", SHORT), "FailRequest")
        world.now += refusal.retry_after + 0.001
        world.send("r3", SHORT)

    def test_new_incarnation_has_no_limit(self):
        world = DirectWorld(engines=1)
        send = world.send("r0", SHORT)
        world.handle(AnswerHeadReceived(send.attempt, limited(0.5)))
        world.add_target("e0", "model", started_at=2)
        for number in range(1, 4):
            world.send(f"r{number}", SHORT)

    def test_answer_to_an_order_names_a_limit_but_does_not_end_one(self):
        world = DirectWorld(engines=1)
        agent = AgentId("e0", "1")
        for answer in (limited(0.5), OK):
            world.now += 0.1
            world.handle(TargetAnswered(agent, answer, to_order=True))
        world.send("r0", SHORT)
        only_command(world.receive("r1", SHORT), "FailRequest")

    def test_limit_that_peers_report_holds_for_its_incarnation_only(self):
        world = DirectWorld(engines=1)
        world.add_target("e0", "model", started_at=2)
        report = RateLimitReport("e0", 0.5, 0.0, "1")
        world.handle(PeerUpdateReceived("entry-2", rate_limits=(report,)))
        for number in range(4):
            world.send(f"r{number}", SHORT)

    def test_limit_from_an_older_version_holds_for_the_listed_incarnation(self):
        world = DirectWorld(engines=1)
        report = RateLimitReport("e0", 0.5, 0.0)
        world.handle(PeerUpdateReceived("entry-2", rate_limits=(report,)))
        world.send("r0", SHORT)
        only_command(world.receive("r1", SHORT), "FailRequest")


class LimitDatagramTest(unittest.TestCase):
    report = RateLimitReport("t1", 1.5, 99.0, "7")

    def encode(self, *reports):
        return peer_datagram.encode(
            "entry-1", UpdatePeers(rate_limits=reports), REVISION, 100.0
        )

    def test_limit_is_decoded_by_another_clock(self):
        (data,) = self.encode(self.report)
        update = peer_datagram.decode(data, 5000.0)
        self.assertEqual(update.rate_limits, (RateLimitReport("t1", 1.5, 4999.0, "7"),))
        self.assertEqual(update.unreachable, ())

    def test_end_of_a_limit_is_decoded(self):
        (data,) = self.encode(RateLimitReport("t1", math.inf, 99.0))
        (report,) = peer_datagram.decode(data, 100.0).rate_limits
        self.assertEqual(report.rate, math.inf)

    def test_entry_of_an_older_version_avoids_limited_targets(self):
        (data,) = self.encode(self.report, RateLimitReport("t2", math.inf, 99.0))
        update = peer_datagram.decode(cut_datagram(data), 100.0)
        self.assertEqual(update.unreachable, ("t1",))

    def test_datagram_of_an_older_version_is_decoded(self):
        (data,) = peer_datagram.encode(
            "e", UpdatePeers(unreachable=("t",)), REVISION, 100.0
        )
        update = peer_datagram.decode(cut_datagram(data), 100.0)
        self.assertEqual((update.unreachable, update.rate_limits), (("t",), ()))

    def test_limit_in_a_datagram_without_an_incarnation_is_decoded(self):
        (data,) = self.encode(self.report)
        fields = msgspec.msgpack.decode(data)
        fields[5] = [limit[:3] for limit in fields[5]]
        update = peer_datagram.decode(msgspec.msgpack.encode(fields), 100.0)
        self.assertEqual(update.rate_limits, (RateLimitReport("t1", 1.5, 99.0),))

    def test_datagrams_of_many_limits_fit_a_frame(self):
        reports = [
            RateLimitReport(f"i-{n:010x}", 1.5, 9.0, "1792178455735") for n in range(96)
        ]
        decoded = []
        for data in self.encode(*reports):
            self.assertLess(len(data), 1400)
            decoded += peer_datagram.decode(data, 100.0).rate_limits
        self.assertEqual(len(decoded), 96)
