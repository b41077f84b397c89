"""What a decision asks for: frozen commands that adapters carry out."""

import dataclasses
import typing as t

from .event import SealOutcome
from .identity import AgentId, AttemptId
from .lifecycle import FailRequest, FinishAnswer, ReleaseMemory, ReserveMemory
from .reason import Reason
from .verdict import Verdict

frozen = dataclasses.dataclass(frozen=True, slots=True)


# An entry speaks to agents.


@frozen
class SendAttempt:
    """Send an attempt; members are the other engines of its group."""

    attempt: AttemptId
    agent: AgentId
    members: tuple[AgentId, ...] = ()


@frozen
class CancelAttempt:
    """Tell an agent that an attempt is no longer wanted."""

    attempt: AttemptId
    agent: AgentId


@frozen
class SealAttempt:
    """Ask an agent that an attempt never start."""

    attempt: AttemptId
    agent: AgentId
    deadline: float = 0.0  # of the attempt, in seconds since the epoch


@frozen
class ResumeAnswer:
    """Ask an agent for an attempt's answer from an offset in bytes."""

    attempt: AttemptId
    agent: AgentId
    offset: int


@frozen
class PrefillSegment:
    """Have a member compute its segment of the prompt, in tokens."""

    attempt: AttemptId
    agent: AgentId
    start: int
    stop: int
    members: tuple[AgentId, ...] = ()


@frozen
class AbandonGroup:
    """Give a request's group of engines up; the request may be retried."""

    request: str
    reason: Reason
    verdict: Verdict


# An entry speaks to callers.


@frozen
class RelayChunk:
    """Pass the chunk at hand on to the caller, less its first bytes."""

    request: str
    skip: int = 0


@frozen
class ReplayResult:
    """Answer a caller with the result kept for its key."""

    request: str
    result: bytes


@frozen
class SendClaimedAttempt:
    """The claim of a keyed request stands: its attempt may be sent now."""

    request: str


# An entry speaks to the platform and to its own instruments.


@frozen
class ReadKey:
    """Read a key of the store."""

    call: int
    key: str


@frozen
class SwapKey:
    """Write a key of the store if it still has a version; 0 for absent.

    The store may drop the value some time after it expires, in seconds
    since the epoch.
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
    """Count a late or crossed message that was dropped."""

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


# An agent speaks to entries and to its target.


@frozen
class RunAttempt:
    """Hand an attempt to the target."""

    attempt: AttemptId


@frozen
class ComputeSegment:
    """Have the target compute a member's segment of a prompt."""

    attempt: AttemptId


@frozen
class StopAttempt:
    """Have the target cancel an attempt and free its memory."""

    attempt: AttemptId


@frozen
class ReportAccepted:
    """Tell the owner that an attempt waits in the queue."""

    attempt: AttemptId


@frozen
class SendResumedAnswer:
    """Send the owner what it has not had yet of a started attempt."""

    attempt: AttemptId


@frozen
class ReportRefused:
    """Tell the owner that an attempt has not run and never will."""

    attempt: AttemptId
    reason: Reason
    retry_after: float | None = None


@frozen
class ReportSealed:
    """Answer a seal."""

    attempt: AttemptId
    owner: str
    outcome: SealOutcome


@frozen
class ReportReserved:
    """Tell the owner that a member's memory is reserved."""

    attempt: AttemptId


@frozen
class Exit:
    """Nothing is left to finish: the process may leave."""


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
