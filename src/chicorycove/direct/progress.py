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

    def start(self, state: DirectRequest, now: float) -> None:
        """Have the newest attempt judged when its next sign is overdue."""
        expected_at = self._expected_at(state, now)
        self._check_at(state, expected_at + self._tolerance(state, expected_at))

    def check(self, state: DirectRequest, now: float) -> ProgressStatus:
        """Judge the newest attempt, and have it judged again if it goes on."""
        if state.caller_blocked:
            self.check_later(state, now)
            return ProgressStatus.EXPECTED
        expected_at = self._expected_at(state, now)
        tolerance = self._tolerance(state, expected_at)
        if now < expected_at + tolerance:
            self._check_at(state, expected_at + tolerance)
            return ProgressStatus.EXPECTED
        given_up_at = expected_at + tolerance * self._settings.timeout_factor
        if now < given_up_at:
            self._check_at(state, given_up_at)
            return ProgressStatus.OVERDUE
        return ProgressStatus.TIMED_OUT

    def check_later(self, state: DirectRequest, now: float) -> None:
        """Have the newest attempt judged again after a while."""
        self._check_at(state, now + self._settings.overdue_margin)

    def _check_at(self, state: DirectRequest, due: float) -> None:
        self._board.timers.add(due, ProgressCheckDue(state.attempts[-1].id))

    def _expected_at(self, state: DirectRequest, now: float) -> float:
        route = state.inbound.route
        if not route.streamed:
            return (
                state.last_progress_at
                + route.objective * self._settings.call_timeout_share
            )
        if not state.work_items or not state.work_items[0].writing:
            until = (work.expected_read_end for work in state.work_items)
            return max(until, default=state.last_progress_at)
        return state.last_progress_at + self._work.next_pass_time(state, now)

    def _tolerance(self, state: DirectRequest, expected_at: float) -> float:
        if not state.inbound.route.streamed:
            return 0.0
        predicted = max(expected_at - state.last_progress_at, 0.0)
        return (
            self._settings.overdue_margin
            + self._settings.overdue_margin_share * predicted
        )
