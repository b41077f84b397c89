"""Tests of the planner: single cases, and a stateful fuzz test."""

import dataclasses
import random
import unittest

from hypothesis import HealthCheck, Phase, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from chicorycove.catalogue import (
    Catalogue,
    Model,
    Service,
    ServiceKind,
    Target as TargetEntry,
    Version,
)
from chicorycove.host import Host, HostState
from chicorycove.identity import AgentId
from chicorycove.order import EngineModel, EngineState, StepKind, missing_steps
from chicorycove.plan import AgentReport, ObservedTarget
from chicorycove.planner import Planner
from chicorycove.planner_board import RESTORE, PlannerSettings
from chicorycove.rollout import Health, RolloutSettings

FENCE = 7
DOMAINS = "abc"
SIZE = 100  # bytes of each version
SETTINGS = PlannerSettings(
    load_rate=100.0,
    max_loads=2,
    move_interval=20.0,
    rollout=RolloutSettings(quiet=2.0, max_unavailable=0.5),
)


def model(name, version="1", floor=1, **fields):
    versions = tuple(
        Version(name=version_name, weights=f"{name}-{version_name}", size_bytes=SIZE)
        for version_name in "123"
    )
    return Model(
        name=name,
        owner="o",
        service="s",
        versions=versions,
        version=version,
        min_targets=floor,
        **fields,
    )


def catalogue(*entries):
    service = Service(name="s", owner="o", kind=ServiceKind.ENGINE)
    return Catalogue.build([service, *entries], 1)


class FakeTarget:
    """An agent with its engine, which carry out orders step by step."""

    def __init__(self, number, loaded=None, version="1"):
        self.name = f"t{number:02}"
        self.host = Host(
            name=self.name,
            agent="127.0.0.1:1",
            region="r",
            failure_domain=DOMAINS[number % len(DOMAINS)],
        )
        self.alive = True
        self.models = ()
        if loaded:
            self.models = (EngineModel(loaded, version),)
        self.desired = None
        self.withdrawn = False
        self.demand = 0.0
        self.load_fails = False
        self.parked = False
        self.failures = 0
        self.health = Health()
        self.remaining_load_steps = 0
        self.order_in_transit = None  # due time and placement

    @property
    def loading(self):
        return any(engine_model.state == "loading" for engine_model in self.models)

    @property
    def serving(self):
        ready = [
            engine_model
            for engine_model in self.models
            if engine_model.state == "ready"
        ]
        return ready[0].name if ready and not self.withdrawn and self.alive else None

    def observe(self):
        if not self.alive:
            return ObservedTarget(self.host)
        report = AgentReport(
            agent=AgentId(self.name, "i"),
            fence=FENCE,
            engine=EngineState(self.models),
            wanted=self.desired,
            withdrawn=self.withdrawn,
            demand=self.demand,
            failures=self.failures,
            parked=self.parked,
            error="no such weights" if self.parked else "",
            health=self.health,
        )
        return ObservedTarget(self.host, report)

    def interrupted_by(self, placement):
        steps = missing_steps(EngineState(self.models), placement)
        return self.serving and any(step.disruptive for step in steps)

    @property
    def stopping(self):
        """Return whether a received or pending order interrupts its model."""
        orders = [self.desired, self.order_in_transit and self.order_in_transit[1]]
        return any(self.interrupted_by(order) for order in orders if order)

    def needs_load(self, placement):
        steps = missing_steps(EngineState(self.models), placement)
        return any(step.kind is StepKind.LOAD_MODEL for step in steps)

    def advance(self, now, load_time):
        """Advance by one step of time."""
        if not self.alive:
            return
        if self.order_in_transit is not None and self.order_in_transit[0] <= now:
            self.desired, self.order_in_transit = self.order_in_transit[1], None
            self.parked = False
        if self.loading:
            self.remaining_load_steps -= 1
            if self.remaining_load_steps <= 0:
                self._finish_load()
            return
        if self.desired is None or self.parked:
            return
        steps = missing_steps(EngineState(self.models), self.desired)
        if not steps:
            self.withdrawn = False
            return
        if steps[0].disruptive and not self.withdrawn:
            self.withdrawn = True
            return
        self._execute_step(load_time)

    def _execute_step(self, load_time):
        desired = self.desired
        existing = [
            engine_model
            for engine_model in self.models
            if engine_model.name == desired.model
        ]
        if (
            existing
            and existing[0].state == "ready"
            and existing[0].version == desired.version
        ):
            self.models = (dataclasses.replace(existing[0], adapters=desired.adapters),)
            return
        self.models = (
            EngineModel(desired.model, desired.version, "loading", desired.adapters),
        )
        self.remaining_load_steps = load_time

    def _finish_load(self):
        state = "failed" if self.load_fails else "ready"
        self.models = (dataclasses.replace(self.models[0], state=state),)
        if self.load_fails:
            self.parked = True
            self.failures += 1
        else:
            self.failures = 0


