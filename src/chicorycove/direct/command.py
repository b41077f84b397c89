"""What a direct entry asks for, beside the commands of all entries."""

import dataclasses
import typing as t

from ..identity import AgentId, AttemptId
from ..lifecycle import FailRequest, FinishAnswer, ReleaseMemory, ReserveMemory
from ..reason import Reason
from .board import WorkItem, WorkItemKey
from .placement import Placement

frozen = dataclasses.dataclass(frozen=True, slots=True)


@frozen
class GroupMember:
    """A target that reads a part, and the reservation that it holds."""

    address: str
    reservation: AttemptId | None = None


@frozen
class SendAttempt:
    """Connect to a target and send it a request; deadline in seconds."""

    attempt: AttemptId
    target: AgentId
    address: str
    deadline: float
    placement: Placement
    members: tuple[GroupMember, ...] = ()  # the rest of its group
    last_event_id: int | None = None  # the last event that the caller has


@frozen
class CancelAttempt:
    """Close an attempt's connection, which cancels it at its target."""

    attempt: AttemptId


@frozen
class RelayStream:
    """Pass a stream on to its caller as it comes."""

    request: str
    attempt: AttemptId


@frozen
class DeliverAnswer:
    """Give a caller the target's whole answer."""

    request: str
    attempt: AttemptId


@frozen
class AbortAnswer:
    """Break a caller's answer off so that it does not look whole."""

    request: str
    reason: Reason


@frozen
class ProbeTarget:
    """Try a connection to a target."""

    target: str
    address: str


@frozen
class UpdatePeers:
    """Tell the other entries of work and of unreachable targets."""

    work_items: tuple[WorkItem, ...] = ()
    ended: tuple[WorkItemKey, ...] = ()
    unreachable: tuple[str, ...] = ()


@frozen
class ResyncStore:
    """Read the platform's store anew instead of waiting for changes."""


@frozen
class LogChange:
    """Log a change in what this entry believes."""

    change: str
    subject: str
    detail: str = ""


DirectCommand = t.Union[
    SendAttempt,
    ReserveMemory,
    ReleaseMemory,
    CancelAttempt,
    RelayStream,
    DeliverAnswer,
    FinishAnswer,
    FailRequest,
    AbortAnswer,
    ProbeTarget,
    UpdatePeers,
    ResyncStore,
    LogChange,
]
