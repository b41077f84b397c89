"""Commands of direct entries, in addition to those of ``lifecycle``."""

import dataclasses
import enum
import typing as t

from ..identity import AgentId, AttemptId
from ..lifecycle import FailRequest, FinishAnswer, ReleaseMemory, ReserveMemory
from ..reason import Reason
from .board import WorkItem, WorkItemKey
from .event import (
    ColdReport,
    CrashReport,
    FailureReport,
    QuarantineReport,
    RateLimitReport,
    TargetNotice,
    TraitsAnswered,
)
from .placement import Placement

frozen = dataclasses.dataclass(frozen=True, slots=True)


@frozen
class GroupMember:
    """A target that prefills a part, and its memory reservation, if any."""

    address: str
    reservation: AttemptId | None = None


@frozen
class SendAttempt:
    """Connect to a target and send it a request; deadline is in seconds."""

    attempt: AttemptId
    target: AgentId
    address: str
    deadline: float
    placement: Placement
    members: tuple[GroupMember, ...] = ()  # the other targets of the group
    last_event_id: int | None = None  # the last event that the caller has


@frozen
class CancelAttempt:
    """Close an attempt's connection, which cancels it at its target."""

    attempt: AttemptId


@frozen
class RelayStream:
    """Relay a stream's events to its caller as they arrive."""

    request: str
    attempt: AttemptId


@frozen
class DeliverAnswer:
    """Send a caller the target's complete answer."""

    request: str
    attempt: AttemptId


@frozen
class AbortAnswer:
    """Abort a partly sent answer, so that the caller sees it is incomplete."""

    request: str
    reason: Reason


@frozen
class ProbeTarget:
    """Open a trial connection to a target."""

    target: str
    address: str


@frozen
class UpdatePeers:
    """Send peers an update on work and what this entry knows of targets.

    What follows the unreachable targets is sent to the entries of all cells,
    except for failures: entries of other cells use other targets.
    """

    work_items: tuple[WorkItem, ...] = ()
    ended: tuple[WorkItemKey, ...] = ()  # keys of items that have ended
    unreachable: tuple[str, ...] = ()
    rate_limits: tuple[RateLimitReport, ...] = ()
    crashes: tuple[CrashReport, ...] = ()
    answered: tuple[TraitsAnswered, ...] = ()
    quarantines: tuple[QuarantineReport, ...] = ()
    notices: tuple[TargetNotice, ...] = ()
    cold_targets: tuple[ColdReport, ...] = ()
    failures: tuple[FailureReport, ...] = ()

    @property
    def for_all_cells(self) -> bool:
        """Return whether the entries of other cells need the update."""
        return bool(
            self.rate_limits
            or self.crashes
            or self.answered
            or self.quarantines
            or self.notices
            or self.cold_targets
        )


@frozen
class ResyncStore:
    """List the platform's store again instead of waiting for changes."""


@frozen
class LogChange:
    """Log a change in this entry's view of its targets or peers."""

    change: str
    subject: str
    detail: str = ""


class TargetState(enum.Enum):
    """What an entry has found a target to be."""

    COLD = "cold"
    WARM = "warm"
    SLOW = "slow"
    NORMAL = "normal"


@frozen
class RecordTargetState:
    """Log and count a change of what a target is found to be."""

    target: str
    state: TargetState
    detail: str = ""


class EjectionEvidence(enum.Enum):
    """By whose evidence a target is ejected."""

    OWN = "own"
    PEERS = "peers"  # that of peers was needed


@frozen
class RecordEjection:
    """Log and count the ejection of a target."""

    target: str
    evidence: EjectionEvidence
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
    RecordTargetState,
    RecordEjection,
]
