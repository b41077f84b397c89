"""Entries and agents on a virtual clock, with links and a store that fail.

The production code makes every decision, and the world carries out the
commands. Its checks use the list of actual runs at each target.
"""

import dataclasses
import itertools
import random

from chicorycove.backlog import Backlog
from chicorycove.board import EntryBoard, TargetState
from chicorycove.catalogue import Catalogue, Model, Service, ServiceKind
from chicorycove.claim import Claimer, ClaimSettings
from chicorycove.command import (
    CancelAttempt,
    Exit,
    ReadKey,
    RelayChunk,
    ReplayResult,
    ReportAccepted,
    ReportRefused,
    ReportSealed,
    ResumeAnswer,
    RunAttempt,
    SealAttempt,
    SendAttempt,
    SendResumedAnswer,
    StopAttempt,
    SwapKey,
)
from chicorycove.conversion import Address
from chicorycove.dispatch import Dispatcher
from chicorycove.event import (
    AgentAttached,
    AgentDetached,
    AnswerChunkReceived,
    AttemptAccepted,
    AttemptOffer,
    AttemptStarted,
    CancelRequested,
    LoadReported,
    OutcomeUnknown,
    OwnerDisconnected,
    OwnerHeartbeatReceived,
    RequestReceived,
    ResultCaptured,
    ResumeRequested,
    RunFinished,
    SealAnswered,
    SealRequested,
    StartRequested,
    StoreCallFinished,
)
from chicorycove.gate import Gate, GateSettings
from chicorycove.group import GroupCoordinator, GroupSettings
from chicorycove.host import Host
from chicorycove.identity import AgentId, AttemptId
from chicorycove.ledger import Ledger
from chicorycove.lifecycle import (
    AnswerCompleted,
    AttemptFailed,
    AttemptRefused,
    CallerDisconnected,
    FailRequest,
    FinishAnswer,
    Tick,
)
from chicorycove.reason import Reason
from chicorycove.request import Call, Prompt, Request
from chicorycove.retry import RetryPolicy, RetrySettings
from chicorycove.routing import Router, RoutingSettings
from chicorycove.settings import EntrySettings
from chicorycove.target import TargetBoard, TargetController
from chicorycove.verdict import Verdict

from .fake_store import FakeStore

DEADLINE = 20.0  # seconds
CHUNK = 4  # bytes
CAPACITY = 1000  # tokens
CATALOGUE = Catalogue(
    revision=1,
    services={
        "advisor": Service(
            name="advisor",
            owner="o",
            kind=ServiceKind.ENGINE,
            selector={"service": "advisor"},
        ),
        "purchasing": Service(
            name="purchasing",
            owner="o",
            kind=ServiceKind.PLAIN,
            selector={"service": "purchasing"},
        ),
    },
    models={"advisor": Model(name="advisor", owner="o", service="advisor")},
)
TARGETS = {"advisor-1": "advisor", "advisor-2": "advisor"} | {
    "purchasing-1": "purchasing",
    "purchasing-2": "purchasing",
}
PROMPT = Prompt("advisor", tokens=300, max_tokens=20, stream=True)
REGISTRATION = Call("purchasing", "POST", "/registrations", idempotent=False)


@dataclasses.dataclass
class Caller:
    """A caller's request, and what it has received of the answer."""

    request: Request
    entry: str
    data: bytes = b""
    outcome: str | None = None
    verdict: Verdict | None = None
    ended_at: float = 0.0
    aborted: bool = False  # by its entry's crash


@dataclasses.dataclass(frozen=True)
class TargetRun:
    """One run of an attempt at a target."""

    target: str
    attempt: AttemptId


@dataclasses.dataclass
class Link:
    """Messages in flight between an entry and an agent, in order."""

    up: bool = False
    to_agent: list = dataclasses.field(default_factory=list)
    to_entry: list = dataclasses.field(default_factory=list)


