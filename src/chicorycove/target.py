"""Decides which attempts an agent queues, runs and refuses at its target."""

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

LONG_PROMPT_TOKENS = 16_384  # minimum size of a prompt that is reported as long


@dataclasses.dataclass(frozen=True, slots=True)
class RunningPrefill:
    """A prompt that the engine computes."""

    offer: AttemptOffer
    started_at: float  # seconds
    alone: bool  # no other prompt was being computed at its start


@dataclasses.dataclass(slots=True)
class TargetBoard:
    """The state of an agent: its attempts by progress, queue and memory."""

    gate: Gate
    ledger: Ledger
    backlog: Backlog
    max_running: int
    running: dict[AttemptId, AttemptOffer] = dataclasses.field(default_factory=dict)
    reserved: dict[AttemptId, AttemptOffer] = dataclasses.field(default_factory=dict)
    prefilling: dict[AttemptId, RunningPrefill] = dataclasses.field(
        default_factory=dict
    )
    stopping: bool = False


class TargetController:
    """Decides on the attempts at one target; times are in seconds."""

    def __init__(self, agent: AgentId, board: TargetBoard) -> None:
        self._agent = agent
        self._board = board

    @property
    def load(self) -> TargetLoad:
        """Return the load that the agent reports for its target."""
        board = self._board
        prefill_sizes = [prefill.offer.prefill for prefill in board.prefilling.values()]
        prefill_sizes += [offer.prefill for offer in board.backlog.offers]
        return TargetLoad(
            running=len(board.running),
            queued=len(board.backlog),
            queued_prefill=sum(prefill_sizes),
            memory_free=max(board.ledger.free, 0),
            memory_total=board.ledger.capacity,
            leaving=board.gate.leaving,
            queued_long=sum(
                size for size in prefill_sizes if size >= LONG_PROMPT_TOKENS
            ),
        )

    @property
    def idle(self) -> bool:
        """Return whether no attempt is queued or runs."""
        return not self._board.gate.busy

    def withdraw(self) -> None:
        """Refuse new attempts until the target is readmitted."""
        self._board.gate.drain()

    def readmit(self) -> None:
        """Accept new attempts again, unless the agent is stopping."""
        if not self._board.stopping:
            self._board.gate.readmit()

    def handle(self, event: AgentEvent, now: float) -> list[AgentCommand]:
        """Apply an event and return the commands to execute."""
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
                commands = []  # the owner's work is kept until its lease expires
            case AnswerStarted(attempt, streamed):
                commands = self._record_answer_start(attempt, streamed, now)
            case RunFinished(attempt):
                commands = self._end_run(attempt, now)
            case EngineMemoryReported():
                commands = self._reconcile(event)
            case StopRequested():
                self._board.gate.drain()
                self._board.stopping = True
                commands = []
            case Tick():
                commands = self._tick(now)
        return commands + self._start_queued(now)

    def _start(self, offer: AttemptOffer, now: float) -> list[AgentCommand]:
        if offer.attempt in self._board.reserved:
            return self._start_reserved(offer, now)
        reason = self._board.gate.admit(offer, now)
        if reason is Reason.ATTEMPT_DUPLICATE:
            return [CountDrop("start")]
        if reason is not None:
            return [ReportRefused(offer.attempt, reason)]
        reason = self._board.backlog.enqueue(offer, now, self._tokens_ahead(offer))
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
            alone = not self._board.prefilling
            self._board.prefilling[offer.attempt] = RunningPrefill(offer, now, alone)
            return [RunAttempt(offer.attempt)]
        self._board.ledger.release(offer.attempt)
        return [ReportRefused(offer.attempt, Reason.ATTEMPT_EXPIRED)]

    def _refuse(self, offer: AttemptOffer, reason: Reason, now: float) -> ReportRefused:
        self._board.gate.refuse(offer, reason)
        retry_after = self._board.backlog.retry_after(now, self._tokens_ahead(offer))
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
        seal_request = SealRequested(
            event.attempt, self._agent.incarnation, event.deadline, event.owner
        )
        if event.attempt in self._board.backlog:
            return [ReportAccepted(event.attempt)]
        match self._board.gate.seal(seal_request, now):
            case SealOutcome.NOT_STARTED:
                return [ReportRefused(event.attempt, Reason.ATTEMPT_SEALED)]
            case _:
                return [SendResumedAnswer(event.attempt)]

    def _seal(self, event: SealRequested, now: float) -> list[AgentCommand]:
        outcome = self._board.gate.seal(event, now)
        if outcome is SealOutcome.NOT_STARTED:
            self._board.backlog.remove(event.attempt)
        return [ReportSealed(event.attempt, event.owner, outcome)]

    def _record_answer_start(
        self, attempt: AttemptId, streamed: bool, now: float
    ) -> list[AgentCommand]:
        """Record that a prompt is computed, and update the prefill rate."""
        prefill = self._board.prefilling.pop(attempt, None)
        if prefill is not None and prefill.alone and streamed:
            backlog = self._board.backlog
            backlog.record_prefill(prefill.offer.prefill, now - prefill.started_at)
        return []

    def _tokens_ahead(self, offer: AttemptOffer) -> int:
        """Return the tokens of prompts in prefill that precede an offer."""
        return sum(
            prefill.offer.prefill
            for prefill in self._board.prefilling.values()
            if prefill.offer.priority <= offer.priority
        )

    def _end_run(self, attempt: AttemptId, now: float) -> list[AgentCommand]:
        self._board.running.pop(attempt, None)
        self._board.prefilling.pop(attempt, None)
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

    def _start_queued(self, now: float) -> list[AgentCommand]:
        """Start or reserve queued attempts while the engine has room."""
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
