"""What placing makes of a load, on engines that work in passes.

Nothing but decisions runs, on a virtual clock: direct dispatchers that tell
one another of their work, and stand-in engines.  Arrivals are seeded and the
same for every setting, so that two settings differ by what they decide.

    python -m bench placing --seeds 6
    python -m bench placing --fleet grown --set placement.wait_cost=0.03
    python -m bench placing --limited 4 --limit 1.0
    python -m bench placing --fleet scarce --scenario few-targets

A caller is in the failure domain of its entry here.  Sizes of requests and
answers are estimates: 4 bytes a token, as in the stand-ins.
"""

import argparse
import collections
import concurrent.futures
import dataclasses
import heapq
import itertools
import math
import random
import typing as t

from bench.report import save, table
from bench.sheet import (
    FLEETS,
    ODD_DOMAIN,
    SCENARIOS,
    Arrival,
    Kind,
    arrivals,
    phases_of,
)
from chicorycove.direct.board import DirectBoard, InboundRequest, TargetListing
from chicorycove.direct.command import (
    AbortAnswer,
    CancelAttempt,
    DeliverAnswer,
    DirectCommand,
    GroupMember,
    ProbeTarget,
    SendAttempt,
    UpdatePeers,
)
from chicorycove.direct.dispatch import DirectDispatcher
from chicorycove.direct.event import (
    AnswerHeadReceived,
    AnswerReceived,
    AttemptConnected,
    DeploymentReceived,
    DirectEvent,
    EventsRelayed,
    PeersUpdated,
    PeerUpdateReceived,
    RequestReceived,
    TargetAnswer,
    TargetListed,
    TargetProbed,
)
from chicorycove.direct.peer_datagram import decode, encode
from chicorycove.direct.route import (
    Deployment,
    LinkDelay,
    Route,
    RoutingTable,
    Service,
    Share,
)
from chicorycove.direct.settings import (
    DirectSettings,
    peer_timeout,
    peer_update_interval,
)
from chicorycove.direct.store_revision import StoreRevision
from chicorycove.identity import AttemptId
from chicorycove.lifecycle import (
    AnswerCompleted,
    AttemptFailed,
    AttemptRefused,
    FailRequest,
    FinishAnswer,
    MemoryReserved,
    ReleaseMemory,
    ReserveMemory,
    Tick,
)
from chicorycove.reason import Reason
from chicorycove.request import Call, Prompt, Request
from chicorycove.verdict import Verdict
from standin.kvcache import TOKEN_BYTES
from standin.passes import Job, PassEngine, PromptPrefilled

MODEL = "model"
SHOP = "shop"  # the service that answers calls
CALL_BYTES = 1_000  # of a call, and of its answer
CALL_TIME = 0.06  # seconds, mean; the page gives none
CALL_SPREAD = 0.4  # of a log-normal
CALL_SLOTS = 2  # calls that a target answers at the same time
LOST_PEER_TIME = 3.0  # seconds until a target drops the work of a lost entry
REPEAT_DELAY = 0.1  # seconds until a caller repeats, unless it is told
OK = TargetAnswer(status=200, not_run=False)
PERCENTILES = (0.5, 0.95)
# Names that settings had earlier, which --set still takes.
FORMER_NAMES = {
    "rate_limit.burst_time": "target_limits.burst_time",
    "rate_limit.min_rate": "target_limits.min_rate",
    "rate_limit.ended_report_time": "target_limits.ended_report_time",
    "rate_limit.return_time": "target_limits.return_time",
    "placement.early": "placement.loss_start_share",
    "placement.over": "placement.full_loss_share",
    "placement.late_share": "placement.late_loss_share",
    "placement.later": "placement.excess_loss_rate",
    "placement.least_limit": "placement.min_limit",
    "placement.harm_cost": "placement.decode_delay_cost",
    "placement.crowd_cost": "placement.spare_slot_cost",
    "placement.far_cost": "placement.other_domain_cost",
    "placement.member_cost": "placement.group_member_cost",
    "placement.transit": "placement.transit_time",
    "placement.fill": "placement.max_memory_share",
    "placement.group_tokens": "placement.group_min_tokens",
    "budget.extra": "budget.extra_retries",
    "budget.reserve": "budget.used_share",
    "patience.connect": "timeouts.connect_timeout",
    "patience.overdue": "timeouts.overdue_margin",
    "patience.overdue_share": "timeouts.overdue_margin_share",
    "patience.overdue_tries": "timeouts.timeout_factor",
    "patience.call_share": "timeouts.call_timeout_share",
    "patience.suspicion": "timeouts.suspicion_time",
    "reservation.hold": "reservation.lease_duration",
    "reservation.renewal": "reservation.renewal_interval",
    "reservation.answer": "reservation.answer_timeout",
    "reservation.tries": "reservation.max_groups",
}


