"""Connects a direct entry's decisions to callers, targets and peers."""

import asyncio
import random
import typing as t

from ..attempt import STARTED
from ..identity import AttemptId
from ..lifecycle import (
    AnswerCompleted,
    AttemptFailed,
    AttemptRefused,
    CallerDisconnected,
    FailRequest,
    FinishAnswer,
    MemoryReserved,
    ReleaseMemory,
    ReserveMemory,
    StopRequested,
    Tick,
)
from ..metric import Metrics
from ..reason import Reason
from ..utils import Tasks
from ..verdict import Verdict
from .board import DirectBoard, InboundRequest
from .buffer_limiter import BufferLimiter
from .caller_admission import CallerAdmission
from .caller_buffers import CallerBuffers
from .caller_connection import CallerConnection
from .command import (
    AbortAnswer,
    CancelAttempt,
    DeliverAnswer,
    DirectCommand,
    LogChange,
    ProbeTarget,
    RecordEjection,
    RecordTargetState,
    RelayStream,
    ResyncStore,
    SendAttempt,
    UpdatePeers,
)
from .dialect import Dialect
from .dispatch import DirectDispatcher
from .event import (
    AttemptConnected,
    CallerBackpressureChanged,
    DirectEvent,
    RequestReceived,
    StopTimeExpired,
    StreamClosed,
)
from .exchange import Exchange, ExchangeTable
from .held_request import HeldRequestQueue
from .http import HttpRequest
from .linelog import LineLog, create_failure_logger, log_failure
from .peer_link import PeerLink
from .request_log import RequestLog
from .route import CallerLimits
from .settings import DirectSettings, peer_update_interval
from .target_calls import TargetCalls

if t.TYPE_CHECKING:
    from .explanation import Explanation

MAX_WAKE_DELAY = 0.1  # seconds; longer delays are logged; a pass takes half of it
IDLE_CHECK_INTERVAL = 0.5  # seconds between checks of all connections


