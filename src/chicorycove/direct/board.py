"""The blackboard of a direct entry: targets, work on them, requests."""

import dataclasses
import typing as t

from ..attempt import AttemptState
from ..request import Request
from ..timers import Timers
from .route import Route, RoutingTable, Service


@dataclasses.dataclass(frozen=True, slots=True)
class TargetListing:
    """A target as the platform lists it."""

    id: str
    service: str
    address: str  # "ip:port"
    failure_domain: str
    slots: int
    leaving: bool = False
    started_at: int = 0  # of the incarnation, in milliseconds since the epoch


@dataclasses.dataclass(frozen=True, slots=True)
class InboundRequest:
    """A request with the route that it came by and the service chosen."""

    request: Request
    route: Route
    service: str
    priority: int = 0  # 0 is served first
    resumed_after: int | None = None  # the last event that its caller has


class WorkItemKey(t.NamedTuple):
    """Names a part of a request on a target: its entry, its number there."""

    owner: str
    number: int


@dataclasses.dataclass(slots=True)
class WorkItem:
    """A part of a request on one target; times are in seconds.

    A part that only reads belongs to a group whose answer is written
    elsewhere.
    """

    key: WorkItemKey
    target: str
    tokens: int = 0  # to read
    read_time: float = 0.0  # time to read them alone
    memory: int = 0  # tokens that it holds until its request ends
    context_tokens: float = 0.0  # tokens that a step of its writing looks at
    writes_answer: bool = True
    events_left: int = 1  # that are still to come
    max_gap: float = 0.0
    value: float = 1.0  # lost if it is late
    placed_at: float = 0.0
    expected_read_end: float = 0.0  # when its reading is thought to end
    objective_at: float = 0.0  # when its first event is late
    preempting: bool = False  # read before all that waits there: a group's part
    writing: bool = False
    missed_objective: bool = False
    refreshed_at: float = 0.0  # when its entry last spoke of it

    def remaining_read_time(self, now: float) -> float:
        """Return the time that its reading is thought to take yet."""
        if self.writing:
            return 0.0
        return min(self.read_time, max(self.expected_read_end - now, 0.0))


@dataclasses.dataclass(slots=True)
class TargetView:
    """What an entry knows of one target; times are in seconds."""

    listing: TargetListing
    work_items: dict[WorkItemKey, WorkItem] = dataclasses.field(default_factory=dict)
    ejected_until: float = 0.0
    suspected_until: float = 0.0  # since a connection to it failed
    remove_at: float | None = None  # when a lapsed entry counts as gone

    @property
    def available(self) -> bool:
        """Tell whether the target is to get new work."""
        return not self.listing.leaving


@dataclasses.dataclass(slots=True)
class DirectRequest:
    """One admitted request and its attempts."""

    inbound: InboundRequest
    attempts: list[AttemptState] = dataclasses.field(default_factory=list)
    work_items: list[WorkItem] = dataclasses.field(default_factory=list)
    runs: int = 0  # attempts that may have run at a target that still lives
    sends: int = 0  # attempts that reached a target
    refusals: int = 0  # of them, whose target said that it did not run them
    answer_started: bool = False  # its caller has had the head of an answer
    last_event_id: int | None = None
    last_progress_at: float = 0.0
    tried_targets: set[str] = dataclasses.field(default_factory=set)
    caller_blocked: bool = False  # so that its target is not read

    @property
    def may_have_run(self) -> bool:
        """Tell whether any attempt may have run."""
        return self.sends > self.refusals


@dataclasses.dataclass(slots=True)
class DirectBoard:
    """The state of a direct entry."""

    table: RoutingTable | None = None
    targets: dict[str, TargetView] = dataclasses.field(default_factory=dict)
    targets_version: int = 0  # of the targets, by which what follows from them is known
    requests: dict[str, DirectRequest] = dataclasses.field(default_factory=dict)
    timers: Timers = dataclasses.field(default_factory=Timers)
    entry_names: frozenset[str] = frozenset()  # of all entries known, with this one
    peer_names: frozenset[str] = frozenset()  # of those that share targets with it
    placement_offset: float = 0.0  # of the target order: blind entries spread
    store_regained_at: float = float("-inf")
    stopping_at: float | None = None

    @property
    def entry_count(self) -> int:
        """Return how many entries are known, this one included."""
        return max(len(self.entry_names), 1)

    def service(self, name: str) -> Service | None:
        """Return a service of the deployment in force."""
        return self.table.services.get(name) if self.table else None

    def available_targets(self, service: str) -> t.Iterator[TargetView]:
        """Yield the targets of a service that are not leaving."""
        for view in self.targets.values():
            if view.listing.service == service and view.available:
                yield view
