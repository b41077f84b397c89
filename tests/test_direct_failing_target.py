"""Tests of targets that fail calls of many entries, of which each sees few."""

import math
import unittest
from unittest import mock

from chicorycove import Reason, Verdict
from chicorycove.direct import peer_datagram
from chicorycove.direct.command import EjectionEvidence, RecordEjection, UpdatePeers
from chicorycove.direct.entry import DirectEntry
from chicorycove.direct.event import FailureReport, PeersUpdated, PeerUpdateReceived
from chicorycove.direct.settings import DirectSettings
from chicorycove.direct.store_revision import StoreRevision
from chicorycove.identity import AgentId
from chicorycove.lifecycle import AttemptFailed
from chicorycove.metric import Metrics

from .direct import LOOKUP, OK, ORDER, REVISION, SERVER_ERROR, DirectWorld
from .direct_fleet import LINK_DELAY, Fleet, cut_datagram

FAIL_AT, MENDED_AT = 5.0, 35.0  # seconds
SEEDS = range(1, 7)
PEERS = frozenset({"entry-1", "entry-2", "entry-3", "entry-4"})


class CountingFleet(Fleet):
    """A fleet that records the updates with reports of failing targets."""

    def __init__(self, **fields):
        self.reports = []  # (time, entry, report)
        super().__init__(**fields)

    def send_update(self, sender, command):
        for report in command.failures:
            self.reports.append((self.now, sender.name, report))
        super().send_update(sender, command)

    def ejections(self, target=None):
        """Return the time, entry and command of each ejection."""
        return [
            (time, entry, command)
            for time, entry, command in self.ejection_log
            if target in (None, command.target)
        ]


def find_failed(fleet, start, end):
    """Return the requests of a time that failed, and the number of all."""
    ids = [id for id, time in fleet.arrived.items() if start <= time < end]
    failed = [
        id for id in ids if id not in fleet.outcomes or not fleet.outcomes[id].answered
    ]
    return failed, len(ids)


def run_failing(seed, entries=29, rate=7.5, reset_share=0.9, **fields):
    """Return a fleet in which a target has reset a share of its calls."""
    fleet = CountingFleet(entries=entries, engines=0, shops=3, seed=seed, **fields)
    fleet.load(ORDER, rate, until=MENDED_AT)
    fleet.run_until(FAIL_AT)
    fleet.targets["s0"].reset_share = reset_share
    fleet.run_until(MENDED_AT + 1.0)
    return fleet


def count_failures(seeds=SEEDS, **fields):
    """Return the failed orders while a target resets 90%, and all."""
    failed_count = order_count = 0
    for seed in seeds:
        failed, count = find_failed(run_failing(seed, **fields), FAIL_AT, MENDED_AT)
        failed_count += len(failed)
        order_count += count
    return failed_count, order_count


