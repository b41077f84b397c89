"""An entry: carries out what its dispatcher decides."""

import asyncio
import itertools
import random
import typing as t

from .admission import request_priority
from .backing.hosts import HostList
from .backing.store import Store
from .board import EntryBoard
from .catalogue import Catalogue
from .claim import Claimer, ClaimSettings
from .clock import Clock
from .command import (
    CancelAttempt,
    CountDrop,
    CountRetry,
    EntryCommand,
    PrefillSegment,
    ReadKey,
    RelayChunk,
    ReplayResult,
    ResumeAnswer,
    SealAttempt,
    SendAttempt,
    SwapKey,
)
from .dispatch import Dispatcher
from .event import (
    EntryEvent,
    RequestReceived,
    ResultCaptured,
    StoreCallFinished,
    StoreResult,
    StoreUnreachable,
)
from .exceptions import LeaseLost, PlatformError, StoreUnavailable, StoreUnknown
from .exchange import Exchange, prefill_tokens
from .expiry import ExpiryLeases
from .frame import headers
from .group import GroupCoordinator, GroupSettings
from .host import Host
from .identity import AgentId, AttemptId
from .lifecycle import (
    AttemptFailed,
    AttemptRefused,
    CallerDisconnected,
    FailRequest,
    FinishAnswer,
    ReleaseMemory,
    ReserveMemory,
    StopRequested,
    Tick,
)
from .linkset import LinkOwner, LinkSet
from .log import LOGGER, for_request
from .metric import Metrics
from .problem import Problem
from .prompt import extract_segments
from .quota import Quotas, QuotaSettings
from .reason import Reason
from .request import Call, Prompt, Request
from .retry import RetryPolicy, RetrySettings
from .routing import (
    LeastOutstanding,
    LengthAware,
    RoundRobin,
    Router,
    RoutingSettings,
)
from .settings import EntrySettings, PolicyName, Settings
from .utils import Tasks
from .verdict import Verdict
from .wire import link_pb2 as wire

TICK = 0.02  # seconds
NONCE_BITS = 64

POLICIES = {
    PolicyName.LENGTH_AWARE: LengthAware(),
    PolicyName.LEAST_OUTSTANDING: LeastOutstanding(samples=64),
    PolicyName.ROUND_ROBIN: RoundRobin(),
}


