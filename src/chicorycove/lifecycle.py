"""Events and commands of a request's life, the same for all entries."""

import dataclasses

from .identity import AgentId, AttemptId
from .reason import Reason
from .verdict import Verdict

frozen = dataclasses.dataclass(frozen=True, slots=True)


@frozen
class CallerDisconnected:
    """A caller closed its connection before the answer was whole."""

    request: str


@frozen
class AnswerCompleted:
    """An attempt's answer is whole; size is in bytes."""

    attempt: AttemptId
    size: int


@frozen
class AttemptFailed:
    """An attempt ended without a whole answer."""

    attempt: AttemptId
    reason: Reason
    verdict: Verdict


@frozen
class AttemptRefused:
    """An agent turned an attempt away: it has not run and never will."""

    attempt: AttemptId
    reason: Reason
    retry_after: float | None = None


@frozen
class MemoryReserved:
    """An agent reserved engine memory for a member of a group."""

    attempt: AttemptId


@frozen
class StopRequested:
    """The process is to finish what it has and leave."""


@frozen
class Tick:
    """Time has passed."""


@frozen
class ReserveMemory:
    """Ask an agent for engine memory, in tokens, for a member of a group."""

    attempt: AttemptId
    agent: AgentId
    memory: int


@frozen
class ReleaseMemory:
    """Give a member's reservation back."""

    attempt: AttemptId
    agent: AgentId


@frozen
class FinishAnswer:
    """End a caller's answer: it is whole."""

    request: str


@frozen
class FailRequest:
    """End a request with a problem; retry_after is in seconds."""

    request: str
    reason: Reason
    verdict: Verdict
    retry_after: float | None = None
