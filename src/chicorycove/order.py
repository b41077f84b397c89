"""What an agent decides about its planner's orders.

An order says what a target is to have, not which steps to take. The agent
compares it with what the engine reports, withdraws the target from service
before a step that needs it, and reads back after each step.
"""

import dataclasses
import enum
import typing as t

from .identity import AgentId

frozen = dataclasses.dataclass(frozen=True, slots=True)

BACKOFF_MIN = 1.0  # seconds
BACKOFF_MAX = 60.0  # seconds


class Role(enum.Enum):
    """What part of a request an engine does."""

    MIXED = "mixed"
    PREFILL = "prefill"
    DECODE = "decode"
    MEMBER = "member"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Placement:
    """What one target is to have."""

    model: str
    version: str
    weights: str = ""
    adapters: tuple[str, ...] = ()
    role: Role = Role.MIXED


@frozen
class EngineModel:
    """A model as an engine has it; state is loading, ready or failed."""

    name: str
    version: str
    state: str = "ready"
    adapters: tuple[str, ...] = ()
    error: str = ""


@frozen
class EngineState:
    """What an engine has; fence is the greatest number it was ordered with."""

    models: tuple[EngineModel, ...] = ()
    role: Role = Role.MIXED
    fence: int = 0

    def find(self, name: str) -> EngineModel | None:
        """Return a model by its name."""
        return next((model for model in self.models if model.name == name), None)

    @property
    def loading(self) -> bool:
        """Tell whether a load is in flight."""
        return any(model.state == "loading" for model in self.models)


@frozen
class Order:
    """A planner's order to one life of an agent."""

    fence: int
    agent: AgentId
    placement: Placement


class StepKind(enum.Enum):
    """What an engine can be told; the words of docs/design/engine.md."""

    LOAD_MODEL = "load_model"
    UNLOAD_MODEL = "unload_model"
    LOAD_ADAPTER = "load_adapter"
    UNLOAD_ADAPTER = "unload_adapter"
    ROLE = "role"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineStep:
    """One order to an engine."""

    kind: StepKind
    model: str = ""
    version: str = ""
    weights: str = ""
    adapter: str = ""
    role: Role = Role.MIXED

    @property
    def disruptive(self) -> bool:
        """Tell whether the target is to serve nothing meanwhile."""
        return self.kind in (StepKind.LOAD_MODEL, StepKind.UNLOAD_MODEL)


# Events


@frozen
class ReportRequested:
    """A planner asked for a report, and so showed its number."""

    fence: int


@frozen
class OrderReceived:
    """A planner sent an order."""

    order: Order


@frozen
class EngineStateRead:
    """The engine told its state."""

    engine: EngineState


@frozen
class StepFailed:
    """A step was refused, or its answer was lost."""

    error: str


@frozen
class StaleStepRejected:
    """The engine has seen a greater number than the step's."""

    fence: int


@frozen
class TargetIdle:
    """Nothing runs on the target."""


@frozen
class Tick:
    """Time has passed."""


OrderEvent = (
    ReportRequested
    | OrderReceived
    | EngineStateRead
    | StepFailed
    | StaleStepRejected
    | TargetIdle
    | Tick
)


# Commands


class Objection(enum.Enum):
    """Why an agent does not follow a planner."""

    STALE_FENCE = "stale_fence"
    STALE_INCARNATION = "stale_incarnation"


@frozen
class ReportObjection:
    """Tell the planner that it is not followed, and the number that is."""

    objection: Objection
    fence: int


@frozen
class WithdrawTarget:
    """Take no new work for the target."""


@frozen
class ReadmitTarget:
    """Take new work again."""


@frozen
class ExecuteStep:
    """Give the engine a step, and read its state back."""

    step: EngineStep
    fence: int


OrderCommand = ReportObjection | WithdrawTarget | ReadmitTarget | ExecuteStep


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OrderState:
    """What an agent remembers of its planner; times are in seconds."""

    agent: AgentId
    fence: int = 0
    wanted: Placement | None = None
    order_fence: int = 0  # of the planner that wanted it
    engine: EngineState | None = None  # None until read since the last step
    withdrawn: bool = False
    acting: bool = False
    tried: bool = False  # a load, whose failure is not counted yet
    parked: bool = False  # after a failed load or takeover, until ordered again
    valid_until: float = 0.0
    failures: int = 0
    retry_at: float = 0.0
    error: str = ""

    @property
    def settled(self) -> bool:
        """Tell whether the engine has what is wanted."""
        if self.wanted is None:
            return True
        return self.engine is not None and not missing_steps(self.engine, self.wanted)


class OrderDecision(t.NamedTuple):
    """The next state, and what is to be done."""

    state: OrderState
    commands: tuple[OrderCommand, ...] = ()


