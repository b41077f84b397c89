"""Tests of the pace of targets that take longer than predicted."""

import argparse
import statistics
import unittest

from bench.placing import Simulation
from bench.sheet import ENGINE
from chicorycove.direct.board import TargetListing, TargetView, WorkItem, WorkItemKey
from chicorycove.direct.event import (
    CallerBackpressureChanged,
    EventsRelayed,
    PeerUpdateReceived,
)
from chicorycove.direct.placement import PlacementRequest, PlacementSettings
from chicorycove.direct.placer import Placer
from chicorycove.direct.settings import DirectSettings
from chicorycove.direct.target_pace import TargetPaceSettings
from chicorycove.lifecycle import Tick

from .direct import SHORT, DirectWorld

SLOWNESS = 4.0
TARGET = 0  # the first in order gets most short prompts


class PaceTest(unittest.TestCase):
    def setUp(self):
        self.world = DirectWorld(engines=1, shops=0)
        self.send = self.world.send("r", SHORT)
        item = self.world.board.requests["r"].work_items[0]
        self.prefill_time = item.prefill_time
        self.pass_time = ENGINE.decode_pass_time([item.context_tokens])

    def view(self):
        return self.world.board.targets["e0"]

    def event(self, delay, count=1):
        """Let time pass until the next events of the stream."""
        self.world.now += delay
        self.world.handle(Tick())
        self.world.handle(EventsRelayed(self.send.attempt, count, None))

    def stream(self, factor, count):
        for _ in range(count):
            self.event(self.pass_time * factor)

    def changes(self):
        return [
            command.state.value
            for command in self.world.command_log
            if type(command).__name__ == "RecordTargetState"
        ]

    def test_passes_as_predicted_keep_the_pace_at_one(self):
        self.event(self.prefill_time)
        self.stream(1.0, 40)
        self.assertEqual(self.view().pace, 1.0)
        self.stream(1.3, 40)
        self.assertEqual(self.view().pace, 1.0)
        self.assertEqual(self.changes(), [])

    def test_slow_passes_raise_the_pace(self):
        self.event(self.prefill_time)
        self.stream(SLOWNESS, 30)
        self.assertGreater(self.view().pace, 0.6 * SLOWNESS)
        self.assertLessEqual(self.view().pace, SLOWNESS)
        self.assertEqual(self.changes(), ["slow"])

    def test_target_that_recovers_is_normal_again(self):
        self.event(self.prefill_time)
        self.stream(SLOWNESS, 30)
        self.stream(1.0, round(8.0 / self.pass_time))
        self.assertEqual(self.view().pace, 1.0)
        self.assertEqual(self.changes(), ["slow", "normal"])

    def test_pace_is_forgotten_without_new_evidence(self):
        self.event(self.prefill_time)
        self.stream(SLOWNESS, 30)
        for _ in range(16):
            self.world.now += 0.5
            self.world.handle(Tick())
        self.assertEqual(self.view().pace, 1.0)
        self.assertEqual(self.changes(), ["slow", "normal"])

    def test_one_long_pause_does_not_make_a_target_slow(self):
        """The entry was paused, or a connection was lost for a while."""
        self.event(self.prefill_time)
        self.stream(1.0, 20)
        self.event(3.0)
        self.assertEqual(self.view().pace, 1.0)

    def test_events_that_arrive_together_are_that_many_passes(self):
        self.event(self.prefill_time)
        for _ in range(10):
            self.event(4 * self.pass_time, count=4)
        self.assertEqual(self.view().pace, 1.0)

    def test_prefill_that_nothing_delayed_counts(self):
        world = DirectWorld(engines=1, shops=0)
        send = world.send("r", SHORT, tokens=200_000)
        item = world.board.requests["r"].work_items[0]
        world.now += item.prefill_time * SLOWNESS
        world.handle(EventsRelayed(send.attempt, 1, None))
        self.assertGreater(world.board.targets["e0"].pace, 2.0)

    def test_prefill_beside_other_work_does_not_count(self):
        world = DirectWorld(engines=1, shops=0)
        world.send("other", SHORT)
        send = world.send("r", SHORT, tokens=200_000)
        world.now += 5.0
        world.handle(EventsRelayed(send.attempt, 1, None))
        self.assertEqual(world.board.targets["e0"].pace, 1.0)

    def test_passes_that_prefill_do_not_count(self):
        self.event(self.prefill_time)
        item = WorkItem(WorkItemKey("entry-2", 1), "e0", prefill_time=1.0)
        self.world.handle(PeerUpdateReceived("entry-2", (item,)))
        self.stream(SLOWNESS, 30)
        self.assertEqual(self.view().pace, 1.0)

    def test_pass_in_which_work_came_and_began_to_decode_does_not_count(self):
        self.event(self.prefill_time)
        for number in range(30):
            key = WorkItemKey("entry-2", number)
            item = WorkItem(key, "e0", decoding=True)
            self.world.handle(PeerUpdateReceived("entry-2", (item,)))
            self.stream(SLOWNESS, 1)
        self.assertEqual(self.view().pace, 1.0)

    def test_stream_whose_caller_reads_slowly_does_not_count(self):
        self.event(self.prefill_time)
        for _ in range(30):
            self.world.handle(CallerBackpressureChanged("r", True))
            self.world.handle(CallerBackpressureChanged("r", False))
            self.stream(SLOWNESS, 1)
        self.assertEqual(self.view().pace, 1.0)

    def test_new_incarnation_has_no_pace(self):
        self.event(self.prefill_time)
        self.stream(SLOWNESS, 30)
        self.world.add_target("e0", "model", started_at=2)
        self.assertEqual(self.view().pace, 1.0)
        self.stream(SLOWNESS, 5)  # the stream still runs on the earlier one
        self.assertEqual(self.view().pace, 1.0)


