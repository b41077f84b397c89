"""An attempt's answer as an agent holds it, to be sent from any offset."""

from .wire import link_pb2 as wire


class AnswerBuffer:
    """Holds an answer's head, body and end; offsets are in bytes."""

    def __init__(self, attempt: str) -> None:
        self._attempt = attempt
        self._head: wire.AgentFrame | None = None
        self._data = bytearray()
        self._sent = 0
        self._end: wire.AgentFrame | None = None

    @property
    def attempt(self) -> str:
        """Return the attempt's id as a text."""
        return self._attempt

    @property
    def size(self) -> int:
        """Return the bytes of body that have come."""
        return len(self._data)

    @property
    def head(self) -> wire.AgentFrame | None:
        """Return the frame that carries status and headers."""
        return self._head

    @head.setter
    def head(self, frame: wire.AgentFrame) -> None:
        self._head = frame

    @property
    def end(self) -> wire.AgentFrame | None:
        """Return the frame that ends the answer, if it has ended."""
        return self._end

    @end.setter
    def end(self, frame: wire.AgentFrame) -> None:
        self._end = frame

    def append(self, data: bytes) -> None:
        """Add bytes of the body."""
        self._data += data

    def tail(self, size: int) -> bytes:
        """Return the last bytes of the body."""
        return bytes(self._data[-size:])

    def body(self) -> bytes:
        """Return the bytes of body that have come."""
        return bytes(self._data)

    def rewind(self, offset: int) -> None:
        """Have the body sent again from an offset."""
        self._sent = min(offset, len(self._data))

    def next_chunk(self) -> wire.AgentFrame | None:
        """Return a chunk of all that was not sent yet, if there is any."""
        if self._sent == len(self._data):
            return None
        chunk = wire.Chunk(
            attempt=self._attempt,
            offset=self._sent,
            data=bytes(memoryview(self._data)[self._sent :]),
        )
        self._sent = len(self._data)
        return wire.AgentFrame(chunk=chunk)
