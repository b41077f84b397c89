"""Claims in a store that fails, between entries that crash and pause."""

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
AGENT = AgentId("steel-1", "life-1")
REGISTRATION = Call("purchasing", "POST", "/steel", idempotent=False)


def request(name, *, key="k", workspace="w", digest="d", deadline=DEADLINE):
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


def attempt(name, number=1):
    return AttemptId(name, number, "n")


class Entry:
    """A claimer whose store calls are carried out unless it is held up."""

    def __init__(self, name, store):
        self.store = store
        self.claimer = Claimer(
            name, ClaimSettings(), itertools.count(1), random.Random(7)
        )
        self.held_up = False
        self.pending = []

    def claim(self, asked, now=0.0, number=1):
        one = attempt(asked.id, number)
        return self.run(self.claimer.claim(asked, one, AGENT, now), now)

    def tell(self, event, now):
        return self.run(self.claimer.handle(event, now), now)

    def record_result(self, asked, result, now=1.0):
        return self.run(self.claimer.record_result(asked.id, result, now), now)

    def run(self, commands, now):
        """Carry commands out; return all that is not for the store."""
        said = []
        for command in commands:
            match command:
                case ReadKey() | SwapKey() if self.held_up:
                    self.pending.append(command)
                case ReadKey() | SwapKey():
                    result = self.store.carry_out(command)
                    said += self.tell(StoreCallFinished(command.call, result), now)
                case _:
                    said.append(command)
        return said

    def release(self, now):
        """Let the calls that were held up reach the store."""
        self.held_up = False
        pending, self.pending = self.pending, []
        return self.run(pending, now)

    def wait(self, start, stop):
        """Let the time pass; return what was said meanwhile."""
        said, now = [], start
        while now < stop:
            now += 0.1
            said += self.tell(Tick(), now)
        return said


class ClaimCase(unittest.TestCase):
    def setUp(self):
        self.store = FakeStore()
        self.one = Entry("e1", self.store)
        self.two = Entry("e2", self.store)


class GoodCaseTest(ClaimCase):
    def test_two_calls(self):
        asked = request("r1")
        self.assertEqual(self.one.claim(asked), [SendClaimedAttempt("r1")])
        self.assertTrue(self.one.claimer.holds("r1"))
        self.one.record_result(asked, b"ordered")
        self.assertEqual(self.store.calls, 2)
        self.assertFalse(self.one.claimer.busy)

    def test_later_retry_gets_the_kept_result(self):
        asked = request("r1")
        self.one.claim(asked)
        self.one.record_result(asked, b"ordered")
        self.assertEqual(
            self.two.claim(request("r2")), [ReplayResult("r2", b"ordered")]
        )

    def test_other_body_is_refused(self):
        self.one.claim(request("r1"))
        said = self.two.claim(request("r2", digest="other"))
        self.assertEqual(said, [FailRequest("r2", Reason.KEY_REUSED, Verdict.NOT_RUN)])

    def test_other_workspace_has_keys_of_its_own(self):
        self.one.claim(request("r1"))
        said = self.two.claim(request("r2", workspace="v"))
        self.assertEqual(said, [SendClaimedAttempt("r2")])

    def test_large_result_is_not_kept(self):
        asked = request("r1")
        self.one.claim(asked)
        self.one.record_result(asked, bytes(ClaimSettings().max_result_size + 1))
        said = self.two.claim(request("r2"))
        self.assertEqual(said, [FailRequest("r2", Reason.RESULT_NOT_KEPT, Verdict.RAN)])

    def test_key_is_free_after_its_expiry(self):
        asked = request("r1")
        self.one.claim(asked)
        self.one.record_result(asked, b"ordered")
        now = DEADLINE + ClaimSettings().retention
        later = request("r2", deadline=now + 30.0)
        self.assertEqual(self.two.claim(later, now), [SendClaimedAttempt("r2")])

    def test_key_of_a_request_that_did_not_run_is_free(self):
        asked = request("r1")
        self.one.claim(asked)
        commands = self.one.claimer.abandon(asked.id, Verdict.NOT_RUN, 1.0)
        self.one.run(commands, 1.0)
        self.assertEqual(self.two.claim(request("r2")), [SendClaimedAttempt("r2")])

    def test_doubtful_outcome_is_kept(self):
        asked = request("r1")
        self.one.claim(asked)
        commands = self.one.claimer.abandon(asked.id, Verdict.MAY_HAVE_RUN, 1.0)
        self.one.run(commands, 1.0)
        said = self.two.claim(request("r2"))
        expected = FailRequest("r2", Reason.CLAIM_UNSETTLED, Verdict.MAY_HAVE_RUN)
        self.assertEqual(said, [expected])


