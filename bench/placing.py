"""What placing makes of a load, on engines that work in passes.

Nothing but decisions runs, on a virtual clock: direct dispatchers that tell
one another of their work, and stand-in engines.  Arrivals are seeded and the
same for every setting, so that two settings differ by what they decide.

    python -m bench placing --seeds 6
    python -m bench placing --fleet grown --set placement.wait_cost=0.03
    python -m bench placing --limited 4 --limit 1.0
"""

import argparse
import concurrent.futures
import dataclasses
import heapq
import itertools
import math
import random
import typing as t

from bench.report import save, table
from bench.sheet import ENGINE, FLEETS, PHASES, Arrival, Kind, arrivals
from chicorycove.direct.board import DirectBoard, InboundRequest, TargetListing
from chicorycove.direct.command import (
    AbortAnswer,
    CancelAttempt,
    DirectCommand,
    GroupMember,
    ProbeTarget,
    SendAttempt,
    UpdatePeers,
)
from chicorycove.direct.dispatch import DirectDispatcher
from chicorycove.direct.event import (
    AnswerHeadReceived,
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
from chicorycove.direct.peers import decode, encode
from chicorycove.direct.route import Deployment, Route, RoutingTable, Service, Share
from chicorycove.direct.settings import DirectSettings, peer_update_interval
from chicorycove.identity import AttemptId
from chicorycove.lifecycle import (
    AnswerCompleted,
    AttemptRefused,
    FailRequest,
    FinishAnswer,
    MemoryReserved,
    ReleaseMemory,
    ReserveMemory,
    Tick,
)
from chicorycove.reason import Reason
from chicorycove.request import Prompt, Request
from standin.passes import Job, PassEngine, PromptPrefilled

MODEL = "model"
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
        self._profile = dataclasses.replace(
            ENGINE,
            slots=self._fleet.slots,
            memory=self._fleet.memory,
            steps_per_pass=self._fleet.steps_per_pass,
        )
        self.now = 0.0
        self._heap: list[tuple[float, int, t.Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._rng = random.Random(f"{seed} phases")
        self._engines = [PassEngine(self._profile) for _ in range(self._fleet.targets)]
        self._ticks: list[float | None] = [None] * len(self._engines)
        self._sends: dict[AttemptId, SendAttempt] = {}
        self._owners: dict[AttemptId, int] = {}
        self._awaited: dict[AttemptId, int] = {}
        self.outcomes: dict[str, Outcome] = {}
        self._entries = [self._entry(n) for n in range(self._fleet.entries)]
        for arrival in arrivals(seed, self._fleet, options.rate):
            self._at(arrival.at, lambda arrival=arrival: self._arrive(arrival))

    def run(self) -> list[Outcome]:
        """Run until all is answered."""
        until = sum(phase.seconds for phase in PHASES) + self._fleet.kinds[-1].timeout
        while self._heap and self._heap[0][0] <= until:
            self.now, _, act = heapq.heappop(self._heap)
            act()
        return list(self.outcomes.values())

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
        service = Service(name=MODEL, engine=self._profile)
        routes = tuple(_route(kind) for kind in self._fleet.kinds)
        deployment = Deployment(version=1, routes=routes, services=(service,))
        dispatcher.handle(DeploymentReceived(RoutingTable(deployment)), 0.0)
        for target in range(self._fleet.targets):
            listing = TargetListing(
                f"t{target:03}",
                MODEL,
                f"t:{target}",
                f"domain-{target % self._fleet.failure_domains}",
                self._fleet.slots,
            )
            dispatcher.handle(TargetListed(listing), 0.0)
        names = frozenset(f"entry-{n}" for n in range(self._fleet.entries))
        dispatcher.handle(PeersUpdated(names), 0.0)
        interval = peer_update_interval(self._settings, len(board.peer_names))
        self._at(
            self._rng.uniform(0, interval), lambda: self._account(number, interval)
        )
        return board, dispatcher

    def _at(self, time: float, act: t.Callable[[], None]) -> None:
        heapq.heappush(self._heap, (time, next(self._numbers), act))

    def _soon(self, act: t.Callable[[], None], hops: int = 1) -> None:
        self._at(self.now + hops * self._fleet.link_delay, act)

    def _arrive(self, arrival: Arrival) -> None:
        id = f"r{len(self.outcomes)}"
        kind = arrival.kind
        self.outcomes[id] = Outcome(arrival)
        tokens = arrival.events * self._profile.steps_per_pass
        work = Prompt(MODEL, arrival.tokens, tokens, True, True)
        deadline = self.now + kind.timeout
        request = Request(id, "w", kind.name, work, self.now, deadline)
        inbound = InboundRequest(request, _route(kind), MODEL)
        self._handle(arrival.entry, RequestReceived(inbound))

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
        self._at(self.now + interval, lambda: self._account(entry, interval))

    def _tell(self, entry: int, update: UpdatePeers) -> None:
        told = encode(f"entry-{entry}", update, 0, self.now)
        sent_at = self.now
        names = self._entries[entry][0].peer_names
        peers = [
            number
            for number in range(len(self._entries))
            if number != entry and f"entry-{number}" in names
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
                self._soon(lambda: engine.release(reservation), 3)
            case CancelAttempt(attempt):
                self._soon(lambda: self._cancel(attempt))
            case FinishAnswer(request):
                self.outcomes[request].whole = True
            case UpdatePeers():
                self._tell(entry, command)
            case ProbeTarget(target):
                self._soon(lambda: self._handle(entry, TargetProbed(target, True)), 2)
            case FailRequest() | AbortAnswer():
                pass  # the outcome stays without an end

    def _engine(self, target: str) -> PassEngine:
        return self._engines[int(target[1:])]

    def _send(self, entry: int, send: SendAttempt) -> None:
        outcome = self.outcomes[send.attempt.request]
        outcome.sends += 1
        if outcome.predicted is None:
            waited = self.now - outcome.arrival.at
            outcome.predicted = waited + send.placement.time_to_first_event
        self._sends[send.attempt] = send
        self._owners[send.attempt] = entry
        self._soon(lambda: self._handle(entry, AttemptConnected(send.attempt)), 2)
        self._soon(lambda: self._submit(send), 3)

    def _submit(self, send: SendAttempt) -> None:
        arrival = self.outcomes[send.attempt.request].arrival
        members = send.members
        size = 1 + len(members)
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
        self._give(int(send.target.target[1:]), head)
        for member in members:
            self._give(_number(member), Job(send.attempt, tokens, time, in_group=True))

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
        self._soon(lambda: self._handle(entry, AnswerHeadReceived(attempt, answer)))
        self._wrote(attempt, False)

    def _wrote(self, attempt: AttemptId, last: bool) -> None:
        if attempt in self._sends:
            self._soon(lambda: self._heard(attempt, last))

    def _heard(self, attempt: AttemptId, last: bool) -> None:
        outcome = self.outcomes[attempt.request]
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


def _route(kind: Kind) -> Route:
    return Route(
        name=kind.name,
        host="desk.example",
        prefix=f"/{kind.name}/",
        shares=(Share(service=MODEL),),
        repeatable=True,
        streamed=True,
        timeout=kind.timeout,
        objective=kind.objective,
        max_gap=kind.max_gap,
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
    return {k: round(v, 4) if isinstance(v, float) else v for k, v in row.items()}


def main(argv: t.Sequence[str]) -> int:
    """Run the experiment."""
    parser = argparse.ArgumentParser(prog="python -m bench placing")
    parser.add_argument("--fleet", choices=sorted(FLEETS), default="today")
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
    if options.output:
        save(options.output, {"options": vars(options), "results": rows})
    return 0
