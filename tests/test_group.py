"""Groups of engines: reservation, order of work, and every loss."""

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
PATIENT = GroupSettings(reserve_timeout=1e9)  # hides no deadlock


class Ids:
    """Makes attempts whose nonces never repeat."""

    def __init__(self, prefix="n"):
        self._prefix = prefix
        self._count = 0

    def __call__(self, request, number):
        self._count += 1
        return AttemptId(request, number, f"{self._prefix}{self._count}")


def make_coordinator(board, prefix="n", settings=SETTINGS):
    router = Router(RoutingSettings(), random.Random(1))
    return GroupCoordinator(settings, board, router, Ids(prefix))


class GroupTest(unittest.TestCase):
    def setUp(self):
        self.board = make_board(6)
        self.groups = make_coordinator(self.board)
        self.state = RequestState(prompt(int(2.5 * MEMORY), 100))
        self.board.requests[self.state.request.id] = self.state

    def start(self):
        return self.groups.start(self.state, 0.0)

    def reserve_all(self):
        """Reserve every member; return the reservations and the next step."""
        reserves = []
        commands = self.start()
        while isinstance(commands[0], ReserveMemory):
            reserves.append(commands[0])
            commands = self.groups.handle(MemoryReserved(commands[0].attempt), 1.0)
        return reserves, commands

    def send(self):
        """Bring a group to its last step; return all of its commands."""
        reserves, commands = self.reserve_all()
        steps = list(commands)
        while isinstance(commands[0], PrefillSegment):
            commands = self.groups.handle(SegmentPrefilled(commands[0].attempt), 2.0)
            steps += commands
        return reserves, steps

    def assert_given_back(self, commands, reserves):
        released = {x.attempt for x in commands if isinstance(x, ReleaseMemory)}
        self.assertEqual(released, {x.attempt for x in reserves})
        for target in self.board.targets.values():
            self.assertEqual(target.outstanding, {})
        for reserve in reserves:
            self.assertFalse(self.groups.owns(reserve.attempt))

    def test_needed_only_beyond_the_largest_engine(self):
        self.assertTrue(self.groups.needed(prompt(MEMORY, 1)))
        self.assertFalse(self.groups.needed(prompt(MEMORY - 1, 1)))

    def test_members_reserve_one_by_one_in_order(self):
        reserves, _ = self.reserve_all()
        names = [reserve.agent.target for reserve in reserves]
        self.assertEqual(names, sorted(names))
        self.assertEqual(len(names), len(set(names)))
        self.assertEqual(len({x.attempt for x in reserves}), len(reserves))

    def test_memory_of_all_covers_the_prompt(self):
        reserves, _ = self.reserve_all()
        needed = self.state.request.work.memory
        self.assertEqual(sum(reserve.memory for reserve in reserves), needed)
        for reserve in reserves:
            self.assertLessEqual(reserve.memory, MEMORY)

    def test_segments_are_computed_in_order_and_cover_the_prompt(self):
        reserves, steps = self.send()
        position = 0
        for number, step in enumerate(steps[:-1]):
            self.assertIsInstance(step, PrefillSegment)
            self.assertEqual(step.start, position)
            earlier = tuple(x.agent for x in reserves[:number])
            self.assertEqual(step.members, earlier)
            position = step.stop
        send = steps[-1]
        self.assertIsInstance(send, SendAttempt)
        self.assertEqual(send.attempt, reserves[-1].attempt)
        self.assertEqual(send.members, tuple(x.agent for x in reserves[:-1]))
        tokens = self.state.request.work.tokens
        self.assertLess(position, tokens)

    def test_end_gives_all_back(self):
        reserves, steps = self.send()
        commands = self.groups.handle(AnswerCompleted(steps[-1].attempt, 10), 3.0)
        self.assert_given_back(commands, reserves)

    def test_refusal_at_each_reservation_gives_all_back(self):
        for failing in range(3):
            with self.subTest(member=failing):
                self.setUp()
                reserves = self.start()
                for _ in range(failing):
                    event = MemoryReserved(reserves[-1].attempt)
                    reserves += self.groups.handle(event, 1.0)
                event = AttemptRefused(reserves[-1].attempt, Reason.QUEUE_FULL)
                commands = self.groups.handle(event, 1.0)
                self.assert_given_back(commands, reserves)
                failure = commands[-1]
                self.assertEqual(
                    failure,
                    AbandonGroup("r0", Reason.QUEUE_FULL, Verdict.NOT_RUN),
                )
                self.assertIn(reserves[-1].agent.target, self.state.tried_targets)

    def test_loss_of_each_member_while_computing(self):
        for lost in range(3):
            with self.subTest(member=lost):
                self.setUp()
                reserves, _ = self.reserve_all()
                commands = self.groups.handle(AgentDetached(reserves[lost].agent), 2.0)
                self.assert_given_back(commands, reserves)
                self.assertIs(commands[-1].verdict, Verdict.NOT_RUN)

    def test_loss_of_each_member_while_decoding(self):
        for lost in range(3):
            with self.subTest(member=lost):
                self.setUp()
                reserves, _ = self.send()
                commands = self.groups.handle(AgentDetached(reserves[lost].agent), 2.0)
                self.assert_given_back(commands, reserves)
                self.assertIs(commands[-1].verdict, Verdict.MAY_HAVE_RUN)

    def test_failed_prefill_did_not_run_the_request(self):
        reserves, _ = self.reserve_all()
        event = AttemptFailed(
            reserves[0].attempt, Reason.TARGET_FAILED, Verdict.MAY_HAVE_RUN
        )
        commands = self.groups.handle(event, 2.0)
        self.assertIs(commands[-1].verdict, Verdict.NOT_RUN)

    def test_retry_goes_past_a_lost_member(self):
        reserves, _ = self.reserve_all()
        lost = reserves[0].agent
        self.groups.handle(AgentDetached(lost), 2.0)
        again, _ = self.reserve_all()
        self.assertNotIn(lost, {reserve.agent for reserve in again})
        old = {reserve.attempt for reserve in reserves}
        self.assertFalse(old & {reserve.attempt for reserve in again})

    def test_late_and_crossed_answers_move_nothing(self):
        reserves = self.start()
        stranger = AttemptId("r0", 1, "stranger")
        self.assertEqual(self.groups.handle(MemoryReserved(stranger), 1.0), [])
        early = SegmentPrefilled(reserves[0].attempt)
        self.assertEqual(self.groups.handle(early, 1.0), [])
        reserves += self.groups.handle(MemoryReserved(reserves[0].attempt), 1.0)
        twice = MemoryReserved(reserves[0].attempt)
        self.assertEqual(self.groups.handle(twice, 1.0), [])
        self.groups.abandon("r0", 1.0)
        late = MemoryReserved(reserves[1].attempt)
        self.assertEqual(self.groups.handle(late, 1.0), [])

    def test_reservation_that_never_comes_is_given_up(self):
        reserves = self.start()
        reserves += self.groups.handle(MemoryReserved(reserves[0].attempt), 1.0)
        self.assertEqual(self.groups.handle(Tick(), 30.9), [])
        commands = self.groups.handle(Tick(), 31.0)
        self.assert_given_back(commands, reserves)
        self.assertIsInstance(commands[-1], AbandonGroup)

    def test_fleet_that_is_too_small_fails_at_once(self):
        board = make_board(2)
        groups = make_coordinator(board)
        commands = groups.start(self.state, 0.0)
        failure = AbandonGroup("r0", Reason.MEMORY_FULL, Verdict.NOT_RUN)
        self.assertEqual(commands, [failure])