class FailingTargetTest(unittest.TestCase):
    def test_entries_with_few_calls_find_a_failing_target_together(self):
        """An entry calls a target each 10 s: 3 own failures take 30 s."""
        failed, count = count_failures()
        self.assertLess(failed / count, 0.06)

    def test_lost_reports_leave_most_of_the_gain(self):
        """Without shared evidence, 0.27 fail with this loss of updates."""
        failed, count = count_failures(loss=0.2)
        self.assertLess(failed / count, 0.13)

    def test_without_any_report_entries_eject_by_themselves(self):
        """Losing all reports must leave each entry its own evidence."""
        fleet = run_failing(1, entries=5, rate=20.0, loss=1.0)
        ejections = fleet.ejections("s0")
        self.assertEqual({entry for _, entry, _ in ejections}, set(fleet.entries))
        evidence = {command.evidence for _, _, command in ejections}
        self.assertEqual(evidence, {EjectionEvidence.OWN})

    def test_first_failed_trial_ends_the_trials_of_all(self):
        """Each entry must not try the target after an ejection by itself."""
        fleet = run_failing(1, reset_share=1.0, rate=20.0)
        starts = []  # of the ejections of all
        for time, _, _ in fleet.ejections("s0"):
            if not starts or time > starts[-1] + 1.0:
                starts.append(time)
        self.assertGreater(len(starts), 3)
        arrivals = fleet.targets["s0"].arrivals
        times = [a.time for a in arrivals if a.request != "probe"]
        for start in starts[1:]:
            trials = [time for time in times if start - 1 < time < start + 1]
            self.assertLess(len(trials), 3)
            # One that was sent before the report of the failure arrived.
            self.assertLessEqual(max(trials), start + 2 * LINK_DELAY)

    def test_mended_target_is_used_again(self):
        fleet = run_failing(1)
        fleet.targets["s0"].reset_share = 0.0
        fleet.load(ORDER, 7.5, until=70.0)
        fleet.run_until(50.0)
        failed_before = len(find_failed(fleet, 50.0, 70.0)[0])
        fleet.run_until(71.0)
        self.assertEqual(failed_before, 0)
        self.assertEqual(len(find_failed(fleet, 50.0, 70.0)[0]), 0)
        self.assertGreater(fleet.targets["s0"].count_arrivals(50.0, 70.0), 20)

    def test_ejections_stop_at_the_floor(self):
        """Two of three failing targets must not leave one with all calls."""
        fleet = CountingFleet(entries=29, engines=0, shops=3, seed=1)
        fleet.load(ORDER, 20.0, until=20.0)
        for id in ("s0", "s1"):
            fleet.targets[id].reset_share = 1.0
        for time in range(1, 21):
            fleet.run_until(float(time))
            for entry in fleet.entries.values():
                ejected = [
                    view.listing.id
                    for view in entry.board.targets.values()
                    if view.ejected_until > fleet.now
                ]
                self.assertLessEqual(len(ejected), 1)
        self.assertTrue(fleet.ejections())