class Fleet:
    """Fake targets and a planner, with a record of the floors it breaches."""

    def __init__(self, targets, entries, plan_settings=SETTINGS, load_time=2):
        self.targets = targets
        self.catalogue = catalogue(*entries)
        self.settings = plan_settings
        self.planner = Planner(plan_settings, FENCE)
        self.load_time = load_time
        self.now = 0.0
        self.move_count = 0
        self.plan = None
        self.floor_breaches = []
        self.order_delay = 0  # steps until a target receives an order
        self.ordered_loads = []  # times of the orders
        self.max_loading = 0

    def serving(self, name):
        """Return how many targets serve a model and will continue to."""
        drained = {
            target_name
            for target_name, entry in self.catalogue.targets.items()
            if entry.drained
        }
        return sum(
            target.serving == name
            and not target.stopping
            and target.name not in drained
            and target.host.state is HostState.LIVE
            for target in self.targets
        )

    def check_floor(self, target, placement):
        name = target.serving
        floor = self.floors().get(name, 0)
        if target.interrupted_by(placement) and self.serving(name) <= floor and floor:
            self.floor_breaches.append((self.now, target.name, name))

    def floors(self):
        return {
            entry.name: entry.min_targets for entry in self.catalogue.models.values()
        }

    def step(self):
        self.now += 1.0
        self.plan = self.planner.plan(
            self.catalogue, [target.observe() for target in self.targets], self.now
        )
        by_name = {target.name: target for target in self.targets}
        for move in self.plan.moves:
            target = by_name[move.target]
            self.check_floor(target, move.placement)
            target.order_in_transit = (self.now + self.order_delay, move.placement)
            self.move_count += 1
            if target.needs_load(move.placement):
                self.ordered_loads.append(self.now)
        for target in self.targets:
            target.advance(self.now, self.load_time)
        loading = sum(target.loading for target in self.targets)
        self.max_loading = max(self.max_loading, loading)

    def run(self, steps):
        for _ in range(steps):
            self.step()

    def run_until_stable(self, limit=400):
        """Run until more than 45 steps in a row bring no orders or loads.

        Return whether that happened within the limit of steps. The load of a
        stopped agent never advances here, so it does not count.
        """
        stable_steps = 0
        for _ in range(limit):
            self.step()
            stable = not self.plan.moves and not self.plan.waiting
            stable = stable and not any(
                target.alive and target.loading for target in self.targets
            )
            stable_steps = stable_steps + 1 if stable else 0
            if stable_steps > 45:
                return True
        return False

    def models(self):
        return sorted(
            target.models[0].name
            for target in self.targets
            if target.alive and target.models
        )

    def versions(self, name):
        return {
            engine_model.version
            for target in self.targets
            for engine_model in target.models
            if engine_model.name == name
        }


class FleetTest(unittest.TestCase):
    def test_only_loads_of_running_agents_prevent_stability(self):
        fleet = Fleet([FakeTarget(0)], [model("a")], load_time=3)
        fleet.run(2)
        self.assertTrue(fleet.targets[0].loading)
        fleet.targets[0].alive = False
        self.assertTrue(fleet.run_until_stable())
        self.assertEqual(fleet.plan.moves, ())
        fleet = Fleet([FakeTarget(0)], [model("a")], load_time=500)
        self.assertFalse(fleet.run_until_stable(limit=400))
        self.assertTrue(fleet.targets[0].loading)
        self.assertEqual(fleet.plan.waiting, ())


