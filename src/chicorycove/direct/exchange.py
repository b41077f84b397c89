"""Callers' requests and their attempts over connections to targets."""

import asyncio
import functools
import typing as t

from ..identity import AttemptId
from ..reason import Reason
from ..request import Prompt
from ..verdict import Verdict
from .board import InboundRequest
from .caller_connection import CallerConnection
from .command import SendAttempt
from .connector import open_socket
from .dialect import Dialect
from .event import (
    AnswerHeadReceived,
    AnswerReceived,
    DirectEvent,
    EventsRelayed,
    TargetAnswer,
    TargetAnswered,
)
from .eventstream import EventBatch, EventBuffer
from .http import HEADER_OVERHEAD, Headers, HttpRequest, end_to_end_headers
from .target_connection import CancelledConnections, TargetConnection

MAX_EVENT_SIZE = 262_144  # bytes of one event of a stream
MAX_ANSWER_SIZE = 8_388_608  # bytes of an answer that is not streamed


class AttemptListener(t.Protocol):
    """Receives the events and the outcome of attempts."""

    def handle(self, event: DirectEvent) -> None:
        """Handle an event of an attempt."""

    def buffers_changed(self, connection: CallerConnection) -> None:
        """Handle a change of the bytes that are held for a connection."""

    def begin_attempt(self, attempt: AttemptId) -> bool:
        """Return whether to send an attempt whose connection has opened."""

    def attempt_failed(
        self, attempt: AttemptId, reason: Reason, verdict: Verdict
    ) -> None:
        """Handle an attempt that ended without a complete answer."""

    def attempt_raised(self, attempt: AttemptId, error: Exception) -> None:
        """Handle an unexpected exception in the handling of an attempt."""

    def stream_ended(
        self, attempt: AttemptId, self_delimited: bool, has_events: bool
    ) -> None:
        """Handle the end of a stream that has no incomplete event.

        One that is not self-delimited has ended with its connection.
        """


class Exchange:
    """A caller's request and its attempts, of which one is current."""

    def __init__(
        self,
        listener: AttemptListener,
        dialect: Dialect,
        connection: CallerConnection,
        request: HttpRequest,
        inbound: InboundRequest,
        cancelled_connections: CancelledConnections,
    ) -> None:
        self.listener = listener
        self.cancelled_connections = cancelled_connections
        self.dialect = dialect
        self.connection = connection
        self.request = request
        self.inbound = inbound
        self.first_event_at: float | None = None
        self.event_count = 0
        self.longest_pause = 0.0  # seconds
        self._last_event_at = 0.0
        self._current_attempt: TargetAttempt | None = None
        self._target_names: list[str] = []
        self._relay_started = False

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Return the parts of the prompt that others may contain too."""
        work = self.inbound.request.work
        return work.shared_parts if isinstance(work, Prompt) else ()

    @property
    def relay_started(self) -> bool:
        """Return whether the caller has the head of a stream."""
        return self._relay_started

    @property
    def answered(self) -> bool:
        """Return whether the caller has a complete answer, or is gone."""
        return not self.connection.awaits_answer_to(self.request)

    @property
    def answer_size(self) -> int:
        """Return the bytes held of the current answer."""
        attempt = self._current_attempt
        return attempt.answer_size if attempt is not None else 0

    @property
    def unsent_size(self) -> int:
        """Return the bytes that the current target is still to be sent."""
        attempt = self._current_attempt
        if attempt is None or attempt.connection is None:
            return 0
        return attempt.connection.unsent_size

    def log_fields(self) -> dict[str, t.Any]:
        """Return the log fields of the exchange; times are in seconds."""
        now = asyncio.get_running_loop().time()
        arrived = self.inbound.request.arrived
        first = self.first_event_at
        return {
            "route": self.inbound.route.name,
            "workspace": self.inbound.request.workspace,
            "tokens": self.inbound.request.prefill,
            "targets": self._target_names,
            "events": self.event_count,
            "first": round(first - arrived, 4) if first is not None else None,
            "pause": round(self.longest_pause, 4),
            "took": round(now - arrived, 4),
        }

    def attempt_log_fields(self) -> dict[str, t.Any]:
        """Return the log fields of the current attempt; times in seconds."""
        attempt = self._current_attempt
        return attempt.log_fields() if attempt is not None else {}

    def start_attempt(self, command: SendAttempt) -> "TargetAttempt":
        """Close the current attempt and return a new one in its place."""
        self.close()
        self._target_names.append(command.target.target)
        self._current_attempt = TargetAttempt(self, command)
        return self._current_attempt

    def start_relay(self) -> bool:
        """Relay the current attempt; return whether no other was relayed."""
        attempt = self._current_attempt
        is_first = not self._relay_started
        if is_first:
            self._relay_started = True
            self.connection.start_chunked(
                attempt.status, end_to_end_headers(attempt.headers)
            )
        attempt.start_relay()
        self.connection.relay_from(attempt.connection)
        return is_first

    def relay(self, batch: EventBatch) -> None:
        """Send a batch of events to the caller."""
        if batch.count:
            now = asyncio.get_running_loop().time()
            if self.first_event_at is None:
                self.first_event_at = now
            else:
                self.longest_pause = max(self.longest_pause, now - self._last_event_at)
            self._last_event_at = now
            self.event_count += batch.count
        self.connection.send_chunk(batch.data)

    def finish(self) -> None:
        """End the answer of a relayed stream."""
        self.connection.end_chunked()

    def deliver(self) -> None:
        """Send the caller the current attempt's complete answer."""
        attempt = self._current_attempt
        self.connection.send_answer(
            attempt.status, end_to_end_headers(attempt.headers), attempt.body
        )

    def cancel(self, attempt: AttemptId) -> None:
        """Close the connection of an attempt, if it is the current one."""
        if (
            self._current_attempt is not None
            and self._current_attempt.attempt == attempt
        ):
            self.close()

    def close(self) -> None:
        """Close the current attempt's connection."""
        if self._current_attempt is not None:
            self._current_attempt.close()
            self._current_attempt = None


