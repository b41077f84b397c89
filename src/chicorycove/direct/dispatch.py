"""The life of a request at a direct entry, from arrival to its last answer."""

import dataclasses
import typing as t

from ..attempt import AttemptState, AttemptStep, advance, is_live
from ..identity import AgentId, AttemptId
from ..lifecycle import (
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
from ..reason import Reason
from ..verdict import Verdict
from .board import DirectBoard, DirectRequest, InboundRequest
from .command import (
    CancelAttempt,
    DeliverAnswer,
    DirectCommand,
    LogChange,
    RelayStream,
    ResyncStore,
    SendAttempt,
    UpdatePeers,
)
from .completion import RequestCompletion
from .event import (
    AnswerHeadReceived,
    AnswerReceived,
    AttemptSent,
    CallerBackpressureChanged,
    DeploymentReceived,
    DirectEvent,
    EventsRelayed,
    PeersUpdated,
    PeerUpdateReceived,
    RequestReceived,
    StoreLost,
    StoreRegained,
    StoreRevisionSeen,
    TargetAnswer,
    TargetListed,
    TargetProbed,
    TargetUnlisted,
)
from .partition import FleetPartition
from .placement import Placement
from .progress import ProgressCheckDue, ProgressMonitor, ProgressStatus
from .reservation import LeaseRenewalDue, Reservations, ReservationTimeoutDue
from .retry import DirectRetryPolicy
from .selection import TargetSelector
from .settings import DirectSettings
from .shutdown import ShutdownPolicy
from .store_lag import StoreLagDetector
from .target_health import TargetHealth
from .target_list import TargetList
from .work import WorkTracker

AttemptFactory = t.Callable[[str, int], AttemptId]

frozen = dataclasses.dataclass(frozen=True, slots=True)


@frozen
class _DeadlineDue:
    request: str


class DirectDispatcher:
    """Decides what a direct entry does; times are in seconds."""

    def __init__(
        self,
        board: DirectBoard,
        settings: DirectSettings,
        domain: str,
        name: str,
        make_attempt: AttemptFactory,
    ) -> None:
        self._board = board
        self._settings = settings
        self._make_attempt = make_attempt
        self._retry_policy = DirectRetryPolicy(board, settings)
        self._target_health = TargetHealth(board, settings)
        self._targets = TargetList(board, settings)
        self._reservations = Reservations(board, settings.reservation)
        self._work = WorkTracker(board, settings, name)
        self._completion = RequestCompletion(board, self._reservations, self._work)
        self._progress = ProgressMonitor(board, settings.timeouts, self._work)
        self._store_lag = StoreLagDetector(settings.store_lag_tolerance)
        self._shutdown = ShutdownPolicy(board, settings)
        self._partition = FleetPartition(board, settings.max_targets, name)
        self._selector = TargetSelector(board, settings, self._partition, domain)

    def handle(self, event: DirectEvent, now: float) -> list[DirectCommand]:
        """Return what is to be done about an event."""
        match event:
            case EventsRelayed(attempt, events, last):
                return self._wrote(attempt, events, last, now)
            case RequestReceived(inbound):
                return self._received(inbound, now)
            case AttemptSent(attempt):
                return self._sent(attempt, now)
            case AnswerHeadReceived(attempt, answer):
                return self._headed(attempt, answer, now)
            case AnswerReceived(attempt, answer):
                return self._whole(attempt, answer, now)
            case AnswerCompleted(attempt):
                return self._ended(attempt, now)
            case AttemptFailed(attempt, reason, verdict):
                return self._failed(attempt, reason, verdict, now)
            case MemoryReserved(reservation):
                return self._reserved(reservation, now)
            case AttemptRefused(reservation):
                return self._not_reserved(reservation, now)
            case CallerDisconnected(request):
                return self._caller_gone(request)
            case CallerBackpressureChanged(request, blocked):
                return self._backpressure_changed(request, blocked, now)
            case TargetProbed(target, alive):
                return self._probed(target, alive, now)
            case DeploymentReceived(table):
                self._board.table = table
                return []
            case TargetListed() | TargetUnlisted() | StoreLost() | StoreRegained():
                if isinstance(event, TargetUnlisted):
                    self._target_health.forget(event.target)
                return self._targets.handle(event, now)
            case StoreRevisionSeen(revision):
                self._store_lag.record_own_revision(revision)
                return []
            case PeersUpdated(names):
                self._board.entry_names = names
                self._board.peer_names = self._partition.peer_names()
                return self._work.handle(event, now)
            case PeerUpdateReceived(owner, store_revision=revision):
                commands = self._work.handle(event, now)
                return commands + self._compare(owner, revision, now)
            case StopRequested():
                self._board.stopping_at = now
                return []
            case Tick():
                return self._tick(now)

    def _current(self, attempt: AttemptId) -> DirectRequest | None:
        """Return the request that an attempt may still answer, if any."""
        state = self._board.requests.get(attempt.request)
        if state is None or not state.attempts or state.attempts[-1].id != attempt:
            return None
        return state

    def _compare(self, peer: str, revision: int, now: float) -> list[DirectCommand]:
        """Read the store anew if a peer has seen more of it for long."""
        if not self._store_lag.record_peer_revision(revision, now):
            return []
        seen = f"revision {self._store_lag.revision}, its {revision}"
        return [LogChange("behind a peer", peer, seen), ResyncStore()]

    # Arrival and placing

    def _received(self, inbound: InboundRequest, now: float) -> list[DirectCommand]:
        request = inbound.request
        self._retry_policy.count_request(inbound.service, now)
        if not self._shutdown.accepts(inbound, now):
            return [FailRequest(request.id, Reason.STOPPING, Verdict.NOT_RUN, 0.0)]
        state = DirectRequest(inbound, last_event_id=inbound.resumed_after)
        self._board.requests[request.id] = state
        self._board.timers.add(request.deadline, _DeadlineDue(request.id))
        return self._place(state, now)

    def _place(self, state: DirectRequest, now: float) -> list[DirectCommand]:
        request = state.inbound.request
        if self._retry_policy.is_too_late(state, now):
            return self._completion.fail(state, Reason.DEADLINE_PAST, None)
        placement = self._selector.choose(state, now)
        if placement is None:
            after = self._settings.retry_after_no_target
            return self._completion.fail(state, Reason.NO_TARGET, after)
        if now + placement.time_to_first_event > request.deadline:
            after = placement.time_to_first_event - (request.deadline - now)
            return self._completion.fail(state, Reason.DEADLINE_INFEASIBLE, after)
        return self._begin(state, placement, now)

    def _begin(
        self, state: DirectRequest, placement: Placement, now: float
    ) -> list[DirectCommand]:
        """Send a request, or reserve what its group is to hold first."""
        request = state.inbound.request
        view = self._board.targets[placement.target]
        target = AgentId(placement.target, str(view.listing.started_at))
        attempt = self._make_attempt(request.id, len(state.attempts) + 1)
        state.attempts.append(AttemptState(attempt, target))
        told = UpdatePeers(self._work.add(state, placement, now))
        if any(member.held_tokens for member in placement.members):
            return [told, *self._reservations.start(attempt, placement, now)]
        return [self._send(state, placement, now), told]

    def _send(
        self, state: DirectRequest, placement: Placement, now: float
    ) -> SendAttempt:
        request = state.inbound.request
        record = state.attempts[-1]
        view = self._board.targets[placement.target]
        state.last_progress_at = now
        self._progress.start(state, now)
        return SendAttempt(
            record.id,
            record.agent,
            view.listing.address,
            request.deadline,
            placement,
            self._reservations.members(request.id, placement),
            state.last_event_id,
        )

    def _reserved(self, reservation: AttemptId, now: float) -> list[DirectCommand]:
        placement = self._reservations.confirm(reservation, now)
        state = self._board.requests.get(reservation.request)
        if placement is None or state is None:
            return []
        if placement.target not in self._board.targets:
            return self._group_refused(state, placement.target, now)
        return [self._send(state, placement, now)]

    def _not_reserved(self, reservation: AttemptId, now: float) -> list[DirectCommand]:
        state = self._board.requests.get(reservation.request)
        if state is None or not self._reservations.is_pending(reservation):
            return []  # a renewal that is refused shows in the answer itself
        target = self._reservations.target_of(reservation)
        return self._group_refused(state, target, now)

    def _group_refused(
        self, state: DirectRequest, target: str, now: float
    ) -> list[DirectCommand]:
        """Try another group after one whose memory could not be held."""
        state.tried_targets.add(target)
        advance(state.attempts[-1], AttemptStep.REFUSE)
        commands = self._completion.release_work(state)
        if len(state.attempts) >= self._settings.reservation.max_groups:
            after = self._settings.retry_after_no_target
            return commands + self._completion.fail(state, Reason.MEMORY_FULL, after)
        return commands + self._place(state, now)

    # Answers

    def _sent(self, attempt: AttemptId, now: float) -> list[DirectCommand]:
        state = self._current(attempt)
        if state is not None:
            advance(state.attempts[-1], AttemptStep.START)
            state.sends += 1
            state.runs += 1
        return []

    def _headed(
        self, attempt: AttemptId, answer: TargetAnswer, now: float
    ) -> list[DirectCommand]:
        state = self._current(attempt)
        if state is None:
            return [CancelAttempt(attempt)]
        if answer.not_run or answer.wrong_instance:
            return self._refused(state, answer, now)
        if not state.inbound.route.streamed or not answer.succeeded:
            return []  # judged when it is whole
        state.answer_started = True
        return [RelayStream(attempt.request, attempt)]

    def _refused(
        self, state: DirectRequest, answer: TargetAnswer, now: float
    ) -> list[DirectCommand]:
        """Go on after a target has said that it did not run an attempt."""
        record = state.attempts[-1]
        target = record.agent.target
        advance(record, AttemptStep.REFUSE)
        state.runs -= 1
        state.refusals += 1
        if answer.wrong_instance:
            commands = self._targets.replaced(target)
        else:
            commands = []
        if answer.faulty_address is not None:
            self._target_health.suspect_address(answer.faulty_address, now)
        state.tried_targets.add(target)
        commands.append(CancelAttempt(record.id))
        return commands + self._again(state, Reason.QUEUE_FULL, Verdict.NOT_RUN, now)

    def _whole(
        self, attempt: AttemptId, answer: TargetAnswer, now: float
    ) -> list[DirectCommand]:
        state = self._current(attempt)
        if state is None:
            return [CancelAttempt(attempt)]
        if answer.not_run or answer.wrong_instance:
            return self._refused(state, answer, now)
        record = state.attempts[-1]
        if answer.status >= 500:
            self._note_failure(state, now)
            if self._retry_policy.may_retry(state, now):
                advance(record, AttemptStep.FAIL)
                state.tried_targets.add(record.agent.target)
                return self._again(
                    state, Reason.TARGET_FAILED, Verdict.MAY_HAVE_RUN, now
                )
        else:
            self._target_health.note_success(record.agent.target)
        advance(record, AttemptStep.END)
        if state.answer_started:
            return self._completion.abort(state, Reason.TARGET_FAILED)
        return [
            DeliverAnswer(attempt.request, attempt),
            *self._completion.remove(state),
        ]

    def _ended(self, attempt: AttemptId, now: float) -> list[DirectCommand]:
        state = self._current(attempt)
        if state is None:
            return []
        record = state.attempts[-1]
        advance(record, AttemptStep.END)
        self._target_health.note_success(record.agent.target)
        return [FinishAnswer(attempt.request), *self._completion.remove(state)]

    def _wrote(
        self, attempt: AttemptId, events: int, last: int | None, now: float
    ) -> list[DirectCommand]:
        state = self._current(attempt)
        if state is None:
            return []
        state.last_progress_at = now
        if last is not None:
            state.last_event_id = last
        work_items = self._work.record_events(state, events, now)
        return [UpdatePeers(work_items)] if work_items else []

    # Failures

    def _failed(
        self, attempt: AttemptId, reason: Reason, verdict: Verdict, now: float
    ) -> list[DirectCommand]:
        state = self._current(attempt)
        if state is None:
            return []
        record = state.attempts[-1]
        target = record.agent.target
        state.tried_targets.add(target)
        commands: list[DirectCommand] = []
        if verdict is Verdict.NOT_RUN:
            advance(record, AttemptStep.REFUSE)
            commands += self._target_health.suspect(target, now)
        else:
            advance(record, AttemptStep.FAIL)
            self._note_failure(state, now)
            commands += self._target_health.probe(target)
        return commands + self._again(state, reason, verdict, now)

    def _again(
        self, state: DirectRequest, reason: Reason, verdict: Verdict, now: float
    ) -> list[DirectCommand]:
        commands = self._completion.release_work(state)
        if verdict is not Verdict.NOT_RUN and not self._retry_policy.may_retry(
            state, now
        ):
            return commands + self._completion.fail(state, reason, None)
        if not self._retry_policy.consume(state, now):
            after = self._settings.retry_after_budget
            return commands + self._completion.fail(state, Reason.RETRY_BUDGET, after)
        return commands + self._place(state, now)

    def _caller_gone(self, request: str) -> list[DirectCommand]:
        state = self._board.requests.get(request)
        if state is None:
            return []
        return self._completion.cancel(state)

    def _backpressure_changed(
        self, request: str, blocked: bool, now: float
    ) -> list[DirectCommand]:
        """Excuse a target from silence while its caller takes nothing."""
        state = self._board.requests.get(request)
        if state is not None:
            state.caller_blocked = blocked
            state.last_progress_at = now
        return []

    # Health

    def _note_failure(self, state: DirectRequest, now: float) -> None:
        target = state.attempts[-1].agent.target
        self._target_health.note_failure(target, state.inbound.service, now)

    def _probed(self, target: str, alive: bool, now: float) -> list[DirectCommand]:
        """Give up what runs on a target that cannot be reached."""
        if alive:
            return []
        commands = self._target_health.suspect(target, now)
        for state in list(self._board.requests.values()):
            record = state.attempts[-1] if state.attempts else None
            if record is None or not is_live(record):
                continue
            if record.agent.target == target and state.inbound.route.repeatable:
                commands.append(CancelAttempt(record.id))
                commands += self._lost(state, now)
        return commands

    def _lost(self, state: DirectRequest, now: float) -> list[DirectCommand]:
        """Go on after a target with a live attempt has died."""
        record = state.attempts[-1]
        advance(record, AttemptStep.FAIL)
        state.tried_targets.add(record.agent.target)
        state.runs -= 1  # a target that is gone runs nothing
        return self._again(state, Reason.LINK_LOST, Verdict.MAY_HAVE_RUN, now)

    # Time

    def _tick(self, now: float) -> list[DirectCommand]:
        commands: list[DirectCommand] = []
        for item in self._board.timers.pop(now):
            match item:
                case _DeadlineDue(request):
                    commands += self._deadline_due(request)
                case ProgressCheckDue(attempt):
                    commands += self._check_progress(attempt, now)
                case ReservationTimeoutDue(_, reservation):
                    commands += self._not_reserved(reservation, now)
                case LeaseRenewalDue():
                    commands += self._reservations.renew(item, now)
                case _:
                    commands += self._targets.due(item, now)
        return commands

    def _deadline_due(self, request: str) -> list[DirectCommand]:
        state = self._board.requests.get(request)
        if state is None:
            return []
        return self._completion.fail(state, Reason.DEADLINE_EXCEEDED, None)

    def _check_progress(self, attempt: AttemptId, now: float) -> list[DirectCommand]:
        """See to an attempt whose next sign is overdue, if it is."""
        state = self._current(attempt)
        if state is None or not is_live(state.attempts[-1]):
            return []
        match self._progress.check(state, now):
            case ProgressStatus.EXPECTED:
                return []
            case ProgressStatus.OVERDUE:
                return self._target_health.probe(state.attempts[-1].agent.target)
            case ProgressStatus.TIMED_OUT:
                return self._overdue(state, now)

    def _overdue(self, state: DirectRequest, now: float) -> list[DirectCommand]:
        """Repeat what has been silent for too long, if it may be."""
        if self._retry_policy.may_retry(state, now):
            return self._give_up_on(state, now)
        if not state.inbound.route.streamed:
            return []
        self._progress.check_later(state, now)
        return self._target_health.probe(state.attempts[-1].agent.target)

    def _give_up_on(self, state: DirectRequest, now: float) -> list[DirectCommand]:
        record = state.attempts[-1]
        advance(record, AttemptStep.FAIL)
        self._note_failure(state, now)
        state.tried_targets.add(record.agent.target)
        again = self._again(state, Reason.TARGET_FAILED, Verdict.MAY_HAVE_RUN, now)
        return [CancelAttempt(record.id), *again]
