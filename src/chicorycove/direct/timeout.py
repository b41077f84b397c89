"""Handles attempts that are later than predicted."""

from ..attempt import AttemptStep, advance, is_live
from ..identity import AttemptId
from ..reason import Reason
from ..verdict import Verdict
from .board import DirectBoard, DirectRequest
from .command import CancelAttempt, DirectCommand
from .failure import FailureHandler
from .progress import ProgressMonitor, ProgressStatus
from .retry import DirectRetryPolicy
from .selection import TargetSelector
from .shutdown import ShutdownPolicy
from .target_health import FailureKind, TargetHealth


class TimeoutHandler:
    """Probes the targets of late attempts, and retries timed-out ones."""

    def __init__(
        self,
        board: DirectBoard,
        retry_policy: DirectRetryPolicy,
        selector: TargetSelector,
        shutdown: ShutdownPolicy,
        target_health: TargetHealth,
        progress: ProgressMonitor,
        failures: FailureHandler,
    ) -> None:
        self._board = board
        self._retry_policy = retry_policy
        self._selector = selector
        self._shutdown = shutdown
        self._target_health = target_health
        self._progress = progress
        self._failures = failures

    def check_progress(self, attempt_id: AttemptId, now: float) -> list[DirectCommand]:
        """Probe the target of an overdue attempt, or retry a timed-out one."""
        request = self._board.current_request(attempt_id)
        if request is None or not is_live(request.attempts[-1]):
            return []
        match self._progress.check(request, now):
            case ProgressStatus.EXPECTED:
                return []
            case ProgressStatus.OVERDUE:
                return self._target_health.probe(request.attempts[-1].agent.target)
            case ProgressStatus.TIMED_OUT:
                return self._handle_timeout(request, now)

    def _handle_timeout(
        self, request: DirectRequest, now: float
    ) -> list[DirectCommand]:
        """Retry an attempt that has timed out, if it may be repeated."""
        if self._retry_policy.may_retry(request, now) and self._can_place(request, now):
            return self._abandon_attempt(request, now)
        if not request.inbound.route.streamed:
            return []
        self._progress.check_later(request, now)
        return self._target_health.probe(request.attempts[-1].agent.target)

    def _can_place(self, request: DirectRequest, now: float) -> bool:
        """Return whether a late attempt's request can be sent again in time.

        An attempt that is alive must not be abandoned for nothing.
        """
        target = request.attempts[-1].agent.target
        was_tried = target in request.tried_targets
        request.tried_targets.add(target)
        placement = self._selector.choose(request, now)
        if not was_tried:
            request.tried_targets.discard(target)
        return (
            placement is not None
            and placement.target not in request.unreachable_targets
            and now + placement.time_to_first_event <= request.inbound.request.deadline
            and self._shutdown.may_send(request, placement, now)
        )

    def _abandon_attempt(
        self, request: DirectRequest, now: float
    ) -> list[DirectCommand]:
        attempt = request.attempts[-1]
        advance(attempt, AttemptStep.FAIL)
        commands = self._failures.record_failure(request, FailureKind.LATE, now)
        request.tried_targets.add(attempt.agent.target)
        retry = self._failures.retry_or_fail(
            request, Reason.TARGET_FAILED, Verdict.MAY_HAVE_RUN, now
        )
        return [CancelAttempt(attempt.id), *commands, *retry]
