"""Which targets an entry chooses among, and which peers share them.

Small fleets are one cell.  In larger ones, entries and targets are cut into as
many cells, in the order of their names, so that neither a decision nor what
entries tell one another grows with the whole fleet.
"""

import math

from .board import DirectBoard, TargetView


class FleetPartition:
    """Cuts the fleet into cells, and finds an entry's own."""

    def __init__(self, board: DirectBoard, max_targets: int, name: str) -> None:
        """Choose among at most some targets of a service, roughly."""
        self._board = board
        self._max_targets = max_targets
        self._name = name
        self._seen: tuple[frozenset[str], int] | None = None
        self._peers: frozenset[str] | None = None
        self._views: dict[str, list[TargetView]] = {}

    def targets(self, service: str) -> list[TargetView]:
        """Return the targets of a service in this entry's cell."""
        self._refresh()
        if service not in self._views:
            self._views[service] = self._find_views(service)
        return self._views[service]

    def peer_names(self) -> frozenset[str]:
        """Return the names of the entries in the same cell, this one's too."""
        self._refresh()
        if self._peers is None:
            self._peers = self._find_peers()
        return self._peers

    def _refresh(self) -> None:
        """Forget what was found among other entries and targets."""
        seen = (self._board.entry_names, self._board.targets_version)
        if seen != self._seen:
            self._seen = seen
            self._peers = None
            self._views = {}

    def _find_views(self, service: str) -> list[TargetView]:
        views = list(self._board.available_targets(service))
        cells = self._cells(len(views))
        if cells == 1:
            return views
        own = self._cell(self._name, cells)
        views.sort(key=lambda view: view.listing.id)
        return [x for rank, x in enumerate(views) if rank * cells // len(views) == own]

    def _find_peers(self) -> frozenset[str]:
        sizes: dict[str, int] = {}
        for view in self._board.targets.values():
            if view.available:
                service = view.listing.service
                sizes[service] = sizes.get(service, 0) + 1
        cells = self._cells(max(sizes.values(), default=0))
        names = self._board.entry_names
        if cells == 1:
            return names
        own = self._cell(self._name, cells)
        return frozenset(
            name
            for rank, name in enumerate(sorted(names))
            if rank * cells // len(names) == own
        )

    def _cells(self, targets: int) -> int:
        wanted = math.ceil(targets / self._max_targets)
        return max(1, min(wanted, len(self._board.entry_names)))

    def _cell(self, name: str, cells: int) -> int:
        names = self._board.entry_names
        rank = sum(1 for other in names if other < name)
        return min(rank * cells // max(len(names), 1), cells - 1)
