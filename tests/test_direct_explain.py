"""What an explanation says of a placement, and that it changes nothing."""

import random
import unittest

from chicorycove.direct.board import TargetListing, TargetView
from chicorycove.direct.domain_cost import DomainCost
from chicorycove.direct.placement import PlacementRequest, PlacementSettings, Placer
from chicorycove.direct.placement_trace import PlacementTrace

from .direct import ENGINE
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


if __name__ == "__main__":
    unittest.main()