class ExchangeTable:
    """Exchanges in progress, by their request and by their caller."""

    def __init__(self) -> None:
        self._by_request: dict[str, Exchange] = {}
        self._by_connection: dict[CallerConnection, Exchange] = {}

    def __len__(self) -> int:
        return len(self._by_request)

    def __contains__(self, request: str) -> bool:
        return request in self._by_request

    def __getitem__(self, request: str) -> Exchange:
        return self._by_request[request]

    def get(self, request: str | None) -> Exchange | None:
        """Return the exchange of a request, if it is in progress."""
        return self._by_request.get(request)

    def find_current(self, connection: CallerConnection) -> Exchange | None:
        """Return the exchange that a caller's connection waits for."""
        return self._by_connection.get(connection)

    def add(self, exchange: Exchange) -> None:
        """Add an exchange."""
        self._by_request[exchange.inbound.request.id] = exchange
        self._by_connection[exchange.connection] = exchange

    def remove(self, exchange: Exchange) -> None:
        """Remove an exchange that has ended."""
        self._by_request.pop(exchange.inbound.request.id, None)
        if self._by_connection.get(exchange.connection) is exchange:
            del self._by_connection[exchange.connection]


def _report_exceptions(method: t.Callable[..., t.Any]) -> t.Callable[..., t.Any]:
    """Report an unexpected exception, which then ends only its request.

    The HTTP parser would take it for a malformed answer, and drop its cause.
    """

    @functools.wraps(method)
    def call(attempt: "TargetAttempt", *args: t.Any) -> t.Any:
        try:
            return method(attempt, *args)
        except Exception as error:
            attempt.report_exception(error)
            return False

    return call


