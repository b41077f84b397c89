"""Model check of fence and order: no older order overrides a newer one.

Two planners, numbers 1 and 2, each want their own version on one target. Any
message may be late or come twice, any answer may be lost, each agent may be
paused between its check and its act, and the agent may be replaced while the
old process goes on. The agents are the real ``order.decide``. Not in the
model: the time that a planner's word holds, and loads that take time.
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
ALWAYS = 1e9  # seconds
FIELDS = ("agents", "acts", "engine", "orders", "polled", "replaced", "led", "undone")


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """The protocol, and what a mutant leaves out of it."""

    engine_checks: bool = True
    agent_checks_fence: bool = True
    agent_checks_incarnation: bool = True
    fences: tuple[int, int] = (1, 2)
    lease: bool = True  # an earlier planner sends no order once it has lost it


class World(t.NamedTuple):
    """One state; agents and acts are of the old and the new process."""

    agents: tuple[OrderState, OrderState]
    acts: tuple[ExecuteStep | None, ExecuteStep | None] = (None, None)
    engine: EngineState = EngineState((EngineModel("m", "0"),))
    orders: frozenset[Order] = frozenset()
    polled: frozenset[tuple[int, AgentId]] = frozenset()
    replaced: bool = False
    led: bool = False  # by the newer planner
    undone: tuple[AgentId, ...] = ()  # who overrode the newer planner


def version(engine):
    return engine.models[0].version


def swapped(pair, index, item):
    return tuple(item if n == index else old for n, old in enumerate(pair))


class Model:
    """The transitions under a set of rules."""

    def __init__(self, rules):
        self.rules = rules
        self.refuted = False

    def noting(self, invariant):
        """Return an invariant that ends the search when it fails."""

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
            invariants={n: self.noting(each) for n, each in invariants.items()},
        )

    def transitions(self, state):
        if self.refuted:
            return []
        world = World(*state)
        steps = []
        if not world.replaced:
            steps.append(("replace", world._replace(replaced=True)))
        for index in range(1 + world.replaced):
            steps += self.agent_steps(world, index)
        steps += self.planner_steps(world)
        return steps

    def planner_steps(self, world):
        # A planner knows the agent that stood there when it polled.
        present = NEW if world.replaced else OLD
        index = int(world.replaced)
        steps = [("lead", world._replace(led=True))]
        for planner, fence in enumerate(self.rules.fences):
            if planner == 1 and not world.led:
                continue
            may_send = planner == 1 or not (self.rules.lease and world.led)
            if (planner, present) not in world.polled:
                asked = world._replace(polled=world.polled | {(planner, present)})
                steps.append(("poll", self.feed(asked, index, ReportRequested(fence))))
            for agent in (OLD, NEW):
                order = self.order(planner, agent)
                known = (planner, agent) in world.polled
                if may_send and known and order not in world.orders:
                    sent = world._replace(orders=world.orders | {order})
                    steps.append((f"send {planner + 1}", sent))
        return steps

    def order(self, planner, agent):
        placement = Placement(model="m", version=str(planner + 1))
        return Order(self.rules.fences[planner], agent, placement)

    def agent_steps(self, world, index):
        steps = [
            (
                "deliver",
                self.feed(world, index, OrderReceived(self.taken(order, world, index))),
            )
            for order in world.orders
        ]
        act = world.acts[index]
        if act is None:
            steps.append(
                ("read", self.feed(world, index, EngineStateRead(world.engine)))
            )
            steps.append(("idle", self.feed(world, index, TargetIdle())))
        else:
            steps += self.act_steps(world, index, act)
        return steps

    def taken(self, order, world, index):
        """Return an order as a mutant agent would see it."""
        agent = world.agents[index]
        if not self.rules.agent_checks_fence:
            order = dataclasses.replace(order, fence=max(order.fence, agent.fence))
        if not self.rules.agent_checks_incarnation:
            order = dataclasses.replace(order, agent=agent.agent)
        return order

    def act_steps(self, world, index, act):
        done = world._replace(acts=swapped(world.acts, index, None))
        if self.rules.engine_checks and act.fence < world.engine.fence:
            stale = self.feed(done, index, StaleStepRejected(world.engine.fence))
            return [("refused", stale)]
        if version(world.engine) == "2" and act.step.version == "1":
            done = done._replace(undone=(world.agents[index].agent,))
        engine = EngineState(
            (EngineModel("m", act.step.version),),
            fence=max(act.fence, world.engine.fence),
        )
        done = done._replace(engine=engine)
        return [
            ("acted", self.feed(done, index, EngineStateRead(engine))),
            ("answer lost", self.feed(done, index, StepFailed("lost"))),
        ]

    def feed(self, world, index, event):
        decision = decide(world.agents[index], event, 0.0, ALWAYS)
        agent = dataclasses.replace(
            decision.state, failures=0, retry_at=0.0, error="", tried=False
        )
        world = world._replace(agents=swapped(world.agents, index, agent))
        for command in decision.commands:
            if isinstance(command, ExecuteStep):
                world = world._replace(acts=swapped(world.acts, index, command))
        return world


def never_undone(world):
    return not world["undone"]


def undone_only_by_the_replaced(world):
    return all(world["replaced"] and agent == OLD for agent in world["undone"])


def put_right(world):
    """An agent of the present planner that reads another version acts."""
    index = int(world["replaced"])
    agent = world["agents"][index]
    if agent.wanted is None or agent.wanted.version == version(world["engine"]):
        return True
    if agent.order_fence < agent.fence:
        return True  # the planner, which sees the version, orders it again
    if agent.engine != world["engine"] or agent.acting:
        return True
    return bool(decide(agent, TargetIdle(), 0.0, ALWAYS).commands)


class CheckTestCase(unittest.TestCase):
    def check(self, rules, **invariants):
        result = check_safety(Model(rules).protocol(invariants), 400_000)
        return result, {n: p["holds"] for n, p in result["properties"].items()}


class OrderModelTest(CheckTestCase):
    def test_engine_that_checks(self):
        rules = Rules(lease=False)
        result, holds = self.check(rules, undone=never_undone, right=put_right)
        self.assertTrue(result["exhaustive"])
        self.assertEqual(holds, {"undone": True, "right": True})
        self.assertGreater(result["reachable_states"], 1000)

    def test_engine_that_ignores_numbers(self):
        result, holds = self.check(
            Rules(engine_checks=False),
            undone=undone_only_by_the_replaced,
            right=put_right,
        )
        self.assertTrue(result["exhaustive"])
        self.assertEqual(holds, {"undone": True, "right": True})


class MutantTest(CheckTestCase):
    def refuted(self, rules, invariant):
        _, holds = self.check(rules, it=invariant)
        self.assertIs(holds["it"], False)

    def test_engine_that_does_not_check_can_be_undone(self):
        self.refuted(Rules(engine_checks=False), never_undone)

    def test_agent_that_does_not_check_the_fence(self):
        rules = Rules(engine_checks=False, agent_checks_fence=False)
        self.refuted(rules, undone_only_by_the_replaced)

    def test_agent_that_does_not_check_the_incarnation(self):
        rules = Rules(engine_checks=False, agent_checks_incarnation=False)
        self.refuted(rules, undone_only_by_the_replaced)

    def test_planner_that_sends_without_its_lease(self):
        rules = Rules(engine_checks=False, lease=False)
        self.refuted(rules, undone_only_by_the_replaced)

    def test_planners_that_share_a_number(self):
        self.refuted(Rules(fences=(1, 1)), never_undone)
