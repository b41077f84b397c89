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
class RequestReceived:
    """A caller sent a request."""

    request: Request


@frozen
class ResultCaptured:
    """The whole answer of a keyed request is at hand, to be kept."""

    request: str
    result: bytes


# An entry hears from agents.


@frozen
class AgentAttached:
    """The link to an agent is up."""

    agent: AgentId


@frozen
class AgentDetached:
    """The link to an agent is lost."""

    agent: AgentId


@frozen
class AttemptAccepted:
    """An agent queued an attempt."""

    drop_kind: t.ClassVar[str] = "accepted"  # a label value of the drops metric
    attempt: AttemptId


@frozen
class AttemptStarted:
    """An agent handed an attempt to its target."""

    drop_kind: t.ClassVar[str] = "started"  # a label value of the drops metric
    attempt: AttemptId


@frozen
class AnswerChunkReceived:
    """Bytes of an answer came; offset and size are in bytes."""

    attempt: AttemptId
    offset: int
    size: int


@frozen
class SealAnswered:
    """An agent answered a seal."""

    attempt: AttemptId
    outcome: SealOutcome


@frozen
class SegmentPrefilled:
    """A member of a group holds the KV cache of its segment."""

    attempt: AttemptId


@frozen
class TargetLoad:
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
    load: TargetLoad


# An entry hears from the platform.


@frozen
class ValueRead:
    """A value read from the store; version 0 means that there is none."""

    value: bytes
    version: int


@frozen
class SwapSucceeded:
    """A compare-and-swap took effect; version is the new one."""

    version: int


@frozen
class SwapConflicted:
    """A compare-and-swap met another version; what stands there is given."""

    value: bytes
    version: int


@frozen
class StoreUnreachable:
    """A call to the store that certainly had no effect."""


@frozen
class OutcomeUnknown:
    """A call to the store that may have taken effect."""


StoreResult = (
    ValueRead | SwapSucceeded | SwapConflicted | StoreUnreachable | OutcomeUnknown
)


@frozen
class StoreCallFinished:
    """The store answered, or failed to answer, a call by its number."""

    call: int
    result: StoreResult


EntryEvent = t.Union[
    RequestReceived,
    CallerDisconnected,
    ResultCaptured,
    AgentAttached,
    AgentDetached,
    AttemptAccepted,
    AttemptStarted,
    AnswerChunkReceived,
    AnswerCompleted,
    AttemptFailed,
    AttemptRefused,
    SealAnswered,
    MemoryReserved,
    SegmentPrefilled,
    LoadReported,
    StoreCallFinished,
    Tick,
    StopRequested,
]


# An agent hears from entries; owner is the entry's process.


@frozen
class AttemptOffer:
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
class StartRequested:
    """An entry asks for an attempt to be run."""

    offer: AttemptOffer


@frozen
class ReserveRequested:
    """An entry asks for memory for a member of a group."""

    offer: AttemptOffer


@frozen
class PrefillRequested:
    """An entry has a member of a group compute its segment."""

    attempt: AttemptId


@frozen
class ReleaseRequested:
    """An entry gives a reservation back."""

    attempt: AttemptId


@frozen
class ResumeRequested:
    """An entry that was cut off asks for an attempt to go on.

    An attempt that the agent does not know is sealed and refused.
    """

    attempt: AttemptId
    owner: str
    deadline: float


@frozen
class CancelRequested:
    """An entry no longer wants an attempt."""

    attempt: AttemptId


@frozen
class SealRequested:
    """An entry asks that an attempt never start."""

    attempt: AttemptId
    incarnation: str
    deadline: float
    owner: str


@frozen
class OwnerHeartbeatReceived:
    """The link to an entry is up, or a heartbeat came over it."""

    owner: str


@frozen
class OwnerDisconnected:
    """The link to an entry is lost."""

    owner: str


# An agent hears from its target.


@frozen
class AnswerStarted:
    """The target sent the first of an answer: its prompt is computed."""

    attempt: AttemptId
    streamed: bool


@frozen
class RunFinished:
    """The target finished, failed or cancelled an attempt."""

    attempt: AttemptId


@frozen
class EngineMemoryReported:
    """An engine's own account of its memory, in tokens by attempt."""

    capacity: int
    used: int
    attempts: t.Mapping[AttemptId, int]
    as_of: float


AgentEvent = t.Union[
    StartRequested,
    ReserveRequested,
    PrefillRequested,
    ReleaseRequested,
    ResumeRequested,
    CancelRequested,
    SealRequested,
    OwnerHeartbeatReceived,
    OwnerDisconnected,
    AnswerStarted,
    RunFinished,
    EngineMemoryReported,
    Tick,
    StopRequested,
]
