"""A specification of claim, seal and takeover, for the model checker.

Two entries use one key, for two attempts each at one agent, whose restarts
make new incarnations.  The key is written a bounded number of times.  A
message on the wire is delivered late, or never; a paused or dead entry is
one that takes no step.  An answer of the store may be lost before or after
the write took effect.  The first entry's attempts
have an earlier deadline, after which the agent starts none of them and may
forget what it knew.

``python -m tests.claim_spec`` reports the states and the depth.
"""

import argparse
import dataclasses
import enum
import typing as t

from minicheck import Protocol, check_safety

MAX_STATES = 2_000_000
MAX_WRITES = 4  # to the key; two entries that race could go on for ever
NOBODY = -1
ATTEMPTS = 2  # of each entry


class Guard(enum.Enum):
    """What keeps a key from running twice; a mutant lacks one of them."""

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
    REFUSED = 6  # the attempt sent is proved not to run
    OVER = 7


class Kept(enum.IntEnum):
    """What a claim says of its attempt."""

    CLAIMED = 0
    DONE = 1
    FAILED = 2
    RELEASED = 3


class Claim(t.NamedTuple):
    version: int = 0
    attempt: int = NOBODY
    incarnation: int = 0
    kept: Kept = Kept.CLAIMED


class Entry(t.NamedTuple):
    phase: Phase = Phase.IDLE
    number: int = 0
    incarnation: int = 0
    version: int = 0
    other: int = NOBODY
    other_incarnation: int = 0


class Swap(t.NamedTuple):
    entry: int
    attempt: int
    incarnation: int
    version: int
    kept: Kept


class Offer(t.NamedTuple):
    attempt: int
    incarnation: int


class State(t.NamedTuple):
    claim: Claim = Claim()
    entries: tuple = (Entry(), Entry())
    wire: frozenset = frozenset()
    incarnation: int = 0
    sealed: frozenset = frozenset()
    started: frozenset = frozenset()
    late: bool = False
    ran: tuple = ()
    disproved: frozenset = frozenset()  # attempts told not to have run


