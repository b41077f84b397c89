"""Leadership: cases, and a model check with pauses and lost answers."""

import dataclasses
import typing as t
import unittest

from minicheck import Protocol, check_safety

from chicorycove.event import (
    OutcomeUnknown,
    StoreUnreachable,
    SwapConflicted,
    SwapSucceeded,
    ValueRead,
)
from chicorycove.lease import (
    CheckingKey,
    CreateLeaderKey,
    CreatingKey,
    Leading,
    LeaseController,
    LeaseGranted,
    LeaseGrantFailed,
    LeaseNotFound,
    LeaseRenewalFailed,
    LeaseRenewed,
    LeaseSettings,
    ReadLeaderKey,
    RenewLease,
    RequestLease,
    RevokeLease,
    Standby,
    Tick,
)

SETTINGS = LeaseSettings(
    ttl=3.0, margin=1.0, renew_interval=1.0, poll_interval=1.0, retry_interval=1.0
)
LAST_TIME = 4.0
HOLDERS = (b"one", b"two")


class LeaseControllerTest(unittest.TestCase):
    def setUp(self):
        self.controller = LeaseController(SETTINGS, b"one")

    def step(self, state, event, now):
        return self.controller.step(state, event, now)

    def test_taking_a_free_lease(self):
        state, command = self.step(Standby(), Tick(), 10.0)
        self.assertEqual(command, ReadLeaderKey(SETTINGS.key))
        state, command = self.step(state, ValueRead(b"", 0), 10.0)
        self.assertEqual(command, RequestLease(SETTINGS.ttl))
        state, command = self.step(state, LeaseGranted(5, 10.0), 10.2)
        self.assertEqual(command, CreateLeaderKey(SETTINGS.key, 5))
        state, command = self.step(state, SwapSucceeded(42), 10.4)
        self.assertEqual(self.controller.fence(state, 11.9), 42)
        self.assertIsNone(self.controller.fence(state, 12.0))

    def test_lost_answer_to_a_claim_is_settled_by_reading(self):
        state, command = self.step(CreatingKey(5, 10.0), OutcomeUnknown(), 10.5)
        self.assertEqual(command, ReadLeaderKey(SETTINGS.key))
        mine, _ = self.step(state, ValueRead(b"one", 42), 10.6)
        self.assertEqual(self.controller.fence(mine, 10.7), 42)
        other, command = self.step(state, ValueRead(b"two", 41), 10.6)
        self.assertIsInstance(other, Standby)
        self.assertEqual(command, RevokeLease(5))

    def test_held_by_another(self):
        state, _ = self.step(Standby(), Tick(), 10.0)
        state, command = self.step(state, ValueRead(b"two", 3), 10.0)
        self.assertIsInstance(state, Standby)
        self.assertIsNone(command)

    def test_store_down_ends_leadership_in_time(self):
        state = Leading(5, 42, valid_until=12.0, renew_at=11.0)
        state, command = self.step(state, Tick(), 11.0)
        self.assertEqual(command, RenewLease(5))
        state, _ = self.step(state, LeaseRenewalFailed(), 11.5)
        self.assertEqual(self.controller.fence(state, 11.9), 42)
        self.assertIsNone(self.controller.fence(state, 12.0))

    def test_renewal_counts_from_when_it_was_asked(self):
        state = Leading(5, 42, valid_until=12.0, renew_at=11.0)
        state, _ = self.step(state, Tick(), 11.0)
        state, _ = self.step(state, LeaseRenewed(), 14.0)  # a long pause
        self.assertIsNone(self.controller.fence(state, 14.0))


class World(t.NamedTuple):
    """Two candidates and the store; a call waits, then its answer does."""

    now: float = 0.0
    states: tuple = (Standby(), Standby())
    calls: tuple = (None, None)
    answers: tuple = (None, None)
    key: tuple | None = None  # holder and version
    revision: int = 1
    leases: tuple = (None, None)  # when each candidate's lapses


def put(pair, index, item):
    return tuple(item if n == index else old for n, old in enumerate(pair))


LOST = {
    RequestLease: LeaseGrantFailed(),
    CreateLeaderKey: OutcomeUnknown(),
    ReadLeaderKey: StoreUnreachable(),
    RenewLease: LeaseRenewalFailed(),
    RevokeLease: None,
}