class Agent:
    """An agent and its target, which sends answers in chunks."""

    def __init__(self, world, name, incarnation):
        self.world = world
        self.id = AgentId(name, f"incarnation-{incarnation}")
        self.board = TargetBoard(
            Gate(self.id, GateSettings(clock_skew=1.0, seal_window=60.0)),
            Ledger(CAPACITY),
            Backlog(),
            max_running=2,
        )
        self.controller = TargetController(self.id, self.board)
        self.offers = {}
        self.answers = {}
        self.sent_bytes = {}
        self.refusing = False
        self.exited = False

    def feed(self, event):
        for command in self.controller.handle(event, self.world.now):
            self._carry_out(command)

    def receive(self, message):
        match message:
            case StartRequested(offer):
                self.offers.setdefault(offer.attempt, offer)
            case (ResumeRequested(attempt=attempt, owner=owner) as message, offset):
                self.sent_bytes[attempt] = offset
                if attempt in self.offers:
                    changed = dataclasses.replace(self.offers[attempt], owner=owner)
                    self.offers[attempt] = changed
        self.feed(message)

    def step(self):
        """Send the next chunk of each running attempt."""
        for attempt in list(self.board.running):
            answer = self.answers.get(attempt)
            if answer is None:
                continue
            self._send_chunk(attempt)
            if self.sent_bytes.get(attempt, 0) >= len(answer):
                self._notify_owner(attempt, AnswerCompleted(attempt, len(answer)))
                self.feed(RunFinished(attempt))

    def fail_run(self):
        """Let the target fail its first running attempt."""
        for attempt in list(self.board.running)[:1]:
            self.answers.pop(attempt, None)
            verdict = Verdict.MAY_HAVE_RUN
            self._notify_owner(
                attempt, AttemptFailed(attempt, Reason.TARGET_FAILED, verdict)
            )
            self.feed(RunFinished(attempt))

    def _carry_out(self, command):
        match command:
            case RunAttempt(attempt) if self.refusing:
                self._notify_owner(
                    attempt, AttemptRefused(attempt, Reason.TARGET_UNREACHABLE)
                )
                self.feed(RunFinished(attempt))
            case RunAttempt(attempt):
                self.world.runs.append(TargetRun(self.id.target, attempt))
                self.answers[attempt] = self.world.answer(attempt)
                self._notify_owner(attempt, AttemptStarted(attempt))
            case StopAttempt(attempt):
                self.answers.pop(attempt, None)
                self.feed(RunFinished(attempt))
            case ReportAccepted(attempt):
                self._notify_owner(attempt, AttemptAccepted(attempt))
            case ReportRefused(attempt, reason, retry_after):
                self._notify_owner(
                    attempt, AttemptRefused(attempt, reason, retry_after)
                )
            case ReportSealed(attempt, owner, outcome):
                self.world.to_entry(owner, self.id, SealAnswered(attempt, outcome))
            case SendResumedAnswer(attempt) if attempt not in self.answers:
                verdict = Verdict.MAY_HAVE_RUN
                self._notify_owner(
                    attempt, AttemptFailed(attempt, Reason.STREAM_BROKEN, verdict)
                )
            case SendResumedAnswer(attempt):
                self._send_rest(attempt)
            case Exit():
                self.exited = True

    def _send_rest(self, attempt):
        answer = self.answers[attempt]
        while self.sent_bytes.get(attempt, 0) < len(answer):
            self._send_chunk(attempt)
        if attempt not in self.board.running:
            self._notify_owner(attempt, AnswerCompleted(attempt, len(answer)))

    def _send_chunk(self, attempt):
        offset = self.sent_bytes.get(attempt, 0)
        data = self.answers[attempt][offset : offset + CHUNK]
        if data:
            self._notify_owner(
                attempt, (AnswerChunkReceived(attempt, offset, len(data)), data)
            )
        self.sent_bytes[attempt] = offset + len(data)

    def _notify_owner(self, attempt, message):
        offer = self.offers.get(attempt)
        if offer is not None:
            self.world.to_entry(offer.owner, self.id, message)


