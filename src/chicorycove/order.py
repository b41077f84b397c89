"""Decides the steps that bring an engine to the state its planner orders.

An order describes the desired state of a target, not the steps to reach it.
The agent compares that with the state that the engine reports, withdraws the
target from service before a disruptive step, and reads the engine's state
again after each step.
"""

import dataclasses
import enum
import typing as t

from .identity import AgentId

frozen = dataclasses.dataclass(frozen=True, slots=True)

BACKOFF_MIN = 1.0  # seconds
BACKOFF_MAX = 60.0  # seconds


class Role(enum.Enum):
    """The part of a request that an engine processes."""

    MIXED = "mixed"
    PREFILL = "prefill"
    DECODE = "decode"
    MEMBER = "member"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Placement:
    """The desired model, version, adapters and role of a target."""

    model: str
    version: str
    weights: str = ""
    adapters: tuple[str, ...] = ()
    role: Role = Role.MIXED


@frozen
class EngineModel:
    """A model on an engine; state is loading, ready or failed."""

    name: str
    version: str
    state: str = "ready"
    adapters: tuple[str, ...] = ()
    error: str = ""


@frozen
class EngineState:
    """An engine's models, role and the highest fencing token it has seen."""

    models: tuple[EngineModel, ...] = ()
    role: Role = Role.MIXED
    fence: int = 0

    def find(self, name: str) -> EngineModel | None:
        """Return the model of a name, or None if the engine has none."""
        return next((model for model in self.models if model.name == name), None)

    @property
    def loading(self) -> bool:
        """Return whether a load is in flight."""
        return any(model.state == "loading" for model in self.models)


@frozen
class Order:
    """A planner's order to one incarnation of an agent."""

    fence: int
    agent: AgentId
    placement: Placement


class StepKind(enum.Enum):
    """The kinds of steps, as named in docs/design/engine.md."""

    LOAD_MODEL = "load_model"
    UNLOAD_MODEL = "unload_model"
    LOAD_ADAPTER = "load_adapter"
    UNLOAD_ADAPTER = "unload_adapter"
    ROLE = "role"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineStep:
    """One step towards the desired state, sent to the engine as an order."""

    kind: StepKind
    model: str = ""
    version: str = ""
    weights: str = ""
    adapter: str = ""
    role: Role = Role.MIXED

    @property
    def disruptive(self) -> bool:
        """Return whether the target is out of service during the step."""
        return self.kind in (StepKind.LOAD_MODEL, StepKind.UNLOAD_MODEL)


# Events


@frozen
class ReportRequested:
    """A planner asked for a report; fence is its fencing token."""

    fence: int


@frozen
class OrderReceived:
    """A planner sent an order."""

    order: Order


@frozen
class EngineStateRead:
    """The engine's state was read."""

    engine: EngineState


@frozen
class StepFailed:
    """The engine refused a step, or its answer was lost."""

    error: str


@frozen
class StaleStepRejected:
    """The engine rejected a step, since it has seen a higher fencing token."""

    fence: int


@frozen
class TargetIdle:
    """No attempt is queued or runs on the target."""


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
    """Why an agent rejects a planner's message."""

    STALE_FENCE = "stale_fence"
    STALE_INCARNATION = "stale_incarnation"


@frozen
class ReportObjection:
    """Reject the planner's message; fence is the highest token accepted."""

    objection: Objection
    fence: int


@frozen
class WithdrawTarget:
    """Refuse new attempts for the target."""


@frozen
class ReadmitTarget:
    """Accept new attempts for the target again."""


@frozen
class ExecuteStep:
    """Send the engine a step, and read its state after it."""

    step: EngineStep
    fence: int


OrderCommand = ReportObjection | WithdrawTarget | ReadmitTarget | ExecuteStep


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OrderState:
    """An agent's orders and their progress; times are in seconds."""

    agent: AgentId
    fence: int = 0
    desired: Placement | None = None
    order_fence: int = 0  # fencing token of the planner that ordered it
    engine: EngineState | None = None  # None from a step until the engine is read again
    withdrawn: bool = False
    step_in_flight: bool = False
    load_attempted: bool = False  # a load was sent, its result is not recorded yet
    parked: bool = False  # awaits a new order, after a failed load or takeover
    valid_until: float = 0.0
    failures: int = 0
    retry_at: float = 0.0
    error: str = ""

    @property
    def converged(self) -> bool:
        """Return whether the engine is in the desired state."""
        if self.desired is None:
            return True
        return self.engine is not None and not missing_steps(self.engine, self.desired)


class OrderDecision(t.NamedTuple):
    """The next state, and the commands to execute."""

    state: OrderState
    commands: tuple[OrderCommand, ...] = ()


