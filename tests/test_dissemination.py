"""Test that revisions reach every process of a fleet on a virtual clock."""

import unittest

from bench.fleet import Fleet, History, change
from chicorycove import codec
from chicorycove.agent_peer import AgentPeer
from chicorycove.catalogue_message import (
    CataloguePull,
    CataloguePush,
    LaggingProcess,
    PushScope,
    RevisionApplied,
)
from chicorycove.membership import MAX_STALENESS, MemberState, Role


class SpreadTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet(entries=12, agents=40, domains=4)
        self.history = History()
        self.fleet.run(3)

    def accept(self, name="e0"):
        """Have an entry accept the next change."""
        new_change, state = self.history.next()
        self.fleet.accept(name, new_change, state)
        return new_change.revision

    def lagging_processes(self):
        """Return the processes that are not at the newest revision."""
        newest = self.history.state.revision
        return [
            name
            for name, revision in self.fleet.revisions().items()
            if revision < newest
        ]

    def test_a_change_reaches_every_process_immediately(self):
        self.accept()
        self.fleet.run(0.1)
        self.assertEqual(self.lagging_processes(), [])
        _, name, spread = self.fleet.spreads[0]
        self.assertEqual((name, spread.members, spread.laggards), ("e0", 52, ()))

    def test_every_entry_may_accept(self):
        for name in self.fleet.entry_names:
            self.accept(name)
            self.fleet.run(0.1)
        self.assertEqual(self.lagging_processes(), [])

    def test_watchers_of_the_same_domain_do_not_wait_for_each_other(self):
        new_change, state = self.history.next()
        now = self.fleet.now
        names = self.fleet.entry_names
        for name in names[1:]:  # they read the store before the acceptor's push
            if self.fleet.peers[name].membership.watches(now):
                commands = self.fleet.peers[name].spread_stored(
                    (new_change,), state, now
                )
                self.fleet.carry_out(name, commands)
        self.fleet.run(0.0015)
        self.fleet.accept("e0", new_change, state)
        self.fleet.run(0.2)
        _, name, spread = self.fleet.spreads[0]
        self.assertEqual((name, spread.members, spread.laggards), ("e0", 52, ()))

    def test_two_concurrent_changes_from_two_entries(self):
        self.accept("e0")
        first = self.history.state
        new_change, state = self.history.next()
        self.fleet.peers["e5"].replica.update((), first)
        self.fleet.accept("e5", new_change, state)
        self.fleet.run(2)
        self.assertEqual(self.lagging_processes(), [])

    def test_lost_messages_are_resent(self):
        self.fleet.loss = 0.2
        for _ in range(5):
            self.accept()
            self.fleet.run(3)
            self.assertEqual(self.lagging_processes(), [])

    def test_an_entry_that_crashes_right_after_acceptance(self):
        new_change, state = self.history.next()
        self.fleet.peers["e0"].spread_accepted((new_change,), state, self.fleet.now)
        self.fleet.stop("e0")
        watchers = [
            n
            for n in self.fleet.entry_names[1:]
            if self.fleet.peers[n].membership.watches(self.fleet.now)
        ]
        for name in watchers:
            commands = self.fleet.peers[name].spread_stored(
                (new_change,), state, self.fleet.now
            )
            self.fleet.carry_out(name, commands)
        self.fleet.run(0.1)
        entries = set(self.fleet.entry_names) - {"e0"}
        self.assertEqual(set(self.lagging_processes()) & entries, set())
        self.fleet.run(2.8)  # agents of the dead entry attach to another
        self.assertEqual(set(self.lagging_processes()) - {"e0"}, set())

    def test_watchers_are_few_at_any_fleet_size(self):
        for entries in (12, 60):
            fleet = Fleet(entries, 0, domains=4)
            fleet.run(3)
            watchers = [p for p in fleet.peers.values() if p.membership.watches(3)]
            self.assertEqual(len(watchers), 8)

    def test_a_stopped_agent_is_reported_as_lagging(self):
        name = "a7"
        self.fleet.stop(name)
        self.accept()
        self.fleet.run(3)
        _, _, spread = self.fleet.spreads[0]
        self.assertEqual([each.name for each in spread.laggards], [name])

    def test_an_agent_that_left_is_not_waited_for(self):
        peer = self.fleet.peers["a7"]
        self.fleet.carry_out("a7", peer.leave(self.fleet.now))
        self.fleet.run(0.1)
        self.fleet.stop("a7")
        self.accept()
        self.fleet.run(0.1)
        self.assertEqual(self.fleet.spreads[0][2].laggards, ())

    def test_agents_of_a_dead_entry_attach_to_another(self):
        self.fleet.stop("e3")
        self.fleet.run(9)
        self.accept()
        self.fleet.run(1)
        self.assertEqual(self.lagging_processes(), [])

    def test_agents_reattach_after_every_entry_has_restarted(self):
        for name in self.fleet.entry_names:
            self.fleet.stop(name)
        self.fleet.run(60)
        for name in self.fleet.entry_names:
            self.fleet.start_entry(name, incarnation=1)
        self.fleet.run(25)
        self.accept()
        self.fleet.run(1)
        self.assertEqual(self.lagging_processes(), [])

    def test_a_dead_relay_is_replaced(self):
        peer = self.fleet.peers["e0"]
        relay = peer.membership.relays("d1")[0].name
        self.fleet.stop(relay)
        self.accept()
        self.fleet.run(3)
        self.assertEqual(self.lagging_processes(), [])

    def test_a_partitioned_entry_is_reported_and_stops_serving(self):
        self.fleet.cut = lambda a, b: "e4" in (a, b)
        self.accept()
        self.fleet.run(3)
        now = self.fleet.now
        self.assertFalse(self.fleet.peers["e4"].membership.may_serve(now))
        self.assertTrue(self.fleet.peers["e0"].membership.may_serve(now))
        self.assertEqual(self.fleet.peers["e4"].revision, 0)
        names = [each.name for each in self.fleet.spreads[0][2].laggards]
        self.assertIn("e4", names)

    def test_a_partitioned_entry_catches_up(self):
        self.fleet.cut = lambda a, b: "e4" in (a, b)
        for _ in range(3):
            self.accept()
            self.fleet.run(3)
        self.fleet.cut = lambda a, b: False
        self.fleet.run(5)
        self.assertEqual(self.lagging_processes(), [])
        self.assertTrue(self.fleet.peers["e4"].membership.may_serve(self.fleet.now))

    def test_a_failure_domain_is_partitioned_and_merges(self):
        self.fleet.cut = lambda a, b: (int(a[1:]) % 4 == 3) != (int(b[1:]) % 4 == 3)
        self.fleet.run(60)
        self.accept()
        self.fleet.run(3)
        for name in self.fleet.entry_names:
            membership = self.fleet.peers[name].membership
            serves = int(name[1:]) % 4 != 3
            self.assertEqual(membership.may_serve(self.fleet.now), serves, name)
        self.fleet.cut = lambda a, b: False
        self.fleet.run(20)
        self.assertEqual(self.lagging_processes(), [])
        for name in self.fleet.entry_names:
            alive = self.fleet.peers[name].membership.alive()
            self.assertEqual(len(alive), 12)

    def test_with_the_store_down_every_entry_keeps_serving(self):
        self.fleet.run(3600 / 60)
        for name in self.fleet.entry_names:
            membership = self.fleet.peers[name].membership
            self.assertTrue(membership.may_serve(self.fleet.now))

    def test_a_restarted_entry_gets_the_newest_revision_from_peers(self):
        for _ in range(5):
            self.accept()
            self.fleet.run(1)
        self.fleet.stop("e2")
        self.fleet.run(5)
        self.fleet.start_entry("e2", incarnation=1)
        self.fleet.run(2)
        self.assertEqual(self.lagging_processes(), [])
        alive = {m.name: m for m in self.fleet.peers["e1"].membership.alive()}
        self.assertEqual(alive["e2"].incarnation, 1)

    def test_a_restart_with_an_older_incarnation_raises_it(self):
        self.fleet.stop("e2")
        self.fleet.start_entry("e2", incarnation=5)
        self.fleet.run(3)
        self.fleet.stop("e2")
        self.fleet.start_entry("e2", incarnation=0)
        self.fleet.run(5)
        self.assertGreater(
            self.fleet.peers["e2"].membership.local_member.incarnation, 5
        )

    def test_a_restarted_agent_gets_the_complete_state(self):
        for _ in range(5):
            self.accept()
            self.fleet.run(1)
        self.fleet.stop("a2")
        self.fleet.start_agent("a2", incarnation=1)
        self.fleet.run(1.5)
        self.assertEqual(self.lagging_processes(), [])

    def test_a_gap_longer_than_the_change_log(self):
        self.fleet.cut = lambda a, b: "e4" in (a, b)
        for _ in range(300):
            new_change, state = self.history.next()
            self.fleet.accept("e0", new_change, state)
            self.fleet.run(0.02)
        self.fleet.cut = lambda a, b: False
        self.fleet.run(10)
        self.assertEqual(self.lagging_processes(), [])


