"""Places requests by their predicted first event and their cost to others."""

import math
import typing as t

from .board import TargetView
from .domain_cost import DomainCost
from .engine import EngineProfile
from .placement import (
    Placement,
    PlacementMember,
    PlacementRequest,
    PlacementSettings,
)
from .placement_cost import PlacementCost
from .target_load import TargetLoad, measure_loads

if t.TYPE_CHECKING:
    from .placement_trace import PlacementTrace


class Placer:
    """Chooses the targets of prompts by the cost to all requests there."""

    def __init__(self, settings: PlacementSettings) -> None:
        self._settings = settings
        self._cost = PlacementCost(settings)

    def place(
        self,
        request: PlacementRequest,
        engine: EngineProfile,
        targets: t.Iterable[TargetView],
        now: float,
        placement_offset: float = 0.0,
        trace: "PlacementTrace | None" = None,
    ) -> Placement | None:
        """Return the cheapest placement, if any target can hold the prompt.

        Entries that miss one another's updates shift the order of targets by
        different offsets, so that each prefers other targets.  A trace records
        what was compared.
        """
        loads = measure_loads(engine, targets, now, placement_offset)
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

    def _best_of_size(
        self,
        group_size: int,
        request: PlacementRequest,
        engine: EngineProfile,
        loads: list[TargetLoad],
        total_prefill_time: float,
        needed_tokens: int,
        now: float,
        trace: "PlacementTrace | None" = None,
    ) -> Placement | None:
        """Return the cheapest placement on a group of some size, if any."""
        part_prefill_time = total_prefill_time / group_size
        part_tokens = math.ceil(request.tokens / group_size)
        usable_memory = int(engine.memory * self._settings.max_memory_share)
        member_candidates = []
        primary_candidates = []
        for load in loads:
            load_prefill_time = part_prefill_time * load.pace
            prefill_cost = self._cost.cost_to_others(
                engine, load, load_prefill_time, part_tokens, group_size > 1, now
            )
            suspect_cost = self._cost.suspect_cost(load, now)
            cost_to_others = prefill_cost + suspect_cost
            time_to_first_event = self._cost.predict_first_event(
                engine, load, load_prefill_time, part_tokens, group_size > 1
            )
            member_candidates.append((cost_to_others, time_to_first_event, load))
            own_cost = self._cost.request_cost(
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
        wait_cost, value = self._cost.wait_cost(request), request.value
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
                trace.add_misfit(group_size, ids)
            return None
        time_to_first_event = max([primary[1], *(candidate[1] for candidate in others)])
        members_cost = sum(candidate[0] for candidate in others)
        size_cost = (group_size - 1) * self._cost.member_cost(request)
        cost = undelayed_cost = primary[0] + members_cost + size_cost
        if time_to_first_event > primary[1]:
            cost += self._cost.request_cost(
                request, engine, primary[2], time_to_first_event, group_size, now
            )
            cost -= self._cost.request_cost(
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
            trace.add_group(
                group_size,
                placement.targets,
                time_to_first_event,
                cost,
                members_cost=members_cost,
                size_cost=size_cost,
                members_delay_cost=cost - undelayed_cost,
            )
        return placement

    def _add_link_costs(
        self,
        domain_cost: DomainCost,
        group_size: int,
        primary: TargetLoad,
        candidates: list[tuple[float, float, TargetLoad]],
    ) -> list[tuple[float, float, TargetLoad]]:
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
        self, missing_tokens: int, usable_memory: int, loads: list[TargetLoad]
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
