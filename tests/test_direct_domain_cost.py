"""Placement across failure domains, by what leaving the caller's costs."""

import dataclasses
import random
import unittest

from chicorycove.direct.board import TargetListing, TargetView, WorkItem, WorkItemKey
from chicorycove.direct.call_placement import place_call
from chicorycove.direct.domain_cost import (
    DomainCostSettings,
    LeavingReason,
    compute_domain_cost,
    find_leaving_reason,
)
from chicorycove.direct.event import RequestReceived, TargetListed
from chicorycove.direct.http import HttpRequest
from chicorycove.direct.placement import PlacementRequest, PlacementSettings
from chicorycove.direct.placer import Placer
from chicorycove.direct.route import LinkDelay, RoutingTable
from chicorycove.direct.settings import DirectSettings
from chicorycove.platform.headers import PlatformDialect

from .direct import (
    DEPLOYMENT,
    ENGINE,
    LONG,
    SHORT,
    DirectWorld,
    make_inbound,
    only_command,
)

DOMAINS = ("a", "b")
LINKS = (LinkDelay(domains=frozenset(DOMAINS), delay=0.002),)
PRICED = DomainCostSettings(price_per_byte=1e-7)
SHORT_BODY = 20_000  # bytes
# Targets and costs that the build without domain costs chose.
RECORDED = [
    (("t01b",), 0.04572059),
    (("t03b", "t01b", "t02a"), 0.110671569),
    (("t04b", "t00b", "t03b", "t02b"), 23.54248486),
    (("t00a",), 0.01072059),
    (("t03a", "t04a", "t04b"), 28.64152945),
]


def make_views(count_by_domain):
    """Return the idle targets of failure domains, whose order alternates."""
    views = []
    for domain, count in count_by_domain.items():
        for number in range(count):
            listing = TargetListing(
                f"t{number:02}{domain}", "model", "10.0.0.1:1", domain, ENGINE.slots
            )
            views.append(TargetView(listing))
    return views


def make_request(domain, settings=PRICED, tokens=5_000, objective=0.3, max_gap=0.2):
    return PlacementRequest(
        tokens=tokens,
        max_output_tokens=1_600,
        expected_output_tokens=1_600,
        objective_at=objective,
        deadline=15.0,
        max_gap=max_gap,
        value=1.0 + tokens / 10_000,
        failure_domain=domain,
        domain_cost=compute_domain_cost(settings, LINKS, domain, 4 * tokens, 1_600),
    )


def make_long_request(domain, settings=PRICED, tokens=200_000):
    return make_request(domain, settings, tokens, objective=3.0, max_gap=0.8)


class Fleet:
    """Targets of two failure domains, and the prompts placed on them."""

    def __init__(self, count_by_domain):
        self.views = make_views(count_by_domain)
        self.placer = Placer(PlacementSettings())
        self.crossings = dict.fromkeys(DOMAINS, 0)
        self._by_id = {view.listing.id: view for view in self.views}

    def domain_of(self, target):
        return self._by_id[target].listing.failure_domain

    def choose(self, request, targets=None):
        return self.placer.place(request, ENGINE, targets or self.views, 0.0)

    def place(self, request):
        """Place a prompt, and count it if it leaves its caller's domain."""
        placement = self.choose(request)
        if self.domain_of(placement.target) != request.failure_domain:
            self.crossings[request.failure_domain] += 1
        self.load(self._by_id[placement.target], 1)
        return placement

    def load(self, view, count):
        for _ in range(count):
            key = WorkItemKey("peer", len(view.work_items))
            view.work_items[key] = WorkItem(
                key,
                view.listing.id,
                context_tokens=5_000.0,
                memory=6_600,
                events_left=20,
                max_gap=0.2,
                value=1.5,
                decoding=True,
            )

    def load_domain(self, domain, count):
        for view in self.views:
            if view.listing.failure_domain == domain:
                self.load(view, count)


