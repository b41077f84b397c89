"""What the agent beside a target decides: what runs there, and when."""

import dataclasses

from .backlog import Backlog
from .command import (
    AgentCommand,
    ComputeSegment,
    CountDrop,
    Exit,
    ReportAccepted,
    ReportRefused,
    ReportReserved,
    ReportSealed,
    RunAttempt,
    SendResumedAnswer,
    StopAttempt,
)
from .event import (
    AgentEvent,
    AnswerStarted,
    AttemptOffer,
    CancelRequested,
    EngineMemoryReported,
    OwnerDisconnected,
    OwnerHeartbeatReceived,
    PrefillRequested,
    ReleaseRequested,
    ReserveRequested,
    ResumeRequested,
    RunFinished,
    SealOutcome,
    SealRequested,
    StartRequested,
    TargetLoad,
)
from .gate import Gate
from .identity import AgentId, AttemptId
from .ledger import Ledger
from .lifecycle import StopRequested, Tick
from .reason import Reason

LONG_PROMPT_TOKENS = 16_384  # from which a prompt is reported as long


@dataclasses.dataclass(frozen=True, slots=True)
class RunningPrefill:
    """A prompt that the engine computes; since is in seconds."""

    offer: AttemptOffer
    since: float
    alone: bool


@dataclasses.dataclass(slots=True)
class TargetBoard:
    """The state of an agent."""

    gate: Gate
    ledger: Ledger
    backlog: Backlog
    max_running: int
    running: dict[AttemptId, AttemptOffer] = dataclasses.field(default_factory=dict)
    reserved: dict[AttemptId, AttemptOffer] = dataclasses.field(default_factory=dict)
    prefill: dict[AttemptId, RunningPrefill] = dataclasses.field(default_factory=dict)
    stopping: bool = False


