"""Finds the parts of prompts that explain why targets crashed."""

import collections
import dataclasses
import math
import typing as t

from ..identity import AgentId
from .event import CrashReport

Parts = frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CrashEvidenceSettings:
    """Evidence against a part of prompts; times are in seconds."""

    min_crashes: int = 3  # under a part that was not answered lately
    # The same for a part that was: other prompts must be answered meanwhile.
    min_crashes_of_answered: int = 6
    answered_time: float = 60.0  # time for which a part counts as answered lately
    # Time from the first answer of this process in which it does not know yet
    # which parts are answered.
    learning_time: float = 2.0
    crash_memory: float = 300.0  # time for which a crash is evidence
    report_time: float = 3.0  # time for which an own crash is repeated to peers
    max_crashes: int = 64
    max_crash_parts: int = 128  # parts that are kept for one crash
    max_answered_parts: int = 1000


@dataclasses.dataclass(slots=True)
class _Crash:
    at: float
    parts: set[str] = dataclasses.field(default_factory=set)
    reported_until: float = -math.inf


class CrashEvidence:
    """Keeps crashes and the parts of the prompts that had just begun there.

    A part is suspected if several targets have crashed under it, and none has
    answered a prompt with it since.
    """

    def __init__(self, settings: CrashEvidenceSettings) -> None:
        self._settings = settings
        self._crashes: dict[AgentId, _Crash] = {}
        self._answered_at: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._own_answers: collections.deque[tuple[float, Parts]] = collections.deque(
            maxlen=16
        )
        self.learned_at = math.inf  # time when the usual parts are known

    @property
    def parts(self) -> Parts:
        """Return all parts under which a target has crashed."""
        return frozenset().union(*(crash.parts for crash in self._crashes.values()))

    def start_learning(self, now: float) -> None:
        """Record the first answer that has begun since the start."""
        if self.learned_at == math.inf:
            self.learned_at = now + self._settings.learning_time

    def add_crash(self, report: CrashReport, now: float, own: bool) -> bool:
        """Add a crash, or further parts of one; return whether it is news."""
        settings = self._settings
        oldest = now - settings.crash_memory
        if report.seen_at < oldest:
            return False
        crash = self._crashes.get(report.target)
        if crash is None:
            for agent, other in list(self._crashes.items()):
                if other.at < oldest or len(self._crashes) >= settings.max_crashes:
                    del self._crashes[agent]
            crash = self._crashes[report.target] = _Crash(report.seen_at)
        if own:
            crash.reported_until = now + settings.report_time
        room = settings.max_crash_parts - len(crash.parts)
        new_parts = sorted(set(report.parts) - crash.parts)[:room]
        crash.parts.update(new_parts)
        return bool(new_parts)

    def own_crashes(self, now: float) -> tuple[CrashReport, ...]:
        """Return the reports that peers may not have received."""
        return tuple(
            CrashReport(agent, tuple(sorted(crash.parts)), crash.at)
            for agent, crash in self._crashes.items()
            if now < crash.reported_until
        )

    def add_own_answer(self, parts: Parts, now: float) -> None:
        """Add an answer to a prompt, of which all parts are known."""
        self._own_answers.append((now, parts))
        self.add_answered_parts(parts, now)

    def add_answered_parts(self, parts: Parts, answered_at: float) -> None:
        """Add some parts of a prompt that a target has answered."""
        for part in sorted(parts):
            latest = max(self.answered_at(part), answered_at)
            self._answered_at[part] = latest
            self._answered_at.move_to_end(part)
        while len(self._answered_at) > self._settings.max_answered_parts:
            self._answered_at.popitem(last=False)

    def answered_at(self, part: str) -> float:
        """Return when a prompt with a part was last answered, if known."""
        return self._answered_at.get(part, -math.inf)

    def find_harmful_parts(self, now: float) -> list[Parts]:
        """Return sets of parts that explain the crashes, most crashes first.

        Parts of a set have occurred together in these crashes.
        """
        oldest = now - self._settings.crash_memory
        unexplained = [crash for crash in self._crashes.values() if crash.at >= oldest]
        found = []
        while True:
            crashes_by_part: dict[str, list[int]] = {}
            for number, crash in enumerate(unexplained):
                for part in crash.parts:
                    if crash.at > self.answered_at(part):
                        crashes_by_part.setdefault(part, []).append(number)
            suspects = [
                part
                for part, numbers in crashes_by_part.items()
                if self._is_suspect(part, [unexplained[n].at for n in numbers], now)
            ]
            if not suspects:
                return found
            first = max(suspects, key=lambda part: (len(crashes_by_part[part]), part))
            explained = set(crashes_by_part[first])
            found.append(
                frozenset(
                    part
                    for part, numbers in crashes_by_part.items()
                    if explained.issubset(numbers)
                )
            )
            unexplained = [
                crash
                for number, crash in enumerate(unexplained)
                if number not in explained
            ]

    def is_explained(self, parts: Parts, harmful: t.Collection[Parts]) -> bool:
        """Return whether other parts explain all known crashes under some."""
        crashes = [crash for crash in self._crashes.values() if parts <= crash.parts]
        others = [other for other in harmful if not other & parts]
        return bool(crashes) and all(
            any(other <= crash.parts for other in others) for crash in crashes
        )

    def _is_suspect(self, part: str, crash_times: list[float], now: float) -> bool:
        settings = self._settings
        answered_lately = now <= self.answered_at(part) + settings.answered_time
        if now >= self.learned_at and not answered_lately:
            return len(crash_times) >= settings.min_crashes
        if len(crash_times) < settings.min_crashes_of_answered:
            return False
        return any(
            answered_at > min(crash_times) and part not in parts
            for answered_at, parts in self._own_answers
        )
