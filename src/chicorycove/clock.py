"""Provides a clock that never goes backwards."""

import time


def monotonic_time() -> float:
    """Return seconds since the host started, also those while suspended.

    The system's monotonic clock stands still meanwhile, but leases at the
    store and at targets do not.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Clock:
    """A monotonic clock, set to the wall clock's time when created.

    It goes on while the host is suspended, as the leases of the store do.
    """

    def __init__(self) -> None:
        self._offset = time.time() - monotonic_time()

    def now(self) -> float:
        """Return the time in seconds since the epoch."""
        return self._offset + monotonic_time()
