"""Outlier detection: ejects failing targets, down to a floor per service."""

import dataclasses
import math
import typing as t


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HealthSettings:
    """Thresholds and durations of ejections; times are in seconds."""

    failures: int = 5  # consecutive failures that eject a target
    ejection_base: float = 5.0  # doubled at each consecutive ejection
    ejection_cap: float = 120.0
    floor: float = 0.5  # share of a service's targets that are never ejected


class Ejectable(t.Protocol):
    """A target that may be ejected; times are in seconds."""

    ejected_until: float

    @property
    def available(self) -> bool:
        """Return whether the target could get new work if not ejected."""


class Board(t.Protocol):
    """A board that holds targets by name."""

    targets: t.Mapping[str, Ejectable]


@dataclasses.dataclass(slots=True)
class _Record:
    failures: int = 0
    ejections: int = 0


class OutlierDetector:
    """Ejects targets on the board after consecutive failures.

    Only failures of targets must be reported. A refusal because a target is
    full or a caller that disconnects says nothing about a target's health.
    """

    def __init__(self, board: Board, settings: HealthSettings) -> None:
        self._board = board
        self._settings = settings
        self._records: dict[str, _Record] = {}

    def note_success(self, target: str) -> None:
        """Reset the failures and ejections of a target that has answered."""
        self._records.pop(target, None)

    def note_failure(self, target: str, pool: t.Collection[str], now: float) -> bool:
        """Count a failure or timeout; return whether it ejects the target.

        The pool holds the names of all targets of the service, this one
        included.
        """
        state = self._board.targets.get(target)
        if state is None or state.ejected_until > now:
            return False
        record = self._records.setdefault(target, _Record())
        record.failures += 1
        if record.failures < self._settings.failures:
            return False
        return self.eject(target, pool, now)

    def eject(self, target: str, pool: t.Collection[str], now: float) -> bool:
        """Eject a target if the floor allows it; return whether it does."""
        state = self._board.targets.get(target)
        if state is None or state.ejected_until > now:
            return False
        if not self._may_eject(pool, now):
            return False
        self._eject(state, self._records.setdefault(target, _Record()), now)
        return True

    def is_on_trial(self, target: str) -> bool:
        """Return whether a target was ejected and has not answered since."""
        record = self._records.get(target)
        return record is not None and record.ejections > 0

    def forget(self, target: str) -> None:
        """Remove the record of a target that no longer exists."""
        self._records.pop(target, None)

    def _may_eject(self, pool: t.Collection[str], now: float) -> bool:
        min_usable = math.ceil(len(pool) * self._settings.floor)
        usable = sum(1 for name in pool if self._is_usable(name, now))
        return usable - 1 >= max(min_usable, 1)

    def _is_usable(self, target: str, now: float) -> bool:
        state = self._board.targets.get(target)
        if state is None or not state.available:
            return False
        return state.ejected_until <= now

    def _eject(self, state: Ejectable, record: _Record, now: float) -> None:
        duration = self._settings.ejection_base * 2**record.ejections
        state.ejected_until = now + min(duration, self._settings.ejection_cap)
        record.ejections = min(record.ejections + 1, 16)  # bounds the exponent
        # The next failure ejects the target again; a success resets it.
        record.failures = self._settings.failures - 1
