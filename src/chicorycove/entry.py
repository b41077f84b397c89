"""The entry role: carries out the commands of its dispatcher."""

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
from .frame import header_messages
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
from .log import LOGGER, for_request, log_failure
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

TICK = 0.02  # seconds between ticks of the dispatcher
NONCE_BITS = 64  # size of request ids and random seeds

POLICIES = {
    PolicyName.LENGTH_AWARE: LengthAware(),
    PolicyName.LEAST_OUTSTANDING: LeastOutstanding(samples=64),
    PolicyName.ROUND_ROBIN: RoundRobin(),
}


class Entry:
    """Runs callers' requests on targets, over links to their agents."""

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
        self._owner_id = owner.owner_id
        self._settings: EntrySettings = settings.entry
        self._hosts_interval = settings.platform.hosts_interval
        self._store = store
        self._hosts = hosts
        self._clock = clock
        self._metrics = metrics
        self._random = random.Random(settings.entry.seed)
        self._leases = ExpiryLeases(store, clock)
        self._board = EntryBoard()
        self._exchanges: dict[str, Exchange] = {}
        self._tasks = Tasks(LOGGER)
        self._links = LinkSet(
            owner, settings.entry, self._board, clock, self, self._tasks
        )
        self._quotas = Quotas(QuotaSettings(max_entries=settings.entry.quota_entries))
        self._dispatcher = self._create_dispatcher()
        self._may_serve: t.Callable[[], bool] = lambda: True

    @property
    def clock(self) -> Clock:
        """Return the clock that deadlines refer to."""
        return self._clock

    @property
    def catalogue(self) -> Catalogue:
        """Return the current catalogue."""
        return self._board.catalogue

    @property
    def ready(self) -> bool:
        """Return whether the entry accepts new requests."""
        has_catalogue = bool(self._board.catalogue.revision)
        return not self._board.stopping and has_catalogue and self.may_serve

    @property
    def may_serve(self) -> bool:
        """Return whether the entry cannot have missed a catalogue change."""
        return self._may_serve()

    @property
    def hosts(self) -> tuple[Host, ...]:
        """Return the hosts of the newest host list."""
        return self._links.hosts

    @property
    def busy(self) -> bool:
        """Return whether any request or claim is unfinished."""
        return bool(self._exchanges) or self._dispatcher.busy

    @property
    def board(self) -> EntryBoard:
        """Return the state that the dispatcher reads and writes."""
        return self._board

    def set_serving_condition(self, may_serve: t.Callable[[], bool]) -> None:
        """Accept new requests only while a condition holds."""
        self._may_serve = may_serve

    def set_catalogue(self, catalogue: Catalogue) -> None:
        """Apply a catalogue, unless its revision is already superseded."""
        current = self._board.catalogue
        if catalogue.revision <= current.revision:
            return
        self._board.catalogue = catalogue
        if catalogue.services != current.services:
            self._links.update()

    def start(self) -> None:
        """Start the dispatcher's ticks and the polling of the host list."""
        self._tasks.spawn(self._tick())
        self._tasks.spawn(self._poll_hosts())

    def stop(self) -> None:
        """Stop accepting new requests."""
        self._feed(StopRequested())

    async def close(self) -> None:
        """Cancel all tasks and close all links."""
        await self._tasks.cancel()
        await self._links.close()

    def new_id(self) -> str:
        """Return a random id for a request or attempt."""
        return f"{self._random.getrandbits(NONCE_BITS):016x}"

    def submit(self, exchange: Exchange) -> None:
        """Admit a request, or fail it if it exceeds a limit."""
        request = exchange.request
        self._exchanges[request.id] = exchange
        self._metrics.arrived(request.priority_class)
        excess = self._quotas.admit(request, self.catalogue, self._clock.now())
        if excess is not None:
            verdict = Verdict.NOT_RUN
            self._fail(
                FailRequest(request.id, excess.reason, verdict, excess.retry_after)
            )
            return
        self._feed(RequestReceived(request))

    def cancel_request(self, exchange: Exchange) -> None:
        """Cancel a request whose caller has disconnected."""
        if exchange.request.id in self._exchanges:
            self._feed(CallerDisconnected(exchange.request.id))

    def count_refusal(self, reason: Reason) -> None:
        """Count a request that was refused before it was submitted."""
        self._metrics.refused(reason, Verdict.NOT_RUN)

    def on_report(self, agent: AgentId, report: wire.Report) -> None:
        """Drop a report, which only a planner requests."""
        self._metrics.dropped("report")

    def on_event(self, event: EntryEvent) -> None:
        """Handle an event from a link."""
        self._feed(event)

    def on_head(self, attempt: AttemptId, head: wire.Head) -> None:
        """Handle an answer's status and headers from a link."""
        if self._dispatcher.current_request(attempt) is None:
            self._metrics.dropped("head")
            return
        exchange = self._exchanges[attempt.request]
        headers = [(header.name, header.value) for header in head.headers]
        if not exchange.continues(head.status, headers):
            for_request(attempt.request).info(
                "stream not continued by an answer with status %d", head.status
            )
            reason, verdict = Reason.TARGET_FAILED, Verdict.MAY_HAVE_RUN
            self._feed(AttemptFailed(attempt, reason, verdict))
            return
        exchange.set_head(attempt, head.status, headers)

    def on_chunk(self, attempt: AttemptId, offset: int, data: bytes) -> None:
        """Handle a chunk of an answer's body from a link."""
        for command in self._dispatcher.handle_chunk(attempt, offset, len(data)):
            match command:
                case RelayChunk(request, skip):
                    self._relay(self._exchanges[request], data[skip:])
                case _:
                    self._carry_out(command)

    def _create_dispatcher(self) -> Dispatcher:
        rng = random.Random(self._random.getrandbits(NONCE_BITS))
        policy = POLICIES[self._settings.routing]
        router = Router(RoutingSettings(policy=policy), rng)
        groups = GroupCoordinator(
            GroupSettings(), self._board, router, self._make_attempt
        )
        claims = Claimer(self._owner_id, ClaimSettings(), itertools.count(1), rng)
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
                self._send_attempt(attempt, agent, members)
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
                self._tasks.spawn(self._read_key(call, key))
            case SwapKey():
                self._tasks.spawn(self._swap_key(command))
            case CountRetry(reason):
                self._metrics.retried(reason)
            case CountDrop(kind):
                self._metrics.dropped(kind)

    def _relay(self, exchange: Exchange, data: bytes) -> None:
        if exchange.first_byte_at is None:
            exchange.first_byte_at = self._clock.now()
            self._record_first_byte(exchange)
        exchange.add_data(data)
        if exchange.buffered_bytes > self._settings.max_answer:
            self._fail_large_answer(exchange)

    def _fail_large_answer(self, exchange: Exchange) -> None:
        attempt = exchange.head_attempt
        reason, verdict = Reason.ANSWER_TOO_LARGE, Verdict.MAY_HAVE_RUN
        self._feed(AttemptFailed(attempt, reason, verdict))

    def _record_first_byte(self, exchange: Exchange) -> None:
        request = exchange.request
        if isinstance(request.work, Prompt):
            seconds = exchange.first_byte_at - request.arrived
            self._metrics.first_token(seconds, request.work.tokens)

    def _finish(self, request: str) -> None:
        self._quotas.release(request)
        exchange = self._exchanges.pop(request)
        self._metrics.answered(exchange.request.priority_class)
        if exchange.request.needs_claim:
            self._feed(ResultCaptured(request, exchange.stored_answer()))
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

    def _send_attempt(
        self, attempt: AttemptId, agent: AgentId, members: tuple[AgentId, ...]
    ) -> None:
        exchange = self._exchanges[attempt.request]
        request = exchange.request
        exchange.start_attempt(agent.target)
        headers = [
            *exchange.headers,
            ("X-Request-Id", request.id),
            ("X-Attempt-Id", str(attempt)),
            ("X-Priority", str(self._priority(request))),
        ]
        if members:
            headers.append(("X-Context", str(exchange.context_tokens)))
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
            headers=header_messages(headers),
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
            exchange.start_group()
        exchange.targets.append(command.agent.target)
        exchange.context_tokens = command.stop
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
        self._add_member(exchange, command)

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

    def _add_member(self, exchange: Exchange, command: PrefillSegment) -> None:
        address = self._board.targets[command.agent.target].host.address
        exchange.members.append(f"{address}/{command.attempt}")

    def _priority(self, request: Request) -> int:
        by_length = self._settings.routing is PolicyName.LENGTH_AWARE
        return request_priority(request, self.catalogue, by_length)

    async def _read_key(self, call: int, key: str) -> None:
        self._feed(StoreCallFinished(call, await self._store.get(key)))

    async def _swap_key(self, command: SwapKey) -> None:
        result = await self._try_swap_key(command)
        self._feed(StoreCallFinished(command.call, result))

    async def _try_swap_key(self, command: SwapKey) -> StoreResult:
        lease = None
        try:
            if command.expires is not None:
                lease = await self._leases.lease_until(command.expires)
            return await self._store.swap(
                command.key, command.version, command.value, lease
            )
        except LeaseLost:
            self._leases.discard(lease)
            return StoreUnreachable()
        except (StoreUnavailable, StoreUnknown):
            return StoreUnreachable()  # no lease was granted, so nothing was written

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK)
            with log_failure("tick failed"):
                self._feed(Tick())

    async def _poll_hosts(self) -> None:
        while True:
            with log_failure("host list not handled"):
                try:
                    self._links.set_hosts(tuple(await self._hosts.poll()))
                except PlatformError as error:
                    LOGGER.warning("host list not read: %s", error)
            await asyncio.sleep(self._hosts_interval)
