"""A caller's connection: requests read whole, answers in their order."""

import asyncio
import collections
import typing as t

import httptools

from .http import Headers, HttpRequest, enable_keepalive
from .route import CallerLimits
from .target_connection import TargetConnection

MAX_PIPELINED = 8  # requests read ahead of the one that is being answered
WRITE_HIGH = 65_536  # bytes waiting to be sent, above which a source is paused

REASONS = {
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
    """Takes the requests of callers' connections."""

    @property
    def limits(self) -> CallerLimits:
        """Return the limits in force."""

    def request_received(
        self, connection: "CallerConnection", request: HttpRequest
    ) -> None:
        """Answer a request."""

    def request_rejected(self, connection: "CallerConnection", status: int) -> None:
        """Note a request that was refused as it was read."""

    def backpressure_changed(
        self, connection: "CallerConnection", blocked: bool
    ) -> None:
        """Note that a connection takes nothing for now, or takes it again."""

    def caller_gone(self, connection: "CallerConnection") -> None:
        """Note that a connection closed while its request had no answer."""

    def connection_opened(self, connection: "CallerConnection") -> None:
        """Note a connection."""

    def connection_closed(self, connection: "CallerConnection") -> None:
        """Note the end of a connection."""


class CallerConnection(asyncio.Protocol):
    """One connection of a caller, which is answered in its requests' order."""

    def __init__(self, handler: CallerHandler) -> None:
        self._handler = handler
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._pending: collections.deque[HttpRequest] = collections.deque()
        self._current: HttpRequest | None = None
        self._refused = False
        self._reset()
        self.closing = False
        self.source: TargetConnection | None = None  # paused while writes back up
        self.active_at = self._loop.time()

    def _reset(self) -> None:
        self._url = b""
        self._headers: Headers = []
        self._header_bytes = 0
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._started_at: float | None = None
        self._headed = False

    @property
    def awaiting_request(self) -> bool:
        """Tell whether the next bytes are the caller's to send."""
        return self._current is None

    @property
    def head_started_at(self) -> float | None:
        """Return when the head that is being read began."""
        return None if self._headed else self._started_at

    # Called by asyncio

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_HIGH)
        enable_keepalive(transport)
        self._handler.connection_opened(self)

    def data_received(self, data: bytes) -> None:
        self.active_at = self._loop.time()
        if self._refused:
            return
        if self._started_at is None:
            self._started_at = self.active_at
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
            self._handler.caller_gone(self)
        self._current = None
        self._pending.clear()
        self._handler.connection_closed(self)

    def pause_writing(self) -> None:
        if self.source is not None:
            self.source.pause()
            self._handler.backpressure_changed(self, True)

    def resume_writing(self) -> None:
        if self.source is not None:
            self.source.resume()
            self._handler.backpressure_changed(self, False)

    # Called by httptools

    def on_message_begin(self) -> None:
        started_at = self._started_at
        self._reset()
        self._started_at = started_at or self._loop.time()

    def on_url(self, url: bytes) -> None:
        self._url += url
        self._count_header(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.append((name, value))
        self._count_header(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        self._headed = True
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
            self._next()
        elif len(self._pending) >= MAX_PIPELINED and self._transport is not None:
            self._transport.pause_reading()

    def _count_header(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self._handler.limits.header_bytes:
            self.refuse(431)

    def _next(self) -> None:
        if self._pending and self._transport is not None:
            self._current = self._pending.popleft()
            if not self._transport.is_closing():
                self._transport.resume_reading()
            self._handler.request_received(self, self._current)

    # Called by the handler

    def refuse(self, status: int) -> None:
        """Refuse what is being read, and take nothing more."""
        if self._refused:
            return
        self._refused = True
        self._handler.request_rejected(self, status)
        if self._current is None:
            self.closing = True
            self.answer(status, [], b"")

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer."""
        length = [(b"Content-Length", b"%d" % len(body))]
        self.write(self._head(status, headers + length) + body)
        self.finish()

    def begin(self, status: int, headers: Headers) -> None:
        """Send the head of an answer that comes in chunks."""
        chunked = [(b"Transfer-Encoding", b"chunked")]
        self.write(self._head(status, headers + chunked))

    def chunk(self, data: bytes) -> None:
        """Send a part of an answer."""
        self.write(b"%x\r\n%b\r\n" % (len(data), data))

    def end(self) -> None:
        """End an answer that comes in chunks."""
        self.write(b"0\r\n\r\n")
        self.finish()

    def finish(self) -> None:
        """Go on to the next request after an answer."""
        request = self._current
        self._current = None
        self.source = None
        self.active_at = self._loop.time()
        if self.closing or (request is not None and not request.keep_alive):
            self.close()
        else:
            self._next()

    def abort(self) -> None:
        """Break off, so that what was sent does not look whole."""
        self._current = None
        self.source = None
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Close when all is sent."""
        self._current = None
        if self._transport is not None:
            self._transport.close()

    def write(self, data: bytes) -> None:
        """Send bytes."""
        if self._transport is not None:
            self._transport.write(data)

    def _head(self, status: int, headers: Headers) -> bytes:
        request = self._current
        close = self.closing or (request is not None and not request.keep_alive)
        lines = [b"HTTP/1.1 %d %b" % (status, REASONS.get(status, b"Status"))]
        lines += [b"%b: %b" % header for header in headers]
        if close:
            lines.append(b"Connection: close")
        return b"\r\n".join(lines) + b"\r\n\r\n"
