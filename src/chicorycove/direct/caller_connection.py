"""The HTTP server side: reads requests and sends answers in their order."""

import asyncio
import collections
import typing as t

import httptools

from .http import Headers, HttpRequest, enable_keepalive
from .route import CallerLimits
from .target_connection import TargetConnection

MAX_PIPELINED = 8  # requests buffered behind the one in flight
WRITE_HIGH_WATER = 65_536  # unsent bytes above which the target is not read

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


class CallerHandler(t.Protocol):
    """Handles the requests and events of callers' connections."""

    @property
    def limits(self) -> CallerLimits:
        """Return the current limits on callers."""

    def request_received(
        self, connection: "CallerConnection", request: HttpRequest
    ) -> None:
        """Answer a complete request."""

    def request_rejected(self, connection: "CallerConnection", status: int) -> None:
        """Handle a request that was refused before it was complete."""

    def backpressure_changed(
        self, connection: "CallerConnection", blocked: bool
    ) -> None:
        """Handle a write buffer that is full, or has been drained."""

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
        self._pending: collections.deque[HttpRequest] = collections.deque()
        self._current: HttpRequest | None = None
        self._refused = False
        self._unsent_refusal: int | None = None  # status, sent after other answers
        self._reset()
        self.close_after_answer = False
        self.relay_source: TargetConnection | None = None  # paused while writes block
        self.last_active_at = self._loop.time()

    def _reset(self) -> None:
        self._url = b""
        self._headers: Headers = []
        self._header_bytes = 0
        self._body: list[bytes] = []
        self._body_bytes = 0
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

    # Called by asyncio

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_HIGH_WATER)
        enable_keepalive(transport)
        self._handler.connection_opened(self)

    def data_received(self, data: bytes) -> None:
        self.last_active_at = self._loop.time()
        if self._refused:
            return
        if self._started_at is None:
            self._started_at = self.last_active_at
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.refuse(400)
        except httptools.HttpParserError:
            if not self._refused:
                self.refuse(400)

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, error: Exception | None) -> None:
        self._transport = None
        if self._current is not None:
            self._handler.caller_disconnected(self)
        self._current = None
        self._pending.clear()
        self._handler.connection_closed(self)

    def pause_writing(self) -> None:
        if self.relay_source is not None:
            self.relay_source.pause()
            self._handler.backpressure_changed(self, True)

    def resume_writing(self) -> None:
        if self.relay_source is not None:
            self.relay_source.resume()
            self._handler.backpressure_changed(self, False)

    # Called by httptools

    def on_message_begin(self) -> None:
        started_at = self._started_at
        self._reset()
        self._started_at = started_at or self._loop.time()

    def on_url(self, url: bytes) -> None:
        self._url += url
        self._count_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.append((name, value))
        self._count_header_bytes(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        self._head_complete = True
        for name, value in self._headers:
            if name.lower() == b"expect" and value.lower() == b"100-continue":
                self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        self._body_bytes += len(body)
        if self._body_bytes > self._handler.limits.body_bytes:
            self.refuse(413)
            return
        self._body.append(body)

    def on_message_complete(self) -> None:
        if self._refused:
            return
        request = HttpRequest(
            self._parser.get_method(),
            self._url,
            self._headers,
            b"".join(self._body),
            self._loop.time(),
            self._parser.should_keep_alive(),
        )
        self._reset()
        self._pending.append(request)
        if self._current is None:
            self._handle_next()
        elif len(self._pending) >= MAX_PIPELINED and self._transport is not None:
            self._transport.pause_reading()

    def _count_header_bytes(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self._handler.limits.header_bytes:
            self.refuse(431)

    def _handle_next(self) -> None:
        if self._pending and self._transport is not None:
            self._current = self._pending.popleft()
            if not self._transport.is_closing():
                self._transport.resume_reading()
            self._handler.request_received(self, self._current)
        elif self._unsent_refusal is not None:
            status, self._unsent_refusal = self._unsent_refusal, None
            self.close_after_answer = True
            headers = [(b"Retry-After", b"0")] if status == 503 else []
            self.send_answer(status, headers, b"")

    # Called by the handler

    def refuse(self, status: int) -> None:
        """Refuse the incomplete request and ignore all further input."""
        if self._refused:
            return
        self._refused = True
        self._handler.request_rejected(self, status)
        self._unsent_refusal = status
        if self._current is None:
            self._handle_next()

    def send_answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete answer."""
        length_header = [(b"Content-Length", b"%d" % len(body))]
        self.write(self._format_head(status, headers + length_header) + body)
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
        request = self._current
        self._current = None
        self.relay_source = None
        self.last_active_at = self._loop.time()
        if self.close_after_answer or (request is not None and not request.keep_alive):
            self.close()
        else:
            self._handle_next()

    def abort(self) -> None:
        """Close immediately, so that a partial answer shows as truncated."""
        self._current = None
        self.relay_source = None
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Close after all buffered bytes are sent."""
        self._current = None
        if self._transport is not None:
            self._transport.close()

    def write(self, data: bytes) -> None:
        """Send bytes."""
        if self._transport is not None:
            self._transport.write(data)

    def _format_head(self, status: int, headers: Headers) -> bytes:
        request = self._current
        last_answer = self.close_after_answer or (
            request is not None and not request.keep_alive
        )
        lines = [b"HTTP/1.1 %d %b" % (status, REASON_PHRASES.get(status, b"Status"))]
        lines += [b"%b: %b" % header for header in headers]
        if last_answer:
            lines.append(b"Connection: close")
        return b"\r\n".join(lines) + b"\r\n\r\n"
