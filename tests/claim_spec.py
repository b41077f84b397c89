"""Specification of claims, seals and takeovers for the model checker.

Two entries use one key, with two attempts each, at one agent, whose restarts
make new incarnations.  The key is written a bounded number of times.  A
message is delivered after any delay, or never; a paused or crashed entry is
one that takes no step.  An answer of the store may be lost before or after
the write took effect.  The first entry's attempts have an earlier deadline,
after which the agent starts none of them and may discard its record of them.

``python -m tests.claim_spec`` prints the number of states and the depth.
"""

import argparse
import dataclasses
import enum
import typing as t

from minicheck import Protocol, check_safety

MAX_STATES = 2_000_000
MAX_WRITES = 4  # writes to the key; two competing entries could write without end
NO_ATTEMPT = -1
ATTEMPTS = 2  # attempts of each entry


class Guard(enum.Enum):
    """Rules by which a key runs at most once; a mutant lacks one of them."""

    SEAL_IS_RECORDED = enum.auto()
    SEAL_BEFORE_TAKEOVER = enum.auto()
    INCARNATION_IS_CHECKED = enum.auto()
    EACH_ATTEMPT_IS_CLAIMED = enum.auto()
    LOST_ANSWER_IS_READ_BACK = enum.auto()
    FORGOTTEN_IS_UNKNOWN = enum.auto()


class Phase(enum.IntEnum):
    IDLE = 0
    CLAIMING = 1
    READING = 2
    SEALING = 3
    HELD = 4
    SENT = 5
    REFUSED = 6  # the attempt that was sent is proved never to run
    ENDED = 7


class ClaimState(enum.IntEnum):
    """State of the attempt that a claim is for."""

    CLAIMED = 0
    DONE = 1
    FAILED = 2
    RELEASED = 3


class Claim(t.NamedTuple):
    version: int = 0
    attempt: int = NO_ATTEMPT
    incarnation: int = 0
    state: ClaimState = ClaimState.CLAIMED


class Entry(t.NamedTuple):
    phase: Phase = Phase.IDLE
    number: int = 0
    incarnation: int = 0
    version: int = 0
    other_attempt: int = NO_ATTEMPT
    other_incarnation: int = 0


class Swap(t.NamedTuple):
    entry: int
    attempt: int
    incarnation: int
    version: int
    state: ClaimState


class Offer(t.NamedTuple):
    attempt: int
    incarnation: int


class State(t.NamedTuple):
    claim: Claim = Claim()
    entries: tuple = (Entry(), Entry())
    messages: frozenset = frozenset()
    incarnation: int = 0
    sealed: frozenset = frozenset()
    started: frozenset = frozenset()
    deadline_passed: bool = False
    ran: tuple = ()
    reported_not_run: frozenset = (
        frozenset()
    )  # attempts that an entry counts as not run