class PacePlacementTest(unittest.TestCase):
    def setUp(self):
        self.views = [
            TargetView(TargetListing(id, "model", f"{id}:1", "here", 8))
            for id in ("t0", "t1")
        ]
        self.placer = Placer(PlacementSettings())

    def place(self, tokens=100_000, objective=3.0):
        request = PlacementRequest(
            tokens=tokens,
            max_output_tokens=460,
            expected_output_tokens=460,
            objective_at=objective,
            deadline=9.0,
            max_gap=0.2,
            value=1.0,
            failure_domain="here",
        )
        return self.placer.place(request, ENGINE, self.views, 0.0)

    def test_first_event_of_a_slow_target_is_predicted_by_its_pace(self):
        del self.views[1]
        normal = self.place()
        self.views[0].pace = SLOWNESS
        slow = self.place()
        difference = slow.time_to_first_event - normal.time_to_first_event
        self.assertAlmostEqual(difference, (SLOWNESS - 1) * normal.prefill_time)

    def test_slow_target_is_not_chosen_if_it_misses_the_objective(self):
        short = self.place(5_000, objective=0.3).target
        slow = next(view for view in self.views if view.listing.id == short)
        slow.pace = 30.0  # 0.6 s
        self.assertNotEqual(self.place(5_000, objective=0.3).target, short)


class PaceSimulation(Simulation):
    """A fleet in which one target is slow for a time."""

    def __init__(
        self, seed, settings=None, start=None, end=None, lag=0.0, target=TARGET
    ):
        self.slow_target = target
        self.changes = []  # (time, target, state)
        options = argparse.Namespace(
            fleet="today",
            scenario="even",
            lag=lag,
            limited=0,
            limit=1.0,
            rate=1.0,
        )
        super().__init__(seed, options, settings or DirectSettings())
        if start is not None:
            self._at(start, lambda: self.set_slowness(SLOWNESS))
            self._at(end, lambda: self.set_slowness(1.0))

    def set_slowness(self, slowness):
        self._engines[self.slow_target].slowness = slowness

    def _do(self, entry, command):
        if type(command).__name__ == "RecordTargetState":
            self.changes.append((self.now, command.target, command.state.value))
        super()._do(entry, command)

    def count_late(self):
        return sum(not outcome.in_time for outcome in self.outcomes)

    def paces(self):
        return [
            view.pace for board, _ in self._entries for view in board.targets.values()
        ]


class PaceOracleTest(unittest.TestCase):
    seeds = (1, 2, 3)

    def test_normal_targets_have_a_pace_of_one(self):
        for seed in self.seeds:
            with self.subTest(seed=seed):
                simulation = PaceSimulation(seed)
                simulation.run()
                self.assertEqual(simulation.changes, [])
                self.assertEqual(set(simulation.paces()), {1.0})

    def test_only_the_slow_target_is_found_slow_and_recovers(self):
        for seed in self.seeds:
            with self.subTest(seed=seed):
                simulation = PaceSimulation(seed, start=3.0, end=15.0)
                simulation.run()
                slow = [c for c in simulation.changes if c[2] == "slow"]
                self.assertEqual({target for _, target, _ in slow}, {"t000"})
                self.assertLess(slow[0][0], 6.0)
                self.assertLess(simulation.changes[-1][0], 15.0 + 10.0)
                self.assertEqual(simulation.changes[-1][2], "normal")
                self.assertEqual(set(simulation.paces()), {1.0})

    def test_fewer_answers_are_late_than_without_the_pace(self):
        never = TargetPaceSettings(min_pace=1e9)
        late_counts = []
        for settings in (DirectSettings(target_pace=never), DirectSettings()):
            simulations = [
                PaceSimulation(seed, settings, start=3.0, end=25.0)
                for seed in self.seeds
            ]
            for simulation in simulations:
                simulation.run()
            late_counts.append(statistics.mean(s.count_late() for s in simulations))
        self.assertLess(late_counts[1], late_counts[0])


if __name__ == "__main__":
    unittest.main()
