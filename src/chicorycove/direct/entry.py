"""Connects a direct entry's decisions to callers, targets and peers."""

import asyncio
import random
import typing as t

from ..identity import AttemptId
from ..lifecycle import (
    AnswerCompleted,
    AttemptFailed,
    CallerDisconnected,
    FailRequest,
    FinishAnswer,
    ReleaseMemory,
    ReserveMemory,
    StopRequested,
    Tick,
)
from ..metric import Metrics
from ..reason import Reason
from ..utils import Tasks
from ..verdict import Verdict
from .answer_buffers import AnswerBuffers
from .board import DirectBoard, InboundRequest
from .caller_connection import CallerConnection
from .cold_start import HeldRequests
from .command import (
    AbortAnswer,
    CancelAttempt,
    DeliverAnswer,
    DirectCommand,
    LogChange,
    ProbeTarget,
    RecordTargetState,
    RelayStream,
    ResyncStore,
    SendAttempt,
    UpdatePeers,
)
from .dialect import Dialect, Rejection
from .dispatch import DirectDispatcher
from .domain_cost import find_leaving_reason
from .event import (
    CallerBackpressureChanged,
    DirectEvent,
    RequestReceived,
    StreamClosed,
)
from .exchange import Exchange
from .explanation import Explanation
from .http import HttpRequest
from .linelog import LineLog
from .peers import PeerLink
from .route import CallerLimits
from .settings import DirectSettings, peer_update_interval
from .target_calls import TargetCalls
from .target_connection import CancelledConnections

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
        self._random = rng
        self._peers = peers
        self._resync_store = resync_store
        self._failure_domain = failure_domain
        self._loop = asyncio.get_running_loop()
        self._tasks = Tasks(create_failure_logger(log))
        self._target_calls = TargetCalls(board, dialect, settings, log, self.handle)
        self._answer_buffers = AnswerBuffers()
        self._cancelled_connections = CancelledConnections()
        self._exchanges: dict[str, Exchange] = {}
        self._callers: dict[CallerConnection, Exchange] = {}
        self._held = HeldRequests[CallerConnection](
            settings.cold_start, self._loop.time()
        )
        self._held_requests: dict[CallerConnection, HttpRequest] = {}
        self._releasing = False
        self._connections: set[CallerConnection] = set()
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
        """Return whether any request is in flight."""
        return bool(self._exchanges)

    @property
    def stopping(self) -> bool:
        """Return whether a stop was requested."""
        return self._board.stopping_at is not None

    def start(self) -> None:
        """Start the periodic tasks."""
        self._tasks.spawn(self._close_idle_connections())
        self._tasks.spawn(self._update_peers_periodically())

    async def close(self) -> None:
        """Cancel the periodic tasks and close callers' connections."""
        await self._tasks.cancel()
        for connection in list(self._connections):
            connection.close()

    def handle(self, event: DirectEvent) -> None:
        """Dispatch an event and execute the resulting commands."""
        now = self._loop.time()
        for command in self._dispatcher.handle(event, now):
            self._execute(command)
        self._schedule_timer()
        if self._held_requests and self._board.table and self._board.store_listed:
            self._release_held_requests()

    def update_metrics(self) -> None:
        """Set the metrics of the present state."""
        self._metrics.readmit_domains()
        for status in self._dispatcher.evacuations():
            self._metrics.evacuated(status.failure_domain, status.running_count)

    def explain(
        self, inbound: InboundRequest, store_heard_at: float | None
    ) -> Explanation:
        """Return what a request would lead to now, without sending it."""
        return self._dispatcher.explain(inbound, self._loop.time(), store_heard_at)

    def stop(self) -> None:
        """Begin to stop: accept requests for a while, then finish the rest."""
        self.handle(StopRequested())
        for connection in list(self._held_requests):
            self._refuse_held_request(connection)

    # Callers

    def connection_opened(self, connection: CallerConnection) -> None:
        """Add a connection."""
        self._connections.add(connection)

    def connection_closed(self, connection: CallerConnection) -> None:
        """Remove a connection."""
        self._connections.discard(connection)

    def request_rejected(self, connection: CallerConnection, status: int) -> None:
        """Count and log a request that was refused before it was complete."""
        reason = {413: Reason.BODY_TOO_LARGE}.get(status, Reason.BAD_REQUEST)
        self._metrics.refused(reason, Verdict.NOT_RUN)
        self._log.write(
            "incomplete request refused", status=status, reason=reason.value
        )

    def request_received(
        self, connection: CallerConnection, request: HttpRequest
    ) -> None:
        """Admit a request, hold it for a deployment, or reject it."""
        if self._board.table is None and self._hold(connection, request):
            return
        self._answer(connection, request)

    def _answer(self, connection: CallerConnection, request: HttpRequest) -> None:
        connection.close_after_answer = connection.close_after_answer or self.stopping
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
        if rejection.reason is Reason.NOT_READY and not self.stopping:
            retry_after = self._held.retry_after(
                self._random.random(), self._loop.time()
            )
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
            self,
            self._dialect,
            connection,
            request,
            inbound,
            self._answer_buffers,
            self._cancelled_connections,
        )
        self._exchanges[id] = exchange
        self._callers[connection] = exchange
        self._metrics.arrived(inbound.route.name)
        self.handle(RequestReceived(inbound))

    def backpressure_changed(self, connection: CallerConnection, blocked: bool) -> None:
        """Dispatch a change of a caller's backpressure."""
        exchange = self._callers.get(connection)
        if exchange is not None:
            self.handle(CallerBackpressureChanged(exchange.inbound.request.id, blocked))

    def caller_disconnected(self, connection: CallerConnection) -> None:
        """Cancel the request of a caller that closed its connection."""
        if self._held.remove(connection):
            del self._held_requests[connection]
            return
        exchange = self._callers.get(connection)
        if exchange is None:
            return
        id = exchange.inbound.request.id
        self._metrics.refused(Reason.CALLER_GONE, Verdict.MAY_HAVE_RUN)
        self._log.write("caller gone", request=id, **exchange.log_fields())
        self.handle(CallerDisconnected(id))
        self._remove_exchange(exchange)

    # Requests held before the first deployment

    def _hold(self, connection: CallerConnection, request: HttpRequest) -> bool:
        """Hold a request; return whether there was time and room for it."""
        if self.stopping:
            return False
        now = self._loop.time()
        time_limit = self._dialect.parse_time_limit(request)
        hold_until = self._held.hold(
            connection, len(request.body), request.received_at, time_limit, now
        )
        if hold_until is None:
            return False
        self._held_requests[connection] = request
        self._log.write("request held", left=round(hold_until - now, 3))
        self._loop.call_at(hold_until, self._expire_held_request, connection, request)
        return True

    def _expire_held_request(
        self, connection: CallerConnection, request: HttpRequest
    ) -> None:
        if self._held_requests.get(connection) is request:
            self._refuse_held_request(connection)

    def _refuse_held_request(self, connection: CallerConnection) -> None:
        self._held.remove(connection)
        self._answer(connection, self._held_requests.pop(connection))

    def _release_held_requests(self) -> None:
        """Admit held requests one after another, by their deadlines."""
        if not self._releasing:
            self._releasing = True
            self._release_next_request()

    def _release_next_request(self) -> None:
        connection = self._held.take_next()
        if connection is None:
            self._releasing = False
            return
        interval = self._settings.cold_start.release_interval
        self._loop.call_later(interval, self._release_next_request)
        self._answer(connection, self._held_requests.pop(connection))

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
                    self._record_first_token(exchange)
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

    def _send_attempt(self, command: SendAttempt) -> None:
        exchange = self._exchanges[command.attempt.request]
        placement = command.placement
        self._log.write(
            "attempt sent",
            request=command.attempt.request,
            attempt=command.attempt.number,
            target=command.target.target,
            parts=exchange.shared_parts,
            fingerprint=exchange.inbound.fingerprint,
            members=[member.target for member in placement.members],
            part=round(placement.prefill_time, 4),
            predicted=round(placement.time_to_first_event, 4),
            cost=round(placement.cost, 4),
            candidates=placement.candidates,
            after=command.last_event_id,
            left=round(command.deadline - self._loop.time(), 3),
        )
        self._count_if_outside(command.target.target)
        attempt = exchange.start_attempt(command)
        self._tasks.spawn(attempt.open(self._settings.timeouts.connect_timeout))

    def _count_if_outside(self, target: str) -> None:
        """Count an attempt whose target is in another failure domain."""
        view = self._board.targets.get(target)
        if view is None:
            return
        reason = find_leaving_reason(
            view,
            self._board.targets.values(),
            self._failure_domain,
            self._loop.time(),
        )
        if reason is not None:
            self._metrics.left_domain(reason.value)

    def _finish(self, request: str) -> None:
        exchange = self._exchanges[request]
        exchange.finish()
        self._record_answer(exchange)

    def _deliver(self, request: str) -> None:
        exchange = self._exchanges[request]
        exchange.deliver()
        self._record_answer(exchange)

    def _record_answer(self, exchange: Exchange) -> None:
        route = exchange.inbound.route.name
        duration = self._loop.time() - exchange.inbound.request.arrived
        self._metrics.answered(route)
        self._metrics.answer_time(duration, route)
        self._log.write(
            "request answered",
            request=exchange.inbound.request.id,
            **exchange.log_fields(),
        )
        self._remove_exchange(exchange)

    def _record_first_token(self, exchange: Exchange) -> None:
        request = exchange.inbound.request
        wait_time = self._loop.time() - request.arrived
        self._metrics.first_token(wait_time, request.prefill)

    def _fail(self, command: FailRequest) -> None:
        exchange = self._exchanges[command.request]
        status = get_failure_status(command.reason, command.verdict)
        self._metrics.refused(command.reason, command.verdict)
        self._log.write(
            "request failed",
            request=command.request,
            reason=command.reason.value,
            verdict=command.verdict.value,
            status=status,
            retry_after=command.retry_after,
            **exchange.log_fields(),
        )
        headers = self._dialect.entry_headers(command.request, command.retry_after)
        exchange.connection.send_answer(status, headers, b"")
        self._remove_exchange(exchange)

    def _abort(self, request: str, reason: Reason) -> None:
        exchange = self._exchanges[request]
        self._metrics.refused(reason, Verdict.MAY_HAVE_RUN)
        self._log.write(
            "answer aborted",
            request=request,
            reason=reason.value,
            **exchange.log_fields(),
        )
        exchange.connection.abort()
        self._remove_exchange(exchange)

    def _remove_exchange(self, exchange: Exchange) -> None:
        exchange.close()
        self._exchanges.pop(exchange.inbound.request.id, None)
        if self._callers.get(exchange.connection) is exchange:
            del self._callers[exchange.connection]

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
            now = self._loop.time()
            limits = self.limits
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
            for command in self._dispatcher.report_to_peers(self._loop.time()):
                self._execute(command)

    async def _sleep(self, seconds: float) -> None:
        """Sleep, and log if the process woke up much later than due."""
        due = self._loop.time() + seconds
        await asyncio.sleep(seconds)
        delay = self._loop.time() - due
        if delay > MAX_WAKE_DELAY:
            self._log.write("event loop delayed", by=round(delay, 3))

    def attempt_failed(
        self, attempt: AttemptId, reason: Reason, verdict: Verdict
    ) -> None:
        """Log and dispatch the failure of an attempt."""
        self._log.write(
            "attempt failed",
            request=attempt.request,
            attempt=attempt.number,
            reason=reason.value,
            verdict=verdict.value,
            status=self._exchanges[attempt.request].answer_status,
        )
        self.handle(AttemptFailed(attempt, reason, verdict))

    def stream_ended(self, attempt: AttemptId, self_delimited: bool) -> None:
        """Dispatch the end of a complete stream."""
        self.handle(
            AnswerCompleted(attempt, 0) if self_delimited else StreamClosed(attempt)
        )


def get_failure_status(reason: Reason, verdict: Verdict) -> int:
    """Return the HTTP status of a failed request: 503 if it did not run."""
    if verdict is Verdict.NOT_RUN:
        return 503
    return 504 if reason is Reason.DEADLINE_EXCEEDED else 502


class _FailureLogger:
    """Logs failed tasks to a ``LineLog`` through a logger's interface."""

    def __init__(self, log: LineLog) -> None:
        self._log = log

    def error(self, message: str, exc_info: BaseException) -> None:
        self._log.write(message, cause=repr(exc_info))


def create_failure_logger(log: LineLog) -> t.Any:
    """Return a logger for ``utils.Tasks`` that writes to a ``LineLog``."""
    return _FailureLogger(log)
