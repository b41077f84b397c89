"""Tests of targets that are cold: they take few requests for a time."""

import dataclasses
import random
import unittest

from chicorycove import Reason, Verdict
from chicorycove.direct import peer_datagram
from chicorycove.direct.command import UpdatePeers
from chicorycove.direct.event import (
    AnswerHeadReceived,
    AttemptConnected,
    ColdReport,
    DeploymentReceived,
    PeersUpdated,
    PeerUpdateReceived,
    TargetAnswer,
    TargetAnswered,
    TargetUnlisted,
)
from chicorycove.identity import AgentId
from chicorycove.lifecycle import Tick

from .direct import (
    COLD_DEPLOYMENT,
    COLD_DURATION,
    COLD_RATE,
    LONG,
    LOOKUP,
    REVISION,
    DirectWorld,
    only_command,
)
from .direct_fleet import Fleet, cut_datagram

ALLOWED_REQUESTS = 1.5 * COLD_RATE + 5  # in any second, from all entries


def cold(time_left):
    return TargetAnswer(200, False, cold_time_left=time_left)


class ColdTargetTest(unittest.TestCase):
    def setUp(self):
        self.world = DirectWorld(engines=0, shops=0, deployment=COLD_DEPLOYMENT)
        self.world.handle(PeersUpdated(frozenset({"entry-1"})))
        self.numbers = iter(range(10_000))

    def add(self, cold_time_left=None, **fields):
        self.world.add_target("s0", "shop", cold_time_left=cold_time_left, **fields)

    def refusal(self):
        """Return the failure of a new request, or None if it is sent."""
        commands = self.world.receive(f"r{next(self.numbers)}", LOOKUP)
        failures = [c for c in commands if type(c).__name__ == "FailRequest"]
        return failures[0] if failures else None

    def count_sent(self, duration, step=0.01):
        """Return the requests sent in a time, with many more received."""
        sent = 0
        for _ in range(round(duration / step)):
            self.world.now += step
            self.world.handle(Tick())
            sent += self.refusal() is None
        return sent

    def changes(self):
        return [
            (command.target, command.state.value)
            for command in self.world.command_log
            if type(command).__name__ == "RecordTargetState"
        ]

    def test_target_without_a_reported_time_is_cold_when_first_listed(self):
        self.add()
        self.assertLessEqual(self.count_sent(COLD_DURATION), COLD_RATE * 3 + 7)
        self.assertGreater(self.count_sent(1.0), 95)

    def test_listing_says_how_long_its_target_is_cold(self):
        self.add(cold_time_left=1.0)
        self.assertLessEqual(self.count_sent(1.0), COLD_RATE + 7)
        self.assertGreater(self.count_sent(1.0), 95)

    def test_listing_that_reports_a_warm_target_does_not_limit_it(self):
        self.add(cold_time_left=0.0)
        self.assertGreater(self.count_sent(1.0), 95)

    def test_cold_target_gets_most_of_its_rate(self):
        self.add(cold_time_left=3.0)
        self.assertGreaterEqual(self.count_sent(3.0), 0.75 * COLD_RATE * 3)

    def test_listing_does_not_shorten_what_an_answer_said(self):
        self.add(cold_time_left=0.0)
        self.world.handle(TargetAnswered(AgentId("s0", "1"), cold(2.0)))
        self.add(cold_time_left=0.0)
        self.assertLessEqual(self.count_sent(1.9), 2 * COLD_RATE)

    def test_same_listing_does_not_make_a_listed_target_cold(self):
        self.add()
        self.world.now = 5.0
        self.add()
        self.assertGreater(self.count_sent(1.0), 95)

    def test_target_listed_again_after_a_gap_is_cold(self):
        self.add()
        self.world.now = 5.0
        self.world.handle(TargetUnlisted("s0"))
        self.add()
        self.assertLessEqual(self.count_sent(1.0), COLD_RATE + 7)

    def test_target_of_a_readmitted_domain_is_cold(self):
        self.add(cold_time_left=0.0)
        limits = self.world.dispatcher._target_limits
        self.world.command_log += limits.readmit_domain("elsewhere", 0.0)
        self.assertEqual(self.changes(), [])
        self.world.command_log += limits.readmit_domain("here", 0.0)
        self.assertEqual(self.changes(), [("s0", "cold")])
        self.assertLessEqual(self.count_sent(2.9), 2.9 * COLD_RATE + 7)

    def test_answer_of_another_incarnation_says_nothing(self):
        self.add(cold_time_left=0.0, started_at=2)
        self.world.handle(TargetAnswered(AgentId("s0", "1"), cold(2.0)))
        self.assertGreater(self.count_sent(1.0), 95)

    def test_target_with_a_lower_rate_limit_keeps_to_it(self):
        self.add(cold_time_left=2.0)
        answer = TargetAnswer(200, False, cold_time_left=2.0, rate_limit=2.0)
        self.world.handle(TargetAnswered(AgentId("s0", "1"), answer))
        self.assertLessEqual(self.count_sent(2.0), 2 * 2 + 3)

    def test_excess_counts_against_a_limit_that_is_named_while_cold(self):
        """A limit that replaces the cold rate must not refill the bucket."""
        self.add(cold_time_left=3.0)
        self.count_sent(0.5)
        answer = TargetAnswer(200, False, rate_limit=40.0)
        self.world.handle(TargetAnswered(AgentId("s0", "1"), answer))
        self.assertLessEqual(self.count_sent(0.5), COLD_RATE / 2 + 2)

    def test_state_is_recorded_when_it_changes(self):
        self.add(cold_time_left=1.0)
        self.world.now = 0.5
        self.add(cold_time_left=1.0)
        self.world.now = 1.2
        self.world.handle(Tick())
        self.assertEqual(self.changes(), [("s0", "cold")])
        self.world.now = 1.5
        self.world.handle(Tick())
        self.assertEqual(self.changes(), [("s0", "cold"), ("s0", "warm")])

    def test_service_without_cold_starts_is_not_limited(self):
        self.world = DirectWorld(engines=0, shops=0)
        self.add()
        self.world.handle(TargetAnswered(AgentId("s0", "1"), cold(2.0)))
        self.assertGreater(self.count_sent(1.0), 95)
        self.assertEqual(self.changes(), [])

    def test_deployment_that_comes_after_its_targets_applies_to_them(self):
        world = DirectWorld(engines=0, shops=0)
        self.world, deployed = world, self.world.board.table
        world.board.table = None
        self.add()
        world.handle(DeploymentReceived(deployed))
        self.assertLessEqual(self.count_sent(1.0), COLD_RATE + 7)

    def test_refused_caller_is_served_at_the_time_it_was_told(self):
        self.add(cold_time_left=3.0)
        while (refusal := self.refusal()) is None:
            pass
        self.assertIs(refusal.reason, Reason.TARGET_LIMIT)
        self.assertIs(refusal.verdict, Verdict.NOT_RUN)
        self.assertLess(refusal.retry_after, 0.1)
        self.world.now += refusal.retry_after + 0.001
        self.assertIsNone(self.refusal())

    def test_caller_is_told_the_end_of_the_coldness_if_it_comes_first(self):
        self.add(cold_time_left=0.02)
        refusal = self.refusal()
        self.assertAlmostEqual(refusal.retry_after, 0.02)
        self.world.now += refusal.retry_after
        self.assertIsNone(self.refusal())

    def test_bucket_is_empty_after_a_pause(self):
        self.add(cold_time_left=9.0)
        self.count_sent(0.5)
        self.world.now += 2.0
        self.assertIsNotNone(self.refusal())

    def test_request_connected_after_a_pause_is_not_sent_to_a_cold_target(self):
        """It would arrive together with what was placed after the pause."""
        self.add(cold_time_left=9.0)
        self.world.now = 0.5
        send = only_command(self.world.receive("waiting", LOOKUP), "SendAttempt")
        self.world.now += 2.0
        commands = self.world.handle(AttemptConnected(send.attempt))
        cancelled = only_command(commands, "CancelAttempt")
        self.assertEqual(cancelled.attempt, send.attempt)
        failure = only_command(commands, "FailRequest")
        self.assertIs(failure.verdict, Verdict.NOT_RUN)

    def test_parts_of_groups_count_like_requests(self):
        for number in range(4):
            self.world.add_target(f"e{number}", "model", cold_time_left=9.0)
        self.world.now = 0.5
        self.world.receive("large", LONG, tokens=600_000)
        targets = self.world.board.requests["large"].work_items
        self.assertGreater(len(targets), 1)
        for item in targets:
            terms = self.world.board.targets[item.target].terms
            self.assertEqual(list(terms.own_placements), [0.5])

    def test_entry_that_does_not_know_the_others_sends_one_request_at_most(self):
        self.world.board.entry_names_complete = False
        self.add(cold_time_left=9.0)
        self.assertLessEqual(self.count_sent(1.0), 1)

    def test_entry_of_an_incomplete_list_learns_its_share_later(self):
        """Entries that start together list one another one by one."""
        self.world.handle(PeersUpdated(frozenset({"entry-1"}), complete=False))
        self.world.handle(PeersUpdated(frozenset({"entry-1"}), complete=True))
        self.add(cold_time_left=9.0)
        self.assertLessEqual(self.count_sent(1.0), 1)
        self.count_sent(2.5)
        self.assertGreater(self.count_sent(1.0), 15)

    def test_peers_are_told_what_an_answer_said(self):
        self.add(cold_time_left=0.0)
        send = self.world.send("first", LOOKUP)
        commands = self.world.handle(AnswerHeadReceived(send.attempt, cold(2.0)))
        report = ColdReport(AgentId("s0", "1"), 2.0)
        self.assertIn(UpdatePeers(cold_targets=(report,)), commands)
        self.world.now = 1.0
        commands = self.world.dispatcher.report_to_peers(1.0)
        self.assertIn(UpdatePeers(cold_targets=(report,)), commands)
        self.world.now = 2.1
        commands = self.world.dispatcher.report_to_peers(2.1)
        self.assertNotIn(UpdatePeers(cold_targets=(report,)), commands)

    def test_report_of_a_peer_limits_its_incarnation_only(self):
        self.add(cold_time_left=0.0, started_at=2)
        for incarnation, limited in (("1", False), ("2", True)):
            report = ColdReport(AgentId("s0", incarnation), self.world.now + 9.0)
            self.world.handle(PeerUpdateReceived("entry-2", cold_targets=(report,)))
            self.assertEqual(self.count_sent(1.0) < 40, limited)