class TargetAttempt:
    """One attempt: its connection to a target and the answer received."""

    def __init__(self, exchange: Exchange, command: SendAttempt) -> None:
        self.attempt = command.attempt
        self.status = 0
        self.headers: Headers = []
        self.body = bytearray()
        self.connection: TargetConnection | None = None
        self._exchange = exchange
        self._command = command
        self._answer_head: TargetAnswer | None = None
        self._head_size = 0  # bytes
        self._event_buffer: EventBuffer | None = None
        self._relayed_events = False
        self._awaits_head = False  # the request is sent, and not answered yet
        self._closed = False
        self._started_at = asyncio.get_running_loop().time()
        self._connected_after: float | None = None  # seconds

    @property
    def answer_size(self) -> int:
        """Return the bytes held of the answer."""
        size = len(self.body) + self._head_size
        if self._event_buffer is not None:
            size += self._event_buffer.pending_size
        return size + self.connection.head_size if self.connection else size

    @property
    def _caller_has_events(self) -> bool:
        """Return whether the caller has events, from any entry."""
        resumed = self._command.last_event_id is not None
        return resumed or self._exchange.event_count > 0

    @property
    def _sent(self) -> bool:
        return self.connection is not None and self.connection.sent

    def log_fields(self) -> dict[str, t.Any]:
        """Return the log fields of the attempt; times are in seconds."""
        now = asyncio.get_running_loop().time()
        connected_after = self._connected_after
        return {
            "status": self.status or None,
            "sent": self._sent,
            "connected_after": (
                round(connected_after, 4) if connected_after is not None else None
            ),
            "took": round(now - self._started_at, 4),
        }

    async def open(self, timeout: float) -> None:
        """Connect to the target; the timeout is in seconds.

        It ends before the connection is used, which sends the request.
        """
        if self._closed:
            return
        try:
            sock = await open_socket(self._command.address, timeout)
            self.connection = TargetConnection(self)
            loop = asyncio.get_running_loop()
            await loop.create_connection(lambda: self.connection, sock=sock)
        except OSError:
            if not self._closed:
                self._fail(Reason.TARGET_UNREACHABLE)

    def start_relay(self) -> None:
        """Relay events to the caller from now on, instead of buffering."""
        self._event_buffer = EventBuffer(self._command.last_event_id)

    def close(self) -> None:
        """Close the connection; of a late answer, only the head is read."""
        was_closed = self._closed
        self._closed = True
        self.body = bytearray()
        if self.connection is None:
            return
        if self._awaits_head and not was_closed:
            self._exchange.cancelled_connections.add(self.connection)
        else:
            self.connection.abort()

    def report_exception(self, error: Exception) -> None:
        """Report an unexpected exception in the handling of this attempt."""
        self._exchange.listener.attempt_raised(self.attempt, error)

    # AnswerListener

    @_report_exceptions
    def connection_opened(self) -> None:
        now = asyncio.get_running_loop().time()
        self._connected_after = now - self._started_at
        exchange = self._exchange
        time_left = self._command.deadline - now
        if (
            self._closed
            or time_left <= 0
            or not exchange.listener.begin_attempt(self.attempt)
        ):
            self.connection.abort()
            return
        self.connection.send(
            exchange.dialect.build_request(
                exchange.request, exchange.inbound, self._command, time_left
            )
        )
        self._awaits_head = True
        exchange.listener.buffers_changed(exchange.connection)

    @_report_exceptions
    def head_received(self, status: int, headers: Headers) -> bool:
        dialect = self._exchange.dialect
        if not dialect.is_answer_to(headers, self._exchange.inbound):
            return False
        if self._closed:
            self._report_late_answer(status, headers)
            return False
        self._awaits_head = False
        self.status = status
        self.headers = headers
        self._head_size = sum(
            len(name) + len(value) + HEADER_OVERHEAD for name, value in headers
        )
        self._answer_head = dialect.parse_answer_head(status, headers)
        self._exchange.listener.handle(
            AnswerHeadReceived(self.attempt, self._answer_head)
        )
        return True

    @_report_exceptions
    def body_received(self, data: bytes) -> None:
        if self._closed:
            return
        if self._event_buffer is not None:
            self._relay(data)
        elif len(self.body) + len(data) > MAX_ANSWER_SIZE:
            self.answer_too_large()
        else:
            self.body += data
        self._exchange.listener.buffers_changed(self._exchange.connection)

    @_report_exceptions
    def answer_completed(self, self_delimited: bool) -> None:
        if self._closed:
            return
        listener = self._exchange.listener
        if self._event_buffer is None:
            listener.handle(AnswerReceived(self.attempt, self._answer_head))
        elif self._event_buffer.has_partial_event or not self._caller_has_events:
            self._fail(Reason.STREAM_BROKEN)
        else:
            has_events = self._relayed_events
            listener.stream_ended(self.attempt, self_delimited, has_events)

    def answer_too_large(self) -> None:
        if not self._closed:
            self._fail(Reason.ANSWER_TOO_LARGE)

    def connection_lost(self, connected: bool) -> None:
        if not self._closed:
            self._fail(Reason.STREAM_BROKEN)

    def _report_late_answer(self, status: int, headers: Headers) -> None:
        """Report what the answer to a cancelled request says of its target."""
        if not self._awaits_head:
            return
        self._awaits_head = False
        answer = self._exchange.dialect.parse_answer_head(status, headers)
        self._exchange.listener.handle(TargetAnswered(self._command.target, answer))
        self.connection.abort()

    def _relay(self, data: bytes) -> None:
        batch = self._event_buffer.feed(data)
        if self._event_buffer.pending_size > MAX_EVENT_SIZE:
            self.answer_too_large()
            return
        if batch is None:
            return
        exchange = self._exchange
        exchange.relay(batch)
        if batch.count:
            self._relayed_events = True
            exchange.listener.handle(
                EventsRelayed(self.attempt, batch.count, batch.last_id)
            )

    def _fail(self, reason: Reason) -> None:
        self._closed = True
        if self.connection is not None:
            self.connection.abort()
        verdict = Verdict.MAY_HAVE_RUN if self._sent else Verdict.NOT_RUN
        self._exchange.listener.attempt_failed(self.attempt, reason, verdict)
