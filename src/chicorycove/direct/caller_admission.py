"""Admits, holds or rejects the complete requests of callers."""

import random
import typing as t

from ..metric import Metrics
from ..reason import Reason
from ..verdict import Verdict
from .board import DirectBoard, InboundRequest
from .caller_connection import CallerConnection
from .dialect import Dialect, Rejection
from .event import RequestReceived
from .exchange import AttemptListener, Exchange, ExchangeTable
from .held_request import HeldRequestQueue
from .http import HttpRequest
from .linelog import LineLog
from .target_connection import CancelledConnections


class CallerAdmission:
    """Turns callers' requests into exchanges, or rejects them."""

    def __init__(
        self,
        listener: AttemptListener,
        board: DirectBoard,
        dialect: Dialect,
        metrics: Metrics,
        log: LineLog,
        rng: random.Random,
        exchanges: ExchangeTable,
        held: HeldRequestQueue,
        end_failed_request: t.Callable[[str], None],
    ) -> None:
        self._listener = listener
        self._board = board
        self._dialect = dialect
        self._metrics = metrics
        self._log = log
        self._random = rng
        self._exchanges = exchanges
        self._held = held
        self._end_failed_request = end_failed_request
        self._cancelled_connections = CancelledConnections()

    @property
    def _stopping(self) -> bool:
        return self._board.stopping_at is not None

    def receive(self, connection: CallerConnection, request: HttpRequest) -> None:
        """Admit a request, hold it for a deployment, or reject it."""
        try:
            if self._board.table is None and not self._stopping:
                if self._held.hold(connection, request):
                    return
        except Exception as error:
            self._held.remove(connection)
            self._end_unread(connection, request, error)
            return
        self.answer(connection, request)

    def answer(self, connection: CallerConnection, request: HttpRequest) -> None:
        """Admit a request, or reject it."""
        try:
            self._answer(connection, request)
        except Exception as error:
            self._end_unread(connection, request, error)

    def _end_unread(
        self, connection: CallerConnection, request: HttpRequest, error: Exception
    ) -> None:
        """End a request that could not be admitted, with what has begun."""
        self._log.write("request not read", cause=repr(error))
        exchange = self._exchanges.find_current(connection)
        if exchange is not None and exchange.request is request:
            self._end_failed_request(exchange.inbound.request.id)
        elif connection.awaits_answer_to(request):
            self._metrics.refused(Reason.INTERNAL_ERROR, Verdict.NOT_RUN)
            connection.send_answer(503, self._dialect.entry_headers("", 0.0), b"")

    def _answer(self, connection: CallerConnection, request: HttpRequest) -> None:
        connection.close_after_answer = connection.close_after_answer or self._stopping
        parsed = self._dialect.parse_request(
            request, self._board.table, self._random.random()
        )
        match parsed:
            case Rejection():
                self._reject(connection, parsed)
            case InboundRequest():
                self._admit(connection, request, parsed)

    def _reject(self, connection: CallerConnection, rejection: Rejection) -> None:
        self._metrics.refused(rejection.reason, Verdict.NOT_RUN)
        table = self._board.table
        self._log.write(
            "request refused",
            request=rejection.request,
            status=rejection.status,
            reason=rejection.reason.value,
            version=table.deployment.version if table else None,
        )
        retry_after = None
        if rejection.reason is Reason.NOT_READY and not self._stopping:
            retry_after = self._held.retry_after(self._random.random())
        elif rejection.status == 503:
            retry_after = 0.0
        headers = self._dialect.entry_headers(rejection.request, retry_after)
        connection.send_answer(rejection.status, headers, b"")

    def _admit(
        self,
        connection: CallerConnection,
        request: HttpRequest,
        inbound: InboundRequest,
    ) -> None:
        id = inbound.request.id
        if id in self._exchanges:
            self._reject(connection, Rejection(400, Reason.BAD_REQUEST, id))
            return
        exchange = Exchange(
            self._listener,
            self._dialect,
            connection,
            request,
            inbound,
            self._cancelled_connections,
        )
        self._exchanges.add(exchange)
        self._metrics.arrived(inbound.route.name)
        self._listener.handle(RequestReceived(inbound))
