"""A connection to a target, for one request."""

import asyncio
import typing as t

import httptools

from .http import Headers, enable_keepalive


class AnswerListener(t.Protocol):
    """Hears what comes over a connection to a target."""

    def connected(self) -> None:
        """The connection stands."""

    def head(self, status: int, headers: Headers) -> bool:
        """The head of an answer has come; False if another is awaited."""

    def data(self, data: bytes) -> None:
        """A part of the body has come."""

    def complete(self, framed: bool) -> None:
        """The answer is whole; if not framed, its connection ended it."""

    def lost(self, connected: bool) -> None:
        """The connection ended before the answer was whole."""


class TargetConnection(asyncio.Protocol):
    """One connection for one request."""

    def __init__(self, listener: AnswerListener) -> None:
        self._listener = listener
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._done = False
        self._headed = False
        self._framed = False
        self._reset()

    def _reset(self) -> None:
        self._headers: Headers = []
        self._skipped = False
        self._framed = False

    # Called by asyncio

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        if self._done:
            transport.abort()
            return
        enable_keepalive(transport)
        self._listener.connected()

    def data_received(self, data: bytes) -> None:
        if self._done:
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._lose()

    def eof_received(self) -> bool:
        if not self._done and self._headed and not self._framed:
            self._done = True
            self._listener.complete(False)
        return False

    def connection_lost(self, error: Exception | None) -> None:
        self._transport = None
        self._lose()

    # Called by httptools

    def on_message_begin(self) -> None:
        self._reset()

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        status = self._parser.get_status_code()
        if self._done or status < 200:
            self._skipped = True
            return
        names = {name.lower() for name, _ in self._headers}
        self._framed = (
            bool(names & {b"content-length", b"transfer-encoding"}) or status == 204
        )
        self._skipped = not self._listener.head(status, self._headers)
        self._headed = not self._skipped

    def on_body(self, body: bytes) -> None:
        if not self._skipped and not self._done:
            self._listener.data(body)

    def on_message_complete(self) -> None:
        if self._skipped or self._done:
            return
        self._done = True
        self._listener.complete(True)
        self.abort()

    # Called by the owner

    def send(self, data: bytes) -> None:
        """Send bytes."""
        if self._transport is not None:
            self._transport.write(data)

    def pause(self) -> None:
        """Stop reading for a while."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.pause_reading()

    def resume(self) -> None:
        """Read again."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def abort(self) -> None:
        """Close at once, and tell nobody."""
        self._done = True
        if self._transport is not None:
            self._transport.abort()

    def _lose(self) -> None:
        if self._done:
            return
        self._done = True
        self._listener.lost(True)
        if self._transport is not None:
            self._transport.abort()
