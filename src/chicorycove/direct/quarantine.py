"""Refuses requests with traits on which targets crash.

The load it answers: one request that comes again, or prompts of many callers
that share a part, each of which crashes the target that begins to run it,
beside requests that share their other traits.
"""

import dataclasses
import math
import typing as t

from ..attempt import STARTED
from ..identity import AgentId
from .board import DirectBoard, DirectRequest
from .command import DirectCommand, LogChange, UpdatePeers
from .crash_evidence import CrashEvidence, CrashEvidenceSettings
from .event import CrashReport, QuarantineReport, TraitsAnswered
from .trait import Traits, get_fingerprint_trait, get_traits


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QuarantineSettings:
    """When requests are refused and tried again; times are in seconds."""

    evidence: CrashEvidenceSettings = CrashEvidenceSettings()
    # Time for which a target streams an answer, after which the prompt is not
    # taken for the cause of a crash.
    survival_time: float = 1.0
    max_pause: float = 0.5  # part of a pause that counts towards it
    probe_time: float = 2.0  # time in which a broken attempt awaits its probe
    # Time from a report of a crash to its review: other entries report it too.
    settle_time: float = 0.05
    # Time between reports that a suspected trait was answered.
    answer_report_interval: float = 0.3
    first_trial_delay: float = 20.0  # from the start of a quarantine to a trial
    trial_delay_factor: float = 2.0  # from one trial to the next
    max_trials: int = 2  # after which only idle time ends a quarantine
    trial_stagger: float = 5.0  # between the entries that may make a trial
    idle_time: float = 120.0  # time without such requests that ends a quarantine
    max_quarantines: int = 32


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReviewDue:
    """The timer for a review of the crashes, after all entries report them."""


@dataclasses.dataclass(frozen=True, slots=True)
class _BrokenAttempt:
    at: float
    traits: Traits


@dataclasses.dataclass(slots=True)
class _Quarantine:
    traits: Traits  # requests that have all of them are refused
    since: float
    next_trial_at: float
    trial_count: int
    last_refused_at: float


