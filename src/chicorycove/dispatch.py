"""The life of a request at its entry, from arrival to its last answer."""

import dataclasses
import typing as t

from .attempt import REFUSED, AttemptState, AttemptStep, advance, is_live
from .board import EntryBoard, RequestState
from .claim import Claimer
from .command import (
    AbandonGroup,
    CancelAttempt,
    CountDrop,
    CountRetry,
    EntryCommand,
    RelayChunk,
    ReplayResult,
    ResumeAnswer,
    SendAttempt,
    SendClaimedAttempt,
)
from .event import (
    AgentAttached,
    AgentDetached,
    AnswerChunkReceived,
    AttemptAccepted,
    AttemptStarted,
    EntryEvent,
    LoadReported,
    RequestReceived,
    ResultCaptured,
    SealAnswered,
    SegmentPrefilled,
    StoreCallFinished,
)
from .group import GroupCoordinator
from .health import HealthSettings, OutlierDetector
from .identity import AgentId, AttemptId
from .lifecycle import (
    AnswerCompleted,
    AttemptFailed,
    AttemptRefused,
    CallerDisconnected,
    FailRequest,
    FinishAnswer,
    MemoryReserved,
    StopRequested,
    Tick,
)
from .reason import Reason
from .request import Request
from .retry import GiveUp, Retry, RetryPolicy
from .routing import Router
from .settings import EntrySettings
from .verdict import Verdict

PLACE_INTERVAL = 0.05  # seconds between looks for a target
PLACE_TIMEOUT = 2.0  # seconds without any target until a request is refused
RETRY_AFTER = 1.0  # seconds

# Failures that tell of the target's health.
TARGET_FAULTS = frozenset(
    {
        Reason.TARGET_FAILED,
        Reason.TARGET_UNREACHABLE,
        Reason.STREAM_BROKEN,
        Reason.LINK_LOST,
        Reason.DEADLINE_EXCEEDED,
    }
)

AttemptFactory = t.Callable[[str, int], AttemptId]

frozen = dataclasses.dataclass(frozen=True, slots=True)


@frozen
class _DeadlineDue:
    request: str


@frozen
class _PlaceDue:
    request: str
    since: float


@frozen
class _ReattachDue:
    attempt: AttemptId


