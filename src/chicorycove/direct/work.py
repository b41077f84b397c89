"""The work of all entries on the targets, as this entry sees it."""

import math
import typing as t

from ..request import Prompt
from .board import DirectBoard, DirectRequest, TargetView, WorkItem, WorkItemKey
from .command import DirectCommand
from .engine import EngineProfile
from .event import PeersUpdated, PeerUpdateReceived
from .placement import Placement
from .settings import DirectSettings, peer_timeout
from .target_limits import TargetLimits

CALL_EVENTS = 1  # events of an answer that is not streamed


class WorkTracker:
    """Records the work of this entry and its peers on the targets."""

    def __init__(
        self,
        board: DirectBoard,
        settings: DirectSettings,
        entry_name: str,
        target_limits: TargetLimits,
    ) -> None:
        self._board = board
        self._settings = settings
        self._target_limits = target_limits
        self._name = entry_name
        self._last_number = 0
        self._targets_by_key: dict[WorkItemKey, str] = {}
        self._ended_since_report: list[WorkItemKey] = []

    def add(
        self, request: DirectRequest, placement: Placement, now: float
    ) -> tuple[WorkItem, ...]:
        """Record the work items of an attempt on their targets."""
        tokens = 0
        work = request.inbound.request.work
        if isinstance(work, Prompt):
            tokens = work.tokens
        part_tokens = tokens // (1 + len(placement.members))
        primary = self._create_primary_item(request, placement, part_tokens, now)
        request.work_items = [primary]
        request.work_items += [
            self._create_item(
                target=member.target,
                generates_answer=False,
                tokens=part_tokens,
                prefill_time=placement.prefill_time,
                memory=member.held_tokens,
                context_tokens=float(member.held_tokens),
                events_left=primary.events_left,
            )
            for member in placement.members
        ]
        # A delay of one part delays the whole group, and few placements delay
        # all parts, so the parts' values add up to more than the request's.
        value = primary.value / math.sqrt(len(request.work_items))
        for item in request.work_items:
            item.preempting = len(request.work_items) > 1
            item.value = value
            item.objective_at = primary.objective_at
            item.placed_at = item.refreshed_at = now
            item.expected_prefill_end = now + placement.time_to_first_event
            self._set_item(item)
        return tuple(request.work_items)

    def record_events(
        self, request: DirectRequest, event_count: int, now: float
    ) -> tuple[WorkItem, ...]:
        """Count events of a stream; return the items that peers need."""
        if not request.work_items:
            return ()
        primary = request.work_items[0]
        primary.events_left = max(primary.events_left - event_count, 1)
        if primary.decoding:
            return ()
        primary.decoding = True
        primary.missed_objective = now > primary.objective_at
        for item in request.work_items[1:]:
            item.decoding = True
            self._set_item(item)
        return tuple(request.work_items)

    def next_pass_time(self, request: DirectRequest, now: float) -> float:
        """Return how long the next pass of a stream's target may take."""
        view = self._board.targets.get(request.work_items[0].target)
        engine = self._engine(request.inbound.service)
        if view is None or engine is None:
            return 0.0
        contexts = [
            item.context_tokens for item in view.work_items.values() if item.decoding
        ]
        prefill_backlog = sum(
            item.remaining_prefill_time(now) for item in view.work_items.values()
        )
        return engine.decode_pass_time(contexts) + prefill_backlog

    def remove(self, request: DirectRequest) -> tuple[WorkItemKey, ...]:
        """Remove a request's items from their targets; return their keys."""
        keys = tuple(item.key for item in request.work_items)
        for item in request.work_items:
            self._remove_item(item.key)
        request.work_items = []
        self._ended_since_report += keys
        return keys

    def take_ended(self) -> tuple[WorkItemKey, ...]:
        """Return the items that have ended since the last periodic report.

        A peer that misses the end of an item counts its memory as held.
        """
        keys = tuple(self._ended_since_report)
        self._ended_since_report = []
        return keys

    def handle(
        self, event: PeersUpdated | PeerUpdateReceived, now: float
    ) -> list[DirectCommand]:
        """Apply an update of the known entries or of a peer's work."""
        match event:
            case PeersUpdated(entry_names, unresponsive, complete, partly_reported):
                peer_names = self._board.peer_names
                visible_count = len(peer_names - unresponsive - partly_reported)
                self._board.visible_share = (
                    visible_count / max(len(peer_names), 1) if complete else 0.0
                )
                responsive_count = max(len(peer_names - unresponsive), 1)
                self._board.responsive_share = responsive_count / max(
                    len(peer_names), 1
                )
                self._board.placement_offset = (
                    self._placement_offset(entry_names)
                    if unresponsive & peer_names
                    else 0.0
                )
                self._remove_expired(now)
            case PeerUpdateReceived(_, work_items, ended, unreachable):
                for item in work_items:
                    item.refreshed_at = now
                    self._set_item(item)
                for key in ended:
                    self._remove_item(key)
                for target in unreachable:
                    self._suspect(target, now)
        return []

    def _placement_offset(self, entry_names: frozenset[str]) -> float:
        """Return this entry's rank among all, scaled to [0, 1)."""
        rank = self._board.entry_rank(self._name)
        return rank / max(len(entry_names), 1)

    def _create_primary_item(
        self, request: DirectRequest, placement: Placement, part_tokens: int, now: float
    ) -> WorkItem:
        inbound = request.inbound
        work = inbound.request.work
        if not isinstance(work, Prompt):
            return self._create_item(target=placement.target, events_left=CALL_EVENTS)
        engine = self._engine(inbound.service)
        event_count = engine.event_count(work.max_tokens) if engine else CALL_EVENTS
        return self._create_item(
            target=placement.target,
            tokens=part_tokens,
            prefill_time=placement.prefill_time,
            memory=placement.held_tokens,
            context_tokens=float(work.memory),
            events_left=event_count,
            max_gap=inbound.route.max_gap,
            value=1.0 + work.tokens / self._settings.tokens_per_value,
            objective_at=inbound.request.arrived + inbound.route.objective,
        )

    def _engine(self, service_name: str) -> EngineProfile | None:
        service = self._board.find_service(service_name)
        return service.engine if service else None

    def _create_item(self, **fields: t.Any) -> WorkItem:
        self._last_number += 1
        return WorkItem(WorkItemKey(self._name, self._last_number), **fields)

    def _set_item(self, item: WorkItem) -> None:
        view = self._board.targets.get(item.target)
        if view is None:
            return
        if item.decoding and not item.generates_answer and not item.memory:
            self._remove_item(item.key)  # a prefilled part without memory is no load
            return
        if item.key not in self._targets_by_key:
            own = item.key.owner == self._name
            self._target_limits.count(view, item.refreshed_at, own)
        if item.key not in view.work_items:
            if item.preempting and not item.decoding:
                self._delay_waiting_items(view, item)
        view.work_items[item.key] = item
        self._targets_by_key[item.key] = item.target

    def _delay_waiting_items(self, view: TargetView, item: WorkItem) -> None:
        """Delay the waiting prefills that an item preempts."""
        for other in view.work_items.values():
            if not other.decoding:
                other.expected_prefill_end += item.prefill_time

    def _remove_item(self, key: WorkItemKey) -> None:
        view = self._board.targets.get(self._targets_by_key.pop(key, ""))
        if view is not None:
            view.work_items.pop(key, None)

    def _suspect(self, target: str, now: float) -> None:
        view = self._board.targets.get(target)
        if view is not None:
            view.suspected_until = now + self._settings.timeouts.suspicion_time

    def _remove_expired(self, now: float) -> None:
        """Remove the work of entries that no longer send updates."""
        limit = now - peer_timeout(self._settings, len(self._board.peer_names))
        for key, target in list(self._targets_by_key.items()):
            view = self._board.targets.get(target)
            item = view.work_items.get(key) if view is not None else None
            if item is None:
                del self._targets_by_key[key]  # removed with its target
            elif key.owner != self._name and item.refreshed_at < limit:
                self._remove_item(key)
