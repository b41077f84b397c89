"""Maintains the list of targets, also while the store is unavailable."""

import dataclasses

from .board import DirectBoard, TargetListing, TargetView
from .command import DirectCommand, LogChange
from .event import StoreLost, StoreRegained, TargetListed, TargetUnlisted
from .settings import DirectSettings

ListEvent = TargetListed | TargetUnlisted | StoreLost | StoreRegained


@dataclasses.dataclass(frozen=True, slots=True)
class _LapseDue:
    target: str
    remove_at: float


class TargetList:
    """Maintains the targets on the board; times are in seconds.

    Targets lapse from the list while the store is unavailable, and return soon
    after it if their servers are alive.  A target that is unlisted meanwhile
    is used for a grace period.
    """

    def __init__(self, board: DirectBoard, settings: DirectSettings) -> None:
        self._board = board
        self._lapse_grace = settings.lapse_grace
        self._store_lost = False

    def handle(self, event: ListEvent, now: float) -> list[DirectCommand]:
        """Apply a change of the list, or of the store's availability."""
        self._board.targets_version += 1
        match event:
            case TargetListed(listing):
                return self._add_or_update(listing)
            case TargetUnlisted(target):
                return self._unlist(target, now)
            case StoreLost():
                self._store_lost = True
                return []
            case StoreRegained(ago):
                if self._store_lost:
                    self._board.store_regained_at = now - ago
                self._store_lost = False
                return []

    def remove_lapsed(self, lapse: _LapseDue, now: float) -> list[DirectCommand]:
        """Remove a lapsed target that was not listed again in time."""
        view = self._board.targets.get(lapse.target)
        if view is None or view.remove_at != lapse.remove_at:
            return []
        return self._remove(lapse.target, "not back after the store")

    def remove_replaced(self, target: str) -> list[DirectCommand]:
        """Remove a target whose address belongs to another one now."""
        if target not in self._board.targets:
            return []
        return self._remove(target, "another target has its address")

    def _add_or_update(self, listing: TargetListing) -> list[DirectCommand]:
        view = self._board.targets.get(listing.id)
        if view is not None and not listing.started_at:
            # A listing by another writer may lack the start time.
            listing = dataclasses.replace(listing, started_at=view.listing.started_at)
        if view is not None and view.listing.started_at != listing.started_at:
            self._board.unlisted_terms.keep(view.listing.agent, view.terms)
            view = None  # another incarnation does not run the last one's work
        if view is None:
            terms = self._board.unlisted_terms.take(listing.agent)
            self._board.targets[listing.id] = TargetView(listing, terms=terms)
            detail = f"{listing.address}, incarnation {listing.started_at}"
            return [LogChange("target listed", listing.id, detail)]
        changed = view.listing.leaving != listing.leaving
        view.listing = listing
        view.remove_at = None
        if changed:
            state = "leaving" if listing.leaving else "ready"
            return [LogChange("target changed", listing.id, state)]
        return []

    def _unlist(self, target: str, now: float) -> list[DirectCommand]:
        view = self._board.targets.get(target)
        if view is None or view.remove_at is not None:
            return []
        if not view.available or not self._may_have_lapsed(now):
            return self._remove(target, "unlisted")
        # Targets are back within the grace of the store's return, which a
        # later unlisting does not begin anew.
        back_by = now if self._store_lost else self._board.store_regained_at
        view.remove_at = back_by + self._lapse_grace
        due = _LapseDue(target, view.remove_at)
        self._board.timers.add(view.remove_at, due)
        return [LogChange("target lapsed", target)]

    def _may_have_lapsed(self, now: float) -> bool:
        return (
            self._store_lost or now < self._board.store_regained_at + self._lapse_grace
        )

    def _remove(self, target: str, cause: str) -> list[DirectCommand]:
        self._board.targets_version += 1
        view = self._board.targets.pop(target)
        self._board.unlisted_terms.keep(view.listing.agent, view.terms)
        return [LogChange("target gone", target, cause)]
