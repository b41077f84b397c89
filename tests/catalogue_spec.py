"""A specification of how changes are committed and spread, for model checking.

Two operators each commit one change to a store.  The store may lose a request
before the write, or the answer after it, and may delay a write.  An operator's
process may crash; the operator then tries the same change again.  A process
receives revisions in any order, is at times partitioned from the store and its
peers, and restarts once.  Time passes only after every reachable process has
the newest revision, which is then due.
"""

import enum
import typing as t

from minicheck import Protocol, check_liveness, check_safety

MAX_STATES = 200_000
MUTANT_STATES = 8_000  # enough to reach each violation
PROCESSES = 1
PARTITIONED_PROCESS = 0  # the process that is partitioned at times
RESTARTED_PROCESS = 0  # the process that restarts


class Guard(enum.Enum):
    """A rule that the catalogue's safety needs; a mutant lacks one."""

    SWAP_COMPARES = enum.auto()
    LOST_ANSWER_IS_READ_BACK = enum.auto()
    REFUSED_ONLY_AFTER_THE_HEAD_CHANGED = enum.auto()
    ID_IS_RECORDED = enum.auto()
    REVISIONS_ONLY_INCREASE = enum.auto()
    PARTITIONED_STOPS_SERVING = enum.auto()
    RESTARTED_UPDATES_BEFORE_SERVING = enum.auto()


class Phase(enum.IntEnum):
    IDLE = 0
    READY = 1
    UNKNOWN = 2
    CRASHED = 3
    ACCEPTED = 4
    REFUSED = 5


class Operator(t.NamedTuple):
    phase: Phase = Phase.IDLE
    base: int = 0
    crashed: bool = False


class Process(t.NamedTuple):
    revision: int = 0
    serving: bool = True


class State(t.NamedTuple):
    history: tuple[int, ...] = ()
    operators: tuple[Operator, ...] = (Operator(), Operator())
    delayed_writes: frozenset[tuple[int, int]] = frozenset()
    processes: tuple[Process, ...] = (Process(),) * PROCESSES
    partitioned: bool = False
    restarted: bool = False
    due_revision: int = 0


def protocol(missing=frozenset()):
    """Return the protocol without the given guards."""
    spec = _Spec(frozenset(Guard) - frozenset(missing))
    return Protocol(
        name="catalogue",
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=spec.transitions,
        invariants={
            "accepted_stays_in_history": _accepted_stay,
            "refused_stays_out_of_history": _refused_stay_out,
            "accepted_once": lambda values: len(set(values["history"]))
            == len(values["history"]),
            "in_force_when_due": _in_force_when_due,
        },
        goal=_all_at_newest,
    )


def check_all():
    """Check safety, and that all processes can reach the newest revision."""
    complete = protocol()
    return check_safety(complete, MAX_STATES), check_liveness(complete)


def check_mutant(guard):
    """Check safety without a guard, in the first states only."""
    return check_safety(protocol({guard}), MUTANT_STATES)


