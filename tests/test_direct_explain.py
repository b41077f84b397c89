"""What an explanation says of a placement, and that it changes nothing."""

import collections
import copy
import random
import unittest

from chicorycove import Reason
from chicorycove.direct.board import (
    Avoidance,
    Exclusion,
    TargetListing,
    TargetView,
    WorkItemKey,
)
from chicorycove.direct.domain_cost import DomainCost, DomainCostSettings
from chicorycove.direct.event import (
    DomainEvacuated,
    PeersUpdated,
    PeerUpdateReceived,
    QuarantineReport,
    RateLimitReport,
    TargetAnswer,
    TargetAnswered,
)
from chicorycove.direct.placement import PlacementRequest, PlacementSettings
from chicorycove.direct.placement_trace import PlacementTrace
from chicorycove.direct.placer import Placer
from chicorycove.direct.settings import DirectSettings
from chicorycove.lifecycle import StopRequested, Tick

from .direct import (
    COLD_DEPLOYMENT,
    DEPLOYMENT,
    ENGINE,
    LONG,
    LOOKUP,
    ORDER,
    SHORT,
    DirectWorld,
    make_inbound,
)
from .test_direct_placement import decoding_item, waiting_item

DOMAIN_COST = DomainCost(
    primary_cost=0.3,
    members_cost=0.2,
    delays={"here": {"there": 0.003}, "there": {"here": 0.003}},
    caller_delays={"there": 0.003},
)


def draw_views(rng):
    """Return targets with drawn work, of which some are avoided."""
    views = []
    for number in range(rng.randint(1, 20)):
        id = f"e{number:02}"
        domain = rng.choice(("here", "there"))
        view = TargetView(TargetListing(id, "model", "10.0.0.1:1", domain, 8))
        for key in range(rng.randint(0, 10)):
            item = decoding_item(key, id, memory=rng.randint(1_000, 100_000))
            if rng.random() < 0.3:
                item = waiting_item(key, id, rng.random(), rng.random())
            view.work_items[item.key] = item
        view.pace = rng.choice((1.0, 1.0, 3.0))
        view.suspected_until = rng.choice((0.0, 0.0, 2.0))
        views.append(view)
    return views


def draw_request(rng):
    tokens = int(10 ** rng.uniform(2, 6))
    return PlacementRequest(
        tokens=tokens,
        max_output_tokens=460,
        expected_output_tokens=460,
        objective_at=rng.choice((0.3, 3.0)),
        deadline=rng.choice((0.2, 10.0)),
        max_gap=0.2,
        value=1.0 + tokens / 10_000,
        failure_domain="here",
        domain_cost=rng.choice((None, DOMAIN_COST)),
    )


class PlacementTraceTest(unittest.TestCase):
    """Guards against a trace that differs from what was placed."""

    def setUp(self):
        self.placer = Placer(PlacementSettings())
        self.cases = []
        for seed in range(100):
            rng = random.Random(seed)
            views, request = draw_views(rng), draw_request(rng)
            trace = PlacementTrace()
            traced = self.placer.place(request, ENGINE, views, 1.0, 0.0, trace)
            placed = self.placer.place(request, ENGINE, views, 1.0)
            self.cases.append((trace, traced, placed))

    def test_placement_is_the_same_with_a_trace(self):
        for _, traced, placed in self.cases:
            self.assertEqual(traced, placed)

    def test_sum_of_the_parts_is_the_cost(self):
        for trace, _, _ in self.cases:
            for estimates in trace.targets.values():
                for estimate in estimates:
                    self.assertEqual(estimate.parts.total, estimate.cost)

    def test_best_group_of_the_trace_is_the_placement(self):
        group_count = 0
        for trace, _, placed in self.cases:
            groups = [group for group in trace.groups if group.fits]
            if placed is None:
                self.assertEqual(groups, [])
                continue
            best = min(groups, key=lambda group: group.cost)
            self.assertEqual(best.targets, placed.targets)
            self.assertEqual(best.cost, placed.cost)
            self.assertEqual(best.time_to_first_event, placed.time_to_first_event)
            group_count += best.size > 1
            primary = next(
                estimate
                for estimate in trace.targets[best.size]
                if estimate.target == placed.target
            )
            added = best.members_cost + best.size_cost + best.members_delay_cost
            self.assertAlmostEqual(primary.cost + added, best.cost, 9)
        self.assertGreater(group_count, 10)


