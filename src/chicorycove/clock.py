"""Provides a clock that never goes backwards."""

import time


class Clock:
    """A monotonic clock, set to the wall clock's time when created."""

    def __init__(self) -> None:
        self._offset = time.time() - time.monotonic()

    def now(self) -> float:
        """Return the time in seconds since the epoch."""
        return self._offset + time.monotonic()
