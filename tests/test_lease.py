"""Tests of the lease, with a model check of pauses and lost answers."""

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

    def test_free_lease_is_acquired(self):
        state, command = self.step(Standby(), Tick(), 10.0)
        self.assertEqual(command, ReadLeaderKey(SETTINGS.key))
        state, command = self.step(state, ValueRead(b"", 0), 10.0)
        self.assertEqual(command, RequestLease(SETTINGS.ttl))
        state, command = self.step(state, LeaseGranted(5, 10.0), 10.2)
        self.assertEqual(command, CreateLeaderKey(SETTINGS.key, 5))
        state, command = self.step(state, SwapSucceeded(42), 10.4)
        self.assertEqual(self.controller.fence(state, 11.9), 42)
        self.assertIsNone(self.controller.fence(state, 12.0))

    def test_unknown_outcome_of_key_creation_is_resolved_by_reading(self):
        state, command = self.step(CreatingKey(5, 10.0), OutcomeUnknown(), 10.5)
        self.assertEqual(command, ReadLeaderKey(SETTINGS.key))
        own_state, _ = self.step(state, ValueRead(b"one", 42), 10.6)
        self.assertEqual(self.controller.fence(own_state, 10.7), 42)
        other, command = self.step(state, ValueRead(b"two", 41), 10.6)
        self.assertIsInstance(other, Standby)
        self.assertEqual(command, RevokeLease(5))

    def test_candidate_waits_while_another_leads(self):
        state, _ = self.step(Standby(), Tick(), 10.0)
        state, command = self.step(state, ValueRead(b"two", 3), 10.0)
        self.assertIsInstance(state, Standby)
        self.assertIsNone(command)

    def test_unreachable_store_ends_leadership_before_the_lease_expires(self):
        state = Leading(5, 42, valid_until=12.0, renew_at=11.0)
        state, command = self.step(state, Tick(), 11.0)
        self.assertEqual(command, RenewLease(5))
        state, _ = self.step(state, LeaseRenewalFailed(), 11.5)
        self.assertEqual(self.controller.fence(state, 11.9), 42)
        self.assertIsNone(self.controller.fence(state, 12.0))

    def test_renewal_counts_from_the_time_of_its_call(self):
        state = Leading(5, 42, valid_until=12.0, renew_at=11.0)
        state, _ = self.step(state, Tick(), 11.0)
        # The answer is handled after a long pause of the process.
        state, _ = self.step(state, LeaseRenewed(), 14.0)
        self.assertIsNone(self.controller.fence(state, 14.0))


class SystemState(t.NamedTuple):
    """Two candidates and the store, with each one's pending call or answer."""

    now: float = 0.0
    states: tuple = (Standby(), Standby())
    calls: tuple = (None, None)
    answers: tuple = (None, None)
    key: tuple | None = None  # holder, version and candidate's index
    revision: int = 1
    leases: tuple = (None, None)  # expiry time of each candidate's lease


def replace_at(pair, index, item):
    return tuple(
        item if position == index else old for position, old in enumerate(pair)
    )


LOST_ANSWERS = {
    RequestLease: LeaseGrantFailed(),
    CreateLeaderKey: OutcomeUnknown(),
    ReadLeaderKey: StoreUnreachable(),
    RenewLease: LeaseRenewalFailed(),
    RevokeLease: None,
}