class ColdDatagramTest(unittest.TestCase):
    report = ColdReport(AgentId("t", "7"), 103.0)

    def encode(self):
        return peer_datagram.encode(
            "e", UpdatePeers(cold_targets=(self.report,)), REVISION, 100.0
        )

    def test_report_is_decoded_by_another_clock(self):
        (data,) = self.encode()
        received = peer_datagram.decode(data, 5000.0)
        report = ColdReport(AgentId("t", "7"), 5003.0)
        self.assertEqual(received.cold_targets, (report,))
        self.assertEqual(received.unreachable, ())

    def test_older_version_avoids_the_target(self):
        (data,) = self.encode()
        self.assertEqual(
            peer_datagram.decode(cut_datagram(data), 0.0).unreachable, ("t",)
        )

    def test_many_reports_are_split(self):
        update = UpdatePeers(cold_targets=(self.report,) * 45)
        datagrams = peer_datagram.encode("e", update, REVISION, 100.0)
        self.assertEqual(len(datagrams), 3)
        self.assertLess(max(map(len, datagrams)), 1400)


class ColdFleetTest(unittest.TestCase):
    """Callers ask for far more than a cold target takes."""

    def create(self, entries=29, shops=1, **fields):
        return Fleet(
            entries=entries,
            engines=0,
            shops=shops,
            deployment=COLD_DEPLOYMENT,
            watch_peers=True,
            **fields,
        )

    def start_cold(self, fleet, time, id="cold"):
        fleet.call_at(time, fleet.add_target, id, "shop", 1, 4.0)

    def assert_bound(self, fleet, start=5.0, end=9.0, id="cold"):
        most = fleet.targets[id].most_requests(start, end)
        self.assertLessEqual(most, ALLOWED_REQUESTS)

    def test_cold_target_gets_no_more_than_it_takes_from_all_entries(self):
        for entries in (2, 5, 29):
            with self.subTest(entries=entries):
                fleet = self.create(entries, shops=0)
                self.start_cold(fleet, 5.0)
                fleet.load(LOOKUP, rate=200.0, until=9.0)
                fleet.run_until(9.0)
                self.assert_bound(fleet)
                count = len(fleet.targets["cold"].arrivals)
                self.assertGreaterEqual(count, 0.6 * COLD_RATE * 4)

    def test_bound_holds_while_datagrams_are_lost(self):
        fleet = self.create(loss=0.4)
        self.start_cold(fleet, 5.0)
        fleet.load(LOOKUP, rate=200.0, until=9.0)
        fleet.run_until(9.0)
        self.assert_bound(fleet)

    def test_bound_holds_for_entries_that_hear_no_others(self):
        for entries in (3, 29):
            with self.subTest(entries=entries):
                fleet = self.create(entries, loss=1.0)
                self.start_cold(fleet, 0.5)
                fleet.load(LOOKUP, rate=300.0, until=4.5)
                fleet.run_until(4.5)
                self.assert_bound(fleet, 0.5, 4.5)

    def test_bound_holds_if_entries_were_paused(self):
        fleet = self.create(5)
        self.start_cold(fleet, 5.0)
        for number in range(3):
            entry = fleet.entries[f"entry-{number}"]
            fleet.call_at(5.5, entry.pause)
            fleet.call_at(7.0, entry.resume)
        fleet.load(LOOKUP, rate=200.0, until=9.0)
        fleet.run_until(9.0)
        self.assert_bound(fleet)

    def test_callers_are_served_elsewhere_while_a_target_is_cold(self):
        fleet = self.create(5, shops=2)
        self.start_cold(fleet, 5.0)
        fleet.load(LOOKUP, rate=100.0, until=9.0)
        fleet.run_until(10.0)
        self.assert_bound(fleet)
        self.assertEqual(fleet.answered_share(0.0, 9.0), 1.0)

    def test_target_that_becomes_cold_again_is_limited_by_all_from_its_answer(self):
        fleet = self.create(5)
        target = fleet.targets["s0"]
        fleet.call_at(5.0, setattr, target, "cold_until", 9.0)
        fleet.load(LOOKUP, rate=100.0, until=9.0)
        fleet.run_until(9.0)
        self.assert_bound(fleet, 5.1, 9.0, "s0")


