"""Suspects and ejects targets after failures."""

from ..health import OutlierDetector
from .board import DirectBoard
from .command import DirectCommand, ProbeTarget, UpdatePeers
from .settings import DirectSettings


class TargetHealth:
    """Tracks targets by the outcomes of attempts; times are in seconds.

    A target that cannot be reached is suspected for a short time, and peers
    are notified.  A target that fails repeatedly is ejected for longer.
    """

    def __init__(self, board: DirectBoard, settings: DirectSettings) -> None:
        self._board = board
        self._suspicion_time = settings.timeouts.suspicion_time
        self._outliers = OutlierDetector(board, settings.health)

    def record_success(self, target: str) -> None:
        """Clear the failures of a target that has answered."""
        self._outliers.note_success(target)

    def record_failure(self, target: str, service: str, now: float) -> None:
        """Count a failure or a hang of a service's target."""
        service_targets = [
            view.listing.id for view in self._board.available_targets(service)
        ]
        self._outliers.note_failure(target, service_targets, now)

    def remove(self, target: str) -> None:
        """Remove the failures of a target that no longer exists."""
        self._outliers.forget(target)

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