class FillTest(unittest.TestCase):
    def test_empty_targets_are_filled_and_spread(self):
        fleet = Fleet(
            [FakeTarget(number) for number in range(6)], [model("a"), model("b")]
        )
        self.assertTrue(fleet.run_until_stable())
        self.assertEqual(fleet.models(), ["a"] * 3 + ["b"] * 3)
        for name in "ab":
            domains = {
                target.host.failure_domain
                for target in fleet.targets
                if target.serving == name
            }
            self.assertEqual(domains, set(DOMAINS))

    def test_model_without_targets_comes_first(self):
        fleet = Fleet(
            [FakeTarget(number) for number in range(4)], [model("a"), model("b")]
        )
        fleet.targets[0] = FakeTarget(0, "a")
        fleet.step()
        self.assertEqual(fleet.plan.moves[0].placement.model, "b")
        self.assertEqual(fleet.plan.moves[0].urgency, RESTORE)

    def test_balanced_targets_are_not_moved(self):
        targets = [FakeTarget(number, "ab"[number % 2]) for number in range(6)]
        fleet = Fleet(targets, [model("a"), model("b")])
        fleet.run(100)
        self.assertEqual(fleet.move_count, 0)

    def test_new_model_takes_no_more_targets_than_needed(self):
        targets = [FakeTarget(number, "a") for number in range(6)]
        fleet = Fleet(targets, [model("a"), model("b", floor=2)])
        fleet.step()
        self.assertEqual({move.urgency for move in fleet.plan.waiting}, {RESTORE})
        self.assertTrue(fleet.run_until_stable())
        self.assertGreaterEqual(fleet.models().count("b"), 2)
        self.assertLessEqual(fleet.move_count, 3)
        self.assertEqual(fleet.floor_breaches, [])

    def test_model_without_versions_is_not_placed(self):
        bare = Model(name="a", owner="o", service="s")
        fleet = Fleet([FakeTarget(0, "a"), FakeTarget(1)], [bare])
        fleet.run(10)
        self.assertEqual(fleet.move_count, 0)

    def test_shortage_is_reported(self):
        fleet = Fleet([FakeTarget(0, "a")], [model("a", floor=3)])
        fleet.step()
        self.assertEqual(
            [problem.subject for problem in fleet.plan.problems], ["model/a"]
        )


class RolloutTest(unittest.TestCase):
    def fleet(self, count=4, floor=2, version="2", **fields):
        targets = [FakeTarget(number, "a") for number in range(count)]
        return Fleet(targets, [model("a", version, floor, **fields)])

    def test_all_targets_get_the_version_within_the_floor(self):
        fleet = self.fleet()
        self.assertTrue(fleet.run_until_stable())
        self.assertEqual(fleet.versions("a"), {"2"})
        self.assertEqual(fleet.floor_breaches, [])
        self.assertEqual(fleet.plan.rollouts[0].state, "complete")

    def test_rollout_starts_with_one_target(self):
        fleet = self.fleet(8)
        fleet.step()
        self.assertEqual(len(fleet.plan.moves) + len(fleet.plan.waiting), 1)

    def test_floor_that_stops_a_rollout_is_reported(self):
        fleet = self.fleet(2, floor=2)
        fleet.run(50)
        self.assertEqual(fleet.move_count, 0)
        self.assertEqual(fleet.plan.rollouts[0].state, "waiting")
        self.assertIn("floor", fleet.plan.rollouts[0].cause)

    def test_failing_requests_halt_a_rollout_until_the_catalogue_reverts(self):
        fleet = self.fleet(6)
        for target in fleet.targets:
            target.health = Health(100, 0, 10.0)
        while not any(
            target.serving and target.models[0].version == "2"
            for target in fleet.targets
        ):
            fleet.step()
        for target in fleet.targets:
            if target.models[0].version == "2":
                target.health = Health(10, 10, 1.0)
        fleet.run(60)
        self.assertEqual(fleet.plan.rollouts[0].state, "halted")
        self.assertIn("fail", fleet.plan.rollouts[0].cause)
        self.assertLessEqual(
            sum(target.models[0].version == "2" for target in fleet.targets), 1
        )
        fleet.catalogue = catalogue(model("a", "1", 2))
        self.assertTrue(fleet.run_until_stable())
        self.assertEqual(fleet.versions("a"), {"1"})

    def test_slow_first_token_halts_a_rollout(self):
        fleet = self.fleet(6)
        for target in fleet.targets:
            target.health = Health(100, 0, 10.0)
        while not any(
            target.serving and target.models[0].version == "2"
            for target in fleet.targets
        ):
            fleet.step()
        for target in fleet.targets:
            if target.models[0].version == "2":
                target.health = Health(100, 0, 60.0)
        fleet.run(10)
        self.assertIn("first token", fleet.plan.rollouts[0].cause)

    def test_missing_weights_halt_a_rollout_with_their_cause(self):
        fleet = self.fleet(6)
        for target in fleet.targets:
            target.load_fails = True
        fleet.run(120)
        self.assertEqual(fleet.plan.rollouts[0].state, "halted")
        self.assertIn("no such weights", fleet.plan.rollouts[0].cause)
        self.assertLessEqual(sum(target.serving is None for target in fleet.targets), 1)


