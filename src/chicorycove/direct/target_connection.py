"""The HTTP client side: one connection to a target for each request."""

import asyncio
import typing as t

import httptools

from ..status import FINAL_STATUSES, INTERIM_STATUSES
from .http import Headers, WindowMonitor, enable_keepalive

MAX_HEAD_SIZE = 65_536  # bytes of an answer's head, and of interim answers
MAX_SKIPPED_SIZE = 8_388_608  # bytes of answers that belong to no request
# Seconds for which an answer to a cancelled request is read, as it may be on
# its way.  A target that has not noticed the end by then works in vain.
LATE_ANSWER_TIME = 0.2
MAX_CANCELLED_CONNECTIONS = 64


class AnswerListener(t.Protocol):
    """Receives the answer that comes over a connection to a target."""

    def connection_opened(self) -> None:
        """Handle an opened connection."""

    def head_received(self, status: int, headers: Headers) -> bool:
        """Handle the head of an answer; return False to skip this answer."""

    def body_received(self, data: bytes) -> None:
        """Handle a part of the body."""

    def answer_completed(self, self_delimited: bool) -> None:
        """Handle the end of an answer.

        An answer that is not self-delimited has no length and ends with its
        connection.
        """

    def answer_too_large(self) -> None:
        """Handle an answer that has no end, or none within its bounds."""

    def connection_lost(self, connected: bool) -> None:
        """Handle the end of a connection before the answer was complete."""


class TargetConnection(asyncio.Protocol):
    """A connection to a target that is used for one request."""

    def __init__(self, listener: AnswerListener) -> None:
        self._listener = listener
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._sent = False
        self._done = False
        self._head_received = False
        self._self_delimited = False
        self._head_size = 0  # bytes until the head is complete, less the skipped
        self._skipped_size = 0  # bytes of the bodies of skipped answers
        self._reset()

    def _reset(self) -> None:
        self._headers: Headers = []
        self._message_skipped = False
        self._self_delimited = False

    @property
    def sent(self) -> bool:
        """Return whether the target may have received any of the request."""
        return self._sent

    @property
    def unsent_size(self) -> int:
        """Return the bytes of the request that are still to be sent."""
        return self._transport.get_write_buffer_size() if self._transport else 0

    @property
    def head_size(self) -> int:
        """Return the bytes read of an incomplete head."""
        return 0 if self._head_received else self._head_size

    # Called by asyncio

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        if self._done:
            transport.abort()
            return
        enable_keepalive(transport)
        self._listener.connection_opened()

    def data_received(self, data: bytes) -> None:
        if self._done:
            return
        skipped_before = self._skipped_size
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._fail()
            return
        self._check_size(len(data) - (self._skipped_size - skipped_before))

    def eof_received(self) -> bool:
        if not self._done and self._head_received and not self._self_delimited:
            self._done = True
            self._listener.answer_completed(False)
        return False

    def connection_lost(self, error: Exception | None) -> None:
        self._transport = None
        self._fail()

    # Called by httptools

    def on_message_begin(self) -> None:
        self._reset()

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        status = self._parser.get_status_code()
        if self._done or status in INTERIM_STATUSES:
            self._message_skipped = True
            return
        if status not in FINAL_STATUSES:
            self._message_skipped = True
            self._fail()
            return
        names = {name.lower() for name, _ in self._headers}
        self._self_delimited = (
            bool(names & {b"content-length", b"transfer-encoding"}) or status == 204
        )
        self._message_skipped = not self._listener.head_received(status, self._headers)
        self._head_received = not self._message_skipped

    def on_body(self, body: bytes) -> None:
        if self._message_skipped:
            self._skipped_size += len(body)
        elif not self._done:
            self._listener.body_received(body)

    def on_message_complete(self) -> None:
        if self._message_skipped or self._done:
            return
        self._done = True
        self._listener.answer_completed(True)
        self.abort()

    # Called by the attempt

    def send(self, data: bytes) -> None:
        """Send bytes."""
        if self._transport is not None:
            self._sent = True
            self._transport.write(data)
            WindowMonitor(self._transport).count_written(len(data))

    def pause(self) -> None:
        """Pause reading."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.pause_reading()

    def resume(self) -> None:
        """Resume reading."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def end_request(self) -> bool:
        """Close for sending; return whether an answer may still be read.

        A request that is not completely sent has no answer.
        """
        transport = self._transport
        if self._done or transport is None or transport.is_closing():
            return False
        if transport.get_write_buffer_size():
            return False
        try:
            transport.write_eof()
        except OSError:  # the target has reset the connection
            return False
        return True

    def abort(self) -> None:
        """Close immediately, without notice to the listener."""
        self._done = True
        if self._transport is not None:
            self._transport.abort()

    def _check_size(self, added_head_size: int) -> None:
        """Give up an answer whose head, or what precedes it, has no end."""
        if self._done or self._head_received:
            return
        self._head_size += added_head_size
        if self._head_size > MAX_HEAD_SIZE or self._skipped_size > MAX_SKIPPED_SIZE:
            self._done = True
            self._listener.answer_too_large()
            if self._transport is not None:
                self._transport.abort()

    def _fail(self) -> None:
        if self._done:
            return
        self._done = True
        self._listener.connection_lost(True)
        if self._transport is not None:
            self._transport.abort()


class CancelledConnections:
    """Connections whose requests are cancelled, open for a late answer.

    Its head still says what the target takes.
    """

    def __init__(self) -> None:
        self._connections: set[TargetConnection] = set()
        self._loop = asyncio.get_running_loop()

    def add(self, connection: TargetConnection) -> None:
        """Close a connection for sending at once, and soon altogether."""
        full = len(self._connections) >= MAX_CANCELLED_CONNECTIONS
        if full or not connection.end_request():
            connection.abort()
            return
        self._connections.add(connection)
        self._loop.call_later(LATE_ANSWER_TIME, self._close, connection)

    def _close(self, connection: TargetConnection) -> None:
        self._connections.discard(connection)
        connection.abort()