class HealthyTargetTest(unittest.TestCase):
    """Entries must not eject targets that work."""

    def test_calm_fleet_sends_no_reports(self):
        fleet = CountingFleet(entries=29, engines=8, shops=3, seed=1)
        fleet.load(ORDER, 20.0, until=20.0)
        fleet.load(LOOKUP, 20.0, until=20.0)
        fleet.run_until(21.0)
        self.assertEqual(fleet.reports, [])
        self.assertEqual(find_failed(fleet, 0.0, 20.0)[0], [])

    def test_errors_of_the_application_eject_nothing(self):
        """A deployment's application fails 14% of its safe calls with 500."""
        for entries, loss in ((29, 0.0), (29, 0.2), (5, 0.0), (1, 0.0)):
            for seed in (1, 2):
                with self.subTest(entries=entries, loss=loss, seed=seed):
                    fleet = CountingFleet(
                        entries=entries, engines=0, shops=3, seed=seed, loss=loss
                    )
                    for target in fleet.targets.values():
                        target.error_share = 0.14
                    fleet.load(LOOKUP, 10.0, until=120.0)
                    fleet.run_until(121.0)
                    self.assertGreater(len(fleet.arrivals), 1_100)
                    self.assertEqual(fleet.ejections(), [])

    def test_entry_with_faulty_links_ejects_nothing_elsewhere(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                fleet = CountingFleet(entries=29, engines=0, shops=3, seed=seed)
                faulty = fleet.entries["entry-3"]
                faulty.resets_calls = True
                fleet.load(ORDER, 30.0, until=60.0)
                fleet.run_until(61.0)
                reported = {r.target.target for _, _, r in fleet.reports if r.weight}
                self.assertEqual(reported, {"s0", "s1", "s2"})
                ejecting = {entry for _, entry, _ in fleet.ejections()}
                self.assertLessEqual(ejecting, {faulty.name})

    def test_entry_with_faulty_links_that_restarts_ejects_nothing_elsewhere(self):
        """Its reports under two names must not add up to an ejection."""
        fleet = CountingFleet(entries=12, engines=0, shops=3, seed=1, watch_peers=True)
        fleet.load(ORDER, 30.0, until=40.0)
        name = "entry-3"
        for number in range(12):
            fleet.entries[name].resets_calls = True
            fleet.run_until(3.0 * (number + 1))
            fleet.remove_entry(name)
            name = f"entry-3.{number}"
            fleet.run_until(fleet.now + 0.5)
            fleet.start_entry(name, 0.1, 0.2)
        fleet.run_until(41.0)
        ejecting = {entry for _, entry, _ in fleet.ejections()}
        self.assertTrue(all(entry.startswith("entry-3") for entry in ejecting))

    def test_entries_cut_off_eject_nothing_elsewhere(self):
        """A partition's end must not spread what its one side has seen."""
        fleet = CountingFleet(entries=12, engines=0, shops=3, seed=1, watch_peers=True)
        cut_off = [fleet.entries[f"entry-{number}"] for number in range(4)]
        fleet.load(ORDER, 30.0, until=40.0)
        fleet.run_until(5.0)
        for entry in cut_off:
            entry.cut_off = entry.resets_calls = True
        fleet.run_until(15.0)
        for entry in cut_off:
            entry.cut_off = entry.resets_calls = False
        fleet.run_until(41.0)
        ejecting = {entry for _, entry, _ in fleet.ejections()}
        self.assertTrue(ejecting)
        self.assertLessEqual(ejecting, {entry.name for entry in cut_off})

    def test_entries_of_other_cells_get_no_reports(self):
        settings = DirectSettings(max_targets=3)
        fleet = CountingFleet(entries=12, engines=0, shops=6, seed=1, settings=settings)
        fleet.load(ORDER, 30.0, until=30.0)
        fleet.targets["s0"].reset_share = 1.0
        fleet.run_until(31.0)
        cells = {frozenset(e.board.peer_names) for e in fleet.entries.values()}
        self.assertEqual(len(cells), 2)
        ejecting = {entry for _, entry, _ in fleet.ejections()}
        self.assertIn(ejecting, cells)
        _, _, report = fleet.reports[0]
        self.assertFalse(UpdatePeers(failures=(report,)).for_all_cells)


class ReportTest(unittest.TestCase):
    """What one entry makes of reports."""

    def setUp(self):
        self.world = DirectWorld(engines=0, shops=3)
        self.world.handle(PeersUpdated(PEERS))
        self.world.now = 100.0
        self.target = AgentId("s0", "1")

    def report(self, owner="entry-2", weight=1.0, ago=0.0, began_ago=None, target=None):
        now = self.world.now
        began_at = now - (ago if began_ago is None else began_ago)
        report = FailureReport(target or self.target, weight, began_at, now - ago)
        event = PeerUpdateReceived(owner, failures=(report,))
        return self.ejections(self.world.handle(event))

    def ejections(self, commands):
        return [c for c in commands if type(c).__name__ == "RecordEjection"]

    def fail_calls(self, count=1):
        """Let own calls to the target fail."""
        commands = []
        for _ in range(count):
            commands += self.attempt(
                lambda send: self.world.handle(
                    AttemptFailed(
                        send.attempt, Reason.STREAM_BROKEN, Verdict.MAY_HAVE_RUN
                    )
                )
            )
        return commands

    def answer(self, answer=OK):
        return self.attempt(lambda send: self.world.answer(send, answer))

    def attempt(self, end):
        """Send an own call to the target, whatever is known of it."""
        for view in self.world.board.targets.values():
            view.suspected_until = 0.0 if view.listing.id == "s0" else math.inf
        send = self.world.send(f"r{len(self.world.command_log)}", ORDER)
        self.assertEqual(send.target, self.target)
        return end(send)

    def is_ejected(self):
        return self.world.board.targets["s0"].ejected_until > self.world.now

    def test_failures_of_peers_add_up(self):
        self.assertEqual(self.report("entry-2", 2.0), [])
        (ejection,) = self.report("entry-3")
        self.assertEqual(ejection.evidence, EjectionEvidence.PEERS)
        self.assertIn("entry-2, entry-3", ejection.detail)
        self.assertTrue(self.is_ejected())

    def test_own_failures_eject_as_before(self):
        (ejection,) = self.ejections(self.fail_calls(3))
        self.assertEqual(ejection.evidence, EjectionEvidence.OWN)

    def test_own_failure_completes_those_of_a_peer(self):
        self.report("entry-2", 2.0)
        (ejection,) = self.ejections(self.fail_calls())
        self.assertEqual(ejection.evidence, EjectionEvidence.PEERS)

    def test_single_peer_ejects_nothing(self):
        self.assertEqual(self.report(weight=50.0), [])
        self.assertEqual(self.report(weight=51.0), [])

    def test_repeated_report_counts_once(self):
        for _ in range(3):
            self.assertEqual(self.report("entry-2"), [])
            self.assertEqual(self.report("entry-3"), [])

    def test_unknown_reporter_is_ignored(self):
        for name in ("other-1", "other-2", ""):
            self.assertEqual(self.report(name, 2.0), [])

    def test_success_of_a_peer_resets_the_common_row(self):
        self.report("entry-2", 2.0)
        self.report("entry-3", 0.0)
        self.assertEqual(self.report("entry-4"), [])

    def test_own_success_resets_all_and_is_reported_once(self):
        self.report("entry-2", 2.0)
        report = FailureReport(self.target, 0.0, self.world.now, self.world.now)
        self.assertIn(UpdatePeers(failures=(report,)), self.answer())
        self.assertNotIn(UpdatePeers(failures=(report,)), self.answer())
        self.world.now += 0.1
        self.assertEqual(self.report("entry-3"), [])

    def test_success_of_a_peer_leaves_the_row_of_the_own_link(self):
        """The entry's own link may fail while those of its peers work."""
        self.fail_calls(2)
        self.report("entry-3", 0.0)
        (ejection,) = self.ejections(self.fail_calls())
        self.assertEqual(ejection.evidence, EjectionEvidence.OWN)

    def test_report_of_a_row_that_a_success_ended_counts_once(self):
        """A peer may have missed the success that ended its row."""
        self.report("entry-3", 0.0)
        self.world.now += 1.0
        self.assertEqual(self.report("entry-2", 2.0, began_ago=2.0), [])
        self.assertEqual(self.report("entry-4", 1.0), [])

    def test_failure_before_a_success_is_ignored(self):
        self.report("entry-3", 0.0)
        self.report("entry-2", 2.0, ago=0.5)
        self.assertEqual(self.report("entry-4", 2.0, ago=0.4), [])

    def test_old_reports_are_ignored(self):
        self.report("entry-2", 2.0)
        self.world.now += 5.1
        self.assertEqual(self.report("entry-3", 2.0), [])
        self.assertEqual(self.report("entry-4", 2.0, ago=5.1), [])

    def test_reports_of_another_incarnation_are_ignored(self):
        former = AgentId("s0", "0")
        self.report("entry-2", 2.0, target=former)
        self.assertEqual(self.report("entry-3", 2.0, target=former), [])
        self.assertEqual(self.report("entry-3", 2.0), [])

    def test_new_incarnation_begins_without_failures(self):
        self.report("entry-2", 2.0)
        self.report("entry-3", 2.0)
        self.world.add_target("s0", "shop", started_at=2)
        self.assertFalse(self.is_ejected())
        successor = AgentId("s0", "2")
        self.assertEqual(self.report("entry-2", target=successor), [])
        self.assertEqual(self.report("entry-3", target=successor), [])

    def test_absurd_numbers_are_refused(self):
        for weight in (-1.0, math.nan, math.inf):
            self.report("entry-2", weight)
            self.assertEqual(self.report("entry-3", weight), [])
        for ago in (-1.0, math.nan, math.inf, -math.inf):
            self.report("entry-2", 2.0, ago=ago)
            self.assertEqual(self.report("entry-3", 2.0, ago=ago), [])
        self.report("entry-2", 2.0, began_ago=math.nan)
        self.assertEqual(self.report("entry-3", 2.0, began_ago=-1.0), [])

    def test_answered_errors_weigh_half(self):
        for _ in range(5):
            self.assertEqual(self.ejections(self.answer(SERVER_ERROR)), [])
        self.assertEqual(len(self.ejections(self.answer(SERVER_ERROR))), 1)

    def test_first_failure_after_an_ejection_ejects_again(self):
        self.report("entry-2", 2.0)
        self.report("entry-3", 1.0)
        until = self.world.board.targets["s0"].ejected_until
        self.assertEqual(until, self.world.now + 2.0)
        self.world.now = until - 0.1
        self.assertEqual(self.report("entry-4"), [])  # sent before the ejection
        self.world.now = until + 0.1
        self.assertEqual(self.report("entry-4", ago=0.2), [])
        self.assertEqual(len(self.report("entry-2")), 1)
        ejected_until = self.world.board.targets["s0"].ejected_until
        self.assertEqual(ejected_until, self.world.now + 4.0)

    def test_success_of_a_peer_ends_the_trials(self):
        self.report("entry-2", 2.0)
        self.report("entry-3", 1.0)
        self.world.now += 2.5
        self.report("entry-4", 0.0)
        self.assertEqual(self.report("entry-2", ago=-0.0), [])

    def test_own_failures_are_repeated_for_a_time(self):
        self.assertEqual(
            [c.failures for c in self.fail_calls() if isinstance(c, UpdatePeers)][0][
                0
            ].weight,
            1.0,
        )
        for now, count in ((101.4, 1), (101.6, 0)):
            commands = self.world.dispatcher.report_to_peers(now)
            self.assertEqual(sum(len(c.failures) for c in commands), count)


class EjectionRecordTest(unittest.TestCase):
    def test_ejection_is_counted_and_logged_with_its_evidence(self):
        entry = mock.Mock(spec=DirectEntry)
        entry._metrics, entry._log = Metrics("test"), mock.Mock()
        command = RecordEjection("s0", EjectionEvidence.PEERS, "3 failures")
        DirectEntry._execute(entry, command)
        entry._log.write.assert_called_once_with(
            "target ejected", subject="s0", evidence="peers", detail="3 failures"
        )
        self.assertIn(
            b'chicorycove_target_ejections_total{evidence="peers"} 1',
            entry._metrics.page(),
        )


class DatagramTest(unittest.TestCase):
    def setUp(self):
        self.report = FailureReport(AgentId("i-0123456789", "7"), 1.5, 98.0, 99.5)

    def test_report_arrives_as_sent(self):
        (data,) = peer_datagram.encode(
            "e", UpdatePeers(failures=(self.report,)), REVISION, 100.0
        )
        received = peer_datagram.decode(data, 100.0)
        self.assertEqual(received.failures, (self.report,))
        self.assertEqual(received.unreachable, ())

    def test_earlier_versions_ignore_the_report(self):
        (data,) = peer_datagram.encode(
            "e", UpdatePeers(failures=(self.report,)), REVISION, 100.0
        )
        received = peer_datagram.decode(cut_datagram(data), 100.0)
        self.assertEqual(
            received, PeerUpdateReceived("e", store_revision=StoreRevision(0, 7))
        )

    def test_datagrams_of_many_reports_fit_a_frame(self):
        update = UpdatePeers(failures=(self.report,) * 45)
        datagrams = peer_datagram.encode(
            "front-kitakyushu-1.01234567", update, StoreRevision(1, 10**9), 100.0
        )
        self.assertEqual(len(datagrams), 3)
        self.assertTrue(all(len(data) < 1400 for data in datagrams))


if __name__ == "__main__":
    unittest.main()
