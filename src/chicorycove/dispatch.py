"""Dispatch of requests at an entry, from arrival to the end of the answer."""

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
from .retry import NoRetry, Retry, RetryPolicy
from .routing import Router
from .settings import EntrySettings
from .verdict import Verdict

PLACEMENT_INTERVAL = 0.05  # seconds between searches for a target
PLACEMENT_TIMEOUT = 2.0  # seconds without a target until a request fails
RETRY_AFTER = 1.0  # seconds, suggested to callers

# Failures that count against the target's health.
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
class _PlacementDue:
    request: str
    since: float  # when the search for a target began


@frozen
class _ReattachDue:
    attempt: AttemptId


class Dispatcher:
    """Decides what an entry does with its requests.

    Events go in and commands come out; times are in seconds.
    """

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
        # Attempts to send when their request's key is claimed, by request.
        self._awaiting_claim: dict[str, tuple[AttemptId, AgentId]] = {}
        # Attempts to cancel when their agent is attached again.
        self._deferred_cancellations: dict[AgentId, list[AttemptId]] = {}

    @property
    def busy(self) -> bool:
        """Return whether claims are still to be settled."""
        return self._claims.busy

    def handle(self, event: EntryEvent, now: float) -> list[EntryCommand]:
        """Handle an event and return the resulting commands."""
        match event:
            case RequestReceived(request):
                commands = self._receive_request(request, now)
            case CallerDisconnected(request):
                commands = self._handle_disconnect(request, now)
            case ResultCaptured(request, result):
                commands = self._claims.record_result(request, result, now)
            case AgentAttached(agent):
                commands = self._attach_agent(agent, now)
            case AgentDetached(agent):
                commands = self._detach_agent(agent, now)
            case AttemptAccepted(attempt) | AttemptStarted(attempt):
                commands = self._record_progress(attempt, event)
            case AnswerChunkReceived(attempt, offset, size):
                commands = self.handle_chunk(attempt, offset, size)
            case AnswerCompleted(attempt, size):
                commands = self._complete_request(attempt, size, now)
            case AttemptFailed(attempt, reason, verdict):
                commands = self._fail_attempt(attempt, reason, verdict, None, now)
            case AttemptRefused(attempt, reason, retry_after):
                commands = self._fail_attempt(
                    attempt, reason, Verdict.NOT_RUN, retry_after, now
                )
            case MemoryReserved() | SegmentPrefilled():
                commands = self._groups.handle(event, now)
            case SealAnswered() | StoreCallFinished():
                commands = self._claims.handle(event, now)
            case LoadReported(agent, load):
                commands = self._update_load(agent, load, now)
            case StopRequested():
                self._board.stopping = True
                commands = []
            case Tick():
                commands = self._handle_tick(now)
        return self._run_internal_commands(commands, now)

    def current_request(self, attempt: AttemptId) -> RequestState | None:
        """Return the request whose latest attempt is live and given."""
        state = self._board.requests.get(attempt.request)
        if state is None or not state.attempts or state.attempts[-1].id != attempt:
            return None
        return state if is_live(state.attempts[-1]) else None

    def handle_chunk(
        self, attempt: AttemptId, offset: int, size: int
    ) -> list[EntryCommand]:
        """Handle a chunk and return the resulting commands.

        ``offset`` and ``size`` are in bytes.
        """
        state = self.current_request(attempt)
        if state is None:
            return [CountDrop("chunk")]
        skip = state.relayed_bytes - offset
        if skip < 0:
            return [
                CountDrop("gap"),
                ResumeAnswer(attempt, state.attempts[-1].agent, state.relayed_bytes),
            ]
        if skip >= size:
            return []
        if not state.relayed_bytes:
            self._finish_prefill(state.attempts[-1])
        state.relayed_bytes += size - skip
        return [RelayChunk(attempt.request, skip)]

    def _receive_request(self, request: Request, now: float) -> list[EntryCommand]:
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
        name = self._router.choose(
            request, self._board, now, frozenset(state.tried_targets)
        )
        if name is None and state.tried_targets:
            state.tried_targets.clear()
            name = self._router.choose(request, self._board, now, frozenset())
        if name is None:
            return self._wait_for_target(state, since, now)
        agent = self._board.targets[name].agent
        attempt = self._make_attempt(request.id, len(state.attempts) + 1)
        if request.needs_claim:
            self._awaiting_claim[request.id] = (attempt, agent)
            return self._claims.claim(request, attempt, agent, now)
        return self._send(state, attempt, agent)

    def _wait_for_target(
        self, state: RequestState, since: float, now: float
    ) -> list[EntryCommand]:
        if now - since >= PLACEMENT_TIMEOUT:
            return self._fail_request(state, Reason.NO_TARGET, None, RETRY_AFTER, now)
        due = _PlacementDue(state.request.id, since)
        self._board.timers.add(now + PLACEMENT_INTERVAL, due)
        return []

    def _send(
        self,
        state: RequestState,
        attempt: AttemptId,
        agent: AgentId,
    ) -> list[EntryCommand]:
        self._add_attempt(state, attempt, agent)
        if len(state.attempts) == 1:
            self._retries.count_request(state.request.workspace, agent.target)
        if not state.request.streamed:
            state.relayed_bytes = 0
        return [SendAttempt(attempt, agent)]

    def _add_attempt(
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

    def _record_progress(
        self, attempt: AttemptId, event: AttemptAccepted | AttemptStarted
    ) -> list[EntryCommand]:
        if self.current_request(attempt) is None:
            return [CountDrop(event.drop_kind)]
        step = (
            AttemptStep.START
            if isinstance(event, AttemptStarted)
            else AttemptStep.ACCEPT
        )
        advance(self._board.attempts[attempt], step)
        return []

    def _complete_request(
        self, attempt: AttemptId, size: int, now: float
    ) -> list[EntryCommand]:
        state = self.current_request(attempt)
        if state is None:
            return [CountDrop("end")]
        record = state.attempts[-1]
        if size < state.relayed_bytes:  # a rerun gave another answer
            reason, verdict = Reason.STREAM_BROKEN, Verdict.MAY_HAVE_RUN
            return self._fail_attempt(attempt, reason, verdict, None, now)
        if size > state.relayed_bytes:
            return [
                CountDrop("gap"),
                ResumeAnswer(attempt, record.agent, state.relayed_bytes),
            ]
        advance(record, AttemptStep.END)
        self._health.note_success(record.agent.target)
        self._remove_request(state)
        commands: list[EntryCommand] = [FinishAnswer(attempt.request)]
        if self._groups.owns(attempt):
            commands += self._groups.handle(AnswerCompleted(attempt, size), now)
        return commands

    def _fail_attempt(
        self,
        attempt: AttemptId,
        reason: Reason,
        verdict: Verdict,
        retry_after: float | None,
        now: float,
    ) -> list[EntryCommand]:
        if self._groups.owns(attempt):
            return self._groups.handle(AttemptFailed(attempt, reason, verdict), now)
        state = self.current_request(attempt)
        if state is None:
            return [CountDrop("failure")]
        record = state.attempts[-1]
        self._close_attempt(record, verdict)
        self._record_failure(state, record, reason, now)
        state.tried_targets.add(record.agent.target)
        return self._retry_or_fail(state, reason, verdict, retry_after, now)

    def _retry_or_fail(
        self,
        state: RequestState,
        reason: Reason,
        verdict: Verdict,
        retry_after: float | None,
        now: float,
    ) -> list[EntryCommand]:
        match self._retries.decide(state, reason, verdict, now, retry_after):
            case Retry(at):
                due = _PlacementDue(state.request.id, at)
                self._board.timers.add(at, due)
                return [CountRetry(reason)]
            case NoRetry(final_reason, final_verdict):
                return self._fail_request(
                    state, final_reason, final_verdict, retry_after, now
                )

    def _fail_request(
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
                commands += self._cancel_attempt(record)
        commands += self._groups.abandon(request.id, now)
        execution = self._execution_verdict(state)
        if verdict is None or execution is not Verdict.NOT_RUN:
            verdict = execution
        if request.needs_claim:
            commands += self._claims.abandon(request.id, verdict, now)
        self._remove_request(state)
        commands.append(FailRequest(request.id, reason, verdict, retry_after))
        return commands

    def _execution_verdict(self, state: RequestState) -> Verdict:
        """Return the verdict on all attempts of a request."""
        all_refused = all(record.state == REFUSED for record in state.attempts)
        if all_refused and not state.may_have_run:
            return Verdict.NOT_RUN
        return Verdict.MAY_HAVE_RUN

    def _close_attempt(self, record: AttemptState, verdict: Verdict) -> None:
        advance(
            record,
            AttemptStep.REFUSE if verdict is Verdict.NOT_RUN else AttemptStep.FAIL,
        )
        self._release_target(record)
        if verdict is not Verdict.NOT_RUN:
            self._defer_cancellation(record)

    def _cancel_attempt(self, record: AttemptState) -> list[EntryCommand]:
        """Cancel an attempt now, or when its agent is attached again."""
        self._defer_cancellation(record)
        return [CancelAttempt(record.id, record.agent)]

    def _defer_cancellation(self, record: AttemptState) -> None:
        if not self._is_attached(record):
            self._deferred_cancellations.setdefault(record.agent, []).append(record.id)

    def _record_failure(
        self, state: RequestState, record: AttemptState, reason: Reason, now: float
    ) -> None:
        if reason in TARGET_FAULTS:
            pool = self._router.target_names(state.request, self._board, now)
            self._health.note_failure(record.agent.target, pool, now)

    def _handle_disconnect(self, request: str, now: float) -> list[EntryCommand]:
        state = self._board.requests.get(request)
        if state is None:
            return []
        if state.request.needs_claim and state.attempts:
            return []  # the result is kept for the caller's next try
        return self._fail_request(state, Reason.CALLER_GONE, None, None, now)

    def _attach_agent(self, agent: AgentId, now: float) -> list[EntryCommand]:
        target = self._board.targets.get(agent.target)
        if target is not None:
            target.agent = agent
        commands: list[EntryCommand] = [
            CancelAttempt(attempt, agent)
            for attempt in self._deferred_cancellations.pop(agent, ())
        ]
        for stale in [
            other
            for other in self._deferred_cancellations
            if other.target == agent.target
        ]:
            del self._deferred_cancellations[stale]
        for record in self._live_attempts(agent.target):
            if record.agent == agent:
                relayed = self._board.requests[record.id.request].relayed_bytes
                commands.append(ResumeAnswer(record.id, agent, relayed))
            else:
                commands += self._fail_lost_attempt(record, now)
        return commands

    def _detach_agent(self, agent: AgentId, now: float) -> list[EntryCommand]:
        target = self._board.targets.get(agent.target)
        if target is not None and target.agent == agent:
            target.agent = None
        due = now + self._settings.reattach_timeout
        for record in self._live_attempts(agent.target):
            self._board.timers.add(due, _ReattachDue(record.id))
        return self._groups.handle(AgentDetached(agent), now)

    def _live_attempts(self, target: str) -> list[AttemptState]:
        return [
            record
            for record in self._board.attempts.values()
            if record.agent.target == target
            and is_live(record)
            and record.id.request in self._board.requests
        ]

    def _fail_lost_attempt(
        self, record: AttemptState, now: float
    ) -> list[EntryCommand]:
        return self._fail_attempt(
            record.id, Reason.LINK_LOST, Verdict.MAY_HAVE_RUN, None, now
        )

    def _update_load(self, agent: AgentId, load, now: float) -> list[EntryCommand]:
        target = self._board.targets.get(agent.target)
        if target is not None:
            target.load = load
            target.load_received_at = now
        return []

    def _handle_tick(self, now: float) -> list[EntryCommand]:
        commands: list[EntryCommand] = []
        for item in self._board.timers.pop(now):
            commands += self._handle_timer(item, now)
        commands += self._groups.handle(Tick(), now)
        commands += self._claims.handle(Tick(), now)
        return commands

    def _handle_timer(self, item: t.Any, now: float) -> list[EntryCommand]:
        match item:
            case _DeadlineDue(request):
                state = self._board.requests.get(request)
                return [] if state is None else self._expire_request(state, now)
            case _PlacementDue(request, since):
                state = self._board.requests.get(request)
                if state is None:
                    return []
                if state.request.deadline <= now:  # its own timer is due as well
                    return self._expire_request(state, now)
                return self._place(state, since, now)
            case _ReattachDue(attempt):
                record = self._board.attempts.get(attempt)
                if record is None or self._is_attached(record):
                    return []
                return self._fail_lost_attempt(record, now)
        return []

    def _expire_request(self, state: RequestState, now: float) -> list[EntryCommand]:
        """End a request at its deadline."""
        commands = self._claims.expire(state.request.id, now)
        if commands:
            return commands
        if state.attempts and is_live(state.attempts[-1]):
            reason = Reason.DEADLINE_EXCEEDED
            self._record_failure(state, state.attempts[-1], reason, now)
        return self._fail_request(state, Reason.DEADLINE_EXCEEDED, None, None, now)

    def _is_attached(self, record: AttemptState) -> bool:
        target = self._board.targets.get(record.agent.target)
        return target is not None and target.agent == record.agent

    def _run_internal_commands(
        self, commands: list[EntryCommand], now: float
    ) -> list[EntryCommand]:
        """Replace the commands that are meant for the dispatcher itself."""
        external: list[EntryCommand] = []
        for command in commands:
            match command:
                case SendClaimedAttempt(request):
                    external += self._send_claimed(request, now)
                case AbandonGroup(request, reason, verdict):
                    external += self._retry_group(request, reason, verdict, now)
                case SendAttempt(attempt, agent) if attempt not in self._board.attempts:
                    state = self._board.requests[attempt.request]
                    self._add_attempt(state, attempt, agent).grouped = True
                    external.append(command)
                case FailRequest(request) | ReplayResult(request):
                    state = self._board.requests.get(request)
                    if state is not None:
                        self._remove_request(state)
                    external.append(command)
                case _:
                    external.append(command)
        return external

    def _send_claimed(self, request: str, now: float) -> list[EntryCommand]:
        attempt, agent = self._awaiting_claim.pop(request)
        state = self._board.requests.get(request)
        if state is None:
            return self._claims.abandon(request, Verdict.NOT_RUN, now)
        return self._send(state, attempt, agent)

    def _retry_group(
        self, request: str, reason: Reason, verdict: Verdict, now: float
    ) -> list[EntryCommand]:
        state = self._board.requests.get(request)
        if state is None:
            return []
        for record in state.attempts:
            if is_live(record):
                self._close_attempt(record, verdict)
        return self._run_internal_commands(
            self._retry_or_fail(state, reason, verdict, None, now), now
        )

    def _release_target(self, record: AttemptState) -> None:
        target = self._board.targets.get(record.agent.target)
        if target is not None:
            target.outstanding.pop(record.id, None)
            target.prefill.pop(record.id, None)

    def _finish_prefill(self, record: AttemptState) -> None:
        target = self._board.targets.get(record.agent.target)
        if target is not None:
            target.prefill.pop(record.id, None)

    def _remove_request(self, state: RequestState) -> None:
        self._board.requests.pop(state.request.id, None)
        self._awaiting_claim.pop(state.request.id, None)
        for record in state.attempts:
            self._release_target(record)
            self._board.attempts.pop(record.id, None)
