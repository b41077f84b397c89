"""Handles a direct entry's requests, from arrival to the last answer."""

import dataclasses
import typing as t

from ..lifecycle import (
    AnswerCompleted,
    AttemptFailed,
    AttemptRefused,
    CallerDisconnected,
    MemoryReserved,
    StopRequested,
    Tick,
)
from .admission import Admission
from .answer import AnswerHandler
from .board import DirectBoard, DirectRequest, InboundRequest
from .cold_targets import ColdEndDue
from .collision import CollisionDetector
from .command import DirectCommand, LogChange, ResyncStore, UpdatePeers
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
    TargetAnswered,
    TargetListed,
    TargetProbed,
    TargetUnlisted,
)
from .failure import FailureHandler
from .group import GroupSender
from .move import RequestMover
from .partition import FleetPartition
from .progress import ProgressCheckDue, ProgressMonitor
from .quarantine import CrashReviewDue, RequestQuarantine
from .reservation import LeaseRenewalDue, Reservations, ReservationTimeoutDue
from .retry import DirectRetryPolicy
from .selection import TargetSelector
from .sending import AttemptFactory, AttemptSender, WorkRepeatDue
from .settings import DirectSettings
from .shutdown import ShutdownPolicy
from .store_lag import StoreLagDetector
from .store_revision import StoreRevision
from .target_health import TargetHealth
from .target_limits import TargetLimits
from .target_list import ListEvent, TargetList
from .target_pace import PaceCheckDue, TargetPace
from .termination import RequestTermination
from .timeout import TimeoutHandler
from .work import WorkTracker

if t.TYPE_CHECKING:
    from .explanation import Explanation