class DemandTest(unittest.TestCase):
    def test_lasting_demand_moves_targets_one_by_one(self):
        targets = [FakeTarget(number, "ab"[number % 2]) for number in range(12)]
        fleet = Fleet(targets, [model("a"), model("b")])
        for target in targets:
            target.demand = 60.0 if target.models[0].name == "a" else 1.0
        fleet.run(30)
        self.assertLessEqual(fleet.move_count, 2)
        fleet.run(300)
        self.assertGreater(fleet.models().count("a"), 8)
        self.assertGreaterEqual(fleet.models().count("b"), 1)
        self.assertEqual(fleet.floor_breaches, [])


class TakeoverTest(unittest.TestCase):
    def test_loads_in_flight_count_against_the_budget(self):
        targets = [FakeTarget(number) for number in range(3)]
        fleet = Fleet(targets, [model("a")], load_time=50)
        targets[0].models = (EngineModel("a", "1", "loading"),)
        fleet.step()
        self.assertEqual(fleet.plan.moves, ())
        self.assertEqual(len(fleet.plan.waiting), 2)

    def test_order_of_an_earlier_planner_is_repeated(self):
        target = FakeTarget(0)
        fleet = Fleet([target], [model("a")])
        target.desired = (
            fleet.planner.plan(fleet.catalogue, [target.observe()], 0.0)
            .moves[0]
            .placement
        )
        target.parked = True
        fleet.planner = Planner(SETTINGS, FENCE)
        self.assertTrue(fleet.run_until_stable())
        self.assertEqual(target.serving, "a")


class StatusTest(unittest.TestCase):
    def test_catalogue_target_missing_from_the_host_list_is_reported(self):
        fleet = Fleet(
            [FakeTarget(0, "a")], [model("a"), TargetEntry(name="ghost", owner="o")]
        )
        fleet.step()
        self.assertEqual(
            [(problem.subject, problem.cause) for problem in fleet.plan.problems],
            [("target/ghost", "not in the host list")],
        )

    def test_reports_under_another_fence_are_ignored(self):
        fleet = Fleet([FakeTarget(0)], [model("a")])
        planner = Planner(SETTINGS, FENCE + 1)
        plan = planner.plan(
            fleet.catalogue, [target.observe() for target in fleet.targets], 1.0
        )
        self.assertEqual(plan.moves, ())


