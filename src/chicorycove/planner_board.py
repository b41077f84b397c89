"""What the planner remembers and by which bounds it plans."""

import dataclasses

from .order import Placement
from .plan import Urgency
from .rollout import RolloutSettings


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlannerSettings:
    """Bounds on what orders may do; times are in seconds."""

    load_rate: float = 1e9  # bytes a second that the weight store gives us
    max_loads: int = 4  # at once
    move_interval: float = 60.0  # between moves for demand in one service
    move_threshold: float = 1.5  # targets too few before one is moved
    demand_half_life: float = 30.0
    order_timeout: float = 10.0  # until an order must show in a report
    retry_min: float = 2.0  # after a failed load; doubled each time
    retry_max: float = 120.0
    rollout: RolloutSettings = RolloutSettings()


RESTORE = Urgency(0, "restore")


FLOOR = Urgency(1, "floor")


FILL = Urgency(2, "fill")


ROLLOUT = Urgency(3, "rollout")


DEMAND = Urgency(4, "demand")


ADJUST = Urgency(5, "adjust")


@dataclasses.dataclass(slots=True)
class SentOrder:
    placement: Placement
    sent_at: float
    failures: int


@dataclasses.dataclass(slots=True)
class PlannerBoard:
    """What a planner remembers; all of it can be built anew from reports."""

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
