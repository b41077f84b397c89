"""The life cycle of an attempt, and the place of its bytes in an answer."""

import dataclasses
import enum
import typing as t

import transitions

from .identity import AgentId, AttemptId

if t.TYPE_CHECKING:
    from .board import RequestState

SENT = "sent"
ACCEPTED = "accepted"  # waits in its agent's queue
STARTED = "started"
INTERRUPTED = "broken"  # its link or stream is lost, and may be resumed
ENDED = "ended"
FAILED = "failed"
REFUSED = "refused"  # and never runs
CANCELLED = "cancelled"

LIVE = (SENT, ACCEPTED, STARTED, INTERRUPTED)


class AttemptStep(enum.Enum):
    """What may happen to an attempt."""

    ACCEPT = "accept"
    START = "start"
    CHUNK = "chunk"
    BREAK = "break"
    RESUME = "resume"
    END = "end"
    FAIL = "fail"
    REFUSE = "refuse"
    CANCEL = "cancel"


# Messages overtake one another when a link is replaced, so that an attempt
# may be seen to start or to stream before it is seen accepted.  An agent may
# refuse after the start, when it could not connect to its target.
_TRANSITIONS = [
    [AttemptStep.ACCEPT.value, SENT, ACCEPTED],
    [AttemptStep.START.value, [SENT, ACCEPTED, STARTED], STARTED],
    [AttemptStep.CHUNK.value, [SENT, ACCEPTED, STARTED], STARTED],
    [AttemptStep.BREAK.value, [SENT, ACCEPTED, STARTED], INTERRUPTED],
    [AttemptStep.RESUME.value, INTERRUPTED, STARTED],
    [AttemptStep.END.value, [SENT, ACCEPTED, STARTED], ENDED],
    [AttemptStep.FAIL.value, list(LIVE), FAILED],
    [AttemptStep.REFUSE.value, list(LIVE), REFUSED],
    [AttemptStep.CANCEL.value, list(LIVE), CANCELLED],
]

# One machine for all attempts: it holds no model, so that an attempt costs
# no more than its own state.
_MACHINE = transitions.Machine(
    model=None,
    states=[*LIVE, ENDED, FAILED, REFUSED, CANCELLED],
    transitions=_TRANSITIONS,
    initial=SENT,
    auto_transitions=False,
    ignore_invalid_triggers=True,
)


@dataclasses.dataclass(slots=True)
class AttemptState:
    """One attempt as its entry sees it; received counts its bytes."""

    id: AttemptId
    agent: AgentId
    state: str = SENT
    grouped: bool = False
    received_bytes: int = 0


_SOURCES = {
    AttemptStep(trigger): frozenset([source] if isinstance(source, str) else source)
    for trigger, source, _ in _TRANSITIONS
}


def advance(attempt: AttemptState, step: AttemptStep) -> bool:
    """Take a step, or return False if the attempt is past it."""
    if attempt.state not in _SOURCES[step]:
        return False  # late messages are no news: the machine would log each
    return _MACHINE.events[step.value].trigger(attempt)


def is_live(attempt: AttemptState) -> bool:
    """Tell whether anything of an attempt is still awaited."""
    return attempt.state in LIVE


@dataclasses.dataclass(frozen=True, slots=True)
class FreshChunk:
    """A chunk whose bytes after the first few have not been relayed."""

    skip: int


@dataclasses.dataclass(frozen=True, slots=True)
class StaleChunk:
    """A chunk all of whose bytes have been relayed."""


@dataclasses.dataclass(frozen=True, slots=True)
class GapBeforeChunk:
    """A chunk before which bytes are missing."""


ChunkPlacement = FreshChunk | StaleChunk | GapBeforeChunk


def place_chunk(
    state: "RequestState", attempt: AttemptState, offset: int, size: int
) -> ChunkPlacement:
    """Take a chunk's bytes in, and tell which of them are to be relayed."""
    if offset > attempt.received_bytes:
        return GapBeforeChunk()
    end = offset + size
    attempt.received_bytes = max(attempt.received_bytes, end)
    if end <= state.relayed_bytes:
        return StaleChunk()
    skip = max(state.relayed_bytes - offset, 0)
    state.relayed_bytes = end
    return FreshChunk(skip)
