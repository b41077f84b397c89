"""Runs the planner in one elected entry and sends its orders to agents."""

import asyncio
import dataclasses
import secrets
import typing as t

import msgspec

from .backing.store import Store
from .catalogue import ServiceKind
from .conversion import Address
from .entry import Entry
from .event import EntryEvent, ValueRead
from .exceptions import LeaseLost, PlatformError, StoreUnavailable
from .host import Host
from .identity import AgentId, AttemptId
from .lease import (
    CreateLeaderKey,
    Leading,
    LeaseCommand,
    LeaseController,
    LeaseEvent,
    LeaseGranted,
    LeaseGrantFailed,
    LeaseNotFound,
    LeaseRenewalFailed,
    LeaseRenewed,
    LeaseState,
    ReadLeaderKey,
    RenewLease,
    RequestLease,
    RevokeLease,
    Standby,
    Tick,
)
from .link import Link
from .log import LOGGER, log_failure
from .plan import AgentReport, ObservedTarget, Plan, PlannedMove
from .planner import Planner
from .routing import matches
from .settings import Settings
from .utils import cancel_all
from .wire import link_pb2 as wire

STATUS_KEY = "planner/head"
STATUS_INTERVAL = 2.0  # seconds between writes of a changed status
MAX_STATUS_ITEMS = 100  # moves, and problems, in the status
LEASE_TICK_INTERVAL = 0.25  # seconds
MAX_REPORT_AGE = 5.0  # in plan intervals; older reports are ignored
NONCE_BYTES = 8


@dataclasses.dataclass(slots=True)
class _ReceivedReport:
    report: AgentReport
    received_at: float