class MembershipTest(unittest.TestCase):
    def test_a_dead_entry_is_detected_by_all(self):
        fleet = Fleet(entries=20, agents=0, domains=4)
        fleet.run(2)
        fleet.stop("e3")
        fleet.run(15)
        for peer in fleet.peers.values():
            state = peer.membership.members["e3"].state
            self.assertIs(state, MemberState.DEAD)

    def test_a_live_entry_is_not_declared_dead_under_loss(self):
        fleet = Fleet(entries=20, agents=0, domains=4, loss=0.1)
        fleet.run(60)
        for peer in fleet.peers.values():
            self.assertEqual(len(peer.membership.alive()), 20)

    def test_a_leave_reaches_all_entries(self):
        fleet = Fleet(entries=20, agents=0, domains=4)
        fleet.run(2)
        commands = fleet.peers["e3"].membership.leave(fleet.now)
        fleet.carry_out("e3", commands)
        fleet.run(0.1)
        fleet.stop("e3")
        fleet.run(5)
        for peer in fleet.peers.values():
            state = peer.membership.members["e3"].state
            self.assertIs(state, MemberState.LEFT)

    def test_entries_meet_through_one_seed(self):
        fleet = Fleet(entries=20, agents=0, domains=4, known=1)
        fleet.run(20)
        for peer in fleet.peers.values():
            self.assertEqual(len(peer.membership.alive()), 20)

    def test_half_is_a_majority_only_with_the_lowest_name(self):
        fleet = Fleet(entries=2, agents=0, domains=1)
        fleet.run(2)
        fleet.cut = lambda a, b: True
        fleet.run(MAX_STALENESS + 1)
        serving = [
            name
            for name, peer in fleet.peers.items()
            if peer.membership.may_serve(fleet.now)
        ]
        self.assertEqual(serving, ["e0"])

    def test_a_partitioned_third_stops_when_polls_are_samples(self):
        fleet = Fleet(entries=150, agents=0, domains=3)
        fleet.run(1)
        fleet.cut = lambda a, b: (int(a[1:]) % 3 == 0) != (int(b[1:]) % 3 == 0)
        fleet.run(5)
        for name, peer in fleet.peers.items():
            serves = peer.membership.may_serve(fleet.now)
            self.assertEqual(serves, int(name[1:]) % 3 != 0, name)

    def test_one_answer_is_not_contact_with_a_majority(self):
        fleet = Fleet(entries=20, agents=0, domains=4)
        fleet.run(2)
        fleet.cut = lambda a, b: "e0" in (a, b) and {a, b} != {"e0", "e1"}
        fleet.run(5)
        self.assertFalse(fleet.peers["e0"].membership.may_serve(fleet.now))
        self.assertTrue(fleet.peers["e1"].membership.may_serve(fleet.now))

    def test_reading_the_store_suffices_to_serve(self):
        fleet = Fleet(entries=3, agents=0, domains=1)
        fleet.cut = lambda a, b: True
        fleet.run(4)
        membership = fleet.peers["e2"].membership
        self.assertFalse(membership.may_serve(fleet.now))
        self.assertTrue(membership.watches(fleet.now))
        membership.store_read(fleet.now)
        self.assertTrue(membership.may_serve(fleet.now))
        self.assertFalse(membership.in_majority(fleet.now))