@dataclasses.dataclass(slots=True)
class Outcome:
    """What a caller saw; times are in seconds."""

    arrival: Arrival
    predicted: float | None = None
    first: float | None = None
    last: float = 0.0
    pause: float = 0.0
    whole: bool = False
    sends: int = 0
    tries: int = 1  # of the caller
    end: Reason | None = None  # why the last try was not answered
    not_run: bool = False  # the last try was refused
    blocked_by: str = ""  # what an engine lacked when the prompt came
    domain: int = 0  # failure domain of the caller
    bytes_outside: int = 0  # sent between failure domains
    left_domain: bool = False  # sent to a target of another failure domain

    @property
    def late(self) -> bool:
        """Tell whether the answer is whole, but not in time."""
        return self.whole and not self.in_time

    @property
    def refused(self) -> bool:
        """Tell whether the caller knows that the request never ran."""
        return not self.whole and self.not_run

    @property
    def loss_cause(self) -> str:
        """Return what cost the caller value."""
        if not self.whole:
            cause = self.end.value if self.end else "no end"
            return f"refused, {cause}" if self.refused else f"failed, {cause}"
        if self.first > self.arrival.kind.objective:
            if self.tries > 1:
                return "first event, repeated by the caller"
            if self.sends > 1:
                return "first event, sent twice"
            if self.blocked_by:
                return f"first event, {self.blocked_by} full"
            return "first event, prefill"
        return "pause"

    @property
    def in_time(self) -> bool:
        """Tell whether the answer is worth all of its value."""
        kind = self.arrival.kind
        if not self.whole or self.first is None:
            return False
        return self.first <= kind.objective and self.pause <= kind.max_gap

    @property
    def earned(self) -> float:
        """Return what the answer is worth."""
        if not self.whole:
            return 0.0
        kind = self.arrival.kind
        share = 1.0 if self.in_time else kind.late_value / kind.value
        return self.arrival.value * share