class Orchestrator:
    """Competes for the planner's lease; plans and sends orders as leader."""

    def __init__(self, settings: Settings, store: Store, entry: Entry) -> None:
        self._name = settings.name
        self._settings = settings.entry
        self._store = store
        self._entry = entry
        holder = f"{settings.name} {secrets.token_hex(NONCE_BYTES)}"
        self._holder = holder.encode()
        self._lease = LeaseController(settings.entry.lease, self._holder)
        self._state: LeaseState = Standby()
        self._planner: Planner | None = None
        self._planner_fence: int | None = None
        self._links: dict[str, Link] = {}
        self._reports: dict[str, _ReceivedReport] = {}
        self._status_version = 0
        self._written_status = b""
        self._status_written_at = 0.0
        self._tasks: list[asyncio.Task] = []

    @property
    def fence(self) -> int | None:
        """Return the fencing token while this entry may plan, else None."""
        return self._lease.fence(self._state, self._now())

    def start(self) -> None:
        """Start to compete for the lease and to plan."""
        for coroutine in (self._keep_lease(), self._keep_planning()):
            task = asyncio.create_task(coroutine)
            task.add_done_callback(_log_failure)
            self._tasks.append(task)

    async def stop(self) -> None:
        """Stop planning and release the lease."""
        await self._cancel()
        match self._state:
            case Leading(lease=lease):
                self._state = Standby()
                await self._execute(RevokeLease(lease))

    async def close(self) -> None:
        """Stop planning and close the links; the lease is left to expire."""
        await self._cancel()
        await self._close_links(set(self._links))

    async def read_status(self) -> dict[str, t.Any]:
        """Return the plan's status as the leader last stored it.

        :raises StoreUnavailable: if it cannot be read
        """
        match await self._store.get(STATUS_KEY):
            case ValueRead(value) if value:
                return msgspec.json.decode(value)
            case ValueRead():
                return {}
        raise StoreUnavailable("the plan's status cannot be read from the store")

    # Messages from agents over the planner's own links

    def on_report(self, agent: AgentId, message: wire.Report) -> None:
        """Record an agent's report, or log its objection."""
        if message.objection:
            LOGGER.warning(
                "agent of %s rejected the planner: %s", agent.target, message.objection
            )
            return
        report = msgspec.json.decode(message.report, type=AgentReport)
        self._reports[agent.target] = _ReceivedReport(report, self._now())

    def on_event(self, event: EntryEvent) -> None:
        """Ignore the event: the planner's links serve no requests."""

    def on_head(self, attempt: AttemptId, head: wire.Head) -> None:
        """Ignore the answer: the planner's links serve no requests."""

    def on_chunk(self, attempt: AttemptId, offset: int, data: bytes) -> None:
        """Ignore the answer: the planner's links serve no requests."""

    # The lease

    async def _keep_lease(self) -> None:
        while True:
            with log_failure("step of the planner's lease failed"):
                if self._has_versioned_models or isinstance(self._state, Leading):
                    await self._step(Tick())
            await asyncio.sleep(LEASE_TICK_INTERVAL)

    @property
    def _has_versioned_models(self) -> bool:
        """Return whether the catalogue has a model with versions to place."""
        models = self._entry.catalogue.models.values()
        return any(model.versions for model in models)

    async def _step(self, event: LeaseEvent) -> None:
        step = self._lease.step(self._state, event, self._now())
        self._state = step.state
        if step.command is not None:
            result = await self._execute(step.command)
            if result is not None:
                await self._step(result)

    async def _execute(self, command: LeaseCommand) -> LeaseEvent | None:
        requested_at = self._now()
        try:
            match command:
                case ReadLeaderKey(key):
                    return await self._store.get(key)
                case RequestLease(ttl):
                    return LeaseGranted(await self._store.grant(ttl), requested_at)
                case CreateLeaderKey(key, lease):
                    return await self._store.swap(key, 0, self._holder, lease)
                case RenewLease(lease):
                    await self._store.keep_alive(lease)
                    return LeaseRenewed()
                case RevokeLease(lease):
                    await self._store.revoke(lease)
        except LeaseLost:
            return LeaseNotFound()
        except PlatformError as error:
            LOGGER.warning("call for the planner's lease failed: %s", error)
            return _failure_event(command)
        return None

    # The plan

    async def _keep_planning(self) -> None:
        while True:
            with log_failure("planning failed"):
                fence = self.fence
                if fence is None:
                    await self._stop_planning()
                else:
                    await self._plan(fence)
            await asyncio.sleep(self._settings.plan_interval)

    async def _stop_planning(self) -> None:
        if self._planner is not None:
            LOGGER.info("planner leadership lost")
        self._planner = self._planner_fence = None
        self._reports.clear()
        await self._close_links(set(self._links))

    async def _plan(self, fence: int) -> None:
        if fence != self._planner_fence:
            await self._start_planning(fence)
        hosts = self._hosts()
        await self._update_links(hosts)
        for name in self._links:
            self._send_direct(name, wire.Direct(fence=fence))
        plan = self._planner.plan(
            self._entry.catalogue, [self._observe(host) for host in hosts], self._now()
        )
        for move in plan.moves:
            self._send_order(move, fence)
        await self._write_status(plan, fence)

    async def _start_planning(self, fence: int) -> None:
        LOGGER.info("planner leadership gained", extra={"fence": fence})
        self._planner = Planner(self._settings.planner, fence)
        self._planner_fence = fence
        self._reports.clear()
        stored = await self._store.get(STATUS_KEY)
        if isinstance(stored, ValueRead) and stored.value:
            self._status_version = stored.version
            for model, version, cause in msgspec.json.decode(stored.value)["halted"]:
                self._planner.board.halt_causes[model, version] = cause

    def _hosts(self) -> list[Host]:
        """Return the hosts that a service of engines selects."""
        selectors = [
            service.selector
            for service in self._entry.catalogue.services.values()
            if service.kind is ServiceKind.ENGINE
        ]
        return [
            host
            for host in self._entry.hosts
            if any(matches(host, selector) for selector in selectors)
        ]

    def _observe(self, host: Host) -> ObservedTarget:
        received = self._reports.get(host.name)
        max_age = MAX_REPORT_AGE * self._settings.plan_interval
        if received is None or self._now() - received.received_at > max_age:
            return ObservedTarget(host)
        return ObservedTarget(host, received.report)

    def _send_order(self, move: PlannedMove, fence: int) -> None:
        if self.fence != fence:
            return  # the lease may have expired while the plan was made
        LOGGER.info("order to %s: %s", move.target, move.cause, extra={"fence": fence})
        direct = wire.Direct(
            fence=fence,
            incarnation=move.agent.incarnation,
            placement=msgspec.json.encode(move.placement),
        )
        self._send_direct(move.target, direct)

    def _send_direct(self, target: str, direct: wire.Direct) -> None:
        self._links[target].send(wire.EntryFrame(direct=direct))

    async def _update_links(self, hosts: t.Sequence[Host]) -> None:
        addresses = {host.name: host.agent for host in hosts}
        await self._close_links(
            {
                name
                for name, link in self._links.items()
                if addresses.get(name) != link.address
            }
        )
        for name, address in addresses.items():
            if name not in self._links:
                owner = self._holder.decode()
                heartbeat = self._settings.heartbeat
                self._links[name] = Link(Address(address), owner, heartbeat, self)

    async def _close_links(self, names: set[str]) -> None:
        links = [self._links.pop(name) for name in names]
        for name in names:
            self._reports.pop(name, None)
        await asyncio.gather(*(link.close() for link in links))

    async def _write_status(self, plan: Plan, fence: int) -> None:
        data = msgspec.json.encode(self._status_data(plan, fence))
        now = self._now()
        if (
            data == self._written_status
            or now < self._status_written_at + STATUS_INTERVAL
        ):
            return
        self._status_written_at = now
        result = await self._store.swap(STATUS_KEY, self._status_version, data)
        version = getattr(result, "version", None)
        if version is None:
            stored = await self._store.get(STATUS_KEY)
            version = getattr(stored, "version", self._status_version)
        elif not hasattr(result, "value"):
            self._written_status = data
        self._status_version = version

    def _status_data(self, plan: Plan, fence: int) -> dict[str, t.Any]:
        halt_causes = self._planner.board.halt_causes
        return {
            "planner": self._name,
            "fence": fence,
            "revision": self._entry.catalogue.revision,
            "moves": [_move_data(move) for move in plan.moves[:MAX_STATUS_ITEMS]],
            "waiting": [_move_data(move) for move in plan.waiting[:MAX_STATUS_ITEMS]],
            "moves_total": len(plan.moves) + len(plan.waiting),
            "problems": [
                dataclasses.asdict(problem)
                for problem in plan.problems[:MAX_STATUS_ITEMS]
            ],
            "rollouts": [rollout._asdict() for rollout in plan.rollouts],
            "halted": [[*key, cause] for key, cause in sorted(halt_causes.items())],
        }

    async def _cancel(self) -> None:
        await cancel_all(self._tasks)
        self._tasks.clear()

    def _now(self) -> float:
        return self._entry.clock.now()


def _failure_event(command: LeaseCommand) -> LeaseEvent | None:
    match command:
        case RequestLease():
            return LeaseGrantFailed()
        case RenewLease():
            return LeaseRenewalFailed()
    return None


def _move_data(move: PlannedMove) -> dict[str, t.Any]:
    return {
        "target": move.target,
        "model": move.placement.model,
        "version": move.placement.version,
        "urgency": move.urgency.name,
        "cause": move.cause,
    }


def _log_failure(task: asyncio.Task) -> None:
    if not task.cancelled() and task.exception() is not None:
        LOGGER.error("planner failed", exc_info=task.exception())
