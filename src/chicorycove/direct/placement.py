"""Where a request is to run: predicted first events against harm to others.

The load it answers: short streams that must not pause for long, beside prompts
whose reading fills whole passes of an engine.
"""

import dataclasses
import math
import typing as t

from .board import TargetView, WorkItem
from .engine import EngineProfile

LIKELY_EVENTS = 20  # of an answer, where nothing better is known
EVENTS_PER_WAITER = 2  # that pass until one more slot is free

frozen = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


@frozen
class PlacementSettings:
    """Weights of a placement; times are in seconds."""

    group_sizes: tuple[int, ...] = (1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 17)
    group_min_tokens: int = 12_000  # shorter prompts are never split
    loss_start_share: float = 0.7  # share of a limit at which harm begins to count
    full_loss_share: float = 1.1  # share of a limit at which all is lost
    late_loss_share: float = 0.75  # of the value, lost by an answer that is late
    excess_loss_rate: float = 0.2  # of the value, lost more for each limit beyond it
    min_limit: float = 0.05  # seconds, in place of a limit that has passed
    wait_cost: float = 0.01  # of the value, for a second until the first event
    writer_delay_cost: float = 0.15  # for a second of reading beside a writer
    # By python -m bench placing, with tells that come at once and 20 ms late.
    overtake_cost: float = 0.2  # of a value, for a second that it is put back
    pack_cost: float = 0.1  # between the first and the last target in order
    spare_slots: int = 3  # of a target, that are left for other entries' choices
    spare_slot_cost: float = 0.04  # of the value, for each of them that is taken
    other_domain_cost: float = 0.005  # for a target in another failure domain
    group_member_cost: float = 0.02  # for each target of a group
    suspect_cost: float = 50.0
    transit_time: float = 0.005  # a connection, the request and the first event
    max_memory_share: float = 0.92  # share of an engine's memory that is promised


@frozen
class PlacementRequest:
    """What is to be placed; times are in seconds."""

    tokens: int
    output: int  # tokens, at most
    expected_output: int  # tokens
    objective_at: float
    deadline: float
    max_gap: float
    value: float
    failure_domain: str


@frozen
class PlacementMember:
    """A target that reads a part, and the tokens that it is to hold."""

    target: str
    held_tokens: int = 0


@frozen
class Placement:
    """A target, the other members of its group, and what is predicted."""

    target: str
    members: tuple[PlacementMember, ...] = ()
    held_tokens: int = 0  # tokens, at the target itself
    time_to_first_event: float = 0.0  # seconds from now
    cost: float = 0.0
    candidates: int = 0
    read_time: float = 0.0  # seconds, of each part


@dataclasses.dataclass(slots=True)
class _Load:
    """A target's work as one decision sees it; times are in seconds."""

    view: TargetView
    order: float  # in [0, 1): its place in the order that entries share
    writers: list[WorkItem]
    readers: list[WorkItem]
    write: float  # of a pass that only writes
    reading: float  # left to read of all
    memory: int  # tokens held
    busy: int  # requests that have a slot or wait for one


def expected_loss(
    value: float, size: float, limit: float, settings: PlacementSettings
) -> float:
    """Return the part of a value put at risk by a time near its limit."""
    limit = max(limit, settings.min_limit)
    early = settings.loss_start_share * limit
    over = settings.full_loss_share * limit
    if size <= early:
        return 0.0
    if size <= over:
        return value * (size - early) / (over - early)
    return value * (1.0 + settings.excess_loss_rate * (size - over) / limit)


