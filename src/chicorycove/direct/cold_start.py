"""Holds requests that come before the first deployment is known.

The load it answers: all entries restart while the store is away, and callers
who are refused meanwhile spend their few tries before it has returned.
"""

import dataclasses
import typing as t

K = t.TypeVar("K", bound=t.Hashable)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ColdStartSettings:
    """Bounds of held requests; times are in seconds."""

    max_requests: int = 256
    max_size: int = 16_777_216  # bytes of the bodies of all held requests
    answer_time: float = 0.15  # time that is left for the answer
    default_time_limit: float = 1.0  # of a request whose caller names none
    release_interval: float = 0.002  # between requests, once they are let in
    # Bounds of the time for which the deployment has been awaited: callers who
    # are not held are told to return after it, or up to twice that.
    min_retry_after: float = 0.3
    max_retry_after: float = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class _HeldRequest:
    size: int
    hold_until: float


class HeldRequests(t.Generic[K]):
    """Decides which requests are held, how long, and who is next."""

    def __init__(self, settings: ColdStartSettings, started_at: float) -> None:
        self._settings = settings
        self._started_at = started_at
        self._requests: dict[K, _HeldRequest] = {}
        self._size = 0

    def __len__(self) -> int:
        return len(self._requests)

    def hold(
        self,
        key: K,
        size: int,
        received_at: float,
        time_limit: float | None,
        now: float,
    ) -> float | None:
        """Hold a request; return until when, or None if it cannot be held.

        Its size is in bytes.
        """
        settings = self._settings
        if time_limit is None:
            time_limit = settings.default_time_limit
        hold_until = received_at + time_limit - settings.answer_time
        if (
            hold_until <= now
            or len(self._requests) >= settings.max_requests
            or self._size + size > settings.max_size
        ):
            return None
        self._requests[key] = _HeldRequest(size, hold_until)
        self._size += size
        return hold_until

    def remove(self, key: K) -> bool:
        """Stop holding a request; return whether it was held."""
        request = self._requests.pop(key, None)
        if request is None:
            return False
        self._size -= request.size
        return True

    def take_next(self) -> K | None:
        """Return the request that is due first, and hold it no longer."""
        if not self._requests:
            return None
        key = min(self._requests, key=lambda key: self._requests[key].hold_until)
        self.remove(key)
        return key

    def retry_after(self, draw: float, now: float) -> float:
        """Return the seconds until a refused caller should return.

        A draw from [0, 1) spreads those who are refused together.
        """
        settings = self._settings
        awaited = max(now - self._started_at, settings.min_retry_after)
        return min(awaited, settings.max_retry_after) * (1.0 + draw)
