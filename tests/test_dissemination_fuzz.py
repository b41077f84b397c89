"""Test dissemination under partitions, crashes and lost messages."""

import unittest

from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from bench.fleet import Fleet, History

ENTRIES = 5
AGENTS = 4
MAX_SPREAD_TIME = 3.0  # seconds from acceptance to in force
STORE_READ_PERIOD = 0.5  # seconds
ENTRY = st.integers(0, ENTRIES - 1).map("e{}".format)
AGENT = st.integers(0, AGENTS - 1).map("a{}".format)


class DisseminationMachine(RuleBasedStateMachine):
    """Entries accept changes while processes come, go and are cut off."""

    @initialize(seed=st.integers(0, 1000))
    def start(self, seed):
        self.fleet = Fleet(ENTRIES, AGENTS, domains=2, seed=seed)
        self.history = History()
        self.states = {0: self.history.state}
        self.accepted = []  # time and revision
        self.isolated = set()
        self.stopped = set()
        self.last_revisions = {}
        self.incarnation = 0
        self.fleet.cut = lambda a, b: a in self.isolated or b in self.isolated
        self.fleet.run(3)

    @rule(name=ENTRY)
    def accept(self, name):
        peer = self.fleet.peers.get(name)
        if name in self.isolated or peer is None:
            return
        if not peer.membership.in_majority(self.fleet.now):
            return
        new_change, state = self.history.next()
        self.states[new_change.revision] = state
        self.accepted.append((self.fleet.now, new_change.revision))
        self.fleet.accept(name, new_change, state)

    @rule(seconds=st.sampled_from([0.002, 0.1, 0.5, 2.0, 4.0]))
    def run(self, seconds):
        end = self.fleet.now + seconds
        while self.fleet.now < end:
            self.fleet.run(min(STORE_READ_PERIOD, end - self.fleet.now))
            self.read_store()
            self.check_spread_time()

    @precondition(lambda self: len(self.isolated | self.stopped) < 2)
    @rule(name=ENTRY)
    def cut_off(self, name):
        self.isolated.add(name)

    @rule()
    def heal(self):
        self.isolated.clear()

    @precondition(lambda self: len(self.isolated | self.stopped) < 2)
    @rule(name=ENTRY)
    def crash(self, name):
        if name not in self.stopped:
            self.stopped.add(name)
            self.fleet.stop(name)

    @rule(name=ENTRY)
    def restart(self, name):
        if name in self.stopped:
            self.stopped.discard(name)
            self.last_revisions.pop(name, None)
            self.incarnation += 1
            self.fleet.start_entry(name, self.incarnation)

    @rule(name=AGENT)
    def restart_agent(self, name):
        self.fleet.stop(name)
        self.last_revisions.pop(name, None)
        self.incarnation += 1
        self.fleet.start_agent(name, self.incarnation)

    @rule(loss=st.sampled_from([0.0, 0.05]))
    def set_loss(self, loss):
        self.fleet.loss = loss

    def read_store(self):
        """Read the store at each watcher that can reach it."""
        for name in self.fleet.entry_names:
            peer = self.fleet.peers.get(name)
            if peer is None or name in self.isolated:
                continue
            if peer.membership.watches(self.fleet.now):
                peer.membership.store_read(self.fleet.now)
                commands = peer.spread_stored((), self.history.state, self.fleet.now)
                self.fleet.carry_out(name, commands)

    def check_spread_time(self):
        """Check that serving entries have every change accepted long ago."""
        now = self.fleet.now
        required_revision = max(
            (
                revision
                for accepted_at, revision in self.accepted
                if accepted_at < now - MAX_SPREAD_TIME
            ),
            default=0,
        )
        for name in self.fleet.entry_names:
            peer = self.fleet.peers.get(name)
            if peer is not None and peer.membership.may_serve(now):
                if self.fleet.now - self.started_at(name) > MAX_SPREAD_TIME:
                    assert peer.revision >= required_revision, (
                        name,
                        peer.revision,
                        required_revision,
                    )

    def started_at(self, name):
        return self.fleet.started[name]

    @invariant()
    def revisions_go_up_and_states_are_the_accepted_ones(self):
        for name, peer in self.fleet.peers.items():
            assert peer.revision >= self.last_revisions.get(name, 0)
            self.last_revisions[name] = peer.revision
            assert peer.replica.state == self.states[peer.revision]

    def teardown(self):
        if not hasattr(self, "fleet"):
            return
        self.heal()
        self.fleet.loss = 0.0
        for name in sorted(self.stopped):
            self.restart(name)
        self.run(10)
        newest = self.history.state.revision
        assert set(self.fleet.revisions().values()) == {newest}


class DisseminationFuzzTest(unittest.TestCase):
    def test_partitions_crashes_and_loss(self):
        run_state_machine_as_test(
            DisseminationMachine,
            settings=settings(
                max_examples=150,
                stateful_step_count=20,
                derandomize=True,
                deadline=None,
            ),
        )
