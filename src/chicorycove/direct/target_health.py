"""Suspects and ejects targets after failures."""

import enum
import typing as t

from ..health import OutlierDetector
from ..identity import AgentId
from .board import DirectBoard, TargetListing, TargetView
from .command import (
    DirectCommand,
    EjectionEvidence,
    ProbeTarget,
    RecordEjection,
    UpdatePeers,
)
from .event import FailureReport, PeerUpdateReceived
from .failure_evidence import FailureEvidence
from .partition import FleetPartition
from .settings import DirectSettings


class FailureKind(enum.Enum):
    """How an attempt failed at its target."""

    BROKEN = "broken"  # its connection ended without a whole answer
    ERROR = "error"  # it was answered with a server's error
    LATE = "late"  # it was given up as late


class TargetHealth:
    """Tracks targets by the outcomes of attempts; times are in seconds.

    A target that cannot be reached is suspected for a short time, and peers
    are notified.  A target that fails repeatedly, for this entry or for all
    entries together, is ejected for longer.
    """

    def __init__(
        self, board: DirectBoard, settings: DirectSettings, partition: FleetPartition
    ) -> None:
        self._board = board
        self._suspicion_time = settings.timeouts.suspicion_time
        self._threshold = settings.health.failures
        self._weak_weight = settings.failure_evidence.weak_weight
        self._partition = partition
        self._outliers = OutlierDetector(board, settings.health)
        self._evidence = FailureEvidence(settings.failure_evidence, self._threshold)

    def record_success(self, agent: AgentId, now: float) -> list[DirectCommand]:
        """Clear the failures of a target that has answered.

        Peers are notified if this entry knows of failures.
        """
        if self._board.find_incarnation(agent) is None:
            return []
        was_on_trial = self._outliers.is_on_trial(agent.target)
        self._outliers.note_success(agent.target)
        report = self._evidence.record_success(agent, now)
        if report is None and was_on_trial:
            report = FailureReport(agent, 0.0, now, now)
        return [UpdatePeers(failures=(report,))] if report is not None else []

    def record_failure(
        self, agent: AgentId, kind: FailureKind, now: float
    ) -> list[DirectCommand]:
        """Count a failure of a target, and notify peers."""
        view = self._board.find_incarnation(agent)
        if view is None or view.ejected_until > now:
            return []
        weight = 1.0 if kind is FailureKind.BROKEN else self._weak_weight
        report = self._evidence.record_failure(agent, weight, now)
        return [UpdatePeers(failures=(report,)), *self._eject_failing(view, now)]

    def record_reports(
        self, update: PeerUpdateReceived, now: float
    ) -> list[DirectCommand]:
        """Record failures and successes that a peer has seen."""
        commands: list[DirectCommand] = []
        if update.owner not in self._board.peer_names:
            return commands
        for report in update.failures:
            view = self._board.find_incarnation(report.target)
            # Failures during an ejection are those of calls sent before it.
            if view is None or (report.weight and report.seen_at <= view.ejected_until):
                continue
            if not self._evidence.record_report(update.owner, report, now):
                continue
            if report.weight:
                commands += self._eject_failing(view, now)
            else:
                self._outliers.note_success(report.target.target)
        return commands

    def reports(self, now: float) -> list[DirectCommand]:
        """Return the update that peers may not have received, if any.

        While some peers are not heard, nothing is kept for repetition: when a
        partition ends, its failures would eject targets on the other side.
        """
        if self._board.responsive_share < 1.0:
            self._evidence.withdraw_reports()
        failures = self._evidence.own_reports(now)
        return [UpdatePeers(failures=failures)] if failures else []

    def record_listing(self, listing: TargetListing) -> None:
        """Remove the failures of a target whose incarnation is replaced.

        It is called before the listing is on the board.
        """
        view = self._board.targets.get(listing.id)
        if view is not None and listing.started_at:
            if view.listing.agent != listing.agent:
                self.remove(listing.id)

    def remove(self, target: str) -> None:
        """Remove the failures of a target that no longer exists."""
        self._outliers.forget(target)
        self._evidence.forget(target)

    def _eject_failing(self, view: TargetView, now: float) -> list[DirectCommand]:
        """Eject a target that has failed often enough, down to the floor.

        The first failure after an ejection ejects it again.
        """
        agent = view.listing.agent
        threshold = self._threshold
        if self._outliers.is_on_trial(agent.target):
            threshold = self._weak_weight
        own_row = self._evidence.own_row(agent)
        common_row = self._evidence.common_row(agent, now)
        if max(own_row, common_row) < threshold:
            return []
        reporters = self._evidence.reporters(agent, now)
        if not self._outliers.eject(agent.target, self._pool(view), now):
            return []
        self._evidence.record_ejection(agent, now)
        evidence = EjectionEvidence.OWN
        detail = f"{own_row:g} failures"
        if own_row < threshold:
            evidence = EjectionEvidence.PEERS
            detail = f"{common_row:g} failures, some seen by {', '.join(reporters)}"
        duration = view.ejected_until - now
        return [RecordEjection(agent.target, evidence, f"{detail}, for {duration:g} s")]

    def _pool(self, view: TargetView) -> t.Collection[str]:
        """Return the targets of which a share must stay usable."""
        service = view.listing.service
        own_cell = [target.listing.id for target in self._partition.targets(service)]
        if view.listing.id in own_cell:
            return own_cell
        return [target.listing.id for target in self._board.available_targets(service)]

    def suspect(self, target: str, now: float) -> list[DirectCommand]:
        """Avoid a target that could not be reached, and notify peers."""
        view = self._board.targets.get(target)
        if view is None:
            return []
        already_suspected = view.suspected_until > now
        view.suspected_until = now + self._suspicion_time
        return [] if already_suspected else [UpdatePeers((), (), (target,))]

    def suspect_address(self, address: str, now: float) -> None:
        """Avoid a target that another target could not reach."""
        for view in self._board.targets.values():
            if view.listing.address == address:
                view.suspected_until = now + self._suspicion_time

    def probe(self, target: str) -> list[DirectCommand]:
        """Return the command to probe a target that is listed.

        One that is evacuated gets no probe.
        """
        view = self._board.targets.get(target)
        if view is None or self._board.is_evacuated(view):
            return []
        return [ProbeTarget(target, view.listing.address)]
