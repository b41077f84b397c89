"""Retries: only of what may run again, in time and within the budget."""

import random
import unittest

from chicorycove.attempt import AttemptState
from chicorycove.board import RequestState
from chicorycove.identity import AgentId, AttemptId
from chicorycove.reason import Reason
from chicorycove.request import Call, Prompt, Request
from chicorycove.retry import GiveUp, Retry, RetryPolicy, RetrySettings
from chicorycove.verdict import Verdict

PROMPT = Prompt("advisor", tokens=100, max_tokens=10)
REGISTRATION = Call("purchasing", "POST", "/steel", idempotent=False)


def state(work=PROMPT, *, attempts=1, relayed=0, target="t1", workspace="w", key=None):
    request = Request("r", workspace, "short", work, 0.0, deadline=30.0, key=key)
    agent = AgentId(target, "life")
    tries = [
        AttemptState(AttemptId("r", number, "n"), agent) for number in range(attempts)
    ]
    return RequestState(request, tries, relayed)


class DecideTest(unittest.TestCase):
    def setUp(self):
        self.policy = RetryPolicy(RetrySettings(), random.Random(1))

    def decide(self, request, reason, verdict=Verdict.MAY_HAVE_RUN, now=1.0):
        return self.policy.decide(request, reason, verdict, now)

    def test_prompt_is_rerun(self):
        decision = self.decide(state(), Reason.LINK_LOST)
        self.assertIsInstance(decision, Retry)
        self.assertLess(decision.at, 2.0)

    def test_registration_is_rerun_only_when_proved_not_run(self):
        refused = self.decide(state(REGISTRATION), Reason.QUEUE_FULL, Verdict.NOT_RUN)
        self.assertIsInstance(refused, Retry)
        lost = self.decide(state(REGISTRATION), Reason.LINK_LOST)
        self.assertEqual(lost, GiveUp(Reason.LINK_LOST, Verdict.MAY_HAVE_RUN))

    def test_doubt_about_one_attempt_stays(self):
        request = state()
        self.decide(request, Reason.LINK_LOST)
        last = self.decide(request, Reason.PROMPT_TOO_LONG, Verdict.NOT_RUN)
        self.assertEqual(last, GiveUp(Reason.PROMPT_TOO_LONG, Verdict.MAY_HAVE_RUN))

    def test_relayed_bytes_are_repeated_only_where_they_are_the_same(self):
        streamed = Prompt("advisor", 100, 10, stream=True)
        again = self.decide(state(streamed, relayed=10), Reason.STREAM_BROKEN)
        self.assertIsInstance(again, Retry)
        sampled = Prompt("advisor", 100, 10, stream=True, repeatable=False)
        cut = self.decide(state(sampled, relayed=10), Reason.STREAM_BROKEN)
        self.assertIsInstance(cut, GiveUp)
        whole = self.decide(state(sampled), Reason.STREAM_BROKEN)
        self.assertIsInstance(whole, Retry)

    def test_bytes_held_back_may_be_fetched_again(self):
        sampled = Prompt("advisor", 100, 10, repeatable=False)
        held = self.decide(state(sampled, relayed=10), Reason.STREAM_BROKEN)
        self.assertIsInstance(held, Retry)

    def test_no_retry_past_the_deadline(self):
        decision = self.decide(state(), Reason.LINK_LOST, now=29.9999)
        self.assertIsInstance(decision, GiveUp)

    def test_no_retry_before_the_target_asks_for_it(self):
        decision = self.policy.decide(
            state(), Reason.QUEUE_FULL, Verdict.NOT_RUN, 1.0, retry_after=3.0
        )
        self.assertGreaterEqual(decision.at, 4.0)

    def test_attempts_are_limited(self):
        decision = self.decide(state(attempts=5), Reason.LINK_LOST)
        self.assertIsInstance(decision, GiveUp)

    def test_sealed_attempt_may_have_run_elsewhere(self):
        request = state(REGISTRATION, key="k")
        self.decide(request, Reason.ATTEMPT_SEALED, Verdict.NOT_RUN)
        self.assertTrue(request.may_have_run)
        plain = state(REGISTRATION)
        self.decide(plain, Reason.ATTEMPT_SEALED, Verdict.NOT_RUN)
        self.assertFalse(plain.may_have_run)


class BudgetTest(unittest.TestCase):
    def brown_out(self, requests, target, workspace, reason=Reason.TARGET_FAILED):
        """Return the attempts made when every one fails."""
        policy = RetryPolicy(RetrySettings(), random.Random(1))
        attempts = 0
        for number in range(requests):
            where = {"target": target(number), "workspace": workspace(number)}
            policy.note_first(where["workspace"], where["target"])
            for tries in range(1, 6):
                attempts += 1
                request = state(attempts=tries, **where)
                decision = policy.decide(request, reason, Verdict.MAY_HAVE_RUN, 0.0)
                if isinstance(decision, GiveUp):
                    break
        return attempts

    def test_one_workspace_adds_a_tenth_at_most(self):
        attempts = self.brown_out(5000, lambda n: f"t{n % 500}", lambda n: "w")
        self.assertLessEqual(attempts, 5000 * 1.1 + 10)

    def test_one_target_is_sent_a_tenth_more_at_most(self):
        attempts = self.brown_out(5000, lambda n: "t", lambda n: f"w{n % 500}")
        self.assertLessEqual(attempts, 5000 * 1.1 + 10)

    def test_attempts_that_are_no_load_use_no_budget(self):
        for reason in (
            Reason.TARGET_LEAVING,
            Reason.STALE_INCARNATION,
            Reason.LINK_DOWN,
            Reason.ATTEMPT_SEALED,
        ):
            with self.subTest(reason):
                attempts = self.brown_out(100, lambda n: "t", lambda n: "w", reason)
                self.assertEqual(attempts, 500)

    def test_attempts_that_met_a_target_use_the_budget(self):
        for reason in (Reason.TARGET_UNREACHABLE, Reason.TARGET_FAILED):
            with self.subTest(reason):
                attempts = self.brown_out(100, lambda n: "t", lambda n: "w", reason)
                self.assertLessEqual(attempts, 100 * 1.1 + 10)
