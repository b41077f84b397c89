"""Serves pages of the process itself, such as its metrics."""

import typing as t

from ..reason import Reason
from .caller_connection import CallerConnection
from .http import HttpRequest
from .route import CallerLimits


class Page(t.NamedTuple):
    """The content of a page and its HTTP status."""

    status: int
    body: bytes = b""
    content_type: bytes = b"text/plain; charset=utf-8"


class PageHandler:
    """Answers GET requests by calling the function of their path.

    The function gets the request, for its query and headers.
    """

    def __init__(self, pages: t.Mapping[str, t.Callable[[HttpRequest], Page]]) -> None:
        self._pages = pages
        self._connections: set[CallerConnection] = set()

    @property
    def limits(self) -> CallerLimits:
        """Return the default limits on callers."""
        return CallerLimits()

    def request_received(
        self, connection: CallerConnection, request: HttpRequest
    ) -> None:
        """Send the page of a request's path, or 404."""
        path = request.url.split(b"?", 1)[0].decode("latin-1")
        render = self._pages.get(path)
        page = render(request) if render and request.method == b"GET" else Page(404)
        connection.send_answer(
            page.status, [(b"Content-Type", page.content_type)], page.body
        )

    def request_rejected(
        self, connection: CallerConnection, status: int, reason: Reason
    ) -> None:
        """Do nothing: the connection answers a refused request."""

    def backpressure_changed(self, connection: CallerConnection, blocked: bool) -> None:
        """Do nothing: pages are not relayed."""

    def buffers_changed(self, connection: CallerConnection) -> None:
        """Do nothing: only callers' connections are counted."""

    def caller_disconnected(self, connection: CallerConnection) -> None:
        """Do nothing: no work has to be cancelled."""

    def connection_opened(self, connection: CallerConnection) -> None:
        """Add a connection."""
        self._connections.add(connection)

    def connection_closed(self, connection: CallerConnection) -> None:
        """Remove a connection."""
        self._connections.discard(connection)

    def close(self) -> None:
        """Close all connections."""
        for connection in list(self._connections):
            connection.close()
