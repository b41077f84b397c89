"""The state of a direct entry: targets, the work on them, and requests."""

import dataclasses
import enum
import typing as t

from ..attempt import AttemptState
from ..identity import AgentId, AttemptId
from ..request import Request
from ..timers import Timers
from .route import Route, RoutingTable, Service
from .target_terms import TargetTerms, UnlistedTerms


@dataclasses.dataclass(frozen=True, slots=True)
class TargetListing:
    """A target as the platform lists it."""

    id: str
    service: str
    address: str  # "ip:port"
    failure_domain: str
    slots: int
    leaving: bool = False
    started_at: int = 0  # start of the incarnation, in ms since the epoch
    region: str = ""
    cold_time_left: float | None = None  # seconds; None if the listing lacks it

    @property
    def agent(self) -> AgentId:
        """Return the id of the target's incarnation."""
        return AgentId(self.id, str(self.started_at))

    def is_in(self, regions: frozenset[str] | None) -> bool:
        """Return whether the target is in one of the regions; None for any."""
        return regions is None or self.region in regions


@dataclasses.dataclass(frozen=True, slots=True)
class InboundRequest:
    """A caller's request, its route and the service chosen for it."""

    request: Request
    route: Route
    service: str
    priority: int = 0  # 0 is served first
    resumed_after: int | None = None  # id of the last event that the caller has
    fingerprint: str = ""  # the same in each repeat of the request
    allowed_regions: frozenset[str] | None = None  # None for any region


class Exclusion(enum.Enum):
    """Why a request may not be sent to a target."""

    LEAVING = "leaving"
    EVACUATED = "evacuated"
    REGION = "region"  # it is in none of the allowed regions
    BACKOFF = "backoff"  # it asked this entry to send nothing
    RATE_LIMIT = "rate_limit"  # the rate that it names is used up
    COLD_RATE = "cold_rate"  # the rate that it takes while cold is used up
    COLD_SHARE = "cold_share"  # this entry's share of that rate is used up
    OTHER_CELL = "other_cell"  # entries of another cell use it


class Avoidance(enum.Enum):
    """Why other targets are preferred to a target."""

    SUSPECTED = "suspected"  # a connection to it failed
    EJECTED = "ejected"
    PEER_BACKOFF = "peer_backoff"  # it asked another entry to send nothing


class WorkItemKey(t.NamedTuple):
    """Identifies a work item by its owner, an entry, and a number there."""

    owner: str
    number: int


@dataclasses.dataclass(slots=True)
class WorkItem:
    """The part of a request that runs on one target; times are in seconds.

    An item that does not generate the answer only prefills: it belongs to a
    group whose answer another target generates.
    """

    key: WorkItemKey
    target: str
    tokens: int = 0  # prompt tokens to prefill
    prefill_time: float = 0.0  # time to prefill these tokens alone
    memory: int = 0  # tokens of engine memory, until the request ends
    context_tokens: float = 0.0  # tokens that each decode step attends to
    generates_answer: bool = True
    events_left: int = 1  # events that are still to be sent
    max_gap: float = 0.0  # objective for the time between events
    value: float = 1.0  # value that is lost if the answer is late
    placed_at: float = 0.0
    expected_prefill_end: float = 0.0
    objective_at: float = 0.0  # time at which the first event is due
    preempting: bool = False  # a group's part is prefilled before what waits
    decoding: bool = False
    missed_objective: bool = False
    refreshed_at: float = 0.0  # time of the owner's last update

    def remaining_prefill_time(self, now: float) -> float:
        """Return the expected prefill time that remains."""
        if self.decoding:
            return 0.0
        return min(self.prefill_time, max(self.expected_prefill_end - now, 0.0))


@dataclasses.dataclass(frozen=True, slots=True)
class PassStart:
    """The start of a time that shows how fast a target is, in seconds."""

    at: float
    predicted: float  # how long it takes by the engine's profile
    work: frozenset[WorkItemKey]  # all work on the target at the start


@dataclasses.dataclass(slots=True)
class TargetView:
    """One target as this entry sees it; times are in seconds."""

    listing: TargetListing
    work_items: dict[WorkItemKey, WorkItem] = dataclasses.field(default_factory=dict)
    terms: TargetTerms = dataclasses.field(default_factory=TargetTerms)
    ejected_until: float = 0.0
    suspected_until: float = 0.0  # a target is suspected after a failed connection
    pace: float = 1.0  # observed over predicted time, 1 if nothing is known
    remove_at: float | None = None  # time to remove a lapsed target, if it is one

    @property
    def available(self) -> bool:
        """Return whether the target is not leaving.

        Whether its failure domain is evacuated is on the board: a target that
        lapses meanwhile is not leaving, and keeps its grace period.
        """
        return not self.listing.leaving and not self.terms.leaving_announced

    def is_excluded(self, now: float) -> bool:
        """Return whether this entry must send the target nothing at a time."""
        return not self.available or now < self.terms.backoff_until

    def is_avoided(self, now: float) -> bool:
        """Return whether other targets are preferred at a time."""
        return now < max(
            self.suspected_until, self.ejected_until, self.terms.peer_backoff_until
        )

    def avoidances(self) -> tuple[tuple[Avoidance, float], ...]:
        """Return the times until which the target is avoided, by cause."""
        return (
            (Avoidance.SUSPECTED, self.suspected_until),
            (Avoidance.EJECTED, self.ejected_until),
            (Avoidance.PEER_BACKOFF, self.terms.peer_backoff_until),
        )


