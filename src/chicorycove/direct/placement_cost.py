"""Predicts when a prompt's answer begins on a target, and what it costs."""

import typing as t

from .engine import EngineProfile
from .placement import PlacementRequest, PlacementSettings
from .target_load import TargetLoad

if t.TYPE_CHECKING:
    from .placement_trace import PlacementTrace

EXPECTED_ANSWER_EVENTS = 20  # events of an answer, without a better estimate
EVENTS_PER_FREED_SLOT = 2  # events that pass until one more slot is free


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


class PlacementCost:
    """Estimates placements; times are in seconds, costs in units of value."""

    def __init__(self, settings: PlacementSettings) -> None:
        self._settings = settings

    def predict_first_event(
        self,
        engine: EngineProfile,
        load: TargetLoad,
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

    def request_cost(
        self,
        request: PlacementRequest,
        engine: EngineProfile,
        load: TargetLoad,
        time_to_first_event: float,
        group_size: int,
        now: float,
        trace: "PlacementTrace | None" = None,
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
        wait_cost = self.wait_cost(request) * request.value * time_to_first_event
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
                time_to_first_event,
                late_start=late_cost,
                pauses=pause_cost,
                past_deadline=deadline_cost,
                waiting=wait_cost,
                few_free_slots=slot_cost,
                other_domain=leaving_cost,
                order=order_cost,
            )
        return cost + order_cost

    def cost_to_others(
        self,
        engine: EngineProfile,
        load: TargetLoad,
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
            load.prefill_backlog, engine.max_pass_prefill_time
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

    def suspect_cost(self, load: TargetLoad, now: float) -> float:
        """Return the cost of a target that is avoided, or 0."""
        if load.target.is_avoided(now):
            return self._settings.suspect_cost
        return 0.0

    def wait_cost(self, request: PlacementRequest) -> float:
        """Return the share of the value lost per second to the first event."""
        if request.groups_needed:
            return self._settings.wait_cost
        return self._settings.wait_cost_without_groups

    def member_cost(self, request: PlacementRequest) -> float:
        """Return the cost of each further target of a group."""
        settings = self._settings
        hidden_share = self._hidden_share(request)
        return settings.group_member_cost + hidden_share * settings.hidden_member_cost

    def _predict_slot_wait(self, engine: EngineProfile, load: TargetLoad) -> float:
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

    def _predict_pass_time(
        self, request: PlacementRequest, engine: EngineProfile, load: TargetLoad
    ) -> float:
        own_time = engine.batch_pass_time(
            1, request.tokens + request.expected_output_tokens / 2
        )
        return load.decode_pass_time + own_time

    def _spare_slots(self, request: PlacementRequest, engine: EngineProfile) -> float:
        """Return the slots of each target that are left to other entries.

        The load it answers: entries that restart together, or are cut off,
        place what waits for them without knowing of one another's work.  The
        fewer they see, the more evenly they use all targets.
        """
        spare_slots = self._settings.spare_slots
        other_slots = max(engine.slots - spare_slots, 0)
        return spare_slots + self._hidden_share(request) * other_slots

    def _hidden_share(self, request: PlacementRequest) -> float:
        """Return the part of the entries whose work is unknown, or 0."""
        if request.visible_share >= self._settings.min_visible_share:
            return 0.0
        return 1.0 - request.visible_share