class StoreFaultTest(ClaimCase):
    def test_lost_answer_of_a_claim_is_settled_by_reading(self):
        self.store.lose = True
        self.assertEqual(self.one.claim(request("r1")), [])
        self.store.lose = False
        self.assertEqual(self.one.wait(0.0, 1.0), [SendClaimedAttempt("r1")])

    def test_unknown_call_without_effect_is_repeated(self):
        self.one.held_up = True
        self.one.claim(request("r1"))
        lost = self.one.pending.pop()
        self.one.held_up = False
        self.one.tell(StoreCallFinished(lost.call, OutcomeUnknown()), 0.1)
        self.assertEqual(self.one.wait(0.1, 1.0), [SendClaimedAttempt("r1")])

    def test_first_write_may_land_after_the_second(self):
        self.one.held_up = True
        self.one.claim(request("r1"))
        late = self.one.pending.pop()
        self.one.held_up = False
        self.one.tell(StoreCallFinished(late.call, OutcomeUnknown()), 0.1)
        self.assertEqual(self.one.wait(0.1, 1.0), [SendClaimedAttempt("r1")])
        self.assertIsInstance(self.store.carry_out(late), SwapConflicted)

    def test_outage_shorter_than_the_deadline(self):
        self.store.down = True
        self.one.claim(request("r1"))
        self.assertEqual(self.one.wait(0.0, 20.0), [])
        self.store.down = False
        self.assertEqual(self.one.wait(20.0, 25.0), [SendClaimedAttempt("r1")])

    def test_outage_longer_than_the_deadline(self):
        self.store.down = True
        self.one.claim(request("r1"))
        said = self.one.wait(0.0, 31.0)
        self.assertEqual(said, [FailRequest("r1", Reason.STORE_DOWN, Verdict.NOT_RUN)])
        self.assertFalse(self.one.claimer.busy)

    def test_claim_answered_after_the_deadline_is_not_used(self):
        self.one.held_up = True
        self.one.claim(request("r1"))
        said = self.one.release(DEADLINE)
        self.assertEqual(said, [FailRequest("r1", Reason.STORE_DOWN, Verdict.NOT_RUN)])

    def test_outcome_is_kept_after_an_outage(self):
        asked = request("r1")
        self.one.claim(asked)
        self.store.down = True
        self.one.record_result(asked, b"ordered")
        self.assertTrue(self.one.claimer.busy)
        self.store.down = False
        self.one.wait(1.0, 5.0)
        self.assertFalse(self.one.claimer.busy)
        self.assertEqual(
            self.two.claim(request("r2")), [ReplayResult("r2", b"ordered")]
        )

    def test_lost_answer_of_an_outcome(self):
        asked = request("r1")
        self.one.claim(asked)
        self.store.lose = True
        self.one.record_result(asked, b"ordered")
        self.store.lose = False
        self.one.wait(1.0, 2.0)
        self.assertFalse(self.one.claimer.busy)
        self.assertEqual(
            self.two.claim(request("r2")), [ReplayResult("r2", b"ordered")]
        )

    def test_outcome_is_given_up_in_the_end(self):
        asked = request("r1")
        self.one.claim(asked)
        self.store.down = True
        self.one.record_result(asked, b"ordered")
        self.one.wait(1.0, 65.0)
        self.assertFalse(self.one.claimer.busy)

    def test_strange_value_is_left_alone(self):
        self.one.claim(request("r1"))
        (key,) = self.store._values
        self.store._values[key] = (b'{"state":"new"}', 1)
        said = self.two.claim(request("r2"))
        expected = FailRequest("r2", Reason.CLAIM_UNSETTLED, Verdict.MAY_HAVE_RUN)
        self.assertEqual(said, [expected])


