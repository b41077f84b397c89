"""Detects attempts whose progress is later than predicted."""

import dataclasses
import enum

from ..identity import AttemptId
from .board import DirectBoard, DirectRequest
from .settings import TimeoutSettings
from .work import WorkTracker


class ProgressStatus(enum.Enum):
    """The result of a progress check."""

    EXPECTED = "expected"
    OVERDUE = "doubtful"  # check whether the target is alive
    TIMED_OUT = "too long"  # not worth waiting for, even if it is alive


@dataclasses.dataclass(frozen=True, slots=True)
class ProgressCheckDue:
    """The timer for an attempt's progress check."""

    attempt: AttemptId


class ProgressMonitor:
    """Compares progress with its prediction; times are in seconds.

    Predictions account for the work that peers place, so that a prompt that is
    only preempted is not sent a second time.
    """

    def __init__(
        self, board: DirectBoard, settings: TimeoutSettings, work: WorkTracker
    ) -> None:
        self._board = board
        self._settings = settings
        self._work = work

    def start(self, request: DirectRequest, now: float) -> None:
        """Schedule a check for when the newest attempt is overdue."""
        expected_at = self._expected_at(request, now)
        self._check_at(request, expected_at + self._tolerance(request, expected_at))

    def check(self, request: DirectRequest, now: float) -> ProgressStatus:
        """Check the newest attempt, and again later unless it timed out."""
        if request.caller_blocked:
            self.check_later(request, now)
            return ProgressStatus.EXPECTED
        expected_at = self._expected_at(request, now)
        tolerance = self._tolerance(request, expected_at)
        if now < expected_at + tolerance:
            self._check_at(request, expected_at + tolerance)
            return ProgressStatus.EXPECTED
        timeout_at = expected_at + tolerance * self._settings.timeout_factor
        if now < timeout_at:
            self._check_at(request, timeout_at)
            return ProgressStatus.OVERDUE
        return ProgressStatus.TIMED_OUT

    def check_later(self, request: DirectRequest, now: float) -> None:
        """Schedule another check of the newest attempt."""
        self._check_at(request, now + self._settings.overdue_margin)

    def _check_at(self, request: DirectRequest, due: float) -> None:
        self._board.timers.add(due, ProgressCheckDue(request.attempts[-1].id))

    def _expected_at(self, request: DirectRequest, now: float) -> float:
        route = request.inbound.route
        if not route.streamed:
            return (
                request.last_progress_at
                + route.objective * self._settings.call_timeout_share
            )
        if not request.work_items or not request.work_items[0].decoding:
            prefill_ends = (item.expected_prefill_end for item in request.work_items)
            return max(prefill_ends, default=request.last_progress_at)
        return request.last_progress_at + self._work.next_pass_time(request, now)

    def _tolerance(self, request: DirectRequest, expected_at: float) -> float:
        if not request.inbound.route.streamed:
            return 0.0
        predicted = max(expected_at - request.last_progress_at, 0.0)
        return (
            self._settings.overdue_margin
            + self._settings.overdue_margin_share * predicted
        )
