"""Model check of orders: no older order overrides a newer one.

Two planners with the fencing tokens 1 and 2 each order their own version on
one target. Any message may be delayed or duplicated, any answer may be lost,
each agent may be paused between its check and its step, and the agent may be
replaced while the old process still runs. The agents run the production code,
``order.decide``. The model leaves out the expiry of a planner's message and
the time that a load takes.
"""

import dataclasses
import typing as t
import unittest

from minicheck import Protocol, check_safety

from chicorycove.identity import AgentId
from chicorycove.order import (
    EngineModel,
    EngineState,
    EngineStateRead,
    ExecuteStep,
    Order,
    OrderReceived,
    OrderState,
    Placement,
    ReportRequested,
    StaleStepRejected,
    StepFailed,
    TargetIdle,
    decide,
)

OLD, NEW = AgentId("t", "old"), AgentId("t", "new")
NEVER_EXPIRES = 1e9  # seconds
FIELDS = (
    "agents",
    "steps_in_flight",
    "engine",
    "orders",
    "polls",
    "replaced",
    "newer_planner_leads",
    "overridden_by",
)


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """The checks of the protocol; a mutant leaves some out."""

    engine_checks: bool = True
    agent_checks_fence: bool = True
    agent_checks_incarnation: bool = True
    fences: tuple[int, int] = (1, 2)
    lease: bool = True  # a planner that has lost its lease sends no order


class World(t.NamedTuple):
    """One state; agents and steps are of the old and the new process."""

    agents: tuple[OrderState, OrderState]
    steps_in_flight: tuple[ExecuteStep | None, ExecuteStep | None] = (None, None)
    engine: EngineState = EngineState((EngineModel("m", "0"),))
    orders: frozenset[Order] = frozenset()
    polls: frozenset[tuple[int, AgentId]] = frozenset()
    replaced: bool = False
    newer_planner_leads: bool = False
    overridden_by: tuple[AgentId, ...] = ()  # agents that undid its order


def version(engine):
    return engine.models[0].version


def replace_item(pair, index, item):
    return tuple(item if n == index else old for n, old in enumerate(pair))


class Model:
    """The transitions under a set of rules."""

    def __init__(self, rules):
        self.rules = rules
        self.refuted = False

    def stop_on_failure(self, invariant):
        """Return an invariant that ends the search once it fails."""

        def check(world):
            holds = invariant(world)
            self.refuted |= not holds
            return holds

        return check

    def protocol(self, invariants):
        start = World((OrderState(agent=OLD), OrderState(agent=NEW)))
        return Protocol(
            name="order",
            candidate=False,
            fields=FIELDS,
            initial=start,
            transitions=self.transitions,
            invariants={
                n: self.stop_on_failure(each) for n, each in invariants.items()
            },
        )

    def transitions(self, state):
        if self.refuted:
            return []
        world = World(*state)
        steps = []
        if not world.replaced:
            steps.append(("replace", world._replace(replaced=True)))
        for index in range(1 + world.replaced):
            steps += self.agent_transitions(world, index)
        steps += self.planner_transitions(world)
        return steps

    def planner_transitions(self, world):
        # A planner addresses the incarnation that answered its poll.
        present = NEW if world.replaced else OLD
        index = int(world.replaced)
        steps = [("lead", world._replace(newer_planner_leads=True))]
        for planner, fence in enumerate(self.rules.fences):
            if planner == 1 and not world.newer_planner_leads:
                continue
            may_send = planner == 1 or not (
                self.rules.lease and world.newer_planner_leads
            )
            if (planner, present) not in world.polls:
                polled = world._replace(polls=world.polls | {(planner, present)})
                steps.append(
                    ("poll", self.handle(polled, index, ReportRequested(fence)))
                )
            for agent in (OLD, NEW):
                order = self.order(planner, agent)
                has_polled = (planner, agent) in world.polls
                if may_send and has_polled and order not in world.orders:
                    sent = world._replace(orders=world.orders | {order})
                    steps.append((f"send {planner + 1}", sent))
        return steps

    def order(self, planner, agent):
        placement = Placement(model="m", version=str(planner + 1))
        return Order(self.rules.fences[planner], agent, placement)

    def agent_transitions(self, world, index):
        steps = [
            (
                "deliver",
                self.handle(
                    world,
                    index,
                    OrderReceived(self.received_order(order, world, index)),
                ),
            )
            for order in world.orders
        ]
        command = world.steps_in_flight[index]
        if command is None:
            steps.append(
                ("read", self.handle(world, index, EngineStateRead(world.engine)))
            )
            steps.append(("idle", self.handle(world, index, TargetIdle())))
        else:
            steps += self.step_transitions(world, index, command)
        return steps

    def received_order(self, order, world, index):
        """Return an order as seen by an agent that may omit a check."""
        agent = world.agents[index]
        if not self.rules.agent_checks_fence:
            order = dataclasses.replace(order, fence=max(order.fence, agent.fence))
        if not self.rules.agent_checks_incarnation:
            order = dataclasses.replace(order, agent=agent.agent)
        return order

    def step_transitions(self, world, index, command):
        done = world._replace(
            steps_in_flight=replace_item(world.steps_in_flight, index, None)
        )
        if self.rules.engine_checks and command.fence < world.engine.fence:
            stale = self.handle(done, index, StaleStepRejected(world.engine.fence))
            return [("refused", stale)]
        if version(world.engine) == "2" and command.step.version == "1":
            done = done._replace(overridden_by=(world.agents[index].agent,))
        engine = EngineState(
            (EngineModel("m", command.step.version),),
            fence=max(command.fence, world.engine.fence),
        )
        done = done._replace(engine=engine)
        return [
            ("step taken", self.handle(done, index, EngineStateRead(engine))),
            ("answer lost", self.handle(done, index, StepFailed("lost"))),
        ]

    def handle(self, world, index, event):
        decision = decide(world.agents[index], event, 0.0, NEVER_EXPIRES)
        agent = dataclasses.replace(
            decision.state, failures=0, retry_at=0.0, error="", load_attempted=False
        )
        world = world._replace(agents=replace_item(world.agents, index, agent))
        for command in decision.commands:
            if isinstance(command, ExecuteStep):
                world = world._replace(
                    steps_in_flight=replace_item(world.steps_in_flight, index, command)
                )
        return world


