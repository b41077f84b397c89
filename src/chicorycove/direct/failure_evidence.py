"""Weighs the failures of targets that this entry and its peers have seen."""

import dataclasses
import math

from ..identity import AgentId
from .event import FailureReport

OWN = ""  # this entry among the reporters; a peer's name is never empty

frozen = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


@frozen
class FailureEvidenceSettings:
    """How failures that peers report are counted; times are in seconds."""

    # Time for which a report counts. At 2 calls per second, each target of 3
    # has the calls that an ejection needs in 4.5 s.
    max_age: float = 5.0
    # Time for which a report is repeated with the periodic updates, in case
    # its datagram was lost: two or three times.
    repeat_time: float = 1.5
    # Weight of an answer with a server's error, or of one that is late. Such
    # failures may be the application's: of 14% of calls with status 500, three
    # in a row are one call in 360, and six are one in 130,000.
    weak_weight: float = 0.5


@dataclasses.dataclass(slots=True)
class _Evidence:
    """The failures of one incarnation of a target."""

    agent: AgentId
    own_row: float = 0.0  # failures in a row that this entry has seen itself
    # Failures since the last success that any entry has seen, by reporter.
    reports: dict[str, FailureReport] = dataclasses.field(default_factory=dict)
    # Failures up to this time do not count: a success or an ejection followed.
    cleared_at: float = -math.inf
    # The report of this entry that is repeated for peers that have missed it,
    # also while the target is ejected here.
    announced: FailureReport | None = None


class FailureEvidence:
    """Keeps failures in a row of targets; times are in seconds.

    A success that any entry sees ends the common row of all entries. The row
    that this entry has seen itself ends only with its own success, since its
    own link to the target may be the fault.
    """

    def __init__(self, settings: FailureEvidenceSettings, threshold: float) -> None:
        """Limit what a peer alone contributes to one less than a threshold."""
        self._settings = settings
        self._peer_limit = threshold - 1
        self._evidence: dict[str, _Evidence] = {}

    def own_row(self, agent: AgentId) -> float:
        """Return the weight of this entry's own failures in a row."""
        evidence = self._find(agent)
        return evidence.own_row if evidence is not None else 0.0

    def common_row(self, agent: AgentId, now: float) -> float:
        """Return the weight of the failures that all saw in a row."""
        evidence = self._find(agent)
        if evidence is None:
            return 0.0
        return sum(
            report.weight if reporter == OWN else min(report.weight, self._peer_limit)
            for reporter, report in evidence.reports.items()
            if self._is_recent(report, now)
        )

    def reporters(self, agent: AgentId, now: float) -> list[str]:
        """Return the peers whose reports count."""
        evidence = self._find(agent)
        reports = evidence.reports if evidence is not None else {}
        return sorted(
            reporter
            for reporter, report in reports.items()
            if reporter != OWN and self._is_recent(report, now)
        )

    def record_failure(
        self, agent: AgentId, weight: float, now: float
    ) -> FailureReport:
        """Count a failure of this entry; return the report for peers."""
        evidence = self._find_or_create(agent)
        evidence.own_row += weight
        known = evidence.reports.get(OWN)
        if known is not None and self._is_recent(known, now):
            weight += known.weight
            began_at = known.began_at
        else:
            began_at = now
        report = FailureReport(agent, weight, began_at, now)
        evidence.reports[OWN] = evidence.announced = report
        return report

    def record_success(self, agent: AgentId, now: float) -> FailureReport | None:
        """Clear all failures; return the report for peers, if any."""
        evidence = self._find_or_create(agent)
        evidence.own_row = 0.0
        if not evidence.reports:
            evidence.cleared_at = now
            return None
        self._clear(evidence, now)
        evidence.announced = FailureReport(agent, 0.0, now, now)
        return evidence.announced

    def record_report(self, reporter: str, report: FailureReport, now: float) -> bool:
        """Record what a peer has seen; return whether it counts.

        Reports that are old, or of numbers that no entry sends, are ignored.
        """
        if not self._is_valid(report, now):
            return False
        evidence = self._find_or_create(report.target)
        if report.seen_at <= evidence.cleared_at:
            return False
        if not report.weight:
            self._clear(evidence, report.seen_at)
            return True
        if report.began_at <= evidence.cleared_at:
            # The peer did not learn what has ended its row. Only its newest
            # failure counts, which may be a weak one.
            weight = min(report.weight, self._settings.weak_weight)
            report = dataclasses.replace(report, weight=weight)
        known = evidence.reports.get(reporter)
        if known is not None and report.seen_at < known.seen_at:
            return False
        evidence.reports[reporter] = report
        return True

    def record_ejection(self, agent: AgentId, now: float) -> None:
        """Clear the failures of a target; later ones are those of trials."""
        evidence = self._find_or_create(agent)
        evidence.own_row = 0.0
        evidence.reports.clear()
        evidence.cleared_at = now

    def forget(self, target: str) -> None:
        """Remove the evidence on a target that no longer exists."""
        self._evidence.pop(target, None)

    def own_reports(self, now: float) -> tuple[FailureReport, ...]:
        """Return the reports of this entry that peers may not know of."""
        oldest = now - self._settings.repeat_time
        return tuple(
            evidence.announced
            for evidence in self._evidence.values()
            if evidence.announced is not None and evidence.announced.seen_at > oldest
        )

    def withdraw_reports(self) -> None:
        """Forget what would be repeated; each entry keeps what it counted."""
        for evidence in self._evidence.values():
            evidence.announced = None

    def _clear(self, evidence: _Evidence, now: float) -> None:
        evidence.reports.clear()
        if evidence.announced is not None and evidence.announced.weight:
            evidence.announced = None
        evidence.cleared_at = now

    def _is_recent(self, report: FailureReport, now: float) -> bool:
        return report.seen_at > now - self._settings.max_age

    def _is_valid(self, report: FailureReport, now: float) -> bool:
        # Comparisons with NaN are false.
        return (
            0.0 <= report.weight < math.inf
            and -math.inf < report.began_at <= report.seen_at <= now
            and self._is_recent(report, now)
        )

    def _find(self, agent: AgentId) -> _Evidence | None:
        evidence = self._evidence.get(agent.target)
        return evidence if evidence is not None and evidence.agent == agent else None

    def _find_or_create(self, agent: AgentId) -> _Evidence:
        evidence = self._find(agent)
        if evidence is None:
            evidence = self._evidence[agent.target] = _Evidence(agent)
        return evidence
