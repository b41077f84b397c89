"""Serves a few pages of a process's own, such as its metrics."""

import typing as t

from .caller_connection import CallerConnection
from .http import HttpRequest
from .route import CallerLimits


class Page(t.NamedTuple):
    """An answer of our own."""

    status: int
    body: bytes = b""
    content_type: bytes = b"text/plain; charset=utf-8"


class PageHandler:
    """Answers GET by functions, one a path."""

    def __init__(self, pages: t.Mapping[str, t.Callable[[], Page]]) -> None:
        self._pages = pages
        self._connections: set[CallerConnection] = set()

    @property
    def limits(self) -> CallerLimits:
        """Return the limits that callers are held to."""
        return CallerLimits()

    def request_received(
        self, connection: CallerConnection, request: HttpRequest
    ) -> None:
        """Answer a request."""
        path = request.target.split(b"?", 1)[0].decode("latin-1")
        make = self._pages.get(path)
        page = make() if make and request.method == b"GET" else Page(404)
        connection.answer(
            page.status, [(b"Content-Type", page.content_type)], page.body
        )

    def request_rejected(self, connection: CallerConnection, status: int) -> None:
        """Leave a broken request to its refusal."""

    def backpressure_changed(self, connection: CallerConnection, blocked: bool) -> None:
        """Leave a slow caller to its connection."""

    def caller_gone(self, connection: CallerConnection) -> None:
        """Leave a caller that has gone."""

    def connection_opened(self, connection: CallerConnection) -> None:
        """Keep a connection until it is closed."""
        self._connections.add(connection)

    def connection_closed(self, connection: CallerConnection) -> None:
        """Forget a connection."""
        self._connections.discard(connection)

    def close(self) -> None:
        """Close all connections."""
        for connection in list(self._connections):
            connection.close()
