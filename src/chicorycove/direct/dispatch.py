"""Handles a direct entry's requests, from arrival to the last answer."""

import dataclasses
import typing as t

from ..attempt import AttemptState, AttemptStep, advance, is_live
from ..identity import AttemptId
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
from .board import DirectBoard, DirectRequest, InboundRequest, WorkItem
from .cold_targets import ColdEndDue
from .collision import MIN_FREE_SLOTS, CollisionDetector
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
from .evacuation import Evacuation, EvacuationStatus
from .event import (
    AnswerHeadReceived,
    AnswerReceived,
    AttemptConnected,
    BufferBoundExceeded,
    CallerBackpressureChanged,
    DeploymentReceived,
    DirectEvent,
    DomainEvacuated,
    DomainReadmitted,
    EventsRelayed,
    PeersUpdated,
    PeerUpdateReceived,
    RequestReceived,
    StopTimeExpired,
    StoreLost,
    StoreRegained,
    StoreRevisionSeen,
    StreamClosed,
    TargetAnswer,
    TargetAnswered,
    TargetListed,
    TargetProbed,
    TargetUnlisted,
)
from .explanation import Explanation, Refusal, SelectionTrace
from .partition import FleetPartition
from .placement import Placement
from .progress import ProgressCheckDue, ProgressMonitor, ProgressStatus
from .quarantine import CrashReviewDue, RequestQuarantine
from .reservation import LeaseRenewalDue, Reservations, ReservationTimeoutDue
from .retry import DirectRetryPolicy
from .selection import TargetSelector
from .settings import DirectSettings
from .shutdown import ShutdownPolicy
from .store_lag import StoreLagDetector
from .target_health import FailureKind, TargetHealth
from .target_limits import TargetLimits
from .target_list import ListEvent, TargetList
from .target_pace import PaceCheckDue, TargetPace
from .work import WorkTracker

AttemptFactory = t.Callable[[str, int], AttemptId]

frozen = dataclasses.dataclass(frozen=True, slots=True)


@frozen
class _DeadlineDue:
    request_id: str


@frozen
class _WorkRepeatDue:
    attempt: AttemptId