class Model:
    """The real controllers against a store in one tuple."""

    def __init__(self, mutant=""):
        self.mutant = mutant
        self.refuted = False
        names = ("same", "same") if mutant == "names" else HOLDERS
        self.controllers = [LeaseController(SETTINGS, name) for name in names]
        self.names = names

    def protocol(self):
        return Protocol(
            name="lease",
            candidate=False,
            fields=World._fields,
            initial=World(),
            transitions=lambda state: list(self.transitions(World(*state))),
            invariants={"one": self.at_most_one},
        )

    def at_most_one(self, fields):
        world = World(**fields)
        fences = [
            controller.fence(state, world.now)
            for controller, state in zip(self.controllers, world.states)
        ]
        self.refuted |= None not in fences
        return None in fences

    def transitions(self, world):
        if self.refuted:
            return  # one counterexample is enough
        if world.now < LAST_TIME:
            yield "tick", self.tick(world)
        for index in (0, 1):
            call, answer = world.calls[index], world.answers[index]
            if answer is not None:
                taken = world._replace(answers=put(world.answers, index, None))
                yield "answer", self.feed(taken, index, answer)
            elif call is None:
                yield "pass", self.feed(world, index, Tick())
            else:
                yield from self.carry_out(world, index, call)

    def carry_out(self, world, index, call):
        waiting = world._replace(calls=put(world.calls, index, None))
        done, answer = self.effect(waiting, index, call)
        lost = LOST[type(call)]
        for label, after, said in (
            ("done", done, answer),
            ("done, lost", done, lost),
            ("lost", waiting, lost),
        ):
            yield label, after._replace(answers=put(after.answers, index, said))

    def effect(self, world, index, call):
        match call:
            case RequestLease(ttl):
                leases = put(world.leases, index, world.now + ttl)
                return world._replace(leases=leases), LeaseGranted(index, world.now)
            case CreateLeaderKey():
                return self.claim(world, index)
            case ReadLeaderKey():
                held = world.key
                found = ValueRead(*held[:2]) if held else ValueRead(b"", 0)
                return world, found
            case RenewLease():
                if world.leases[index] is None:
                    return world, LeaseNotFound()
                lapse = world.now + SETTINGS.ttl
                return (
                    world._replace(leases=put(world.leases, index, lapse)),
                    LeaseRenewed(),
                )
            case RevokeLease():
                return self.end(world, index), None

    def claim(self, world, index):
        if world.leases[index] is None:
            return world, LeaseNotFound()
        if world.key is not None and self.mutant != "swap":
            return world, SwapConflicted(*world.key[:2])
        revision = world.revision + 1
        key = (self.names[index], revision, index)
        return world._replace(key=key, revision=revision), SwapSucceeded(revision)

    def end(self, world, index):
        world = world._replace(leases=put(world.leases, index, None))
        if world.key is not None and world.key[2] == index:
            world = world._replace(key=None)
        return world

    def tick(self, world):
        world = world._replace(now=world.now + 1.0)
        for index, lapse in enumerate(world.leases):
            early = 2.0 if self.mutant == "early" else 0.0
            if lapse is not None and lapse - early <= world.now:
                world = self.end(world, index)
        return world

    def feed(self, world, index, event):
        state, call = self.controllers[index].step(
            world.states[index], event, world.now
        )
        if self.mutant == "asked" and isinstance(state, Leading):
            until = world.now + SETTINGS.ttl  # from the answer, not the call
            state = dataclasses.replace(state, valid_until=until)
        if self.mutant == "settle" and isinstance(state, CheckingKey):
            state, call = Leading(index, 0, world.now + 2.0, world.now + 1.0), None
        world = world._replace(states=put(world.states, index, state))
        return world._replace(calls=put(world.calls, index, call))


class LeaseModelTest(unittest.TestCase):
    def test_two_never_lead_at_once(self):
        result = check_safety(Model().protocol(), 400_000)
        self.assertTrue(result["exhaustive"])
        self.assertIs(result["properties"]["one"]["holds"], True)
        self.assertGreater(result["reachable_states"], 1000)

    def test_mutants_fail(self):
        for mutant in ("swap", "names", "early", "asked", "settle"):
            with self.subTest(mutant=mutant):
                result = check_safety(Model(mutant).protocol(), 60_000)
                self.assertIs(result["properties"]["one"]["holds"], False)
