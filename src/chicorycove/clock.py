"""The clock of a process: seconds since the epoch that never go back."""

import time


class Clock:
    """Counts on from the wall clock's time at the start of the process."""

    def __init__(self) -> None:
        self._offset = time.time() - time.monotonic()

    def now(self) -> float:
        """Return the time in seconds since the epoch."""
        return self._offset + time.monotonic()