class DirectDispatcher:
    """Decides what a direct entry does; times are in seconds."""

    def __init__(
        self,
        board: DirectBoard,
        settings: DirectSettings,
        failure_domain: str,
        entry_name: str,
        make_attempt: AttemptFactory,
    ) -> None:
        self._board = board
        self._settings = settings
        self._make_attempt = make_attempt
        self._retry_policy = DirectRetryPolicy(board, settings)
        self._targets = TargetList(board, settings)
        self._evacuation = Evacuation(board, settings.evacuation)
        self._target_limits = TargetLimits(board, settings.target_limits, entry_name)
        self._reservations = Reservations(
            board, settings.reservation, self._target_limits
        )
        self._quarantine = RequestQuarantine(board, settings.quarantine, entry_name)
        self._work = WorkTracker(board, settings, entry_name, self._target_limits)
        self._completion = RequestCompletion(board, self._reservations, self._work)
        self._pace = TargetPace(board, settings.target_pace)
        self._progress = ProgressMonitor(board, settings.timeouts, self._work)
        self._store_lag = StoreLagDetector(settings.store_lag_tolerance)
        self._shutdown = ShutdownPolicy(board, settings)
        self._collisions = CollisionDetector(board)
        self._partition = FleetPartition(board, settings.max_targets, entry_name)
        self._target_health = TargetHealth(board, settings, self._partition)
        self._selector = TargetSelector(
            board,
            settings,
            self._partition,
            self._target_limits,
            failure_domain,
            entry_name,
        )

    def handle(self, event: DirectEvent, now: float) -> list[DirectCommand]:
        """Return the commands that an event leads to."""
        self._target_limits.observe(now)
        return self._target_limits.withhold_calls(self._handle(event, now), now)

    def _handle(self, event: DirectEvent, now: float) -> list[DirectCommand]:
        match event:
            case EventsRelayed(attempt_id, event_count, last_event_id):
                return self._record_events(attempt_id, event_count, last_event_id, now)
            case RequestReceived(inbound):
                return self._receive_request(inbound, now)
            case AttemptConnected(attempt_id):
                return self._begin_sending(attempt_id, now)
            case AnswerHeadReceived(attempt_id, answer):
                return self._handle_answer_head(attempt_id, answer, now)
            case AnswerReceived(attempt_id, answer):
                return self._handle_answer(attempt_id, answer, now)
            case TargetAnswered(agent, answer, to_order):
                return [
                    *self._target_limits.record_answer(agent, answer, now, to_order),
                    *self._reservations.renew_for_backoff(agent, now),
                ]
            case AnswerCompleted(attempt_id):
                return self._complete_request(attempt_id, now)
            case StreamClosed(attempt_id):
                return self._close_stream(attempt_id, now)
            case AttemptFailed(attempt_id, reason, verdict):
                return self._fail_attempt(attempt_id, reason, verdict, now)
            case MemoryReserved(reservation_id):
                return self._confirm_reservation(reservation_id, now)
            case AttemptRefused(reservation_id):
                return self._handle_reservation_failure(reservation_id, now)
            case CallerDisconnected(request_id):
                return self._handle_disconnect(request_id)
            case CallerBackpressureChanged(request_id, blocked):
                return self._set_backpressure(request_id, blocked, now)
            case BufferBoundExceeded(request_id, answerable):
                return self._end_fullest(request_id, answerable)
            case TargetProbed(target, reachable):
                return self._handle_probe_result(target, reachable, now)
            case DeploymentReceived(table):
                self._board.table = table
                return self._target_limits.record_deployment(now)
            case TargetListed() | TargetUnlisted() | StoreLost() | StoreRegained():
                if isinstance(event, TargetUnlisted):
                    self._target_health.remove(event.target)
                commands = self._record_list_event(event, now)
                return commands + self._targets.handle(event, now)
            case DomainEvacuated():
                return self._evacuation.handle(event, now)
            case DomainReadmitted(domain):
                return [
                    *self._evacuation.handle(event, now),
                    *self._target_limits.readmit_domain(domain, now),
                ]
            case StoreRevisionSeen(revision):
                self._board.store_listed = True
                self._store_lag.record_own_revision(revision)
                return []
            case PeersUpdated(entry_names, complete=complete):
                self._board.entry_names = entry_names
                self._board.entry_names_complete = complete
                self._board.peer_names = self._partition.peer_names()
                return self._work.handle(event, now)
            case PeerUpdateReceived(owner, work_items, store_revision=revision):
                commands = self._target_limits.record_reports(event.rate_limits, now)
                commands += self._target_limits.record_notices(event.notices, now)
                commands += self._target_limits.record_cold_reports(
                    event.cold_targets, now
                )
                commands += self._record_crash_reports(event, now)
                commands += self._target_health.record_reports(event, now)
                commands += self._work.handle(event, now)
                commands += self._move_collided(work_items, now)
                return commands + self._check_store_lag(owner, revision, now)
            case StopRequested():
                self._board.stopping_at = now
                return []
            case StopTimeExpired():
                return self._fail_unfinished()
            case Tick():
                return self._handle_tick(now)

    def evacuations(self) -> t.Iterator[EvacuationStatus]:
        """Yield the evacuated failure domains, and what still runs there."""
        return self._evacuation.statuses()

    def _fail_unfinished(self) -> list[DirectCommand]:
        commands: list[DirectCommand] = []
        for request in list(self._board.requests.values()):
            retry_after = None if request.may_have_run else 0.0
            commands += self._completion.fail(request, Reason.STOPPING, retry_after)
        return commands

    def explain(
        self, inbound: InboundRequest, now: float, store_heard_at: float | None = None
    ) -> Explanation:
        """Return what a request would lead to if it were received now.

        Nothing changes by it: decisions after it are the same as without.
        """
        request = DirectRequest(inbound, last_event_id=inbound.resumed_after)
        trace = SelectionTrace()
        if self._shutdown.accepts(inbound, now):
            decision = self._decide(request, now, trace)
        else:
            decision = Refusal(reason=Reason.STOPPING, retry_after=0.0)
        peer_count = max(len(self._board.peer_names), 1)
        return Explanation(
            route=inbound.route.name,
            service=inbound.service,
            workspace=inbound.request.workspace,
            refusal=decision if isinstance(decision, Refusal) else None,
            placement=decision if isinstance(decision, Placement) else None,
            groups=tuple(trace.placement.groups),
            targets=tuple(self._selector.explain_targets(request, trace, now)),
            store_revision=self._store_lag.revision,
            store_heard_ago=None if store_heard_at is None else now - store_heard_at,
            evacuated_domains=tuple(sorted(self._board.evacuated_since)),
            entry_count=peer_count,
            heard_entry_count=round(peer_count * self._board.responsive_share),
        )

    def report_to_peers(self, now: float) -> list[DirectCommand]:
        """Return the periodic report of what peers may not have received.

        A report without work serves as a heartbeat.
        """
        work_items = tuple(
            item
            for request in self._board.requests.values()
            for item in request.work_items
            if item.generates_answer or not item.decoding
        )
        commands: list[DirectCommand] = [
            UpdatePeers(work_items, self._work.take_ended())
        ]
        commands += self._target_limits.reports(now)
        commands += self._target_health.reports(now)
        return commands + self._quarantine.reports(now)

    def _record_list_event(self, event: ListEvent, now: float) -> list[DirectCommand]:
        """Record what limits requests to targets before the list changes."""
        match event:
            case TargetListed(listing):
                self._target_health.record_listing(listing)
                return self._target_limits.record_listing(listing, now)
            case StoreLost() | StoreRegained():
                self._target_limits.record_store(isinstance(event, StoreLost))
        return []

    def _current_request(self, attempt_id: AttemptId) -> DirectRequest | None:
        """Return the request whose newest attempt this is, if any."""
        request = self._board.requests.get(attempt_id.request)
        if (
            request is None
            or not request.attempts
            or request.attempts[-1].id != attempt_id
        ):
            return None
        return request

    def _check_store_lag(
        self, peer: str, revision: int, now: float
    ) -> list[DirectCommand]:
        """Resync the store if a peer has been ahead for too long."""
        if not self._store_lag.record_peer_revision(revision, now):
            return []
        detail = f"revision {self._store_lag.revision}, its {revision}"
        return [LogChange("behind a peer", peer, detail), ResyncStore()]

    # Arrival and placement

    def _receive_request(
        self, inbound: InboundRequest, now: float
    ) -> list[DirectCommand]:
        caller_request = inbound.request
        self._retry_policy.count_request(inbound.service, now)
        if not self._shutdown.accepts(inbound, now):
            return [
                FailRequest(caller_request.id, Reason.STOPPING, Verdict.NOT_RUN, 0.0)
            ]
        request = DirectRequest(inbound, last_event_id=inbound.resumed_after)
        self._board.requests[caller_request.id] = request
        self._board.timers.add(caller_request.deadline, _DeadlineDue(caller_request.id))
        return self._place(request, now)

    def _place(self, request: DirectRequest, now: float) -> list[DirectCommand]:
        match self._decide(request, now):
            case Refusal(reason=reason, retry_after=retry_after):
                return self._completion.fail(request, reason, retry_after)
            case Placement() as placement:
                return self._start_attempt(request, placement, now)

    def _decide(
        self, request: DirectRequest, now: float, trace: SelectionTrace | None = None
    ) -> Placement | Refusal:
        """Return where a request goes now, or why it is refused.

        With a trace, for an explanation, no state changes.
        """
        record = trace is None
        if self._retry_policy.is_too_late(request, now):
            return Refusal(reason=Reason.DEADLINE_PAST)
        retry_after = self._quarantine.retry_after(request, now, record)
        if retry_after is not None:
            return Refusal(reason=Reason.REQUEST_QUARANTINED, retry_after=retry_after)
        placement = self._selector.choose(request, now, trace)
        if placement is None or placement.target in request.unreachable_targets:
            return self._refuse_unplaced(request, now, record)
        deadline = request.inbound.request.deadline
        if now + placement.time_to_first_event > deadline:
            retry_after = placement.time_to_first_event - (deadline - now)
            return Refusal(reason=Reason.DEADLINE_INFEASIBLE, retry_after=retry_after)
        return placement

    def _refuse_unplaced(
        self, request: DirectRequest, now: float, record: bool
    ) -> Refusal:
        """Return the refusal of a request that no target may get now."""
        inbound = request.inbound
        retry_after = self._evacuation.retry_after(request, now, record)
        if retry_after is not None:
            return Refusal(reason=Reason.SERVICE_EVACUATED, retry_after=retry_after)
        retry_after = self._target_limits.retry_after(
            inbound.service, now, inbound.allowed_regions, record
        )
        if retry_after is not None:
            return Refusal(reason=Reason.TARGET_LIMIT, retry_after=retry_after)
        retry_after = self._settings.retry_after_no_target
        return Refusal(reason=Reason.NO_TARGET, retry_after=retry_after)

    def _start_attempt(
        self, request: DirectRequest, placement: Placement, now: float
    ) -> list[DirectCommand]:
        """Send a request, or first reserve the memory of its group."""
        caller_request = request.inbound.request
        view = self._board.targets[placement.target]
        attempt_id = self._make_attempt(caller_request.id, len(request.attempts) + 1)
        request.attempts.append(AttemptState(attempt_id, view.listing.agent))
        request.attempt_domains = frozenset(
            self._board.targets[target].listing.failure_domain
            for target in placement.targets
        )
        request.expects_slot = placement.free_slots > 0
        request.newest_answer_began = False
        update = UpdatePeers(self._work.add(request, placement, now))
        repeat_at = now + self._settings.work_repeat_delay
        self._board.timers.add(repeat_at, _WorkRepeatDue(attempt_id))
        if any(member.held_tokens for member in placement.members):
            return [update, *self._reservations.start(attempt_id, placement, now)]
        return [self._send_attempt(request, placement, now), update]

    def _send_attempt(
        self, request: DirectRequest, placement: Placement, now: float
    ) -> SendAttempt:
        caller_request = request.inbound.request
        attempt = request.attempts[-1]
        view = self._board.targets[placement.target]
        request.last_progress_at = now
        self._progress.start(request, now)
        return SendAttempt(
            attempt.id,
            attempt.agent,
            view.listing.address,
            caller_request.deadline,
            placement,
            self._reservations.members(caller_request.id, placement),
            request.last_event_id,
        )

    def _confirm_reservation(
        self, reservation_id: AttemptId, now: float
    ) -> list[DirectCommand]:
        placement = self._reservations.confirm(reservation_id, now)
        request = self._board.requests.get(reservation_id.request)
        if placement is None or request is None:
            return []
        if self._evacuation.affects(request):
            return self._withdraw_attempt(request, "evacuation", now)
        for target in placement.targets:
            view = self._board.targets.get(target)
            if view is None or view.is_excluded(now):
                return self._try_other_group(request, target, now)
        return [self._send_attempt(request, placement, now)]

    def _handle_reservation_failure(
        self, reservation_id: AttemptId, now: float
    ) -> list[DirectCommand]:
        request = self._board.requests.get(reservation_id.request)
        if request is None or not self._reservations.is_pending(reservation_id):
            return []  # the answer itself shows a refused renewal
        target = self._reservations.target_of(reservation_id)
        return self._try_other_group(request, target, now)

    def _try_other_group(
        self, request: DirectRequest, target: str, now: float
    ) -> list[DirectCommand]:
        """Try another group after one whose memory was not reserved."""
        request.tried_targets.add(target)
        advance(request.attempts[-1], AttemptStep.REFUSE)
        commands = self._completion.release_work(request)
        if len(request.attempts) >= self._settings.reservation.max_groups:
            retry_after = self._settings.retry_after_no_target
            return commands + self._completion.fail(
                request, Reason.MEMORY_FULL, retry_after
            )
        return commands + self._place(request, now)

    def _move_collided(
        self, work_items: tuple[WorkItem, ...], now: float
    ) -> list[DirectCommand]:
        """Move requests whose slots peers have taken, if it is worth it."""
        targets = {item.target for item in work_items if not item.decoding}
        commands: list[DirectCommand] = []
        for request in self._collisions.find(targets) if targets else ():
            commands += self._move_request(request, now)
        return commands

    def _move_request(self, request: DirectRequest, now: float) -> list[DirectCommand]:
        """Send a request that waits to a target that answers it in time."""
        if not self._retry_policy.may_retry(request, now):
            return []
        attempt = request.attempts[-1]
        inbound = request.inbound
        request.tried_targets.add(attempt.agent.target)
        placement = self._selector.choose(request, now)
        objective_at = inbound.request.arrived + inbound.route.objective
        if (
            placement is None
            or placement.target in request.tried_targets
            or placement.free_slots < MIN_FREE_SLOTS
            or now + placement.time_to_first_event > objective_at
            or not self._retry_policy.consume(request, now)
        ):
            request.tried_targets.discard(attempt.agent.target)
            return []
        advance(attempt, AttemptStep.FAIL)
        return [
            CancelAttempt(attempt.id),
            LogChange("prompt moved", inbound.request.id, attempt.agent.target),
            *self._completion.release_work(request),
            *self._start_attempt(request, placement, now),
        ]

    # Answers

    def _begin_sending(self, attempt_id: AttemptId, now: float) -> list[DirectCommand]:
        """Count an attempt as sent, or withdraw it if it must not be sent.

        What applies to its targets may have changed while its connection
        opened.
        """
        request = self._current_request(attempt_id)
        if request is None:
            return []
        attempt = request.attempts[-1]
        if self._evacuation.affects(request):
            return self._withdraw_attempt(request, "evacuation", now)
        cause = self._target_limits.withdrawal_cause(attempt.agent, now)
        if cause is not None:
            request.tried_targets.add(attempt.agent.target)
            return self._withdraw_attempt(request, cause, now)
        if self._reservations.have_lapsed(attempt_id.request, now):
            return self._withdraw_attempt(request, "reserved memory lapsed", now)
        advance(attempt, AttemptStep.START)
        request.sent_count += 1
        request.run_count += 1
        self._pace.start_prefill(request, now)
        return []

    def _withdraw_attempt(
        self, request: DirectRequest, cause: str, now: float
    ) -> list[DirectCommand]:
        """Send a request elsewhere before its target has got it."""
        attempt = request.attempts[-1]
        advance(attempt, AttemptStep.REFUSE)
        return [
            CancelAttempt(attempt.id),
            LogChange("attempt withdrawn", attempt.agent.target, cause),
            *self._completion.release_work(request),
            *self._place(request, now),
        ]

    def _handle_answer_head(
        self, attempt_id: AttemptId, answer: TargetAnswer, now: float
    ) -> list[DirectCommand]:
        request = self._current_request(attempt_id)
        if request is None:
            return [CancelAttempt(attempt_id)]
        agent = request.attempts[-1].agent
        commands = self._target_limits.record_answer(agent, answer, now)
        if answer.not_run or answer.wrong_instance:
            commands += self._handle_refusal(request, answer, now)
        elif request.inbound.route.streamed and answer.succeeded:
            request.answer_started = True
            self._quarantine.begin_answer(request, now)
            commands.append(RelayStream(attempt_id.request, attempt_id))
        # An answer that is not streamed is handled once it is complete.
        return commands + self._reservations.renew_for_backoff(agent, now)

    def _handle_refusal(
        self, request: DirectRequest, answer: TargetAnswer, now: float
    ) -> list[DirectCommand]:
        """Retry after a target has reported that it did not run an attempt."""
        attempt = request.attempts[-1]
        target = attempt.agent.target
        advance(attempt, AttemptStep.REFUSE)
        request.run_count -= 1
        request.refused_count += 1
        if answer.wrong_instance:
            commands = self._targets.remove_replaced(target)
        else:
            commands = []
        if answer.faulty_address is not None:
            self._target_health.suspect_address(answer.faulty_address, now)
        request.tried_targets.add(target)
        commands.append(CancelAttempt(attempt.id))
        commands.append(LogChange("attempt refused", target, _describe_refusal(answer)))
        return commands + self._retry_or_fail(
            request, Reason.QUEUE_FULL, Verdict.NOT_RUN, now
        )

    def _handle_answer(
        self, attempt_id: AttemptId, answer: TargetAnswer, now: float
    ) -> list[DirectCommand]:
        request = self._current_request(attempt_id)
        if request is None:
            return [CancelAttempt(attempt_id)]
        if answer.not_run or answer.wrong_instance:
            return self._handle_refusal(request, answer, now)
        attempt = request.attempts[-1]
        if answer.status >= 500:
            commands = self._record_failure(request, FailureKind.ERROR, now)
            if self._retry_policy.may_retry(request, now):
                advance(attempt, AttemptStep.FAIL)
                request.tried_targets.add(attempt.agent.target)
                return commands + self._retry_or_fail(
                    request, Reason.TARGET_FAILED, Verdict.MAY_HAVE_RUN, now
                )
        else:
            commands = self._target_health.record_success(attempt.agent, now)
            if not request.inbound.route.streamed:
                commands += self._quarantine.record_answer(request, now)
        advance(attempt, AttemptStep.END)
        if request.answer_started:
            return commands + self._completion.abort(request, Reason.TARGET_FAILED)
        return [
            *commands,
            DeliverAnswer(attempt_id.request, attempt_id),
            *self._completion.remove(request),
        ]

    def _complete_request(
        self, attempt_id: AttemptId, now: float
    ) -> list[DirectCommand]:
        request = self._current_request(attempt_id)
        if request is None:
            return []
        commands = self._quarantine.record_answer(request, now)
        return commands + self._finish_request(request, now)

    def _close_stream(self, attempt_id: AttemptId, now: float) -> list[DirectCommand]:
        """Finish a request, and probe a target that may have crashed."""
        request = self._current_request(attempt_id)
        if request is None:
            return []
        commands = []
        if self._quarantine.is_answer_new(request):
            self._quarantine.record_break(request, now)
            commands = self._target_health.probe(request.attempts[-1].agent.target)
        return commands + self._finish_request(request, now)

    def _finish_request(
        self, request: DirectRequest, now: float
    ) -> list[DirectCommand]:
        attempt = request.attempts[-1]
        advance(attempt, AttemptStep.END)
        return [
            *self._target_health.record_success(attempt.agent, now),
            FinishAnswer(attempt.id.request),
            *self._completion.remove(request),
        ]

    def _record_events(
        self,
        attempt_id: AttemptId,
        event_count: int,
        last_event_id: int | None,
        now: float,
    ) -> list[DirectCommand]:
        request = self._current_request(attempt_id)
        if request is None:
            return []
        pause = now - request.last_progress_at
        request.last_progress_at = now
        if last_event_id is not None:
            request.last_event_id = last_event_id
        commands = self._quarantine.record_progress(request, pause, now)
        commands += self._pace.record_events(request, event_count, now)
        work_items = self._work.record_events(request, event_count, now)
        return commands + ([UpdatePeers(work_items)] if work_items else [])

    # Failures

    def _fail_attempt(
        self, attempt_id: AttemptId, reason: Reason, verdict: Verdict, now: float
    ) -> list[DirectCommand]:
        request = self._current_request(attempt_id)
        if request is None:
            return []
        attempt = request.attempts[-1]
        target = attempt.agent.target
        request.tried_targets.add(target)
        commands: list[DirectCommand] = []
        if verdict is Verdict.NOT_RUN:
            advance(attempt, AttemptStep.REFUSE)
            request.unreachable_targets.add(target)
            commands += self._target_health.suspect(target, now)
        else:
            advance(attempt, AttemptStep.FAIL)
            commands += self._record_failure(request, FailureKind.BROKEN, now)
            self._quarantine.record_break(request, now)
            commands += self._target_health.probe(target)
        return commands + self._retry_or_fail(request, reason, verdict, now)

    def _retry_or_fail(
        self, request: DirectRequest, reason: Reason, verdict: Verdict, now: float
    ) -> list[DirectCommand]:
        commands = self._completion.release_work(request)
        if verdict is not Verdict.NOT_RUN and not self._retry_policy.may_retry(
            request, now
        ):
            return commands + self._completion.fail(request, reason, None)
        if not self._retry_policy.consume(request, now):
            retry_after = self._settings.retry_after_budget
            return commands + self._completion.fail(
                request, Reason.RETRY_BUDGET, retry_after
            )
        return commands + self._place(request, now)

    def _handle_disconnect(self, request_id: str) -> list[DirectCommand]:
        request = self._board.requests.get(request_id)
        if request is None:
            return []
        return self._completion.cancel(request)

    def _set_backpressure(
        self, request_id: str, blocked: bool, now: float
    ) -> list[DirectCommand]:
        """Record backpressure, which excuses a target's lack of progress."""
        request = self._board.requests.get(request_id)
        if request is not None:
            request.caller_blocked = blocked
            request.last_progress_at = now
            request.pass_start = None
        return []

    def _end_fullest(self, request_id: str, answerable: bool) -> list[DirectCommand]:
        """End the request for whose caller most is held.

        Its target has not failed: the caller or another target is slow.
        """
        request = self._board.requests.get(request_id)
        if request is None:
            return []
        if not answerable:
            return self._completion.abort(request, Reason.BUFFERS_FULL)
        retry_after = None
        if not request.may_have_run:
            retry_after = self._settings.caller_buffers.retry_after
        return self._completion.fail(request, Reason.BUFFERS_FULL, retry_after)

    # Health

    def _record_failure(
        self, request: DirectRequest, kind: FailureKind, now: float
    ) -> list[DirectCommand]:
        agent = request.attempts[-1].agent
        return self._target_health.record_failure(agent, kind, now)

    def _handle_probe_result(
        self, target: str, reachable: bool, now: float
    ) -> list[DirectCommand]:
        """Retry repeatable requests of a target that cannot be reached."""
        commands = self._quarantine.record_probe(target, reachable, now)
        if reachable:
            return commands
        commands += self._target_health.suspect(target, now)
        for request in list(self._board.requests.values()):
            attempt = request.attempts[-1] if request.attempts else None
            if attempt is None or not is_live(attempt):
                continue
            if attempt.agent.target == target and request.inbound.route.repeatable:
                commands.append(CancelAttempt(attempt.id))
                commands += self._fail_lost_attempt(request, now)
        return commands

    def _record_crash_reports(
        self, update: PeerUpdateReceived, now: float
    ) -> list[DirectCommand]:
        commands = self._quarantine.record_reports(
            update.crashes, update.answered, update.quarantines, now
        )
        return commands + self._refuse_quarantined() if commands else []

    def _refuse_quarantined(self) -> list[DirectCommand]:
        """Refuse requests before their targets begin to answer them."""
        commands: list[DirectCommand] = []
        retry_after = self._settings.quarantine.first_trial_delay
        for request in self._quarantine.find_refused():
            commands += self._completion.fail(
                request, Reason.REQUEST_QUARANTINED, retry_after
            )
        return commands

    def _fail_lost_attempt(
        self, request: DirectRequest, now: float
    ) -> list[DirectCommand]:
        """Retry after the target of a live attempt has died."""
        attempt = request.attempts[-1]
        advance(attempt, AttemptStep.FAIL)
        request.tried_targets.add(attempt.agent.target)
        request.run_count -= 1  # a dead target runs nothing
        return self._retry_or_fail(request, Reason.LINK_LOST, Verdict.MAY_HAVE_RUN, now)

    # Timers

    def _handle_tick(self, now: float) -> list[DirectCommand]:
        commands: list[DirectCommand] = []
        for item in self._board.timers.pop(now):
            try:
                commands += self._handle_timer(item, now)
            except Exception as error:  # the other items are due as well
                subject = type(item).__name__
                commands.append(LogChange("timer not handled", subject, repr(error)))
        return commands

    def _handle_timer(self, item: t.Any, now: float) -> list[DirectCommand]:
        match item:
            case _DeadlineDue(request_id):
                return self._expire_request(request_id)
            case _WorkRepeatDue(attempt_id):
                return self._repeat_work_update(attempt_id)
            case ProgressCheckDue(attempt_id):
                return self._check_progress(attempt_id, now)
            case ReservationTimeoutDue(_, reservation_id):
                return self._handle_reservation_failure(reservation_id, now)
            case CrashReviewDue():
                commands = self._quarantine.review_crashes(now)
                return commands + self._refuse_quarantined()
            case LeaseRenewalDue():
                return self._reservations.renew(item, now)
            case PaceCheckDue():
                return self._pace.check(item, now)
            case ColdEndDue():
                return self._target_limits.end_coldness(item, now)
            case _:
                return self._targets.remove_lapsed(item, now)

    def _expire_request(self, request_id: str) -> list[DirectCommand]:
        request = self._board.requests.get(request_id)
        if request is None:
            return []
        return self._completion.fail(request, Reason.DEADLINE_EXCEEDED, None)

    def _repeat_work_update(self, attempt_id: AttemptId) -> list[DirectCommand]:
        """Report a prompt to peers again, unless it has been prefilled.

        The load it answers: peers that miss the first report, as datagrams may
        be lost, place prompts on the same target.
        """
        request = self._current_request(attempt_id)
        if request is None or not request.work_items:
            return []
        if request.work_items[0].decoding or not request.work_items[0].tokens:
            return []
        return [UpdatePeers(tuple(request.work_items))]

    def _check_progress(self, attempt_id: AttemptId, now: float) -> list[DirectCommand]:
        """Probe the target of an overdue attempt, or retry a timed-out one."""
        request = self._current_request(attempt_id)
        if request is None or not is_live(request.attempts[-1]):
            return []
        match self._progress.check(request, now):
            case ProgressStatus.EXPECTED:
                return []
            case ProgressStatus.OVERDUE:
                return self._target_health.probe(request.attempts[-1].agent.target)
            case ProgressStatus.TIMED_OUT:
                return self._handle_timeout(request, now)

    def _handle_timeout(
        self, request: DirectRequest, now: float
    ) -> list[DirectCommand]:
        """Retry an attempt that has timed out, if it may be repeated."""
        if self._retry_policy.may_retry(request, now) and self._can_place(request, now):
            return self._abandon_attempt(request, now)
        if not request.inbound.route.streamed:
            return []
        self._progress.check_later(request, now)
        return self._target_health.probe(request.attempts[-1].agent.target)

    def _can_place(self, request: DirectRequest, now: float) -> bool:
        """Return whether a late attempt's request can be sent again in time.

        An attempt that is alive must not be abandoned for nothing.
        """
        target = request.attempts[-1].agent.target
        was_tried = target in request.tried_targets
        request.tried_targets.add(target)
        placement = self._selector.choose(request, now)
        if not was_tried:
            request.tried_targets.discard(target)
        return (
            placement is not None
            and placement.target not in request.unreachable_targets
            and now + placement.time_to_first_event <= request.inbound.request.deadline
        )

    def _abandon_attempt(
        self, request: DirectRequest, now: float
    ) -> list[DirectCommand]:
        attempt = request.attempts[-1]
        advance(attempt, AttemptStep.FAIL)
        commands = self._record_failure(request, FailureKind.LATE, now)
        request.tried_targets.add(attempt.agent.target)
        retry = self._retry_or_fail(
            request, Reason.TARGET_FAILED, Verdict.MAY_HAVE_RUN, now
        )
        return [CancelAttempt(attempt.id), *commands, *retry]


def _describe_refusal(answer: TargetAnswer) -> str:
    detail = f"status {answer.status}"
    if answer.retry_after is not None:
        detail += f", retry after {answer.retry_after:g} s"
    return f"{detail}, leaving" if answer.leaving else detail