class TakeoverTest(ClaimCase):
    def seal_first(self, outcome):
        self.one.claim(request("r1"))
        said = self.two.claim(request("r2"))
        self.assertEqual(said, [SealAttempt(attempt("r1"), AGENT, DEADLINE)])
        return self.two.tell(SealAnswered(attempt("r1"), outcome), 1.0)

    def test_attempt_that_did_not_start_is_taken_over(self):
        said = self.seal_first(SealOutcome.NOT_STARTED)
        self.assertEqual(said, [SendClaimedAttempt("r2")])

    def test_started_attempt_is_waited_for(self):
        self.assertEqual(self.seal_first(SealOutcome.STARTED), [])
        self.one.record_result(request("r1"), b"ordered", 2.0)
        self.assertEqual(self.two.wait(2.0, 6.0), [ReplayResult("r2", b"ordered")])

    def test_started_attempt_without_a_result(self):
        self.seal_first(SealOutcome.STARTED)
        expected = FailRequest("r2", Reason.KEY_IN_PROGRESS, Verdict.MAY_HAVE_RUN)
        self.assertEqual(self.two.wait(1.0, 31.0), [expected])

    def test_replaced_agent(self):
        self.seal_first(SealOutcome.UNKNOWN)
        expected = FailRequest("r2", Reason.KEY_IN_PROGRESS, Verdict.MAY_HAVE_RUN)
        self.assertEqual(self.two.wait(1.0, 31.0), [expected])

    def test_agent_that_does_not_answer(self):
        self.one.claim(request("r1"))
        self.two.claim(request("r2"))
        said = self.two.wait(0.0, 31.0)
        self.assertGreater(len(said), 5)
        expected = FailRequest("r2", Reason.CLAIM_UNSETTLED, Verdict.MAY_HAVE_RUN)
        self.assertEqual(said[-1], expected)

    def test_late_claim_of_a_paused_entry_loses(self):
        self.one.held_up = True
        self.one.claim(request("r1"))
        self.assertEqual(self.two.claim(request("r2")), [SendClaimedAttempt("r2")])
        said = self.one.release(5.0)
        self.assertEqual(said, [SealAttempt(attempt("r2"), AGENT, DEADLINE)])

    def test_entry_whose_attempt_was_sealed_waits_for_the_other(self):
        self.seal_first(SealOutcome.NOT_STARTED)
        self.assertEqual(self.one.claim(request("r1"), 1.5, number=2), [])
        self.assertEqual(self.one.wait(1.5, 3.0), [])
        self.two.record_result(request("r2"), b"ordered", 3.0)
        self.assertEqual(self.one.wait(3.0, 6.0), [ReplayResult("r1", b"ordered")])

    def test_further_attempt_is_claimed_before_it_is_sent(self):
        self.one.claim(request("r1"))
        self.assertEqual(
            self.one.claim(request("r1"), 1.0, number=2), [SendClaimedAttempt("r1")]
        )
        said = self.two.claim(request("r2"), 1.0)
        self.assertEqual(said, [SealAttempt(attempt("r1", 2), AGENT, DEADLINE)])

    def test_two_callers_at_one_entry(self):
        self.one.claim(request("r1"))
        self.assertEqual(self.one.claim(request("r2")), [])
        self.one.record_result(request("r1"), b"ordered", 1.0)
        self.assertEqual(self.one.wait(1.0, 4.0), [ReplayResult("r2", b"ordered")])

    def test_takeover_whose_answer_is_lost(self):
        self.one.claim(request("r1"))
        self.two.claim(request("r2"))
        self.store.lose = True
        outcome = SealAnswered(attempt("r1"), SealOutcome.NOT_STARTED)
        self.assertEqual(self.two.tell(outcome, 1.0), [])
        self.store.lose = False
        self.assertEqual(self.two.wait(1.0, 2.0), [SendClaimedAttempt("r2")])

    def test_caller_gone_while_claiming(self):
        self.one.held_up = True
        asked = request("r1")
        self.one.claim(asked)
        self.one.claimer.abandon(asked.id, Verdict.NOT_RUN, 0.5)
        self.assertEqual(self.one.release(1.0), [])
        self.assertFalse(self.one.claimer.busy)
