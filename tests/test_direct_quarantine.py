"""Tests of prompts that crash the targets that begin to answer them."""

import unittest

from chicorycove import Reason, Verdict
from chicorycove.direct import peer_datagram
from chicorycove.direct.command import UpdatePeers
from chicorycove.direct.event import (
    AnswerHeadReceived,
    CrashReport,
    EventsRelayed,
    PeersUpdated,
    PeerUpdateReceived,
    QuarantineReport,
    StreamClosed,
    TargetProbed,
    TraitsAnswered,
)
from chicorycove.direct.quarantine import QuarantineSettings, RequestQuarantine
from chicorycove.direct.settings import DirectSettings
from chicorycove.direct.store_revision import StoreRevision
from chicorycove.identity import AgentId
from chicorycove.lifecycle import AnswerCompleted, Tick

from .direct import OK, REVISION, SHORT, DirectWorld, command_names, only_command
from .direct_fleet import Fleet, cut_datagram

STABLE_AFTER = 3.0  # seconds from the fifth crash until the bound holds
COUNTED_CRASHES = 5
ALLOWED_REQUESTS = 3  # with the crashing part, from then on
HARMFUL = "bad0"


def sound_parts(random):
    """Return parts that all, a workspace's and a session's prompts share."""
    return ("common", f"w{random.randrange(10)}", f"s{random.randrange(60)}")


def harmful_parts(random):
    return (*sound_parts(random)[:2], HARMFUL)


def harmful_parts_only(random):
    return (f"x{random.randrange(1000)}", HARMFUL, f"y{random.randrange(1000)}")


class CrashingPartTest(unittest.TestCase):
    def play(self, parts, seed=1, rate=4.0, start=5.0, until=40.0, **fields):
        """Play sound prompts, and beside them some that crash targets."""
        fleet = Fleet(engines=16, seed=seed, **fields)
        fleet.crashing_part = HARMFUL
        fleet.load(SHORT, rate=18.0, until=until, parts=sound_parts)
        fleet.run_until(start)
        fleet.load(SHORT, rate=rate, until=until, parts=parts)
        fleet.run_until(until + 12.0)
        return fleet

    def count_late_requests(self, fleet):
        """Return the arrivals that count against the bound."""
        if len(fleet.crashes) < COUNTED_CRASHES:
            return 0
        bound_from = fleet.crashes[COUNTED_CRASHES - 1] + STABLE_AFTER
        return sum(
            HARMFUL in arrival.parts and arrival.time >= bound_from
            for arrival in fleet.arrivals
        )

    def test_crashing_part_is_not_sent_on_after_the_fifth_crash(self):
        for parts in (harmful_parts, harmful_parts_only):
            for seed in (1, 2, 3):
                with self.subTest(parts=parts.__name__, seed=seed):
                    late = self.count_late_requests(self.play(parts, seed))
                    self.assertLessEqual(late, ALLOWED_REQUESTS)

    def test_sound_prompts_beside_a_crashing_part_are_answered(self):
        fleet = self.play(harmful_parts)
        self.assertGreaterEqual(fleet.answered_share(10.0, 40.0, HARMFUL), 0.98)

    def test_crashing_part_is_found_while_datagrams_are_lost(self):
        fleet = self.play(harmful_parts, loss=0.2)
        self.assertLessEqual(self.count_late_requests(fleet), ALLOWED_REQUESTS)

    def test_crashing_part_is_found_right_after_the_start(self):
        fleet = self.play(harmful_parts, start=0.3)
        self.assertLessEqual(self.count_late_requests(fleet), ALLOWED_REQUESTS)
        self.assertGreaterEqual(fleet.answered_share(10.0, 40.0, HARMFUL), 0.98)

    def test_crashing_part_is_found_by_the_entries_of_all_cells(self):
        settings = DirectSettings(max_targets=8)  # 16 targets make two cells
        fleet = self.play(harmful_parts, settings=settings)
        cells = {entry.board.peer_names for entry in fleet.entries.values()}
        self.assertEqual(len(cells), 2)
        self.assertLessEqual(self.count_late_requests(fleet), ALLOWED_REQUESTS)
        self.assertLessEqual(len(fleet.crashes), 10)

    def test_rare_prompts_that_crash_targets_are_found(self):
        fleet = self.play(harmful_parts, rate=0.2, until=100.0)
        self.assertLessEqual(self.count_late_requests(fleet), ALLOWED_REQUESTS)

    def test_entry_that_starts_later_refuses_the_crashing_part(self):
        fleet = self.play(harmful_parts, until=20.0)
        fleet.load(SHORT, rate=18.0, until=40.0, parts=sound_parts)
        fleet.add_entry("entry-late")
        fleet.run_until(fleet.now + 2.0)
        crash_count = len(fleet.crashes)
        for number in range(5):
            fields = {"parts": ("common", HARMFUL)}
            id = fleet.receive(SHORT, fields, entry="entry-late")
            self.assertIs(fleet.outcomes[id].command.reason, Reason.REQUEST_QUARANTINED)
        self.assertEqual(len(fleet.crashes), crash_count)

    def test_prompts_are_accepted_again_once_targets_answer_them(self):
        fleet = self.play(harmful_parts, until=15.0)
        fleet.crashing_part = None
        fleet.load(SHORT, rate=18.0, until=80.0, parts=sound_parts)
        fleet.load(SHORT, rate=4.0, until=80.0, parts=harmful_parts)
        fleet.run_until(90.0)
        self.assertEqual(fleet.answered_share(65.0, 80.0), 1.0)