class _Spec:
    def __init__(self, guards):
        self._guards = guards

    def transitions(self, values):
        """Return the labelled successors of a state."""
        state = State(*values)
        steps = []
        for number in range(len(state.operators)):
            steps += self._operator(state, number)
        for write in state.delayed_writes:
            after = state._replace(delayed_writes=state.delayed_writes - {write})
            steps.append(("delayed write", self._write(after, *write)))
        for number in range(PROCESSES):
            steps += self._process(state, number)
        steps += self._environment(state)
        return [(label, tuple(after)) for label, after in steps]

    def _operator(self, state, number):
        operator = state.operators[number]
        match operator.phase:
            case Phase.IDLE:
                yield "read", self._read(state, number)
            case Phase.READY:
                yield from self._swap(state, number)
            case Phase.UNKNOWN:
                yield from self._resolve(state, number)
            case Phase.CRASHED:
                yield "try again", _set_operator(state, number, phase=Phase.IDLE)
        committing = operator.phase in (Phase.READY, Phase.UNKNOWN)
        if committing and not operator.crashed:
            yield "crash", _set_operator(
                state, number, phase=Phase.CRASHED, crashed=True
            )

    def _read(self, state, number):
        if Guard.ID_IS_RECORDED in self._guards and number in state.history:
            return _set_operator(state, number, phase=Phase.ACCEPTED)
        return _set_operator(state, number, phase=Phase.READY, base=len(state.history))

    def _swap(self, state, number):
        base = state.operators[number].base
        after = self._write(state, number, base)
        unknown = _set_operator(state, number, phase=Phase.UNKNOWN)
        if after.history != state.history:
            yield "swapped", _set_operator(after, number, phase=Phase.ACCEPTED)
            yield "answer lost", _set_operator(after, number, phase=Phase.UNKNOWN)
            delayed_writes = unknown.delayed_writes | {(number, base)}
            yield "write delayed", unknown._replace(delayed_writes=delayed_writes)
        else:
            yield "conflict", _set_operator(state, number, phase=Phase.IDLE)
        yield "request lost", unknown

    def _write(self, state, number, base):
        """Return the state after the store carried out a swap."""
        if len(state.history) == base:
            return state._replace(history=(*state.history, number))
        if Guard.SWAP_COMPARES in self._guards:
            return state
        return state._replace(history=(*state.history[:base], number))

    def _resolve(self, state, number):
        operator = state.operators[number]
        if Guard.LOST_ANSWER_IS_READ_BACK not in self._guards:
            yield "refuse without reading", _set_operator(
                state, number, phase=Phase.REFUSED
            )
            return
        if number in state.history:
            yield "read back", _set_operator(state, number, phase=Phase.ACCEPTED)
        elif len(state.history) != operator.base:
            yield "rebase", _set_operator(state, number, phase=Phase.IDLE)
            # An operator that crashed and tried again gets no refusal.
            if not operator.crashed:
                yield "refuse", _set_operator(state, number, phase=Phase.REFUSED)
        elif Guard.REFUSED_ONLY_AFTER_THE_HEAD_CHANGED in self._guards:
            yield "swap again", _set_operator(state, number, phase=Phase.READY)
        else:
            yield "refuse early", _set_operator(state, number, phase=Phase.REFUSED)

    def _process(self, state, number):
        process = state.processes[number]
        if state.partitioned and number == PARTITIONED_PROCESS:
            return
        for revision in range(1, len(state.history) + 1):
            if revision > process.revision or (
                Guard.REVISIONS_ONLY_INCREASE not in self._guards
            ):
                updated = process._replace(revision=revision)
                yield "update", _set_process(state, number, updated)
        if not process.serving and process.revision >= state.due_revision:
            # It has messages from most others, which are at the due revision.
            yield "serve", _set_process(state, number, process._replace(serving=True))

    def _environment(self, state):
        reachable = [
            process
            for number, process in enumerate(state.processes)
            if not (state.partitioned and number == PARTITIONED_PROCESS)
        ]
        newest = len(state.history)
        if state.due_revision < newest and all(
            process.revision == newest for process in reachable
        ):
            after = state._replace(due_revision=newest)
            if state.partitioned and Guard.PARTITIONED_STOPS_SERVING in self._guards:
                isolated = state.processes[PARTITIONED_PROCESS]._replace(serving=False)
                after = _set_process(after, PARTITIONED_PROCESS, isolated)
            yield "time passes", after
        if not state.restarted:
            serving = Guard.RESTARTED_UPDATES_BEFORE_SERVING not in self._guards
            process = Process(0, serving)
            after = _set_process(state, RESTARTED_PROCESS, process)
            yield "restart", after._replace(restarted=True)
        yield "partition or heal", state._replace(partitioned=not state.partitioned)


def _set_operator(state, number, **fields):
    operators = list(state.operators)
    operators[number] = operators[number]._replace(**fields)
    return state._replace(operators=tuple(operators))


def _set_process(state, number, process):
    processes = list(state.processes)
    processes[number] = process
    return state._replace(processes=tuple(processes))


def _accepted_stay(values):
    return all(
        number in values["history"]
        for number, operator in enumerate(values["operators"])
        if operator.phase is Phase.ACCEPTED
    )


def _refused_stay_out(values):
    return all(
        number not in values["history"]
        for number, operator in enumerate(values["operators"])
        if operator.phase is Phase.REFUSED
    )


def _in_force_when_due(values):
    return all(
        process.revision >= values["due_revision"]
        for process in values["processes"]
        if process.serving
    )


def _all_at_newest(values):
    newest = len(values["history"])
    return all(
        process.revision == newest and process.serving
        for process in values["processes"]
    )
