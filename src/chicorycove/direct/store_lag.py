"""Whether peers have followed the store further than this entry has."""


class StoreLagDetector:
    """Compares revisions of the store; times are in seconds.

    A watch that has fallen silent looks like one with nothing to tell.  That
    a peer has seen more, for longer than watches differ, is a sign of it.
    """

    def __init__(self, tolerance: float) -> None:
        self._tolerance = tolerance
        self._own_revision = 0
        self._first_missing: int | None = None  # the first revision not seen here
        self._lagging_since = 0.0

    @property
    def revision(self) -> int:
        """Return the newest revision that this entry has seen."""
        return self._own_revision

    def record_own_revision(self, revision: int) -> None:
        """Note what this entry has seen."""
        self._own_revision = max(self._own_revision, revision)
        if (
            self._first_missing is not None
            and self._first_missing <= self._own_revision
        ):
            self._first_missing = None

    def record_peer_revision(self, revision: int, now: float) -> bool:
        """Note what a peer has seen; tell whether to read the store anew."""
        if revision <= self._own_revision:
            return False
        if self._first_missing is None:
            self._first_missing = revision
            self._lagging_since = now
        if now - self._lagging_since <= self._tolerance:
            return False
        self._lagging_since = now
        return True