class OtherCrashTest(unittest.TestCase):
    def play(self, count, at_once, gap, seed):
        """Play sound prompts while targets crash by other causes."""
        fleet = Fleet(engines=16, seed=seed)
        fleet.load(SHORT, rate=18.0, until=40.0, parts=sound_parts)
        for number in range(count):
            fleet.call_at(8.0 + number * gap, self.crash_some, fleet, at_once)
        fleet.run_until(52.0)
        return fleet

    def crash_some(self, fleet, count):
        for id in fleet.random.sample(sorted(fleet.targets), count):
            fleet.crash(fleet.targets[id])

    def test_sound_prompts_are_not_refused(self):
        for count, at_once, gap in ((1, 12, 0.0), (15, 1, 2.0), (30, 1, 0.3)):
            for seed in (1, 2):
                with self.subTest(count=count, at_once=at_once, seed=seed):
                    fleet = self.play(count, at_once, gap, seed)
                    refused = [
                        outcome
                        for outcome in fleet.outcomes.values()
                        if type(outcome.command).__name__ == "FailRequest"
                        and outcome.command.reason is Reason.REQUEST_QUARANTINED
                    ]
                    self.assertEqual(refused, [])


class QuarantineTest(unittest.TestCase):
    def setUp(self):
        self.world = DirectWorld(engines=8)
        self.world.handle(PeersUpdated(frozenset({"entry-1"})))
        self.answer("ok", ("common",))
        self.world.now = 10.0

    def begin(self, id, parts):
        """Let a target begin to answer a prompt."""
        send = self.world.send(id, SHORT, parts=parts)
        self.world.handle(AnswerHeadReceived(send.attempt, OK))
        return send

    def answer(self, id, parts):
        send = self.begin(id, parts)
        self.world.handle(EventsRelayed(send.attempt, 1, 1))
        return self.world.handle(AnswerCompleted(send.attempt, 0))

    def report_crashes(self, *crashes):
        """Receive reports of crashes, each with the parts of its prompts."""
        reports = [
            CrashReport(
                AgentId(f"t{number}.{self.world.now}", "1"),
                parts,
                self.world.now,
            )
            for number, parts in enumerate(crashes)
        ]
        self.world.handle(PeerUpdateReceived("entry-2", crashes=tuple(reports)))
        self.world.now += 0.1
        return self.world.handle(Tick())

    def refusal(self, parts):
        """Return the refusal of a prompt, or None if it is sent."""
        commands = self.world.receive(
            f"p{len(self.world.command_log)}", SHORT, parts=parts
        )
        failures = [
            command for command in commands if type(command).__name__ == "FailRequest"
        ]
        return failures[0] if failures else None

    def test_refused_prompt_has_not_run(self):
        self.report_crashes(("a", "b"), ("a", "c"), ("a", "d"))
        refusal = self.refusal(("a", "e"))
        self.assertIs(refusal.reason, Reason.REQUEST_QUARANTINED)
        self.assertIs(refusal.verdict, Verdict.NOT_RUN)
        self.assertGreater(refusal.retry_after, 10.0)
        self.assertIsNone(self.refusal(("b", "c", "d")))

    def test_parts_that_crashes_do_not_tell_apart_are_refused_together(self):
        self.report_crashes(("a", "b"), ("a", "b"), ("a", "b"))
        self.assertIsNotNone(self.refusal(("a", "b")))
        self.assertIsNone(self.refusal(("a",)))
        self.assertIsNone(self.refusal(("b",)))

    def test_events_after_a_frozen_process_are_no_answer(self):
        send = self.begin("frozen", ("a",))
        self.world.now += 5.0
        self.world.handle(EventsRelayed(send.attempt, 1, 1))
        self.report_crashes(("a", "b"), ("a", "c"), ("a", "d"))
        self.world.handle(EventsRelayed(send.attempt, 1, 2))
        self.assertIsNotNone(self.refusal(("a",)))

    def test_answered_part_is_no_longer_refused(self):
        self.report_crashes(("a", "b"), ("a", "b"), ("a", "b"))
        self.answer("sound", ("a",))
        self.assertIsNotNone(self.refusal(("b", "c")))
        self.assertIsNone(self.refusal(("a", "c")))

    def test_part_that_is_answered_between_crashes_is_not_refused(self):
        self.report_crashes(("a", "b"), ("a", "c"))
        self.answer("sound", ("a",))
        self.report_crashes(("a", "d"))
        self.assertIsNone(self.refusal(("a", "e")))

    def test_answer_reported_by_a_peer_ends_a_quarantine(self):
        self.report_crashes(("a", "b"), ("a", "c"), ("a", "d"))
        answered = TraitsAnswered(("a",), self.world.now)
        self.world.handle(PeerUpdateReceived("entry-2", answered=(answered,)))
        self.assertIsNone(self.refusal(("a", "e")))

    def test_prompt_that_waits_at_a_target_is_cancelled(self):
        self.world.send("waiting", SHORT, parts=("a", "x"))
        commands = self.report_crashes(("a", "b"), ("a", "c"), ("a", "d"))
        only_command(commands, "CancelAttempt")
        failure = only_command(commands, "FailRequest")
        self.assertIs(failure.verdict, Verdict.MAY_HAVE_RUN)

    def test_quarantine_ends_after_two_trials_or_without_such_prompts(self):
        self.report_crashes(("a", "b"), ("a", "c"), ("a", "d"))
        trial_count = 0
        for _ in range(300):
            self.world.now += 1.0
            trial_count += self.refusal(("a",)) is None
        self.assertEqual(trial_count, 2)
        self.world.now += 121.0
        self.assertIsNone(self.refusal(("a",)))

    def test_stream_without_a_length_that_ends_at_once_has_its_target_probed(self):
        send = self.begin("unframed", ("a",))
        commands = self.world.handle(StreamClosed(send.attempt))
        self.assertEqual(command_names(commands), ["ProbeTarget", "FinishAnswer"])
        commands = self.world.handle(TargetProbed(send.target.target, False))
        changes = [c for c in commands if type(c).__name__ == "LogChange"]
        self.assertEqual(changes[0].change, "target crashed")

    def test_evidence_is_bounded(self):
        settings = QuarantineSettings()
        board = self.world.board
        quarantine = RequestQuarantine(board, settings, "entry-1")
        for number in range(3_000):
            parts = tuple(f"{number}.{part}" for part in range(200))
            reports = [CrashReport(AgentId(f"t{number}", "1"), parts, number)]
            answers = [TraitsAnswered((*parts, f"request:{number}"), number)]
            adopted = [QuarantineReport((f"q{number}",), number, number, 0, number)]
            quarantine.record_reports(reports, answers, adopted, number)
        update = only_command(quarantine.reports(3_000.0), "UpdatePeers")
        self.assertLessEqual(len(update.quarantines), settings.max_quarantines)
        evidence = quarantine._evidence
        limits = settings.evidence
        self.assertLessEqual(len(evidence._crashes), limits.max_crashes)
        most_parts = limits.max_crashes * limits.max_crash_traits
        trait_count = sum(len(crash.traits) for crash in evidence._crashes.values())
        self.assertLessEqual(trait_count, most_parts)
        self.assertEqual(len(evidence._answered_parts), limits.max_answered_parts)
        self.assertEqual(len(evidence._answered_requests), limits.max_answered_requests)


