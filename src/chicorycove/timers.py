"""A queue of items that fall due at given times."""

import heapq
import typing as t


class Timers:
    """A priority queue of items by due time, in seconds."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, t.Any]] = []
        self._count = 0

    @property
    def next_due(self) -> float | None:
        """Return the due time of the next item, or None if there is none."""
        return self._heap[0][0] if self._heap else None

    def add(self, due: float, item: t.Any) -> None:
        """Add an item, which the first ``pop`` at or after a time returns."""
        self._count += 1
        heapq.heappush(self._heap, (due, self._count, item))

    def pop(self, now: float) -> list[t.Any]:
        """Remove and return the items that are due."""
        items = []
        while self._heap and self._heap[0][0] <= now:
            items.append(heapq.heappop(self._heap)[2])
        return items