class TargetController:
    """Decides for one target; times are in seconds."""

    def __init__(self, agent: AgentId, board: TargetBoard) -> None:
        self._agent = agent
        self._board = board

    @property
    def load(self) -> TargetLoad:
        """Return the target's load."""
        board = self._board
        sizes = [prefill.offer.prefill for prefill in board.prefill.values()]
        sizes += [offer.prefill for offer in board.backlog.offers]
        return TargetLoad(
            running=len(board.running),
            queued=len(board.backlog),
            queued_prefill=sum(sizes),
            memory_free=max(board.ledger.free, 0),
            memory_total=board.ledger.capacity,
            leaving=board.gate.leaving,
            queued_long=sum(size for size in sizes if size >= LONG_PROMPT_TOKENS),
        )

    @property
    def idle(self) -> bool:
        """Tell whether nothing waits or runs."""
        return not self._board.gate.busy

    def withdraw(self) -> None:
        """Take no new work until readmitted."""
        self._board.gate.drain()

    def readmit(self) -> None:
        """Take new work again, unless the agent is stopping."""
        if not self._board.stopping:
            self._board.gate.readmit()

    def handle(self, event: AgentEvent, now: float) -> list[AgentCommand]:
        """Return what is to be done about an event."""
        match event:
            case StartRequested(offer) | ReserveRequested(offer):
                commands = self._start(offer, now)
            case PrefillRequested(attempt):
                commands = self._prefill(attempt, now)
            case ReleaseRequested(attempt) | CancelRequested(attempt):
                commands = self._cancel(attempt, now)
            case ResumeRequested():
                commands = self._resume(event, now)
            case SealRequested():
                commands = self._seal(event, now)
            case OwnerHeartbeatReceived(owner):
                self._board.ledger.renew(owner, now)
                commands = []
            case OwnerDisconnected():
                commands = []  # its lease goes on running
            case AnswerStarted(attempt, streamed):
                commands = self._answering(attempt, streamed, now)
            case RunFinished(attempt):
                commands = self._ended(attempt, now)
            case EngineMemoryReported():
                commands = self._reconcile(event)
            case StopRequested():
                self._board.gate.drain()
                self._board.stopping = True
                commands = []
            case Tick():
                commands = self._tick(now)
        return commands + self._pump(now)

    def _start(self, offer: AttemptOffer, now: float) -> list[AgentCommand]:
        if offer.attempt in self._board.reserved:
            return self._start_reserved(offer, now)
        reason = self._board.gate.admit(offer, now)
        if reason is Reason.ATTEMPT_DUPLICATE:
            return [CountDrop("start")]
        if reason is not None:
            return [ReportRefused(offer.attempt, reason)]
        reason = self._board.backlog.enqueue(offer, now, self._ahead(offer))
        if reason is not None:
            return [self._refuse(offer, reason, now)]
        return [ReportAccepted(offer.attempt)]

    def _start_reserved(self, offer: AttemptOffer, now: float) -> list[AgentCommand]:
        self._board.reserved.pop(offer.attempt)
        return self._run(offer, now)

    def _prefill(self, attempt: AttemptId, now: float) -> list[AgentCommand]:
        if attempt not in self._board.reserved:
            return [ReportRefused(attempt, Reason.RESERVATION_LOST)]
        if not self._board.gate.start(attempt, now):
            return [CountDrop("prefill")]
        return [ComputeSegment(attempt)]

    def _run(self, offer: AttemptOffer, now: float) -> list[AgentCommand]:
        if self._board.gate.start(offer.attempt, now):
            self._board.running[offer.attempt] = offer
            alone = not self._board.prefill
            self._board.prefill[offer.attempt] = RunningPrefill(offer, now, alone)
            return [RunAttempt(offer.attempt)]
        self._board.ledger.release(offer.attempt)
        return [ReportRefused(offer.attempt, Reason.ATTEMPT_EXPIRED)]

    def _refuse(self, offer: AttemptOffer, reason: Reason, now: float) -> ReportRefused:
        self._board.gate.refuse(offer, reason)
        retry_after = self._board.backlog.retry_after(now, self._ahead(offer))
        return ReportRefused(offer.attempt, reason, retry_after)

    def _cancel(self, attempt: AttemptId, now: float) -> list[AgentCommand]:
        board = self._board
        board.backlog.remove(attempt)
        if board.gate.cancel(attempt, now) and attempt not in board.reserved:
            return []
        if attempt in board.running:
            return [StopAttempt(attempt)]
        if board.reserved.pop(attempt, None) is not None:
            board.ledger.release(attempt)
            board.gate.end(attempt, now)
            return [StopAttempt(attempt)]
        return []

    def _resume(self, event: ResumeRequested, now: float) -> list[AgentCommand]:
        asked = SealRequested(
            event.attempt, self._agent.incarnation, event.deadline, event.owner
        )
        if event.attempt in self._board.backlog:
            return [ReportAccepted(event.attempt)]
        match self._board.gate.seal(asked, now):
            case SealOutcome.NOT_STARTED:
                return [ReportRefused(event.attempt, Reason.ATTEMPT_SEALED)]
            case _:
                return [SendResumedAnswer(event.attempt)]

    def _seal(self, event: SealRequested, now: float) -> list[AgentCommand]:
        outcome = self._board.gate.seal(event, now)
        if outcome is SealOutcome.NOT_STARTED:
            self._board.backlog.remove(event.attempt)
        return [ReportSealed(event.attempt, event.owner, outcome)]

    def _answering(
        self, attempt: AttemptId, streamed: bool, now: float
    ) -> list[AgentCommand]:
        """Note that a prompt is computed, and learn the engine's rate."""
        prefill = self._board.prefill.pop(attempt, None)
        if prefill is not None and prefill.alone and streamed:
            backlog = self._board.backlog
            backlog.record_prefill(prefill.offer.prefill, now - prefill.since)
        return []

    def _ahead(self, offer: AttemptOffer) -> int:
        """Return the tokens that the engine computes before an offer's."""
        return sum(
            prefill.offer.prefill
            for prefill in self._board.prefill.values()
            if prefill.offer.priority <= offer.priority
        )

    def _ended(self, attempt: AttemptId, now: float) -> list[AgentCommand]:
        self._board.running.pop(attempt, None)
        self._board.prefill.pop(attempt, None)
        self._board.reserved.pop(attempt, None)
        self._board.ledger.release(attempt)
        self._board.gate.end(attempt, now)
        return []

    def _reconcile(self, report: EngineMemoryReported) -> list[AgentCommand]:
        return [
            StopAttempt(attempt) for attempt in self._board.ledger.reconcile(report)
        ]

    def _tick(self, now: float) -> list[AgentCommand]:
        board = self._board
        board.gate.prune(now)
        commands: list[AgentCommand] = [
            self._refuse(offer, Reason.ATTEMPT_EXPIRED, now)
            for offer in board.backlog.remove_expired(now)
        ]
        for offer in board.backlog.remove_lapsed(now, board.ledger):
            commands.append(self._refuse(offer, Reason.RESERVATION_LOST, now))
        for attempt in board.ledger.cancel_lapsed(now):
            commands += self._cancel(attempt, now)
        if board.stopping and not board.gate.busy:
            commands.append(Exit())
        return commands

    def _pump(self, now: float) -> list[AgentCommand]:
        """Start what may start now."""
        board = self._board
        commands: list[AgentCommand] = []
        while len(board.running) < board.max_running:
            offer = board.backlog.dequeue(now, board.ledger)
            if offer is None:
                break
            if offer.grouped:
                board.reserved[offer.attempt] = offer
                commands.append(ReportReserved(offer.attempt))
            else:
                commands += self._run(offer, now)
        return commands