class ReplicaTest(unittest.TestCase):
    def test_revisions_only_increase(self):
        fleet = Fleet(entries=1, agents=0, domains=1)
        member = fleet.member("a0", Role.AGENT)
        agent = AgentPeer(member, fleet.seeds, 0.0)
        history = History()
        new_change, old = history.next()
        agent.receive(CataloguePush(member, 1, PushScope.NONE, (new_change,)), 0.0)
        second, new = history.next()
        agent.receive(CataloguePush(member, 2, PushScope.NONE, (), new), 0.0)
        commands = agent.receive(CataloguePush(member, 1, PushScope.NONE, (), old), 0.0)
        self.assertEqual(agent.revision, 2)
        self.assertEqual(commands[0].message.revision, 2)

    def test_a_gap_is_pulled(self):
        member = Fleet(0, 0, 1).member("a0", Role.AGENT)
        agent = AgentPeer(member, (), 0.0)
        (command,) = agent.receive(
            CataloguePush(member, 3, PushScope.NONE, (change(3),)), 0.0
        )
        self.assertEqual(command.message, CataloguePull(member, 0))


class CodecTest(unittest.TestCase):
    def test_messages_are_decoded_as_encoded(self):
        fleet = Fleet(entries=8, agents=8, domains=2)
        history = History()
        message_names = {}

        def check(name, recipient, message):
            message_names[type(message).__name__] = True
            wire = codec.encode(message).SerializeToString()
            decoded = codec.decode(codec.pb.PeerMessage.FromString(wire))
            if getattr(message, "store_age", None) is None:
                self.assertEqual(decoded, message)

        fleet.on_message = check
        fleet.run(2)
        fleet.accept("e0", *history.next())
        fleet.run(1)
        fleet.stop("e1")
        fleet.start_entry("e1", 1)
        fleet.run(4)
        self.assertEqual(
            sorted(message_names),
            [
                "AgentHeartbeat",
                "CataloguePull",
                "CataloguePush",
                "EntryRoster",
                "Probe",
                "RevisionApplied",
            ],
        )

    def test_confirmation_with_laggards(self):
        member = Fleet(0, 0, 1).member("e0", Role.ENTRY)
        message = RevisionApplied(
            member, 3, PushScope.AGENTS, 4, (LaggingProcess("a", 1, "dead"),)
        )
        self.assertEqual(codec.decode(codec.encode(message)), message)