class Entry:
    """An entry, its calls to the store, and its events still to handle."""

    def __init__(self, world, name, incarnation):
        self.world = world
        self.name = f"{name}.{incarnation}"
        self.paused = False
        self.stopping = False
        self.store_calls = []
        self.pending_events = []
        self.board = EntryBoard(catalogue=CATALOGUE)
        for target, service in TARGETS.items():
            host = Host(
                name=target,
                agent="",
                region="r",
                failure_domain="a",
                labels={"service": service},
            )
            self.board.targets[target] = TargetState(host)
        rng = random.Random(incarnation)
        router = Router(RoutingSettings(), rng)
        groups = GroupCoordinator(GroupSettings(), self.board, router, self._attempt)
        self.claims = Claimer(self.name, ClaimSettings(), itertools.count(1), rng)
        self.dispatcher = Dispatcher(
            self.board,
            router,
            groups,
            self.claims,
            RetryPolicy(RetrySettings(), rng),
            self._attempt,
            EntrySettings(listen=Address("127.0.0.1:1")),
        )

    def _attempt(self, request, number):
        return AttemptId(request, number, f"n{next(self.world.numbers)}")

    def feed(self, event):
        for command in self.dispatcher.handle(event, self.world.now):
            self._carry_out(command)

    def receive(self, message):
        match message:
            case (AnswerChunkReceived(attempt, offset, size), data):
                for command in self.dispatcher.handle_chunk(attempt, offset, size):
                    match command:
                        case RelayChunk(request, skip):
                            self.world.callers[request].data += data[skip:]
                        case _:
                            self._carry_out(command)
            case _:
                self.feed(message)

    def handle_pending_events(self):
        while self.pending_events and not self.paused:
            self.feed(self.pending_events.pop(0))

    def _carry_out(self, command):
        match command:
            case SendAttempt(attempt, agent):
                caller = self.world.callers[attempt.request]
                if not caller.request.streamed:
                    caller.data = b""
                message = StartRequested(self._offer(attempt, agent))
                if not self.world.to_agent(self.name, agent, message):
                    refused = AttemptRefused(attempt, Reason.LINK_DOWN)
                    self.pending_events.append(refused)
            case CancelAttempt(attempt, agent):
                self.world.to_agent(self.name, agent, CancelRequested(attempt))
            case ResumeAnswer(attempt, agent, offset):
                deadline = self.world.callers[attempt.request].request.deadline
                message = ResumeRequested(attempt, self.name, deadline)
                self.world.to_agent(self.name, agent, (message, offset))
            case SealAttempt(attempt, agent, deadline):
                message = SealRequested(attempt, agent.incarnation, deadline, self.name)
                self.world.to_agent(self.name, agent, message)
            case ReadKey() | SwapKey():
                self.store_calls.append(command)
            case FinishAnswer(request):
                self._finish(self.world.callers[request])
            case ReplayResult(request, result):
                caller = self.world.callers[request]
                caller.data = result
                self._end(caller, "complete")
            case FailRequest(request, _, verdict):
                caller = self.world.callers[request]
                caller.verdict = verdict
                self._end(caller, "failed")

    def _finish(self, caller):
        self._end(caller, "complete")
        if caller.request.needs_claim:
            self.feed(ResultCaptured(caller.request.id, caller.data))

    def _end(self, caller, outcome):
        self.world.check(caller.outcome is None, "a request ended more than once")
        caller.outcome = outcome
        caller.ended_at = self.world.now

    def _offer(self, attempt, agent):
        request = self.world.callers[attempt.request].request
        memory = request.work.memory if isinstance(request.work, Prompt) else 0
        return AttemptOffer(
            attempt,
            self.name,
            agent.incarnation,
            request.deadline,
            priority=1,
            idempotent=request.idempotent,
            memory=memory,
        )


