"""The retry budget that all entries share."""

import collections
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BudgetSettings:
    """Limits on the retries to a service in any window of time."""

    ratio: float = 0.2  # retries per request
    window: float = 10.0  # seconds
    extra_retries: int = 100  # retries of all entries beyond the ratio
    used_share: float = 0.8  # share of the budget that entries use


class _WindowCounter:
    """Counts events in a sliding window."""

    def __init__(self, window: float) -> None:
        self._window = window
        self._times: collections.deque[float] = collections.deque()

    def add(self, now: float) -> None:
        """Count an event."""
        self._times.append(now)

    def count(self, now: float) -> int:
        """Return the number of events in the window that ends now."""
        while self._times and self._times[0] <= now - self._window:
            self._times.popleft()
        return len(self._times)


class SharedRetryBudget:
    """Allows retries to a service within this entry's share of its budget.

    Each entry uses an equal share of the extra retries and the ratio of its
    own requests, so that all entries together stay within the budget without
    messages between them.  An entry that does not know the number of entries
    uses no extra retries: all of them may have started just now.
    """

    def __init__(self, settings: BudgetSettings) -> None:
        self._settings = settings
        self._requests: dict[str, _WindowCounter] = {}
        self._retries: dict[str, _WindowCounter] = {}

    def count_request(self, service: str, now: float) -> None:
        """Count a caller's request."""
        self._get_counter(self._requests, service).add(now)

    def available(self, service: str, entry_count: int | None, now: float) -> float:
        """Return how many retries this entry may send now."""
        settings = self._settings
        requests = self._get_counter(self._requests, service).count(now)
        retries = self._get_counter(self._retries, service).count(now)
        extra = 0.0
        if entry_count is not None:
            extra = settings.extra_retries * settings.used_share / entry_count
        return settings.ratio * requests * settings.used_share + extra - retries

    def consume(self, service: str, entry_count: int | None, now: float) -> bool:
        """Consume a retry, or return False if none is left."""
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
