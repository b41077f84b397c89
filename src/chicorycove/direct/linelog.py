"""A non-blocking log of JSON lines with a bounded buffer."""

import asyncio
import contextlib
import os
import time
import typing as t

import msgspec

MAX_BUFFERED = 262_144  # bytes; above that, lines are dropped
MAX_WRITE = 4_096  # bytes that a pipe accepts atomically, so that no line is split
FLUSH_INTERVAL = 0.05  # seconds, so that many lines share one system call

_encoder = msgspec.json.Encoder()


class LineLog:
    """Writes lines to a file descriptor; dropped lines are counted."""

    def __init__(self, descriptor: int, process: str) -> None:
        self._descriptor = descriptor
        self._process = process
        self._buffer = bytearray()
        self._dropped_count = 0
        self._reported_count = 0  # dropped lines that a later line counts
        self._written_count = 0  # those of them whose later line is written
        self._scheduled = False
        os.set_blocking(descriptor, False)

    @property
    def dropped_count(self) -> int:
        """Return how many lines were dropped since the start."""
        return self._dropped_count

    def write(self, event: str, **fields: t.Any) -> None:
        """Log an event with its fields."""
        if len(self._buffer) > MAX_BUFFERED:
            self._dropped_count += 1
            return
        line = {"time": round(time.time(), 4), "process": self._process}
        if self._dropped_count > self._reported_count:
            line["dropped_before"] = self._dropped_count - self._reported_count
        line["event"] = event
        line.update(fields)
        self._buffer += _encoder.encode(line)
        self._buffer += b"\n"
        self._reported_count = self._dropped_count
        if not self._schedule():
            self.flush()

    def flush(self) -> None:
        """Write the buffered lines; what would block is written later."""
        self._scheduled = False
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._next_write())
            except BlockingIOError:
                self._schedule()
                return
            except OSError:
                # The reader is gone or the disk is full; the metrics and the
                # next line that is written count the lost lines.
                self._dropped_count += self._buffer.count(b"\n")
                self._reported_count = self._written_count
                self._buffer.clear()
                return
            del self._buffer[:written]
        self._written_count = self._reported_count

    def _next_write(self) -> bytes:
        """Return the lines that fit into an atomic write, or one long line."""
        end = self._buffer.rfind(b"\n", 0, MAX_WRITE)
        if end < 0:
            end = self._buffer.find(b"\n")
        return bytes(self._buffer[: end + 1])

    def _schedule(self) -> bool:
        """Schedule a flush; return False without a running event loop."""
        if self._scheduled:
            return True
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return False
        self._scheduled = True
        loop.call_later(FLUSH_INTERVAL, self.flush)
        return True


@contextlib.contextmanager
def log_failure(log: LineLog, event: str) -> t.Iterator[None]:
    """Log an exception with its cause instead of raising it."""
    try:
        yield
    except Exception as error:
        log.write(event, cause=repr(error))


class _FailureLogger:
    """Logs failed tasks to a ``LineLog`` through a logger's interface."""

    def __init__(self, log: LineLog) -> None:
        self._log = log

    def error(self, message: str, exc_info: BaseException) -> None:
        self._log.write(message, cause=repr(exc_info))


def create_failure_logger(log: LineLog) -> t.Any:
    """Return a logger for ``utils.Tasks`` that writes to a ``LineLog``."""
    return _FailureLogger(log)
