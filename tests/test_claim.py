"""Claims with a store that fails and entries that crash or pause."""

import itertools
import random
import unittest

from chicorycove.claim import Claimer, ClaimSettings
from chicorycove.command import (
    ReadKey,
    ReplayResult,
    SealAttempt,
    SendClaimedAttempt,
    SwapKey,
)
from chicorycove.event import (
    OutcomeUnknown,
    SealAnswered,
    SealOutcome,
    StoreCallFinished,
    SwapConflicted,
)
from chicorycove.identity import AgentId, AttemptId
from chicorycove.lifecycle import FailRequest, Tick
from chicorycove.reason import Reason
from chicorycove.request import Call, Request
from chicorycove.verdict import Verdict

from .fake_store import FakeStore

DEADLINE = 30.0
AGENT = AgentId("steel-1", "incarnation-1")
REGISTRATION = Call("purchasing", "POST", "/steel", idempotent=False)


def make_request(name, *, key="k", workspace="w", digest="d", deadline=DEADLINE):
    return Request(
        name,
        workspace,
        "short",
        REGISTRATION,
        arrived=0.0,
        deadline=deadline,
        key=key,
        body_digest=digest,
    )


def make_attempt(name, number=1):
    return AttemptId(name, number, "n")


class Entry:
    """A claimer whose calls go to the store, unless they are delayed."""

    def __init__(self, name, store):
        self.store = store
        self.claimer = Claimer(
            name, ClaimSettings(), itertools.count(1), random.Random(7)
        )
        self.calls_delayed = False
        self.delayed_calls = []

    def claim(self, request, now=0.0, number=1):
        attempt_id = make_attempt(request.id, number)
        return self.run(self.claimer.claim(request, attempt_id, AGENT, now), now)

    def handle(self, event, now):
        return self.run(self.claimer.handle(event, now), now)

    def record_result(self, request, result, now=1.0):
        return self.run(self.claimer.record_result(request.id, result, now), now)

    def run(self, commands, now):
        """Carry out calls to the store; return all other commands."""
        outgoing = []
        for command in commands:
            match command:
                case ReadKey() | SwapKey() if self.calls_delayed:
                    self.delayed_calls.append(command)
                case ReadKey() | SwapKey():
                    result = self.store.carry_out(command)
                    outgoing += self.handle(
                        StoreCallFinished(command.call, result), now
                    )
                case _:
                    outgoing.append(command)
        return outgoing

    def send_delayed_calls(self, now):
        """Let the delayed calls reach the store."""
        self.calls_delayed = False
        delayed_calls, self.delayed_calls = self.delayed_calls, []
        return self.run(delayed_calls, now)

    def advance(self, start, stop):
        """Advance the time; return the commands issued meanwhile."""
        outgoing, now = [], start
        while now < stop:
            now += 0.1
            outgoing += self.handle(Tick(), now)
        return outgoing


class ClaimCase(unittest.TestCase):
    def setUp(self):
        self.store = FakeStore()
        self.first = Entry("e1", self.store)
        self.second = Entry("e2", self.store)


class NormalOperationTest(ClaimCase):
    def test_claim_and_result_take_two_store_calls(self):
        request = make_request("r1")
        self.assertEqual(self.first.claim(request), [SendClaimedAttempt("r1")])
        self.assertTrue(self.first.claimer.holds("r1"))
        self.first.record_result(request, b"ordered")
        self.assertEqual(self.store.calls, 2)
        self.assertFalse(self.first.claimer.busy)

    def test_later_retry_gets_the_stored_result(self):
        request = make_request("r1")
        self.first.claim(request)
        self.first.record_result(request, b"ordered")
        self.assertEqual(
            self.second.claim(make_request("r2")), [ReplayResult("r2", b"ordered")]
        )

    def test_key_with_another_body_is_refused(self):
        self.first.claim(make_request("r1"))
        commands = self.second.claim(make_request("r2", digest="other"))
        self.assertEqual(
            commands, [FailRequest("r2", Reason.KEY_REUSED, Verdict.NOT_RUN)]
        )

    def test_keys_of_workspaces_are_independent(self):
        self.first.claim(make_request("r1"))
        commands = self.second.claim(make_request("r2", workspace="v"))
        self.assertEqual(commands, [SendClaimedAttempt("r2")])

    def test_large_result_is_not_stored(self):
        request = make_request("r1")
        self.first.claim(request)
        self.first.record_result(request, bytes(ClaimSettings().max_result_size + 1))
        commands = self.second.claim(make_request("r2"))
        self.assertEqual(
            commands, [FailRequest("r2", Reason.RESULT_NOT_KEPT, Verdict.RAN)]
        )

    def test_key_is_free_after_its_expiry(self):
        request = make_request("r1")
        self.first.claim(request)
        self.first.record_result(request, b"ordered")
        now = DEADLINE + ClaimSettings().retention
        later = make_request("r2", deadline=now + 30.0)
        self.assertEqual(self.second.claim(later, now), [SendClaimedAttempt("r2")])

    def test_key_of_a_request_that_did_not_run_is_free(self):
        request = make_request("r1")
        self.first.claim(request)
        commands = self.first.claimer.abandon(request.id, Verdict.NOT_RUN, 1.0)
        self.first.run(commands, 1.0)
        self.assertEqual(
            self.second.claim(make_request("r2")), [SendClaimedAttempt("r2")]
        )

    def test_uncertain_outcome_is_stored(self):
        request = make_request("r1")
        self.first.claim(request)
        commands = self.first.claimer.abandon(request.id, Verdict.MAY_HAVE_RUN, 1.0)
        self.first.run(commands, 1.0)
        commands = self.second.claim(make_request("r2"))
        expected = FailRequest("r2", Reason.CLAIM_UNSETTLED, Verdict.MAY_HAVE_RUN)
        self.assertEqual(commands, [expected])