class LeavingTest(unittest.TestCase):
    def test_idle_targets_of_the_own_domain_are_used(self):
        # Without a margin, the order that entries share moves most prompts
        # to another domain although their own is idle.
        fleet = Fleet({"a": 4, "b": 4})
        for domain in DOMAINS:
            for _ in range(4):
                fleet.place(make_request(domain))
        self.assertEqual(fleet.crossings, {"a": 0, "b": 0})

    def test_full_own_domain_is_left(self):
        # A price must not keep prompts waiting for a slot beside idle targets.
        fleet = Fleet({"a": 2, "b": 2})
        fleet.load_domain("a", ENGINE.slots)
        placement = fleet.choose(make_request("a"))
        self.assertEqual(fleet.domain_of(placement.target), "b")

    def test_full_domains_do_not_swap_load(self):
        # Two full domains that send their prompts to one another pay for the
        # link in both directions and gain nothing.
        for extra in (0, 4):
            with self.subTest(extra=extra):
                fleet = Fleet({"a": 3, "b": 3})
                for domain in DOMAINS:
                    fleet.load_domain(domain, ENGINE.slots + extra)
                rng = random.Random(extra)
                for _ in range(60):
                    fleet.place(make_request(rng.choice(DOMAINS)))
                self.assertEqual(min(fleet.crossings.values()), 0, fleet.crossings)

    def test_domain_short_of_targets_sends_the_excess_only(self):
        # Each decision sees the work of the ones before, so that the prompts
        # that fit into the own domain stay there.
        fleet = Fleet({"a": 1, "b": 6})
        for _ in range(30):
            fleet.place(make_request("a"))
        own = next(view for view in fleet.views if view.listing.failure_domain == "a")
        self.assertGreaterEqual(len(own.work_items), ENGINE.slots - 3)
        self.assertGreater(fleet.crossings["a"], 15)

    def test_own_domain_without_usable_targets_is_left(self):
        # Not even a price above all values may leave prompts to targets that
        # cannot be reached.
        fleet = Fleet({"a": 2, "b": 2})
        for view in fleet.views:
            if view.listing.failure_domain == "a":
                view.suspected_until = 1.0
        dear = DomainCostSettings(price_per_byte=1.0)
        placement = fleet.choose(make_request("a", dear))
        self.assertEqual(fleet.domain_of(placement.target), "b")

    def test_domain_that_is_cut_off_keeps_its_prompts(self):
        # Targets beyond a broken link are suspected; a full domain must not
        # send to them.
        fleet = Fleet({"a": 2, "b": 2})
        fleet.load_domain("a", ENGINE.slots + 4)
        for view in fleet.views:
            if view.listing.failure_domain == "b":
                view.suspected_until = 1.0
        placement = fleet.choose(make_request("a"))
        self.assertEqual(fleet.domain_of(placement.target), "a")


class MarginTest(unittest.TestCase):
    def count_when_left(self, domain, margin, other_load):
        """Return the own load at which a prompt first leaves its domain."""
        settings = DomainCostSettings(price_per_byte=1e-9, margin=margin)
        other = next(name for name in DOMAINS if name != domain)
        for own_load in range(3 * ENGINE.slots):
            fleet = Fleet({"a": 1, "b": 1})
            fleet.load_domain(domain, own_load)
            fleet.load_domain(other, other_load)
            placement = fleet.choose(make_request(domain, settings))
            if fleet.domain_of(placement.target) == other:
                return own_load
        return None

    def test_between_two_thresholds_no_domain_sends_to_the_other(self):
        # With one threshold for both domains, small changes of their load
        # turn the direction in which prompts leave.
        for load in (2, ENGINE.slots - 3, ENGINE.slots - 2):
            with self.subTest(load=load):
                for domain in DOMAINS:
                    left_at = self.count_when_left(domain, 0.1, load)
                    self.assertGreater(left_at, load)

    def test_larger_margin_leaves_later(self):
        loads = [self.count_when_left("a", margin, 1) for margin in (0.0, 0.1, 0.3)]
        self.assertEqual(loads, sorted(loads))
        self.assertLess(loads[0], loads[-1])


