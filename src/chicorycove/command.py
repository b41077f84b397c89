"""Commands that entries and agents decide on and adapters carry out."""

import dataclasses
import typing as t

from .event import SealOutcome
from .identity import AgentId, AttemptId
from .lifecycle import FailRequest, FinishAnswer, ReleaseMemory, ReserveMemory
from .reason import Reason
from .verdict import Verdict

frozen = dataclasses.dataclass(frozen=True, slots=True)


# Commands of an entry to agents.


@frozen
class SendAttempt:
    """Send an attempt; ``members`` are the other agents of its group."""

    attempt: AttemptId
    agent: AgentId
    members: tuple[AgentId, ...] = ()


@frozen
class CancelAttempt:
    """Ask an agent to cancel an attempt."""

    attempt: AttemptId
    agent: AgentId


@frozen
class SealAttempt:
    """Ask an agent to seal an attempt, so that it never starts."""

    attempt: AttemptId
    agent: AgentId
    deadline: float = 0.0  # the attempt's, in seconds since the epoch


@frozen
class ResumeAnswer:
    """Ask an agent to resume an attempt's answer; ``offset`` is in bytes."""

    attempt: AttemptId
    agent: AgentId
    offset: int


@frozen
class PrefillSegment:
    """Ask a member to compute its segment of the prompt.

    ``start`` and ``stop`` are in tokens, ``members`` are the agents of the
    segments before it.
    """

    attempt: AttemptId
    agent: AgentId
    start: int
    stop: int
    members: tuple[AgentId, ...] = ()


@frozen
class AbandonGroup:
    """Abandon a request's group of engines; the request may be retried."""

    request: str
    reason: Reason
    verdict: Verdict


# Commands of an entry to callers.


@frozen
class RelayChunk:
    """Relay the received chunk to the caller without its first bytes."""

    request: str
    skip: int = 0


@frozen
class ReplayResult:
    """Answer a request with the result kept for its key."""

    request: str
    result: bytes


@frozen
class SendClaimedAttempt:
    """Send the attempt of a keyed request, whose claim is now held."""

    request: str


# Commands of an entry to the store and to its own metrics.


@frozen
class ReadKey:
    """Read a key of the store."""

    call: int
    key: str


@frozen
class SwapKey:
    """Write a key of the store if its version is the expected one.

    Version 0 means that the key is absent. The store may drop the value some
    time after ``expires``, in seconds since the epoch.
    """

    call: int
    key: str
    version: int
    value: bytes
    expires: float | None = None


@frozen
class CountRetry:
    """Count a retry."""

    reason: Reason


@frozen
class CountDrop:
    """Count a dropped message that came too late or out of order."""

    kind: str


EntryCommand = t.Union[
    SendAttempt,
    CancelAttempt,
    SealAttempt,
    ResumeAnswer,
    ReserveMemory,
    ReleaseMemory,
    PrefillSegment,
    AbandonGroup,
    RelayChunk,
    FinishAnswer,
    FailRequest,
    ReplayResult,
    SendClaimedAttempt,
    ReadKey,
    SwapKey,
    CountRetry,
    CountDrop,
]


# Commands of an agent to entries and to its target.


@frozen
class RunAttempt:
    """Send an attempt to the target."""

    attempt: AttemptId


@frozen
class ComputeSegment:
    """Ask the target to compute a member's segment of a prompt."""

    attempt: AttemptId


@frozen
class StopAttempt:
    """Ask the target to cancel an attempt and free its memory."""

    attempt: AttemptId


@frozen
class ReportAccepted:
    """Report to the owner that an attempt is queued."""

    attempt: AttemptId


@frozen
class SendResumedAnswer:
    """Send the owner the rest of a started attempt's answer."""

    attempt: AttemptId


@frozen
class ReportRefused:
    """Report to the owner that an attempt has not run and never will.

    ``retry_after`` is in seconds.
    """

    attempt: AttemptId
    reason: Reason
    retry_after: float | None = None


@frozen
class ReportSealed:
    """Report the outcome of a request to seal an attempt."""

    attempt: AttemptId
    owner: str
    outcome: SealOutcome


@frozen
class ReportReserved:
    """Report to the owner that a member's memory is reserved."""

    attempt: AttemptId


@frozen
class Exit:
    """Exit the process: no work is left to finish."""


AgentCommand = t.Union[
    RunAttempt,
    ComputeSegment,
    StopAttempt,
    ReportAccepted,
    SendResumedAnswer,
    ReportRefused,
    ReportSealed,
    ReportReserved,
    CountDrop,
    Exit,
]