class Dispatcher:
    """Decides what an entry does with its requests; times are in seconds."""

    def __init__(
        self,
        board: EntryBoard,
        router: Router,
        groups: GroupCoordinator,
        claims: Claimer,
        retries: RetryPolicy,
        make_attempt: AttemptFactory,
        settings: EntrySettings,
    ) -> None:
        self._board = board
        self._router = router
        self._groups = groups
        self._claims = claims
        self._retries = retries
        self._make_attempt = make_attempt
        self._settings = settings
        self._health = OutlierDetector(board, HealthSettings())
        self._planned: dict[str, tuple[AttemptId, AgentId]] = {}
        self._orphans: dict[AgentId, list[AttemptId]] = {}

    @property
    def busy(self) -> bool:
        """Tell whether claims are not settled yet."""
        return self._claims.busy

    def handle(self, event: EntryEvent, now: float) -> list[EntryCommand]:
        """Return what is to be done about an event."""
        match event:
            case RequestReceived(request):
                commands = self._arrived(request, now)
            case CallerDisconnected(request):
                commands = self._caller_gone(request, now)
            case ResultCaptured(request, result):
                commands = self._claims.record_result(request, result, now)
            case AgentAttached(agent):
                commands = self._attached(agent, now)
            case AgentDetached(agent):
                commands = self._detached(agent, now)
            case AttemptAccepted(attempt) | AttemptStarted(attempt):
                commands = self._progressed(attempt, event)
            case AnswerChunkReceived(attempt, offset, size):
                commands = self.chunk(attempt, offset, size)
            case AnswerCompleted(attempt, size):
                commands = self._ended(attempt, size, now)
            case AttemptFailed(attempt, reason, verdict):
                commands = self._broke(attempt, reason, verdict, None, now)
            case AttemptRefused(attempt, reason, retry_after):
                commands = self._broke(
                    attempt, reason, Verdict.NOT_RUN, retry_after, now
                )
            case MemoryReserved() | SegmentPrefilled():
                commands = self._groups.handle(event, now)
            case SealAnswered() | StoreCallFinished():
                commands = self._claims.handle(event, now)
            case LoadReported(agent, load):
                commands = self._load(agent, load, now)
            case StopRequested():
                self._board.stopping = True
                commands = []
            case Tick():
                commands = self._tick(now)
        return self._settle(commands, now)

    def current(self, attempt: AttemptId) -> RequestState | None:
        """Return the request that an attempt may still answer, if any."""
        state = self._board.requests.get(attempt.request)
        if state is None or not state.attempts or state.attempts[-1].id != attempt:
            return None
        return state

    def chunk(self, attempt: AttemptId, offset: int, size: int) -> list[EntryCommand]:
        """Return what is to be done with a chunk; sizes are in bytes."""
        state = self.current(attempt)
        if state is None:
            return [CountDrop("chunk")]
        skip = state.relayed - offset
        if skip < 0:
            return [
                CountDrop("gap"),
                ResumeAnswer(attempt, state.attempts[-1].agent, state.relayed),
            ]
        if skip >= size:
            return []
        if not state.relayed:
            self._answering(state.attempts[-1])
        state.relayed += size - skip
        return [RelayChunk(attempt.request, skip)]

    def _arrived(self, request: Request, now: float) -> list[EntryCommand]:
        if self._board.stopping:
            return [
                FailRequest(request.id, Reason.STOPPING, Verdict.NOT_RUN, RETRY_AFTER)
            ]
        if request.deadline <= now:
            return [FailRequest(request.id, Reason.DEADLINE_PAST, Verdict.NOT_RUN)]
        state = RequestState(request)
        self._board.requests[request.id] = state
        self._board.timers.add(request.deadline, _DeadlineDue(request.id))
        return self._place(state, now, now)

    def _place(
        self, state: RequestState, since: float, now: float
    ) -> list[EntryCommand]:
        request = state.request
        if self._groups.needs_group(request):
            return self._groups.start(state, now)
        name = self._router.choose(request, self._board, now, frozenset(state.tried))
        if name is None and state.tried:
            state.tried.clear()
            name = self._router.choose(request, self._board, now, frozenset())
        if name is None:
            return self._no_target(state, since, now)
        agent = self._board.targets[name].agent
        attempt = self._make_attempt(request.id, len(state.attempts) + 1)
        if request.needs_claim:
            self._planned[request.id] = (attempt, agent)
            return self._claims.claim(request, attempt, agent, now)
        return self._send(state, attempt, agent)

    def _no_target(
        self, state: RequestState, since: float, now: float
    ) -> list[EntryCommand]:
        if now - since >= PLACE_TIMEOUT:
            return self._fail(state, Reason.NO_TARGET, None, RETRY_AFTER, now)
        due = _PlaceDue(state.request.id, since)
        self._board.timers.add(now + PLACE_INTERVAL, due)
        return []

    def _send(
        self,
        state: RequestState,
        attempt: AttemptId,
        agent: AgentId,
    ) -> list[EntryCommand]:
        self._record(state, attempt, agent)
        if len(state.attempts) == 1:
            self._retries.note_first(state.request.workspace, agent.target)
        if not state.request.streamed:
            state.relayed = 0
        return [SendAttempt(attempt, agent)]

    def _record(
        self, state: RequestState, attempt: AttemptId, agent: AgentId
    ) -> AttemptState:
        record = AttemptState(attempt, agent)
        state.attempts.append(record)
        self._board.attempts[attempt] = record
        target = self._board.targets.get(agent.target)
        if target is not None:
            target.outstanding.setdefault(attempt, state.request.weight)
            target.prefill.setdefault(attempt, state.request.prefill)
        return record

    def _progressed(
        self, attempt: AttemptId, event: AttemptAccepted | AttemptStarted
    ) -> list[EntryCommand]:
        if self.current(attempt) is None:
            return [CountDrop(event.drop_kind)]
        step = (
            AttemptStep.START
            if isinstance(event, AttemptStarted)
            else AttemptStep.ACCEPT
        )
        advance(self._board.attempts[attempt], step)
        return []

    def _ended(self, attempt: AttemptId, size: int, now: float) -> list[EntryCommand]:
        state = self.current(attempt)
        if state is None:
            return [CountDrop("end")]
        record = state.attempts[-1]
        if size < state.relayed:  # a rerun gave another answer
            reason, verdict = Reason.STREAM_BROKEN, Verdict.MAY_HAVE_RUN
            return self._broke(attempt, reason, verdict, None, now)
        if size > state.relayed:
            return [
                CountDrop("gap"),
                ResumeAnswer(attempt, record.agent, state.relayed),
            ]
        advance(record, AttemptStep.END)
        self._health.note_success(record.agent.target)
        self._forget(state)
        commands: list[EntryCommand] = [FinishAnswer(attempt.request)]
        if self._groups.owns(attempt):
            commands += self._groups.handle(AnswerCompleted(attempt, size), now)
        return commands

    def _broke(
        self,
        attempt: AttemptId,
        reason: Reason,
        verdict: Verdict,
        retry_after: float | None,
        now: float,
    ) -> list[EntryCommand]:
        if self._groups.owns(attempt):
            return self._groups.handle(AttemptFailed(attempt, reason, verdict), now)
        state = self.current(attempt)
        if state is None:
            return [CountDrop("failure")]
        record = state.attempts[-1]
        self._close(record, verdict)
        self._note_failure(state, record, reason, now)
        state.tried.add(record.agent.target)
        return self._again(state, reason, verdict, retry_after, now)

    def _again(
        self,
        state: RequestState,
        reason: Reason,
        verdict: Verdict,
        retry_after: float | None,
        now: float,
    ) -> list[EntryCommand]:
        match self._retries.decide(state, reason, verdict, now, retry_after):
            case Retry(at):
                due = _PlaceDue(state.request.id, at)
                self._board.timers.add(at, due)
                return [CountRetry(reason)]
            case GiveUp(final, known):
                return self._fail(state, final, known, retry_after, now)

    def _fail(
        self,
        state: RequestState,
        reason: Reason,
        verdict: Verdict | None,
        retry_after: float | None,
        now: float,
    ) -> list[EntryCommand]:
        request = state.request
        commands: list[EntryCommand] = []
        for record in state.attempts:
            if is_live(record):
                commands += self._cancel(record)
        commands += self._groups.abandon(request.id, now)
        known = self._verdict(state)
        if verdict is None or known is not Verdict.NOT_RUN:
            verdict = known
        if request.needs_claim:
            commands += self._claims.abandon(request.id, verdict, now)
        self._forget(state)
        commands.append(FailRequest(request.id, reason, verdict, retry_after))
        return commands

    def _verdict(self, state: RequestState) -> Verdict:
        """Return what is known of a request's execution."""
        proved = all(record.state == REFUSED for record in state.attempts)
        if proved and not state.may_have_run:
            return Verdict.NOT_RUN
        return Verdict.MAY_HAVE_RUN

    def _close(self, record: AttemptState, verdict: Verdict) -> None:
        advance(
            record,
            AttemptStep.REFUSE if verdict is Verdict.NOT_RUN else AttemptStep.FAIL,
        )
        self._release(record)
        if verdict is not Verdict.NOT_RUN:
            self._orphan(record)

    def _cancel(self, record: AttemptState) -> list[EntryCommand]:
        """Cancel an attempt, now or when its agent is attached again."""
        self._orphan(record)
        return [CancelAttempt(record.id, record.agent)]

    def _orphan(self, record: AttemptState) -> None:
        if not self._reattached(record):
            self._orphans.setdefault(record.agent, []).append(record.id)

    def _note_failure(
        self, state: RequestState, record: AttemptState, reason: Reason, now: float
    ) -> None:
        if reason in TARGET_FAULTS:
            peers = self._router.peers(state.request, self._board, now)
            self._health.note_failure(record.agent.target, peers, now)

    def _caller_gone(self, request: str, now: float) -> list[EntryCommand]:
        state = self._board.requests.get(request)
        if state is None:
            return []
        if state.request.needs_claim and state.attempts:
            return []  # the result is kept for the caller's next try
        return self._fail(state, Reason.CALLER_GONE, None, None, now)

    def _attached(self, agent: AgentId, now: float) -> list[EntryCommand]:
        target = self._board.targets.get(agent.target)
        if target is not None:
            target.agent = agent
        commands: list[EntryCommand] = [
            CancelAttempt(attempt, agent) for attempt in self._orphans.pop(agent, ())
        ]
        for gone in [x for x in self._orphans if x.target == agent.target]:
            del self._orphans[gone]
        for record in self._pending(agent.target):
            if record.agent == agent:
                relayed = self._board.requests[record.id.request].relayed
                commands.append(ResumeAnswer(record.id, agent, relayed))
            else:
                commands += self._lost(record, now)
        return commands

    def _detached(self, agent: AgentId, now: float) -> list[EntryCommand]:
        target = self._board.targets.get(agent.target)
        if target is not None and target.agent == agent:
            target.agent = None
        due = now + self._settings.reattach_timeout
        for record in self._pending(agent.target):
            self._board.timers.add(due, _ReattachDue(record.id))
        return self._groups.handle(AgentDetached(agent), now)

    def _pending(self, target: str) -> list[AttemptState]:
        return [
            record
            for record in self._board.attempts.values()
            if record.agent.target == target
            and is_live(record)
            and record.id.request in self._board.requests
        ]

    def _lost(self, record: AttemptState, now: float) -> list[EntryCommand]:
        return self._broke(record.id, Reason.LINK_LOST, Verdict.MAY_HAVE_RUN, None, now)

    def _load(self, agent: AgentId, load, now: float) -> list[EntryCommand]:
        target = self._board.targets.get(agent.target)
        if target is not None:
            target.load = load
            target.load_at = now
        return []

    def _tick(self, now: float) -> list[EntryCommand]:
        commands: list[EntryCommand] = []
        for item in self._board.timers.pop(now):
            commands += self._due(item, now)
        commands += self._groups.handle(Tick(), now)
        commands += self._claims.handle(Tick(), now)
        return commands

    def _due(self, item: t.Any, now: float) -> list[EntryCommand]:
        match item:
            case _DeadlineDue(request):
                state = self._board.requests.get(request)
                return [] if state is None else self._expire(state, now)
            case _PlaceDue(request, since):
                state = self._board.requests.get(request)
                return [] if state is None else self._place(state, since, now)
            case _ReattachDue(attempt):
                record = self._board.attempts.get(attempt)
                if record is None or self._reattached(record):
                    return []
                return self._lost(record, now)
        return []

    def _expire(self, state: RequestState, now: float) -> list[EntryCommand]:
        """End a request at its deadline."""
        unclaimed = self._claims.expire(state.request.id, now)
        if unclaimed:
            return unclaimed
        if state.attempts and is_live(state.attempts[-1]):
            reason = Reason.DEADLINE_EXCEEDED
            self._note_failure(state, state.attempts[-1], reason, now)
        return self._fail(state, Reason.DEADLINE_EXCEEDED, None, None, now)

    def _reattached(self, record: AttemptState) -> bool:
        target = self._board.targets.get(record.agent.target)
        return target is not None and target.agent == record.agent

    def _settle(self, commands: list[EntryCommand], now: float) -> list[EntryCommand]:
        """Carry out the commands that are meant for this class itself."""
        out: list[EntryCommand] = []
        for command in commands:
            match command:
                case SendClaimedAttempt(request):
                    out += self._claimed(request, now)
                case AbandonGroup(request, reason, verdict):
                    out += self._group_failed(request, reason, verdict, now)
                case SendAttempt(attempt, agent) if attempt not in self._board.attempts:
                    state = self._board.requests[attempt.request]
                    self._record(state, attempt, agent).grouped = True
                    out.append(command)
                case FailRequest(request) | ReplayResult(request):
                    state = self._board.requests.get(request)
                    if state is not None:
                        self._forget(state)
                    out.append(command)
                case _:
                    out.append(command)
        return out

    def _claimed(self, request: str, now: float) -> list[EntryCommand]:
        attempt, agent = self._planned.pop(request)
        state = self._board.requests.get(request)
        if state is None:
            return self._claims.abandon(request, Verdict.NOT_RUN, now)
        return self._send(state, attempt, agent)

    def _group_failed(
        self, request: str, reason: Reason, verdict: Verdict, now: float
    ) -> list[EntryCommand]:
        state = self._board.requests.get(request)
        if state is None:
            return []
        for record in state.attempts:
            if is_live(record):
                self._close(record, verdict)
        return self._settle(self._again(state, reason, verdict, None, now), now)

    def _release(self, record: AttemptState) -> None:
        target = self._board.targets.get(record.agent.target)
        if target is not None:
            target.outstanding.pop(record.id, None)
            target.prefill.pop(record.id, None)

    def _answering(self, record: AttemptState) -> None:
        target = self._board.targets.get(record.agent.target)
        if target is not None:
            target.prefill.pop(record.id, None)

    def _forget(self, state: RequestState) -> None:
        self._board.requests.pop(state.request.id, None)
        self._planned.pop(state.request.id, None)
        for record in state.attempts:
            self._release(record)
            self._board.attempts.pop(record.id, None)
