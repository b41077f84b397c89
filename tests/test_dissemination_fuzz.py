"""Dissemination under cuts, crashes and loss, against one dictionary."""

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
BOUND = 3.0  # seconds from acceptance to in force
STEP = 0.5  # seconds between reads of the store
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
        self.alone = set()
        self.gone = set()
        self.seen = {}
        self.incarnation = 0
        self.fleet.cut = lambda a, b: a in self.alone or b in self.alone
        self.fleet.run(3)

    @rule(name=ENTRY)
    def accept(self, name):
        peer = self.fleet.peers.get(name)
        if name in self.alone or peer is None:
            return
        if not peer.membership.in_majority(self.fleet.now):
            return
        made, state = self.history.next()
        self.states[made.revision] = state
        self.accepted.append((self.fleet.now, made.revision))
        self.fleet.accept(name, made, state)

    @rule(seconds=st.sampled_from([0.002, 0.1, 0.5, 2.0, 4.0]))
    def run(self, seconds):
        end = self.fleet.now + seconds
        while self.fleet.now < end:
            self.fleet.run(min(STEP, end - self.fleet.now))
            self.read_store()
            self.check_bound()

    @precondition(lambda self: len(self.alone | self.gone) < 2)
    @rule(name=ENTRY)
    def cut_off(self, name):
        self.alone.add(name)

    @rule()
    def heal(self):
        self.alone.clear()

    @precondition(lambda self: len(self.alone | self.gone) < 2)
    @rule(name=ENTRY)
    def crash(self, name):
        if name not in self.gone:
            self.gone.add(name)
            self.fleet.stop(name)

    @rule(name=ENTRY)
    def restart(self, name):
        if name in self.gone:
            self.gone.discard(name)
            self.seen.pop(name, None)
            self.incarnation += 1
            self.fleet.start_entry(name, self.incarnation)

    @rule(name=AGENT)
    def restart_agent(self, name):
        self.fleet.stop(name)
        self.seen.pop(name, None)
        self.incarnation += 1
        self.fleet.start_agent(name, self.incarnation)

    @rule(loss=st.sampled_from([0.0, 0.05]))
    def set_loss(self, loss):
        self.fleet.loss = loss

    def read_store(self):
        """Have the watchers that reach the store read it."""
        for name in self.fleet.entry_names:
            peer = self.fleet.peers.get(name)
            if peer is None or name in self.alone:
                continue
            if peer.membership.watches(self.fleet.now):
                peer.membership.store_read(self.fleet.now)
                commands = peer.spread_stored((), self.history.state, self.fleet.now)
                self.fleet.carry_out(name, commands)

    def check_bound(self):
        """Check that what has been accepted for long is what serves."""
        now = self.fleet.now
        due = max((r for at, r in self.accepted if at < now - BOUND), default=0)
        for name in self.fleet.entry_names:
            peer = self.fleet.peers.get(name)
            if peer is not None and peer.membership.may_serve(now):
                if self.fleet.now - self.started(name) > BOUND:
                    assert peer.revision >= due, (name, peer.revision, due)

    def started(self, name):
        return self.fleet.started[name]

    @invariant()
    def revisions_go_up_and_states_are_the_accepted_ones(self):
        for name, peer in self.fleet.peers.items():
            assert peer.revision >= self.seen.get(name, 0)
            self.seen[name] = peer.revision
            assert peer.replica.state == self.states[peer.revision]

    def teardown(self):
        if not hasattr(self, "fleet"):
            return
        self.heal()
        self.fleet.loss = 0.0
        for name in sorted(self.gone):
            self.restart(name)
        self.run(10)
        newest = self.history.state.revision
        assert set(self.fleet.revisions().values()) == {newest}


class DisseminationFuzzTest(unittest.TestCase):
    def test_cuts_crashes_and_loss(self):
        run_state_machine_as_test(
            DisseminationMachine,
            settings=settings(
                max_examples=150,
                stateful_step_count=20,
                derandomize=True,
                deadline=None,
            ),
        )