class RequestQuarantine:
    """Refuses the requests that the evidence of all entries points to.

    Traits that the evidence does not tell apart are refused only together.  An
    answer to a request that is let through as a trial ends a quarantine.
    """

    def __init__(
        self, board: DirectBoard, settings: QuarantineSettings, entry_name: str
    ) -> None:
        self._board = board
        self._settings = settings
        self._name = entry_name
        self._evidence = CrashEvidence(settings.evidence)
        self._broken: dict[AgentId, list[_BrokenAttempt]] = {}
        self._quarantines: list[_Quarantine] = []
        self._answers_reported_at: dict[str, float] = {}

    # Evidence

    def begin_answer(self, request: DirectRequest, now: float) -> None:
        """Record that a target has begun to answer a prompt."""
        request.newest_answer_began = True
        request.newest_answer_time = 0.0
        self._evidence.start_learning(now)

    def record_progress(
        self, request: DirectRequest, pause: float, now: float
    ) -> list[DirectCommand]:
        """Record that a target sends more of an answer, after a pause."""
        if not self.is_answer_new(request):
            return []
        # After a longer pause, the events may have arrived before it.
        request.newest_answer_time += min(pause, self._settings.max_pause)
        return [] if self.is_answer_new(request) else self.record_answer(request, now)

    def record_answer(self, request: DirectRequest, now: float) -> list[DirectCommand]:
        """Record that a target has answered a request without a crash."""
        traits = get_traits(request.inbound)
        suspected = {trait for trait in traits if self._is_suspected(trait)}
        self._evidence.add_own_answer(traits, now)
        commands = self._relax_quarantines(traits, now)
        last_report = now - self._settings.answer_report_interval
        self._answers_reported_at = {
            trait: reported_at
            for trait, reported_at in self._answers_reported_at.items()
            if reported_at > last_report
        }
        news = tuple(sorted(suspected - self._answers_reported_at.keys()))
        if news:
            self._answers_reported_at.update(dict.fromkeys(news, now))
            commands.append(UpdatePeers(answered=(TraitsAnswered(news, now),)))
        return commands

    def record_break(self, request: DirectRequest, now: float) -> None:
        """Record that an attempt broke off, before its target is probed."""
        traits = self._suspected_by_crash(request)
        if not traits:
            return
        oldest = now - self._settings.probe_time
        for agent, attempts in list(self._broken.items()):
            if attempts[-1].at < oldest:
                del self._broken[agent]
        attempt = _BrokenAttempt(now, traits)
        self._broken.setdefault(request.attempts[-1].agent, []).append(attempt)

    def is_answer_new(self, request: DirectRequest) -> bool:
        """Return whether a target may still crash by its newest answer."""
        survival_time = self._settings.survival_time
        return request.newest_answer_began and (
            request.newest_answer_time < survival_time
        )

    def record_probe(
        self, target: str, reachable: bool, now: float
    ) -> list[DirectCommand]:
        """Record whether a target whose attempts broke off has crashed."""
        broken = {
            agent: self._broken.pop(agent)
            for agent in list(self._broken)
            if agent.target == target
        }
        if reachable:
            return []
        for request in self._board.requests.values():
            attempt = request.attempts[-1] if request.attempts else None
            if attempt is None or attempt.agent.target != target:
                continue
            if attempt.state == STARTED:
                traits = self._suspected_by_crash(request)
                broken.setdefault(attempt.agent, []).append(_BrokenAttempt(now, traits))
        commands: list[DirectCommand] = []
        oldest = now - self._settings.probe_time
        for agent, attempts in broken.items():
            traits = frozenset().union(
                *(attempt.traits for attempt in attempts if attempt.at >= oldest)
            )
            if traits:
                report = CrashReport(agent, tuple(sorted(traits)), now)
                self._add_crash(report, now, own=True)
                detail = f"ran requests with {_describe(traits)}"
                commands.append(LogChange("target crashed", target, detail))
                commands.append(self._build_update((report,), now))
        return commands

    def record_reports(
        self,
        crashes: t.Iterable[CrashReport],
        answered: t.Iterable[TraitsAnswered],
        quarantines: t.Iterable[QuarantineReport],
        now: float,
    ) -> list[DirectCommand]:
        """Record what a peer has reported."""
        commands: list[DirectCommand] = []
        for answer in answered:
            traits = frozenset(answer.traits)
            self._evidence.add_answered_traits(traits, answer.answered_at)
            commands += self._relax_quarantines(traits, answer.answered_at)
        for report in crashes:
            self._add_crash(report, now, own=False)
        for report in quarantines:
            commands += self._adopt(report, now)
        return commands

    def reports(self, now: float) -> list[DirectCommand]:
        """Return the updates that peers may not have received."""
        crashes = self._evidence.own_crashes(now)
        self._remove_idle(now)
        quarantines = tuple(_to_report(each) for each in self._quarantines)
        if not crashes and not quarantines:
            return []
        return [self._build_update(crashes, now, quarantines)]

    # Decisions

    def review_crashes(self, now: float) -> list[DirectCommand]:
        """Quarantine the traits that the crashes point to."""
        commands: list[DirectCommand] = []
        harmful = self._evidence.find_harmful_traits(now)
        for quarantine in list(self._quarantines):
            if self._evidence.is_explained(quarantine.traits, harmful):
                commands += self._change_traits(quarantine, frozenset())
        for traits in harmful:
            known = self._find_overlapping(traits)
            if known is not None:
                commands += self._change_traits(known, traits)
                continue
            trial_at = now + self._settings.first_trial_delay
            quarantine = _Quarantine(traits, now, trial_at, 0, now)
            commands += self._add_quarantine(quarantine)
            commands.append(UpdatePeers(quarantines=(_to_report(quarantine),)))
        return commands

    def retry_after(
        self, request: DirectRequest, now: float, record: bool = True
    ) -> float | None:
        """Return the seconds until a refused request may be tried again.

        Return None if the request is not refused, or is a trial.  An
        explanation records neither the refusal nor the trial.
        """
        if not self._quarantines:
            return None
        if record:
            self._remove_idle(now)
        traits = get_traits(request.inbound)
        for quarantine in self._find_active(now):
            if quarantine.traits <= traits:
                is_trial = self._may_start_trial(quarantine, now)
                if record:
                    quarantine.last_refused_at = now
                    if is_trial:
                        self._start_trial(quarantine, now)
                if not is_trial:
                    return self._time_to_end(quarantine, now)
        return None

    def find_refused(self) -> list[DirectRequest]:
        """Return the requests that their targets must not begin to answer."""
        return [
            request
            for request in self._board.requests.values()
            if not request.newest_answer_began
            and any(
                quarantine.traits <= get_traits(request.inbound)
                and not self._may_be_trial(request, quarantine)
                for quarantine in self._quarantines
            )
        ]

    def _may_be_trial(self, request: DirectRequest, quarantine: _Quarantine) -> bool:
        first_trial_at = quarantine.since + self._settings.first_trial_delay
        return request.inbound.request.arrived >= first_trial_at

    def _may_start_trial(self, quarantine: _Quarantine, now: float) -> bool:
        """Return whether it is this entry's turn to let a request through."""
        settings = self._settings
        stagger = self._board.entry_rank(self._name) * settings.trial_stagger
        if quarantine.trial_count >= settings.max_trials:
            return False
        return now >= quarantine.next_trial_at + stagger

    def _start_trial(self, quarantine: _Quarantine, now: float) -> None:
        """Count a request that is let through."""
        settings = self._settings
        quarantine.trial_count += 1
        delay_factor = settings.trial_delay_factor**quarantine.trial_count
        quarantine.next_trial_at = now + settings.first_trial_delay * delay_factor

    def _time_to_end(self, quarantine: _Quarantine, now: float) -> float:
        """Return the time in which a quarantine may end."""
        if quarantine.trial_count >= self._settings.max_trials:
            return self._settings.idle_time
        return max(quarantine.next_trial_at - now, self._settings.trial_stagger)

    # Changes

    def _suspected_by_crash(self, request: DirectRequest) -> Traits:
        """Return the traits by which a request may crash its target now.

        A prompt that waits to be answered is suspected itself, but not its
        parts: they would accuse all prompts that share them.
        """
        if not request.newest_answer_began:
            return get_fingerprint_trait(request.inbound)
        if self.is_answer_new(request):
            return get_traits(request.inbound)
        return frozenset()

    def _build_update(
        self,
        crashes: tuple[CrashReport, ...],
        now: float,
        quarantines: tuple[QuarantineReport, ...] = (),
    ) -> UpdatePeers:
        """Return an update that also says which suspects were answered."""
        traits = frozenset().union(*(crash.traits for crash in crashes))
        answered = tuple(self._evidence.find_answered_lately(traits, now))
        return UpdatePeers(crashes=crashes, answered=answered, quarantines=quarantines)

    def _add_crash(self, report: CrashReport, now: float, own: bool) -> None:
        if not self._evidence.add_crash(report, now, own):
            return
        timers = self._board.timers
        timers.add(now + self._settings.settle_time, CrashReviewDue())
        if now < self._evidence.learned_at < math.inf:
            timers.add(self._evidence.learned_at, CrashReviewDue())

    def _is_suspected(self, trait: str) -> bool:
        return self._evidence.has_crash(trait) or any(
            trait in quarantine.traits for quarantine in self._quarantines
        )

    def _relax_quarantines(
        self, traits: Traits, answered_at: float
    ) -> list[DirectCommand]:
        """Remove the traits of an answered request from the quarantines."""
        commands: list[DirectCommand] = []
        for quarantine in list(self._quarantines):
            if answered_at >= quarantine.since:
                commands += self._change_traits(quarantine, quarantine.traits - traits)
        return commands

    def _remove_idle(self, now: float) -> None:
        self._quarantines = self._find_active(now)

    def _find_active(self, now: float) -> list[_Quarantine]:
        """Return the quarantines that no idle time has ended."""
        oldest = now - self._settings.idle_time
        return [
            quarantine
            for quarantine in self._quarantines
            if quarantine.last_refused_at > oldest
        ]

    def _adopt(self, report: QuarantineReport, now: float) -> list[DirectCommand]:
        """Apply a peer's quarantine, less the traits answered since."""
        traits = frozenset(
            trait
            for trait in report.traits
            if self._evidence.answered_at(trait) < report.since
        )
        if not traits or now >= report.last_refused_at + self._settings.idle_time:
            return []
        others = [quarantine.traits for quarantine in self._quarantines]
        if self._evidence.is_explained(traits, others):
            return []
        known = self._find_overlapping(traits)
        if known is None:
            quarantine = _Quarantine(
                traits,
                report.since,
                report.next_trial_at,
                report.trial_count,
                report.last_refused_at,
            )
            return self._add_quarantine(quarantine)
        known.trial_count = max(known.trial_count, report.trial_count)
        known.next_trial_at = max(known.next_trial_at, report.next_trial_at)
        known.last_refused_at = max(known.last_refused_at, report.last_refused_at)
        return self._change_traits(known, traits) if traits < known.traits else []

    def _add_quarantine(self, quarantine: _Quarantine) -> list[DirectCommand]:
        if len(self._quarantines) >= self._settings.max_quarantines:
            self._quarantines.remove(
                min(self._quarantines, key=lambda other: other.last_refused_at)
            )
        self._quarantines.append(quarantine)
        return [LogChange("requests refused", _describe(quarantine.traits))]

    def _change_traits(
        self, quarantine: _Quarantine, traits: Traits
    ) -> list[DirectCommand]:
        """Change the traits of a quarantine, or end it without any."""
        if traits == quarantine.traits:
            return []
        if traits:
            quarantine.traits = traits
            return [LogChange("requests refused", _describe(traits))]
        self._quarantines.remove(quarantine)
        return [LogChange("requests accepted again", _describe(quarantine.traits))]

    def _find_overlapping(self, traits: Traits) -> _Quarantine | None:
        for quarantine in self._quarantines:
            if quarantine.traits & traits:
                return quarantine
        return None


def _to_report(quarantine: _Quarantine) -> QuarantineReport:
    return QuarantineReport(
        tuple(sorted(quarantine.traits)),
        quarantine.since,
        quarantine.next_trial_at,
        quarantine.trial_count,
        quarantine.last_refused_at,
    )


def _describe(traits: Traits) -> str:
    return ", ".join(sorted(traits))