DOMAINS = ("here", "there", "beyond")
PARTS = ("part-1", "part-2")
STATE_COUNT = 100
REQUEST_COUNT = 8  # in each state


def draw_world(rng):
    """Return an entry with drawn beliefs about its targets."""
    settings = DirectSettings()
    if rng.random() < 0.3:
        settings = DirectSettings(
            domain_cost=DomainCostSettings(price_per_byte=1e-6), max_targets=4
        )
    deployment = rng.choice((DEPLOYMENT, COLD_DEPLOYMENT))
    world = DirectWorld(
        rng.choice((0, 1, 4, 9)), rng.choice((1, 3)), settings, deployment, DOMAINS
    )
    names = frozenset(f"entry-{number}" for number in range(1, rng.choice((2, 5))))
    unresponsive = names - {"entry-1"} if rng.random() < 0.3 else frozenset()
    world.handle(PeersUpdated(names, unresponsive))
    # Some states are of targets that are still cold, others of warm ones.
    for _ in range(rng.choice((1, 10))):
        world.now += 0.4
        world.handle(Tick())
    for view in list(world.board.targets.values()):
        draw_beliefs(world, view, rng)
    if rng.random() < 0.3:
        for domain in rng.sample(DOMAINS, rng.randint(1, 3)):
            world.handle(DomainEvacuated(domain))
    if rng.random() < 0.3:
        trial_at = world.now + rng.uniform(-1.0, 5.0)
        report = QuarantineReport((PARTS[0],), world.now, trial_at, 0, world.now)
        world.handle(PeerUpdateReceived("entry-2", quarantines=(report,)))
    if rng.random() < 0.1:
        world.handle(StopRequested())
        world.now += rng.choice((0.1, 4.0))
    return world


def draw_beliefs(world, view, rng):
    """Let an entry learn something of a target, or of work there."""
    id, agent = view.listing.id, view.listing.agent
    for number in range(rng.choice((0, 2, 9))):
        item = decoding_item(0, id, memory=rng.randint(1_000, 60_000))
        item.key = WorkItemKey(id, number)
        if rng.random() < 0.3:
            item.decoding = False
            item.prefill_time = rng.random()
            item.expected_prefill_end = world.now + rng.random()
        world.handle(PeerUpdateReceived("entry-2", (item,)))
    match rng.randrange(12):
        case 0:
            backoff = TargetAnswer(503, True, retry_after=rng.uniform(0.1, 5.0))
            world.handle(TargetAnswered(agent, backoff))
        case 1:
            report = RateLimitReport(id, rng.uniform(0.1, 3.0), world.now, "1")
            world.handle(PeerUpdateReceived("entry-2", rate_limits=(report,)))
        case 2:
            world.handle(TargetAnswered(agent, TargetAnswer(503, True, leaving=True)))
        case 3:
            view.ejected_until = world.now + 2.0
        case 4:
            view.suspected_until = world.now + 1.0
        case 5:
            view.pace = 4.0
        case 6:
            cold = TargetAnswer(200, False, cold_time_left=2.0)
            world.handle(TargetAnswered(agent, cold))


def draw_requests(rng):
    """Yield the time to a request, and the request's fields."""
    for number in range(REQUEST_COUNT):
        route = rng.choice((SHORT, SHORT, LONG, ORDER, LOOKUP))
        fields = {"tokens": int(10 ** rng.uniform(2, 6))} if route.streamed else {}
        if rng.random() < 0.3:
            fields["time_limit"] = 10 ** rng.uniform(-2, 1)
        if rng.random() < 0.2:
            regions = rng.choice(([], ["north"], ["south"]))
            fields["regions"] = frozenset(regions)
        if rng.random() < 0.3:
            fields["parts"] = PARTS
        pause = rng.choice((0.0, 0.01, 0.3, 1.5))  # the last one counts as a pause
        yield pause, f"r{number}", route, fields


