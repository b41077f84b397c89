"""Decides from failed calls whether the platform's store is unavailable."""

# Seconds for which the store must owe an answer.  It is longer than a call
# waits, so that a single call that was given up proves nothing.
LOSS_TOLERANCE = 1.2


class StoreLossDetector:
    """Collects failed calls until the store answers; times are in seconds.

    A call may fail because of this entry's link or of one connection, and the
    store may have served all others.
    """

    def __init__(self) -> None:
        self._failing_since: float | None = None

    def record_answer(self) -> None:
        """Record that the store, or a watcher of it, was heard."""
        self._failing_since = None

    def record_failure(self, silence: float, now: float) -> bool:
        """Record a failed call; return whether the store is unavailable.

        The silence is the time for which the call's answer was due.
        """
        if self._failing_since is None:
            self._failing_since = now - silence
        return now - self._failing_since >= LOSS_TOLERANCE
