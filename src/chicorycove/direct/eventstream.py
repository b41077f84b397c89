"""Cuts a stream of server-sent events where an event ends."""

import dataclasses

SEPARATOR = b"\n\n"
ID_FIELD = b"id:"


@dataclasses.dataclass(frozen=True, slots=True)
class EventBatch:
    """Whole events, how many they are, and the id of the last."""

    data: bytes
    count: int
    last_id: int | None


class EventBuffer:
    """Holds back the event that has not come whole yet.

    What a second run repeats of the first, up to the last event that was
    passed on, is left out.
    """

    def __init__(self, after: int | None) -> None:
        self._after = after
        self._waiting = b""

    @property
    def has_partial_event(self) -> bool:
        """Tell whether part of an event is held back."""
        return bool(self._waiting.strip())

    def feed(self, data: bytes) -> EventBatch | None:
        """Take bytes, and return the events that they complete, if any."""
        self._waiting += data
        end = self._waiting.rfind(SEPARATOR)
        if end < 0:
            return None
        whole = self._waiting[: end + len(SEPARATOR)]
        self._waiting = self._waiting[end + len(SEPARATOR) :]
        if self._after is not None:
            whole = self._skip(whole)
        if not whole:
            return None
        return EventBatch(whole, whole.count(SEPARATOR), last_id(whole))

    def _skip(self, whole: bytes) -> bytes:
        events = whole.split(SEPARATOR)[:-1]
        fresh = [event for event in events if not self._is_known(event)]
        return b"".join(event + SEPARATOR for event in fresh)

    def _is_known(self, event: bytes) -> bool:
        number = last_id(event)
        return number is not None and number <= self._after


def last_id(data: bytes) -> int | None:
    """Return the last id among events, if it is a whole number."""
    start = data.rfind(b"\n" + ID_FIELD)
    if start >= 0:
        start += 1
    elif data.startswith(ID_FIELD):
        start = 0
    else:
        return None
    end = data.find(b"\n", start)
    text = data[start + len(ID_FIELD) : end if end >= 0 else len(data)].strip()
    return int(text) if text.isdigit() else None
