"""Placement by entries that know only part of one another's work."""

import collections
import dataclasses
import random
import unittest

from bench.sheet import FLEETS
from chicorycove.direct.event import PeersUpdated, PeerUpdateReceived
from chicorycove.direct.placement import (
    PlacementRequest,
    PlacementSettings,
    needs_groups,
)
from chicorycove.direct.placer import Placer
from chicorycove.direct.route import Deployment, Route, RoutingTable, Service, Share
from chicorycove.lifecycle import Tick

from .direct import DEPLOYMENT, ENGINE, LONG, SHORT, DirectWorld

# Engines of deployment A in docs/uneven-load.md.
COLD_START_ENGINE = FLEETS["cold-starts"].engine

ENTRIES = 29
TARGETS = 60
PROMPTS_AT_START = 5  # of each entry, from its listen queue


def peer_updates(commands):
    """Return the commands that report work to peers."""
    return [
        command
        for command in commands
        if type(command).__name__ == "UpdatePeers" and command.work_items
    ]


class RestartTest(unittest.TestCase):
    """All entries restart and place what waits before hearing one another."""

    def sent_targets(self, offset, visible_share):
        """Yield the targets of what an entry's listen queue holds."""
        world = self.make_world(offset, visible_share)
        for number in range(PROMPTS_AT_START):
            yield world.send(f"r{number}", SHORT).target.target

    def make_world(self, offset, visible_share):
        service = Service(name="model", engine=COLD_START_ENGINE)
        deployment = dataclasses.replace(DEPLOYMENT, services=(service,))
        world = DirectWorld(engines=TARGETS, shops=0, deployment=deployment)
        world.board.placement_offset = offset
        world.board.visible_share = visible_share
        return world

    def count_without_slot(self, visible_share):
        """Return how many prompts found no slot in three restarts."""
        without_slot = 0
        for seed in range(1, 4):
            # Entries know different lists of entries at this time, so that
            # their places in the order of targets are random.
            rng = random.Random(seed)
            counts = collections.Counter()
            for _ in range(ENTRIES):
                counts.update(self.sent_targets(rng.random(), visible_share))
            without_slot += sum(
                max(count - COLD_START_ENGINE.slots, 0) for count in counts.values()
            )
        return without_slot

    def test_prompts_are_spread_over_all_targets(self):
        # At 36.3 s of trouble-1 (jacaranda), entries sent four prompts each to
        # one target, and of 140 prompts 37 had their first event too late.
        self.assertGreater(self.count_without_slot(1.0), 0)
        self.assertEqual(self.count_without_slot(1 / ENTRIES), 0)

    def test_prompt_is_not_split_among_targets_with_unknown_work(self):
        # Parts of groups of 23,000 to 53,000 tokens delayed what other entries
        # had sent to the same targets after a restart.
        world = self.make_world(0.0, visible_share=1.0)
        self.assertTrue(world.send("r1", LONG, tokens=45_000).placement.members)
        world = self.make_world(0.0, visible_share=1 / ENTRIES)
        self.assertFalse(world.send("r1", LONG, tokens=45_000).placement.members)

    def test_entry_that_hears_nearly_all_others_places_as_before(self):
        self.assertEqual(
            list(self.sent_targets(0.1, 28 / 29)), list(self.sent_targets(0.1, 1.0))
        )


class VisibleShareTest(unittest.TestCase):
    NAMES = frozenset({"entry-1", "entry-2", "entry-3", "entry-4"})

    def visible_share(self, **fields):
        world = DirectWorld()
        world.handle(PeersUpdated(self.NAMES, **fields))
        return world.board.visible_share

    def test_all_work_is_visible_once_all_have_reported(self):
        self.assertEqual(self.visible_share(), 1.0)

    def test_unheard_and_partly_reported_entries_do_not_count(self):
        unresponsive = frozenset({"entry-2"})
        partly_reported = frozenset({"entry-3"})
        share = self.visible_share(
            unresponsive=unresponsive, partly_reported=partly_reported
        )
        self.assertEqual(share, 0.5)

    def test_nothing_is_visible_before_the_entries_are_listed(self):
        self.assertEqual(self.visible_share(complete=False), 0.0)


class RepeatedReportTest(unittest.TestCase):
    def setUp(self):
        self.world = DirectWorld()

    def tick(self, now):
        self.world.now = now
        return peer_updates(self.world.handle(Tick()))

    def test_prompt_in_prefill_is_reported_once_more(self):
        self.world.send("r1", SHORT)
        repeats = self.tick(0.05)
        self.assertEqual(len(repeats), 1)
        self.assertEqual(repeats[0].work_items[0].key.number, 1)
        self.assertEqual(self.tick(0.1), [])

    def test_prompt_whose_answer_has_begun_is_not_repeated(self):
        self.world.stream(self.world.send("r1", SHORT))
        self.assertEqual(self.tick(0.05), [])

    def test_repeated_report_counts_the_work_once(self):
        report = peer_updates(self.world.receive("r1", SHORT))[0]
        peer = DirectWorld()
        for _ in range(2):
            peer.handle(PeerUpdateReceived("entry-1", report.work_items))
        target = report.work_items[0].target
        self.assertEqual(len(peer.board.targets[target].work_items), 1)

    def test_ended_work_is_in_the_next_periodic_report_once(self):
        send = self.world.send("r1", SHORT)
        key = self.world.board.requests["r1"].work_items[0].key
        self.world.answer(send)
        reports = [self.world.dispatcher.report_to_peers(0.1) for _ in range(2)]
        self.assertEqual([report[0].ended for report in reports], [(key,), ()])


class WaitCostTest(unittest.TestCase):
    """Idle targets are kept free for groups only if prompts need groups."""

    def setUp(self):
        self.settings = PlacementSettings()

    def test_engine_that_answers_what_it_holds_needs_no_groups(self):
        engine = COLD_START_ENGINE
        self.assertFalse(needs_groups(engine, 6.055, self.settings))
        self.assertTrue(needs_groups(engine, 2.0, self.settings))

    def test_longest_objective_is_that_of_the_routes_to_a_service(self):
        def route(name, objective, *services):
            return Route(
                name=name,
                host="desk.example",
                prefix=f"/{name}/",
                shares=tuple(Share(service=service) for service in services),
                repeatable=True,
                streamed=True,
                timeout=10.0,
                objective=objective,
            )

        routes = (route("a", 0.3, "model"), route("b", 4.0, "other", "model"))
        table = RoutingTable(Deployment(version=1, routes=routes))
        self.assertEqual(table.longest_objective("model"), 4.0)
        self.assertEqual(table.longest_objective("unknown"), 0.0)

    def test_large_short_prompt_takes_an_idle_target_without_groups(self):
        world = DirectWorld(engines=8)
        world.stream(world.send("r1", SHORT))
        targets = list(world.board.available_targets("model"))
        placer = Placer(self.settings)

        def occupied(groups_needed):
            request = PlacementRequest(
                tokens=11_000,
                max_output_tokens=460,
                expected_output_tokens=460,
                objective_at=0.3,
                deadline=10.0,
                max_gap=0.2,
                value=2.1,
                failure_domain="here",
                groups_needed=groups_needed,
            )
            placement = placer.place(request, ENGINE, targets, 0.0)
            return len(world.board.targets[placement.target].work_items)

        self.assertGreater(occupied(groups_needed=True), 0)
        self.assertEqual(occupied(groups_needed=False), 0)


if __name__ == "__main__":
    unittest.main()
