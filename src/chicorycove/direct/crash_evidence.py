"""Finds the traits of requests that explain why targets crashed."""

import collections
import dataclasses
import math
import typing as t

from ..identity import AgentId
from .event import CrashReport, TraitsAnswered
from .trait import Traits, is_fingerprint


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CrashEvidenceSettings:
    """Evidence against a trait of requests; times are in seconds."""

    min_crashes: int = 3  # under a trait that was not answered lately
    # The same for a trait that was: other requests must be answered meanwhile.
    min_crashes_of_answered: int = 6
    # Shortest time between the first and the last crash under a trait that was
    # answered lately. The targets of a failure domain crash together.
    min_crash_span_of_answered: float = 1.0
    answered_time: float = 60.0  # time for which a trait counts as answered lately
    # Time from the first answer or crash that this process knows of, in which
    # it does not know yet which traits are answered.
    learning_time: float = 2.0
    crash_memory: float = 300.0  # time for which a crash is evidence
    report_time: float = 3.0  # time for which an own crash is repeated to peers
    max_crashes: int = 64
    max_crash_traits: int = 128  # traits that are kept for one crash
    max_answered_parts: int = 1000
    max_answered_requests: int = 1000


@dataclasses.dataclass(slots=True)
class _Crash:
    at: float
    traits: set[str] = dataclasses.field(default_factory=set)
    reported_until: float = -math.inf


class _AnswerTimes:
    """Keeps when traits were last answered, the latest ones if many."""

    def __init__(self, max_count: int) -> None:
        self._max_count = max_count
        self._times: collections.OrderedDict[str, float] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._times)

    def add(self, trait: str, answered_at: float) -> None:
        """Add an answer, unless a later one is known."""
        self._times[trait] = max(self.get(trait), answered_at)
        self._times.move_to_end(trait)
        if len(self._times) > self._max_count:
            self._times.popitem(last=False)

    def get(self, trait: str) -> float:
        """Return the time of the last answer, if it is known."""
        return self._times.get(trait, -math.inf)


class CrashEvidence:
    """Keeps crashes and the traits of the requests that may have caused them.

    A trait is suspected if several targets have crashed under it, and none has
    answered a request with it since.
    """

    def __init__(self, settings: CrashEvidenceSettings) -> None:
        self._settings = settings
        self._crashes: dict[AgentId, _Crash] = {}
        self._answered_parts = _AnswerTimes(settings.max_answered_parts)
        self._answered_requests = _AnswerTimes(settings.max_answered_requests)
        self._own_answers: collections.deque[tuple[float, Traits]] = collections.deque(
            maxlen=16
        )
        self.learned_at = math.inf  # time when the usual traits are known

    def start_learning(self, now: float) -> None:
        """Record the first answer or crash since the start."""
        if self.learned_at == math.inf:
            self.learned_at = now + self._settings.learning_time

    def add_crash(self, report: CrashReport, now: float, own: bool) -> bool:
        """Add a crash, or further traits of one; return whether it is news."""
        settings = self._settings
        oldest = now - settings.crash_memory
        if report.seen_at < oldest:
            return False
        self.start_learning(now)
        crash = self._crashes.get(report.target)
        if crash is None:
            for agent, other in list(self._crashes.items()):
                if other.at < oldest or len(self._crashes) >= settings.max_crashes:
                    del self._crashes[agent]
            crash = self._crashes[report.target] = _Crash(report.seen_at)
        if own:
            crash.reported_until = now + settings.report_time
        room = settings.max_crash_traits - len(crash.traits)
        new_traits = sorted(set(report.traits) - crash.traits)[:room]
        crash.traits.update(new_traits)
        return bool(new_traits)

    def has_crash(self, trait: str) -> bool:
        """Return whether a target has crashed under a trait."""
        return any(trait in crash.traits for crash in self._crashes.values())

    def own_crashes(self, now: float) -> tuple[CrashReport, ...]:
        """Return the reports that peers may not have received."""
        return tuple(
            CrashReport(agent, tuple(sorted(crash.traits)), crash.at)
            for agent, crash in self._crashes.items()
            if now < crash.reported_until
        )

    def add_own_answer(self, traits: Traits, now: float) -> None:
        """Add an answer to a request, of which all traits are known."""
        self.start_learning(now)
        self._own_answers.append((now, traits))
        self.add_answered_traits(traits, now)

    def add_answered_traits(self, traits: Traits, answered_at: float) -> None:
        """Add some traits of a request that a target has answered."""
        for trait in sorted(traits):
            self._answer_times(trait).add(trait, answered_at)

    def answered_at(self, trait: str) -> float:
        """Return when a request with a trait was last answered, if known."""
        return self._answer_times(trait).get(trait)

    def find_answered_lately(self, traits: Traits, now: float) -> list[TraitsAnswered]:
        """Return a report of the traits that were answered lately, if any."""
        oldest = now - self._settings.answered_time
        times = {
            trait: answered_at
            for trait in sorted(traits)
            if (answered_at := self.answered_at(trait)) > oldest
        }
        return [TraitsAnswered(tuple(times), min(times.values()))] if times else []

    def find_harmful_traits(self, now: float) -> list[Traits]:
        """Return sets of traits that explain the crashes, most crashes first.

        Traits of a set have occurred together in these crashes.
        """
        oldest = now - self._settings.crash_memory
        unexplained = [crash for crash in self._crashes.values() if crash.at >= oldest]
        found = []
        while True:
            crashes_by_trait: dict[str, list[int]] = {}
            for number, crash in enumerate(unexplained):
                for trait in crash.traits:
                    if crash.at > self.answered_at(trait):
                        crashes_by_trait.setdefault(trait, []).append(number)
            suspects = [
                trait
                for trait, numbers in crashes_by_trait.items()
                if self._is_suspect(trait, [unexplained[n].at for n in numbers], now)
            ]
            if not suspects:
                return found
            first = max(
                suspects, key=lambda trait: (len(crashes_by_trait[trait]), trait)
            )
            explained = set(crashes_by_trait[first])
            traits = frozenset(
                trait
                for trait, numbers in crashes_by_trait.items()
                if explained.issubset(numbers)
            )
            # No request has two fingerprints: more crashes tell them apart.
            if sum(map(is_fingerprint, traits)) <= 1:
                found.append(traits)
            unexplained = [
                crash
                for number, crash in enumerate(unexplained)
                if number not in explained
            ]

    def is_explained(self, traits: Traits, harmful: t.Collection[Traits]) -> bool:
        """Return whether other traits explain all known crashes under some."""
        crashes = [crash for crash in self._crashes.values() if traits <= crash.traits]
        others = [other for other in harmful if not other & traits]
        return bool(crashes) and all(
            any(other <= crash.traits for other in others) for crash in crashes
        )

    def _answer_times(self, trait: str) -> _AnswerTimes:
        if is_fingerprint(trait):
            return self._answered_requests
        return self._answered_parts

    def _is_suspect(self, trait: str, crash_times: list[float], now: float) -> bool:
        settings = self._settings
        answered_lately = now <= self.answered_at(trait) + settings.answered_time
        if now >= self.learned_at and not answered_lately:
            return len(crash_times) >= settings.min_crashes
        if len(crash_times) < settings.min_crashes_of_answered:
            return False
        span = max(crash_times) - min(crash_times)
        if span < settings.min_crash_span_of_answered:
            return False
        return any(
            answered_at > min(crash_times) and trait not in traits
            for answered_at, traits in self._own_answers
        )
