"""The budget of repeated attempts that all entries share."""

import collections
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BudgetSettings:
    """How many repeats a service may get in any window of time."""

    ratio: float = 0.2  # repeats for each request
    window: float = 10.0  # seconds
    extra_retries: int = 100  # repeats beside the ratio, for all entries together
    used_share: float = 0.8  # share of the extra that is used


class _WindowCounter:
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
        self._requests: dict[str, _WindowCounter] = {}
        self._retries: dict[str, _WindowCounter] = {}

    def count_request(self, service: str, now: float) -> None:
        """Count a caller's request."""
        self._get_counter(self._requests, service).add(now)

    def available(self, service: str, entry_count: int, now: float) -> float:
        """Return how many repeats this entry may send now."""
        settings = self._settings
        requests = self._get_counter(self._requests, service).count(now)
        retries = self._get_counter(self._retries, service).count(now)
        extra = settings.extra_retries * settings.used_share / max(entry_count, 1)
        return settings.ratio * requests * settings.used_share + extra - retries

    def consume(self, service: str, entry_count: int, now: float) -> bool:
        """Use one repeat up, or return False if none is left."""
        if self.available(service, entry_count, now) < 1:
            return False
        self._get_counter(self._retries, service).add(now)
        return True

    def _get_counter(
        self, counters: dict[str, _WindowCounter], service: str
    ) -> _WindowCounter:
        if service not in counters:
            counters[service] = _WindowCounter(self._settings.window)
        return counters[service]
