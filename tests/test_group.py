"""Groups of engines: reservations, order of prefill, losses of members."""

import random
import unittest

from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from chicorycove.backlog import Backlog, BacklogSettings
from chicorycove.board import RequestState
from chicorycove.command import AbandonGroup, PrefillSegment, SendAttempt
from chicorycove.event import AgentDetached, AttemptOffer, SegmentPrefilled
from chicorycove.group import GroupCoordinator, GroupSettings
from chicorycove.identity import AgentId, AttemptId
from chicorycove.ledger import Ledger, LedgerSettings
from chicorycove.lifecycle import (
    AnswerCompleted,
    AttemptFailed,
    AttemptRefused,
    MemoryReserved,
    ReleaseMemory,
    ReserveMemory,
    Tick,
)
from chicorycove.reason import Reason
from chicorycove.routing import Router, RoutingSettings
from chicorycove.verdict import Verdict

from .test_routing import MEMORY, make_board, prompt

SETTINGS = GroupSettings(reserve_timeout=30.0)
NO_TIMEOUT = GroupSettings(reserve_timeout=1e9)  # a timeout would hide a deadlock


class AttemptIds:
    """Makes attempt ids whose nonces never repeat."""

    def __init__(self, prefix="n"):
        self._prefix = prefix
        self._count = 0

    def __call__(self, request, number):
        self._count += 1
        return AttemptId(request, number, f"{self._prefix}{self._count}")


def make_coordinator(board, prefix="n", settings=SETTINGS):
    router = Router(RoutingSettings(), random.Random(1))
    return GroupCoordinator(settings, board, router, AttemptIds(prefix))


