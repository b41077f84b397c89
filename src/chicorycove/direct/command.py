"""What a direct entry asks for, beside the commands of all entries."""

import dataclasses
import typing as t

from ..identity import AgentId, AttemptId
from ..lifecycle import FailRequest, FinishAnswer, ReleaseMemory, ReserveMemory
from ..reason import Reason
from .board import Work, WorkKey
from .placement import Placement

frozen = dataclasses.dataclass(frozen=True, slots=True)


@frozen
class GroupMember:
    """A target that reads a part, and the reservation that it holds."""

    address: str
    reservation: AttemptId | None = None


@frozen
class SendTo:
    """Connect to a target and send it a request; deadline in seconds."""

    attempt: AttemptId
    target: AgentId
    address: str
    deadline: float
    placement: Placement
    members: tuple[GroupMember, ...] = ()  # the rest of its group
    after: int | None = None  # the last event that the caller has


@frozen
class Drop:
    """Close an attempt's connection, which cancels it at its target."""

    attempt: AttemptId


@frozen
class PassOn:
    """Pass a stream on to its caller as it comes."""

    request: str
    attempt: AttemptId


@frozen
class Deliver:
    """Give a caller the target's whole answer."""

    request: str
    attempt: AttemptId


@frozen
class Abort:
    """Break a caller's answer off so that it does not look whole."""

    request: str
    reason: Reason


@frozen
class Probe:
    """Try a connection to a target."""

    target: str
    address: str


@frozen
class Tell:
    """Tell the other entries of work and of unreachable targets."""

    works: tuple[Work, ...] = ()
    ended: tuple[WorkKey, ...] = ()
    unreachable: tuple[str, ...] = ()


@frozen
class ReadStore:
    """Read the platform's store anew instead of waiting for changes."""


@frozen
class Note:
    """Log a change in what this entry believes."""

    what: str
    subject: str
    detail: str = ""


DirectCommand = t.Union[
    SendTo,
    ReserveMemory,
    ReleaseMemory,
    Drop,
    PassOn,
    Deliver,
    FinishAnswer,
    FailRequest,
    Abort,
    Probe,
    Tell,
    ReadStore,
    Note,
]