class DirectEntry:
    """An entry that connects to its targets directly, without agents."""

    def __init__(
        self,
        board: DirectBoard,
        dispatcher: DirectDispatcher,
        dialect: Dialect,
        settings: DirectSettings,
        metrics: Metrics,
        log: LineLog,
        rng: random.Random,
        peers: PeerLink,
        resync_store: t.Callable[[], None],
        failure_domain: str,
    ) -> None:
        self._board = board
        self._dispatcher = dispatcher
        self._dialect = dialect
        self._settings = settings
        self._metrics = metrics
        self._log = log
        self._peers = peers
        self._resync_store = resync_store
        self._loop = asyncio.get_running_loop()
        self._tasks = Tasks(create_failure_logger(log))
        self._target_calls = TargetCalls(board, dialect, settings, log, self.handle)
        self._buffers = CallerBuffers[CallerConnection](
            settings.caller_buffers.max_size
        )
        self._request_log = RequestLog(board, failure_domain, metrics, log)
        self._exchanges = ExchangeTable()
        self._held = HeldRequestQueue(
            settings.cold_start,
            dialect,
            log,
            lambda connection, request: self._admission.answer(connection, request),
        )
        self._admission = CallerAdmission(
            self,
            board,
            dialect,
            metrics,
            log,
            rng,
            self._exchanges,
            self._held,
            self._end_failed_request,
        )
        self._buffer_limiter = BufferLimiter(
            self._buffers,
            settings.caller_buffers,
            self._exchanges,
            self._held,
            dialect,
            metrics,
            log,
            self.handle,
            self.caller_disconnected,
        )
        self._connections: set[CallerConnection] = set()
        self._stopped_reading = False
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due = float("inf")

    @property
    def limits(self) -> CallerLimits:
        """Return the deployment's limits on callers, or the defaults."""
        table = self._board.table
        return table.deployment.limits if table else CallerLimits()

    @property
    def ready(self) -> bool:
        """Return whether the entry has a deployment and is not stopping."""
        return self._board.table is not None and self._board.stopping_at is None

    @property
    def busy(self) -> bool:
        """Return whether a request is in flight, or an answer not yet sent."""
        return bool(self._exchanges) or self.unsent_size > 0

    @property
    def unsent_size(self) -> int:
        """Return the bytes of answers that callers are still to be sent."""
        return sum(connection.unsent_size for connection in self._connections)

    @property
    def stopping(self) -> bool:
        """Return whether a stop was requested."""
        return self._board.stopping_at is not None

    def start(self) -> None:
        """Start the periodic tasks."""
        self._tasks.spawn(self._close_idle_connections())
        self._tasks.spawn(self._update_peers_periodically())

    async def close(self) -> None:
        """Cancel all tasks."""
        await self._tasks.cancel()

    def handle(self, event: DirectEvent) -> None:
        """Dispatch an event and execute the resulting commands.

        An unexpected exception ends at most the request of the event.
        """
        try:
            commands = self._dispatcher.handle(event, self._loop.time())
        except Exception as error:
            self._report_failure("event not handled", event, error)
            self._end_failed_request(_find_request(event))
            commands = []
        for command in commands:
            self._try_execute(command)
        self._schedule_timer()
        if self._held and self._board.table and self._board.store_listed:
            self._held.release()

    def update_metrics(self) -> None:
        """Set the metrics of the present state."""
        self._buffers.recount(self._buffer_limiter.held_size)
        self._metrics.held(self._buffers.total)
        self._metrics.log_lines_dropped(self._log.dropped_count)
        self._metrics.readmit_domains()
        for status in self._dispatcher.evacuations():
            self._metrics.evacuated(status.failure_domain, status.running_count)

    def _try_execute(self, command: DirectCommand) -> None:
        try:
            self._execute(command)
        except Exception as error:
            self._report_failure("command not executed", command, error)
            self._end_failed_request(_find_request(command))

    def _report_failure(
        self, event: str, subject: DirectEvent | DirectCommand, error: Exception
    ) -> None:
        self._log.write(
            event,
            subject=type(subject).__name__,
            request=_find_request(subject),
            cause=repr(error),
        )

    def _end_failed_request(self, id: str | None) -> None:
        """End a request that cannot be handled, without a further failure."""
        exchange = self._exchanges.get(id)
        if exchange is None:
            return
        self._exchanges.remove(exchange)
        request = self._board.requests.get(id)
        # A request that has left the board had an answer or a failure already.
        ran = request is None or request.may_have_run
        try:
            exchange.close()
        except Exception as error:
            self._report_failure("attempt not closed", CallerDisconnected(id), error)
            ran = True  # a connection that is still open may send it
        verdict = Verdict.MAY_HAVE_RUN if ran else Verdict.NOT_RUN
        try:
            commands = self._dispatcher.handle(
                CallerDisconnected(id), self._loop.time()
            )
            for command in commands:
                self._execute(command)
        except Exception as error:
            self._report_failure("request not removed", CallerDisconnected(id), error)
            self._board.requests.pop(id, None)
        if exchange.answered:
            return
        self._metrics.refused(Reason.INTERNAL_ERROR, verdict)
        if exchange.relay_started:
            exchange.connection.abort()
            return
        status = get_failure_status(Reason.INTERNAL_ERROR, verdict)
        exchange.connection.send_answer(
            status, self._dialect.entry_headers(id, None if ran else 0.0), b""
        )

    def explain(
        self, inbound: InboundRequest, store_heard_at: float | None
    ) -> "Explanation":
        """Return what a request would lead to now, without sending it."""
        return self._dispatcher.explain(inbound, self._loop.time(), store_heard_at)

    def stop(self) -> None:
        """Begin to stop: accept requests for a while, then finish the rest."""
        self.handle(StopRequested())
        self._held.refuse_all()

    def fail_unfinished(self) -> None:
        """Fail the requests that the process has no more time for.

        Connections are closed for reading at once, as further requests could
        not be answered; what is still to be sent is sent.
        """
        self.handle(StopTimeExpired())
        self._stopped_reading = True
        for connection in list(self._connections):
            if connection.reading_request:
                headers = self._dialect.entry_headers("", 0.0)
                connection.refuse(503, Reason.STOPPING, headers)
            connection.close()

    # Callers

    def connection_opened(self, connection: CallerConnection) -> None:
        """Add a connection."""
        self._connections.add(connection)
        if self._stopped_reading:
            connection.close()

    def connection_closed(self, connection: CallerConnection) -> None:
        """Remove a connection."""
        self._connections.discard(connection)
        self._buffers.remove(connection)

    def request_rejected(
        self, connection: CallerConnection, status: int, reason: Reason
    ) -> None:
        """Count and log a request that was refused before it was complete."""
        self._metrics.refused(reason, Verdict.NOT_RUN)
        self._log.write(
            "incomplete request refused", status=status, reason=reason.value
        )

    def request_received(
        self, connection: CallerConnection, request: HttpRequest
    ) -> None:
        """Admit a request, hold it for a deployment, or reject it."""
        self._admission.receive(connection, request)

    def backpressure_changed(self, connection: CallerConnection, blocked: bool) -> None:
        """Dispatch a change of a caller's backpressure."""
        exchange = self._exchanges.find_current(connection)
        if exchange is not None:
            self.handle(CallerBackpressureChanged(exchange.inbound.request.id, blocked))

    def caller_disconnected(self, connection: CallerConnection) -> None:
        """Cancel the request of a caller that closed its connection."""
        if self._held.remove(connection) is not None:
            return
        exchange = self._exchanges.find_current(connection)
        if exchange is None:
            return
        id = exchange.inbound.request.id
        self._request_log.record_disconnect(exchange)
        self.handle(CallerDisconnected(id))
        self._remove_exchange(exchange)

    def buffers_changed(self, connection: CallerConnection) -> None:
        """Count what is held for a connection, and keep to the bound."""
        self._buffer_limiter.count(connection)
        if self._buffers.recount_due:
            self._buffer_limiter.reduce()

    # Commands

    def _execute(self, command: DirectCommand) -> None:
        match command:
            case UpdatePeers(for_all_cells=True):
                self._peers.send_update(self._board.entry_names, command)
            case UpdatePeers():
                self._peers.send_update(self._board.peer_names, command)
            case SendAttempt():
                self._send_attempt(command)
            case RelayStream(request):
                exchange = self._exchanges[request]
                if exchange.start_relay():
                    self._request_log.record_first_token(exchange)
            case FinishAnswer(request):
                self._finish(request)
            case DeliverAnswer(request):
                self._deliver(request)
            case FailRequest():
                self._fail(command)
            case AbortAnswer(request, reason):
                self._abort(request, reason)
            case CancelAttempt(attempt):
                exchange = self._exchanges.get(attempt.request)
                if exchange is not None:
                    exchange.cancel(attempt)
            case ReserveMemory(reservation, agent, memory):
                self._tasks.spawn(
                    self._target_calls.reserve(reservation, agent, memory)
                )
            case ReleaseMemory(reservation, agent):
                self._tasks.spawn(self._target_calls.release(reservation, agent))
            case ProbeTarget(target, address):
                self._tasks.spawn(self._target_calls.probe(target, address))
            case ResyncStore():
                self._resync_store()
            case LogChange(change, subject, detail):
                self._log.write(change, subject=subject, detail=detail)
            case RecordTargetState(target, state, detail):
                self._metrics.target_changed(state.value)
                self._log.write(f"target {state.value}", subject=target, detail=detail)
            case RecordEjection(target, evidence, detail):
                self._metrics.target_ejected(evidence.value)
                self._log.write(
                    "target ejected",
                    subject=target,
                    evidence=evidence.value,
                    detail=detail,
                )

    def _send_attempt(self, command: SendAttempt) -> None:
        exchange = self._exchanges[command.attempt.request]
        self._request_log.record_attempt(exchange, command)
        attempt = exchange.start_attempt(command)
        self._tasks.spawn(attempt.open(self._settings.timeouts.connect_timeout))

    def _finish(self, request: str) -> None:
        exchange = self._exchanges[request]
        exchange.finish()
        self._request_log.record_answer(exchange)
        self._remove_exchange(exchange)

    def _deliver(self, request: str) -> None:
        exchange = self._exchanges[request]
        exchange.deliver()
        self._request_log.record_answer(exchange)
        self._remove_exchange(exchange)

    def _fail(self, command: FailRequest) -> None:
        exchange = self._exchanges[command.request]
        status = get_failure_status(command.reason, command.verdict)
        self._request_log.record_failure(exchange, command, status)
        headers = self._dialect.entry_headers(command.request, command.retry_after)
        exchange.close()  # nothing is sent once the caller has its answer
        exchange.connection.send_answer(status, headers, b"")
        self._remove_exchange(exchange)

    def _abort(self, request: str, reason: Reason) -> None:
        exchange = self._exchanges[request]
        self._request_log.record_abort(exchange, reason)
        exchange.connection.abort()
        self._remove_exchange(exchange)

    def _remove_exchange(self, exchange: Exchange) -> None:
        exchange.close()
        self._exchanges.remove(exchange)
        self._buffer_limiter.count(exchange.connection)

    # Time

    def _schedule_timer(self) -> None:
        due = self._board.timers.next_due
        if due is None or due >= self._timer_due:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_due = due
        self._timer = self._loop.call_at(due, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self._timer_due = float("inf")
        self.handle(Tick())

    async def _close_idle_connections(self) -> None:
        """Close connections that exceed the header or the idle timeout."""
        while True:
            await asyncio.sleep(IDLE_CHECK_INTERVAL)
            with log_failure(self._log, "periodic task failed"):
                self._check_connections()

    def _check_connections(self) -> None:
        now = self._loop.time()
        limits = self.limits
        self._buffer_limiter.reduce()
        for connection in list(self._connections):
            started_at = connection.head_started_at
            if started_at is not None and now - started_at > limits.header_timeout:
                connection.refuse(408)
            elif (
                connection.awaiting_request
                and now - connection.last_active_at > limits.idle_timeout
            ):
                connection.close()

    async def _update_peers_periodically(self) -> None:
        """Send all work in flight to peers, in case datagrams were lost."""
        while True:
            await self._sleep(
                peer_update_interval(self._settings, len(self._board.peer_names))
            )
            with log_failure(self._log, "periodic task failed"):
                for command in self._dispatcher.report_to_peers(self._loop.time()):
                    self._execute(command)

    async def _sleep(self, seconds: float) -> None:
        """Sleep, and log if the process woke up much later than due."""
        due = self._loop.time() + seconds
        await asyncio.sleep(seconds)
        delay = self._loop.time() - due
        if delay > MAX_WAKE_DELAY:
            self._log.write("event loop delayed", by=round(delay, 3))

    def begin_attempt(self, attempt: AttemptId) -> bool:
        """Dispatch that an attempt's connection has opened.

        Return whether to send it.
        """
        self.handle(AttemptConnected(attempt))
        request = self._board.current_request(attempt)
        return request is not None and request.attempts[-1].state == STARTED

    def attempt_failed(
        self, attempt: AttemptId, reason: Reason, verdict: Verdict
    ) -> None:
        """Log and dispatch the failure of an attempt."""
        exchange = self._exchanges[attempt.request]
        self._request_log.record_attempt_failure(exchange, attempt, reason, verdict)
        self.handle(AttemptFailed(attempt, reason, verdict))

    def attempt_raised(self, attempt: AttemptId, error: Exception) -> None:
        """Log an unexpected exception and end the attempt's request."""
        self._log.write(
            "attempt not handled", request=attempt.request, cause=repr(error)
        )
        self._end_failed_request(attempt.request)

    def stream_ended(
        self, attempt: AttemptId, self_delimited: bool, has_events: bool
    ) -> None:
        """Dispatch the end of a stream that has no incomplete event."""
        if self_delimited:
            self.handle(AnswerCompleted(attempt, 0))
        else:
            self.handle(StreamClosed(attempt, has_events))


def get_failure_status(reason: Reason, verdict: Verdict) -> int:
    """Return the HTTP status of a failed request: 503 if it did not run."""
    if verdict is Verdict.NOT_RUN:
        return 503
    return 504 if reason is Reason.DEADLINE_EXCEEDED else 502


def _find_request(subject: DirectEvent | DirectCommand) -> str | None:
    """Return the id of the request that an event or a command concerns."""
    match subject:
        case RequestReceived(inbound):
            return inbound.request.id
        case ReserveMemory() | ReleaseMemory() | MemoryReserved() | AttemptRefused():
            return None  # the request goes on without that memory
    attempt = getattr(subject, "attempt", None)
    if isinstance(attempt, AttemptId):
        return attempt.request
    request = getattr(subject, "request", None)
    return request if isinstance(request, str) else None
