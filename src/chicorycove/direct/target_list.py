"""Which targets there are, from the platform's list and its silences."""

import dataclasses

from .board import DirectBoard, TargetListing, TargetView
from .command import DirectCommand, LogChange
from .event import StoreLost, StoreRegained, TargetListed, TargetUnlisted
from .settings import DirectSettings

ListEvent = TargetListed | TargetUnlisted | StoreLost | StoreRegained


@dataclasses.dataclass(frozen=True, slots=True)
class _LapseDue:
    target: str
    at: float


class TargetList:
    """Keeps the targets on the board; times are in seconds.

    Entries lapse while the store is away, and are back soon after it if their
    servers live: a target that vanishes then is used until that time is over.
    """

    def __init__(self, board: DirectBoard, settings: DirectSettings) -> None:
        self._board = board
        self._lapse_grace = settings.lapse_grace
        self._away = False

    def handle(self, event: ListEvent, now: float) -> list[DirectCommand]:
        """Take a change of the list, or of the store that holds it."""
        self._board.targets_version += 1
        match event:
            case TargetListed(listing):
                return self._listed(listing)
            case TargetUnlisted(target):
                return self._unlisted(target, now)
            case StoreLost():
                self._away = True
                return []
            case StoreRegained():
                if self._away:
                    self._board.store_regained_at = now
                self._away = False
                return []

    def due(self, item: _LapseDue, now: float) -> list[DirectCommand]:
        """Drop a target that has not come back in its time."""
        view = self._board.targets.get(item.target)
        if view is None or view.remove_at != item.at:
            return []
        return self._remove(item.target, "not back after the store")

    def replaced(self, target: str) -> list[DirectCommand]:
        """Drop a target whose address another one has."""
        if target not in self._board.targets:
            return []
        return self._remove(target, "another target has its address")

    def _listed(self, listing: TargetListing) -> list[DirectCommand]:
        view = self._board.targets.get(listing.id)
        if view is not None and view.listing.started_at != listing.started_at:
            view = None  # another incarnation knows nothing of the last one's work
        if view is None:
            self._board.targets[listing.id] = TargetView(listing)
            return [LogChange("target listed", listing.id, listing.address)]
        changed = view.listing.leaving != listing.leaving
        view.listing = listing
        view.remove_at = None
        if changed:
            state = "leaving" if listing.leaving else "ready"
            return [LogChange("target changed", listing.id, state)]
        return []

    def _unlisted(self, target: str, now: float) -> list[DirectCommand]:
        view = self._board.targets.get(target)
        if view is None or view.remove_at is not None:
            return []
        if view.listing.leaving or not self._may_have_lapsed(now):
            return self._remove(target, "unlisted")
        view.remove_at = max(self._board.store_regained_at, now) + self._lapse_grace
        due = _LapseDue(target, view.remove_at)
        self._board.timers.add(view.remove_at, due)
        return [LogChange("target lapsed", target)]

    def _may_have_lapsed(self, now: float) -> bool:
        return self._away or now < self._board.store_regained_at + self._lapse_grace

    def _remove(self, target: str, why: str) -> list[DirectCommand]:
        self._board.targets_version += 1
        del self._board.targets[target]
        return [LogChange("target gone", target, why)]
