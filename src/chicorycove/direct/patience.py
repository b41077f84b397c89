"""How long a silent attempt is waited for before its target is in doubt."""

import dataclasses

from .board import DirectState
from .settings import PatienceSettings
from .work import WorkBook

frozen = dataclasses.dataclass(frozen=True, slots=True)


@frozen
class Wait:
    """Nothing is amiss; look again at a time."""

    until: float


@frozen
class Doubt:
    """A sign is overdue: see whether the target lives, and look again."""

    until: float


@frozen
class Overdue:
    """The target lives or not, but the attempt is not worth waiting for."""


Judgement = Wait | Doubt | Overdue


class Patience:
    """Compares silence with what is predicted; times are in seconds.

    A prediction moves with the work that peers place, so that a prompt which
    is only overtaken is not sent a second time.
    """

    def __init__(self, settings: PatienceSettings, work: WorkBook) -> None:
        self._settings = settings
        self._work = work

    def overdue_at(self, state: DirectState, now: float) -> float:
        """Return when the newest attempt's next sign is overdue."""
        expected_at = self._expected_at(state, now)
        return expected_at + self._tolerance(state, expected_at)

    def judge(self, state: DirectState, now: float) -> Judgement:
        """Judge the silence of the newest attempt."""
        if state.caller_slow:
            return Wait(now + self._settings.overdue)
        expected_at = self._expected_at(state, now)
        tolerance = self._tolerance(state, expected_at)
        if now < expected_at + tolerance:
            return Wait(expected_at + tolerance)
        given_up_at = expected_at + tolerance * self._settings.overdue_tries
        if now < given_up_at:
            return Doubt(given_up_at)
        return Overdue()

    def _expected_at(self, state: DirectState, now: float) -> float:
        route = state.inbound.route
        if not route.streamed:
            return state.last_progress + route.objective * self._settings.call_share
        if not state.works or not state.works[0].writing:
            until = (work.read_until for work in state.works)
            return max(until, default=state.last_progress)
        return state.last_progress + self._work.pass_time(state, now)

    def _tolerance(self, state: DirectState, expected_at: float) -> float:
        if not state.inbound.route.streamed:
            return 0.0
        predicted = max(expected_at - state.last_progress, 0.0)
        return self._settings.overdue + self._settings.overdue_share * predicted
