"""The budget of repeated attempts that all entries share."""

import collections
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BudgetSettings:
    """How many repeats a service may get in any window of time."""

    ratio: float = 0.2  # repeats for each request
    window: float = 10.0  # seconds
    extra_repeats: int = 100  # repeats beside the ratio, for all entries together
    used_share: float = 0.8  # share of the extra that is used


class _Counter:
    """Counts what has happened in a window that slides."""

    def __init__(self, window: float) -> None:
        self._window = window
        self._times: collections.deque[float] = collections.deque()

    def add(self, now: float) -> None:
        """Count one."""
        self._times.append(now)

    def count(self, now: float) -> int:
        """Return how many there were in the window that ends now."""
        while self._times and self._times[0] <= now - self._window:
            self._times.popleft()
        return len(self._times)


class SharedRetryBudget:
    """Allows repeats to a service within this entry's share of its budget.

    Each entry takes an equal share of the extra and the ratio of its own
    requests, so that all shares together keep to the budget with no message
    between entries.
    """

    def __init__(self, settings: BudgetSettings) -> None:
        self._settings = settings
        self._requests: dict[str, _Counter] = {}
        self._repeats: dict[str, _Counter] = {}

    def count_request(self, service: str, now: float) -> None:
        """Count a caller's request."""
        self._counter(self._requests, service).add(now)

    def available(self, service: str, entries: int, now: float) -> float:
        """Return how many repeats this entry may send now."""
        settings = self._settings
        requests = self._counter(self._requests, service).count(now)
        repeats = self._counter(self._repeats, service).count(now)
        extra = settings.extra_repeats * settings.used_share / max(entries, 1)
        return settings.ratio * requests * settings.used_share + extra - repeats

    def consume(self, service: str, entries: int, now: float) -> bool:
        """Use one repeat up, or return False if none is left."""
        if self.available(service, entries, now) < 1:
            return False
        self._counter(self._repeats, service).add(now)
        return True

    def _counter(self, counters: dict[str, _Counter], service: str) -> _Counter:
        if service not in counters:
            counters[service] = _Counter(self._settings.window)
        return counters[service]
