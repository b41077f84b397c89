"""What a decision is told: frozen events, each at a time of its caller."""

import dataclasses
import enum
import typing as t

from .identity import AgentId, AttemptId
from .lifecycle import (
    AnswerCompleted,
    AttemptFailed,
    AttemptRefused,
    CallerDisconnected,
    MemoryReserved,
    StopRequested,
    Tick,
)
from .request import Request

frozen = dataclasses.dataclass(frozen=True, slots=True)


class SealOutcome(enum.Enum):
    """What an agent knows of an attempt that it was told to seal."""

    NOT_STARTED = "not_started"  # and from now on it never starts
    STARTED = "started"
    UNKNOWN = "unknown"  # the agent has been replaced since


# An entry hears from callers.


@frozen
class Arrived:
    """A caller sent a request."""

    request: Request


@frozen
class Captured:
    """The whole answer of a keyed request is at hand, to be kept."""

    request: str
    result: bytes


# An entry hears from agents.


@frozen
class Attached:
    """The link to an agent is up."""

    agent: AgentId


@frozen
class Detached:
    """The link to an agent is lost."""

    agent: AgentId


@frozen
class Accepted:
    """An agent queued an attempt."""

    attempt: AttemptId


@frozen
class Started:
    """An agent handed an attempt to its target."""

    attempt: AttemptId


@frozen
class Chunk:
    """Bytes of an answer came; offset and size are in bytes."""

    attempt: AttemptId
    offset: int
    size: int


@frozen
class Sealed:
    """An agent answered a seal."""

    attempt: AttemptId
    outcome: SealOutcome


@frozen
class Prefilled:
    """A member of a group holds the KV cache of its segment."""

    attempt: AttemptId


@frozen
class Load:
    """A target's load as its agent sees it; sizes are in tokens."""

    running: int = 0
    queued: int = 0
    queued_prefill: int = 0
    memory_free: int = 0
    memory_total: int = 0
    leaving: bool = False
    queued_long: int = 0  # of queued_prefill, in long prompts


@frozen
class LoadReported:
    """An agent reported the load of its target."""

    agent: AgentId
    load: Load


# An entry hears from the platform.


@frozen
class Found:
    """A value read from the store; version 0 means that there is none."""

    value: bytes
    version: int


@frozen
class Swapped:
    """A compare-and-swap took effect; version is the new one."""

    version: int


@frozen
class Lost:
    """A compare-and-swap met another version; what stands there is given."""

    value: bytes
    version: int


@frozen
class Unavailable:
    """A call to the store that certainly had no effect."""


@frozen
class Unknown:
    """A call to the store that may have taken effect."""


StoreResult = Found | Swapped | Lost | Unavailable | Unknown


@frozen
class StoreAnswered:
    """The store answered, or failed to answer, a call by its number."""

    call: int
    result: StoreResult


EntryEvent = t.Union[
    Arrived,
    CallerDisconnected,
    Captured,
    Attached,
    Detached,
    Accepted,
    Started,
    Chunk,
    AnswerCompleted,
    AttemptFailed,
    AttemptRefused,
    Sealed,
    MemoryReserved,
    Prefilled,
    LoadReported,
    StoreAnswered,
    Tick,
    StopRequested,
]


# An agent hears from entries; owner is the entry's process.


@frozen
class Offer:
    """What an entry asks an agent to run; memory is in tokens."""

    attempt: AttemptId
    owner: str
    incarnation: str
    deadline: float
    priority: int
    idempotent: bool = True
    prefill: int = 0
    memory: int = 0
    grouped: bool = False


@frozen
class StartAsked:
    """An entry asks for an attempt to be run."""

    offer: Offer


@frozen
class ReserveAsked:
    """An entry asks for memory for a member of a group."""

    offer: Offer


@frozen
class PrefillAsked:
    """An entry has a member of a group compute its segment."""

    attempt: AttemptId


@frozen
class ReleaseAsked:
    """An entry gives a reservation back."""

    attempt: AttemptId


@frozen
class ResumeAsked:
    """An entry that was cut off asks for an attempt to go on.

    An attempt that the agent does not know is sealed and refused.
    """

    attempt: AttemptId
    owner: str
    deadline: float


@frozen
class CancelAsked:
    """An entry no longer wants an attempt."""

    attempt: AttemptId


@frozen
class SealAsked:
    """An entry asks that an attempt never start."""

    attempt: AttemptId
    incarnation: str
    deadline: float
    owner: str


@frozen
class OwnerAlive:
    """The link to an entry is up, or a heartbeat came over it."""

    owner: str


@frozen
class OwnerLost:
    """The link to an entry is lost."""

    owner: str


# An agent hears from its target.


@frozen
class Answering:
    """The target sent the first of an answer: its prompt is computed."""

    attempt: AttemptId
    streamed: bool


@frozen
class RunEnded:
    """The target finished, failed or cancelled an attempt."""

    attempt: AttemptId


@frozen
class EngineReported:
    """An engine's own account of its memory, in tokens by attempt."""

    capacity: int
    used: int
    attempts: t.Mapping[AttemptId, int]
    as_of: float


AgentEvent = t.Union[
    StartAsked,
    ReserveAsked,
    PrefillAsked,
    ReleaseAsked,
    ResumeAsked,
    CancelAsked,
    SealAsked,
    OwnerAlive,
    OwnerLost,
    Answering,
    RunEnded,
    EngineReported,
    Tick,
    StopRequested,
]