class FakeAgent:
    """An agent's queue and ledger beside a perfect engine."""

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

    def take(self, now):
        taken = []
        while (offer := self.backlog.dequeue(now, self.ledger)) is not None:
            taken.append(offer)
        return taken

    def lapse(self, now):
        self.backlog.remove_lapsed(now, self.ledger)
        for attempt in self.ledger.cancel_lapsed(now):
            self.ledger.release(attempt)


class GroupMachine(RuleBasedStateMachine):
    """Coordinators that compete and die, beside a stream of small work.

    The oracle is each agent's ledger: it never exceeds its engine, and all
    memory comes back after the owners end or fall silent.
    """

    AGENTS = 5
    TICK = 0.5

    @initialize()
    def begin(self):
        self.now = 0.0
        self.board = make_board(self.AGENTS)
        names = [name for name in self.board.targets if name.startswith("engine")]
        self.agents = {name: FakeAgent(name) for name in names}
        self.coordinators = {}
        self.lives = 0
        self.requests = 0
        self.running = []
        self.inbox = []
        self.sent = set()
        self.small = 0

    @rule(entry=st.sampled_from(["a", "b"]), memories=st.floats(1.1, 3.5))
    def start(self, entry, memories):
        owner = self.owner(entry)
        self.requests += 1
        request = prompt(int(memories * MEMORY), 100, number=self.requests)
        state = RequestState(request)
        commands = self.coordinators[owner].start(state, self.now)
        self.carry_out(owner, commands)

    def owner(self, entry):
        """Return the name of an entry's life, a new one after a death."""
        for owner in self.coordinators:
            if owner.startswith(entry):
                return owner
        self.lives += 1
        owner = f"{entry}{self.lives}"
        self.coordinators[owner] = make_coordinator(self.board, owner, PATIENT)
        return owner

    @rule(data=st.data(), memory=st.integers(1, MEMORY // 2))
    def small_work(self, data, memory):
        agent = data.draw(st.sampled_from(sorted(self.agents)))
        self.small += 1
        attempt = AttemptId("small", self.small, "n")
        offer = AttemptOffer(attempt, "small", "1", 1e9, 0, memory=memory)
        self.agents[agent].ledger.renew("small", self.now)
        self.agents[agent].backlog.enqueue(offer, self.now)

    @rule(entry=st.sampled_from(["a", "b"]))
    def die(self, entry):
        owner = self.owner(entry)
        del self.coordinators[owner]
        self.inbox = [item for item in self.inbox if item[0] != owner]

    @rule(data=st.data())
    def deliver(self, data):
        if self.inbox:
            index = data.draw(st.integers(0, len(self.inbox) - 1))
            self.deliver_one(index)

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
            agent.lapse(self.now)
        for owner, coordinator in list(self.coordinators.items()):
            self.carry_out(owner, coordinator.handle(Tick(), self.now))
        self.serve()

    def serve(self):
        for agent in self.agents.values():
            for offer in agent.take(self.now):
                if offer.owner == "small":
                    self.running.append((self.now + 1.0, agent, offer.attempt))
                else:
                    self.inbox.append((offer.owner, MemoryReserved(offer.attempt)))

    def deliver_one(self, index):
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
    def engines_are_never_promised_twice(self):
        for agent in self.agents.values():
            assert agent.ledger.used <= MEMORY

    def teardown(self):
        """Every group whose coordinator lives is sent; all memory returns."""
        expected = {group for x in self.coordinators.values() for group in x._groups}
        for _ in range(1000):
            while self.inbox:
                self.deliver_one(0)
            if all(not x._groups for x in self.coordinators.values()):
                break
            self.tick()
        assert expected <= self.sent, expected - self.sent
        self.coordinators.clear()
        for _ in range(40):
            self.tick()
        for agent in self.agents.values():
            assert agent.ledger.used == 0, agent.ledger.attempts


class GroupMachineTest(GroupMachine.TestCase):
    """Runs the machine, under a name that a test process can load."""


GroupMachineTest.settings = settings(
    max_examples=50, stateful_step_count=40, deadline=None, derandomize=True
)
