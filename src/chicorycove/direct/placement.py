"""Places requests by their predicted first event and their cost to others.

The load is a mix of short streams that must not pause for long, and of prompts
whose prefill fills whole passes of an engine.
"""

import dataclasses
import math
import typing as t

from .board import TargetView, WorkItem
from .domain_cost import DomainCost
from .engine import EngineProfile
from .placement_trace import CostParts, GroupEstimate, PlacementTrace

EXPECTED_ANSWER_EVENTS = 20  # events of an answer, without a better estimate
EVENTS_PER_FREED_SLOT = 2  # events that pass until one more slot is free

frozen = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


@frozen
class PlacementSettings:
    """Weights of a placement's cost; times are in seconds."""

    # Numbers of targets that a prompt may be split among.
    group_sizes: tuple[int, ...] = (1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 17)
    group_min_tokens: int = 12_000  # shorter prompts are never split
    loss_start_share: float = 0.7  # share of a limit from which value is lost
    full_loss_share: float = 1.1  # share of a limit at which all value is lost
    late_loss_share: float = 0.75  # share of its value that a late answer loses
    # Share of the value lost in addition for each further limit.
    excess_loss_rate: float = 0.2
    min_limit: float = 0.05  # limits that are shorter or past count as this
    wait_cost: float = 0.01  # share of the value per second to the first event
    # The same if no prompt needs a group to be in time: short prompts then use
    # idle targets, which are not kept free for groups.
    wait_cost_without_groups: float = 0.1
    decode_delay_cost: float = 0.15  # cost per decoding request and second of prefill
    # Share of the value of a waiting request, per second that it is delayed.
    # It holds for peer updates without delay and with 20 ms of delay.
    overtake_cost: float = 0.2
    pack_cost: float = 0.1  # cost of the last target in order over the first
    spare_slots: int = 3  # slots of a target left to other entries
    spare_slot_cost: float = 0.04  # share of the value for each of these that is used
    # Share of the entries whose work must be known for the slots of a target
    # to be used up to the spare ones.
    min_visible_share: float = 0.9
    other_domain_cost: float = 0.005  # cost of a target in another failure domain
    group_member_cost: float = 0.02  # cost of each further target of a group
    # Added if the work of all other entries is unknown: the parts of groups
    # are prefilled before what these have sent to the same targets.
    hidden_member_cost: float = 0.3
    suspect_cost: float = 50.0  # cost of a target that is avoided
    # Time to connect, send the request and receive the first event.
    transit_time: float = 0.005
    max_memory_share: float = 0.92  # share of an engine's memory that is used


@frozen
class PlacementRequest:
    """A prompt to be placed; times are in seconds."""

    tokens: int
    max_output_tokens: int
    expected_output_tokens: int
    objective_at: float
    deadline: float
    max_gap: float
    value: float
    failure_domain: str
    domain_cost: DomainCost | None = None  # None if links have no price
    groups_needed: bool = True  # whether some prompts need groups to be in time
    visible_share: float = 1.0  # part of the entries whose work is known


@frozen
class PlacementMember:
    """A target that prefills a part, and the memory that it is to hold."""

    target: str
    held_tokens: int = 0


@frozen
class Placement:
    """A target, the other members of its group, and the prediction.

    The target is the primary: it decodes the answer, and members only prefill.
    """

    target: str
    members: tuple[PlacementMember, ...] = ()
    held_tokens: int = 0  # tokens held by the target itself
    time_to_first_event: float = 0.0  # seconds from now
    cost: float = 0.0
    candidates: int = 0  # targets that were compared
    free_slots: int = 1  # of the target, as far as is known
    prefill_time: float = 0.0  # seconds for each part

    @property
    def targets(self) -> tuple[str, ...]:
        """Return the targets of the whole group."""
        return (self.target, *(member.target for member in self.members))


@dataclasses.dataclass(slots=True)
class _Load:
    """A target's load during one decision; times are in seconds."""

    target: TargetView
    position: float  # in [0, 1), in the order that entries share
    decoding_items: list[WorkItem]
    prefill_items: list[WorkItem]  # items that prefill or wait for it
    decode_pass_time: float  # time of a pass that only decodes
    prefill_backlog: float  # remaining prefill time of all items
    held_tokens: int
    occupied_slots: int  # requests that have a slot or wait for one
    pace: float  # observed over predicted time; the times above include it