@dataclasses.dataclass(frozen=True, slots=True)
class _DeadlineDue:
    request_id: str


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
        self._entry_name = entry_name
        self._retry_policy = DirectRetryPolicy(board, settings)
        self._targets = TargetList(board, settings)
        self._evacuation = Evacuation(board, settings.evacuation)
        self._target_limits = TargetLimits(board, settings.target_limits, entry_name)
        self._reservations = Reservations(
            board, settings.reservation, self._target_limits
        )
        self._quarantine = RequestQuarantine(board, settings.quarantine, entry_name)
        self._work = WorkTracker(board, settings, entry_name, self._target_limits)
        self._pace = TargetPace(board, settings.target_pace)
        self._store_lag = StoreLagDetector(settings.store_lag_tolerance)
        shutdown = ShutdownPolicy(board, settings)
        self._partition = FleetPartition(board, settings.max_targets, entry_name)
        self._target_health = TargetHealth(board, settings, self._partition)
        selector = TargetSelector(
            board,
            settings,
            self._partition,
            self._target_limits,
            shutdown,
            failure_domain,
        )
        self._admission = Admission(
            settings,
            self._retry_policy,
            self._quarantine,
            self._evacuation,
            self._target_limits,
            selector,
            shutdown,
        )
        completion = RequestCompletion(board, self._reservations, self._work)
        progress = ProgressMonitor(board, settings.timeouts, self._work)
        self._sender = AttemptSender(
            board,
            settings,
            self._admission,
            self._evacuation,
            self._target_limits,
            self._reservations,
            self._work,
            completion,
            progress,
            self._pace,
            make_attempt,
        )
        self._groups = GroupSender(
            board,
            settings,
            self._evacuation,
            self._reservations,
            completion,
            self._sender,
        )
        self._mover = RequestMover(
            CollisionDetector(board),
            self._retry_policy,
            selector,
            completion,
            self._sender,
        )
        self._failures = FailureHandler(
            board,
            settings,
            self._retry_policy,
            self._quarantine,
            self._target_health,
            completion,
            self._sender,
        )
        self._timeouts = TimeoutHandler(
            board,
            self._retry_policy,
            selector,
            shutdown,
            self._target_health,
            progress,
            self._failures,
        )
        self._answers = AnswerHandler(
            board,
            self._retry_policy,
            self._targets,
            self._target_limits,
            self._target_health,
            self._quarantine,
            self._reservations,
            self._work,
            self._pace,
            completion,
            self._failures,
            shutdown,
        )
        self._termination = RequestTermination(
            board, settings, self._quarantine, completion
        )

    def handle(self, event: DirectEvent, now: float) -> list[DirectCommand]:
        """Return the commands that an event leads to."""
        self._target_limits.observe(now)
        return self._target_limits.withhold_calls(self._handle(event, now), now)

    def evacuations(self) -> t.Iterator[EvacuationStatus]:
        """Yield the evacuated failure domains, and what still runs there."""
        return self._evacuation.statuses()

    def explain(
        self, inbound: InboundRequest, now: float, store_heard_at: float | None = None
    ) -> "Explanation":
        """Return what a request would lead to if it were received now.

        Nothing changes by it: decisions after it are the same as without.
        """
        # Not imported at the start: a frozen data class takes 0.4 ms there.
        from .explainer import Explainer

        explainer = Explainer(
            self._board,
            self._admission,
            self._target_limits,
            self._store_lag,
            self._entry_name,
        )
        return explainer.explain(inbound, now, store_heard_at)

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

    def _handle(self, event: DirectEvent, now: float) -> list[DirectCommand]:
        match event:
            case EventsRelayed(attempt_id, event_count, last_event_id):
                return self._answers.record_events(
                    attempt_id, event_count, last_event_id, now
                )
            case RequestReceived(inbound):
                return self._receive_request(inbound, now)
            case AttemptConnected(attempt_id):
                return self._sender.begin(attempt_id, now)
            case AnswerHeadReceived(attempt_id, answer):
                return self._answers.handle_head(attempt_id, answer, now)
            case AnswerReceived(attempt_id, answer):
                return self._answers.handle(attempt_id, answer, now)
            case TargetAnswered(agent, answer, to_order):
                return [
                    *self._target_limits.record_answer(agent, answer, now, to_order),
                    *self._reservations.renew_for_backoff(agent, now),
                ]
            case AnswerCompleted(attempt_id):
                return self._answers.complete(attempt_id, now)
            case StreamClosed(attempt_id, has_events):
                return self._answers.close_stream(attempt_id, has_events, now)
            case AttemptFailed(attempt_id, reason, verdict):
                return self._failures.fail_attempt(attempt_id, reason, verdict, now)
            case MemoryReserved(reservation_id):
                return self._groups.confirm(reservation_id, now)
            case AttemptRefused(reservation_id):
                return self._groups.handle_failure(reservation_id, now)
            case CallerDisconnected(request_id):
                return self._termination.disconnect(request_id)
            case CallerBackpressureChanged(request_id, blocked):
                return self._set_backpressure(request_id, blocked, now)
            case BufferBoundExceeded(request_id, answerable):
                return self._termination.end_fullest(request_id, answerable)
            case TargetProbed():
                return self._failures.handle_probe_result(event, now)
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
                commands += self._mover.move_collided(work_items, now)
                return commands + self._check_store_lag(owner, revision, now)
            case StopRequested():
                self._board.stopping_at = now
                return []
            case StopTimeExpired():
                return self._termination.fail_unfinished()
            case Tick():
                return self._handle_tick(now)

    def _receive_request(
        self, inbound: InboundRequest, now: float
    ) -> list[DirectCommand]:
        caller_request = inbound.request
        self._retry_policy.count_request(inbound.service, now)
        request = DirectRequest(inbound, last_event_id=inbound.resumed_after)
        self._board.requests[caller_request.id] = request
        self._board.timers.add(caller_request.deadline, _DeadlineDue(caller_request.id))
        return self._sender.place(request, now)

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

    def _record_list_event(self, event: ListEvent, now: float) -> list[DirectCommand]:
        """Record what limits requests to targets before the list changes."""
        match event:
            case TargetListed(listing):
                self._target_health.record_listing(listing)
                return self._target_limits.record_listing(listing, now)
            case StoreLost() | StoreRegained():
                self._target_limits.record_store(isinstance(event, StoreLost))
        return []

    def _check_store_lag(
        self, peer: str, revision: StoreRevision, now: float
    ) -> list[DirectCommand]:
        """Resync the store if a peer has been ahead for too long."""
        if not self._store_lag.record_peer_revision(revision, now):
            return []
        detail = f"revision {self._store_lag.revision}, its {revision}"
        return [LogChange("behind a peer", peer, detail), ResyncStore()]

    def _record_crash_reports(
        self, update: PeerUpdateReceived, now: float
    ) -> list[DirectCommand]:
        commands = self._quarantine.record_reports(
            update.crashes, update.answered, update.quarantines, now
        )
        return commands + self._termination.refuse_quarantined() if commands else []

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
                return self._termination.expire(request_id)
            case WorkRepeatDue(attempt_id):
                return self._sender.repeat_work_update(attempt_id)
            case ProgressCheckDue(attempt_id):
                return self._timeouts.check_progress(attempt_id, now)
            case ReservationTimeoutDue(_, reservation_id):
                return self._groups.handle_failure(reservation_id, now)
            case CrashReviewDue():
                commands = self._quarantine.review_crashes(now)
                return commands + self._termination.refuse_quarantined()
            case LeaseRenewalDue():
                return self._reservations.renew(item, now)
            case PaceCheckDue():
                return self._pace.check(item, now)
            case ColdEndDue():
                return self._target_limits.end_coldness(item, now)
            case _:
                return self._targets.remove_lapsed(item, now)