def never_overridden(world):
    return not world["overridden_by"]


def overridden_only_by_replaced_agent(world):
    return all(world["replaced"] and agent == OLD for agent in world["overridden_by"])


def corrects_version(world):
    """Return whether a current agent corrects a version that it reads."""
    index = int(world["replaced"])
    agent = world["agents"][index]
    if agent.desired is None or agent.desired.version == version(world["engine"]):
        return True
    if agent.order_fence < agent.fence:
        return True  # the planner sees the version and repeats its order
    if agent.engine != world["engine"] or agent.step_in_flight:
        return True
    return bool(decide(agent, TargetIdle(), 0.0, NEVER_EXPIRES).commands)


class CheckTestCase(unittest.TestCase):
    def check(self, rules, **invariants):
        result = check_safety(Model(rules).protocol(invariants), 400_000)
        return result, {n: p["holds"] for n, p in result["properties"].items()}


class OrderModelTest(CheckTestCase):
    def test_engine_that_checks(self):
        rules = Rules(lease=False)
        result, holds = self.check(
            rules, not_overridden=never_overridden, corrected=corrects_version
        )
        self.assertTrue(result["exhaustive"])
        self.assertEqual(holds, {"not_overridden": True, "corrected": True})
        self.assertGreater(result["reachable_states"], 1000)

    def test_engine_that_ignores_fencing_tokens(self):
        result, holds = self.check(
            Rules(engine_checks=False),
            not_overridden=overridden_only_by_replaced_agent,
            corrected=corrects_version,
        )
        self.assertTrue(result["exhaustive"])
        self.assertEqual(holds, {"not_overridden": True, "corrected": True})


class MutantTest(CheckTestCase):
    def assert_refuted(self, rules, invariant):
        _, holds = self.check(rules, it=invariant)
        self.assertIs(holds["it"], False)

    def test_engine_that_does_not_check_can_be_overridden(self):
        self.assert_refuted(Rules(engine_checks=False), never_overridden)

    def test_agent_that_does_not_check_the_fence(self):
        rules = Rules(engine_checks=False, agent_checks_fence=False)
        self.assert_refuted(rules, overridden_only_by_replaced_agent)

    def test_agent_that_does_not_check_the_incarnation(self):
        rules = Rules(engine_checks=False, agent_checks_incarnation=False)
        self.assert_refuted(rules, overridden_only_by_replaced_agent)

    def test_planner_that_sends_without_its_lease(self):
        rules = Rules(engine_checks=False, lease=False)
        self.assert_refuted(rules, overridden_only_by_replaced_agent)

    def test_planners_that_share_a_fencing_token(self):
        self.assert_refuted(Rules(fences=(1, 1)), never_overridden)
