"""Splits a stream of server-sent events after complete events."""

import dataclasses

SEPARATOR = b"\n\n"
ID_FIELD = b"id:"
MAX_ID_DIGITS = 18  # Python converts no more than 4300 digits to an integer
EVENT_FIELDS = (b"data", ID_FIELD)  # "data" may stand without a colon


@dataclasses.dataclass(frozen=True, slots=True)
class EventBatch:
    """Complete events, their count and the id of the last one.

    Comments between events are part of the data and count as no event, so
    that a target that sends nothing else makes no progress.
    """

    data: bytes
    count: int
    last_id: int | None


class EventBuffer:
    """Buffers a stream and returns complete events only.

    An attempt that resumes a stream may repeat events of the previous one:
    those up to the last event that was relayed are left out.
    """

    def __init__(self, after: int | None) -> None:
        self._after_id = after
        self._pending = b""

    @property
    def has_partial_event(self) -> bool:
        """Return whether an incomplete event is buffered."""
        return bool(self._pending.strip())

    @property
    def pending_size(self) -> int:
        """Return the bytes of the incomplete event."""
        return len(self._pending)

    def feed(self, data: bytes) -> EventBatch | None:
        """Add bytes and return the events that they complete, if any."""
        self._pending += data
        end = self._pending.rfind(SEPARATOR)
        if end < 0:
            return None
        complete = self._pending[: end + len(SEPARATOR)]
        self._pending = self._pending[end + len(SEPARATOR) :]
        if self._after_id is not None:
            complete = self._remove_relayed(complete)
        if not complete:
            return None
        count = sum(map(_is_event, complete.split(SEPARATOR)))
        return EventBatch(complete, count, find_last_id(complete))

    def _remove_relayed(self, complete: bytes) -> bytes:
        events = complete.split(SEPARATOR)[:-1]
        new_events = [event for event in events if not self._was_relayed(event)]
        return b"".join(event + SEPARATOR for event in new_events)

    def _was_relayed(self, event: bytes) -> bool:
        event_id = find_last_id(event)
        return event_id is not None and event_id <= self._after_id


def _is_event(text: bytes) -> bool:
    """Return whether the text between two separators has data or an id."""
    return text.startswith(EVENT_FIELDS) or any(
        b"\n" + field in text for field in EVENT_FIELDS
    )


def find_last_id(data: bytes) -> int | None:
    """Return the last id among events, or None if it is no integer."""
    start = data.rfind(b"\n" + ID_FIELD)
    if start >= 0:
        start += 1
    elif data.startswith(ID_FIELD):
        start = 0
    else:
        return None
    end = data.find(b"\n", start)
    text = data[start + len(ID_FIELD) : end if end >= 0 else len(data)].strip()
    return int(text) if text.isdigit() and len(text) <= MAX_ID_DIGITS else None
