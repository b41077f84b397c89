"""Carries out a direct entry's decisions: callers, targets and peers."""

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
from .board import DirectBoard, InboundRequest
from .caller_connection import CallerConnection
from .command import (
    AbortAnswer,
    CancelAttempt,
    DeliverAnswer,
    DirectCommand,
    LogChange,
    ProbeTarget,
    RelayStream,
    ResyncStore,
    SendAttempt,
    UpdatePeers,
)
from .dialect import Dialect, Rejection
from .dispatch import DirectDispatcher
from .event import CallerBackpressureChanged, DirectEvent, RequestReceived
from .exchange import Exchange
from .http import HttpRequest
from .linelog import LineLog
from .peers import PeerLink
from .route import CallerLimits
from .settings import DirectSettings, peer_update_interval
from .target_calls import TargetCalls

LATE_WAKING = 0.1  # seconds; a pass of an engine takes half of that
SWEEP_INTERVAL = 0.5  # seconds between looks at idle connections


class DirectEntry:
    """Answers callers by the targets that it speaks to itself."""

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
        self._loop = asyncio.get_running_loop()
        self._tasks = Tasks(log_failures(log))
        self._calls = TargetCalls(board, dialect, settings, log, self.handle)
        self._exchanges: dict[str, Exchange] = {}
        self._callers: dict[CallerConnection, Exchange] = {}
        self._connections: set[CallerConnection] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due = float("inf")

    @property
    def limits(self) -> CallerLimits:
        """Return the limits that callers are held to."""
        table = self._board.table
        return table.deployment.limits if table else CallerLimits()

    @property
    def ready(self) -> bool:
        """Tell whether new connections are welcome."""
        return self._board.table is not None and self._board.stopping_at is None

    @property
    def busy(self) -> bool:
        """Tell whether any request is still to be answered."""
        return bool(self._exchanges)

    @property
    def stopping(self) -> bool:
        """Tell whether the process is to end soon."""
        return self._board.stopping_at is not None

    def start(self) -> None:
        """Begin the work that no request asks for."""
        self._tasks.spawn(self._sweep())
        self._tasks.spawn(self._account())

    async def close(self) -> None:
        """Close all connections."""
        await self._tasks.cancel()
        for connection in list(self._connections):
            connection.close()

    def handle(self, event: DirectEvent) -> None:
        """Decide on an event now, and do what it asks for."""
        now = self._loop.time()
        for command in self._dispatcher.handle(event, now):
            self._do(command)
        self._schedule()

    def stop(self) -> None:
        """Take nothing new after a while; what runs is finished."""
        self.handle(StopRequested())

    # Callers

    def connection_opened(self, connection: CallerConnection) -> None:
        """Note a connection."""
        self._connections.add(connection)

    def connection_closed(self, connection: CallerConnection) -> None:
        """Note the end of a connection."""
        self._connections.discard(connection)

    def request_rejected(self, connection: CallerConnection, status: int) -> None:
        """Note a request that was refused as it was read."""
        reason = {413: Reason.BODY_TOO_LARGE}.get(status, Reason.BAD_REQUEST)
        self._metrics.refused(reason, Verdict.NOT_RUN)
        self._log.write("request refused unread", status=status, reason=reason.value)

    def request_received(
        self, connection: CallerConnection, request: HttpRequest
    ) -> None:
        """Answer a request."""
        connection.closing = connection.closing or self.stopping
        read = self._dialect.parse_request(
            request, self._board.table, self._random.random()
        )
        match read:
            case Rejection():
                self._reject(connection, read)
            case InboundRequest():
                self._admit(connection, request, read)

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
        retry_after = 0.0 if rejection.status == 503 else None
        headers = self._dialect.entry_headers(rejection.request, retry_after)
        connection.answer(rejection.status, headers, b"")

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
        exchange = Exchange(self, self._dialect, connection, request, inbound)
        self._exchanges[id] = exchange
        self._callers[connection] = exchange
        self._metrics.arrived(inbound.route.name)
        self.handle(RequestReceived(inbound))

    def backpressure_changed(self, connection: CallerConnection, blocked: bool) -> None:
        """Tell the decisions of a caller that takes its answer slowly."""
        exchange = self._callers.get(connection)
        if exchange is not None:
            self.handle(CallerBackpressureChanged(exchange.inbound.request.id, blocked))

    def caller_gone(self, connection: CallerConnection) -> None:
        """Carry a caller's hang-up on to its target."""
        exchange = self._callers.get(connection)
        if exchange is None:
            return
        id = exchange.inbound.request.id
        self._metrics.refused(Reason.CALLER_GONE, Verdict.MAY_HAVE_RUN)
        self._log.write("caller gone", request=id, **exchange.log_fields())
        self.handle(CallerDisconnected(id))
        self._forget(exchange)

    # Commands

    def _do(self, command: DirectCommand) -> None:
        match command:
            case UpdatePeers(work_items, ended, unreachable):
                self._peers.send_update(
                    self._board.peer_names, work_items, ended, unreachable
                )
            case SendAttempt():
                self._send(command)
            case RelayStream(request):
                exchange = self._exchanges[request]
                if exchange.start_relay():
                    self._first_token(exchange)
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
                work = self._calls.reserve(reservation, agent.target, memory)
                self._tasks.spawn(work)
            case ReleaseMemory(reservation, agent):
                self._tasks.spawn(self._calls.release(reservation, agent.target))
            case ProbeTarget(target, address):
                self._tasks.spawn(self._calls.probe(target, address))
            case ResyncStore():
                self._resync_store()
            case LogChange(change, subject, detail):
                self._log.write(change, subject=subject, detail=detail)

    def _send(self, command: SendAttempt) -> None:
        exchange = self._exchanges[command.attempt.request]
        placement = command.placement
        self._log.write(
            "attempt sent",
            request=command.attempt.request,
            attempt=command.attempt.number,
            target=command.target.target,
            members=[member.target for member in placement.members],
            part=round(placement.prefill_time, 4),
            predicted=round(placement.time_to_first_event, 4),
            cost=round(placement.cost, 4),
            candidates=placement.candidates,
            after=command.last_event_id,
            left=round(command.deadline - self._loop.time(), 3),
        )
        attempt = exchange.start_attempt(command)
        self._tasks.spawn(attempt.open(self._settings.timeouts.connect_timeout))

    def _finish(self, request: str) -> None:
        exchange = self._exchanges[request]
        exchange.finish()
        self._answered(exchange)

    def _deliver(self, request: str) -> None:
        exchange = self._exchanges[request]
        exchange.deliver()
        self._answered(exchange)

    def _answered(self, exchange: Exchange) -> None:
        name = exchange.inbound.route.name
        took = self._loop.time() - exchange.inbound.request.arrived
        self._metrics.answered(name)
        self._metrics.answer_time(took, name)
        self._log.write(
            "request answered",
            request=exchange.inbound.request.id,
            **exchange.log_fields(),
        )
        self._forget(exchange)

    def _first_token(self, exchange: Exchange) -> None:
        request = exchange.inbound.request
        waited = self._loop.time() - request.arrived
        self._metrics.first_token(waited, request.prefill)

    def _fail(self, command: FailRequest) -> None:
        exchange = self._exchanges[command.request]
        status = failure_status(command.reason, command.verdict)
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
        exchange.connection.answer(status, headers, b"")
        self._forget(exchange)

    def _abort(self, request: str, reason: Reason) -> None:
        exchange = self._exchanges[request]
        self._metrics.refused(reason, Verdict.MAY_HAVE_RUN)
        self._log.write(
            "answer broken off",
            request=request,
            reason=reason.value,
            **exchange.log_fields(),
        )
        exchange.connection.abort()
        self._forget(exchange)

    def _forget(self, exchange: Exchange) -> None:
        exchange.close()
        self._exchanges.pop(exchange.inbound.request.id, None)
        if self._callers.get(exchange.connection) is exchange:
            del self._callers[exchange.connection]

    # Time

    def _schedule(self) -> None:
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

    async def _sweep(self) -> None:
        """Close connections that are idle or slow for too long."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL)
            now = self._loop.time()
            limits = self.limits
            for connection in list(self._connections):
                since = connection.head_started_at
                if since is not None and now - since > limits.header_timeout:
                    connection.refuse(408)
                elif (
                    connection.awaiting_request
                    and now - connection.active_at > limits.idle_timeout
                ):
                    connection.close()

    async def _account(self) -> None:
        """Tell peers of all work under way, which mends lost datagrams."""
        while True:
            await self._pause(
                peer_update_interval(self._settings, len(self._board.peer_names))
            )
            work_items = [
                work
                for state in self._board.requests.values()
                for work in state.work_items
                if work.generates_answer or not work.decoding
            ]
            # An empty account is a heartbeat.
            self._peers.send_update(self._board.peer_names, work_items)

    async def _pause(self, seconds: float) -> None:
        """Sleep, and log if the process was late to wake."""
        due = self._loop.time() + seconds
        await asyncio.sleep(seconds)
        late = self._loop.time() - due
        if late > LATE_WAKING:
            self._log.write("process late", by=round(late, 3))

    def failed(self, attempt: AttemptId, reason: Reason, verdict: Verdict) -> None:
        """Note the end of an attempt without a whole answer."""
        self._log.write(
            "attempt failed",
            request=attempt.request,
            attempt=attempt.number,
            reason=reason.value,
            verdict=verdict.value,
        )
        self.handle(AttemptFailed(attempt, reason, verdict))

    def ended(self, attempt: AttemptId) -> None:
        """Note the whole end of a stream."""
        self.handle(AnswerCompleted(attempt, 0))


def failure_status(reason: Reason, verdict: Verdict) -> int:
    """Return the status that says whether a request may have run."""
    if verdict is Verdict.NOT_RUN:
        return 503
    return 504 if reason is Reason.DEADLINE_EXCEEDED else 502


class _FailureLog:
    """Has a failed task written as a line of the log."""

    def __init__(self, log: LineLog) -> None:
        self._log = log

    def error(self, message: str, exc_info: BaseException) -> None:
        self._log.write(message, cause=repr(exc_info))


def log_failures(log: LineLog) -> t.Any:
    """Return what ``utils.Tasks`` reports failed tasks to."""
    return _FailureLog(log)
