"""Events and commands of a request's life, the same for all entries."""

import dataclasses

from .identity import AgentId, AttemptId
from .reason import Reason
from .verdict import Verdict

frozen = dataclasses.dataclass(frozen=True, slots=True)


@frozen
class CallerGone:
    """A caller closed its connection before the answer was whole."""

    request: str


@frozen
class Ended:
    """An attempt's answer is whole; size is in bytes."""

    attempt: AttemptId
    size: int


@frozen
class Failed:
    """An attempt ended without a whole answer."""

    attempt: AttemptId
    reason: Reason
    verdict: Verdict


@frozen
class Refused:
    """An agent turned an attempt away: it has not run and never will."""

    attempt: AttemptId
    reason: Reason
    retry_after: float | None = None


@frozen
class Reserved:
    """An agent reserved engine memory for a member of a group."""

    attempt: AttemptId


@frozen
class StopAsked:
    """The process is to finish what it has and leave."""


@frozen
class Tick:
    """Time has passed."""


@frozen
class Reserve:
    """Ask an agent for engine memory, in tokens, for a member of a group."""

    attempt: AttemptId
    agent: AgentId
    memory: int


@frozen
class Release:
    """Give a member's reservation back."""

    attempt: AttemptId
    agent: AgentId


@frozen
class Finish:
    """End a caller's answer: it is whole."""

    request: str


@frozen
class Fail:
    """End a request with a problem; retry_after is in seconds."""

    request: str
    reason: Reason
    verdict: Verdict
    retry_after: float | None = None
