"""What failures say of targets: suspicion, and ejection of those at fault."""

from ..health import OutlierDetector
from .board import DirectBoard
from .command import DirectCommand, ProbeTarget, UpdatePeers
from .settings import DirectSettings


class TargetHealth:
    """Judges targets by what became of attempts; times are in seconds.

    A target that could not be reached is suspected for a short while, and the
    peers are told; one that fails again and again is ejected for longer.
    """

    def __init__(self, board: DirectBoard, settings: DirectSettings) -> None:
        self._board = board
        self._suspicion_time = settings.timeouts.suspicion_time
        self._outliers = OutlierDetector(board, settings.health)

    def note_success(self, target: str) -> None:
        """Clear a target that has answered."""
        self._outliers.note_success(target)

    def note_failure(self, target: str, service: str, now: float) -> None:
        """Count a failure or a hang of a target of a service."""
        peers = [view.listing.id for view in self._board.available_targets(service)]
        self._outliers.note_failure(target, peers, now)

    def forget(self, target: str) -> None:
        """Drop a target that is gone."""
        self._outliers.forget(target)

    def suspect(self, target: str, now: float) -> list[DirectCommand]:
        """Avoid a target that could not be reached, and tell the peers."""
        view = self._board.targets.get(target)
        if view is None:
            return []
        known = view.suspected_until > now
        view.suspected_until = now + self._suspicion_time
        return [] if known else [UpdatePeers((), (), (target,))]

    def suspect_address(self, address: str, now: float) -> None:
        """Avoid the target that another one could not reach."""
        for view in self._board.targets.values():
            if view.listing.address == address:
                view.suspected_until = now + self._suspicion_time

    def probe(self, target: str) -> list[DirectCommand]:
        """Have it tried whether a target can be reached."""
        view = self._board.targets.get(target)
        return [ProbeTarget(target, view.listing.address)] if view else []
