"""Stateful fuzzing of the decisions against a list of what really ran.

A longer run: ``FUZZ_EXAMPLES=2000 python -m tests.test_fuzz``; it prints the
steps that it made.
"""

import os
import unittest
from unittest import mock

from hypothesis import HealthCheck, Phase, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from chicorycove.claim import Claimer
from chicorycove.lifecycle import StopRequested

from .world import PROMPT, REGISTRATION, TARGETS, World

EXAMPLES = int(os.environ.get("FUZZ_EXAMPLES", "25"))
STEPS = int(os.environ.get("FUZZ_STEPS", "40"))

ENTRY = st.sampled_from(["e0", "e1"])
TARGET = st.sampled_from(sorted(TARGETS))
INDEX = st.integers(0, 40)


class Serving(RuleBasedStateMachine):
    """Callers, faults and time, in any order."""

    steps = 0

    def __init__(self):
        super().__init__()
        self.world = World()
        self.pauses = 0

    def awake(self, name):
        return not self.world.entries[name].paused

    @rule(name=ENTRY)
    def prompt(self, name):
        if self.awake(name):
            self.world.send(name, PROMPT, digest=f"d{len(self.world.callers)}")

    @rule(name=ENTRY)
    def register(self, name):
        if self.awake(name):
            self.world.send(name, REGISTRATION)

    @rule(name=ENTRY, key=st.sampled_from(["k1", "k2"]))
    def register_with_key(self, name, key):
        if self.awake(name):
            self.world.send(name, REGISTRATION, key, digest=key)

    @rule(name=ENTRY, at=TARGET, count=st.integers(1, 6))
    def deliver(self, name, at, count):
        self.world.deliver(name, at, count)

    @rule(rounds=st.integers(1, 6))
    def settle(self, rounds):
        self.world.settle(rounds)

    @rule(seconds=st.sampled_from([0.1, 0.5, 2.5, 8.0, 25.0]))
    def advance(self, seconds):
        self.world.advance(seconds)

    @rule(at=TARGET)
    def work(self, at):
        self.world.agents[at].step()

    @rule(at=TARGET)
    def target_fails(self, at):
        self.world.agents[at].break_run()

    @rule(at=TARGET)
    def target_refuses(self, at):
        agent = self.world.agents[at]
        agent.refusing = not agent.refusing

    @rule(at=TARGET)
    def restart_agent(self, at):
        self.world.restart_agent(at)

    @rule(at=TARGET)
    def stop_agent(self, at):
        agent = self.world.agents[at]
        agent.feed(StopRequested())
        if agent.exited:
            self.world.restart_agent(at)

    @rule(name=ENTRY, at=TARGET)
    def attach(self, name, at):
        self.world.attach(name, at)

    @rule(name=ENTRY, at=TARGET)
    def break_link(self, name, at):
        self.world.detach(name, at)

    @rule(name=ENTRY)
    def crash_entry(self, name):
        self.world.crash_entry(name)

    @rule(name=ENTRY)
    def pause_or_continue(self, name):
        entry = self.world.entries[name]
        entry.paused = not entry.paused
        self.pauses += 1
        entry.drain_soon()

    @rule(name=ENTRY, lose=st.booleans())
    def store_answers(self, name, lose):
        self.world.answer_store(self.world.entries[name], lose)

    @rule(name=ENTRY)
    def store_delays(self, name):
        self.world.delay_store(self.world.entries[name])

    @rule()
    def late_writes_land(self):
        self.world.land_late_writes()

    @rule()
    def store_goes_down_or_up(self):
        self.world.store.down = not self.world.store.down

    @rule(index=INDEX)
    def repeat_message(self, index):
        self.world.repeat(index)

    @rule(index=INDEX)
    def hang_up(self, index):
        callers = list(self.world.callers.values())
        if callers:
            caller = callers[index % len(callers)]
            name = caller.entry.partition(".")[0]
            if self.awake(name):
                self.world.hang_up(caller)

    @invariant()
    def safe(self):
        type(self).steps += 1
        self.world.check_safety()

    def teardown(self):
        self.world.heal()
        self.world.check_safety()
        self.world.check_ends(self.pauses)


class ServingTest(Serving.TestCase):
    """Runs the machine, under a name that a test process can load."""


ServingTest.settings = settings(
    max_examples=EXAMPLES,
    stateful_step_count=STEPS,
    deadline=None,
    derandomize=True,
    database=None,
    phases=[Phase.generate],
    suppress_health_check=list(HealthCheck),
)


class MutantTest(unittest.TestCase):
    def test_takeover_without_a_seal_is_found(self):
        def take_over(self, open_claim, found, now):
            return self._write_claim(open_claim)

        with mock.patch.object(Claimer, "_contest", take_over):
            with self.assertRaisesRegex(AssertionError, "ran [2-9] times"):
                run_state_machine_as_test(Serving, settings=ServingTest.settings)


if __name__ == "__main__":
    unittest.main(exit=False)
    print(f"steps: {Serving.steps}")
