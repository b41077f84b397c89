"""What is known of targets, and what is to be done with them."""

import dataclasses
import typing as t

from .host import Host
from .identity import AgentId
from .order import EngineState, Placement
from .rollout import Health, RolloutState

frozen = dataclasses.dataclass(frozen=True, slots=True)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AgentReport:
    """What an agent tells the planner that it follows."""

    agent: AgentId
    fence: int
    engine: EngineState
    wanted: Placement | None = None
    withdrawn: bool = False
    demand: float = 0.0  # requests running and queued
    failures: int = 0
    parked: bool = False  # after a failed load or takeover, until ordered again
    error: str = ""
    health: Health = Health()


@frozen
class ObservedTarget:
    """A host that the planner sees; report is None if its agent is unheard."""

    host: Host
    report: AgentReport | None = None


class Urgency(t.NamedTuple):
    """What is ordered first; a lower number goes first."""

    rank: int
    name: str


@frozen
class PlannedMove:
    """An order to be sent, and why."""

    target: str
    agent: AgentId
    placement: Placement
    urgency: Urgency
    cause: str


@frozen
class PlanProblem:
    """Something that the catalogue says and that cannot be so."""

    subject: str
    cause: str


@frozen
class Plan:
    """What is to be sent now, and how things stand."""

    moves: tuple[PlannedMove, ...] = ()
    waiting: tuple[PlannedMove, ...] = ()
    problems: tuple[PlanProblem, ...] = ()
    rollouts: tuple[RolloutState, ...] = ()