class PriceTest(unittest.TestCase):
    def test_cost_grows_with_the_bytes_of_request_and_answer(self):
        settings = DomainCostSettings(
            price_per_byte=0.001, margin=0.5, answer_bytes_per_token=2.0
        )
        cost = compute_domain_cost(settings, LINKS, "a", 1_000, 250)
        self.assertAlmostEqual(cost.primary_cost, 0.5 + 1.0 + 0.5)
        self.assertAlmostEqual(cost.member_cost(4), (0.5 + 1.0) / 4)

    def test_cost_stays_below_that_of_a_suspected_target(self):
        cost = compute_domain_cost(
            DomainCostSettings(price_per_byte=1.0), LINKS, "a", 4_000_000, 1_600
        )
        self.assertLess(cost.primary_cost, PlacementSettings().suspect_cost)

    def test_link_delay_counts_there_and_back(self):
        # An entry that omits the delay takes a target that is late by it.
        views = make_views({"b": 1})
        placer = Placer(PlacementSettings())
        near = placer.place(make_request("b"), ENGINE, views, 0.0)
        far = placer.place(make_request("a"), ENGINE, views, 0.0)
        difference = far.time_to_first_event - near.time_to_first_event
        self.assertAlmostEqual(difference, 2 * LINKS[0].delay)

    def test_slow_link_is_not_taken_for_a_small_gain(self):
        # A link that is slower than the objective makes an idle target there
        # worse than a busy one here.
        settings = DomainCostSettings(price_per_byte=1e-12, margin=0.0)
        chosen = {}
        for delay in (0.0, 0.2):
            fleet = Fleet({"a": 1, "b": 1})
            fleet.load_domain("a", ENGINE.slots - 2)
            links = (LinkDelay(domains=frozenset(DOMAINS), delay=delay),)
            cost = compute_domain_cost(settings, links, "a", SHORT_BODY, 1_600)
            request = dataclasses.replace(make_request("a"), domain_cost=cost)
            chosen[delay] = fleet.domain_of(fleet.choose(request).target)
        self.assertEqual(chosen, {0.0: "b", 0.2: "a"})

    def test_link_without_a_delay_in_the_deployment_counts_as_fast(self):
        cost = compute_domain_cost(PRICED, (), "a", SHORT_BODY, 1_600)
        self.assertEqual(cost.caller_delays, {})
        placement = Placer(PlacementSettings()).place(
            dataclasses.replace(make_request("a"), domain_cost=cost),
            ENGINE,
            make_views({"b": 1}),
            0.0,
        )
        self.assertIsNotNone(placement)

    def test_link_within_one_domain_is_ignored(self):
        # A deployment may list the delay within a domain as a link.
        links = (LinkDelay(domains=frozenset("a"), delay=0.1),)
        cost = compute_domain_cost(PRICED, links, "a", SHORT_BODY, 1_600)
        self.assertEqual(cost.caller_delays, {})


class GroupTest(unittest.TestCase):
    def crossing_members(self, settings, count_by_domain):
        fleet = Fleet(count_by_domain)
        placement = fleet.choose(make_long_request("a", settings))
        domains = [fleet.domain_of(target) for target in placement.targets]
        return sum(domain != domains[0] for domain in domains[1:]), len(domains)

    def test_members_are_taken_from_the_domain_of_the_primary(self):
        # The parts of a long prompt are most of what crosses a link.
        crossing, size = self.crossing_members(PRICED, {"a": 8, "b": 8})
        self.assertGreater(size, 1)
        self.assertEqual(crossing, 0)

    def test_members_outside_are_taken_where_the_domain_has_too_few(self):
        free = DomainCostSettings(price_per_byte=1e-9)
        crossing, _ = self.crossing_members(free, {"a": 1, "b": 8})
        self.assertGreater(crossing, 0)

    def test_dear_link_makes_the_group_smaller(self):
        free = DomainCostSettings(price_per_byte=1e-9)
        dear = DomainCostSettings(price_per_byte=1e-5)
        free_crossing, _ = self.crossing_members(free, {"a": 2, "b": 8})
        dear_crossing, _ = self.crossing_members(dear, {"a": 2, "b": 8})
        self.assertLess(dear_crossing, free_crossing)


class DefaultTest(unittest.TestCase):
    def test_default_settings_give_no_cost(self):
        self.assertIsNone(
            compute_domain_cost(
                DirectSettings().domain_cost, LINKS, "a", 4_000_000, 1_600
            )
        )
        self.assertEqual(DirectSettings().domain_cost.work_margin, 0)

    def test_price_of_zero_places_as_the_default_settings(self):
        # Deployments without prices must be served as before, whatever the
        # other fields and their link delays are.
        free = DomainCostSettings(price_per_byte=0.0, margin=5.0, call_margin=9)
        rng = random.Random(7)
        for _ in range(40):
            fleet = Fleet({"a": 5, "b": 5})
            for view in fleet.views:
                fleet.load(view, rng.randrange(ENGINE.slots + 2))
            tokens = rng.choice((2_000, 9_000, 45_000, 210_000))
            domain = rng.choice(DOMAINS)
            default = make_request(domain, DirectSettings().domain_cost, tokens)
            request = make_request(domain, free, tokens)
            self.assertEqual(fleet.choose(request), fleet.choose(default))

    def test_default_placement_equals_the_one_of_the_build_before(self):
        # Recorded with the build before domain costs, for this seed.
        rng = random.Random(11)
        chosen = []
        for tokens in (5_000, 45_000, 210_000, 5_000, 210_000):
            fleet = Fleet({"a": 5, "b": 5})
            for view in fleet.views:
                fleet.load(view, rng.randrange(ENGINE.slots + 2))
            request = make_request("a", DomainCostSettings(), tokens)
            placement = fleet.choose(request)
            chosen.append((placement.targets, round(placement.cost, 9)))
        self.assertEqual(chosen, RECORDED)