@dataclasses.dataclass(frozen=True)
class Spec:
    """The protocol without the guards that a mutant lacks."""

    missing: frozenset = frozenset()
    restarts: int = 1
    writes: int = MAX_WRITES

    def protocol(self, depths=None):
        def transitions(values):
            steps = self.steps(State(*values))
            steps = [(label, tuple(self._normalize(after))) for label, after in steps]
            if depths is not None:
                for _, after in steps:
                    depths.setdefault(after, depths[values] + 1)
            return steps

        return Protocol(
            name="claim",
            candidate=False,
            fields=State._fields,
            initial=tuple(State()),
            transitions=transitions,
            invariants={
                "at_most_one_run": lambda fields: len(fields["ran"]) <= 1,
                "not_run_is_true": lambda fields: not fields["reported_not_run"]
                & set(fields["ran"]),
            },
        )

    def _normalize(self, state):
        """Remove what no later step depends on, to have fewer states."""
        entries = tuple(self._normalize_entry(entry) for entry in state.entries)
        messages = frozenset(
            message for message in state.messages if self._is_relevant(state, message)
        )
        return state._replace(entries=entries, messages=messages)

    @staticmethod
    def _normalize_entry(entry):
        match entry.phase:
            case Phase.ENDED:
                return Entry(Phase.ENDED)
            case Phase.READING:
                return entry._replace(
                    version=0, other_attempt=NO_ATTEMPT, other_incarnation=0
                )
            case Phase.SEALING:
                return entry
        return entry._replace(other_attempt=NO_ATTEMPT, other_incarnation=0)

    def _is_relevant(self, state, message):
        match message:
            case Swap(version=version):  # a conflicting swap has no effect
                return version == state.claim.version < self.writes
            case Offer(attempt=attempt, incarnation=incarnation):
                entry = state.entries[attempt // ATTEMPTS]
                awaited = entry.phase is Phase.SENT and attempt == self._attempt(
                    attempt // ATTEMPTS, entry
                )
                stale = incarnation != state.incarnation or attempt in state.sealed
                checked = self._is_enabled(Guard.INCARNATION_IS_CHECKED)
                return awaited or not (stale and checked)

    def steps(self, state):
        steps = []
        for index in (0, 1):
            steps += self._entry_steps(state, index)
        for message in state.messages:
            match message:
                case Swap():
                    steps += self._deliver_swap(state, message)
                case Offer():
                    steps += self._deliver_offer(state, message)
        steps += self._agent_steps(state)
        return steps

    def _is_enabled(self, guard):
        return guard not in self.missing

    # Entries

    def _entry_steps(self, state, index):
        entry = state.entries[index]
        name = f"entry {index}"
        match entry.phase:
            case Phase.IDLE:
                claiming = entry._replace(incarnation=state.incarnation)
                return [(f"{name} claims", self._swap(state, index, claiming))]
            case Phase.CLAIMING:
                return self._lose_store_answer(state, index, entry)
            case Phase.READING:
                return [(f"{name} reads", self._read(state, index, entry))]
            case Phase.SEALING:
                return self._seal(state, index, entry)
            case Phase.HELD:
                return [(f"{name} sends", self._send(state, index, entry))]
            case Phase.SENT:
                return self._abandon(state, index, entry)
            case Phase.REFUSED:
                return self._after_refusal(state, index, entry)
        return []

    def _swap(self, state, index, entry):
        """Write a claim to the store if the key still has the version read."""
        message = Swap(
            index,
            self._attempt(index, entry),
            entry.incarnation,
            entry.version,
            ClaimState.CLAIMED,
        )
        state = state._replace(messages=state.messages | {message})
        return self._set_entry(state, index, entry._replace(phase=Phase.CLAIMING))

    def _lose_store_answer(self, state, index, entry):
        """Get no answer: the swap took effect, is in flight or was lost."""
        phase = Phase.READING
        if not self._is_enabled(Guard.LOST_ANSWER_IS_READ_BACK):
            phase = Phase.HELD
        after = self._set_entry(state, index, entry._replace(phase=phase))
        return [(f"entry {index} gets no answer to its claim", after)]

    def _read(self, state, index, entry):
        claim = state.claim
        entry = entry._replace(version=claim.version)
        if claim.attempt == NO_ATTEMPT or claim.state is ClaimState.RELEASED:
            return self._swap(state, index, entry)
        if claim.state is not ClaimState.CLAIMED:
            return self._set_entry(state, index, entry._replace(phase=Phase.ENDED))
        if claim.attempt == self._attempt(index, entry):
            return self._set_entry(state, index, entry._replace(phase=Phase.HELD))
        if claim.attempt // ATTEMPTS == index:
            return self._swap(state, index, entry)
        if not self._is_enabled(Guard.SEAL_BEFORE_TAKEOVER):
            return self._swap(state, index, entry)
        sealing = entry._replace(
            phase=Phase.SEALING,
            other_attempt=claim.attempt,
            other_incarnation=claim.incarnation,
        )
        return self._set_entry(state, index, sealing)

    def _seal(self, state, index, entry):
        """Seal at the agent; a lost answer is requested again."""
        sealed, not_started = self._seal_at_agent(state, entry)
        lost = (f"agent seals, the answer to entry {index} is lost", sealed)
        reading = self._set_entry(sealed, index, entry._replace(phase=Phase.READING))
        if not not_started:
            return [lost, (f"entry {index} learns that it may have started", reading)]
        reported = sealed._replace(
            reported_not_run=sealed.reported_not_run | {entry.other_attempt}
        )
        takeover = self._swap(reported, index, entry)
        return [lost, (f"entry {index} takes over", takeover)]

    def _seal_at_agent(self, state, entry):
        attempt = entry.other_attempt
        if self._is_enabled(Guard.INCARNATION_IS_CHECKED):
            if entry.other_incarnation != state.incarnation:
                return state, False
        if attempt in state.started:
            return state, False
        forgotten = (
            state.deadline_passed and attempt < ATTEMPTS and attempt not in state.sealed
        )
        if forgotten and self._is_enabled(Guard.FORGOTTEN_IS_UNKNOWN):
            return state, False
        if self._is_enabled(Guard.SEAL_IS_RECORDED):
            state = state._replace(sealed=state.sealed | {attempt})
        return state, True

    def _send(self, state, index, entry):
        offer = Offer(self._attempt(index, entry), entry.incarnation)
        state = state._replace(messages=state.messages | {offer})
        return self._set_entry(state, index, entry._replace(phase=Phase.SENT))

    def _abandon(self, state, index, entry):
        """End with an unknown outcome, recorded in the store or not."""
        ended = self._set_entry(state, index, entry._replace(phase=Phase.ENDED))
        recorded = self._record_outcome(ended, index, entry, ClaimState.FAILED)
        name = f"entry {index} abandons the attempt"
        return [(name, ended), (f"{name} and records that", recorded)]

    def _after_refusal(self, state, index, entry):
        """Retry or release the key, as the attempt is proved not to run."""
        ended = self._set_entry(state, index, entry._replace(phase=Phase.ENDED))
        released = self._record_outcome(ended, index, entry, ClaimState.RELEASED)
        steps = [(f"entry {index} releases the key", released)]
        if entry.number + 1 == ATTEMPTS:
            return steps
        retry = entry._replace(number=entry.number + 1, incarnation=state.incarnation)
        if self._is_enabled(Guard.EACH_ATTEMPT_IS_CLAIMED):
            after = self._swap(state, index, retry)
        else:
            after = self._set_entry(state, index, retry._replace(phase=Phase.HELD))
        return [*steps, (f"entry {index} retries", after)]

    def _record_outcome(self, state, index, entry, claim_state):
        message = Swap(
            index,
            self._attempt(index, entry),
            entry.incarnation,
            entry.version,
            claim_state,
        )
        return state._replace(messages=state.messages | {message})

    # Store

    def _deliver_swap(self, state, swap):
        after = state._replace(messages=state.messages - {swap})
        entry = state.entries[swap.entry]
        awaited = (
            entry.phase is Phase.CLAIMING
            and swap.state is ClaimState.CLAIMED
            and swap.attempt == self._attempt(swap.entry, entry)
            and swap.version == entry.version
        )
        name = f"store swaps for entry {swap.entry}"
        if swap.version != state.claim.version:
            if not awaited:
                return [(f"{name} without effect", after)]
            return [(f"{name} without effect", self._read(after, swap.entry, entry))]
        claim = Claim(swap.version + 1, swap.attempt, swap.incarnation, swap.state)
        after = after._replace(claim=claim)
        steps = [(f"{name}, the answer is lost", after)]
        if awaited:
            held = entry._replace(phase=Phase.HELD, version=claim.version)
            steps.append((name, self._set_entry(after, swap.entry, held)))
        return steps

    # Agent

    def _deliver_offer(self, state, offer):
        after = state._replace(messages=state.messages - {offer})
        stale = offer.incarnation != state.incarnation
        if not self._is_enabled(Guard.INCARNATION_IS_CHECKED):
            stale = False
        expired = state.deadline_passed and offer.attempt < ATTEMPTS
        if stale or expired or offer.attempt in state.sealed:
            return self._refuse(after, offer)
        started = after._replace(
            started=after.started | {offer.attempt},
            ran=tuple(sorted((*after.ran, offer.attempt))),
        )
        steps = [(f"agent runs attempt {offer.attempt}", started)]
        index = offer.attempt // ATTEMPTS
        entry = started.entries[index]
        if entry.phase is Phase.SENT and self._attempt(index, entry) == offer.attempt:
            ended = self._set_entry(started, index, entry._replace(phase=Phase.ENDED))
            recorded = self._record_outcome(ended, index, entry, ClaimState.DONE)
            steps.append((f"entry {index} receives the result", recorded))
        return steps

    def _refuse(self, state, offer):
        steps = [(f"agent refuses {offer.attempt}, the answer is lost", state)]
        index = offer.attempt // ATTEMPTS
        entry = state.entries[index]
        if entry.phase is Phase.SENT and self._attempt(index, entry) == offer.attempt:
            reported = state._replace(
                reported_not_run=state.reported_not_run | {offer.attempt}
            )
            refused = entry._replace(phase=Phase.REFUSED)
            after = self._set_entry(reported, index, refused)
            steps.append((f"agent refuses {offer.attempt}", after))
        return steps

    def _agent_steps(self, state):
        steps = []
        if state.incarnation < self.restarts:
            replaced = state._replace(
                incarnation=state.incarnation + 1,
                sealed=frozenset(),
                started=frozenset(),
            )
            steps.append(("agent is replaced", replaced))
        if not state.deadline_passed:
            steps.append(
                ("first deadline passes", state._replace(deadline_passed=True))
            )
        for attempt in sorted(state.started) if state.deadline_passed else ():
            if attempt < ATTEMPTS:
                forgotten = state._replace(started=state.started - {attempt})
                steps.append((f"agent forgets attempt {attempt}", forgotten))
        return steps

    @staticmethod
    def _attempt(index, entry):
        return index * ATTEMPTS + entry.number

    @staticmethod
    def _set_entry(state, index, entry):
        entries = list(state.entries)
        entries[index] = entry
        return state._replace(entries=tuple(entries))


def check(missing=(), restarts=1, writes=MAX_WRITES):
    """Return the checker's result and the greatest depth."""
    depths = {tuple(State()): 0}
    spec = Spec(frozenset(missing), restarts, writes)
    result = check_safety(spec.protocol(depths), max_states=MAX_STATES)
    return result, max(depths.values())


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--restarts", type=int, default=1, help="of the agent")
    parser.add_argument("--writes", type=int, default=MAX_WRITES, help="to the key")
    options = parser.parse_args()
    bounds = {"restarts": options.restarts, "writes": options.writes}
    result, depth = check(**bounds)
    print(f"states {result['reachable_states']}, depth {depth}")
    print(f"exhaustive: {result['exhaustive']}")
    for name, outcome in result["properties"].items():
        print(f"{name}: {outcome['holds']}")
    for guard in Guard:
        result, _ = check({guard}, **bounds)
        outcome = result["properties"]["at_most_one_run"]
        steps = len(outcome["counterexample"] or [None]) - 1
        print(f"without {guard.name.lower()}: holds {outcome['holds']}, {steps} steps")


if __name__ == "__main__":
    main()