class Placer:
    """Chooses the targets of prompts by what they cost all requests there."""

    def __init__(self, settings: PlacementSettings) -> None:
        self._settings = settings

    def place(
        self,
        job: PlacementRequest,
        engine: EngineProfile,
        views: t.Iterable[TargetView],
        now: float,
        placement_offset: float = 0.0,
    ) -> Placement | None:
        """Return the cheapest placement, if any target can hold the prompt.

        Entries that cannot see one another's work each prefer other targets,
        by the part of their order that an offset leaves out.
        """
        loads = self._loads(engine, views, now, placement_offset)
        if not loads:
            return None
        best = None
        total = engine.read_time(job.tokens)
        need = job.tokens + job.output
        sizes = (1,) if job.tokens < self._settings.group_min_tokens else None
        for size in sizes or self._settings.group_sizes:
            if size > len(loads):
                break
            placement = self._best_of_size(size, job, engine, loads, total, need, now)
            if placement and (best is None or placement.cost < best.cost):
                best = placement
        return best

    def _loads(
        self,
        engine: EngineProfile,
        views: t.Iterable[TargetView],
        now: float,
        placement_offset: float,
    ) -> list[_Load]:
        ordered = sorted(views, key=lambda view: view.listing.id)
        loads = []
        for index, view in enumerate(ordered):
            writers = [x for x in view.work_items.values() if x.writing]
            readers = [x for x in view.work_items.values() if not x.writing]
            context_tokens = sum(x.context_tokens for x in writers)
            write = (
                engine.writers_time(len(writers), context_tokens) if writers else 0.0
            )
            reading = sum(x.remaining_read_time(now) for x in readers)
            memory = sum(x.memory for x in view.work_items.values())
            loads.append(
                _Load(
                    view,
                    (index / len(ordered) + placement_offset) % 1.0,
                    writers,
                    readers,
                    write,
                    reading,
                    memory,
                    len(writers) + sum(1 for x in readers if x.writes_answer),
                )
            )
        return loads

    def _best_of_size(
        self,
        size: int,
        job: PlacementRequest,
        engine: EngineProfile,
        loads: list[_Load],
        total: float,
        need: int,
        now: float,
    ) -> Placement | None:
        """Return the cheapest placement on a number of targets."""
        part = total / size
        tokens = math.ceil(job.tokens / size)
        room = int(engine.memory * self._settings.max_memory_share)
        costs = []
        heads = []
        for load in loads:
            harm = self._cost_to_others(engine, load, part, tokens, size > 1, now)
            harm += self._suspect_cost(load, now)
            first = self._first_event(engine, load, part, tokens, size > 1)
            costs.append((harm, first, load))
            own = self._request_cost(job, engine, load, first, size, now)
            lacking = max(load.memory + need - room, 0)
            heads.append((lacking, harm + own, first, load))
        # A target that holds all is better than one that needs tickets.
        head = min(heads, key=lambda item: (item[0] > 0, item[1]))[1:]
        others = sorted(
            (item for item in costs if item[2] is not head[2]),
            key=lambda item: item[0] + item[1] * self._settings.wait_cost * job.value,
        )[: size - 1]
        held = max(min(need, room - head[2].memory), 0)
        members = self._assign_memory(need - held, room, [item[2] for item in others])
        if members is None:
            return None
        first = max([head[1], *(item[1] for item in others)])
        cost = head[0] + sum(item[0] for item in others)
        cost += (size - 1) * self._settings.group_member_cost
        if first > head[1]:
            cost += self._request_cost(job, engine, head[2], first, size, now)
            cost -= self._request_cost(job, engine, head[2], head[1], size, now)
        return Placement(
            target=head[2].view.listing.id,
            members=members,
            held_tokens=held,
            time_to_first_event=first,
            cost=cost,
            candidates=len(loads),
            read_time=part,
        )

    def _assign_memory(
        self, lacking: int, room: int, loads: list[_Load]
    ) -> tuple[PlacementMember, ...] | None:
        """Share what the head cannot hold among the others, emptiest first."""
        held = dict.fromkeys((load.view.listing.id for load in loads), 0)
        for load in sorted(loads, key=lambda load: load.memory):
            held[load.view.listing.id] = max(min(lacking, room - load.memory), 0)
            lacking -= held[load.view.listing.id]
        if lacking > 0:
            return None
        return tuple(
            PlacementMember(target=id, held_tokens=tokens)
            for id, tokens in held.items()
        )

    def _first_event(
        self,
        engine: EngineProfile,
        load: _Load,
        part: float,
        tokens: int,
        preempting: bool,
    ) -> float:
        """Return the time until a reading of a part would end and be told."""
        passes = engine.passes(tokens)
        waiting = part
        if not preempting:
            waiting += load.reading
        if load.writers:
            # A prompt joins at the next pass, after half of one on average,
            # and its first event is told as its last pass ends.
            waiting += load.write * (passes + 0.5)
        if load.busy >= engine.slots:
            waiting += self._slot_wait(engine, load)
        return waiting + engine.first + self._settings.transit_time

    def _slot_wait(self, engine: EngineProfile, load: _Load) -> float:
        """Return when the slot of a request that comes now is free."""
        left = sorted(x.events_left for x in load.writers)
        needed = load.busy - engine.slots
        if needed < len(left):
            events = left[needed]
        else:  # those that wait there already have a whole answer before them
            events = LIKELY_EVENTS + EVENTS_PER_WAITER * needed
        return events * max(load.write, engine.stride * engine.step)

    def _request_cost(
        self,
        job: PlacementRequest,
        engine: EngineProfile,
        load: _Load,
        first: float,
        size: int,
        now: float,
    ) -> float:
        """Return what a request loses itself on a target."""
        settings = self._settings
        value = job.value * settings.late_loss_share
        cost = expected_loss(value, first, job.objective_at - now, settings)
        # What waits to be read there now may be read beside its first events.
        pause = self._pass_time(job, engine, load) + load.reading
        if size > 1:
            pause += engine.stride * engine.hop
        cost += expected_loss(value, pause, job.max_gap, settings)
        if now + first > job.deadline:
            cost += job.value
        cost += settings.wait_cost * job.value * first
        spare = engine.slots - load.busy
        if spare < settings.spare_slots:
            # Another entry may be sending there now.
            cost += (
                settings.spare_slot_cost * job.value * (settings.spare_slots - spare)
            )
        if load.view.listing.failure_domain != job.failure_domain:
            cost += settings.other_domain_cost
        # Short prompts gather at one end of the order, long ones at the other,
        # so that reading meets few writers.
        order = load.order if job.tokens < settings.group_min_tokens else 1 - load.order
        return cost + settings.pack_cost * order

    def _pass_time(
        self, job: PlacementRequest, engine: EngineProfile, load: _Load
    ) -> float:
        alone = engine.writers_time(1, job.tokens + job.expected_output / 2)
        return load.write + alone

    def _cost_to_others(
        self,
        engine: EngineProfile,
        load: _Load,
        part: float,
        tokens: int,
        preempting: bool,
        now: float,
    ) -> float:
        """Return what a reading on a target costs the requests there.

        Writers pause for longer; and a group's part is read ahead of all that
        waits, the parts of earlier groups among it.
        """
        settings = self._settings
        added = part * engine.pass_share(tokens)
        before = load.write + min(load.reading, self._max_pass_read_time(engine))
        after = before + added
        cost = 0.0
        for work in load.writers:
            if work.missed_objective or work.max_gap <= 0:
                continue
            value = work.value * settings.late_loss_share
            harm = expected_loss(value, after, work.max_gap, settings)
            cost += harm - expected_loss(value, before, work.max_gap, settings)
            cost += settings.writer_delay_cost * added
        if preempting:
            for work in load.readers:
                value = work.value * settings.late_loss_share
                limit = work.objective_at - work.placed_at
                told = max(work.expected_read_end, now) - work.placed_at
                harm = expected_loss(value, told + part, limit, settings)
                cost += harm - expected_loss(value, told, limit, settings)
                cost += settings.overtake_cost * work.value * part
        return cost

    def _max_pass_read_time(self, engine: EngineProfile) -> float:
        """Return the longest reading of a pass beside writers, no pairs."""
        return engine.chunk * engine.stride / engine.read_rate

    def _suspect_cost(self, load: _Load, now: float) -> float:
        if load.view.suspected_until > now or load.view.ejected_until > now:
            return self._settings.suspect_cost
        return 0.0


def place_call(
    views: t.Iterable[TargetView], domain: str, now: float
) -> TargetView | None:
    """Return the target of a plain call: least work, the nearest of equals."""
    return min(
        views,
        key=lambda view: (
            view.ejected_until > now or view.suspected_until > now,
            len(view.work_items),
            view.listing.failure_domain != domain,
            view.listing.id,
        ),
        default=None,
    )