class World:
    """All entries, agents and links, the store, callers and actual runs."""

    def __init__(self, entries=2):
        self.now = 1000.0
        self.numbers = itertools.count(1)
        self.store = FakeStore()
        self.runs = []
        self.callers = {}
        self.entries = {}
        self.agents = {}
        self.links = {}
        self.history = []
        for target in TARGETS:
            self.agents[target] = Agent(self, target, 0)
        self.names = [f"e{number}" for number in range(entries)]
        for name in self.names:
            self.start_entry(name)
        self.settle()

    # Steps of a test.

    def send(self, name, work, key=None, digest="d"):
        entry = self.entries[name]
        request = Request(
            f"r{next(self.numbers)}",
            "w",
            "c",
            work,
            arrived=self.now,
            deadline=self.now + DEADLINE,
            key=key,
            body_digest=digest,
        )
        self.callers[request.id] = Caller(request, entry.name)
        entry.feed(RequestReceived(request))

    def start_entry(self, name):
        entry = Entry(self, name, next(self.numbers))
        self.entries[name] = entry
        for target in TARGETS:
            self.links[entry.name, target] = Link()
            self.attach(name, target)

    def crash_entry(self, name):
        entry = self.entries[name]
        for target in TARGETS:
            self.detach(name, target)
            del self.links[entry.name, target]
        for caller in self.callers.values():
            if caller.entry == entry.name and caller.outcome is None:
                caller.outcome, caller.aborted = "aborted", True
        for call in entry.store_calls:  # calls in flight may still take effect
            if next(self.numbers) % 2:
                self.store.carry_out(call)
        self.start_entry(name)

    def restart_agent(self, target):
        for name in self.names:
            self.detach(name, target)
        self.agents[target] = Agent(self, target, next(self.numbers))

    def attach(self, name, target):
        entry, agent = self.entries[name], self.agents[target]
        link = self.links[entry.name, target]
        if link.up or entry.paused:
            return
        link.up = True
        agent.feed(OwnerHeartbeatReceived(entry.name))
        link.to_entry += [
            LoadReported(agent.id, agent.controller.load),
            AgentAttached(agent.id),
        ]

    def detach(self, name, target):
        entry, agent = self.entries[name], self.agents[target]
        link = self.links[entry.name, target]
        if not link.up:
            return
        link.up = False
        link.to_agent.clear()
        link.to_entry.clear()
        agent.feed(OwnerDisconnected(entry.name))
        entry.pending_events.append(AgentDetached(agent.id))

    def disconnect_caller(self, caller):
        entry = next(
            (
                candidate
                for candidate in self.entries.values()
                if candidate.name == caller.entry
            ),
            None,
        )
        if entry is not None and caller.outcome is None:
            entry.feed(CallerDisconnected(caller.request.id))

    def answer_store(self, entry, lose_answer=False):
        """Carry out an entry's first call to the store, and report the result.

        A lost answer is reported as an unknown outcome.
        """
        if not entry.store_calls or entry.paused:
            return
        call = entry.store_calls.pop(0)
        result = self.store.carry_out(call)
        entry.feed(
            StoreCallFinished(call.call, OutcomeUnknown() if lose_answer else result)
        )

    def delay_store_call(self, entry):
        """Report an unknown outcome of a call, and keep a write for later."""
        if entry.store_calls and not entry.paused:
            call = entry.store_calls.pop(0)
            entry.feed(StoreCallFinished(call.call, OutcomeUnknown()))
            if isinstance(call, SwapKey):
                self.history.append(call)

    def apply_delayed_writes(self):
        writes = [call for call in self.history if isinstance(call, SwapKey)]
        self.history = [call for call in self.history if not isinstance(call, SwapKey)]
        for call in writes:
            self.store.carry_out(call)

    def redeliver(self, index):
        """Deliver a message to its entry again, late and out of order."""
        messages = [item for item in self.history if not isinstance(item, SwapKey)]
        if messages:
            name, message = messages[index % len(messages)]
            entry = next(
                (
                    candidate
                    for candidate in self.entries.values()
                    if candidate.name == name
                ),
                None,
            )
            if entry is not None and not entry.paused:
                entry.receive(message)

    def deliver(self, name, target, count=1):
        """Deliver a link's first messages in both directions."""
        entry, agent = self.entries[name], self.agents[target]
        link = self.links[entry.name, target]
        for _ in range(count):
            if link.to_agent:
                agent.receive(link.to_agent.pop(0))
            if link.to_entry and not entry.paused:
                message = link.to_entry.pop(0)
                if not isinstance(message, (AgentAttached, LoadReported)):
                    self.history.append((entry.name, message))
                entry.receive(message)
        entry.handle_pending_events()

    def advance(self, seconds):
        """Advance the clock in steps of 0.1 s, with heartbeats and ticks."""
        for _ in range(round(seconds * 10)):
            self.now += 0.1
            for name, entry in self.entries.items():
                if entry.paused:
                    continue
                for target, agent in self.agents.items():
                    if self.links[entry.name, target].up:
                        agent.feed(OwnerHeartbeatReceived(entry.name))
                entry.handle_pending_events()
                entry.feed(Tick())
            for agent in self.agents.values():
                agent.feed(Tick())

    def settle(self, rounds=12):
        """Process events, store calls and messages for some rounds."""
        for _ in range(rounds):
            for entry in self.entries.values():
                entry.handle_pending_events()
                for _ in range(len(entry.store_calls)):
                    self.answer_store(entry)
            for agent in self.agents.values():
                agent.step()
            for name in self.names:
                for target in TARGETS:
                    self.deliver(name, target, 4)

    def heal(self):
        """End all faults, and continue until every deadline has passed."""
        self.store.down = False
        for entry in self.entries.values():
            entry.paused = False
        for agent in self.agents.values():
            agent.refusing = False
        for _ in range(30):
            for name in self.names:
                for target in TARGETS:
                    self.attach(name, target)
            self.settle(4)
            self.advance(1.0)
        for _ in range(70):
            self.advance(1.0)
            self.settle(2)

    # Transport of messages.

    def to_agent(self, owner, agent, message):
        link = self.links.get((owner, agent.target))
        if link is None or not link.up:
            return False
        link.to_agent.append(message)
        return True

    def to_entry(self, owner, agent, message):
        link = self.links.get((owner, agent.target))
        if link is not None and link.up:
            link.to_entry.append(message)

    def answer(self, attempt):
        request = self.callers[attempt.request].request
        return f"answer to {request.body_digest} for {request.service}".encode()

    # Checks against the actual runs.

    @staticmethod
    def check(condition, failure):
        if not condition:
            raise AssertionError(failure)

    def runs_of(self, request):
        return sum(1 for run in self.runs if run.attempt.request == request)

    def check_safety(self):
        by_key = {}
        for caller in self.callers.values():
            request = caller.request
            runs = self.runs_of(request.id)
            if not request.idempotent:
                self.check(runs <= 1, f"{request.id} ran {runs} times")
                if request.key is not None:
                    by_key[request.key] = by_key.get(request.key, 0) + runs
            if caller.verdict is Verdict.NOT_RUN:
                self.check(runs == 0, f"{request.id} ran, but its verdict is not_run")
            if caller.outcome == "complete":
                expected = self.answer(AttemptId(request.id, 1, "n"))
                self.check(caller.data == expected, f"{request.id}: {caller.data!r}")
        for key, runs in by_key.items():
            self.check(runs <= 1, f"key {key} ran {runs} times")

    def check_all_ended(self, pauses):
        """Check that all requests have ended and all memory is released.

        All faults must have ended before.
        """
        for caller in self.callers.values():
            self.check(caller.outcome is not None, f"{caller.request.id} has not ended")
            overdue = caller.ended_at - caller.request.deadline
            if not caller.aborted and not pauses:
                self.check(
                    overdue < 0.2,
                    f"{caller.request.id} ended {overdue} s after its deadline",
                )
        for entry in self.entries.values():
            self.check(not entry.board.requests, "requests are left on the board")
            self.check(not entry.board.attempts, "attempts are left on the board")
            self.check(not entry.claims.busy, "claims are left unsettled")
            for target in entry.board.targets.values():
                self.check(not target.outstanding, "work is left at a target")
        for agent in self.agents.values():
            self.check(agent.board.ledger.used == 0, "memory is left reserved")
            self.check(not agent.board.gate.busy, "attempts are left at the gate")
