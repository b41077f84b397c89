"""The HTTP server side: reads requests and sends answers in their order."""

import asyncio
import collections
import dataclasses
import typing as t

import httptools

from ..reason import Reason
from .http import (
    HEADER_OVERHEAD,
    REQUEST_OVERHEAD,
    Headers,
    HttpRequest,
    WindowMonitor,
    allow_closed_window,
    enable_keepalive,
)
from .route import CallerLimits
from .target_connection import TargetConnection

MAX_PIPELINED = 8  # requests buffered behind the one in flight
WRITE_HIGH_WATER = 65_536  # unsent bytes above which the target is not read
MAX_JOINED_SIZE = 65_536  # bytes of a body that is copied to follow its head at once

REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


@dataclasses.dataclass(frozen=True, slots=True)
class _Refusal:
    status: int
    headers: tuple[tuple[bytes, bytes], ...]


class CallerHandler(t.Protocol):
    """Handles the requests and events of callers' connections."""

    @property
    def limits(self) -> CallerLimits:
        """Return the current limits on callers."""

    def request_received(
        self, connection: "CallerConnection", request: HttpRequest
    ) -> None:
        """Answer a complete request."""

    def request_rejected(
        self, connection: "CallerConnection", status: int, reason: Reason
    ) -> None:
        """Handle a request that was refused before it was complete."""

    def backpressure_changed(
        self, connection: "CallerConnection", blocked: bool
    ) -> None:
        """Handle a write buffer that is full, or has been drained."""

    def buffers_changed(self, connection: "CallerConnection") -> None:
        """Handle a change of the bytes that are held for a connection."""

    def caller_disconnected(self, connection: "CallerConnection") -> None:
        """Handle a connection that closed before its request was answered."""

    def connection_opened(self, connection: "CallerConnection") -> None:
        """Handle a new connection."""

    def connection_closed(self, connection: "CallerConnection") -> None:
        """Handle the end of a connection."""


