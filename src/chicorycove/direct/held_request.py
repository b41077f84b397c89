"""Holds callers' requests until the first deployment is known."""

import asyncio
import typing as t

from .caller_connection import CallerConnection
from .cold_start import ColdStartSettings, HeldRequests
from .dialect import Dialect
from .http import HttpRequest
from .linelog import LineLog


class HeldRequestQueue:
    """Holds requests and hands them on for an answer when it is time."""

    def __init__(
        self,
        settings: ColdStartSettings,
        dialect: Dialect,
        log: LineLog,
        answer: t.Callable[[CallerConnection, HttpRequest], None],
    ) -> None:
        self._settings = settings
        self._dialect = dialect
        self._log = log
        self._answer = answer
        self._loop = asyncio.get_running_loop()
        self._held = HeldRequests[CallerConnection](settings, self._loop.time())
        self._requests: dict[CallerConnection, HttpRequest] = {}
        self._releasing = False

    def __len__(self) -> int:
        return len(self._requests)

    def __contains__(self, connection: CallerConnection) -> bool:
        return connection in self._requests

    def hold(self, connection: CallerConnection, request: HttpRequest) -> bool:
        """Hold a request; return whether there was time and room for it."""
        now = self._loop.time()
        time_limit = self._dialect.parse_time_limit(request)
        hold_until = self._held.hold(
            connection, len(request.body), request.received_at, time_limit, now
        )
        if hold_until is None:
            return False
        self._requests[connection] = request
        self._log.write("request held", left=round(hold_until - now, 3))
        self._loop.call_at(hold_until, self._expire, connection, request)
        return True

    def remove(self, connection: CallerConnection) -> HttpRequest | None:
        """Stop holding a connection's request; return it, if there was one."""
        if not self._held.remove(connection):
            return None
        return self._requests.pop(connection)

    def refuse_all(self) -> None:
        """Hand on all requests before a deployment is known."""
        for connection in list(self._requests):
            self._refuse(connection)

    def release(self) -> None:
        """Hand on held requests one after another, by their deadlines."""
        if not self._releasing:
            self._releasing = True
            self._release_next()

    def retry_after(self, draw: float) -> float:
        """Return the seconds until a caller who is not held should return.

        A draw from [0, 1) spreads those who are refused together.
        """
        return self._held.retry_after(draw, self._loop.time())

    def _expire(self, connection: CallerConnection, request: HttpRequest) -> None:
        if self._requests.get(connection) is request:
            self._refuse(connection)

    def _refuse(self, connection: CallerConnection) -> None:
        self._held.remove(connection)
        self._answer(connection, self._requests.pop(connection))

    def _release_next(self) -> None:
        connection = self._held.take_next()
        if connection is None:
            self._releasing = False
            return
        self._loop.call_later(self._settings.release_interval, self._release_next)
        self._answer(connection, self._requests.pop(connection))
