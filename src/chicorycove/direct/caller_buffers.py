"""Bounds the memory that an entry holds for its callers.

The load it answers: callers that read or send slowly and targets that read
slowly or send without end, beside many for whom little is held.
"""

import dataclasses
import typing as t

K = t.TypeVar("K", bound=t.Hashable)

# Share of the bound by which the total grows until sizes are measured again,
# and thus may exceed the bound. Without it, a total just below the bound would
# have each update measure all sizes.
RECOUNT_SHARE = 0.01


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerBufferSettings:
    """The bound of what is held for all callers together."""

    max_size: int = 67_108_864  # bytes
    retry_after: float = 1.0  # seconds; calls wait longer, so that some can return


class CallerBuffers(t.Generic[K]):
    """Counts the bytes held for each caller's connection.

    Buffers shrink without notice as they are sent, so that the counts may be
    too high until the sizes are measured again.
    """

    def __init__(self, max_size: int) -> None:
        self._max_size = max_size
        self._sizes: dict[K, int] = {}
        self._total = 0
        self._recount_above = max_size

    @property
    def total(self) -> int:
        """Return the bytes held for all connections."""
        return self._total

    @property
    def max_size(self) -> int:
        """Return the bound of the total."""
        return self._max_size

    @property
    def exceeded(self) -> bool:
        """Return whether the total is above the bound."""
        return self._total > self._max_size

    @property
    def recount_due(self) -> bool:
        """Return whether the sizes must be measured again."""
        return self._total > self._recount_above

    def update(self, key: K, size: int) -> None:
        """Set the bytes held for a connection."""
        self._total += size - self._sizes.get(key, 0)
        if size:
            self._sizes[key] = size
        else:
            self._sizes.pop(key, None)

    def remove(self, key: K) -> None:
        """Remove a connection that has ended."""
        self._total -= self._sizes.pop(key, 0)

    def recount(self, measure: t.Callable[[K], int]) -> None:
        """Measure all connections for which something is held."""
        for key in list(self._sizes):
            self.update(key, measure(key))
        growth = int(self._max_size * RECOUNT_SHARE)
        counted = min(self._total, self._max_size)
        self._recount_above = max(self._max_size, counted + growth)

    def find_fullest(self) -> tuple[K, int] | None:
        """Return the connection that holds most, and its bytes."""
        if not self._sizes:
            return None
        return max(self._sizes.items(), key=lambda item: item[1])
