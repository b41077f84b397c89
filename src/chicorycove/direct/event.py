"""Events of direct entries, in addition to those of ``lifecycle``."""

import dataclasses
import typing as t

from ..identity import AgentId, AttemptId
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
from .store_revision import StoreRevision

frozen = dataclasses.dataclass(frozen=True, slots=True)


@frozen
class TargetAnswer:
    """What the head of a target's answer says."""

    status: int
    not_run: bool  # the target did not run the request
    # Callers infer from the status alone that the request has not run.
    status_implies_not_run: bool = False
    wrong_instance: bool = False  # another target now has the address
    faulty_address: str | None = None  # address of the group member that failed
    # Requests per second that the target takes from all entries together.
    rate_limit: float | None = None
    rate_limit_invalid: bool = False  # the value for it cannot be read
    retry_after: float | None = None  # seconds for which this entry is to back off
    leaving: bool = False  # the target is about to end
    cold_time_left: float | None = None  # seconds for which the target is cold
    invalid_headers: tuple[str, ...] = ()  # "name: value" of those ignored
    media_type: str = ""  # of the body, without parameters

    @property
    def succeeded(self) -> bool:
        """Return whether the status means success."""
        return 200 <= self.status < 300


@frozen
class RequestReceived:
    """A caller's request has been received completely."""

    inbound: InboundRequest


@frozen
class AttemptConnected:
    """An attempt's connection is open, and its request is to be sent."""

    attempt: AttemptId


@frozen
class AnswerHeadReceived:
    """The head of a target's answer has arrived."""

    attempt: AttemptId
    answer: TargetAnswer


@frozen
class AnswerReceived:
    """A complete answer that is not streamed has arrived."""

    attempt: AttemptId
    answer: TargetAnswer


@frozen
class TargetAnswered:
    """A target has answered an order, or a request that has ended."""

    target: AgentId
    answer: TargetAnswer
    to_order: bool = False


@frozen
class StreamClosed:
    """A stream without a length has ended with its connection.

    Its last event was complete, but the target may have crashed.
    """

    attempt: AttemptId
    has_events: bool = True  # whether this attempt has relayed any


@frozen
class EventsRelayed:
    """Events of a stream have been relayed to the caller."""

    attempt: AttemptId
    event_count: int
    last_event_id: int | None  # id of the newest of these events


@frozen
class CallerBackpressureChanged:
    """A caller's connection has blocked, or accepts data again."""

    request: str
    blocked: bool


@frozen
class BufferBoundExceeded:
    """A request's connection held most as the bound on buffers was exceeded.

    An answer to it is of no use if earlier ones have not been read.
    """

    request: str
    answerable: bool


@frozen
class TargetProbed:
    """A trial connection to a target has been opened or has failed."""

    target: str
    reachable: bool
    refused: bool = False  # the target's host is alive, and the target has ended


@frozen
class DeploymentReceived:
    """The operator's newest deployment has arrived."""

    table: RoutingTable


@frozen
class TargetListed:
    """The platform lists a new target, or has changed a listed one."""

    listing: TargetListing


@frozen
class TargetUnlisted:
    """The platform no longer lists a target."""

    target: str


@frozen
class DomainEvacuated:
    """The operator asks that a failure domain's targets get nothing new."""

    failure_domain: str


@frozen
class DomainReadmitted:
    """The operator has ended the evacuation of a failure domain."""

    failure_domain: str


@frozen
class StoreLost:
    """The platform's store does not answer."""


@frozen
class StoreRegained:
    """The platform's store answers again, since some seconds ago."""

    ago: float = 0.0


@frozen
class PeersUpdated:
    """The set of known entries may have changed; it includes this one."""

    entry_names: frozenset[str]
    unresponsive: frozenset[str] = frozenset()  # entries without recent updates
    complete: bool = True  # the store has listed the entries since the start
    # Entries that may not have reported all of their work to this one yet.
    partly_reported: frozenset[str] = frozenset()


@frozen
class StoreRevisionSeen:
    """This entry has followed the store up to a revision."""

    revision: StoreRevision


@frozen
class RateLimitReport:
    """An answer of a target has named a rate limit, or none any more."""

    target: str
    rate: float  # requests per second from all entries; infinite for none
    named_at: float  # time of the answer, in seconds
    incarnation: str = ""  # empty if an entry of an earlier version reports it


@frozen
class TargetNotice:
    """A target has asked an entry to back off, or says that it leaves."""

    target: AgentId
    backoff_until: float  # time in seconds; past if it did not ask
    leaving: bool


@frozen
class ColdReport:
    """An answer of a target has said that the target is cold."""

    target: AgentId
    cold_until: float  # time in seconds


@frozen
class FailureReport:
    """An entry has seen failures of a target, or a success after them.

    Times are in seconds.
    """

    target: AgentId
    weight: float  # of the failures; 0 for a success
    began_at: float  # time of the first failure of the row
    seen_at: float  # time of the newest failure, or of the success


@frozen
class CrashReport:
    """A target has crashed while it ran some requests."""

    target: AgentId
    traits: tuple[str, ...]  # of these requests
    seen_at: float  # seconds


@frozen
class TraitsAnswered:
    """Targets have answered requests with some traits."""

    traits: tuple[str, ...]
    answered_at: float  # seconds


@frozen
class QuarantineReport:
    """Requests with all of some traits are refused; times in seconds."""

    traits: tuple[str, ...]
    since: float
    next_trial_at: float
    trial_count: int
    last_refused_at: float


@frozen
class PeerUpdateReceived:
    """Another entry has reported its work and what it knows of targets."""

    owner: str
    work_items: tuple[WorkItem, ...] = ()
    ended: tuple[WorkItemKey, ...] = ()  # keys of items that have ended
    unreachable: tuple[str, ...] = ()
    # The newest revision that the peer has followed.
    store_revision: StoreRevision = StoreRevision()
    rate_limits: tuple[RateLimitReport, ...] = ()
    crashes: tuple[CrashReport, ...] = ()
    answered: tuple[TraitsAnswered, ...] = ()
    quarantines: tuple[QuarantineReport, ...] = ()
    notices: tuple[TargetNotice, ...] = ()
    cold_targets: tuple[ColdReport, ...] = ()
    failures: tuple[FailureReport, ...] = ()


@frozen
class StopTimeExpired:
    """A stopping process has no more time for the requests in flight."""


DirectEvent = t.Union[
    RequestReceived,
    AttemptConnected,
    AnswerHeadReceived,
    AnswerReceived,
    TargetAnswered,
    EventsRelayed,
    StreamClosed,
    AnswerCompleted,
    AttemptFailed,
    MemoryReserved,
    AttemptRefused,
    CallerDisconnected,
    CallerBackpressureChanged,
    BufferBoundExceeded,
    TargetProbed,
    DeploymentReceived,
    TargetListed,
    TargetUnlisted,
    DomainEvacuated,
    DomainReadmitted,
    StoreLost,
    StoreRegained,
    StoreRevisionSeen,
    PeersUpdated,
    PeerUpdateReceived,
    StopRequested,
    StopTimeExpired,
    Tick,
]