@dataclasses.dataclass(frozen=True)
class Spec:
    """The protocol, less the guards that a mutant lacks."""

    missing: frozenset = frozenset()
    restarts: int = 1
    writes: int = MAX_WRITES

    def protocol(self, depths=None):
        def transitions(values):
            steps = self.steps(State(*values))
            steps = [(label, tuple(self._tidy(after))) for label, after in steps]
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
                "at_most_one_run": lambda d: len(d["ran"]) <= 1,
                "not_run_is_true": lambda d: not d["disproved"] & set(d["ran"]),
            },
        )

    def _tidy(self, s):
        """Drop what no later step can tell apart, to have fewer states."""
        entries = tuple(self._tidy_entry(entry) for entry in s.entries)
        wire = frozenset(m for m in s.wire if self._matters(s, m))
        return s._replace(entries=entries, wire=wire)

    @staticmethod
    def _tidy_entry(entry):
        match entry.phase:
            case Phase.OVER:
                return Entry(Phase.OVER)
            case Phase.READING:
                return entry._replace(version=0, other=NOBODY, other_incarnation=0)
            case Phase.SEALING:
                return entry
        return entry._replace(other=NOBODY, other_incarnation=0)

    def _matters(self, s, message):
        match message:
            case Swap(version=version):  # a late loser is as good as lost
                return version == s.claim.version < self.writes
            case Offer(attempt=attempt, incarnation=incarnation):
                entry = s.entries[attempt // ATTEMPTS]
                awaited = entry.phase is Phase.SENT and attempt == self._attempt(
                    attempt // ATTEMPTS, entry
                )
                stale = incarnation != s.incarnation or attempt in s.sealed
                checked = self._has(Guard.INCARNATION_IS_CHECKED)
                return awaited or not (stale and checked)

    def steps(self, s):
        found = []
        for index in (0, 1):
            found += self._entry_steps(s, index)
        for message in s.wire:
            match message:
                case Swap():
                    found += self._deliver_swap(s, message)
                case Offer():
                    found += self._deliver_offer(s, message)
        found += self._agent_steps(s)
        return found

    def _has(self, guard):
        return guard not in self.missing

    # Entries.

    def _entry_steps(self, s, index):
        entry = s.entries[index]
        name = f"entry {index}"
        match entry.phase:
            case Phase.IDLE:
                begun = entry._replace(incarnation=s.incarnation)
                return [(f"{name} claims", self._swap(s, index, begun))]
            case Phase.CLAIMING:
                return self._lose_answer(s, index, entry)
            case Phase.READING:
                return [(f"{name} reads", self._read(s, index, entry))]
            case Phase.SEALING:
                return self._seal(s, index, entry)
            case Phase.HELD:
                return [(f"{name} sends", self._send(s, index, entry))]
            case Phase.SENT:
                return self._give_up(s, index, entry)
            case Phase.REFUSED:
                return self._go_on(s, index, entry)
        return []

    def _swap(self, s, index, entry):
        """Ask the store for a claim at the version that was seen."""
        message = Swap(
            index,
            self._attempt(index, entry),
            entry.incarnation,
            entry.version,
            Kept.CLAIMED,
        )
        s = s._replace(wire=s.wire | {message})
        return self._set(s, index, entry._replace(phase=Phase.CLAIMING))

    def _lose_answer(self, s, index, entry):
        """Hear nothing: the swap is done, on its way or lost."""
        phase = Phase.READING
        if not self._has(Guard.LOST_ANSWER_IS_READ_BACK):
            phase = Phase.HELD
        after = self._set(s, index, entry._replace(phase=phase))
        return [(f"entry {index} hears nothing of its claim", after)]

    def _read(self, s, index, entry):
        claim = s.claim
        entry = entry._replace(version=claim.version)
        if claim.attempt == NOBODY or claim.kept is Kept.RELEASED:
            return self._swap(s, index, entry)
        if claim.kept is not Kept.CLAIMED:
            return self._set(s, index, entry._replace(phase=Phase.OVER))
        if claim.attempt == self._attempt(index, entry):
            return self._set(s, index, entry._replace(phase=Phase.HELD))
        if claim.attempt // ATTEMPTS == index:
            return self._swap(s, index, entry)
        if not self._has(Guard.SEAL_BEFORE_TAKEOVER):
            return self._swap(s, index, entry)
        sealing = entry._replace(
            phase=Phase.SEALING,
            other=claim.attempt,
            other_incarnation=claim.incarnation,
        )
        return self._set(s, index, sealing)

    def _seal(self, s, index, entry):
        """Ask the agent; the answer comes, or is lost and asked for again."""
        sealed, not_started = self._seal_at_agent(s, entry)
        lost = (f"agent seals, entry {index} hears nothing", sealed)
        read = self._set(sealed, index, entry._replace(phase=Phase.READING))
        if not not_started:
            return [lost, (f"entry {index} hears that it may have started", read)]
        told = sealed._replace(disproved=sealed.disproved | {entry.other})
        taken = self._swap(told, index, entry)
        return [lost, (f"entry {index} takes over", taken)]

    def _seal_at_agent(self, s, entry):
        attempt = entry.other
        if self._has(Guard.INCARNATION_IS_CHECKED):
            if entry.other_incarnation != s.incarnation:
                return s, False
        if attempt in s.started:
            return s, False
        forgotten = s.late and attempt < ATTEMPTS and attempt not in s.sealed
        if forgotten and self._has(Guard.FORGOTTEN_IS_UNKNOWN):
            return s, False
        if self._has(Guard.SEAL_IS_RECORDED):
            s = s._replace(sealed=s.sealed | {attempt})
        return s, True

    def _send(self, s, index, entry):
        offer = Offer(self._attempt(index, entry), entry.incarnation)
        s = s._replace(wire=s.wire | {offer})
        return self._set(s, index, entry._replace(phase=Phase.SENT))

    def _give_up(self, s, index, entry):
        """End in doubt, with or without keeping that."""
        over = self._set(s, index, entry._replace(phase=Phase.OVER))
        kept = self._keep(over, index, entry, Kept.FAILED)
        name = f"entry {index} gives up"
        return [(name, over), (f"{name} and keeps it", kept)]

    def _go_on(self, s, index, entry):
        """Try again or free the key, after a proof that nothing ran."""
        over = self._set(s, index, entry._replace(phase=Phase.OVER))
        freed = self._keep(over, index, entry, Kept.RELEASED)
        found = [(f"entry {index} frees the key", freed)]
        if entry.number + 1 == ATTEMPTS:
            return found
        again = entry._replace(number=entry.number + 1, incarnation=s.incarnation)
        if self._has(Guard.EACH_ATTEMPT_IS_CLAIMED):
            after = self._swap(s, index, again)
        else:
            after = self._set(s, index, again._replace(phase=Phase.HELD))
        return [*found, (f"entry {index} tries again", after)]

    def _keep(self, s, index, entry, kept):
        message = Swap(
            index,
            self._attempt(index, entry),
            entry.incarnation,
            entry.version,
            kept,
        )
        return s._replace(wire=s.wire | {message})

    # The store.

    def _deliver_swap(self, s, swap):
        after = s._replace(wire=s.wire - {swap})
        entry = s.entries[swap.entry]
        awaited = (
            entry.phase is Phase.CLAIMING
            and swap.kept is Kept.CLAIMED
            and swap.attempt == self._attempt(swap.entry, entry)
            and swap.version == entry.version
        )
        name = f"store swaps for entry {swap.entry}"
        if swap.version != s.claim.version:
            if not awaited:
                return [(f"{name} in vain", after)]
            return [(f"{name} in vain", self._read(after, swap.entry, entry))]
        claim = Claim(swap.version + 1, swap.attempt, swap.incarnation, swap.kept)
        after = after._replace(claim=claim)
        found = [(f"{name}, the answer is lost", after)]
        if awaited:
            held = entry._replace(phase=Phase.HELD, version=claim.version)
            found.append((name, self._set(after, swap.entry, held)))
        return found

    # The agent.

    def _deliver_offer(self, s, offer):
        after = s._replace(wire=s.wire - {offer})
        stale = offer.incarnation != s.incarnation
        if not self._has(Guard.INCARNATION_IS_CHECKED):
            stale = False
        late = s.late and offer.attempt < ATTEMPTS
        if stale or late or offer.attempt in s.sealed:
            return self._refuse(after, offer)
        started = after._replace(
            started=after.started | {offer.attempt},
            ran=tuple(sorted((*after.ran, offer.attempt))),
        )
        found = [(f"agent runs attempt {offer.attempt}", started)]
        index = offer.attempt // ATTEMPTS
        entry = started.entries[index]
        if entry.phase is Phase.SENT and self._attempt(index, entry) == offer.attempt:
            over = self._set(started, index, entry._replace(phase=Phase.OVER))
            kept = self._keep(over, index, entry, Kept.DONE)
            found.append((f"entry {index} hears the result", kept))
        return found

    def _refuse(self, s, offer):
        found = [(f"agent refuses {offer.attempt}, the answer is lost", s)]
        index = offer.attempt // ATTEMPTS
        entry = s.entries[index]
        if entry.phase is Phase.SENT and self._attempt(index, entry) == offer.attempt:
            told = s._replace(disproved=s.disproved | {offer.attempt})
            refused = entry._replace(phase=Phase.REFUSED)
            after = self._set(told, index, refused)
            found.append((f"agent refuses {offer.attempt}", after))
        return found

    def _agent_steps(self, s):
        found = []
        if s.incarnation < self.restarts:
            replaced = s._replace(
                incarnation=s.incarnation + 1,
                sealed=frozenset(),
                started=frozenset(),
            )
            found.append(("agent is replaced", replaced))
        if not s.late:
            found.append(("first deadline passes", s._replace(late=True)))
        for attempt in sorted(s.started) if s.late else ():
            if attempt < ATTEMPTS:
                forgot = s._replace(started=s.started - {attempt})
                found.append((f"agent forgets attempt {attempt}", forgot))
        return found

    @staticmethod
    def _attempt(index, entry):
        return index * ATTEMPTS + entry.number

    @staticmethod
    def _set(s, index, entry):
        entries = list(s.entries)
        entries[index] = entry
        return s._replace(entries=tuple(entries))


def check(missing=(), restarts=1, writes=MAX_WRITES):
    """Return the checker's result and the depth that it reached."""
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
        broken = result["properties"]["at_most_one_run"]
        steps = len(broken["counterexample"] or [None]) - 1
        print(f"without {guard.name.lower()}: holds {broken['holds']}, {steps} steps")


if __name__ == "__main__":
    main()