class CallTest(unittest.TestCase):
    def choose(self, own_work, other_work, margin):
        fleet = Fleet({"a": 1, "b": 1})
        fleet.load_domain("a", own_work)
        fleet.load_domain("b", other_work)
        return place_call(fleet.views, "a", 0.0, margin).listing.failure_domain

    def test_one_call_less_is_no_reason_to_leave(self):
        self.assertEqual(self.choose(1, 0, margin=1), "a")
        self.assertEqual(self.choose(2, 0, margin=1), "b")

    def test_two_domains_do_not_swap_calls(self):
        for own_work in range(4):
            for other_work in range(own_work - 1, own_work + 2):
                if other_work >= 0:
                    self.assertEqual(self.choose(own_work, other_work, margin=1), "a")

    def test_without_a_margin_the_least_work_decides(self):
        self.assertEqual(self.choose(1, 0, margin=0), "b")
        self.assertEqual(self.choose(1, 1, margin=0), "a")

    def test_suspected_target_of_the_own_domain_is_the_last_choice(self):
        views = make_views({"a": 1, "b": 1})
        views[0].suspected_until = 1.0
        self.assertIs(place_call(views, "a", 0.0, 1), views[1])


class LeavingReasonTest(unittest.TestCase):
    def test_reason_is_the_cost_while_the_domain_has_a_usable_target(self):
        near, far = make_views({"a": 1, "b": 1})
        self.assertIsNone(find_leaving_reason(near, (near, far), "a", 0.0))
        reason = find_leaving_reason(far, (near, far), "a", 0.0)
        self.assertIs(reason, LeavingReason.COST)

    def test_suspected_or_excluded_targets_are_not_usable(self):
        near, far = make_views({"a": 1, "b": 1})
        near.suspected_until = 1.0
        reason = find_leaving_reason(far, (near, far), "a", 0.5)
        self.assertIs(reason, LeavingReason.NO_TARGET)
        near.suspected_until = 0.0
        near.terms.backoff_until = 1.0
        reason = find_leaving_reason(far, (near, far), "a", 0.5)
        self.assertIs(reason, LeavingReason.NO_TARGET)

    def test_targets_of_other_services_do_not_count(self):
        near, far = make_views({"a": 1, "b": 1})
        listing = TargetListing("s", "shop", "10.0.0.1:1", "a", 8)
        reason = find_leaving_reason(far, (TargetView(listing), far), "a", 0.0)
        self.assertIs(reason, LeavingReason.NO_TARGET)


class WiringTest(unittest.TestCase):
    def test_settings_and_body_size_reach_the_placement(self):
        # A price that no decision reads would leave all as it was.
        targets = {}
        for price in (0.0, 1e-6):
            settings = dataclasses.replace(
                DirectSettings(),
                domain_cost=DomainCostSettings(price_per_byte=price, margin=0.0),
            )
            world = DirectWorld(engines=0, settings=settings)
            for id, domain in (("t0", "there"), ("t1", "here")):
                listing = TargetListing(id, "model", "10.0.0.1:1", domain, 8)
                world.handle(TargetListed(listing))
            inbound = make_inbound("r", SHORT)
            request = dataclasses.replace(inbound.request, body_size=1_000_000)
            inbound = dataclasses.replace(inbound, request=request)
            send = only_command(world.handle(RequestReceived(inbound)), "SendAttempt")
            targets[price] = send.target.target
        self.assertEqual(targets, {0.0: "t0", 1e-6: "t1"})

    def test_size_of_the_body_is_read(self):
        request = HttpRequest(
            b"POST",
            b"/long/x",
            [
                (b"host", b"desk.example"),
                (b"chicorycove-attempt-id", b"r"),
                (b"authorization", b"Bearer key-1"),
            ],
            b"x" * 321,
            0.0,
        )
        table = RoutingTable(DEPLOYMENT)
        inbound = PlatformDialect().parse_request(request, table, 0.0)
        self.assertEqual(inbound.route, LONG)
        self.assertEqual(inbound.request.body_size, 321)
