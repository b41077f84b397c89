"""A specification of commit and spread, for the model checker.

Two operators each commit one change through a store whose answers may be
lost before or after the write took effect, and whose writes may take effect
late.  An operator's process may crash, and the operator tries the same change
again.  A process learns revisions in any order, is cut off from store and
peers at times, and restarts once.  Time passes only when what can
be delivered has been; then a revision counts as due.
"""

import enum
import typing as t

from minicheck import Protocol, check_liveness, check_safety

MAX_STATES = 200_000
MUTANT_STATES = 8_000  # enough to meet each violation
PROCESSES = 1
CUT_OFF = 0  # the process that is cut off at times
RESTARTED = 0  # the process that restarts


class Guard(enum.Enum):
    """What keeps the catalogue true; a mutant lacks one of them."""

    SWAP_COMPARES = enum.auto()
    LOST_ANSWER_IS_READ_BACK = enum.auto()
    REFUSED_ONLY_AFTER_THE_HEAD_MOVED = enum.auto()
    ID_IS_RECORDED = enum.auto()
    REVISIONS_GO_UP = enum.auto()
    OUT_OF_TOUCH_STOPS = enum.auto()
    RESTARTED_LEARNS_FIRST = enum.auto()


class Phase(enum.IntEnum):
    IDLE = 0
    READY = 1
    DOUBT = 2
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
    late: frozenset[tuple[int, int]] = frozenset()
    processes: tuple[Process, ...] = (Process(),) * PROCESSES
    cut: bool = False
    restarted: bool = False
    due: int = 0


def protocol(missing=frozenset()):
    """Return the protocol, without some guards."""
    spec = _Spec(frozenset(Guard) - frozenset(missing))
    return Protocol(
        name="catalogue",
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=spec.transitions,
        invariants={
            "accepted_never_reverts": _accepted_stays,
            "refused_never_comes": _refused_stays_out,
            "accepted_once": lambda d: len(set(d["history"])) == len(d["history"]),
            "in_force_when_due": _in_force_when_due,
        },
        goal=_all_at_the_newest,
    )


def check_all():
    """Return the outcome of safety, and of "all can come to the newest"."""
    whole = protocol()
    return check_safety(whole, MAX_STATES), check_liveness(whole)


def check_mutant(guard):
    """Return the outcome of safety without a guard, in the nearer states."""
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
        for write in state.late:
            after = state._replace(late=state.late - {write})
            steps.append(("late write", self._write(after, *write)))
        for number in range(PROCESSES):
            steps += self._process(state, number)
        steps += self._world(state)
        return [(label, tuple(after)) for label, after in steps]

    def _operator(self, state, number):
        operator = state.operators[number]
        match operator.phase:
            case Phase.IDLE:
                yield "read", self._read(state, number)
            case Phase.READY:
                yield from self._swap(state, number)
            case Phase.DOUBT:
                yield from self._settle(state, number)
            case Phase.CRASHED:
                yield "try again", _set(state, number, phase=Phase.IDLE)
        live = operator.phase in (Phase.READY, Phase.DOUBT)
        if live and not operator.crashed:
            yield "crash", _set(state, number, phase=Phase.CRASHED, crashed=True)

    def _read(self, state, number):
        if Guard.ID_IS_RECORDED in self._guards and number in state.history:
            return _set(state, number, phase=Phase.ACCEPTED)
        return _set(state, number, phase=Phase.READY, base=len(state.history))

    def _swap(self, state, number):
        base = state.operators[number].base
        after = self._write(state, number, base)
        in_doubt = _set(state, number, phase=Phase.DOUBT)
        if after.history != state.history:
            yield "swapped", _set(after, number, phase=Phase.ACCEPTED)
            yield "answer lost", _set(after, number, phase=Phase.DOUBT)
            late = in_doubt.late | {(number, base)}
            yield "delayed", in_doubt._replace(late=late)
        else:
            yield "lost to another", _set(state, number, phase=Phase.IDLE)
        yield "never sent", in_doubt

    def _write(self, state, number, base):
        """Let a swap reach the store."""
        if len(state.history) == base:
            return state._replace(history=(*state.history, number))
        if Guard.SWAP_COMPARES in self._guards:
            return state
        return state._replace(history=(*state.history[:base], number))

    def _settle(self, state, number):
        operator = state.operators[number]
        if Guard.LOST_ANSWER_IS_READ_BACK not in self._guards:
            yield "give up", _set(state, number, phase=Phase.REFUSED)
            return
        if number in state.history:
            yield "read back", _set(state, number, phase=Phase.ACCEPTED)
        elif len(state.history) != operator.base:
            yield "rebase", _set(state, number, phase=Phase.IDLE)
            # An operator who crashed and came again is told of no refusal.
            if not operator.crashed:
                yield "refuse", _set(state, number, phase=Phase.REFUSED)
        elif Guard.REFUSED_ONLY_AFTER_THE_HEAD_MOVED in self._guards:
            yield "swap again", _set(state, number, phase=Phase.READY)
        else:
            yield "refuse early", _set(state, number, phase=Phase.REFUSED)

    def _process(self, state, number):
        process = state.processes[number]
        if state.cut and number == CUT_OFF:
            return
        for revision in range(1, len(state.history) + 1):
            if revision > process.revision or (
                Guard.REVISIONS_GO_UP not in self._guards
            ):
                learnt = process._replace(revision=revision)
                yield "learn", _put(state, number, learnt)
        if not process.serving and process.revision >= state.due:
            # It has heard from most others, who are at what is due.
            yield "serve", _put(state, number, process._replace(serving=True))

    def _world(self, state):
        reached = [
            process
            for number, process in enumerate(state.processes)
            if not (state.cut and number == CUT_OFF)
        ]
        newest = len(state.history)
        if state.due < newest and all(p.revision == newest for p in reached):
            after = state._replace(due=newest)
            if state.cut and Guard.OUT_OF_TOUCH_STOPS in self._guards:
                alone = state.processes[CUT_OFF]._replace(serving=False)
                after = _put(after, CUT_OFF, alone)
            yield "time passes", after
        if not state.restarted:
            serving = Guard.RESTARTED_LEARNS_FIRST not in self._guards
            process = Process(0, serving)
            after = _put(state, RESTARTED, process)
            yield "restart", after._replace(restarted=True)
        yield "cut or heal", state._replace(cut=not state.cut)


def _set(state, number, **fields):
    operators = list(state.operators)
    operators[number] = operators[number]._replace(**fields)
    return state._replace(operators=tuple(operators))


def _put(state, number, process):
    processes = list(state.processes)
    processes[number] = process
    return state._replace(processes=tuple(processes))


def _accepted_stays(d):
    return all(
        number in d["history"]
        for number, operator in enumerate(d["operators"])
        if operator.phase is Phase.ACCEPTED
    )


def _refused_stays_out(d):
    return all(
        number not in d["history"]
        for number, operator in enumerate(d["operators"])
        if operator.phase is Phase.REFUSED
    )


def _in_force_when_due(d):
    return all(p.revision >= d["due"] for p in d["processes"] if p.serving)


def _all_at_the_newest(d):
    newest = len(d["history"])
    return all(p.revision == newest and p.serving for p in d["processes"])
