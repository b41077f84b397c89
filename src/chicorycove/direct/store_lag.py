"""Detects that peers have followed the store further than this entry."""

from .store_revision import StoreRevision


class StoreLagDetector:
    """Compares revisions of the store; times are in seconds.

    A stalled watch looks like one without changes.  A peer that is ahead for
    longer than watches usually differ shows that this entry's watch stalled.
    """

    def __init__(self, tolerance: float) -> None:
        self._tolerance = tolerance
        self._own_revision = StoreRevision()
        # First revision of a peer that this entry has not seen.
        self._first_missing: StoreRevision | None = None
        self._lagging_since = 0.0

    @property
    def revision(self) -> StoreRevision:
        """Return the newest revision that this entry has followed."""
        return self._own_revision

    def record_own_revision(self, revision: StoreRevision) -> None:
        """Record a revision that this entry has followed the store to."""
        self._own_revision = max(self._own_revision, revision)
        if (
            self._first_missing is not None
            and self._first_missing <= self._own_revision
        ):
            self._first_missing = None

    def record_peer_revision(self, revision: StoreRevision, now: float) -> bool:
        """Record a peer's revision; return whether a resync is needed."""
        if revision <= self._own_revision:
            return False
        if self._first_missing is None:
            self._first_missing = revision
            self._lagging_since = now
        if now - self._lagging_since <= self._tolerance:
            return False
        self._lagging_since = now
        return True
