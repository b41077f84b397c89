"""Reports from targets, and the plan made from them."""

import dataclasses
import typing as t

from .host import Host
from .identity import AgentId
from .order import EngineState, Placement
from .rollout import Health, RolloutState

frozen = dataclasses.dataclass(frozen=True, slots=True)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AgentReport:
    """A target's state as its agent reports it to the current planner."""

    agent: AgentId
    fence: int
    engine: EngineState
    wanted: Placement | None = None
    withdrawn: bool = False
    demand: float = 0.0  # requests running and queued
    failures: int = 0
    parked: bool = False  # idle after a failed load or takeover until the next order
    error: str = ""
    health: Health = Health()


@frozen
class ObservedTarget:
    """A listed host; report is None without a recent one from its agent."""

    host: Host
    report: AgentReport | None = None


class Urgency(t.NamedTuple):
    """The priority of a move; the lowest rank is ordered first."""

    rank: int
    name: str


@frozen
class PlannedMove:
    """An order to be sent to a target, and its cause."""

    target: str
    agent: AgentId
    placement: Placement
    urgency: Urgency
    cause: str


@frozen
class PlanProblem:
    """A part of the catalogue that cannot be put into effect, or a failure."""

    subject: str
    cause: str


@frozen
class Plan:
    """Moves to order now, moves that the load budget delays, and status."""

    moves: tuple[PlannedMove, ...] = ()
    waiting: tuple[PlannedMove, ...] = ()
    problems: tuple[PlanProblem, ...] = ()
    rollouts: tuple[RolloutState, ...] = ()
