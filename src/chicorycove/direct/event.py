"""What a direct entry is told, beside the events of all entries."""

import dataclasses
import typing as t

from ..identity import AttemptId
from ..lifecycle import (
    AnswerCompleted,
    AttemptFailed,
    AttemptRefused,
    CallerDisconnected,
    MemoryReserved,
    StopRequested,
    Tick,
)
from .board import InboundRequest, TargetListing, WorkItem, WorkItemKey
from .route import RoutingTable

frozen = dataclasses.dataclass(frozen=True, slots=True)


@frozen
class TargetAnswer:
    """The head of a target's answer."""

    status: int
    not_run: bool  # the target says that it has not run the request
    wrong_instance: bool = False  # another target has the address now
    faulty_address: str | None = None  # the address of the member at fault

    @property
    def succeeded(self) -> bool:
        """Tell whether the answer is what its caller wants."""
        return 200 <= self.status < 300


@frozen
class RequestReceived:
    """A caller's request has been read whole."""

    inbound: InboundRequest


@frozen
class AttemptSent:
    """A connection stands, and the request is on its way to the target."""

    attempt: AttemptId


@frozen
class AnswerHeadReceived:
    """The head of an answer has come."""

    attempt: AttemptId
    answer: TargetAnswer


@frozen
class AnswerReceived:
    """An answer that is not streamed has come whole."""

    attempt: AttemptId
    answer: TargetAnswer


@frozen
class EventsRelayed:
    """Events of a stream have been relayed; last_event_id is the newest's."""

    attempt: AttemptId
    events: int
    last_event_id: int | None


@frozen
class CallerBackpressureChanged:
    """A caller takes its answer more slowly than it comes, or keeps up."""

    request: str
    blocked: bool


@frozen
class TargetProbed:
    """A connection to a target was tried, to see whether it lives."""

    target: str
    reachable: bool


@frozen
class DeploymentReceived:
    """The operator's newest deployment has arrived."""

    table: RoutingTable


@frozen
class TargetListed:
    """The platform lists a target, or lists it otherwise than before."""

    listing: TargetListing


@frozen
class TargetUnlisted:
    """The platform no longer lists a target."""

    target: str


@frozen
class StoreLost:
    """The platform's store does not answer."""


@frozen
class StoreRegained:
    """The platform's store answers again."""


@frozen
class PeersUpdated:
    """The entries that are known, this one included."""

    entry_names: frozenset[str]
    unresponsive: frozenset[str] = frozenset()  # of them, not heard of late


@frozen
class StoreRevisionSeen:
    """This entry has followed the store up to a revision."""

    revision: int


@frozen
class PeerUpdateReceived:
    """Another entry tells of its work, and of targets it could not reach."""

    owner: str
    work_items: tuple[WorkItem, ...] = ()
    ended: tuple[WorkItemKey, ...] = ()
    unreachable: tuple[str, ...] = ()
    store_revision: int = 0  # that it has followed it up to


DirectEvent = t.Union[
    RequestReceived,
    AttemptSent,
    AnswerHeadReceived,
    AnswerReceived,
    EventsRelayed,
    AnswerCompleted,
    AttemptFailed,
    MemoryReserved,
    AttemptRefused,
    CallerDisconnected,
    CallerBackpressureChanged,
    TargetProbed,
    DeploymentReceived,
    TargetListed,
    TargetUnlisted,
    StoreLost,
    StoreRegained,
    StoreRevisionSeen,
    PeersUpdated,
    PeerUpdateReceived,
    StopRequested,
    Tick,
]
