"""Decides whether a peer that takes no bytes at present is still there."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class SendState:
    """What TCP knows of the sending side of a connection."""

    pending: bool  # bytes are to be sent or acknowledged
    window_closed: bool  # bytes are to be sent, and the peer takes none
    probes: int  # sent to a closed window, and not acknowledged


class ClosedWindowTimer:
    """Times for how long a peer has acknowledged no window probe."""

    def __init__(self, timeout: float) -> None:
        """Set the time, in seconds, after which the peer is gone."""
        self._timeout = timeout
        self._unanswered_since: float | None = None

    def has_expired(self, state: SendState, now: float) -> bool:
        """Record a state; return whether the peer is gone."""
        if not state.window_closed or not state.probes:
            self._unanswered_since = None
            return False
        if self._unanswered_since is None:
            self._unanswered_since = now
        return now - self._unanswered_since >= self._timeout