def missing_steps(engine: EngineState, desired: Placement) -> tuple[EngineStep, ...]:
    """Return the steps from an engine's state to the desired one."""
    steps = [
        EngineStep(kind=StepKind.UNLOAD_MODEL, model=model.name)
        for model in engine.models
        if model.name != desired.model
    ]
    model = engine.find(desired.model)
    if model is None or model.version != desired.version or model.state == "failed":
        steps.append(
            EngineStep(
                kind=StepKind.LOAD_MODEL,
                model=desired.model,
                version=desired.version,
                weights=desired.weights,
            )
        )
        return tuple(steps)
    steps += _adapter_steps(model, desired)
    if engine.role is not desired.role:
        steps.append(EngineStep(kind=StepKind.ROLE, role=desired.role))
    return tuple(steps)


def _adapter_steps(model: EngineModel, desired: Placement) -> list[EngineStep]:
    current, needed = set(model.adapters), set(desired.adapters)
    load, unload = StepKind.LOAD_ADAPTER, StepKind.UNLOAD_ADAPTER
    return [
        EngineStep(kind=kind, model=model.name, adapter=adapter)
        for kind, adapters in ((load, needed - current), (unload, current - needed))
        for adapter in sorted(adapters)
    ]


def decide(
    state: OrderState, event: OrderEvent, now: float, validity: float = 10.0
) -> OrderDecision:
    """Return an agent's next state and commands after an event.

    :param validity: seconds for which a planner's message stays valid
    """
    match event:
        case ReportRequested(fence):
            if fence < state.fence:
                return OrderDecision(
                    state, (ReportObjection(Objection.STALE_FENCE, state.fence),)
                )
            state = _accept_fence(state, fence, now + validity)
        case OrderReceived(order):
            objection = _find_objection(state, order)
            if objection is not None:
                return OrderDecision(state, (ReportObjection(objection, state.fence),))
            state = _accept_fence(state, order.fence, now + validity)
            state = _accept_order(state, order)
        case EngineStateRead(engine):
            state = dataclasses.replace(state, engine=engine, step_in_flight=False)
            state = _update_load_result(state, now)
        case StepFailed(error):
            state = _record_failure(state, error, now)
        case StaleStepRejected(fence):
            state = dataclasses.replace(
                state, fence=max(state.fence, fence), desired=None, step_in_flight=False
            )
    return _plan_step(state, isinstance(event, TargetIdle), now)


def _find_objection(state: OrderState, order: Order) -> Objection | None:
    if order.agent != state.agent:
        return Objection.STALE_INCARNATION
    if order.fence < state.fence:
        return Objection.STALE_FENCE
    return None


def _accept_fence(state: OrderState, fence: int, valid_until: float) -> OrderState:
    return dataclasses.replace(state, fence=fence, valid_until=valid_until)


def _accept_order(state: OrderState, order: Order) -> OrderState:
    state = dataclasses.replace(
        state, order_fence=order.fence, parked=False, retry_at=0.0
    )
    if order.placement == state.desired:
        return state
    return dataclasses.replace(state, desired=order.placement, failures=0, error="")


def _update_load_result(state: OrderState, now: float) -> OrderState:
    if state.desired is None:
        return state
    model = state.engine.find(state.desired.model)
    if state.load_attempted and model is not None and model.state == "failed":
        engine = state.engine
        state = _record_failure(state, model.error or "load failed", now)
        return dataclasses.replace(
            state, engine=engine, load_attempted=False, parked=True
        )
    if state.converged and not state.engine.loading:
        return dataclasses.replace(state, failures=0, error="", load_attempted=False)
    return state


def _record_failure(state: OrderState, error: str, now: float) -> OrderState:
    delay = min(BACKOFF_MAX, BACKOFF_MIN * 2**state.failures)
    return dataclasses.replace(
        state,
        failures=state.failures + 1,
        retry_at=now + delay,
        error=error,
        engine=None,
        step_in_flight=False,
    )


def _plan_step(state: OrderState, idle: bool, now: float) -> OrderDecision:
    if state.step_in_flight or state.engine is None:
        return OrderDecision(state)
    steps = missing_steps(state.engine, state.desired) if state.desired else ()
    if state.engine.loading:
        return OrderDecision(state)  # a load in flight is not aborted
    if not steps:
        return _readmit(state)
    if state.parked or state.order_fence < state.fence:
        # An earlier planner's order is not executed until the new planner
        # repeats it.
        return OrderDecision(dataclasses.replace(state, parked=True))
    if steps[0].disruptive and not state.withdrawn:
        return OrderDecision(
            dataclasses.replace(state, withdrawn=True), (WithdrawTarget(),)
        )
    if steps[0].disruptive and not idle:
        return OrderDecision(state)
    if now < state.retry_at or now >= state.valid_until:
        return OrderDecision(state)
    load_attempted = state.load_attempted or steps[0].kind is StepKind.LOAD_MODEL
    state = dataclasses.replace(
        state, step_in_flight=True, load_attempted=load_attempted, engine=None
    )
    return OrderDecision(state, (ExecuteStep(steps[0], state.order_fence),))


def _readmit(state: OrderState) -> OrderDecision:
    if not state.withdrawn:
        return OrderDecision(dataclasses.replace(state, parked=False))
    state = dataclasses.replace(state, withdrawn=False, parked=False)
    return OrderDecision(state, (ReadmitTarget(),))
