"""A log of JSON lines that never blocks and never grows without bound."""

import asyncio
import os
import time
import typing as t

import msgspec

MAX_BUFFERED = 262_144  # bytes that wait for a reader; later lines are dropped
MAX_WRITE = 4_096  # bytes that a pipe takes whole, so that no line is cut in two
FLUSH_INTERVAL = 0.05  # seconds, so that many lines share a system call

_encoder = msgspec.json.Encoder()


class LineLog:
    """Writes lines to a file descriptor; what does not fit is counted."""

    def __init__(self, descriptor: int, process: str) -> None:
        self._descriptor = descriptor
        self._process = process
        self._buffer = bytearray()
        self._dropped = 0
        self._scheduled = False
        os.set_blocking(descriptor, False)

    def write(self, event: str, **fields: t.Any) -> None:
        """Log an event with what it was decided from."""
        if len(self._buffer) > MAX_BUFFERED:
            self._dropped += 1
            return
        line = {"time": round(time.time(), 4), "process": self._process}
        if self._dropped:
            line["dropped_before"] = self._dropped
            self._dropped = 0
        line["event"] = event
        line.update(fields)
        self._buffer += _encoder.encode(line)
        self._buffer += b"\n"
        if not self._schedule():
            self.flush()

    def flush(self) -> None:
        """Write what can be written now, and the rest later."""
        self._scheduled = False
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._next_write())
            except BlockingIOError:
                self._schedule()
                return
            except OSError:
                # Nobody reads any more, and there is nowhere else to say so.
                self._buffer.clear()
                return
            del self._buffer[:written]

    def _next_write(self) -> bytes:
        """Return the lines that fit in one piece, or else one line."""
        end = self._buffer.rfind(b"\n", 0, MAX_WRITE)
        if end < 0:
            end = self._buffer.find(b"\n")
        return bytes(self._buffer[: end + 1])

    def _schedule(self) -> bool:
        """Have the rest written soon; without a loop there is no later."""
        if self._scheduled:
            return True
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return False
        self._scheduled = True
        loop.call_later(FLUSH_INTERVAL, self.flush)
        return True