class PlannerMachine(RuleBasedStateMachine):
    """Checks that orders keep floors and the load budget, and converge."""

    @initialize(
        count=st.integers(1, 9),
        order_delay=st.integers(0, 3),
        load_time=st.integers(1, 4),
        loaded=st.lists(st.sampled_from(["a", "b", None]), min_size=9, max_size=9),
    )
    def create_fleet(self, count, order_delay, load_time, loaded):
        targets = [FakeTarget(number, loaded[number]) for number in range(count)]
        self.entries = {"a": model("a", floor=1), "b": model("b", floor=2)}
        self.fleet = Fleet(targets, self.entries.values(), load_time=load_time)
        self.fleet.order_delay = order_delay

    def update_catalogue(self):
        self.fleet.catalogue = catalogue(*self.entries.values())

    def target_at(self, number):
        return self.fleet.targets[number % len(self.fleet.targets)]

    @rule(steps=st.integers(1, 12))
    def run(self, steps):
        self.fleet.run(steps)

    @rule(name=st.sampled_from("ab"), version=st.sampled_from("123"))
    def change_version(self, name, version):
        self.entries[name] = dataclasses.replace(self.entries[name], version=version)
        self.update_catalogue()

    @rule(name=st.sampled_from("ab"), floor=st.integers(0, 3))
    def change_floor(self, name, floor):
        self.entries[name] = dataclasses.replace(self.entries[name], min_targets=floor)
        self.update_catalogue()

    @rule(name=st.sampled_from("ab"), adapters=st.sets(st.sampled_from("xy")))
    def change_adapters(self, name, adapters):
        self.entries[name] = dataclasses.replace(
            self.entries[name], adapters=tuple(sorted(adapters))
        )
        self.update_catalogue()

    @rule(number=st.integers(0, 8), drained=st.booleans())
    def drain(self, number, drained):
        name = self.target_at(number).name
        self.entries[name] = TargetEntry(name=name, owner="o", drained=drained)
        self.update_catalogue()

    @rule(number=st.integers(0, 8))
    def stop_agent(self, number):
        self.target_at(number).alive = False

    @rule(number=st.integers(0, 8))
    def restart(self, number):
        target = self.target_at(number)
        target.__init__(int(target.name[1:]))

    @rule(number=st.integers(0, 8), leaving=st.booleans())
    def change_host_state(self, number, leaving):
        target = self.target_at(number)
        state = HostState.LEAVING if leaving else HostState.LIVE
        target.host = dataclasses.replace(target.host, state=state)

    @rule(number=st.integers(0, 8), load_fails=st.booleans())
    def set_load_failure(self, number, load_fails):
        self.target_at(number).load_fails = load_fails

    @rule(demands=st.lists(st.floats(0, 100), min_size=9, max_size=9))
    def demand(self, demands):
        for target, demand in zip(self.fleet.targets, demands):
            target.demand = demand

    @rule()
    def replace_planner(self):
        """Start a new planner, whose only state is what agents report."""
        self.fleet.planner = Planner(SETTINGS, FENCE)
        for target in self.fleet.targets:
            target.order_in_transit = None  # agents reject orders of the old planner

    @precondition(lambda self: hasattr(self, "fleet"))
    @rule()
    def check_stable_state(self):
        for target in self.fleet.targets:
            target.load_fails = False
        assert self.fleet.run_until_stable(), "orders do not converge"
        usable = [target for target in self.fleet.targets if self.is_usable(target)]
        for target in usable:
            assert target.serving in self.entries, "a usable target has no model"
        for rollout in self.fleet.plan.rollouts:
            serving = [target for target in usable if target.serving == rollout.model]
            versions = {target.models[0].version for target in serving}
            if rollout.state == "complete":
                assert versions <= {rollout.version}
            else:
                assert rollout.cause, rollout

    def is_usable(self, target):
        entry = self.entries.get(target.name)
        drained = entry is not None and entry.drained
        live = target.host.state is HostState.LIVE
        return target.alive and live and not drained

    @precondition(lambda self: hasattr(self, "fleet"))
    @invariant()
    def floor_is_kept(self):
        assert self.fleet.floor_breaches == []

    @precondition(lambda self: hasattr(self, "fleet"))
    @invariant()
    def budget_is_kept(self):
        assert self.fleet.max_loading <= SETTINGS.max_loads
        min_interval = SIZE / SETTINGS.load_rate
        ordered = self.fleet.ordered_loads
        for previous, following in zip(ordered, ordered[1:]):
            assert following - previous >= min_interval


PlannerMachine.TestCase.settings = settings(
    max_examples=60,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    phases=[Phase.generate],
    suppress_health_check=list(HealthCheck),
)


class PlannerFuzzTest(PlannerMachine.TestCase):
    """Runs the machine under a name that test processes can import."""


class NoiseTest(unittest.TestCase):
    def test_a_few_requests_move_nothing(self):
        rng = random.Random(2)
        targets = [FakeTarget(number, "ab"[number % 2]) for number in range(12)]
        fleet = Fleet(targets, [model("a"), model("b")])
        for _ in range(2000):
            for target in targets:
                target.demand = 1.0 if rng.random() < 0.02 else 0.0
            fleet.step()
        self.assertEqual(fleet.move_count, 0)

    def test_noisy_demand_moves_nothing(self):
        rng = random.Random(1)
        targets = [FakeTarget(number, "ab"[number % 2]) for number in range(12)]
        fleet = Fleet(targets, [model("a"), model("b")])
        for _ in range(2000):
            for target in targets:
                target.demand = max(0.0, rng.gauss(20, 15))
            fleet.step()
        self.assertEqual(fleet.move_count, 0)