class LeaseModel:
    """The real controllers with a store that is one tuple.

    A mutant breaks one assumption, and the check must then find two leaders.
    """

    def __init__(self, mutant=""):
        self.mutant = mutant
        self.refuted = False
        names = ("same", "same") if mutant == "shared_holder" else HOLDERS
        self.controllers = [LeaseController(SETTINGS, name) for name in names]
        self.names = names

    def protocol(self):
        return Protocol(
            name="lease",
            candidate=False,
            fields=SystemState._fields,
            initial=SystemState(),
            transitions=lambda state: list(self.transitions(SystemState(*state))),
            invariants={"one_leader": self.has_one_leader_at_most},
        )

    def has_one_leader_at_most(self, fields):
        system = SystemState(**fields)
        fences = [
            controller.fence(state, system.now)
            for controller, state in zip(self.controllers, system.states)
        ]
        self.refuted |= None not in fences
        return None in fences

    def transitions(self, system):
        if self.refuted:
            return  # stop at the first counterexample
        if system.now < LAST_TIME:
            yield "advance clock", self.advance_clock(system)
        for index in (0, 1):
            call, answer = system.calls[index], system.answers[index]
            if answer is not None:
                delivered = system._replace(
                    answers=replace_at(system.answers, index, None)
                )
                yield "answer", self.deliver(delivered, index, answer)
            elif call is None:
                yield "tick", self.deliver(system, index, Tick())
            else:
                yield from self.call_outcomes(system, index, call)

    def call_outcomes(self, system, index, call):
        not_executed = system._replace(calls=replace_at(system.calls, index, None))
        executed, answer = self.apply_call(not_executed, index, call)
        lost = LOST_ANSWERS[type(call)]
        for label, after, reply in (
            ("executed", executed, answer),
            ("executed, answer lost", executed, lost),
            ("not executed", not_executed, lost),
        ):
            yield label, after._replace(answers=replace_at(after.answers, index, reply))

    def apply_call(self, system, index, call):
        match call:
            case RequestLease(ttl):
                leases = replace_at(system.leases, index, system.now + ttl)
                return system._replace(leases=leases), LeaseGranted(index, system.now)
            case CreateLeaderKey():
                return self.create_key(system, index)
            case ReadLeaderKey():
                stored_key = system.key
                found = ValueRead(*stored_key[:2]) if stored_key else ValueRead(b"", 0)
                return system, found
            case RenewLease():
                if system.leases[index] is None:
                    return system, LeaseNotFound()
                expiry = system.now + SETTINGS.ttl
                return (
                    system._replace(leases=replace_at(system.leases, index, expiry)),
                    LeaseRenewed(),
                )
            case RevokeLease():
                return self.end_lease(system, index), None

    def create_key(self, system, index):
        if system.leases[index] is None:
            return system, LeaseNotFound()
        if system.key is not None and self.mutant != "overwrite_key":
            return system, SwapConflicted(*system.key[:2])
        revision = system.revision + 1
        key = (self.names[index], revision, index)
        return system._replace(key=key, revision=revision), SwapSucceeded(revision)

    def end_lease(self, system, index):
        system = system._replace(leases=replace_at(system.leases, index, None))
        if system.key is not None and system.key[2] == index:
            system = system._replace(key=None)
        return system

    def advance_clock(self, system):
        system = system._replace(now=system.now + 1.0)
        for index, expiry in enumerate(system.leases):
            early_by = 2.0 if self.mutant == "early_expiry" else 0.0
            if expiry is not None and expiry - early_by <= system.now:
                system = self.end_lease(system, index)
        return system

    def deliver(self, system, index, event):
        state, call = self.controllers[index].step(
            system.states[index], event, system.now
        )
        if self.mutant == "ttl_from_answer" and isinstance(state, Leading):
            valid_until = system.now + SETTINGS.ttl  # from the answer, not the call
            state = dataclasses.replace(state, valid_until=valid_until)
        if self.mutant == "skip_check" and isinstance(state, CheckingKey):
            state, call = Leading(index, 0, system.now + 2.0, system.now + 1.0), None
        system = system._replace(states=replace_at(system.states, index, state))
        return system._replace(calls=replace_at(system.calls, index, call))


class LeaseModelTest(unittest.TestCase):
    def test_two_candidates_never_lead_simultaneously(self):
        result = check_safety(LeaseModel().protocol(), 400_000)
        self.assertTrue(result["exhaustive"])
        self.assertIs(result["properties"]["one_leader"]["holds"], True)
        self.assertGreater(result["reachable_states"], 1000)

    def test_mutants_are_refuted(self):
        for mutant in (
            "overwrite_key",
            "shared_holder",
            "early_expiry",
            "ttl_from_answer",
            "skip_check",
        ):
            with self.subTest(mutant=mutant):
                result = check_safety(LeaseModel(mutant).protocol(), 60_000)
                self.assertIs(result["properties"]["one_leader"]["holds"], False)
