"""Handles failed attempts."""

from ..attempt import STARTED, AttemptStep, advance, is_live
from ..identity import AttemptId
from ..reason import Reason
from ..verdict import Verdict
from .board import DirectBoard, DirectRequest
from .command import CancelAttempt, DirectCommand, LogChange
from .completion import RequestCompletion
from .event import TargetProbed
from .quarantine import RequestQuarantine
from .retry import DirectRetryPolicy
from .sending import AttemptSender
from .settings import DirectSettings
from .target_health import FailureKind, TargetHealth


class FailureHandler:
    """Retries or fails requests after failed attempts."""

    def __init__(
        self,
        board: DirectBoard,
        settings: DirectSettings,
        retry_policy: DirectRetryPolicy,
        quarantine: RequestQuarantine,
        target_health: TargetHealth,
        completion: RequestCompletion,
        sender: AttemptSender,
    ) -> None:
        self._board = board
        self._settings = settings
        self._retry_policy = retry_policy
        self._quarantine = quarantine
        self._target_health = target_health
        self._completion = completion
        self._sender = sender

    def fail_attempt(
        self, attempt_id: AttemptId, reason: Reason, verdict: Verdict, now: float
    ) -> list[DirectCommand]:
        """Retry or fail a request whose connection to its target failed.

        An attempt that has begun may have run, whatever is reported of it.
        """
        request = self._board.current_request(attempt_id)
        if request is None:
            return []
        attempt = request.attempts[-1]
        target = attempt.agent.target
        if attempt.state == STARTED:
            verdict = Verdict.MAY_HAVE_RUN
        elif verdict is not Verdict.NOT_RUN:
            self._sender.count_sent(request)
        request.tried_targets.add(target)
        commands: list[DirectCommand] = []
        if verdict is Verdict.NOT_RUN:
            advance(attempt, AttemptStep.REFUSE)
            request.unreachable_targets.add(target)
            commands += self._target_health.suspect(target, now)
        else:
            advance(attempt, AttemptStep.FAIL)
            commands += self.record_failure(request, FailureKind.BROKEN, now)
            self._quarantine.record_break(request, now)
            commands += self._target_health.probe(target)
        return commands + self.retry_or_fail(request, reason, verdict, now)

    def confirm_empty_end(
        self, request: DirectRequest, now: float
    ) -> list[DirectCommand]:
        """Send a request again whose stream may have ended.

        Only a probe tells whether its target has failed.
        """
        attempt = request.attempts[-1]
        target = attempt.agent.target
        advance(attempt, AttemptStep.FAIL)
        request.tried_targets.add(target)
        self._quarantine.record_break(request, now)
        detail = f"no length, and no event after {request.last_event_id}"
        return [
            LogChange("stream end not confirmed", target, detail),
            *self._target_health.probe(target),
            *self.retry_or_fail(
                request, Reason.STREAM_BROKEN, Verdict.MAY_HAVE_RUN, now
            ),
        ]

    def handle_probe_result(
        self, event: TargetProbed, now: float
    ) -> list[DirectCommand]:
        """Retry repeatable requests of a target that cannot be reached."""
        target = event.target
        commands = self._quarantine.record_probe(target, event.reachable, now)
        if event.reachable:
            return commands
        commands += self._target_health.suspect(target, now)
        for request in list(self._board.requests.values()):
            if request.empty_end_target == target:
                request.empty_end_target = None
            attempt = request.attempts[-1] if request.attempts else None
            if attempt is None or not is_live(attempt):
                continue
            if attempt.agent.target == target and request.inbound.route.repeatable:
                commands += self._fail_lost_attempt(request, event.refused, now)
        return commands

    def retry_or_fail(
        self, request: DirectRequest, reason: Reason, verdict: Verdict, now: float
    ) -> list[DirectCommand]:
        """Place a request again after a failed attempt, or fail it."""
        commands = self._completion.release_work(request)
        if verdict is not Verdict.NOT_RUN and not self._retry_policy.may_retry(
            request, now
        ):
            return commands + self._completion.fail(request, reason, None)
        if not self._retry_policy.consume(request, now):
            retry_after = self._settings.retry_after_budget
            return commands + self._completion.fail(
                request, Reason.RETRY_BUDGET, retry_after
            )
        return commands + self._sender.place(request, now)

    def record_failure(
        self, request: DirectRequest, kind: FailureKind, now: float
    ) -> list[DirectCommand]:
        """Record a failure of the newest attempt's target."""
        agent = request.attempts[-1].agent
        return self._target_health.record_failure(agent, kind, now)

    def _fail_lost_attempt(
        self, request: DirectRequest, target_ended: bool, now: float
    ) -> list[DirectCommand]:
        """Retry after the target of a live attempt could not be reached."""
        attempt = request.attempts[-1]
        began = attempt.state == STARTED
        if began and target_ended:
            request.run_count -= 1  # the target runs nothing any more
        elif began and not self._retry_policy.may_retry(request, now):
            return []  # the target may be alive, and answer later
        advance(attempt, AttemptStep.FAIL if began else AttemptStep.REFUSE)
        request.tried_targets.add(attempt.agent.target)
        verdict = Verdict.MAY_HAVE_RUN if began else Verdict.NOT_RUN
        return [
            CancelAttempt(attempt.id),
            *self.retry_or_fail(request, Reason.LINK_LOST, verdict, now),
        ]