class Entry:
    """Runs callers' requests on the targets; a receiver of all its links."""

    def __init__(
        self,
        settings: Settings,
        store: Store,
        hosts: HostList,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._name = settings.name
        owner = LinkOwner(settings.name, f"{settings.name}.{clock.now():.6f}")
        self._owner = owner.owner
        self._settings: EntrySettings = settings.entry
        self._hosts_interval = settings.platform.hosts_interval
        self._store = store
        self._hosts = hosts
        self._clock = clock
        self._metrics = metrics
        self._random = random.Random(settings.entry.seed)
        self._expiry = ExpiryLeases(store, clock)
        self._board = EntryBoard()
        self._exchanges: dict[str, Exchange] = {}
        self._tasks = Tasks(LOGGER)
        self._links = LinkSet(
            owner, settings.entry, self._board, clock, self, self._tasks
        )
        self._quotas = Quotas(QuotaSettings(max_entries=settings.entry.quota_entries))
        self._dispatcher = self._build()
        self._may_serve: t.Callable[[], bool] = lambda: True

    @property
    def clock(self) -> Clock:
        """Return the clock that deadlines are set by."""
        return self._clock

    @property
    def catalogue(self) -> Catalogue:
        """Return the catalogue that is in force here."""
        return self._board.catalogue

    @property
    def ready(self) -> bool:
        """Tell whether the entry takes new requests."""
        read = bool(self._board.catalogue.revision)
        return not self._board.stopping and read and self.in_touch

    @property
    def in_touch(self) -> bool:
        """Tell whether no catalogue change can have passed the entry by."""
        return self._may_serve()

    @property
    def hosts(self) -> tuple[Host, ...]:
        """Return the hosts that the host list showed last."""
        return self._links.hosts

    @property
    def busy(self) -> bool:
        """Tell whether requests are not finished yet."""
        return bool(self._exchanges) or self._dispatcher.busy

    @property
    def board(self) -> EntryBoard:
        """Return the state that decisions read."""
        return self._board

    def guard(self, may_serve: t.Callable[[], bool]) -> None:
        """Take new requests only while a condition holds."""
        self._may_serve = may_serve

    def set_catalogue(self, catalogue: Catalogue) -> None:
        """Put a catalogue in force, unless a later one already is."""
        current = self._board.catalogue
        if catalogue.revision <= current.revision:
            return
        self._board.catalogue = catalogue
        if catalogue.services != current.services:
            self._links.update()

    def start(self) -> None:
        """Begin to keep time and to watch the host list."""
        self._tasks.spawn(self._keep_time())
        self._tasks.spawn(self._watch_hosts())

    def stop(self) -> None:
        """Take no new requests."""
        self._feed(StopRequested())

    async def close(self) -> None:
        """Drop everything."""
        await self._tasks.cancel()
        await self._links.close()

    def new_id(self) -> str:
        """Return an id that no other request has."""
        return f"{self._random.getrandbits(NONCE_BITS):016x}"

    def submit(self, exchange: Exchange) -> None:
        """Begin to have a request answered."""
        request = exchange.request
        self._exchanges[request.id] = exchange
        self._metrics.arrived(request.priority_class)
        over = self._quotas.admit(request, self.catalogue, self._clock.now())
        if over is not None:
            verdict = Verdict.NOT_RUN
            self._fail(FailRequest(request.id, over.reason, verdict, over.retry_after))
            return
        self._feed(RequestReceived(request))

    def hang_up(self, exchange: Exchange) -> None:
        """Drop a request whose caller has gone."""
        if exchange.request.id in self._exchanges:
            self._feed(CallerDisconnected(exchange.request.id))

    def count_refusal(self, reason: Reason) -> None:
        """Count a request that was not admitted."""
        self._metrics.refused(reason, Verdict.NOT_RUN)

    def on_report(self, agent: AgentId, report: wire.Report) -> None:
        """Drop a report, which no link of an entry's requests asks for."""
        self._metrics.dropped("report")

    def on_event(self, event: EntryEvent) -> None:
        """Take in an event from a link."""
        self._feed(event)

    def on_head(self, attempt: AttemptId, head: wire.Head) -> None:
        """Take in an answer's status and headers from a link."""
        if self._dispatcher.current_request(attempt) is None:
            self._metrics.dropped("head")
            return
        exchange = self._exchanges[attempt.request]
        pairs = [(header.name, header.value) for header in head.headers]
        exchange.set_head(attempt, head.status, pairs)

    def on_chunk(self, attempt: AttemptId, offset: int, data: bytes) -> None:
        """Take in a piece of an answer from a link."""
        for command in self._dispatcher.handle_chunk(attempt, offset, len(data)):
            match command:
                case RelayChunk(request, skip):
                    self._relay(self._exchanges[request], data[skip:])
                case _:
                    self._carry_out(command)

    def _build(self) -> Dispatcher:
        rng = random.Random(self._random.getrandbits(NONCE_BITS))
        policy = POLICIES[self._settings.routing]
        router = Router(RoutingSettings(policy=policy), rng)
        groups = GroupCoordinator(
            GroupSettings(), self._board, router, self._make_attempt
        )
        claims = Claimer(self._owner, ClaimSettings(), itertools.count(1), rng)
        retries = RetryPolicy(RetrySettings(), rng)
        return Dispatcher(
            self._board,
            router,
            groups,
            claims,
            retries,
            self._make_attempt,
            self._settings,
        )

    def _make_attempt(self, request: str, number: int) -> AttemptId:
        return AttemptId(request, number, self.new_id())

    def _feed(self, event: EntryEvent) -> None:
        for command in self._dispatcher.handle(event, self._clock.now()):
            self._carry_out(command)

    def _carry_out(self, command: EntryCommand) -> None:
        match command:
            case SendAttempt(attempt, agent, members):
                self._send_start(attempt, agent, members)
            case PrefillSegment():
                self._send_prefill(command)
            case ReserveMemory():
                self._send_reserve(command)
            case CancelAttempt(attempt, agent):
                cancel = wire.Cancel(attempt=str(attempt))
                self._links.send(agent, wire.EntryFrame(cancel=cancel))
            case ReleaseMemory(attempt, agent):
                release = wire.Release(attempt=str(attempt))
                self._links.send(agent, wire.EntryFrame(release=release))
            case ResumeAnswer(attempt, agent, offset):
                self._send_resume(attempt, agent, offset)
            case SealAttempt(attempt, agent):
                self._send_seal(command)
            case FinishAnswer(request):
                self._finish(request)
            case FailRequest():
                self._fail(command)
            case ReplayResult(request, result):
                self._quotas.release(request)
                self._exchanges.pop(request).replay(result)
            case ReadKey(call, key):
                self._tasks.spawn(self._read(call, key))
            case SwapKey():
                self._tasks.spawn(self._swap(command))
            case CountRetry(reason):
                self._metrics.retried(reason)
            case CountDrop(kind):
                self._metrics.dropped(kind)

    def _relay(self, exchange: Exchange, data: bytes) -> None:
        if exchange.first_byte is None:
            exchange.first_byte = self._clock.now()
            self._record_first(exchange)
        exchange.add(data)
        if exchange.held > self._settings.max_answer:
            self._drop_answer(exchange)

    def _drop_answer(self, exchange: Exchange) -> None:
        attempt = exchange.attempt
        reason, verdict = Reason.ANSWER_TOO_LARGE, Verdict.MAY_HAVE_RUN
        self._feed(AttemptFailed(attempt, reason, verdict))

    def _record_first(self, exchange: Exchange) -> None:
        request = exchange.request
        if isinstance(request.work, Prompt):
            seconds = exchange.first_byte - request.arrived
            self._metrics.first_token(seconds, request.work.tokens)

    def _finish(self, request: str) -> None:
        self._quotas.release(request)
        exchange = self._exchanges.pop(request)
        self._metrics.answered(exchange.request.priority_class)
        if exchange.request.needs_claim:
            self._feed(ResultCaptured(request, exchange.kept()))
        exchange.finish()

    def _fail(self, command: FailRequest) -> None:
        self._quotas.release(command.request)
        exchange = self._exchanges.pop(command.request, None)
        if exchange is None:
            return
        self._metrics.refused(command.reason, command.verdict)
        for_request(command.request).info(
            "request ended: %s, %s", command.reason.value, command.verdict.value
        )
        exchange.fail(
            Problem(
                command.reason,
                command.verdict,
                retry_after=command.retry_after,
                request=command.request,
            )
        )

    def _send_start(
        self, attempt: AttemptId, agent: AgentId, members: tuple[AgentId, ...]
    ) -> None:
        exchange = self._exchanges[attempt.request]
        request = exchange.request
        exchange.begin_attempt(agent.target)
        pairs = [
            *exchange.headers,
            ("X-Request-Id", request.id),
            ("X-Attempt-Id", str(attempt)),
            ("X-Priority", str(self._priority(request))),
        ]
        if members:
            pairs.append(("X-Context", str(exchange.context)))
        start = wire.Start(
            attempt=str(attempt),
            incarnation=agent.incarnation,
            deadline=request.deadline,
            priority=self._priority(request),
            idempotent=request.idempotent,
            prefill=prefill_tokens(request),
            memory=0 if isinstance(request.work, Call) else request.work.memory,
            method=exchange.method,
            path=exchange.path,
            headers=headers(pairs),
            body=exchange.body,
            members=exchange.members if members else [],
            plain=isinstance(request.work, Call),
        )
        if not self._links.send(agent, wire.EntryFrame(start=start)):
            event = AttemptRefused(attempt, Reason.LINK_DOWN)
            asyncio.get_running_loop().call_soon(self._feed, event)

    def _send_prefill(self, command: PrefillSegment) -> None:
        exchange = self._exchanges[command.attempt.request]
        if not command.members:
            exchange.begin_group()
        exchange.targets.append(command.agent.target)
        exchange.context = command.stop
        model = self.catalogue.models[exchange.request.work.model]
        bounds = (command.start, command.stop)
        (body,) = extract_segments(exchange.prompt, bounds, model.bytes_per_token)
        prefill = wire.Prefill(
            attempt=str(command.attempt),
            start=command.start,
            stop=command.stop,
            model=model.name,
            members=exchange.members,
            body=body,
        )
        self._links.send(command.agent, wire.EntryFrame(prefill=prefill))
        self._remember_member(exchange, command)

    def _send_reserve(self, command: ReserveMemory) -> None:
        request = self._exchanges[command.attempt.request].request
        reserve = wire.Reserve(
            attempt=str(command.attempt),
            incarnation=command.agent.incarnation,
            deadline=request.deadline,
            priority=self._priority(request),
            memory=command.memory,
        )
        if not self._links.send(command.agent, wire.EntryFrame(reserve=reserve)):
            event = AttemptRefused(command.attempt, Reason.LINK_DOWN)
            asyncio.get_running_loop().call_soon(self._feed, event)

    def _send_resume(self, attempt: AttemptId, agent: AgentId, offset: int) -> None:
        exchange = self._exchanges.get(attempt.request)
        if exchange is None:
            return
        resume = wire.Resume(
            attempt=str(attempt), offset=offset, deadline=exchange.request.deadline
        )
        self._links.send(agent, wire.EntryFrame(resume=resume))

    def _send_seal(self, command: SealAttempt) -> None:
        seal = wire.Seal(
            attempt=str(command.attempt),
            incarnation=command.agent.incarnation,
            deadline=command.deadline,
        )
        if not self._links.send(command.agent, wire.EntryFrame(seal=seal)):
            self._links.open_for_seal(command.agent.target)

    def _remember_member(self, exchange: Exchange, command: PrefillSegment) -> None:
        address = self._board.targets[command.agent.target].host.address
        exchange.members.append(f"{address}/{command.attempt}")

    def _priority(self, request: Request) -> int:
        by_length = self._settings.routing is PolicyName.LENGTH_AWARE
        return request_priority(request, self.catalogue, by_length)

    async def _read(self, call: int, key: str) -> None:
        self._feed(StoreCallFinished(call, await self._store.get(key)))

    async def _swap(self, command: SwapKey) -> None:
        result = await self._try_swap(command)
        self._feed(StoreCallFinished(command.call, result))

    async def _try_swap(self, command: SwapKey) -> StoreResult:
        lease = None
        try:
            if command.expires is not None:
                lease = await self._expiry.covering(command.expires)
            return await self._store.swap(
                command.key, command.version, command.value, lease
            )
        except LeaseLost:
            self._expiry.forget(lease)
            return StoreUnreachable()
        except (StoreUnavailable, StoreUnknown):
            return StoreUnreachable()  # no lease was granted, so nothing was written

    async def _keep_time(self) -> None:
        while True:
            await asyncio.sleep(TICK)
            self._feed(Tick())

    async def _watch_hosts(self) -> None:
        while True:
            try:
                self._links.set_hosts(tuple(await self._hosts.poll()))
            except PlatformError as error:
                LOGGER.warning("host list not read: %s", error)
            await asyncio.sleep(self._hosts_interval)
