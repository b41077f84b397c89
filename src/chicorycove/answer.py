"""An attempt's answer as an agent keeps it, to be sent from any offset."""

from .wire import link_pb2 as wire


class AnswerBuffer:
    """Buffers an answer's head, body and end; offsets are in bytes."""

    def __init__(self, attempt: str) -> None:
        self._attempt = attempt
        self._head: wire.AgentFrame | None = None
        self._data = bytearray()
        self._sent_size = 0
        self._end: wire.AgentFrame | None = None

    @property
    def attempt(self) -> str:
        """Return the attempt's id as text."""
        return self._attempt

    @property
    def size(self) -> int:
        """Return the size of the body so far, in bytes."""
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
        """Return the frame that ends the answer, or None before its end."""
        return self._end

    @end.setter
    def end(self, frame: wire.AgentFrame) -> None:
        self._end = frame

    def append(self, data: bytes) -> None:
        """Append bytes of the body."""
        self._data += data

    def tail(self, size: int) -> bytes:
        """Return the last bytes of the body, at most a given number."""
        return bytes(self._data[-size:])

    def body(self) -> bytes:
        """Return the body so far."""
        return bytes(self._data)

    def rewind(self, offset: int) -> None:
        """Start the next chunk at an offset."""
        self._sent_size = min(offset, len(self._data))

    def next_chunk(self) -> wire.AgentFrame | None:
        """Return a chunk with all bytes not sent yet, or None if all are."""
        if self._sent_size == len(self._data):
            return None
        chunk = wire.Chunk(
            attempt=self._attempt,
            offset=self._sent_size,
            data=bytes(memoryview(self._data)[self._sent_size :]),
        )
        self._sent_size = len(self._data)
        return wire.AgentFrame(chunk=chunk)
