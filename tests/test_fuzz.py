"""Stateful fuzzing of the decisions, checked against the actual runs.

``FUZZ_EXAMPLES=2000 python -m tests.test_fuzz`` runs more examples and prints
the number of steps.
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


class ServingMachine(RuleBasedStateMachine):
    """Callers, faults and time, in any order."""

    steps = 0

    def __init__(self):
        super().__init__()
        self.world = World()
        self.pauses = 0

    def is_running(self, name):
        return not self.world.entries[name].paused

    @rule(name=ENTRY)
    def prompt(self, name):
        if self.is_running(name):
            self.world.send(name, PROMPT, digest=f"d{len(self.world.callers)}")

    @rule(name=ENTRY)
    def register(self, name):
        if self.is_running(name):
            self.world.send(name, REGISTRATION)

    @rule(name=ENTRY, key=st.sampled_from(["k1", "k2"]))
    def register_with_key(self, name, key):
        if self.is_running(name):
            self.world.send(name, REGISTRATION, key, digest=key)

    @rule(name=ENTRY, target_name=TARGET, count=st.integers(1, 6))
    def deliver(self, name, target_name, count):
        self.world.deliver(name, target_name, count)

    @rule(rounds=st.integers(1, 6))
    def settle(self, rounds):
        self.world.settle(rounds)

    @rule(seconds=st.sampled_from([0.1, 0.5, 2.5, 8.0, 25.0]))
    def advance(self, seconds):
        self.world.advance(seconds)

    @rule(target_name=TARGET)
    def run_target(self, target_name):
        self.world.agents[target_name].step()

    @rule(target_name=TARGET)
    def target_fails(self, target_name):
        self.world.agents[target_name].fail_run()

    @rule(target_name=TARGET)
    def target_refuses(self, target_name):
        agent = self.world.agents[target_name]
        agent.refusing = not agent.refusing

    @rule(target_name=TARGET)
    def restart_agent(self, target_name):
        self.world.restart_agent(target_name)

    @rule(target_name=TARGET)
    def stop_agent(self, target_name):
        agent = self.world.agents[target_name]
        agent.feed(StopRequested())
        if agent.exited:
            self.world.restart_agent(target_name)

    @rule(name=ENTRY, target_name=TARGET)
    def attach(self, name, target_name):
        self.world.attach(name, target_name)

    @rule(name=ENTRY, target_name=TARGET)
    def break_link(self, name, target_name):
        self.world.detach(name, target_name)

    @rule(name=ENTRY)
    def crash_entry(self, name):
        self.world.crash_entry(name)

    @rule(name=ENTRY)
    def pause_or_continue(self, name):
        entry = self.world.entries[name]
        entry.paused = not entry.paused
        self.pauses += 1
        entry.handle_pending_events()

    @rule(name=ENTRY, lose_answer=st.booleans())
    def store_answers(self, name, lose_answer):
        self.world.answer_store(self.world.entries[name], lose_answer)

    @rule(name=ENTRY)
    def store_delays(self, name):
        self.world.delay_store_call(self.world.entries[name])

    @rule()
    def apply_delayed_writes(self):
        self.world.apply_delayed_writes()

    @rule()
    def store_goes_down_or_up(self):
        self.world.store.down = not self.world.store.down

    @rule(index=INDEX)
    def redeliver_message(self, index):
        self.world.redeliver(index)

    @rule(index=INDEX)
    def disconnect_caller(self, index):
        callers = list(self.world.callers.values())
        if callers:
            caller = callers[index % len(callers)]
            name = caller.entry.partition(".")[0]
            if self.is_running(name):
                self.world.disconnect_caller(caller)

    @invariant()
    def check_safety(self):
        type(self).steps += 1
        self.world.check_safety()

    def teardown(self):
        self.world.heal()
        self.world.check_safety()
        self.world.check_all_ended(self.pauses)


class ServingTest(ServingMachine.TestCase):
    """Run the state machine, under a name that test processes can import."""


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
        def swap_without_seal(self, open_claim, found, now):
            return self._write_claim(open_claim)

        with mock.patch.object(Claimer, "_wait_or_seal", swap_without_seal):
            with self.assertRaisesRegex(AssertionError, "ran [2-9] times"):
                run_state_machine_as_test(ServingMachine, settings=ServingTest.settings)


if __name__ == "__main__":
    unittest.main(exit=False)
    print(f"steps: {ServingMachine.steps}")
