"""Ends connections of callers once the buffer bound is exceeded."""

import typing as t

from ..metric import Metrics
from ..reason import Reason
from ..verdict import Verdict
from .caller_buffers import CallerBuffers, CallerBufferSettings
from .caller_connection import CallerConnection
from .dialect import Dialect
from .event import BufferBoundExceeded, DirectEvent
from .exchange import Exchange, ExchangeTable
from .held_request import HeldRequestQueue
from .http import Headers
from .linelog import LineLog


class BufferLimiter:
    """Counts what is held for callers, and keeps it to the bound."""

    def __init__(
        self,
        buffers: CallerBuffers[CallerConnection],
        settings: CallerBufferSettings,
        exchanges: ExchangeTable,
        held: HeldRequestQueue,
        dialect: Dialect,
        metrics: Metrics,
        log: LineLog,
        handle: t.Callable[[DirectEvent], None],
        disconnect: t.Callable[[CallerConnection], None],
    ) -> None:
        self._buffers = buffers
        self._settings = settings
        self._exchanges = exchanges
        self._held = held
        self._dialect = dialect
        self._metrics = metrics
        self._log = log
        self._handle = handle
        self._disconnect = disconnect

    def count(self, connection: CallerConnection) -> None:
        """Count what is held for a connection now."""
        self._buffers.update(connection, self.held_size(connection))

    def held_size(self, connection: CallerConnection) -> int:
        """Return the bytes held for a connection."""
        size = connection.request_size + connection.unsent_size
        exchange = self._exchanges.find_current(connection)
        if exchange is not None:
            size += exchange.answer_size + exchange.unsent_size
        return size

    def reduce(self) -> None:
        """End the connections that hold most until the bound is kept."""
        self._buffers.recount(self.held_size)
        while self._buffers.exceeded:
            connection, size = self._buffers.find_fullest()
            self._end_fullest(connection, size)
            remaining = self.held_size(connection)
            if remaining >= size:
                self._disconnect(connection)
                connection.abort()
                remaining = 0
            self._buffers.update(connection, remaining)

    def _end_fullest(self, connection: CallerConnection, size: int) -> None:
        """End a caller's connection, with a refusal if it can be read soon."""
        exchange = self._exchanges.find_current(connection)
        self._log_fullest(connection, exchange, size)
        answerable = 2 * connection.unsent_size < size
        if exchange is None and connection not in self._held:
            if answerable and connection.has_incomplete_request:
                headers = self._buffers_full_headers("")
                connection.refuse(503, Reason.BUFFERS_FULL, headers)
            else:
                connection.abort()
            return
        for _ in range(connection.drop_following()):
            self._metrics.refused(Reason.BUFFERS_FULL, Verdict.NOT_RUN)
        if exchange is not None:
            request = exchange.inbound.request.id
            self._handle(BufferBoundExceeded(request, answerable))
        else:
            self._refuse_fullest_held(connection)

    def _log_fullest(
        self, connection: CallerConnection, exchange: Exchange | None, size: int
    ) -> None:
        """Log and count the end of the connection that holds most."""
        sizes = {"request": connection.request_size, "unsent": connection.unsent_size}
        if exchange is not None:
            sizes["request"] += exchange.unsent_size
            sizes["answer"] = exchange.answer_size
        content = max(sizes, key=sizes.get)
        self._metrics.buffer_ended(content)
        request = exchange.inbound.request if exchange is not None else None
        self._log.write(
            "buffer bound exceeded",
            caller=connection.address,
            request=request.id if request else None,
            workspace=request.workspace if request else None,
            held=size,
            content=content,
            total=self._buffers.total,
            bound=self._buffers.max_size,
        )

    def _refuse_fullest_held(self, connection: CallerConnection) -> None:
        """Refuse a request that was held for a deployment."""
        request = self._held.remove(connection)
        parsed = self._dialect.parse_request(request, None, 0.0)
        self._metrics.refused(Reason.BUFFERS_FULL, Verdict.NOT_RUN)
        headers = self._buffers_full_headers(parsed.request)
        connection.send_answer(503, headers, b"")

    def _buffers_full_headers(self, request: str) -> Headers:
        retry_after = self._settings.retry_after
        return self._dialect.entry_headers(request, retry_after)