class Simulation:
    """Entries, engines and callers on one virtual clock."""

    def __init__(
        self, seed: int, options: argparse.Namespace, settings: DirectSettings
    ) -> None:
        self._settings = settings
        self._fleet = FLEETS[options.fleet]
        self._lag = options.lag
        self._limited = options.limited
        self._limited_answer = dataclasses.replace(OK, rate_limit=options.limit)
        self._scenario = SCENARIOS[options.scenario]
        self._seed = seed
        self._profile = self._fleet.engine
        self.now = 0.0
        self._heap: list[tuple[float, int, t.Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._rng = random.Random(f"{seed} phases")
        self._engines = [PassEngine(self._profile) for _ in range(self._fleet.targets)]
        self._ticks: list[float | None] = [None] * len(self._engines)
        self._sends: dict[AttemptId, SendAttempt] = {}
        self._owners: dict[AttemptId, int] = {}
        self._awaited: dict[AttemptId, int] = {}
        # Times at which the slots of the targets of calls become free.
        self._plain_ends = [
            [0.0] * CALL_SLOTS for _ in range(self._fleet.plain_targets)
        ]
        self.outcomes: list[Outcome] = []
        self._tried: dict[str, Outcome] = {}  # by the id of a try
        self._entries = [self._entry(n) for n in range(self._fleet.entries)]
        for arrival in arrivals(seed, self._fleet, options.rate, self._scenario):
            self._at(arrival.at, lambda arrival=arrival: self._arrive(arrival))

    def run(self) -> list[Outcome]:
        """Run until all is answered."""
        until = sum(phase.seconds for phase in phases_of(self._fleet))
        until += max(kind.timeout for kind in self._fleet.kinds)
        while self._heap and self._heap[0][0] <= until:
            self.now, _, act = heapq.heappop(self._heap)
            act()
        for engine in self._engines:
            for attempt, cause in engine.blocked_by.items():
                self._tried[attempt.request].blocked_by = cause
        return self.outcomes

    def _entry(self, number: int) -> tuple[DirectBoard, DirectDispatcher]:
        board = DirectBoard()
        attempts = itertools.count(1)
        dispatcher = DirectDispatcher(
            board,
            self._settings,
            f"domain-{number % self._fleet.failure_domains}",
            f"entry-{number}",
            lambda request, tries: AttemptId(request, tries, f"{next(attempts)}"),
        )
        services = (
            Service(name=MODEL, engine=self._profile, link_delays=self._link_delays()),
            Service(name=SHOP),
        )
        routes = tuple(_route(kind) for kind in self._fleet.kinds)
        deployment = Deployment(version=1, routes=routes, services=services)
        dispatcher.handle(DeploymentReceived(RoutingTable(deployment)), 0.0)
        for listing in self._listings():
            dispatcher.handle(TargetListed(listing), 0.0)
        names = frozenset(f"entry-{n}" for n in range(self._fleet.entries))
        dispatcher.handle(PeersUpdated(names), 0.0)
        interval = peer_update_interval(self._settings, len(board.peer_names))
        self._at(
            self._rng.uniform(0, interval), lambda: self._account(number, interval)
        )
        return board, dispatcher

    def _listings(self) -> t.Iterator[TargetListing]:
        domains = self._fleet.failure_domains
        odd_targets = len(range(ODD_DOMAIN, self._fleet.targets, domains))
        there = round(odd_targets * self._scenario.target_share)
        for target in range(self._fleet.targets):
            if target % domains == ODD_DOMAIN and target // domains >= there:
                continue
            yield TargetListing(
                f"t{target:03}",
                MODEL,
                f"t:{target}",
                f"domain-{target % domains}",
                self._fleet.slots,
            )
        for target in range(self._fleet.plain_targets):
            domain = f"domain-{target % domains}"
            yield TargetListing(
                f"p{target:03}", SHOP, f"p:{target}", domain, CALL_SLOTS
            )

    def _link_delays(self) -> tuple[LinkDelay, ...]:
        names = [f"domain-{n}" for n in range(self._fleet.failure_domains)]
        return tuple(
            LinkDelay(domains=frozenset(pair), delay=self._fleet.domain_delay)
            for pair in itertools.combinations(names, 2)
            if self._fleet.domain_delay
        )

    def _domain(self, number: int) -> int:
        """Return the failure domain of an entry or a target by its number."""
        return number % self._fleet.failure_domains

    def _is_cut(self, domain: int, other: int) -> bool:
        """Tell whether two failure domains cannot reach one another."""
        apart = (domain == ODD_DOMAIN) != (other == ODD_DOMAIN)
        return apart and self._scenario.is_cut(self.now)

    def _at(self, time: float, act: t.Callable[[], None]) -> None:
        heapq.heappush(self._heap, (time, next(self._numbers), act))

    def _soon(
        self,
        act: t.Callable[[], None],
        hops: int = 1,
        between: tuple[int, int] = (0, 0),
    ) -> None:
        """Act after some hops between two places, by their numbers."""
        delay = self._fleet.link_delay
        if self._domain(between[0]) != self._domain(between[1]):
            delay += self._fleet.domain_delay
        self._at(self.now + hops * delay, act)

    def _arrive(self, arrival: Arrival) -> None:
        outcome = Outcome(arrival, domain=self._domain(arrival.entry))
        self.outcomes.append(outcome)
        self._try(f"r{len(self.outcomes) - 1}", outcome, arrival.entry)

    def _try(self, id: str, outcome: Outcome, entry: int) -> None:
        arrival = outcome.arrival
        kind = arrival.kind
        self._tried[id] = outcome
        work: Prompt | Call
        if kind.is_call:
            work = Call(SHOP, "POST", "/", kind.repeatable)
        else:
            tokens = arrival.events * self._profile.steps_per_pass
            work = Prompt(MODEL, arrival.tokens, tokens, True, True)
        request = Request(
            id,
            "w",
            kind.name,
            work,
            arrival.at,
            arrival.at + kind.timeout,
            body_size=_body_size(arrival),
        )
        route = _route(kind)
        inbound = InboundRequest(request, route, route.shares[0].service)
        self._handle(entry, RequestReceived(inbound))

    def _end_try(
        self, id: str, reason: Reason, not_run: bool, retry_after: float | None
    ) -> None:
        """End a try without an answer; the caller may repeat it."""
        outcome = self._tried[id]
        outcome.end = reason
        outcome.not_run = not_run
        kind = outcome.arrival.kind
        repeat_at = self.now + (REPEAT_DELAY if retry_after is None else retry_after)
        if (
            outcome.tries > self._fleet.repeats
            or not (not_run or kind.repeatable)
            or repeat_at >= outcome.arrival.at + kind.timeout
        ):
            return
        outcome.tries += 1
        outcome.first = None
        outcome.pause = 0.0
        draw = random.Random(f"{self._seed} {id}")
        entries = range(
            outcome.domain, self._fleet.entries, self._fleet.failure_domains
        )
        entry = draw.choice(entries)
        self._at(repeat_at, lambda: self._try(f"{id}+", outcome, entry))

    def _handle(self, entry: int, event: DirectEvent) -> None:
        board, dispatcher = self._entries[entry]
        for command in dispatcher.handle(event, self.now):
            self._do(entry, command)
        due = board.timers.next_due
        if due is not None:
            self._at(max(due, self.now), lambda: self._tick(entry))

    def _tick(self, entry: int) -> None:
        due = self._entries[entry][0].timers.next_due
        if due is not None and due <= self.now:
            self._handle(entry, Tick())

    def _account(self, entry: int, interval: float) -> None:
        for command in self._entries[entry][1].report_to_peers(self.now):
            self._do(entry, command)
        if self._scenario.cut_from < math.inf:
            self._update_peers(entry)
        self._at(self.now + interval, lambda: self._account(entry, interval))

    def _update_peers(self, entry: int) -> None:
        """Tell an entry which of its peers it has not heard for long."""
        timeout = peer_timeout(self._settings, len(self._entries[entry][0].peer_names))
        numbers = range(self._fleet.entries)
        lost = self.now >= self._scenario.cut_from + timeout
        unheard = frozenset(
            f"entry-{n}"
            for n in numbers
            if lost and self._is_cut(self._domain(n), self._domain(entry))
        )
        names = frozenset(f"entry-{n}" for n in numbers)
        self._handle(entry, PeersUpdated(names, unheard))

    def _tell(self, entry: int, update: UpdatePeers) -> None:
        told = encode(f"entry-{entry}", update, StoreRevision(), self.now)
        sent_at = self.now
        names = self._entries[entry][0].peer_names
        peers = [
            number
            for number in range(len(self._entries))
            if number != entry
            and f"entry-{number}" in names
            and not self._is_cut(self._domain(number), self._domain(entry))
        ]

        def arrive() -> None:
            for peer in peers:
                for data in told:
                    heard: PeerUpdateReceived = decode(data, sent_at)
                    self._handle(peer, heard)

        lag = self._rng.expovariate(1.0 / self._lag) if self._lag else 0.0
        self._at(self.now + self._fleet.link_delay + lag, arrive)

    # What an entry asks for

    def _do(self, entry: int, command: DirectCommand) -> None:
        match command:
            case SendAttempt():
                self._send(entry, command)
            case ReserveMemory(_, agent) if self._is_unreachable(entry, agent.target):
                pass  # the entry's timer ends the wait
            case ReserveMemory(reservation, agent, memory):
                engine = self._engine(agent.target)
                held = engine.reserve(reservation, memory)
                answer = (
                    MemoryReserved(reservation)
                    if held
                    else AttemptRefused(reservation, Reason.MEMORY_FULL)
                )
                self._soon(lambda: self._handle(entry, answer), 4)
            case ReleaseMemory(reservation, agent):
                engine = self._engine(agent.target)
                if self._is_unreachable(entry, agent.target):
                    lapses_at = self.now + self._settings.reservation.lease_duration
                    self._at(lapses_at, lambda: engine.release(reservation))
                    return
                self._soon(lambda: engine.release(reservation), 3)
            case CancelAttempt(attempt):
                send = self._sends.pop(attempt, None)
                if send and self._is_unreachable(entry, send.target.target):
                    lost_at = self.now + LOST_PEER_TIME
                    self._at(lost_at, lambda: self._cancel(attempt))
                    return
                self._soon(lambda: self._cancel(attempt))
            case FinishAnswer(request) | DeliverAnswer(request):
                self._tried[request].whole = True
            case UpdatePeers():
                self._tell(entry, command)
            case ProbeTarget(target) if self._is_unreachable(entry, target):
                failed_at = self.now + self._settings.timeouts.connect_timeout
                self._at(
                    failed_at, lambda: self._handle(entry, TargetProbed(target, False))
                )
            case ProbeTarget(target):
                self._soon(lambda: self._handle(entry, TargetProbed(target, True)), 2)
            case FailRequest(request, reason, verdict, retry_after):
                not_run = verdict is Verdict.NOT_RUN
                self._end_try(request, reason, not_run, retry_after)
            case AbortAnswer(request, reason):
                self._end_try(request, reason, False, None)

    def _engine(self, target: str) -> PassEngine:
        return self._engines[int(target[1:])]

    def _is_unreachable(self, entry: int, target: str) -> bool:
        return self._is_cut(self._domain(entry), self._domain(int(target[1:])))

    def _send(self, entry: int, send: SendAttempt) -> None:
        outcome = self._tried[send.attempt.request]
        outcome.sends += 1
        if outcome.predicted is None:
            waited = self.now - outcome.arrival.at
            outcome.predicted = waited + send.placement.time_to_first_event
        self._sends[send.attempt] = send
        self._owners[send.attempt] = entry
        if self._is_unreachable(entry, send.target.target):
            failed = AttemptFailed(
                send.attempt, Reason.TARGET_UNREACHABLE, Verdict.NOT_RUN
            )
            failed_at = self.now + self._settings.timeouts.connect_timeout
            self._at(failed_at, lambda: self._handle(entry, failed))
            return
        target = int(send.target.target[1:])
        self._count_bytes(outcome, entry, target, _body_size(outcome.arrival))
        connected = AttemptConnected(send.attempt)
        between = (entry, target)
        self._soon(lambda: self._handle(entry, connected), 2, between)
        self._soon(lambda: self._submit(send), 3, between)

    def _count_bytes(self, outcome: Outcome, sender: int, to: int, size: int) -> None:
        """Count what is sent between failure domains, in bytes."""
        if self._domain(sender) != self._domain(to):
            outcome.bytes_outside += size
            outcome.left_domain = True

    def _submit(self, send: SendAttempt) -> None:
        if send.attempt not in self._sends:
            return  # cancelled on its way
        outcome = self._tried[send.attempt.request]
        arrival = outcome.arrival
        target = int(send.target.target[1:])
        if arrival.kind.is_call:
            self._run_call(send.attempt, target)
            return
        members = send.members
        size = 1 + len(members)
        for member in members:
            if self._is_cut(self._domain(target), self._domain(_number(member))):
                self._refuse_group(send.attempt, member)
                return
            part_size = _body_size(arrival) // size
            self._count_bytes(outcome, target, _number(member), part_size)
        tokens = math.ceil(arrival.tokens / size)
        time = self._profile.prefill_time(arrival.tokens) / size
        self._awaited[send.attempt] = size
        skipped = send.last_event_id or 0
        head = Job(
            send.attempt,
            tokens,
            time,
            in_group=size > 1,
            events=max(arrival.events - skipped, 1),
            memory=send.placement.held_tokens,
        )
        self._give(target, head)
        for member in members:
            self._give(_number(member), Job(send.attempt, tokens, time, in_group=True))

    def _refuse_group(self, attempt: AttemptId, member: GroupMember) -> None:
        """Answer that the primary does not reach a member."""
        answer = TargetAnswer(status=503, not_run=True, faulty_address=member.address)
        entry = self._owners[attempt]
        refused_at = self.now + self._settings.timeouts.connect_timeout
        self._at(
            refused_at,
            lambda: self._handle(entry, AnswerHeadReceived(attempt, answer)),
        )

    def _run_call(self, attempt: AttemptId, target: int) -> None:
        """Answer a call once a slot of the target is free for it."""
        draw = random.Random(f"{self._seed} {attempt.request} {attempt.number}")
        ends = self._plain_ends[target]
        slot = ends.index(min(ends))
        mean_log = math.log(CALL_TIME) - CALL_SPREAD * CALL_SPREAD / 2
        duration = draw.lognormvariate(mean_log, CALL_SPREAD)
        ends[slot] = max(ends[slot], self.now) + duration
        self._at(ends[slot], lambda: self._answer_call(attempt, target))

    def _answer_call(self, attempt: AttemptId, target: int) -> None:
        entry = self._owners[attempt]
        if attempt not in self._sends or self._is_unreachable(entry, f"p{target}"):
            return
        outcome = self._tried[attempt.request]
        self._count_bytes(outcome, target, entry, CALL_BYTES)

        def arrive() -> None:
            outcome.first = self.now - outcome.arrival.at
            self._handle(entry, AnswerHeadReceived(attempt, OK))
            self._handle(entry, AnswerReceived(attempt, OK))

        self._soon(arrive, 1, (entry, target))

    def _give(self, target: int, job: Job) -> None:
        self._engines[target].submit(job, self.now)
        self._watch(target)

    def _cancel(self, attempt: AttemptId) -> None:
        self._sends.pop(attempt, None)
        for engine in self._engines:
            engine.cancel(attempt)

    # What the engines do

    def _watch(self, target: int) -> None:
        ends = self._engines[target].pass_end_time
        if ends is not None and self._ticks[target] != ends:
            self._ticks[target] = ends
            self._at(ends, lambda: self._end_pass(target, ends))

    def _end_pass(self, target: int, ends: float) -> None:
        if self._engines[target].pass_end_time != ends:
            return
        self._ticks[target] = None
        for output in self._engines[target].end_pass(self.now):
            match output:
                case PromptPrefilled(attempt):
                    self._read(attempt)
                case _:
                    self._wrote(output.id, output.last)
        self._watch(target)

    def _read(self, attempt: AttemptId) -> None:
        """Tell the first event once the last part of a prompt is read."""
        self._awaited[attempt] -= 1
        send = self._sends.get(attempt)
        if self._awaited[attempt] or send is None:
            return
        target = int(send.target.target[1:])
        engine = self._engines[target]
        self._at(
            self.now + self._profile.first_token_delay,
            lambda: engine.start_decoding(attempt, self.now),
        )
        self._at(
            self.now + self._profile.first_token_delay, lambda: self._watch(target)
        )
        entry = self._owners[attempt]
        answer = self._limited_answer if target < self._limited else OK
        if not self._is_cut(self._domain(entry), self._domain(target)):
            head = AnswerHeadReceived(attempt, answer)
            self._soon(lambda: self._handle(entry, head), 1, (entry, target))
        self._wrote(attempt, False)

    def _wrote(self, attempt: AttemptId, last: bool) -> None:
        send = self._sends.get(attempt)
        if send is None:
            return
        entry, target = self._owners[attempt], int(send.target.target[1:])
        if self._is_cut(self._domain(entry), self._domain(target)):
            return
        event_size = self._profile.steps_per_pass * TOKEN_BYTES
        self._count_bytes(self._tried[attempt.request], target, entry, event_size)
        self._soon(lambda: self._heard(attempt, last), 1, (entry, target))

    def _heard(self, attempt: AttemptId, last: bool) -> None:
        outcome = self._tried[attempt.request]
        if outcome.first is None:
            outcome.first = self.now - outcome.arrival.at
        else:
            outcome.pause = max(outcome.pause, self.now - outcome.last)
        outcome.last = self.now
        entry = self._owners[attempt]
        self._handle(entry, EventsRelayed(attempt, 1, None))
        if last:
            self._handle(entry, AnswerCompleted(attempt, 0))


def _number(member: GroupMember) -> int:
    return int(member.address.split(":")[1])


def _body_size(arrival: Arrival) -> int:
    """Return the estimated bytes of a request's body."""
    return CALL_BYTES if arrival.kind.is_call else arrival.tokens * TOKEN_BYTES


def _route(kind: Kind) -> Route:
    return Route(
        name=kind.name,
        host="desk.example",
        prefix=f"/{kind.name}/",
        shares=(Share(service=SHOP if kind.is_call else MODEL),),
        repeatable=kind.repeatable,
        streamed=not kind.is_call,
        timeout=kind.timeout,
        objective=kind.objective,
        max_gap=0.0 if kind.is_call else kind.max_gap,
        max_attempts=2,
    )


def with_changes(settings: DirectSettings, changes: t.Iterable[str]) -> DirectSettings:
    """Return settings with values changed, as "[group.]name=value"."""
    for change in changes:
        path, _, text = change.partition("=")
        group, _, name = FORMER_NAMES.get(path, path).partition(".")
        if not name:  # a setting outside all groups
            value = type(getattr(settings, group))(float(text))
            settings = dataclasses.replace(settings, **{group: value})
            continue
        old = getattr(settings, group)
        value = type(getattr(old, name))(float(text))
        settings = dataclasses.replace(
            settings, **{group: dataclasses.replace(old, **{name: value})}
        )
    return settings


def _play(seed: int, options: argparse.Namespace) -> list[Outcome]:
    settings = with_changes(DirectSettings(), options.set)
    return Simulation(seed, options, settings).run()


def _percentile(values: list[float], share: float) -> float:
    values = sorted(values)
    return values[min(int(share * len(values)), len(values) - 1)] if values else 0.0


def _row(name: str, outcomes: list[Outcome]) -> dict[str, t.Any]:
    owed = sum(outcome.arrival.value for outcome in outcomes)
    errors = [
        abs(x.first - x.predicted)
        for x in outcomes
        if x.first is not None and x.predicted is not None and x.sends == 1
    ]
    firsts = [x.first for x in outcomes if x.first is not None]
    row = {
        "kind": name,
        "sent": len(outcomes),
        "in time": sum(x.in_time for x in outcomes) / len(outcomes),
        "worth": sum(x.earned for x in outcomes) / owed,
        "failed": sum(not x.whole for x in outcomes),
        "again": sum(x.sends > 1 for x in outcomes),
    }
    for share in PERCENTILES:
        row[f"first p{share * 100:g}"] = _percentile(firsts, share)
    for share in PERCENTILES:
        row[f"error p{share * 100:g}"] = _percentile(errors, share)
    return _rounded(row)


def _rounded(row: dict[str, t.Any]) -> dict[str, t.Any]:
    return {k: round(v, 4) if isinstance(v, float) else v for k, v in row.items()}


def _share_row(part: str, outcomes: list[Outcome]) -> dict[str, t.Any]:
    count = len(outcomes)
    owed = sum(outcome.arrival.value for outcome in outcomes)
    row = {
        "part": part,
        "sent": count,
        "in time": sum(x.in_time for x in outcomes) / count,
        "late": sum(x.late for x in outcomes) / count,
        "refused": sum(x.refused for x in outcomes) / count,
        "failed": sum(not x.whole and not x.refused for x in outcomes) / count,
        "value": sum(x.earned for x in outcomes) / owed,
        "left": sum(x.left_domain for x in outcomes) / count,
        "MB outside": sum(x.bytes_outside for x in outcomes) / 1e6,
    }
    return _rounded(row)


def breakdown(outcomes: list[Outcome]) -> list[dict[str, t.Any]]:
    """Return rows by kind, the caller's failure domain, and size tenth."""
    by_part: dict[str, list[Outcome]] = collections.defaultdict(list)
    for outcome in outcomes:
        kind = outcome.arrival.kind.name
        by_part[kind].append(outcome)
        by_part[f"{kind}, domain {outcome.domain}"].append(outcome)
        by_part[f"domain {outcome.domain}"].append(outcome)
    for kind in {x.arrival.kind.name: x.arrival.kind for x in outcomes}.values():
        if kind.is_call:
            continue
        of_kind = [x for x in outcomes if x.arrival.kind.name == kind.name]
        of_kind.sort(key=lambda outcome: outcome.arrival.tokens)
        for rank, outcome in enumerate(of_kind):
            tenth = rank * 10 // len(of_kind) + 1
            by_part[f"{kind.name}, tenth {tenth:2}"].append(outcome)
    rows = [_share_row(part, by_part[part]) for part in sorted(by_part)]
    return [*rows, _share_row("all", outcomes)]


def losses(outcomes: list[Outcome]) -> list[dict[str, t.Any]]:
    """Return by kind and cause how many requests lose value, and how much."""
    owed = sum(outcome.arrival.value for outcome in outcomes)
    counts: dict[tuple[str, str], int] = collections.Counter()
    values: dict[tuple[str, str], float] = collections.Counter()
    for outcome in outcomes:
        if not outcome.in_time:
            key = (outcome.arrival.kind.name, outcome.loss_cause)
            counts[key] += 1
            values[key] += outcome.arrival.value - outcome.earned
    return [
        _rounded(
            {
                "kind": key[0],
                "cause": key[1],
                "requests": counts[key],
                "share of all value": values[key] / owed,
            }
        )
        for key in sorted(counts)
    ]


def main(argv: t.Sequence[str]) -> int:
    """Run the experiment."""
    parser = argparse.ArgumentParser(prog="python -m bench placing")
    parser.add_argument("--fleet", choices=sorted(FLEETS), default="today")
    parser.add_argument("--scenario", choices=sorted(SCENARIOS), default="even")
    parser.add_argument("--rate", type=float, default=1.0, help="times the sheet's")
    parser.add_argument("--lag", type=float, default=0.0, help="of tells, mean")
    parser.add_argument("--limited", type=int, default=0, help="targets in need")
    parser.add_argument("--limit", type=float, default=1.0, help="a second, of these")
    parser.add_argument("--seeds", type=int, default=4)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument(
        "--set", nargs="*", default=[], metavar="[GROUP.]NAME=VALUE", help="a setting"
    )
    parser.add_argument("--output", default=None, help="a measurement's name")
    options = parser.parse_args(argv)
    with concurrent.futures.ProcessPoolExecutor(options.jobs) as pool:
        seeds = range(1, options.seeds + 1)
        played = list(pool.map(_play, seeds, itertools.repeat(options)))
    outcomes = [outcome for each in played for outcome in each]
    rows = [
        _row(kind.name, [x for x in outcomes if x.arrival.kind.name == kind.name])
        for kind in FLEETS[options.fleet].kinds
    ]
    rows.append(_row("all", outcomes))
    print(table(rows))
    details = {"breakdown": breakdown(outcomes), "losses": losses(outcomes)}
    for title, part in details.items():
        if part:
            print(f"\n{title}\n\n{table(part)}")
    if options.output:
        results = {"options": vars(options), "results": rows, **details}
        save(options.output, results)
    return 0
