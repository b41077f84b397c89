"""Items that fall due at times."""

import heapq
import typing as t


class Timers:
    """Names that fall due at times."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, t.Any]] = []
        self._count = 0

    @property
    def next_due(self) -> float | None:
        """Return when the next item falls due, if there is one."""
        return self._heap[0][0] if self._heap else None

    def add(self, due: float, item: t.Any) -> None:
        """Have an item returned by the first ``pop`` at or after a time."""
        self._count += 1
        heapq.heappush(self._heap, (due, self._count, item))

    def pop(self, now: float) -> list[t.Any]:
        """Remove and return the items that are due."""
        items = []
        while self._heap and self._heap[0][0] <= now:
            items.append(heapq.heappop(self._heap)[2])
        return items