class GroupTest(unittest.TestCase):
    def setUp(self):
        self.board = make_board(6)
        self.groups = make_coordinator(self.board)
        self.state = RequestState(prompt(int(2.5 * MEMORY), 100))
        self.board.requests[self.state.request.id] = self.state

    def start(self):
        return self.groups.start(self.state, 0.0)

    def reserve_all(self):
        """Reserve every member; return the requests and the next commands."""
        reserves = []
        commands = self.start()
        while isinstance(commands[0], ReserveMemory):
            reserves.append(commands[0])
            commands = self.groups.handle(MemoryReserved(commands[0].attempt), 1.0)
        return reserves, commands

    def send(self):
        """Bring a group to its last step; return the requests and commands."""
        reserves, commands = self.reserve_all()
        steps = list(commands)
        while isinstance(commands[0], PrefillSegment):
            commands = self.groups.handle(SegmentPrefilled(commands[0].attempt), 2.0)
            steps += commands
        return reserves, steps

    def assert_released(self, commands, reserves):
        released = {
            command.attempt
            for command in commands
            if isinstance(command, ReleaseMemory)
        }
        self.assertEqual(released, {reserve.attempt for reserve in reserves})
        for target in self.board.targets.values():
            self.assertEqual(target.outstanding, {})
        for reserve in reserves:
            self.assertFalse(self.groups.owns(reserve.attempt))

    def test_group_is_needed_only_beyond_the_largest_engine(self):
        self.assertTrue(self.groups.needs_group(prompt(MEMORY, 1)))
        self.assertFalse(self.groups.needs_group(prompt(MEMORY - 1, 1)))

    def test_members_reserve_one_by_one_in_order(self):
        reserves, _ = self.reserve_all()
        names = [reserve.agent.target for reserve in reserves]
        self.assertEqual(names, sorted(names))
        self.assertEqual(len(names), len(set(names)))
        self.assertEqual(len({reserve.attempt for reserve in reserves}), len(reserves))

    def test_reserved_memory_covers_the_prompt(self):
        reserves, _ = self.reserve_all()
        needed = self.state.request.work.memory
        self.assertEqual(sum(reserve.memory for reserve in reserves), needed)
        for reserve in reserves:
            self.assertLessEqual(reserve.memory, MEMORY)

    def test_segments_are_prefilled_in_order_and_cover_the_prompt(self):
        reserves, steps = self.send()
        position = 0
        for number, step in enumerate(steps[:-1]):
            self.assertIsInstance(step, PrefillSegment)
            self.assertEqual(step.start, position)
            earlier = tuple(reserve.agent for reserve in reserves[:number])
            self.assertEqual(step.members, earlier)
            position = step.stop
        send = steps[-1]
        self.assertIsInstance(send, SendAttempt)
        self.assertEqual(send.attempt, reserves[-1].attempt)
        self.assertEqual(
            send.members, tuple(reserve.agent for reserve in reserves[:-1])
        )
        tokens = self.state.request.work.tokens
        self.assertLess(position, tokens)

    def test_completed_answer_releases_all_memory(self):
        reserves, steps = self.send()
        commands = self.groups.handle(AnswerCompleted(steps[-1].attempt, 10), 3.0)
        self.assert_released(commands, reserves)

    def test_refusal_at_each_reservation_releases_all_memory(self):
        for failing in range(3):
            with self.subTest(member=failing):
                self.setUp()
                reserves = self.start()
                for _ in range(failing):
                    event = MemoryReserved(reserves[-1].attempt)
                    reserves += self.groups.handle(event, 1.0)
                event = AttemptRefused(reserves[-1].attempt, Reason.QUEUE_FULL)
                commands = self.groups.handle(event, 1.0)
                self.assert_released(commands, reserves)
                failure = commands[-1]
                self.assertEqual(
                    failure,
                    AbandonGroup("r0", Reason.QUEUE_FULL, Verdict.NOT_RUN),
                )
                self.assertIn(reserves[-1].agent.target, self.state.tried_targets)

    def test_loss_of_each_member_during_prefill(self):
        for lost in range(3):
            with self.subTest(member=lost):
                self.setUp()
                reserves, _ = self.reserve_all()
                commands = self.groups.handle(AgentDetached(reserves[lost].agent), 2.0)
                self.assert_released(commands, reserves)
                self.assertIs(commands[-1].verdict, Verdict.NOT_RUN)

    def test_loss_of_each_member_during_decoding(self):
        for lost in range(3):
            with self.subTest(member=lost):
                self.setUp()
                reserves, _ = self.send()
                commands = self.groups.handle(AgentDetached(reserves[lost].agent), 2.0)
                self.assert_released(commands, reserves)
                self.assertIs(commands[-1].verdict, Verdict.MAY_HAVE_RUN)

    def test_failed_prefill_leaves_the_request_not_run(self):
        reserves, _ = self.reserve_all()
        event = AttemptFailed(
            reserves[0].attempt, Reason.TARGET_FAILED, Verdict.MAY_HAVE_RUN
        )
        commands = self.groups.handle(event, 2.0)
        self.assertIs(commands[-1].verdict, Verdict.NOT_RUN)

    def test_retry_avoids_a_lost_member(self):
        reserves, _ = self.reserve_all()
        lost = reserves[0].agent
        self.groups.handle(AgentDetached(lost), 2.0)
        retried, _ = self.reserve_all()
        self.assertNotIn(lost, {reserve.agent for reserve in retried})
        earlier = {reserve.attempt for reserve in reserves}
        self.assertFalse(earlier & {reserve.attempt for reserve in retried})

    def test_delayed_and_unexpected_answers_are_ignored(self):
        reserves = self.start()
        unknown = AttemptId("r0", 1, "stranger")
        self.assertEqual(self.groups.handle(MemoryReserved(unknown), 1.0), [])
        premature = SegmentPrefilled(reserves[0].attempt)
        self.assertEqual(self.groups.handle(premature, 1.0), [])
        reserves += self.groups.handle(MemoryReserved(reserves[0].attempt), 1.0)
        repeated = MemoryReserved(reserves[0].attempt)
        self.assertEqual(self.groups.handle(repeated, 1.0), [])
        self.groups.abandon("r0", 1.0)
        delayed = MemoryReserved(reserves[1].attempt)
        self.assertEqual(self.groups.handle(delayed, 1.0), [])

    def test_reservation_times_out(self):
        reserves = self.start()
        reserves += self.groups.handle(MemoryReserved(reserves[0].attempt), 1.0)
        self.assertEqual(self.groups.handle(Tick(), 30.9), [])
        commands = self.groups.handle(Tick(), 31.0)
        self.assert_released(commands, reserves)
        self.assertIsInstance(commands[-1], AbandonGroup)

    def test_fleet_that_is_too_small_fails_immediately(self):
        board = make_board(2)
        groups = make_coordinator(board)
        commands = groups.start(self.state, 0.0)
        failure = AbandonGroup("r0", Reason.MEMORY_FULL, Verdict.NOT_RUN)
        self.assertEqual(commands, [failure])


class FakeAgent:
    """An agent's queue and ledger, with an engine that never fails."""

    def __init__(self, name):
        self.id = AgentId(name, "1")
        self.ledger = Ledger(MEMORY, LedgerSettings(lease_duration=3.0))
        self.backlog = Backlog(BacklogSettings(limit=100, backfill_time=0.5))

    def reserve(self, command, owner, now):
        offer = AttemptOffer(
            command.attempt, owner, "1", 1e9, 5, memory=command.memory, grouped=True
        )
        self.ledger.renew(owner, now)
        self.backlog.enqueue(offer, now)

    def release(self, attempt):
        self.backlog.remove(attempt)
        self.ledger.release(attempt)

    def admit(self, now):
        admitted = []
        while (offer := self.backlog.dequeue(now, self.ledger)) is not None:
            admitted.append(offer)
        return admitted

    def expire_leases(self, now):
        self.backlog.remove_lapsed(now, self.ledger)
        for attempt in self.ledger.cancel_lapsed(now):
            self.ledger.release(attempt)


