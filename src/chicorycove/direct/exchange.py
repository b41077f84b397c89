"""One caller's request, and the connections to targets that answer it."""

import asyncio
import typing as t

from ..identity import AttemptId
from ..reason import Reason
from ..verdict import Verdict
from .board import InboundRequest
from .caller_connection import CallerConnection
from .command import SendAttempt
from .dialect import Dialect
from .event import (
    AnswerHeadReceived,
    AnswerReceived,
    AttemptSent,
    DirectEvent,
    EventsRelayed,
    TargetAnswer,
)
from .eventstream import EventBatch, EventBuffer
from .http import Headers, HttpRequest, end_to_end
from .target_connection import TargetConnection

MAX_ANSWER = 8_388_608  # bytes of an answer that is not streamed


class AttemptListener(t.Protocol):
    """Hears what becomes of attempts."""

    def handle(self, event: DirectEvent) -> None:
        """Decide on an event now."""

    def failed(self, attempt: AttemptId, reason: Reason, verdict: Verdict) -> None:
        """Note the end of an attempt without a whole answer."""

    def ended(self, attempt: AttemptId) -> None:
        """Note the whole end of a stream."""


class Exchange:
    """A caller's request and its attempts, one at a time."""

    def __init__(
        self,
        listener: AttemptListener,
        dialect: Dialect,
        connection: CallerConnection,
        request: HttpRequest,
        inbound: InboundRequest,
    ) -> None:
        self.listener = listener
        self.dialect = dialect
        self.connection = connection
        self.request = request
        self.inbound = inbound
        self.first_at: float | None = None
        self.events = 0
        self.longest_pause = 0.0  # seconds
        self._event_at = 0.0
        self._current: TargetAttempt | None = None
        self._targets: list[str] = []
        self._relay_started = False

    def log_fields(self) -> dict[str, t.Any]:
        """Return what a log line says of the whole exchange."""
        now = asyncio.get_running_loop().time()
        arrived = self.inbound.request.arrived
        first = self.first_at
        return {
            "route": self.inbound.route.name,
            "workspace": self.inbound.request.workspace,
            "tokens": self.inbound.request.prefill,
            "targets": self._targets,
            "events": self.events,
            "first": round(first - arrived, 4) if first is not None else None,
            "pause": round(self.longest_pause, 4),
            "took": round(now - arrived, 4),
        }

    def start_attempt(self, command: SendAttempt) -> "TargetAttempt":
        """Return a new attempt in place of the one at hand."""
        self.close()
        self._targets.append(command.target.target)
        self._current = TargetAttempt(self, command)
        return self._current

    def start_relay(self) -> bool:
        """Pass the answer at hand on; tell whether it is the first."""
        attempt = self._current
        first = not self._relay_started
        if first:
            self._relay_started = True
            self.connection.begin(attempt.status, end_to_end(attempt.headers))
        attempt.start_relay()
        self.connection.source = attempt.connection
        return first

    def relay(self, batch: EventBatch) -> None:
        """Hand the caller some events."""
        now = asyncio.get_running_loop().time()
        if self.first_at is None:
            self.first_at = now
        else:
            self.longest_pause = max(self.longest_pause, now - self._event_at)
        self._event_at = now
        self.events += batch.count
        self.connection.chunk(batch.data)

    def finish(self) -> None:
        """End an answer that was passed on."""
        self.connection.end()

    def deliver(self) -> None:
        """Give the caller the whole answer at hand."""
        attempt = self._current
        self.connection.answer(
            attempt.status, end_to_end(attempt.headers), bytes(attempt.body)
        )

    def cancel(self, attempt: AttemptId) -> None:
        """Close the connection of an attempt, if it is the one at hand."""
        if self._current is not None and self._current.attempt == attempt:
            self.close()

    def close(self) -> None:
        """Close the connection to a target."""
        if self._current is not None:
            self._current.close()
            self._current = None


class TargetAttempt:
    """One attempt: a connection to a target, and what comes over it."""

    def __init__(self, exchange: Exchange, command: SendAttempt) -> None:
        self.attempt = command.attempt
        self.status = 0
        self.headers: Headers = []
        self.body = bytearray()
        self.connection: TargetConnection | None = None
        self._exchange = exchange
        self._command = command
        self._answer: TargetAnswer | None = None
        self._buffer: EventBuffer | None = None
        self._closed = False

    async def open(self, timeout: float) -> None:
        """Connect, in some seconds, and send the request."""
        if self._closed:
            return
        loop = asyncio.get_running_loop()
        host, port = self._command.address.rsplit(":", 1)
        self.connection = TargetConnection(self)
        try:
            async with asyncio.timeout(timeout):
                await loop.create_connection(lambda: self.connection, host, int(port))
        except (OSError, TimeoutError):
            if not self._closed:
                self._closed = True
                self._exchange.listener.failed(
                    self.attempt, Reason.TARGET_UNREACHABLE, Verdict.NOT_RUN
                )

    def start_relay(self) -> None:
        """Hand the caller what comes from now on."""
        self._buffer = EventBuffer(self._command.last_event_id)

    def close(self) -> None:
        """Close, and hear nothing more."""
        self._closed = True
        if self.connection is not None:
            self.connection.abort()

    # Called by the connection

    def connected(self) -> None:
        if self._closed:
            return
        exchange = self._exchange
        exchange.listener.handle(AttemptSent(self.attempt))
        left = self._command.deadline - asyncio.get_running_loop().time()
        self.connection.send(
            exchange.dialect.build_request(
                exchange.request, exchange.inbound, self._command, left
            )
        )

    def head(self, status: int, headers: Headers) -> bool:
        if self._closed:
            return False
        dialect = self._exchange.dialect
        if not dialect.is_answer_to(headers, self._exchange.inbound):
            return False
        self.status = status
        self.headers = headers
        self._answer = dialect.parse_answer_head(status, headers)
        self._exchange.listener.handle(AnswerHeadReceived(self.attempt, self._answer))
        return True

    def data(self, data: bytes) -> None:
        if self._closed:
            return
        if self._buffer is not None:
            self._pass(data)
        elif len(self.body) + len(data) > MAX_ANSWER:
            self._fail(Reason.ANSWER_TOO_LARGE)
        else:
            self.body += data

    def complete(self, framed: bool) -> None:
        if self._closed:
            return
        listener = self._exchange.listener
        if self._buffer is None:
            listener.handle(AnswerReceived(self.attempt, self._answer))
        elif self._buffer.has_partial_event or not self._exchange.events:
            self._fail(Reason.STREAM_BROKEN)
        else:
            listener.ended(self.attempt)

    def lost(self, connected: bool) -> None:
        if not self._closed:
            self._fail(Reason.STREAM_BROKEN)

    def _pass(self, data: bytes) -> None:
        batch = self._buffer.feed(data)
        if batch is None:
            return
        exchange = self._exchange
        exchange.relay(batch)
        exchange.listener.handle(
            EventsRelayed(self.attempt, batch.count, batch.last_id)
        )

    def _fail(self, reason: Reason) -> None:
        self._closed = True
        if self.connection is not None:
            self.connection.abort()
        self._exchange.listener.failed(self.attempt, reason, Verdict.MAY_HAVE_RUN)