class ColdFuzzTest(unittest.TestCase):
    """Draws listings, coldness, cut-offs, pauses and restarts of entries."""

    seeds = range(1, 21)
    duration = 10.0  # seconds

    def play(self, seed):
        rng = random.Random(seed)
        fleet = Fleet(
            entries=rng.choice((2, 3, 5, 8, 16, 29)),
            engines=0,
            shops=rng.choice((0, 1, 3)),
            seed=seed,
            loss=rng.choice((0.0, 0.1, 0.5, 1.0)),
            deployment=COLD_DEPLOYMENT,
            watch_peers=True,
        )
        fleet.listing_delay = rng.choice((0.0, 1.0, 3.0))
        self.periods = []  # (target, start, end) of coldness
        self.draw_coldness(rng, fleet)
        self.draw_faults(rng, fleet)
        rate = rng.choice((60.0, 150.0, 300.0))
        fleet.load(LOOKUP, rate=rate, until=self.duration)
        fleet.run_until(self.duration)
        for id, target, start, end in self.periods:
            most = target.most_requests(start, end)
            self.assertLessEqual(most, ALLOWED_REQUESTS, (id, start, end))
        return fleet

    def draw_coldness(self, rng, fleet):
        for number in range(rng.choice((1, 2, 4))):
            id = f"c{number}"
            fleet.call_at(rng.uniform(0.0, 3.0), self.start, rng, fleet, id, 1)
            kind = rng.choice(("restart", "again", "relist", "readmit", "none"))
            time = rng.uniform(4.0, 7.0)
            if kind == "restart":
                fleet.call_at(time, self.start, rng, fleet, id, 2)
            elif kind == "again":
                fleet.call_at(time, self.become_cold, fleet, id)
            elif kind == "relist":
                fleet.call_at(time, fleet.relist, id, rng.choice((0.1, 1.0)))
            elif kind == "readmit":
                fleet.call_at(time, self.readmit, rng, fleet, id)
            if rng.random() < 0.5:
                for _ in range(10):
                    change = rng.uniform(0.0, self.duration)
                    delay = rng.choice((0.001, 0.05, 0.25))
                    fleet.call_at(change, self.set_connect_delay, fleet, id, delay)

    def set_connect_delay(self, fleet, id, delay):
        if id in fleet.targets:
            fleet.targets[id].connect_delay = delay

    def start(self, rng, fleet, id, started_at):
        """Start a target; its listing may not say that it is cold."""
        time_left = rng.choice((None, COLD_DURATION))
        target = fleet.add_target(id, "shop", started_at, time_left)
        target.cold_until = fleet.now + COLD_DURATION
        self.periods.append((id, target, fleet.now, target.cold_until))

    def become_cold(self, fleet, id):
        """Let a target become cold, which counts once all entries know it."""
        target = fleet.targets[id]
        target.cold_until = fleet.now + COLD_DURATION
        listing = dataclasses.replace(target.listing, cold_time_left=COLD_DURATION)
        target.listing = listing
        fleet.list_target(listing)
        self.await_knowledge(fleet, id)

    def await_knowledge(self, fleet, id):
        target = fleet.targets[id]
        views = [entry.board.targets.get(id) for entry in fleet.entries.values()]
        if all(view is None or view.terms.cold for view in views):
            start = fleet.now + 0.25
            self.periods.append((id, target, start, target.cold_until))
        elif fleet.now < target.cold_until:
            fleet.call_later(0.02, self.await_knowledge, fleet, id)

    def readmit(self, rng, fleet, id):
        """End an evacuation, during which the target became cold."""
        target = fleet.targets[id]
        evacuated = [e for e in fleet.entries.values() if id in e.board.targets]
        for entry in evacuated:
            entry.board.targets[id].terms.backoff_until = 1e9
        start = fleet.now + 1.0
        fleet.call_at(start, setattr, target, "cold_until", start + COLD_DURATION)
        for entry in evacuated:
            delay = rng.uniform(0.0, 2.0)
            fleet.call_at(start + delay, self.end_evacuation, fleet, entry, id)
        self.periods.append((id, target, start, start + COLD_DURATION))

    def end_evacuation(self, fleet, entry, id):
        if entry.paused or id not in entry.board.targets:
            return
        entry.board.targets[id].terms.backoff_until = 0.0
        limits = entry.dispatcher._target_limits
        for command in limits.readmit_domain("here", fleet.now):
            entry.execute(command)

    def draw_faults(self, rng, fleet):
        names = sorted(fleet.entries)
        for name in rng.sample(names, rng.randint(0, max(len(names) // 2, 1))):
            time = rng.uniform(0.5, 6.0)
            end = time + rng.uniform(0.2, 5.0)
            kind = rng.choice(("pause", "cut", "cut from store", "isolate", "restart"))
            fleet.call_at(time, self.begin_fault, fleet, name, kind)
            fleet.call_at(end, self.end_fault, rng, fleet, name, kind)

    def begin_fault(self, fleet, name, kind):
        entry = fleet.entries[name]
        if kind == "pause":
            entry.pause()
        elif kind == "restart":
            fleet.remove_entry(name)
        if kind in ("cut", "isolate"):
            entry.cut_off = True
        if kind in ("cut from store", "isolate"):
            entry.cut_store()

    def end_fault(self, rng, fleet, name, kind):
        if kind == "restart":
            delays = rng.uniform(0.0, 0.3), rng.uniform(0.0, 0.3)
            fleet.start_entry(f"{name}+", *delays)
            return
        entry = fleet.entries[name]
        if kind == "pause":
            entry.resume()
        if kind in ("cut", "isolate"):
            entry.cut_off = False
        if kind in ("cut from store", "isolate"):
            entry.restore_store()

    def test_no_second_has_more_requests_than_a_cold_target_takes(self):
        for seed in self.seeds:
            with self.subTest(seed=seed):
                self.play(seed)

    def test_bound_holds_as_all_entries_start_together(self):
        """None knows how many others there are."""
        for seed in range(1, 6):
            with self.subTest(seed=seed):
                rng = random.Random(seed)
                fleet = self.start_all(rng)
                fleet.load(LOOKUP, rate=300.0, until=4.0)
                fleet.run_until(4.0)
                target = fleet.targets["cold"]
                most = target.most_requests(0.0, 4.0)
                self.assertLessEqual(most, ALLOWED_REQUESTS)
                self.assertGreaterEqual(target.count_arrivals(0.0, 4.0), 40)

    def start_all(self, rng):
        fleet = Fleet(
            entries=0,
            engines=0,
            deployment=COLD_DEPLOYMENT,
            watch_peers=True,
        )
        fleet.add_target("cold", "shop", 1, 4.0)
        for number in range(29):
            delays = rng.uniform(0.0, 0.5), rng.uniform(0.0, 0.5)
            fleet.start_entry(f"entry-{number}", *delays)
        return fleet


if __name__ == "__main__":
    unittest.main()