class ExplanationTest(unittest.TestCase):
    """Guards against explanations that are wrong, or that change something."""

    def play(self, seed, explain):
        """Yield a request's commands and explanation in a drawn state."""
        rng = random.Random(seed)
        world = draw_world(rng)
        for pause, id, route, fields in draw_requests(rng):
            world.now += pause
            explanation = None
            inbound = make_inbound(id, route, world.now, **fields)
            if explain:
                targets = copy.deepcopy(world.board.targets)
                for _ in range(3):
                    explanation = world.dispatcher.explain(inbound, world.now)
                self.assertEqual(world.board.targets, targets)
                self.assertNotIn(id, world.board.requests)
            commands = world.receive(id, route, **fields)
            yield world, id, commands, explanation

    def test_explanation_names_what_the_dispatcher_does(self):
        outcomes = collections.Counter()
        for seed in range(STATE_COUNT):
            for world, id, commands, explanation in self.play(seed, explain=True):
                with self.subTest(seed=seed, request=id):
                    outcomes[self.check(world, id, commands, explanation)] += 1
        for outcome in (
            "target",
            "group",
            Reason.REQUEST_QUARANTINED,
            Reason.NO_TARGET,
            Reason.SERVICE_EVACUATED,
            Reason.TARGET_LIMIT,
            Reason.DEADLINE_PAST,
            Reason.DEADLINE_INFEASIBLE,
            Reason.STOPPING,
        ):
            self.assertGreater(outcomes[outcome], 3, outcome)

    def check(self, world, id, commands, explanation):
        """Compare an explanation with commands; return the outcome."""
        failures = [
            command for command in commands if type(command).__name__ == "FailRequest"
        ]
        if failures:
            refusal = explanation.refusal
            self.assertIsNone(explanation.placement)
            self.assertEqual(refusal.reason, failures[0].reason)
            self.assertEqual(refusal.retry_after, failures[0].retry_after)
            return refusal.reason
        placement = explanation.placement
        items = world.board.requests[id].work_items
        self.assertIsNone(explanation.refusal)
        self.assertEqual(placement.targets, tuple(item.target for item in items))
        self.assertEqual(
            [placement.held_tokens, *(each.held_tokens for each in placement.members)],
            [item.memory for item in items],
        )
        for command in commands:
            if type(command).__name__ == "SendAttempt":
                self.assertEqual(command.placement, placement)
        compared = {each.target: each for each in explanation.targets}
        for target in placement.targets:
            self.assertIsNone(compared[target].excluded)
        primary = compared[placement.target]
        if primary.call_work is not None:
            works = [each.call_work for each in compared.values() if not each.avoided]
            works = [work for work in works if work is not None]
            self.assertEqual(primary.call_work, min(works, default=primary.call_work))
        elif not placement.members:
            self.assertEqual(primary.cost, placement.cost)
            self.assertEqual(primary.time_to_first_event, placement.time_to_first_event)
        return "group" if placement.members else "target"

    def test_decisions_after_explanations_are_the_same_as_without(self):
        for seed in range(STATE_COUNT):
            explained = self.play(seed, explain=True)
            for played in self.play(seed, explain=False):
                with self.subTest(seed=seed, request=played[1]):
                    self.assertEqual(next(explained)[2], played[2])

    def test_share_of_a_cold_target_after_a_pause(self):
        # In a pause an entry's share falls to one request, which it has sent.
        world = DirectWorld(shops=1, deployment=COLD_DEPLOYMENT)
        world.handle(PeersUpdated(frozenset({"entry-1", "entry-2"})))
        for _ in range(2):
            world.now += 0.5
            world.handle(Tick())
        world.send("first", LOOKUP)
        world.now += 1.2
        inbound = make_inbound("second", LOOKUP, world.now)
        explanation = world.dispatcher.explain(inbound, world.now)
        commands = world.receive("second", LOOKUP)
        outcome = self.check(world, "second", commands, explanation)
        self.assertIs(outcome, Reason.TARGET_LIMIT)

    def test_every_cause_is_named(self):
        causes = set()
        for seed in range(STATE_COUNT):
            for world, _, _, explanation in self.play(seed, explain=True):
                for target in explanation.targets:
                    causes.add(target.excluded)
                    causes.update(each.cause for each in target.avoided)
                    view = world.board.targets[target.target]
                    if target.cost is not None and target.cost_parts.avoidance:
                        self.assertTrue(target.avoided)
                    self.assertIs(view.listing.service, explanation.service)
        self.assertLessEqual(
            {*Exclusion, Avoidance.SUSPECTED, Avoidance.EJECTED}, causes
        )


if __name__ == "__main__":
    unittest.main()
