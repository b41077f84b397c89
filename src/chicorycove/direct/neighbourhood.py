"""Which targets an entry chooses among, and which peers share them.

Small fleets are one cell.  In larger ones, entries and targets are cut into as
many cells, in the order of their names, so that neither a decision nor what
entries tell one another grows with the whole fleet.
"""

import math

from .board import DirectBoard, TargetView


class Neighbourhood:
    """Cuts the fleet into cells, and finds an entry's own."""

    def __init__(self, board: DirectBoard, most: int, name: str) -> None:
        """Choose among at most some targets of a service, roughly."""
        self._board = board
        self._most = most
        self._name = name

    def views(self, service: str) -> list[TargetView]:
        """Return the targets of a service in this entry's cell."""
        views = list(self._board.targets_of(service))
        cells = self._cells(len(views))
        if cells == 1:
            return views
        own = self._cell(self._name, cells)
        views.sort(key=lambda view: view.listing.id)
        return [x for rank, x in enumerate(views) if rank * cells // len(views) == own]

    def peers(self) -> frozenset[str]:
        """Return the names of the entries in the same cell, this one's too."""
        sizes: dict[str, int] = {}
        for view in self._board.targets.values():
            if view.available:
                service = view.listing.service
                sizes[service] = sizes.get(service, 0) + 1
        cells = self._cells(max(sizes.values(), default=0))
        names = self._board.names
        if cells == 1:
            return names
        own = self._cell(self._name, cells)
        return frozenset(
            name
            for rank, name in enumerate(sorted(names))
            if rank * cells // len(names) == own
        )

    def _cells(self, targets: int) -> int:
        wanted = math.ceil(targets / self._most)
        return max(1, min(wanted, len(self._board.names)))

    def _cell(self, name: str, cells: int) -> int:
        names = self._board.names
        rank = sum(1 for other in names if other < name)
        return min(rank * cells // max(len(names), 1), cells - 1)