class GroupMachine(RuleBasedStateMachine):
    """Competing coordinators that may crash, with a stream of small requests.

    Each agent's ledger is checked: it never exceeds the engine's memory, and
    all memory is released once the owners end or stop sending heartbeats.
    """

    AGENTS = 5
    TICK = 0.5

    @initialize()
    def set_up(self):
        self.now = 0.0
        self.board = make_board(self.AGENTS)
        names = [name for name in self.board.targets if name.startswith("engine")]
        self.agents = {name: FakeAgent(name) for name in names}
        self.coordinators = {}
        self.incarnations = 0
        self.requests = 0
        self.running = []
        self.inbox = []
        self.sent = set()
        self.small_count = 0

    @rule(entry=st.sampled_from(["a", "b"]), memory_ratio=st.floats(1.1, 3.5))
    def start(self, entry, memory_ratio):
        owner = self.owner_of(entry)
        self.requests += 1
        request = prompt(int(memory_ratio * MEMORY), 100, number=self.requests)
        state = RequestState(request)
        commands = self.coordinators[owner].start(state, self.now)
        self.carry_out(owner, commands)

    def owner_of(self, entry):
        """Return an entry's owner id, which is a new one after a crash."""
        for owner in self.coordinators:
            if owner.startswith(entry):
                return owner
        self.incarnations += 1
        owner = f"{entry}{self.incarnations}"
        self.coordinators[owner] = make_coordinator(self.board, owner, NO_TIMEOUT)
        return owner

    @rule(data=st.data(), memory=st.integers(1, MEMORY // 2))
    def send_small_request(self, data, memory):
        agent = data.draw(st.sampled_from(sorted(self.agents)))
        self.small_count += 1
        attempt = AttemptId("small", self.small_count, "n")
        offer = AttemptOffer(attempt, "small", "1", 1e9, 0, memory=memory)
        self.agents[agent].ledger.renew("small", self.now)
        self.agents[agent].backlog.enqueue(offer, self.now)

    @rule(entry=st.sampled_from(["a", "b"]))
    def crash_coordinator(self, entry):
        owner = self.owner_of(entry)
        del self.coordinators[owner]
        self.inbox = [item for item in self.inbox if item[0] != owner]

    @rule(data=st.data())
    def deliver(self, data):
        if self.inbox:
            index = data.draw(st.integers(0, len(self.inbox) - 1))
            self.deliver_event(index)

    @rule(data=st.data())
    def lose_link(self, data):
        name = data.draw(st.sampled_from(sorted(self.agents)))
        for owner, coordinator in list(self.coordinators.items()):
            event = AgentDetached(self.agents[name].id)
            self.carry_out(owner, coordinator.handle(event, self.now))

    @rule()
    def tick(self):
        self.now += self.TICK
        for end, agent, attempt in list(self.running):
            if end <= self.now:
                agent.release(attempt)
        self.running = [item for item in self.running if item[0] > self.now]
        for agent in self.agents.values():
            agent.ledger.renew("small", self.now)
            for owner in self.coordinators:
                agent.ledger.renew(owner, self.now)
            agent.expire_leases(self.now)
        for owner, coordinator in list(self.coordinators.items()):
            self.carry_out(owner, coordinator.handle(Tick(), self.now))
        self.admit_offers()

    def admit_offers(self):
        for agent in self.agents.values():
            for offer in agent.admit(self.now):
                if offer.owner == "small":
                    self.running.append((self.now + 1.0, agent, offer.attempt))
                else:
                    self.inbox.append((offer.owner, MemoryReserved(offer.attempt)))

    def deliver_event(self, index):
        owner, event = self.inbox.pop(index)
        coordinator = self.coordinators.get(owner)
        if coordinator is not None:
            self.carry_out(owner, coordinator.handle(event, self.now))

    def carry_out(self, owner, commands):
        for command in commands:
            match command:
                case ReserveMemory(attempt, agent):
                    self.agents[agent.target].reserve(command, owner, self.now)
                case ReleaseMemory(attempt, agent):
                    self.agents[agent.target].release(attempt)
                case PrefillSegment(attempt):
                    self.inbox.append((owner, SegmentPrefilled(attempt)))
                case SendAttempt(attempt):
                    self.inbox.append((owner, AnswerCompleted(attempt, 1)))
                    self.sent.add(attempt.request)

    @invariant()
    def memory_is_never_overcommitted(self):
        for agent in self.agents.values():
            assert agent.ledger.used <= MEMORY

    def teardown(self):
        """Check that every group was sent and all memory was released.

        Groups of crashed coordinators need not be sent.
        """
        expected = {
            group
            for coordinator in self.coordinators.values()
            for group in coordinator._groups
        }
        for _ in range(1000):
            while self.inbox:
                self.deliver_event(0)
            if all(
                not coordinator._groups for coordinator in self.coordinators.values()
            ):
                break
            self.tick()
        assert expected <= self.sent, expected - self.sent
        self.coordinators.clear()
        for _ in range(40):
            self.tick()
        for agent in self.agents.values():
            assert agent.ledger.used == 0, agent.ledger.attempts


class GroupMachineTest(GroupMachine.TestCase):
    """Runs the state machine under a name that test processes can load."""


GroupMachineTest.settings = settings(
    max_examples=50, stateful_step_count=40, deadline=None, derandomize=True
)
