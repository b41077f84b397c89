"""State machine of attempts, and placement of chunks in an answer."""

import dataclasses
import enum
import typing as t

import transitions

from .identity import AgentId, AttemptId

if t.TYPE_CHECKING:
    from .board import RequestState

SENT = "sent"
ACCEPTED = "accepted"  # queued by its agent
STARTED = "started"
INTERRUPTED = "broken"  # its link or stream is lost but may be resumed
ENDED = "ended"
FAILED = "failed"
REFUSED = "refused"  # has not run and never will
CANCELLED = "cancelled"

LIVE = (SENT, ACCEPTED, STARTED, INTERRUPTED)


class AttemptStep(enum.Enum):
    """A transition of an attempt's state machine."""

    ACCEPT = "accept"
    START = "start"
    CHUNK = "chunk"
    BREAK = "break"
    RESUME = "resume"
    END = "end"
    FAIL = "fail"
    REFUSE = "refuse"
    CANCEL = "cancel"


# Messages may arrive out of order when a link is replaced, so an attempt may
# start or stream before it is reported as accepted. An agent may refuse an
# attempt after its start if it could not connect to the target.
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

# All attempts share one machine without a model, so that each attempt needs
# memory for its own state only.
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
    """An entry's record of an attempt."""

    id: AttemptId
    agent: AgentId
    state: str = SENT
    grouped: bool = False  # runs on a group of engines
    received_bytes: int = 0  # of its answer, without gaps


_SOURCES = {
    AttemptStep(trigger): frozenset([source] if isinstance(source, str) else source)
    for trigger, source, _ in _TRANSITIONS
}


def advance(attempt: AttemptState, step: AttemptStep) -> bool:
    """Make a transition; return False if the state does not allow it."""
    if attempt.state not in _SOURCES[step]:
        return False  # avoids a log line of the machine for each late message
    return _MACHINE.events[step.value].trigger(attempt)


def is_live(attempt: AttemptState) -> bool:
    """Return whether further messages on an attempt are expected."""
    return attempt.state in LIVE


@dataclasses.dataclass(frozen=True, slots=True)
class FreshChunk:
    """A chunk with new bytes after the first ``skip`` ones."""

    skip: int


@dataclasses.dataclass(frozen=True, slots=True)
class StaleChunk:
    """A chunk whose bytes have all been relayed."""


@dataclasses.dataclass(frozen=True, slots=True)
class GapBeforeChunk:
    """A chunk that does not follow the bytes received so far."""


ChunkPlacement = FreshChunk | StaleChunk | GapBeforeChunk


def place_chunk(
    state: "RequestState", attempt: AttemptState, offset: int, size: int
) -> ChunkPlacement:
    """Count a chunk's bytes and return which of them must be relayed."""
    if offset > attempt.received_bytes:
        return GapBeforeChunk()
    end = offset + size
    attempt.received_bytes = max(attempt.received_bytes, end)
    if end <= state.relayed_bytes:
        return StaleChunk()
    skip = max(state.relayed_bytes - offset, 0)
    state.relayed_bytes = end
    return FreshChunk(skip)
