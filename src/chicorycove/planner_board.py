"""The planner's settings and its state between plans."""

import dataclasses

from .order import Placement
from .plan import Urgency
from .rollout import RolloutSettings


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlannerSettings:
    """Limits on the planner's orders; times are in seconds."""

    load_rate: float = 1e9  # bytes per second that the weight store provides
    max_loads: int = 4  # concurrent model loads
    move_interval: float = 60.0  # between two demand moves in one service
    move_threshold: float = 1.5  # shortage in targets from which one is moved
    demand_half_life: float = 30.0
    order_timeout: float = 10.0  # until a report must confirm an order
    retry_min: float = 2.0  # delay after a failed load, doubled each time
    retry_max: float = 120.0
    rollout: RolloutSettings = RolloutSettings()


RESTORE = Urgency(0, "restore")  # no target serves the model


FLOOR = Urgency(1, "floor")  # fewer than its min_targets serve the model


FILL = Urgency(2, "fill")  # the target has no model, or its load failed


ROLLOUT = Urgency(3, "rollout")


DEMAND = Urgency(4, "demand")  # the model's share of the demand has grown


ADJUST = Urgency(5, "adjust")  # changes that need no model load


@dataclasses.dataclass(slots=True)
class SentOrder:
    """An order that no report has confirmed yet."""

    placement: Placement
    sent_at: float
    failures: int  # failed loads in the target's report at that time


@dataclasses.dataclass(slots=True)
class PlannerBoard:
    """A planner's state between plans; it can be rebuilt from reports."""

    next_load_at: float | None = None
    sent_orders: dict[str, SentOrder] = dataclasses.field(default_factory=dict)
    smoothed_demand: dict[str, float] = dataclasses.field(default_factory=dict)
    demand_updated_at: float | None = None
    rebalanced_at: dict[str, float] = dataclasses.field(default_factory=dict)
    halt_causes: dict[tuple[str, str], str] = dataclasses.field(default_factory=dict)
    parked_since: dict[str, float] = dataclasses.field(default_factory=dict)
    first_ready_at: dict[tuple[str, str], float] = dataclasses.field(
        default_factory=dict
    )
