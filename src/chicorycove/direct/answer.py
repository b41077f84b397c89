"""Handles the answers of targets."""

from ..attempt import STARTED, AttemptStep, advance
from ..identity import AttemptId
from ..lifecycle import FinishAnswer
from ..reason import Reason
from ..verdict import Verdict
from .board import DirectBoard, DirectRequest
from .command import (
    CancelAttempt,
    DeliverAnswer,
    DirectCommand,
    LogChange,
    RelayStream,
    UpdatePeers,
)
from .completion import RequestCompletion
from .event import TargetAnswer
from .failure import FailureHandler
from .quarantine import RequestQuarantine
from .reservation import Reservations
from .retry import DirectRetryPolicy
from .shutdown import ShutdownPolicy
from .target_health import FailureKind, TargetHealth
from .target_limits import TargetLimits
from .target_list import TargetList
from .target_pace import TargetPace
from .work import WorkTracker

STREAM_MEDIA_TYPE = "text/event-stream"
NO_CONTENT = 204


class AnswerHandler:
    """Passes answers on, or retries requests that were not answered well."""

    def __init__(
        self,
        board: DirectBoard,
        retry_policy: DirectRetryPolicy,
        targets: TargetList,
        target_limits: TargetLimits,
        target_health: TargetHealth,
        quarantine: RequestQuarantine,
        reservations: Reservations,
        work: WorkTracker,
        pace: TargetPace,
        completion: RequestCompletion,
        failures: FailureHandler,
        shutdown: ShutdownPolicy,
    ) -> None:
        self._board = board
        self._retry_policy = retry_policy
        self._targets = targets
        self._target_limits = target_limits
        self._target_health = target_health
        self._quarantine = quarantine
        self._reservations = reservations
        self._work = work
        self._pace = pace
        self._completion = completion
        self._failures = failures
        self._shutdown = shutdown

    def handle_head(
        self, attempt_id: AttemptId, answer: TargetAnswer, now: float
    ) -> list[DirectCommand]:
        """Relay a streamed answer, or retry after a refusal."""
        request = self._board.current_request(attempt_id)
        if request is None:
            return [CancelAttempt(attempt_id)]
        agent = request.attempts[-1].agent
        commands = self._target_limits.record_answer(agent, answer, now)
        if answer.not_run or answer.wrong_instance:
            commands += self._handle_refusal(request, answer, now)
        elif request.inbound.route.streamed and answer.succeeded:
            if request.answer_started or answer.status != NO_CONTENT:
                commands += self._begin_answer(request, answer, now)
        # An answer that is not streamed is handled once it is complete.
        return commands + self._reservations.renew_for_backoff(agent, now)

    def handle(
        self, attempt_id: AttemptId, answer: TargetAnswer, now: float
    ) -> list[DirectCommand]:
        """Deliver a complete answer, or retry after a failure or refusal."""
        request = self._board.current_request(attempt_id)
        if request is None:
            return [CancelAttempt(attempt_id)]
        if answer.not_run or answer.wrong_instance:
            return self._handle_refusal(request, answer, now)
        attempt = request.attempts[-1]
        if answer.status >= 500:
            commands = self._failures.record_failure(request, FailureKind.ERROR, now)
            if self._retry_policy.may_retry(request, now):
                advance(attempt, AttemptStep.FAIL)
                request.tried_targets.add(attempt.agent.target)
                return commands + self._failures.retry_or_fail(
                    request, Reason.TARGET_FAILED, Verdict.MAY_HAVE_RUN, now
                )
        else:
            commands = self._target_health.record_success(attempt.agent, now)
            if not request.inbound.route.streamed:
                commands += self._quarantine.record_answer(request, now)
        advance(attempt, AttemptStep.END)
        if request.answer_started:
            return commands + self._completion.abort(request, Reason.TARGET_FAILED)
        if answer.status_implies_not_run and not request.inbound.route.repeatable:
            # The caller would repeat a request that may have run.
            detail = f"status {answer.status}, but the request may have run"
            target = attempt.agent.target
            commands.append(LogChange("answer not delivered", target, detail))
            return commands + self._completion.fail(request, Reason.TARGET_FAILED, None)
        return [
            *commands,
            DeliverAnswer(attempt_id.request, attempt_id),
            *self._completion.remove(request),
        ]

    def record_events(
        self,
        attempt_id: AttemptId,
        event_count: int,
        last_event_id: int | None,
        now: float,
    ) -> list[DirectCommand]:
        """Record the progress of a streamed answer."""
        request = self._board.current_request(attempt_id)
        if request is None:
            return []
        pause = now - request.last_progress_at
        request.last_progress_at = now
        request.empty_end_target = None
        if last_event_id is not None:
            request.last_event_id = last_event_id
        commands = self._quarantine.record_progress(request, pause, now)
        commands += self._pace.record_events(request, event_count, now)
        work_items = self._work.record_events(request, event_count, now)
        return commands + ([UpdatePeers(work_items)] if work_items else [])

    def complete(self, attempt_id: AttemptId, now: float) -> list[DirectCommand]:
        """Finish a request whose streamed answer is complete."""
        request = self._board.current_request(attempt_id)
        if request is None:
            return []
        commands = self._quarantine.record_answer(request, now)
        return commands + self._finish_request(request, now)

    def close_stream(
        self, attempt_id: AttemptId, has_events: bool, now: float
    ) -> list[DirectCommand]:
        """Finish a request, and probe a target that may have crashed.

        The end of a resumed stream without further events looks the same if
        its target has crashed: another attempt has to end likewise.
        """
        request = self._board.current_request(attempt_id)
        if request is None:
            return []
        target = request.attempts[-1].agent.target
        if not has_events and request.empty_end_target is None:
            request.empty_end_target = target
            return self._failures.confirm_empty_end(request, now)
        commands = []
        if self._quarantine.is_answer_new(request):
            self._quarantine.record_break(request, now)
            commands = self._target_health.probe(target)
        return commands + self._finish_request(request, now)

    def _begin_answer(
        self, request: DirectRequest, answer: TargetAnswer, now: float
    ) -> list[DirectCommand]:
        """Relay a stream, unless it cannot end, or is not what was begun."""
        attempt = request.attempts[-1]
        target = attempt.agent.target
        if not self._shutdown.may_begin(request, now):
            # A failure at once serves the caller better than a stream that is
            # cut.
            commands = [LogChange("answer not begun", target, "stopping")]
            return commands + self._completion.fail(request, Reason.STOPPING, None)
        if not request.answer_started:
            request.answer_media_type = answer.media_type
        elif answer.media_type not in (STREAM_MEDIA_TYPE, request.answer_media_type):
            # A page about an error may have a status that means success.
            detail = f"{answer.media_type!r}, not {request.answer_media_type!r}"
            commands = [LogChange("stream not continued", target, detail)]
            return commands + self._failures.fail_attempt(
                attempt.id, Reason.TARGET_FAILED, Verdict.MAY_HAVE_RUN, now
            )
        request.answer_started = True
        self._quarantine.begin_answer(request, now)
        return [RelayStream(attempt.id.request, attempt.id)]

    def _handle_refusal(
        self, request: DirectRequest, answer: TargetAnswer, now: float
    ) -> list[DirectCommand]:
        """Retry after a target has reported that it did not run an attempt.

        A target that has begun to answer an attempt has run it.
        """
        attempt = request.attempts[-1]
        target = attempt.agent.target
        if request.newest_answer_began:
            return [
                CancelAttempt(attempt.id),
                LogChange("refusal ignored", target, _describe_refusal(answer)),
                *self._failures.fail_attempt(
                    attempt.id, Reason.TARGET_FAILED, Verdict.MAY_HAVE_RUN, now
                ),
            ]
        if attempt.state == STARTED:
            request.run_count -= 1
            request.refused_count += 1
        advance(attempt, AttemptStep.REFUSE)
        if answer.wrong_instance:
            commands = self._targets.remove_replaced(target)
        else:
            commands = []
        if answer.faulty_address is not None:
            self._target_health.suspect_address(answer.faulty_address, now)
        request.tried_targets.add(target)
        commands.append(CancelAttempt(attempt.id))
        commands.append(LogChange("attempt refused", target, _describe_refusal(answer)))
        return commands + self._failures.retry_or_fail(
            request, Reason.QUEUE_FULL, Verdict.NOT_RUN, now
        )

    def _finish_request(
        self, request: DirectRequest, now: float
    ) -> list[DirectCommand]:
        attempt = request.attempts[-1]
        advance(attempt, AttemptStep.END)
        return [
            *self._target_health.record_success(attempt.agent, now),
            FinishAnswer(attempt.id.request),
            *self._completion.remove(request),
        ]


def _describe_refusal(answer: TargetAnswer) -> str:
    detail = f"status {answer.status}"
    if answer.retry_after is not None:
        detail += f", retry after {answer.retry_after:g} s"
    return f"{detail}, leaving" if answer.leaving else detail
