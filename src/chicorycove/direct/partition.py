"""Partitions a large fleet into cells of entries and targets.

A small fleet is one cell.  In a larger one, entries and targets are split into
the same number of cells, in the order of their names, so that neither a
decision nor the updates between entries grow with the fleet.
"""

import math

from .board import DirectBoard, TargetView


class FleetPartition:
    """Splits the fleet into cells and finds the cell of an entry."""

    def __init__(self, board: DirectBoard, max_targets: int, entry_name: str) -> None:
        """Limit cells to roughly ``max_targets`` targets of a service."""
        self._board = board
        self._max_targets = max_targets
        self._name = entry_name
        self._cache_key: tuple[frozenset[str], int] | None = None
        self._peer_names: frozenset[str] | None = None
        self._targets: dict[str, list[TargetView]] = {}

    def targets(self, service: str) -> list[TargetView]:
        """Return the targets of a service in this entry's cell."""
        self._refresh()
        if service not in self._targets:
            self._targets[service] = self._find_targets(service)
        return self._targets[service]

    def peer_names(self) -> frozenset[str]:
        """Return the names of the entries in this entry's cell."""
        self._refresh()
        if self._peer_names is None:
            self._peer_names = self._find_peer_names()
        return self._peer_names

    def _refresh(self) -> None:
        """Clear the caches if the entries or targets have changed."""
        cache_key = (self._board.entry_names, self._board.targets_version)
        if cache_key != self._cache_key:
            self._cache_key = cache_key
            self._peer_names = None
            self._targets = {}

    def _find_targets(self, service: str) -> list[TargetView]:
        targets = list(self._board.available_targets(service))
        cell_count = self._cell_count(len(targets))
        if cell_count == 1:
            return targets
        own_cell = self._cell_of(self._name, cell_count)
        targets.sort(key=lambda target: target.listing.id)
        return [
            target
            for rank, target in enumerate(targets)
            if rank * cell_count // len(targets) == own_cell
        ]

    def _find_peer_names(self) -> frozenset[str]:
        sizes: dict[str, int] = {}
        for target in self._board.targets.values():
            if target.available and not self._board.is_evacuated(target):
                service = target.listing.service
                sizes[service] = sizes.get(service, 0) + 1
        cell_count = self._cell_count(max(sizes.values(), default=0))
        names = self._board.entry_names
        if cell_count == 1:
            return names
        own_cell = self._cell_of(self._name, cell_count)
        return frozenset(
            entry_name
            for rank, entry_name in enumerate(sorted(names))
            if rank * cell_count // len(names) == own_cell
        )

    def _cell_count(self, target_count: int) -> int:
        needed = math.ceil(target_count / self._max_targets)
        return max(1, min(needed, len(self._board.entry_names)))

    def _cell_of(self, entry_name: str, cell_count: int) -> int:
        names = self._board.entry_names
        rank = self._board.entry_rank(entry_name)
        return min(rank * cell_count // max(len(names), 1), cell_count - 1)
