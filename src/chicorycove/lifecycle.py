"""Events and commands that all kinds of entries share."""

import dataclasses

from .identity import AgentId, AttemptId
from .reason import Reason
from .verdict import Verdict

frozen = dataclasses.dataclass(frozen=True, slots=True)


@frozen
class CallerDisconnected:
    """A caller closed its connection before the answer was complete."""

    request: str


@frozen
class AnswerCompleted:
    """An attempt's answer is complete; size is in bytes."""

    attempt: AttemptId
    size: int


@frozen
class AttemptFailed:
    """An attempt ended without a complete answer."""

    attempt: AttemptId
    reason: Reason
    verdict: Verdict


@frozen
class AttemptRefused:
    """An agent refused an attempt, which has not run and never will.

    ``retry_after`` is in seconds.
    """

    attempt: AttemptId
    reason: Reason
    retry_after: float | None = None


@frozen
class MemoryReserved:
    """An agent reserved engine memory for a member of a group."""

    attempt: AttemptId


@frozen
class StopRequested:
    """The process is asked to finish its work and exit."""


@frozen
class Tick:
    """Time has passed, so that timers may be due."""


@frozen
class ReserveMemory:
    """Ask an agent to reserve engine memory for a member of a group.

    ``memory`` is in tokens.
    """

    attempt: AttemptId
    agent: AgentId
    memory: int


@frozen
class ReleaseMemory:
    """Ask an agent to release a member's reservation."""

    attempt: AttemptId
    agent: AgentId


@frozen
class FinishAnswer:
    """End a caller's answer, which is complete."""

    request: str


@frozen
class FailRequest:
    """End a request with a problem document.

    ``retry_after`` is in seconds.
    """

    request: str
    reason: Reason
    verdict: Verdict
    retry_after: float | None = None