def expected_loss(
    value: float, duration: float, limit: float, settings: PlacementSettings
) -> float:
    """Return the expected loss of value for a duration near its limit."""
    limit = max(limit, settings.min_limit)
    loss_start = settings.loss_start_share * limit
    full_loss_start = settings.full_loss_share * limit
    if duration <= loss_start:
        return 0.0
    if duration <= full_loss_start:
        return value * (duration - loss_start) / (full_loss_start - loss_start)
    return value * (
        1.0 + settings.excess_loss_rate * (duration - full_loss_start) / limit
    )


class Placer:
    """Chooses the targets of prompts by the cost to all requests there."""

    def __init__(self, settings: PlacementSettings) -> None:
        self._settings = settings

    def place(
        self,
        request: PlacementRequest,
        engine: EngineProfile,
        targets: t.Iterable[TargetView],
        now: float,
        placement_offset: float = 0.0,
        trace: PlacementTrace | None = None,
    ) -> Placement | None:
        """Return the cheapest placement, if any target can hold the prompt.

        Entries that miss one another's updates shift the order of targets by
        different offsets, so that each prefers other targets.  A trace records
        what was compared.
        """
        loads = self._build_loads(engine, targets, now, placement_offset)
        if not loads:
            return None
        best = None
        total_prefill_time = engine.prefill_time(request.tokens)
        needed_tokens = request.tokens + request.max_output_tokens
        sizes = (1,) if request.tokens < self._settings.group_min_tokens else None
        for group_size in sizes or self._settings.group_sizes:
            if group_size > len(loads):
                break
            placement = self._best_of_size(
                group_size,
                request,
                engine,
                loads,
                total_prefill_time,
                needed_tokens,
                now,
                trace,
            )
            if placement and (best is None or placement.cost < best.cost):
                best = placement
        return best

    def _build_loads(
        self,
        engine: EngineProfile,
        targets: t.Iterable[TargetView],
        now: float,
        placement_offset: float,
    ) -> list[_Load]:
        ordered = sorted(targets, key=lambda target: target.listing.id)
        loads = []
        for index, target in enumerate(ordered):
            decoding_items = [
                item for item in target.work_items.values() if item.decoding
            ]
            prefill_items = [
                item for item in target.work_items.values() if not item.decoding
            ]
            context_tokens = sum(item.context_tokens for item in decoding_items)
            decode_pass_time = (
                engine.batch_pass_time(len(decoding_items), context_tokens)
                if decoding_items
                else 0.0
            )
            prefill_backlog = sum(
                item.remaining_prefill_time(now) for item in prefill_items
            )
            held_tokens = sum(item.memory for item in target.work_items.values())
            pace = target.pace
            loads.append(
                _Load(
                    target,
                    (index / len(ordered) + placement_offset) % 1.0,
                    decoding_items,
                    prefill_items,
                    decode_pass_time * pace,
                    prefill_backlog * pace,
                    held_tokens,
                    len(decoding_items)
                    + sum(1 for item in prefill_items if item.generates_answer),
                    pace,
                )
            )
        return loads

    def _best_of_size(
        self,
        group_size: int,
        request: PlacementRequest,
        engine: EngineProfile,
        loads: list[_Load],
        total_prefill_time: float,
        needed_tokens: int,
        now: float,
        trace: PlacementTrace | None = None,
    ) -> Placement | None:
        """Return the cheapest placement on a group of some size, if any."""
        part_prefill_time = total_prefill_time / group_size
        part_tokens = math.ceil(request.tokens / group_size)
        usable_memory = int(engine.memory * self._settings.max_memory_share)
        member_candidates = []
        primary_candidates = []
        for load in loads:
            load_prefill_time = part_prefill_time * load.pace
            prefill_cost = self._cost_to_others(
                engine, load, load_prefill_time, part_tokens, group_size > 1, now
            )
            suspect_cost = self._suspect_cost(load, now)
            cost_to_others = prefill_cost + suspect_cost
            time_to_first_event = self._predict_first_event(
                engine, load, load_prefill_time, part_tokens, group_size > 1
            )
            member_candidates.append((cost_to_others, time_to_first_event, load))
            own_cost = self._request_cost(
                request, engine, load, time_to_first_event, group_size, now, trace
            )
            cost = cost_to_others + own_cost
            missing_tokens = max(load.held_tokens + needed_tokens - usable_memory, 0)
            primary_candidates.append((missing_tokens, cost, time_to_first_event, load))
            if trace is not None:
                trace.add_target(
                    group_size,
                    load.target.listing.id,
                    cost,
                    prefill_cost,
                    suspect_cost,
                    missing_tokens,
                )
        # A target that can hold all tokens is better than one that needs
        # reservations at others.
        primary = min(
            primary_candidates, key=lambda candidate: (candidate[0] > 0, candidate[1])
        )[1:]
        if request.domain_cost is not None and group_size > 1:
            member_candidates = self._add_link_costs(
                request.domain_cost, group_size, primary[2], member_candidates
            )
        wait_cost, value = self._wait_cost(request), request.value
        others = sorted(
            (
                candidate
                for candidate in member_candidates
                if candidate[2] is not primary[2]
            ),
            key=lambda candidate: candidate[0] + candidate[1] * wait_cost * value,
        )[: group_size - 1]
        held_tokens = max(min(needed_tokens, usable_memory - primary[2].held_tokens), 0)
        members = self._assign_memory(
            needed_tokens - held_tokens,
            usable_memory,
            [candidate[2] for candidate in others],
        )
        if members is None:
            if trace is not None:
                group = [primary[2], *(candidate[2] for candidate in others)]
                ids = tuple(load.target.listing.id for load in group)
                trace.groups.append(
                    GroupEstimate(size=group_size, targets=ids, fits=False)
                )
            return None
        time_to_first_event = max([primary[1], *(candidate[1] for candidate in others)])
        members_cost = sum(candidate[0] for candidate in others)
        size_cost = (group_size - 1) * self._member_cost(request)
        cost = undelayed_cost = primary[0] + members_cost + size_cost
        if time_to_first_event > primary[1]:
            cost += self._request_cost(
                request, engine, primary[2], time_to_first_event, group_size, now
            )
            cost -= self._request_cost(
                request, engine, primary[2], primary[1], group_size, now
            )
        if request.domain_cost is not None:
            time_to_first_event += request.domain_cost.caller_delays.get(
                primary[2].target.listing.failure_domain, 0.0
            )
        placement = Placement(
            target=primary[2].target.listing.id,
            members=members,
            held_tokens=held_tokens,
            time_to_first_event=time_to_first_event,
            cost=cost,
            candidates=len(loads),
            free_slots=engine.slots - primary[2].occupied_slots,
            prefill_time=part_prefill_time,
        )
        if trace is not None:
            trace.groups.append(
                GroupEstimate(
                    size=group_size,
                    targets=placement.targets,
                    fits=True,
                    time_to_first_event=time_to_first_event,
                    cost=cost,
                    members_cost=members_cost,
                    size_cost=size_cost,
                    members_delay_cost=cost - undelayed_cost,
                )
            )
        return placement

    def _add_link_costs(
        self,
        domain_cost: DomainCost,
        group_size: int,
        primary: _Load,
        candidates: list[tuple[float, float, _Load]],
    ) -> list[tuple[float, float, _Load]]:
        """Add what members outside the primary's failure domain cost.

        The load it answers: a long prompt's parts are most of what its group
        sends between domains.
        """
        primary_domain = primary.target.listing.failure_domain
        delays = domain_cost.delays.get(primary_domain, {})
        member_cost = domain_cost.member_cost(group_size)
        changed = []
        for candidate in candidates:
            cost, time_to_first_event, load = candidate
            domain = load.target.listing.failure_domain
            if domain != primary_domain:
                delay = delays.get(domain, 0.0)
                candidate = (cost + member_cost, time_to_first_event + delay, load)
            changed.append(candidate)
        return changed

    def _assign_memory(
        self, missing_tokens: int, usable_memory: int, loads: list[_Load]
    ) -> tuple[PlacementMember, ...] | None:
        """Divide what the primary cannot hold, emptiest member first."""
        held_tokens = dict.fromkeys((load.target.listing.id for load in loads), 0)
        for load in sorted(loads, key=lambda load: load.held_tokens):
            held_tokens[load.target.listing.id] = max(
                min(missing_tokens, usable_memory - load.held_tokens), 0
            )
            missing_tokens -= held_tokens[load.target.listing.id]
        if missing_tokens > 0:
            return None
        return tuple(
            PlacementMember(target=target, held_tokens=tokens)
            for target, tokens in held_tokens.items()
        )

    def _predict_first_event(
        self,
        engine: EngineProfile,
        load: _Load,
        part_prefill_time: float,
        part_tokens: int,
        preempting: bool,
    ) -> float:
        """Return the time until the first event after a part's prefill."""
        passes = engine.prefill_passes(part_tokens)
        delay = part_prefill_time
        if not preempting:
            delay += load.prefill_backlog
        if load.decoding_items:
            # A prompt joins the next pass, which starts after half a pass on
            # average, and its first event is sent when its last pass ends.
            delay += load.decode_pass_time * (passes + 0.5)
        if load.occupied_slots >= engine.slots:
            delay += self._predict_slot_wait(engine, load)
        return delay + engine.first_token_delay + self._settings.transit_time

    def _predict_slot_wait(self, engine: EngineProfile, load: _Load) -> float:
        """Return the time until a slot is free for a new request."""
        events_left = sorted(item.events_left for item in load.decoding_items)
        waiting_ahead = load.occupied_slots - engine.slots
        if waiting_ahead < len(events_left):
            events = events_left[waiting_ahead]
        else:  # the requests that wait already need complete answers first
            events = EXPECTED_ANSWER_EVENTS + EVENTS_PER_FREED_SLOT * waiting_ahead
        return events * max(
            load.decode_pass_time, engine.steps_per_pass * engine.step_time
        )

    def _request_cost(
        self,
        request: PlacementRequest,
        engine: EngineProfile,
        load: _Load,
        time_to_first_event: float,
        group_size: int,
        now: float,
        trace: PlacementTrace | None = None,
    ) -> float:
        """Return the value that a request itself loses on a target.

        Leaving the caller's failure domain costs the link's delay and price.
        The load it answers: a domain with too few targets, beside others that
        have free ones, or that are as full.
        """
        settings = self._settings
        failure_domain = load.target.listing.failure_domain
        leaves_domain = failure_domain != request.failure_domain
        leaving_cost = settings.other_domain_cost
        domain_cost = request.domain_cost
        if leaves_domain and domain_cost is not None:
            leaving_cost += domain_cost.primary_cost
            time_to_first_event += domain_cost.caller_delays.get(failure_domain, 0.0)
        value = request.value * settings.late_loss_share
        late_cost = expected_loss(
            value, time_to_first_event, request.objective_at - now, settings
        )
        # What waits for prefill may prefill between its first events.
        pause = self._predict_pass_time(request, engine, load) + load.prefill_backlog
        if group_size > 1:
            pause += engine.steps_per_pass * engine.group_step_delay
        pause_cost = expected_loss(value, pause, request.max_gap, settings)
        deadline_cost = 0.0
        if now + time_to_first_event > request.deadline:
            deadline_cost = request.value
        wait_cost = self._wait_cost(request) * request.value * time_to_first_event
        slot_cost = 0.0
        missing_slots = self._spare_slots(request, engine) - (
            engine.slots - load.occupied_slots
        )
        if missing_slots > 0:
            # Another entry may choose this target at the same time.
            slot_cost = settings.spare_slot_cost * request.value * missing_slots
        if not leaves_domain:
            leaving_cost = 0.0
        # Short prompts fill the order from one end and long ones from the
        # other, so that prefill delays few decoding requests.
        position = (
            load.position
            if request.tokens < settings.group_min_tokens
            else 1 - load.position
        )
        order_cost = settings.pack_cost * position
        cost = late_cost + pause_cost + deadline_cost + wait_cost
        cost += slot_cost
        cost += leaving_cost
        if trace is not None:
            trace.add_own_costs(
                CostParts(
                    late_start=late_cost,
                    pauses=pause_cost,
                    past_deadline=deadline_cost,
                    waiting=wait_cost,
                    few_free_slots=slot_cost,
                    other_domain=leaving_cost,
                    order=order_cost,
                ),
                time_to_first_event,
            )
        return cost + order_cost

    def _wait_cost(self, request: PlacementRequest) -> float:
        if request.groups_needed:
            return self._settings.wait_cost
        return self._settings.wait_cost_without_groups

    def _spare_slots(self, request: PlacementRequest, engine: EngineProfile) -> float:
        """Return the slots of each target that are left to other entries.

        The load it answers: entries that restart together, or are cut off,
        place what waits for them without knowing of one another's work.  The
        fewer they see, the more evenly they use all targets.
        """
        spare_slots = self._settings.spare_slots
        other_slots = max(engine.slots - spare_slots, 0)
        return spare_slots + self._hidden_share(request) * other_slots

    def _member_cost(self, request: PlacementRequest) -> float:
        settings = self._settings
        hidden_share = self._hidden_share(request)
        return settings.group_member_cost + hidden_share * settings.hidden_member_cost

    def _hidden_share(self, request: PlacementRequest) -> float:
        """Return the part of the entries whose work is unknown, or 0."""
        if request.visible_share >= self._settings.min_visible_share:
            return 0.0
        return 1.0 - request.visible_share

    def _predict_pass_time(
        self, request: PlacementRequest, engine: EngineProfile, load: _Load
    ) -> float:
        own_time = engine.batch_pass_time(
            1, request.tokens + request.expected_output_tokens / 2
        )
        return load.decode_pass_time + own_time

    def _cost_to_others(
        self,
        engine: EngineProfile,
        load: _Load,
        part_prefill_time: float,
        part_tokens: int,
        preempting: bool,
        now: float,
    ) -> float:
        """Return the value that a prefill costs the requests on a target.

        Decoding requests pause for longer.  A group's part is prefilled before
        all that waits, including the parts of earlier groups.
        """
        settings = self._settings
        added_time = part_prefill_time * engine.max_pass_share(part_tokens)
        gap_before = load.decode_pass_time + min(
            load.prefill_backlog, self._max_pass_prefill_time(engine)
        )
        gap_after = gap_before + added_time
        cost = 0.0
        for item in load.decoding_items:
            if item.missed_objective or item.max_gap <= 0:
                continue
            value = item.value * settings.late_loss_share
            loss = expected_loss(value, gap_after, item.max_gap, settings)
            cost += loss - expected_loss(value, gap_before, item.max_gap, settings)
            cost += settings.decode_delay_cost * added_time
        if preempting:
            for item in load.prefill_items:
                value = item.value * settings.late_loss_share
                limit = item.objective_at - item.placed_at
                time_to_prefill_end = (
                    max(item.expected_prefill_end, now) - item.placed_at
                )
                loss = expected_loss(
                    value, time_to_prefill_end + part_prefill_time, limit, settings
                )
                cost += loss - expected_loss(
                    value, time_to_prefill_end, limit, settings
                )
                cost += settings.overtake_cost * item.value * part_prefill_time
        return cost

    def _max_pass_prefill_time(self, engine: EngineProfile) -> float:
        """Return the most prefill time in a pass, without token pairs."""
        return engine.chunk_tokens * engine.steps_per_pass / engine.prefill_rate

    def _suspect_cost(self, load: _Load, now: float) -> float:
        if load.target.is_avoided(now):
            return self._settings.suspect_cost
        return 0.0