class QuarantineDatagramTest(unittest.TestCase):
    def test_reports_are_decoded_by_another_clock(self):
        update = UpdatePeers(
            crashes=(CrashReport(AgentId("t", "7"), ("a", "b"), 99.0),),
            answered=(TraitsAnswered(("c",), 98.0),),
            quarantines=(QuarantineReport(("a",), 97.0, 120.0, 1, 99.5),),
        )
        crashes, answered, quarantines = (), (), ()
        for data in peer_datagram.encode("entry-1", update, REVISION, 100.0):
            received = peer_datagram.decode(data, 5000.0)
            crashes += received.crashes
            answered += received.answered
            quarantines += received.quarantines
        self.assertEqual(crashes, (CrashReport(AgentId("t", "7"), ("a", "b"), 4999.0),))
        self.assertEqual(answered, (TraitsAnswered(("c",), 4998.0),))
        self.assertEqual(
            quarantines, (QuarantineReport(("a",), 4997.0, 5020.0, 1, 4999.5),)
        )

    def test_entry_of_an_older_version_reads_the_rest(self):
        update = UpdatePeers(crashes=(CrashReport(AgentId("t", "7"), ("a",), 99.0),))
        (data,) = peer_datagram.encode("entry-1", update, REVISION, 100.0)
        received = peer_datagram.decode(cut_datagram(data), 100.0)
        self.assertEqual(
            (received.store_revision, received.crashes), (StoreRevision(0, 7), ())
        )