class StoreFaultTest(ClaimCase):
    def test_claim_with_unknown_outcome_is_read_back(self):
        self.store.lose = True
        self.assertEqual(self.first.claim(make_request("r1")), [])
        self.store.lose = False
        self.assertEqual(self.first.advance(0.0, 1.0), [SendClaimedAttempt("r1")])

    def test_claim_that_was_not_written_is_repeated(self):
        self.first.calls_delayed = True
        self.first.claim(make_request("r1"))
        lost_call = self.first.delayed_calls.pop()
        self.first.calls_delayed = False
        self.first.handle(StoreCallFinished(lost_call.call, OutcomeUnknown()), 0.1)
        self.assertEqual(self.first.advance(0.1, 1.0), [SendClaimedAttempt("r1")])

    def test_first_write_arrives_after_the_second(self):
        self.first.calls_delayed = True
        self.first.claim(make_request("r1"))
        late_call = self.first.delayed_calls.pop()
        self.first.calls_delayed = False
        self.first.handle(StoreCallFinished(late_call.call, OutcomeUnknown()), 0.1)
        self.assertEqual(self.first.advance(0.1, 1.0), [SendClaimedAttempt("r1")])
        self.assertIsInstance(self.store.carry_out(late_call), SwapConflicted)

    def test_outage_shorter_than_the_deadline(self):
        self.store.down = True
        self.first.claim(make_request("r1"))
        self.assertEqual(self.first.advance(0.0, 20.0), [])
        self.store.down = False
        self.assertEqual(self.first.advance(20.0, 25.0), [SendClaimedAttempt("r1")])

    def test_outage_longer_than_the_deadline(self):
        self.store.down = True
        self.first.claim(make_request("r1"))
        commands = self.first.advance(0.0, 31.0)
        self.assertEqual(
            commands, [FailRequest("r1", Reason.STORE_DOWN, Verdict.NOT_RUN)]
        )
        self.assertFalse(self.first.claimer.busy)

    def test_claim_confirmed_after_the_deadline_is_not_used(self):
        self.first.calls_delayed = True
        self.first.claim(make_request("r1"))
        commands = self.first.send_delayed_calls(DEADLINE)
        self.assertEqual(
            commands, [FailRequest("r1", Reason.STORE_DOWN, Verdict.NOT_RUN)]
        )

    def test_outcome_is_stored_after_an_outage(self):
        request = make_request("r1")
        self.first.claim(request)
        self.store.down = True
        self.first.record_result(request, b"ordered")
        self.assertTrue(self.first.claimer.busy)
        self.store.down = False
        self.first.advance(1.0, 5.0)
        self.assertFalse(self.first.claimer.busy)
        self.assertEqual(
            self.second.claim(make_request("r2")), [ReplayResult("r2", b"ordered")]
        )

    def test_outcome_whose_write_was_not_confirmed(self):
        request = make_request("r1")
        self.first.claim(request)
        self.store.lose = True
        self.first.record_result(request, b"ordered")
        self.store.lose = False
        self.first.advance(1.0, 2.0)
        self.assertFalse(self.first.claimer.busy)
        self.assertEqual(
            self.second.claim(make_request("r2")), [ReplayResult("r2", b"ordered")]
        )

    def test_outcome_is_abandoned_after_its_timeout(self):
        request = make_request("r1")
        self.first.claim(request)
        self.store.down = True
        self.first.record_result(request, b"ordered")
        self.first.advance(1.0, 65.0)
        self.assertFalse(self.first.claimer.busy)

    def test_unreadable_value_is_not_overwritten(self):
        self.first.claim(make_request("r1"))
        (key,) = self.store._values
        self.store._values[key] = (b'{"state":"new"}', 1)
        commands = self.second.claim(make_request("r2"))
        expected = FailRequest("r2", Reason.CLAIM_UNSETTLED, Verdict.MAY_HAVE_RUN)
        self.assertEqual(commands, [expected])