def needs_groups(
    engine: EngineProfile, longest_objective: float, settings: PlacementSettings
) -> bool:
    """Return whether a prompt as large as an engine needs a group in time.

    The objective, in seconds, is the longest of the routes to its service.
    """
    tokens = int(engine.memory * settings.max_memory_share)
    return engine.prefill_time(tokens) > longest_objective


class CallRank(t.NamedTuple):
    """What calls' targets are compared by, the most important first."""

    avoided: bool
    work: int  # requests there, and the margin of a target in another domain
    leaves_domain: bool
    target: str


def rank_for_call(
    target: TargetView, failure_domain: str, now: float, work_margin: int
) -> CallRank:
    """Return the rank of a target for a plain call; the least is best."""
    return CallRank(*_order_for_call(target, failure_domain, now, work_margin))


def place_call(
    targets: t.Iterable[TargetView],
    failure_domain: str,
    now: float,
    work_margin: int = 0,
) -> TargetView | None:
    """Return the target for a plain call: least work, then same domain.

    A target in another failure domain must have less work by more than a
    margin.  The load it answers: calls that take about as long as one another,
    on few targets in each domain, where one call less is no gain.
    """

    def order(target: TargetView) -> tuple[bool, int, bool, str]:
        return _order_for_call(target, failure_domain, now, work_margin)

    return min(targets, key=order, default=None)


def _order_for_call(
    target: TargetView, failure_domain: str, now: float, work_margin: int
) -> tuple[bool, int, bool, str]:
    """Return the fields of a rank, as a tuple because it is made faster."""
    leaves_domain = target.listing.failure_domain != failure_domain
    work = len(target.work_items) + (work_margin if leaves_domain else 0)
    return target.is_avoided(now), work, leaves_domain, target.listing.id