class CallerConnection(asyncio.Protocol):
    """A caller's connection, which answers one request at a time."""

    def __init__(self, handler: CallerHandler) -> None:
        self._handler = handler
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._window: WindowMonitor | None = None
        self._pending: collections.deque[HttpRequest] = collections.deque()
        self._pending_size = 0  # bytes
        self._current: HttpRequest | None = None
        self._refused = False
        # Sent after the answers to earlier requests.
        self._unsent_refusal: _Refusal | None = None
        self._writing_paused = False
        self._parsed_any = False  # a callback was called for the newest input
        self._unparsed_size = 0  # bytes of input since the last callback
        self._reset()
        # Requests that were read in full are answered before the close.
        self.close_after_answer = False
        self._close_announced = False
        self.relay_source: TargetConnection | None = None  # paused while writes block
        self.last_active_at = self._loop.time()

    def _reset(self) -> None:
        self._url = b""
        self._headers: Headers = []
        self._header_bytes = 0
        # One buffer: a list of the small parts that a caller may send takes up
        # many times their size.
        self._body = bytearray()
        self._started_at: float | None = None
        self._head_complete = False

    @property
    def awaiting_request(self) -> bool:
        """Return whether no request is in flight."""
        return self._current is None

    @property
    def reading_request(self) -> bool:
        """Return whether a request was read in part, and none is in flight."""
        return self._started_at is not None and self._current is None

    @property
    def head_started_at(self) -> float | None:
        """Return the loop time at which an incomplete request head began."""
        return None if self._head_complete else self._started_at

    @property
    def address(self) -> str:
        """Return the caller's address, or "" once it has disconnected."""
        name = self._transport and self._transport.get_extra_info("peername")
        return "{}:{}".format(*name[:2]) if name else ""

    @property
    def request_size(self) -> int:
        """Return the bytes held of requests, complete or not."""
        size = self._pending_size + len(self._body) + self._unparsed_size
        size += self._header_bytes + HEADER_OVERHEAD * len(self._headers)
        return size + self._current.held_size if self._current is not None else size

    @property
    def unsent_size(self) -> int:
        """Return the bytes of answers that are still to be sent."""
        return self._transport.get_write_buffer_size() if self._transport else 0

    @property
    def has_incomplete_request(self) -> bool:
        """Return whether a request has been received in part."""
        return self._started_at is not None

    # Called by asyncio

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_HIGH_WATER)
        enable_keepalive(transport)
        self._window = WindowMonitor(transport)
        self._handler.connection_opened(self)

    def data_received(self, data: bytes) -> None:
        self.last_active_at = self._loop.time()
        if self._refused:
            return
        if self._started_at is None:
            self._started_at = self.last_active_at
        self._parsed_any = False
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.refuse(400)
        except httptools.HttpParserError:
            if not self._refused:
                self.refuse(400)
        self._check_unparsed(len(data))
        self._handler.buffers_changed(self)

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, error: Exception | None) -> None:
        if error is None and self._transport is not None:
            allow_closed_window(self._transport)
        self._transport = None
        if self._current is not None:
            self._handler.caller_disconnected(self)
        self._current = None
        self.drop_following()
        self._handler.connection_closed(self)

    def pause_writing(self) -> None:
        self._writing_paused = True
        if self.relay_source is not None:
            self.relay_source.pause()
            self._handler.backpressure_changed(self, True)

    def resume_writing(self) -> None:
        self._writing_paused = False
        if self.relay_source is not None:
            self.relay_source.resume()
            self._handler.backpressure_changed(self, False)

    # Called by httptools

    def on_message_begin(self) -> None:
        self._parsed_any = True
        started_at = self._started_at
        self._reset()
        self._started_at = started_at or self._loop.time()

    def on_url(self, url: bytes) -> None:
        self._parsed_any = True
        self._url += url
        self._count_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._parsed_any = True
        if self._refused:
            return
        self._headers.append((name, value))
        self._count_header_bytes(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        self._parsed_any = True
        self._head_complete = True
        for name, value in self._headers:
            if name.lower() == b"expect" and value.lower() == b"100-continue":
                self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        self._parsed_any = True
        if self._refused:
            return
        if len(self._body) + len(body) > self._handler.limits.body_bytes:
            self.refuse(413, Reason.BODY_TOO_LARGE)
            return
        self._body += body

    def on_message_complete(self) -> None:
        self._parsed_any = True
        if self._refused:
            return
        request = HttpRequest(
            self._parser.get_method(),
            self._url,
            self._headers,
            bytes(self._body),
            self._loop.time(),
            self._parser.should_keep_alive(),
            self._header_bytes
            + HEADER_OVERHEAD * len(self._headers)
            + len(self._body)
            + REQUEST_OVERHEAD,
        )
        self._reset()
        self._pending.append(request)
        self._pending_size += request.held_size
        if self._current is None:
            self._handle_next()
        elif len(self._pending) >= MAX_PIPELINED and self._transport is not None:
            self._transport.pause_reading()

    def _count_header_bytes(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self._handler.limits.header_bytes:
            self.refuse(431)

    def _check_unparsed(self, size: int) -> None:
        """Refuse a header, or what separates chunks, that has no end.

        The parser keeps a header until it is complete.
        """
        self._unparsed_size = 0 if self._parsed_any else self._unparsed_size + size
        if self._unparsed_size > self._handler.limits.header_bytes:
            self.refuse(431)

    def _handle_next(self) -> None:
        if self._pending and self._transport is not None:
            self._current = self._pending.popleft()
            self._pending_size -= self._current.held_size
            if not self._transport.is_closing():
                self._transport.resume_reading()
            self._handler.request_received(self, self._current)
        elif self._unsent_refusal is not None:
            refusal, self._unsent_refusal = self._unsent_refusal, None
            self.close_after_answer = True
            self.send_answer(refusal.status, list(refusal.headers), b"")

    # Called by the handler

    def refuse(
        self,
        status: int,
        reason: Reason = Reason.BAD_REQUEST,
        headers: t.Iterable[tuple[bytes, bytes]] = (),
    ) -> None:
        """Refuse the incomplete request and ignore all further input."""
        if self._refused:
            return
        self._ignore_input()
        self._handler.request_rejected(self, status, reason)
        self._unsent_refusal = _Refusal(status, tuple(headers))
        if self._current is None:
            self._handle_next()

    def drop_following(self) -> int:
        """Drop what follows the request in flight; its answer is the last.

        Return the number of requests dropped, an incomplete one included.
        """
        count = len(self._pending) + self.has_incomplete_request
        self._pending.clear()
        self._pending_size = 0
        self._ignore_input()
        self.close_after_answer = True
        return count

    def relay_from(self, source: TargetConnection) -> None:
        """Read the answer of a target only while writes do not block.

        They may block already: on the previous target's part of a resumed
        answer, or on earlier answers of this connection.
        """
        self.relay_source = source
        if self._writing_paused:
            source.pause()
            self._handler.backpressure_changed(self, True)

    def awaits_answer_to(self, request: HttpRequest) -> bool:
        """Return whether a request is in flight, and not answered yet."""
        return self._current is request

    def send_answer(
        self, status: int, headers: Headers, body: bytes | bytearray
    ) -> None:
        """Send a complete answer."""
        length_header = [(b"Content-Length", b"%d" % len(body))]
        head = self._format_head(status, headers + length_header)
        if len(body) > MAX_JOINED_SIZE:
            self.write(head)
            self.write(memoryview(body))
        else:
            self.write(head + body)
        self.finish_answer()

    def start_chunked(self, status: int, headers: Headers) -> None:
        """Send the head of an answer with chunked transfer encoding."""
        encoding_header = [(b"Transfer-Encoding", b"chunked")]
        self.write(self._format_head(status, headers + encoding_header))

    def send_chunk(self, data: bytes) -> None:
        """Send a chunk of an answer."""
        self.write(b"%x\r\n%b\r\n" % (len(data), data))

    def end_chunked(self) -> None:
        """End an answer with chunked transfer encoding."""
        self.write(b"0\r\n\r\n")
        self.finish_answer()

    def finish_answer(self) -> None:
        """Handle the next request after an answer, or close."""
        self._current = None
        self.relay_source = None
        self.last_active_at = self._loop.time()
        if self._close_announced or (self.close_after_answer and not self._pending):
            self.close()
        else:
            self._handle_next()

    def abort(self) -> None:
        """Close immediately, so that a partial answer shows as truncated."""
        self._current = None
        self.relay_source = None
        self.drop_following()
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Close after all buffered bytes are sent."""
        self._current = None
        if self._transport is not None:
            self._transport.close()

    def write(self, data: bytes | memoryview) -> None:
        """Send bytes."""
        if self._transport is not None:
            self._transport.write(data)
            self._window.count_written(len(data))

    def _ignore_input(self) -> None:
        self._refused = True
        self._unparsed_size = 0
        self._reset()

    def _format_head(self, status: int, headers: Headers) -> bytes:
        request = self._current
        self._close_announced = (self.close_after_answer and not self._pending) or (
            request is not None and not request.keep_alive
        )
        lines = [b"HTTP/1.1 %d %b" % (status, REASON_PHRASES.get(status, b"Status"))]
        lines += [b"%b: %b" % header for header in headers]
        if self._close_announced:
            lines.append(b"Connection: close")
        return b"\r\n".join(lines) + b"\r\n\r\n"