class TakeoverTest(ClaimCase):
    def seal_first(self, outcome):
        self.first.claim(make_request("r1"))
        commands = self.second.claim(make_request("r2"))
        self.assertEqual(commands, [SealAttempt(make_attempt("r1"), AGENT, DEADLINE)])
        return self.second.handle(SealAnswered(make_attempt("r1"), outcome), 1.0)

    def test_attempt_that_did_not_start_is_taken_over(self):
        commands = self.seal_first(SealOutcome.NOT_STARTED)
        self.assertEqual(commands, [SendClaimedAttempt("r2")])

    def test_result_of_a_started_attempt_is_awaited(self):
        self.assertEqual(self.seal_first(SealOutcome.STARTED), [])
        self.first.record_result(make_request("r1"), b"ordered", 2.0)
        self.assertEqual(
            self.second.advance(2.0, 6.0), [ReplayResult("r2", b"ordered")]
        )

    def test_started_attempt_without_a_result(self):
        self.seal_first(SealOutcome.STARTED)
        expected = FailRequest("r2", Reason.KEY_IN_PROGRESS, Verdict.MAY_HAVE_RUN)
        self.assertEqual(self.second.advance(1.0, 31.0), [expected])

    def test_seal_at_a_replaced_agent(self):
        self.seal_first(SealOutcome.UNKNOWN)
        expected = FailRequest("r2", Reason.KEY_IN_PROGRESS, Verdict.MAY_HAVE_RUN)
        self.assertEqual(self.second.advance(1.0, 31.0), [expected])

    def test_unresponsive_agent(self):
        self.first.claim(make_request("r1"))
        self.second.claim(make_request("r2"))
        commands = self.second.advance(0.0, 31.0)
        self.assertGreater(len(commands), 5)
        expected = FailRequest("r2", Reason.CLAIM_UNSETTLED, Verdict.MAY_HAVE_RUN)
        self.assertEqual(commands[-1], expected)

    def test_delayed_claim_of_a_paused_entry_conflicts(self):
        self.first.calls_delayed = True
        self.first.claim(make_request("r1"))
        self.assertEqual(
            self.second.claim(make_request("r2")), [SendClaimedAttempt("r2")]
        )
        commands = self.first.send_delayed_calls(5.0)
        self.assertEqual(commands, [SealAttempt(make_attempt("r2"), AGENT, DEADLINE)])

    def test_entry_whose_attempt_was_sealed_awaits_the_other_result(self):
        self.seal_first(SealOutcome.NOT_STARTED)
        self.assertEqual(self.first.claim(make_request("r1"), 1.5, number=2), [])
        self.assertEqual(self.first.advance(1.5, 3.0), [])
        self.second.record_result(make_request("r2"), b"ordered", 3.0)
        self.assertEqual(self.first.advance(3.0, 6.0), [ReplayResult("r1", b"ordered")])

    def test_further_attempt_is_claimed_before_it_is_sent(self):
        self.first.claim(make_request("r1"))
        self.assertEqual(
            self.first.claim(make_request("r1"), 1.0, number=2),
            [SendClaimedAttempt("r1")],
        )
        commands = self.second.claim(make_request("r2"), 1.0)
        self.assertEqual(
            commands, [SealAttempt(make_attempt("r1", 2), AGENT, DEADLINE)]
        )

    def test_two_requests_at_one_entry(self):
        self.first.claim(make_request("r1"))
        self.assertEqual(self.first.claim(make_request("r2")), [])
        self.first.record_result(make_request("r1"), b"ordered", 1.0)
        self.assertEqual(self.first.advance(1.0, 4.0), [ReplayResult("r2", b"ordered")])

    def test_takeover_with_unknown_outcome(self):
        self.first.claim(make_request("r1"))
        self.second.claim(make_request("r2"))
        self.store.lose = True
        outcome = SealAnswered(make_attempt("r1"), SealOutcome.NOT_STARTED)
        self.assertEqual(self.second.handle(outcome, 1.0), [])
        self.store.lose = False
        self.assertEqual(self.second.advance(1.0, 2.0), [SendClaimedAttempt("r2")])

    def test_caller_disconnects_while_the_key_is_claimed(self):
        self.first.calls_delayed = True
        request = make_request("r1")
        self.first.claim(request)
        self.first.claimer.abandon(request.id, Verdict.NOT_RUN, 0.5)
        self.assertEqual(self.first.send_delayed_calls(1.0), [])
        self.assertFalse(self.first.claimer.busy)
