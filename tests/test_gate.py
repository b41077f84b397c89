"""Tests the gate: each attempt starts once, a sealed one never."""

import random
import unittest

from chicorycove.event import AttemptOffer, SealOutcome, SealRequested
from chicorycove.gate import Gate, GateSettings
from chicorycove.identity import AgentId, AttemptId
from chicorycove.reason import Reason

AGENT = AgentId("steel-1", "incarnation-1")
SETTINGS = GateSettings(clock_skew=5.0, seal_window=50.0)
DEADLINE = 100.0


def attempt(number=1):
    return AttemptId("r1", number, "n")


def offer(number=1, *, incarnation="incarnation-1", idempotent=False):
    return AttemptOffer(
        attempt(number),
        "entry",
        incarnation,
        DEADLINE,
        priority=1,
        idempotent=idempotent,
    )


def seal(number=1, *, incarnation="incarnation-1"):
    return SealRequested(attempt(number), incarnation, DEADLINE, "other")


class AdmitTest(unittest.TestCase):
    def setUp(self):
        self.gate = Gate(AGENT, SETTINGS)

    def test_queue_start_and_end(self):
        self.assertIsNone(self.gate.admit(offer(), 0.0))
        self.assertTrue(self.gate.busy)
        self.assertTrue(self.gate.start(attempt(), 1.0))
        self.gate.end(attempt(), 2.0)
        self.assertFalse(self.gate.busy)

    def test_known_attempt_is_a_duplicate_in_every_state(self):
        self.gate.admit(offer(), 0.0)
        self.assertIs(self.gate.admit(offer(), 0.0), Reason.ATTEMPT_DUPLICATE)
        self.gate.start(attempt(), 1.0)
        self.assertIs(self.gate.admit(offer(), 1.0), Reason.ATTEMPT_DUPLICATE)
        self.gate.end(attempt(), 2.0)
        self.assertIs(self.gate.admit(offer(), 2.0), Reason.ATTEMPT_DUPLICATE)
        self.assertFalse(self.gate.start(attempt(), 2.0))

    def test_another_incarnation_is_refused(self):
        stale = offer(incarnation="incarnation-0")
        self.assertIs(self.gate.admit(stale, 0.0), Reason.STALE_INCARNATION)

    def test_expired_offer_is_refused(self):
        self.assertIs(self.gate.admit(offer(), DEADLINE), Reason.ATTEMPT_EXPIRED)

    def test_queued_attempt_does_not_start_past_its_deadline(self):
        self.gate.admit(offer(), 0.0)
        self.assertFalse(self.gate.start(attempt(), DEADLINE))
        self.assertFalse(self.gate.busy)

    def test_draining_gate_refuses_new_and_starts_queued(self):
        self.gate.admit(offer(1), 0.0)
        self.gate.drain()
        self.assertIs(self.gate.admit(offer(2), 0.0), Reason.TARGET_LEAVING)
        self.assertTrue(self.gate.start(attempt(1), 1.0))
        self.assertFalse(self.gate.start(attempt(2), 1.0))

    def test_refused_attempt_never_starts(self):
        self.gate.admit(offer(), 0.0)
        self.gate.refuse(offer(), Reason.QUEUE_FULL)
        self.assertFalse(self.gate.start(attempt(), 1.0))
        self.assertIs(self.gate.seal(seal(), 1.0), SealOutcome.NOT_STARTED)

    def test_cancel_is_proof_only_before_the_start(self):
        self.gate.admit(offer(1), 0.0)
        self.gate.admit(offer(2), 0.0)
        self.gate.start(attempt(2), 0.0)
        self.assertTrue(self.gate.cancel(attempt(1), 1.0))
        self.assertFalse(self.gate.cancel(attempt(2), 1.0))
        self.assertFalse(self.gate.start(attempt(1), 1.0))


class SealTest(unittest.TestCase):
    def setUp(self):
        self.gate = Gate(AGENT, SETTINGS)

    def test_attempt_is_sealed_before_its_offer(self):
        self.assertIs(self.gate.seal(seal(), 0.0), SealOutcome.NOT_STARTED)
        self.assertIs(self.gate.admit(offer(), 1.0), Reason.ATTEMPT_SEALED)

    def test_queued_attempt_is_sealed(self):
        self.gate.admit(offer(), 0.0)
        self.assertIs(self.gate.seal(seal(), 0.0), SealOutcome.NOT_STARTED)
        self.assertFalse(self.gate.start(attempt(), 1.0))
        self.assertFalse(self.gate.busy)

    def test_seal_of_started_or_ended_attempt_reports_started(self):
        self.gate.admit(offer(), 0.0)
        self.gate.start(attempt(), 1.0)
        self.assertIs(self.gate.seal(seal(), 1.0), SealOutcome.STARTED)
        self.gate.end(attempt(), 2.0)
        self.assertIs(self.gate.seal(seal(), 2.0), SealOutcome.STARTED)

    def test_seal_for_another_incarnation_is_unknown(self):
        stale = seal(incarnation="incarnation-0")
        self.assertIs(self.gate.seal(stale, 0.0), SealOutcome.UNKNOWN)

    def test_seal_after_pruning_is_unknown(self):
        self.gate.admit(offer(), 0.0)
        self.gate.start(attempt(), 1.0)
        self.gate.end(attempt(), 2.0)
        self.gate.prune(DEADLINE + 49.0)
        self.assertIs(self.gate.seal(seal(), DEADLINE + 49.0), SealOutcome.STARTED)
        self.gate.prune(DEADLINE + 50.0)
        self.assertIs(self.gate.seal(seal(), DEADLINE + 50.0), SealOutcome.UNKNOWN)


class PruneTest(unittest.TestCase):
    def test_idempotent_records_are_removed_after_the_clock_skew(self):
        gate = Gate(AGENT, SETTINGS)
        gate.admit(offer(idempotent=True), 0.0)
        gate.start(attempt(), 0.0)
        gate.end(attempt(), 1.0)
        gate.prune(DEADLINE + 4.9)
        self.assertEqual(len(gate), 1)
        gate.prune(DEADLINE + 5.0)
        self.assertEqual(len(gate), 0)

    def test_running_attempt_is_kept_until_it_ends(self):
        gate = Gate(AGENT, SETTINGS)
        gate.admit(offer(), 0.0)
        gate.start(attempt(), 0.0)
        gate.prune(1000.0)
        self.assertTrue(gate.busy)
        gate.end(attempt(), 1001.0)
        self.assertEqual(len(gate), 0)

    def test_random_calls_start_once_and_never_after_refusal_or_seal(self):
        rng = random.Random(4)
        for _ in range(300):
            gate = Gate(AGENT, SETTINGS)
            starts, proved_not_run = 0, False
            for now in range(0, 200, 4):
                match rng.randrange(5):
                    case 0:
                        reason = gate.admit(offer(), now)
                        not_run = reason not in (None, Reason.ATTEMPT_DUPLICATE)
                        self.assertFalse(not_run and starts)
                        proved_not_run |= not_run
                    case 1:
                        started = gate.start(attempt(), now)
                        self.assertFalse(started and proved_not_run)
                        starts += started
                    case 2:
                        outcome = gate.seal(seal(), now)
                        not_run = outcome is SealOutcome.NOT_STARTED
                        self.assertFalse(not_run and starts)
                        proved_not_run |= not_run
                    case 3:
                        gate.end(attempt(), now)
                    case 4:
                        gate.prune(now)
            self.assertLessEqual(starts, 1)
