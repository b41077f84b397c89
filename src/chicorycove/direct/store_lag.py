"""Whether peers have followed the store further than this entry has."""


class StoreLagDetector:
    """Compares revisions of the store; times are in seconds.

    A watch that has fallen silent looks like one with nothing to tell.  That
    a peer has seen more, for longer than watches differ, is a sign of it.
    """

    def __init__(self, patience: float) -> None:
        self._patience = patience
        self._own = 0
        self._missing: int | None = None  # the first revision not seen here
        self._since = 0.0

    @property
    def revision(self) -> int:
        """Return the newest revision that this entry has seen."""
        return self._own

    def record_own_revision(self, revision: int) -> None:
        """Note what this entry has seen."""
        self._own = max(self._own, revision)
        if self._missing is not None and self._missing <= self._own:
            self._missing = None

    def record_peer_revision(self, revision: int, now: float) -> bool:
        """Note what a peer has seen; tell whether to read the store anew."""
        if revision <= self._own:
            return False
        if self._missing is None:
            self._missing = revision
            self._since = now
        if now - self._since <= self._patience:
            return False
        self._since = now
        return True
