"""Refuses prompts with parts on which targets crash.

The load it answers: prompts of many callers that share a part, each of which
crashes the target that begins to answer it, beside prompts that share their
other parts.
"""

import collections
import dataclasses
import math
import typing as t

from ..attempt import is_live
from ..identity import AgentId
from ..request import Prompt
from .board import DirectBoard, DirectRequest
from .command import DirectCommand, LogChange, UpdatePeers
from .event import CrashReport, PartsAnswered, QuarantineReport

frozen = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
Parts = frozenset[str]


@frozen
class QuarantineSettings:
    """Evidence on which prompts are refused; times are in seconds."""

    # Time for which a target answers a prompt, after which the prompt is not
    # taken for the cause of a crash.
    survival_time: float = 1.0
    max_pause: float = 0.5  # part of a pause that counts towards it
    min_crashes: int = 3  # under a part that was not answered lately
    # The same for a part that was: other prompts must be answered meanwhile.
    min_crashes_of_answered: int = 6
    answered_time: float = 60.0  # time for which a part counts as answered lately
    # Time from the first answer of this process in which it does not know yet
    # which parts are answered.
    learning_time: float = 2.0
    # Time from a report of a crash to its review: other entries report it too.
    settle_time: float = 0.05
    crash_memory: float = 300.0  # time for which a crash is evidence
    max_crashes: int = 64
    max_parts: int = 1000  # parts whose last answers are remembered
    max_crash_parts: int = 128  # parts that are kept for one crash
    max_quarantines: int = 32
    first_trial_delay: float = 20.0  # from the start of a quarantine to a trial
    trial_delay_factor: float = 2.0  # from one trial to the next
    max_trials: int = 2  # after which only idle time ends a quarantine
    trial_stagger: float = 5.0  # between the entries that may make a trial
    idle_time: float = 120.0  # time without such prompts that ends a quarantine
    probe_time: float = 2.0  # time in which a broken answer awaits its probe
    report_time: float = 3.0  # time for which a crash is repeated to peers
    # Time between reports that a suspected part was answered; each says all.
    answer_report_interval: float = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReviewDue:
    """The timer for a review of the crashes, after all entries report them."""


@dataclasses.dataclass(frozen=True, slots=True)
class _BrokenAnswer:
    at: float
    parts: Parts


@dataclasses.dataclass(slots=True)
class _Crash:
    at: float
    parts: set[str] = dataclasses.field(default_factory=set)
    reported_until: float = -math.inf  # by this entry, to its peers


@dataclasses.dataclass(slots=True)
class _Answer:
    at: float = -math.inf
    next_report_at: float = -math.inf  # to peers, if its part is suspected


@dataclasses.dataclass(slots=True)
class _Quarantine:
    parts: Parts  # prompts that contain all of them are refused
    since: float
    next_trial_at: float
    trial_count: int
    last_refused_at: float


