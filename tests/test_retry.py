"""Requests are retried only if allowed, in time and within the budget."""

import random
import unittest

from chicorycove.attempt import AttemptState
from chicorycove.board import RequestState
from chicorycove.identity import AgentId, AttemptId
from chicorycove.reason import Reason
from chicorycove.request import Call, Prompt, Request
from chicorycove.retry import NoRetry, Retry, RetryPolicy, RetrySettings
from chicorycove.verdict import Verdict

PROMPT = Prompt("advisor", tokens=100, max_tokens=10)
REGISTRATION = Call("purchasing", "POST", "/steel", idempotent=False)


def make_state(
    work=PROMPT, *, attempts=1, relayed_bytes=0, target="t1", workspace="w", key=None
):
    request = Request("r", workspace, "short", work, 0.0, deadline=30.0, key=key)
    agent = AgentId(target, "incarnation")
    records = [
        AttemptState(AttemptId("r", number, "n"), agent) for number in range(attempts)
    ]
    return RequestState(request, records, relayed_bytes)


class DecideTest(unittest.TestCase):
    def setUp(self):
        self.policy = RetryPolicy(RetrySettings(), random.Random(1))

    def decide(self, request, reason, verdict=Verdict.MAY_HAVE_RUN, now=1.0):
        return self.policy.decide(request, reason, verdict, now)

    def test_prompt_is_rerun(self):
        decision = self.decide(make_state(), Reason.LINK_LOST)
        self.assertIsInstance(decision, Retry)
        self.assertLess(decision.at, 2.0)

    def test_registration_is_rerun_only_when_proved_not_run(self):
        refused = self.decide(
            make_state(REGISTRATION), Reason.QUEUE_FULL, Verdict.NOT_RUN
        )
        self.assertIsInstance(refused, Retry)
        lost = self.decide(make_state(REGISTRATION), Reason.LINK_LOST)
        self.assertEqual(lost, NoRetry(Reason.LINK_LOST, Verdict.MAY_HAVE_RUN))

    def test_uncertain_verdict_of_one_attempt_is_kept(self):
        request = make_state()
        self.decide(request, Reason.LINK_LOST)
        last = self.decide(request, Reason.PROMPT_TOO_LONG, Verdict.NOT_RUN)
        self.assertEqual(last, NoRetry(Reason.PROMPT_TOO_LONG, Verdict.MAY_HAVE_RUN))

    def test_only_a_repeatable_answer_is_rerun_after_bytes_were_relayed(self):
        streamed = Prompt("advisor", 100, 10, stream=True)
        rerun = self.decide(
            make_state(streamed, relayed_bytes=10), Reason.STREAM_BROKEN
        )
        self.assertIsInstance(rerun, Retry)
        sampled = Prompt("advisor", 100, 10, stream=True, repeatable=False)
        interrupted = self.decide(
            make_state(sampled, relayed_bytes=10), Reason.STREAM_BROKEN
        )
        self.assertIsInstance(interrupted, NoRetry)
        unsent = self.decide(make_state(sampled), Reason.STREAM_BROKEN)
        self.assertIsInstance(unsent, Retry)

    def test_answer_that_is_not_streamed_is_rerun(self):
        sampled = Prompt("advisor", 100, 10, repeatable=False)
        rerun = self.decide(make_state(sampled, relayed_bytes=10), Reason.STREAM_BROKEN)
        self.assertIsInstance(rerun, Retry)

    def test_no_retry_past_the_deadline(self):
        decision = self.decide(make_state(), Reason.LINK_LOST, now=29.9999)
        self.assertIsInstance(decision, NoRetry)

    def test_no_retry_before_the_time_that_the_target_requests(self):
        decision = self.policy.decide(
            make_state(), Reason.QUEUE_FULL, Verdict.NOT_RUN, 1.0, retry_after=3.0
        )
        self.assertGreaterEqual(decision.at, 4.0)

    def test_attempts_are_limited(self):
        decision = self.decide(make_state(attempts=5), Reason.LINK_LOST)
        self.assertIsInstance(decision, NoRetry)

    def test_sealed_attempt_may_have_run_elsewhere(self):
        request = make_state(REGISTRATION, key="k")
        self.decide(request, Reason.ATTEMPT_SEALED, Verdict.NOT_RUN)
        self.assertTrue(request.may_have_run)
        plain = make_state(REGISTRATION)
        self.decide(plain, Reason.ATTEMPT_SEALED, Verdict.NOT_RUN)
        self.assertFalse(plain.may_have_run)


class BudgetTest(unittest.TestCase):
    def fail_every_attempt(
        self, requests, target, workspace, reason=Reason.TARGET_FAILED
    ):
        """Return the number of attempts made if every one fails."""
        policy = RetryPolicy(RetrySettings(), random.Random(1))
        attempts = 0
        for number in range(requests):
            owners = {"target": target(number), "workspace": workspace(number)}
            policy.count_request(owners["workspace"], owners["target"])
            for count in range(1, 6):
                attempts += 1
                request = make_state(attempts=count, **owners)
                decision = policy.decide(request, reason, Verdict.MAY_HAVE_RUN, 0.0)
                if isinstance(decision, NoRetry):
                    break
        return attempts

    def test_retries_of_one_workspace_add_a_tenth_at_most(self):
        attempts = self.fail_every_attempt(5000, lambda n: f"t{n % 500}", lambda n: "w")
        self.assertLessEqual(attempts, 5000 * 1.1 + 10)

    def test_retries_of_one_target_add_a_tenth_at_most(self):
        attempts = self.fail_every_attempt(5000, lambda n: "t", lambda n: f"w{n % 500}")
        self.assertLessEqual(attempts, 5000 * 1.1 + 10)

    def test_attempts_that_put_no_load_on_a_target_use_no_budget(self):
        for reason in (
            Reason.TARGET_LEAVING,
            Reason.STALE_INCARNATION,
            Reason.LINK_DOWN,
            Reason.ATTEMPT_SEALED,
        ):
            with self.subTest(reason):
                attempts = self.fail_every_attempt(
                    100, lambda n: "t", lambda n: "w", reason
                )
                self.assertEqual(attempts, 500)

    def test_attempts_that_reached_a_target_use_the_budget(self):
        for reason in (Reason.TARGET_UNREACHABLE, Reason.TARGET_FAILED):
            with self.subTest(reason):
                attempts = self.fail_every_attempt(
                    100, lambda n: "t", lambda n: "w", reason
                )
                self.assertLessEqual(attempts, 100 * 1.1 + 10)
