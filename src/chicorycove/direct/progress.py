"""How long a silent attempt is waited for before its target is in doubt."""

import dataclasses
import enum

from ..identity import AttemptId
from .board import DirectBoard, DirectRequest
from .settings import TimeoutSettings
from .work import WorkTracker


class ProgressStatus(enum.Enum):
    """What the silence of an attempt says."""

    EXPECTED = "expected"
    OVERDUE = "doubtful"  # a sign is overdue: see whether the target lives
    TIMED_OUT = "too long"  # alive or not, it is not worth waiting for


@dataclasses.dataclass(frozen=True, slots=True)
class ProgressCheckDue:
    """An attempt's silence is to be judged."""

    attempt: AttemptId


class ProgressMonitor:
    """Compares silence with what is predicted; times are in seconds.

    A prediction moves with the work that peers place, so that a prompt which
    is only overtaken is not sent a second time.
    """

    def __init__(
        self, board: DirectBoard, settings: TimeoutSettings, work: WorkTracker
    ) -> None:
        self._board = board
        self._settings = settings
        self._work = work

    def start(self, request: DirectRequest, now: float) -> None:
        """Have the newest attempt judged when its next sign is overdue."""
        expected_at = self._expected_at(request, now)
        self._check_at(request, expected_at + self._tolerance(request, expected_at))

    def check(self, request: DirectRequest, now: float) -> ProgressStatus:
        """Judge the newest attempt, and have it judged again if it goes on."""
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
        """Have the newest attempt judged again after a while."""
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
