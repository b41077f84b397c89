"""Executes a planner's orders on an agent's engine."""

import asyncio
import dataclasses

import msgspec

from .backend import TargetClient
from .clock import Clock
from .exceptions import TargetError, TargetFailed
from .identity import AgentId
from .log import LOGGER, log_failure
from .order import (
    EngineModel,
    EngineState,
    EngineStateRead,
    ExecuteStep,
    Order,
    OrderCommand,
    OrderEvent,
    OrderReceived,
    OrderState,
    Placement,
    ReadmitTarget,
    ReportObjection,
    ReportRequested,
    Role,
    StaleStepRejected,
    StepFailed,
    TargetIdle,
    Tick,
    WithdrawTarget,
    decide,
)
from .plan import AgentReport
from .rollout import Health
from .target import TargetController
from .wire import link_pb2 as wire

READ_INTERVAL = 0.5  # seconds between reads of the engine's state
STEP_READ_INTERVAL = 0.1  # seconds between reads while an order is executed
STALE_STATUS = 409


class Executor:
    """Brings one engine to the state that the planner orders."""

    def __init__(
        self,
        agent: AgentId,
        client: TargetClient,
        target: TargetController,
        clock: Clock,
    ) -> None:
        self._client = client
        self._target = target
        self._clock = clock
        self._state = OrderState(agent=agent)
        self._engine = EngineState()
        self._health = Health()
        self._step_task: asyncio.Task | None = None

    def handle_direct(self, message: wire.Direct) -> wire.Report:
        """Return the answer to a planner's poll or order."""
        commands = self._handle(self._read_direct(message))
        for command in commands:
            match command:
                case ReportObjection(objection, fence):
                    return wire.Report(fence=fence, objection=objection.value)
        report = msgspec.json.encode(self._build_report())
        return wire.Report(fence=self._state.fence, report=report)

    def count_answer(self, time_to_first_token: float) -> None:
        """Count a complete answer; the time is in seconds."""
        self._health += Health(finished=1, first_token=time_to_first_token)

    def count_failure(self) -> None:
        """Count an attempt that failed at the target."""
        self._health += Health(failed=1)

    async def run(self) -> None:
        """Poll the engine and execute orders until cancelled."""
        while True:
            with log_failure("orders not handled"):
                await self._poll_engine()
                self._handle(TargetIdle() if self._target.idle else Tick())
            converged = self._state.converged
            await asyncio.sleep(READ_INTERVAL if converged else STEP_READ_INTERVAL)

    def _read_direct(self, message: wire.Direct) -> OrderEvent:
        if not message.placement:
            return ReportRequested(message.fence)
        placement = msgspec.json.decode(message.placement, type=Placement)
        agent = AgentId(self._state.agent.target, message.incarnation)
        return OrderReceived(Order(message.fence, agent, placement))

    def _build_report(self) -> AgentReport:
        state, load = self._state, self._target.load
        return AgentReport(
            agent=state.agent,
            fence=state.fence,
            engine=self._engine,
            wanted=state.desired,
            withdrawn=state.withdrawn or load.leaving,
            demand=float(load.running + load.queued),
            failures=state.failures,
            parked=state.parked,
            error=state.error,
            health=self._health,
        )

    def _handle(self, event: OrderEvent) -> tuple[OrderCommand, ...]:
        decision = decide(self._state, event, self._clock.now())
        self._state = decision.state
        for command in decision.commands:
            match command:
                case WithdrawTarget():
                    self._target.withdraw()
                case ReadmitTarget():
                    self._target.readmit()
                case ExecuteStep():
                    self._step_task = asyncio.create_task(self._execute_step(command))
        return decision.commands

    async def _poll_engine(self) -> None:
        if self._state.step_in_flight:
            return
        try:
            engine = await self._read_engine()
        except TargetError as error:
            LOGGER.debug("engine state not read: %s", error)
            return
        if not self._state.step_in_flight:
            self._update_engine(engine)

    async def _read_engine(self) -> EngineState:
        try:
            return _engine_state(await self._client.get("/engine/state"))
        except (KeyError, TypeError, ValueError) as error:
            raise TargetFailed(f"engine state is malformed: {error!r}") from None

    def _update_engine(self, engine: EngineState) -> None:
        if _versions(engine) != _versions(self._engine):
            self._health = Health()
        self._engine = engine
        self._handle(EngineStateRead(engine))

    async def _execute_step(self, command: ExecuteStep) -> None:
        body = _order_body(command)
        LOGGER.info("order to the engine", extra={"order": body})
        try:
            answer = await self._client.send_order(body)
        except TargetError as error:
            self._handle(StepFailed(str(error)))
            return
        if answer.status == STALE_STATUS:
            self._handle(StaleStepRejected(int(answer.body.get("fence", 0))))
        elif answer.status >= 400:
            self._handle(StepFailed(f"order refused with status {answer.status}"))
        else:
            self._update_engine(_engine_state(answer.body))


def _order_body(command: ExecuteStep) -> dict[str, str | int]:
    step = dataclasses.asdict(command.step)
    step["kind"] = command.step.kind.value
    step["role"] = command.step.role.value
    return step | {"fence": command.fence}


def _engine_state(body: dict) -> EngineState:
    models = tuple(
        EngineModel(
            name,
            model["version"],
            model["state"],
            tuple(sorted(model.get("adapters", ()))),
            model.get("error", ""),
        )
        for name, model in sorted(body["models"].items())
    )
    return EngineState(models, Role(body["role"]), body["fence"])


def _versions(engine: EngineState) -> set[tuple[str, str]]:
    return {(model.name, model.version) for model in engine.models}