class PromptQuarantine:
    """Finds the parts that crash targets, from the evidence of all entries.

    A part is suspected if several targets have crashed as they began to answer
    prompts with it, and none has answered such a prompt since.  Parts that the
    evidence does not tell apart are refused only together.  An answer to a
    prompt that is let through as a trial ends a quarantine.
    """

    def __init__(
        self, board: DirectBoard, settings: QuarantineSettings, entry_name: str
    ) -> None:
        self._board = board
        self._settings = settings
        self._name = entry_name
        self._crashes: dict[AgentId, _Crash] = {}
        self._answers: collections.OrderedDict[str, _Answer] = collections.OrderedDict()
        self._recent_answers: collections.deque[tuple[float, Parts]] = (
            collections.deque(maxlen=16)
        )
        self._broken: dict[AgentId, list[_BrokenAnswer]] = {}
        self._quarantines: list[_Quarantine] = []
        self._learning_until = math.inf

    # Evidence

    def begin_answer(self, request: DirectRequest, now: float) -> None:
        """Record that a target has begun to answer a prompt."""
        request.answer_began = True
        request.answer_time = 0.0
        if self._learning_until == math.inf:
            self._learning_until = now + self._settings.learning_time

    def record_progress(
        self, request: DirectRequest, pause: float, now: float
    ) -> list[DirectCommand]:
        """Record that a target sends more of an answer, after a pause."""
        settings = self._settings
        if not request.answer_began or request.answer_time >= settings.survival_time:
            return []
        # After a longer pause, the events may have arrived before it.
        request.answer_time += min(pause, settings.max_pause)
        if request.answer_time < settings.survival_time:
            return []
        return self.record_answer(request, now)

    def record_answer(self, request: DirectRequest, now: float) -> list[DirectCommand]:
        """Record that a target has answered a prompt without a crash."""
        parts = _shared_parts(request)
        self._recent_answers.append((now, parts))
        suspected = self._suspected_parts()
        commands = self._clear_parts(parts, now)
        news = []
        for part in sorted(parts & suspected):
            answer = self._answers[part]
            if now >= answer.next_report_at:
                answer.next_report_at = now + self._settings.answer_report_interval
                news.append(part)
        if news:
            report = PartsAnswered(tuple(news), now)
            commands.append(UpdatePeers(answered=(report,)))
        return commands

    def record_break(self, request: DirectRequest, now: float) -> None:
        """Record that an answer broke off, before its target is probed."""
        if not self.is_answer_new(request):
            return
        oldest = now - self._settings.probe_time
        for agent, answers in list(self._broken.items()):
            if answers[-1].at < oldest:
                del self._broken[agent]
        answer = _BrokenAnswer(now, _shared_parts(request))
        self._broken.setdefault(request.attempts[-1].agent, []).append(answer)

    def is_answer_new(self, request: DirectRequest) -> bool:
        """Return whether a target may still crash by an answer."""
        survival_time = self._settings.survival_time
        return request.answer_began and request.answer_time < survival_time

    def record_probe(
        self, target: str, reachable: bool, now: float
    ) -> list[DirectCommand]:
        """Record whether a target, of which answers broke off, has crashed."""
        broken = {
            agent: self._broken.pop(agent)
            for agent in list(self._broken)
            if agent.target == target
        }
        if reachable:
            return []
        for request in self._board.requests.values():
            if self.is_answer_new(request):
                agent = request.attempts[-1].agent
                if agent.target == target and is_live(request.attempts[-1]):
                    answer = _BrokenAnswer(now, _shared_parts(request))
                    broken.setdefault(agent, []).append(answer)
        commands: list[DirectCommand] = []
        oldest = now - self._settings.probe_time
        for agent, answers in broken.items():
            parts = frozenset().union(
                *(answer.parts for answer in answers if answer.at >= oldest)
            )
            if parts:
                report = CrashReport(agent, tuple(sorted(parts)), now)
                self._add_crash(report, now, own=True)
                detail = f"had begun prompts with {_describe(parts)}"
                commands.append(LogChange("target crashed", target, detail))
                commands.append(UpdatePeers(crashes=(report,)))
        return commands

    def record_reports(
        self,
        crashes: t.Iterable[CrashReport],
        answered: t.Iterable[PartsAnswered],
        quarantines: t.Iterable[QuarantineReport],
        now: float,
    ) -> list[DirectCommand]:
        """Record what a peer has reported."""
        commands: list[DirectCommand] = []
        for answer in answered:
            commands += self._clear_parts(frozenset(answer.parts), answer.answered_at)
        for report in crashes:
            self._add_crash(report, now, own=False)
        for report in quarantines:
            commands += self._adopt(report, now)
        return commands

    def reports(self, now: float) -> list[DirectCommand]:
        """Return the updates that peers may not have received."""
        crashes = tuple(
            CrashReport(agent, tuple(sorted(crash.parts)), crash.at)
            for agent, crash in self._crashes.items()
            if now < crash.reported_until
        )
        self._quarantines = [
            quarantine
            for quarantine in self._quarantines
            if now < quarantine.last_refused_at + self._settings.idle_time
        ]
        quarantines = tuple(_to_report(each) for each in self._quarantines)
        if not crashes and not quarantines:
            return []
        return [UpdatePeers(crashes=crashes, quarantines=quarantines)]

    # Decisions

    def retry_after(self, request: DirectRequest, now: float) -> float | None:
        """Return the seconds until a refused prompt may be tried again.

        Return None if the prompt is not refused.
        """
        if not self._quarantines:
            return None
        parts = _shared_parts(request)
        for quarantine in list(self._quarantines):
            if quarantine.parts <= parts and self._refuses(quarantine, now):
                return self._time_to_end(quarantine, now)
        return None

    def find_refused(self, now: float) -> list[DirectRequest]:
        """Return the requests whose targets must not begin to answer them."""
        return [
            request
            for request in self._board.requests.values()
            if not request.answer_began
            and any(
                quarantine.parts <= _shared_parts(request)
                and request.inbound.request.arrived
                < quarantine.since + self._settings.first_trial_delay
                for quarantine in self._quarantines
            )
        ]

    def _time_to_end(self, quarantine: _Quarantine, now: float) -> float:
        """Return the time in which a quarantine may end."""
        if quarantine.trial_count >= self._settings.max_trials:
            return self._settings.idle_time
        return max(quarantine.next_trial_at - now, self._settings.trial_stagger)

    def _refuses(self, quarantine: _Quarantine, now: float) -> bool:
        settings = self._settings
        if now >= quarantine.last_refused_at + settings.idle_time:
            self._quarantines.remove(quarantine)
            return False
        quarantine.last_refused_at = now
        rank = sum(1 for name in self._board.entry_names if name < self._name)
        if quarantine.trial_count >= settings.max_trials:
            return True
        if now < quarantine.next_trial_at + rank * settings.trial_stagger:
            return True
        quarantine.trial_count += 1
        quarantine.next_trial_at = now + settings.first_trial_delay * (
            settings.trial_delay_factor**quarantine.trial_count
        )
        return False

    # Changes

    def _add_crash(self, report: CrashReport, now: float, own: bool) -> None:
        """Add a crash, or the parts that one entry knew of it."""
        settings = self._settings
        oldest = now - settings.crash_memory
        if report.seen_at < oldest:
            return
        crash = self._crashes.get(report.target)
        if crash is None:
            for agent, other in list(self._crashes.items()):
                if other.at < oldest or len(self._crashes) >= settings.max_crashes:
                    del self._crashes[agent]
            crash = _Crash(report.seen_at)
            self._crashes[report.target] = crash
        if own:
            crash.reported_until = now + settings.report_time
        room = settings.max_crash_parts - len(crash.parts)
        new_parts = sorted(set(report.parts) - crash.parts)[:room]
        crash.parts.update(new_parts)
        if new_parts:
            self._board.timers.add(now + settings.settle_time, CrashReviewDue())
            if now < self._learning_until < math.inf:
                self._board.timers.add(self._learning_until, CrashReviewDue())

    def _clear_parts(self, parts: Parts, answered_at: float) -> list[DirectCommand]:
        """Record an answer to a prompt, whose parts are no longer refused."""
        for part in sorted(parts):
            answer = self._answers.pop(part, None) or _Answer()
            answer.at = max(answer.at, answered_at)
            self._answers[part] = answer
        while len(self._answers) > self._settings.max_parts:
            self._answers.popitem(last=False)
        commands: list[DirectCommand] = []
        for quarantine in list(self._quarantines):
            if answered_at >= quarantine.since and quarantine.parts & parts:
                commands += self._change_parts(quarantine, quarantine.parts - parts)
        return commands

    def _suspected_parts(self) -> Parts:
        return frozenset().union(
            *(crash.parts for crash in self._crashes.values()),
            *(quarantine.parts for quarantine in self._quarantines),
        )

    def review_crashes(self, now: float) -> list[DirectCommand]:
        """Quarantine the parts that the crashes point to."""
        commands: list[DirectCommand] = []
        harmful = self._find_harmful_parts(now)
        for quarantine in list(self._quarantines):
            if self._is_explained(quarantine.parts, harmful):
                commands += self._change_parts(quarantine, frozenset())
        for parts in harmful:
            known = self._find_overlapping(parts)
            if known is not None:
                commands += self._change_parts(known, parts)
                continue
            trial_at = now + self._settings.first_trial_delay
            quarantine = _Quarantine(parts, now, trial_at, 0, now)
            commands += self._add_quarantine(quarantine)
            commands.append(UpdatePeers(quarantines=(_to_report(quarantine),)))
        return commands

    def _is_explained(self, parts: Parts, harmful: t.Collection[Parts]) -> bool:
        """Return whether other parts explain all known crashes under some."""
        crashes = [crash for crash in self._crashes.values() if parts <= crash.parts]
        others = [other for other in harmful if not other & parts]
        return bool(crashes) and all(
            any(other <= crash.parts for other in others) for crash in crashes
        )

    def _adopt(self, report: QuarantineReport, now: float) -> list[DirectCommand]:
        """Apply a peer's quarantine, less the parts answered since."""
        parts = frozenset(
            part for part in report.parts if self._answered_at(part) < report.since
        )
        if not parts or now >= report.last_refused_at + self._settings.idle_time:
            return []
        if self._is_explained(parts, [other.parts for other in self._quarantines]):
            return []
        known = self._find_overlapping(parts)
        if known is None:
            quarantine = _Quarantine(
                parts,
                report.since,
                report.next_trial_at,
                report.trial_count,
                report.last_refused_at,
            )
            return self._add_quarantine(quarantine)
        known.trial_count = max(known.trial_count, report.trial_count)
        known.next_trial_at = max(known.next_trial_at, report.next_trial_at)
        known.last_refused_at = max(known.last_refused_at, report.last_refused_at)
        return self._change_parts(known, parts) if parts < known.parts else []

    def _change_parts(
        self, quarantine: _Quarantine, parts: Parts
    ) -> list[DirectCommand]:
        """Change the parts of a quarantine, or end it without any."""
        if parts == quarantine.parts:
            return []
        if parts:
            quarantine.parts = parts
            return [LogChange("prompts refused", _describe(parts))]
        self._quarantines.remove(quarantine)
        return [LogChange("prompts accepted again", _describe(quarantine.parts))]

    def _add_quarantine(self, quarantine: _Quarantine) -> list[DirectCommand]:
        if len(self._quarantines) >= self._settings.max_quarantines:
            self._quarantines.remove(
                min(self._quarantines, key=lambda other: other.last_refused_at)
            )
        self._quarantines.append(quarantine)
        return [LogChange("prompts refused", _describe(quarantine.parts))]

    def _find_overlapping(self, parts: Parts) -> _Quarantine | None:
        for quarantine in self._quarantines:
            if quarantine.parts & parts:
                return quarantine
        return None

    # Evidence on parts

    def _find_harmful_parts(self, now: float) -> list[Parts]:
        """Return the fewest sets of parts that explain the crashes."""
        oldest = now - self._settings.crash_memory
        unexplained = [crash for crash in self._crashes.values() if crash.at >= oldest]
        found = []
        while True:
            crashes_by_part: dict[str, list[int]] = {}
            for number, crash in enumerate(unexplained):
                for part in crash.parts:
                    if crash.at > self._answered_at(part):
                        crashes_by_part.setdefault(part, []).append(number)
            suspects = [
                part
                for part, numbers in crashes_by_part.items()
                if self._is_suspect(part, [unexplained[n] for n in numbers], now)
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

    def _is_suspect(self, part: str, crashes: list[_Crash], now: float) -> bool:
        settings = self._settings
        is_unknown = now > self._answered_at(part) + settings.answered_time
        if is_unknown and not self._is_learning(now):
            return len(crashes) >= settings.min_crashes
        if len(crashes) < settings.min_crashes_of_answered:
            return False
        first_crash_at = min(crash.at for crash in crashes)
        return any(
            answered_at > first_crash_at and part not in parts
            for answered_at, parts in self._recent_answers
        )

    def _is_learning(self, now: float) -> bool:
        return now < self._learning_until

    def _answered_at(self, part: str) -> float:
        answer = self._answers.get(part)
        return answer.at if answer is not None else -math.inf


def _shared_parts(request: DirectRequest) -> Parts:
    work = request.inbound.request.work
    return frozenset(work.shared_parts) if isinstance(work, Prompt) else frozenset()


def _to_report(quarantine: _Quarantine) -> QuarantineReport:
    return QuarantineReport(
        tuple(sorted(quarantine.parts)),
        quarantine.since,
        quarantine.next_trial_at,
        quarantine.trial_count,
        quarantine.last_refused_at,
    )


def _describe(parts: Parts) -> str:
    return ", ".join(sorted(parts))
