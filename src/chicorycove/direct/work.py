"""The work of all entries on the targets, as one entry knows it."""

import math
import typing as t

from ..request import Prompt
from .board import DirectBoard, DirectRequest, TargetView, WorkItem, WorkItemKey
from .command import DirectCommand
from .engine import EngineProfile
from .event import PeersUpdated, PeerUpdateReceived
from .placement import Placement
from .settings import DirectSettings, peer_timeout

CALL_EVENTS = 1  # of a request that is not streamed


class WorkTracker:
    """Writes this entry's and its peers' work on the board's targets."""

    def __init__(self, board: DirectBoard, settings: DirectSettings, name: str) -> None:
        self._board = board
        self._settings = settings
        self._name = name
        self._count = 0
        self._targets: dict[WorkItemKey, str] = {}  # of all work, wherever it is

    def add(
        self, state: DirectRequest, placement: Placement, now: float
    ) -> tuple[WorkItem, ...]:
        """Note an attempt's parts on their targets."""
        tokens = 0
        work = state.inbound.request.work
        if isinstance(work, Prompt):
            tokens = work.tokens
        part = tokens // (1 + len(placement.members))
        head = self._head(state, placement, part, now)
        state.work_items = [head]
        state.work_items += [
            self._new(
                target=member.target,
                writes_answer=False,
                tokens=part,
                read_time=placement.read_time,
                memory=member.held_tokens,
                context_tokens=float(member.held_tokens),
                events_left=head.events_left,
            )
            for member in placement.members
        ]
        # What delays one part delays the group: the parts' values together are
        # more than the whole's, since few placements meet all of them.
        value = head.value / math.sqrt(len(state.work_items))
        for each in state.work_items:
            each.preempting = len(state.work_items) > 1
            each.value = value
            each.objective_at = head.objective_at
            each.placed_at = each.refreshed_at = now
            each.expected_read_end = now + placement.time_to_first_event
            self._enter(each)
        return tuple(state.work_items)

    def record_events(
        self, state: DirectRequest, events: int, now: float
    ) -> tuple[WorkItem, ...]:
        """Count events of a stream; return what peers should hear."""
        if not state.work_items:
            return ()
        head = state.work_items[0]
        head.events_left = max(head.events_left - events, 1)
        if head.writing:
            return ()
        head.writing = True
        head.missed_objective = now > head.objective_at
        for part in state.work_items[1:]:
            part.writing = True
            self._enter(part)
        return tuple(state.work_items)

    def next_pass_time(self, state: DirectRequest, now: float) -> float:
        """Return how long the next pass of a stream's target may take."""
        view = self._board.targets.get(state.work_items[0].target)
        engine = self._engine(state.inbound.service)
        if view is None or engine is None:
            return 0.0
        contexts = [
            work.context_tokens for work in view.work_items.values() if work.writing
        ]
        reading = sum(
            work.remaining_read_time(now) for work in view.work_items.values()
        )
        return engine.write_time(contexts) + reading

    def remove(self, state: DirectRequest) -> tuple[WorkItemKey, ...]:
        """Take a request's parts from their targets."""
        keys = tuple(part.key for part in state.work_items)
        for part in state.work_items:
            self._drop(part.key)
        state.work_items = []
        return keys

    def handle(
        self, event: PeersUpdated | PeerUpdateReceived, now: float
    ) -> list[DirectCommand]:
        """Take what other entries tell."""
        match event:
            case PeersUpdated(names, silent):
                self._board.placement_offset = (
                    self._placement_offset(names)
                    if silent & self._board.peer_names
                    else 0.0
                )
                self._expire(now)
            case PeerUpdateReceived(_, work_items, ended, unreachable):
                for work in work_items:
                    work.refreshed_at = now
                    self._enter(work)
                for key in ended:
                    self._drop(key)
                for target in unreachable:
                    self._suspect(target, now)
        return []

    def _placement_offset(self, names: frozenset[str]) -> float:
        """Return this entry's place among all, in [0, 1)."""
        before = sum(1 for name in names if name < self._name)
        return before / max(len(names), 1)

    def _head(
        self, state: DirectRequest, placement: Placement, part: int, now: float
    ) -> WorkItem:
        inbound = state.inbound
        work = inbound.request.work
        if not isinstance(work, Prompt):
            return self._new(target=placement.target, events_left=CALL_EVENTS)
        engine = self._engine(inbound.service)
        events = engine.events(work.max_tokens) if engine else CALL_EVENTS
        return self._new(
            target=placement.target,
            tokens=part,
            read_time=placement.read_time,
            memory=placement.held_tokens,
            context_tokens=float(work.memory),
            events_left=events,
            max_gap=inbound.route.max_gap,
            value=1.0 + work.tokens / self._settings.tokens_per_value,
            objective_at=inbound.request.arrived + inbound.route.objective,
        )

    def _engine(self, service: str) -> EngineProfile | None:
        known = self._board.service(service)
        return known.engine if known else None

    def _new(self, **fields: t.Any) -> WorkItem:
        self._count += 1
        return WorkItem(WorkItemKey(self._name, self._count), **fields)

    def _enter(self, work: WorkItem) -> None:
        view = self._board.targets.get(work.target)
        if view is None:
            return
        if work.writing and not work.writes_answer and not work.memory:
            self._drop(work.key)  # a part that was read is no load
            return
        if work.preempting and not work.writing and work.key not in view.work_items:
            self._put_back(view, work)
        view.work_items[work.key] = work
        self._targets[work.key] = work.target

    def _put_back(self, view: TargetView, part: WorkItem) -> None:
        """Delay what waits to be read behind a part that goes ahead of it."""
        for other in view.work_items.values():
            if not other.writing:
                other.expected_read_end += part.read_time

    def _drop(self, key: WorkItemKey) -> None:
        view = self._board.targets.get(self._targets.pop(key, ""))
        if view is not None:
            view.work_items.pop(key, None)

    def _suspect(self, target: str, now: float) -> None:
        view = self._board.targets.get(target)
        if view is not None:
            view.suspected_until = now + self._settings.timeouts.suspicion_time

    def _expire(self, now: float) -> None:
        """Forget the work of entries that have fallen silent."""
        limit = now - peer_timeout(self._settings, len(self._board.peer_names))
        for key, target in list(self._targets.items()):
            view = self._board.targets.get(target)
            work = view.work_items.get(key) if view is not None else None
            if work is None:
                del self._targets[key]  # it went with its target
            elif key.owner != self._name and work.refreshed_at < limit:
                self._drop(key)