def missing_steps(engine: EngineState, wanted: Placement) -> tuple[EngineStep, ...]:
    """Return the steps from what an engine has to what is wanted."""
    steps = [
        EngineStep(kind=StepKind.UNLOAD_MODEL, model=model.name)
        for model in engine.models
        if model.name != wanted.model
    ]
    model = engine.find(wanted.model)
    if model is None or model.version != wanted.version or model.state == "failed":
        steps.append(
            EngineStep(
                kind=StepKind.LOAD_MODEL,
                model=wanted.model,
                version=wanted.version,
                weights=wanted.weights,
            )
        )
        return tuple(steps)
    steps += _adapter_steps(model, wanted)
    if engine.role is not wanted.role:
        steps.append(EngineStep(kind=StepKind.ROLE, role=wanted.role))
    return tuple(steps)


def _adapter_steps(model: EngineModel, wanted: Placement) -> list[EngineStep]:
    have, want = set(model.adapters), set(wanted.adapters)
    load, unload = StepKind.LOAD_ADAPTER, StepKind.UNLOAD_ADAPTER
    return [
        EngineStep(kind=kind, model=model.name, adapter=adapter)
        for kind, adapters in ((load, want - have), (unload, have - want))
        for adapter in sorted(adapters)
    ]


def decide(
    state: OrderState, event: OrderEvent, now: float, validity: float = 10.0
) -> OrderDecision:
    """Return what an agent does.

    :param validity: how long a planner's word holds, in seconds
    """
    match event:
        case ReportRequested(fence):
            if fence < state.fence:
                return OrderDecision(
                    state, (ReportObjection(Objection.STALE_FENCE, state.fence),)
                )
            state = _follow(state, fence, now + validity)
        case OrderReceived(order):
            objection = _objection(state, order)
            if objection is not None:
                return OrderDecision(state, (ReportObjection(objection, state.fence),))
            state = _follow(state, order.fence, now + validity)
            state = _want(state, order)
        case EngineStateRead(engine):
            state = dataclasses.replace(state, engine=engine, acting=False)
            state = _note_failed_load(state, now)
        case StepFailed(error):
            state = _fail(state, error, now)
        case StaleStepRejected(fence):
            state = dataclasses.replace(
                state, fence=max(state.fence, fence), wanted=None, acting=False
            )
    return _advance(state, isinstance(event, TargetIdle), now)


def _objection(state: OrderState, order: Order) -> Objection | None:
    if order.agent != state.agent:
        return Objection.STALE_INCARNATION
    if order.fence < state.fence:
        return Objection.STALE_FENCE
    return None


def _follow(state: OrderState, fence: int, valid_until: float) -> OrderState:
    return dataclasses.replace(state, fence=fence, valid_until=valid_until)


def _want(state: OrderState, order: Order) -> OrderState:
    state = dataclasses.replace(
        state, order_fence=order.fence, parked=False, retry_at=0.0
    )
    if order.placement == state.wanted:
        return state
    return dataclasses.replace(state, wanted=order.placement, failures=0, error="")


def _note_failed_load(state: OrderState, now: float) -> OrderState:
    if state.wanted is None:
        return state
    model = state.engine.find(state.wanted.model)
    if state.tried and model is not None and model.state == "failed":
        engine = state.engine
        state = _fail(state, model.error or "load failed", now)
        return dataclasses.replace(state, engine=engine, tried=False, parked=True)
    if state.settled and not state.engine.loading:
        return dataclasses.replace(state, failures=0, error="", tried=False)
    return state


def _fail(state: OrderState, error: str, now: float) -> OrderState:
    delay = min(BACKOFF_MAX, BACKOFF_MIN * 2**state.failures)
    return dataclasses.replace(
        state,
        failures=state.failures + 1,
        retry_at=now + delay,
        error=error,
        engine=None,
        acting=False,
    )


def _advance(state: OrderState, idle: bool, now: float) -> OrderDecision:
    if state.acting or state.engine is None:
        return OrderDecision(state)
    steps = missing_steps(state.engine, state.wanted) if state.wanted else ()
    if state.engine.loading:
        return OrderDecision(state)  # a load in flight is not broken off
    if not steps:
        return _readmit(state)
    if state.parked or state.order_fence < state.fence:
        # An earlier planner's order waits until the new one repeats it.
        return OrderDecision(dataclasses.replace(state, parked=True))
    if steps[0].disruptive and not state.withdrawn:
        return OrderDecision(
            dataclasses.replace(state, withdrawn=True), (WithdrawTarget(),)
        )
    if steps[0].disruptive and not idle:
        return OrderDecision(state)
    if now < state.retry_at or now >= state.valid_until:
        return OrderDecision(state)
    tried = state.tried or steps[0].kind is StepKind.LOAD_MODEL
    state = dataclasses.replace(state, acting=True, tried=tried, engine=None)
    return OrderDecision(state, (ExecuteStep(steps[0], state.order_fence),))


def _readmit(state: OrderState) -> OrderDecision:
    if not state.withdrawn:
        return OrderDecision(dataclasses.replace(state, parked=False))
    state = dataclasses.replace(state, withdrawn=False, parked=False)
    return OrderDecision(state, (ReadmitTarget(),))
