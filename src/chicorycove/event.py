"""Events that entries and agents handle.

An event carries no time of its own: whoever handles it passes the time in.
"""

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
    """An agent's answer to a request to seal an attempt."""

    NOT_STARTED = "not_started"  # and never will
    STARTED = "started"
    UNKNOWN = "unknown"  # the agent restarted, or its record may be pruned


# Events that an entry receives from callers.


@frozen
class RequestReceived:
    """A caller sent a request."""

    request: Request


@frozen
class ResultCaptured:
    """The complete answer to a keyed request is available and can be kept."""

    request: str
    result: bytes


# Events that an entry receives from agents.


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
    """An agent sent an attempt to its target."""

    drop_kind: t.ClassVar[str] = "started"  # a label value of the drops metric
    attempt: AttemptId


@frozen
class AnswerChunkReceived:
    """Part of an answer arrived; offset and size are in bytes."""

    attempt: AttemptId
    offset: int
    size: int


@frozen
class SealAnswered:
    """An agent answered a request to seal an attempt."""

    attempt: AttemptId
    outcome: SealOutcome


@frozen
class SegmentPrefilled:
    """A member of a group holds the KV cache of its segment."""

    attempt: AttemptId


@frozen
class TargetLoad:
    """The load of a target, as its agent reports it.

    ``running`` and ``queued`` count attempts, the other sizes are in tokens.
    """

    running: int = 0
    queued: int = 0
    queued_prefill: int = 0
    memory_free: int = 0
    memory_total: int = 0
    leaving: bool = False
    queued_long: int = 0  # the part of queued_prefill in long prompts


@frozen
class LoadReported:
    """An agent reported the load of its target."""

    agent: AgentId
    load: TargetLoad


# Events that an entry receives from the platform.


@frozen
class ValueRead:
    """A value was read from the store; version 0 means that it is absent."""

    value: bytes
    version: int


@frozen
class SwapSucceeded:
    """A compare-and-swap took effect and gave the key a new version."""

    version: int


@frozen
class SwapConflicted:
    """A compare-and-swap met another version than the expected one.

    ``value`` and ``version`` are those in the store.
    """

    value: bytes
    version: int


@frozen
class StoreUnreachable:
    """A call to the store failed, certainly without effect."""


@frozen
class OutcomeUnknown:
    """A call to the store failed but may have taken effect."""


StoreResult = (
    ValueRead | SwapSucceeded | SwapConflicted | StoreUnreachable | OutcomeUnknown
)


@frozen
class StoreCallFinished:
    """A call to the store ended, with or without an answer."""

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


# Events that an agent receives from entries. The owner of an attempt is the
# process of the entry that sent it.


@frozen
class AttemptOffer:
    """An attempt that an entry asks an agent to run.

    ``prefill`` and ``memory`` are in tokens, ``deadline`` is in seconds since
    the epoch, and lower priorities go first.
    """

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
    """An entry asks an agent to run an attempt."""

    offer: AttemptOffer


@frozen
class ReserveRequested:
    """An entry asks an agent to reserve memory for a member of a group."""

    offer: AttemptOffer


@frozen
class PrefillRequested:
    """An entry asks a member of a group to compute its segment."""

    attempt: AttemptId


@frozen
class ReleaseRequested:
    """An entry releases a reservation."""

    attempt: AttemptId


@frozen
class ResumeRequested:
    """An entry whose link was lost asks to continue an attempt.

    An attempt without a record at the agent is sealed and refused.
    """

    attempt: AttemptId
    owner: str
    deadline: float


@frozen
class CancelRequested:
    """An entry cancels an attempt."""

    attempt: AttemptId


@frozen
class SealRequested:
    """An entry asks an agent to seal an attempt, so that it never starts."""

    attempt: AttemptId
    incarnation: str
    deadline: float
    owner: str


@frozen
class OwnerHeartbeatReceived:
    """The link to an entry is up, or a heartbeat arrived over it."""

    owner: str


@frozen
class OwnerDisconnected:
    """The link to an entry is lost."""

    owner: str


# Events that an agent receives from its target.


@frozen
class AnswerStarted:
    """The target sent the first part of an answer, so prefill is done."""

    attempt: AttemptId
    streamed: bool


@frozen
class RunFinished:
    """The target finished, failed or cancelled an attempt."""

    attempt: AttemptId


@frozen
class EngineMemoryReported:
    """An engine reported its memory in tokens, total and by attempt."""

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