@dataclasses.dataclass(slots=True)
class DirectRequest:
    """An admitted request and its attempts."""

    inbound: InboundRequest
    attempts: list[AttemptState] = dataclasses.field(default_factory=list)
    work_items: list[WorkItem] = dataclasses.field(default_factory=list)
    run_count: int = 0  # attempts that may have run on targets still alive
    sent_count: int = 0  # attempts that reached a target
    refused_count: int = 0  # sent attempts that their targets did not run
    answer_started: bool = False  # the caller has the head of an answer
    answer_media_type: str = ""  # of the answer that has started
    newest_answer_began: bool = False  # the newest attempt's target has begun one
    # Time in seconds over which events of the newest attempt's answer came.
    # It stays as it is once the answer can no longer crash its target.
    newest_answer_time: float = 0.0
    expects_slot: bool = False  # its target had a free slot when it was chosen
    last_event_id: int | None = None  # the last event that the caller has
    # Target of an attempt that has ended after that event, without further
    # events or a length.  It has not crashed, as far as is known.
    empty_end_target: str | None = None
    last_progress_at: float = 0.0
    tried_targets: set[str] = dataclasses.field(default_factory=set)
    unreachable_targets: set[str] = dataclasses.field(default_factory=set)
    # Failure domains of the newest attempt's targets, listed or not.
    attempt_domains: frozenset[str] = frozenset()
    caller_blocked: bool = False  # the target's answer is not read meanwhile
    pass_start: PassStart | None = None  # None if the pace cannot be observed

    @property
    def may_have_run(self) -> bool:
        """Return whether any attempt may have run."""
        return self.sent_count > self.refused_count


@dataclasses.dataclass(slots=True)
class DirectBoard:
    """The state of a direct entry."""

    table: RoutingTable | None = None
    targets: dict[str, TargetView] = dataclasses.field(default_factory=dict)
    targets_version: int = 0  # incremented by each change of the targets
    # Evacuated failure domains, and the times in seconds from which they are.
    evacuated_since: dict[str, float] = dataclasses.field(default_factory=dict)
    unlisted_terms: UnlistedTerms = dataclasses.field(default_factory=UnlistedTerms)
    requests: dict[str, DirectRequest] = dataclasses.field(default_factory=dict)
    timers: Timers = dataclasses.field(default_factory=Timers)
    entry_names: frozenset[str] = frozenset()  # all known entries, including this one
    peer_names: frozenset[str] = frozenset()  # entries that share this entry's targets
    # Part of these, including this one, whose updates arrive.
    responsive_share: float = 1.0
    # Part of these, including this one, whose work is known.
    visible_share: float = 1.0
    store_listed: bool = False  # its content has been read since the start
    entry_names_complete: bool = True  # False until the store has listed them
    # Shift of the order of targets, in [0, 1).  By it, entries that miss one
    # another's updates prefer different targets.
    placement_offset: float = 0.0
    store_regained_at: float = float("-inf")
    stopping_at: float | None = None

    @property
    def entry_count(self) -> int | None:
        """Return the number of entries, this one included; None if unknown."""
        return max(len(self.entry_names), 1) if self.entry_names_complete else None

    def current_request(self, attempt_id: AttemptId) -> DirectRequest | None:
        """Return the request whose newest attempt this is, if any."""
        request = self.requests.get(attempt_id.request)
        if (
            request is None
            or not request.attempts
            or request.attempts[-1].id != attempt_id
        ):
            return None
        return request

    def entry_rank(self, name: str) -> int:
        """Return how many entries precede one by name."""
        return sum(1 for other in self.entry_names if other < name)

    def find_service(self, name: str) -> Service | None:
        """Return a service of the current deployment, or None."""
        return self.table.services.get(name) if self.table else None

    def find_incarnation(self, agent: AgentId) -> TargetView | None:
        """Return a target if this incarnation of it is listed."""
        view = self.targets.get(agent.target)
        return view if view is not None and view.listing.agent == agent else None

    def is_evacuated(self, view: TargetView) -> bool:
        """Return whether a target's failure domain is evacuated."""
        return view.listing.failure_domain in self.evacuated_since

    def available_targets(
        self, service: str, regions: frozenset[str] | None = None
    ) -> t.Iterator[TargetView]:
        """Yield the targets of a service that may get new work.

        Those that leave, are evacuated or are in other regions may not.
        """
        for view in self.targets.values():
            if view.listing.service == service:
                if self.find_exclusion(view, regions) is None:
                    yield view

    def find_exclusion(
        self, view: TargetView, regions: frozenset[str] | None = None
    ) -> Exclusion | None:
        """Return why a target may not get new work in some regions, if so.

        What the target itself has said that it takes is not considered.
        """
        if not view.available:
            return Exclusion.LEAVING
        if self.is_evacuated(view):
            return Exclusion.EVACUATED
        if not view.listing.is_in(regions):
            return Exclusion.REGION
        return None
