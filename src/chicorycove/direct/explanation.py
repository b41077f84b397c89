"""What an entry would do with a request, and why."""

import dataclasses
import typing as t

from .admission import Refusal
from .board import Avoidance, Exclusion, TargetView
from .placement import Placement
from .placement_trace import CostParts, GroupEstimate, PlacementTrace, TargetEstimate

frozen = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


@frozen
class AvoidanceTime:
    """Why and for how long a target is avoided."""

    cause: Avoidance
    time_left: float  # seconds


@frozen
class TargetExplanation:
    """How a target of the service was compared with the others.

    Only targets that a request may be sent to are compared.
    """

    target: str
    failure_domain: str
    region: str
    work: int  # parts of requests that run there, as far as is known
    # Seconds since the oldest report of a peer's work there.
    oldest_report_ago: float | None = None
    pace: float  # observed over predicted time
    excluded: Exclusion | None = None
    # Seconds until the target takes a request again, if it is known.
    excluded_for: float | None = None
    avoided: tuple[AvoidanceTime, ...] = ()
    # The estimate for the chosen size of the group, if it was made.
    time_to_first_event: float | None = None
    cost: float | None = None
    cost_parts: CostParts | None = None
    missing_tokens: int | None = None
    # What plain calls are compared by: requests there and a margin.
    call_work: int | None = None


@frozen
class Explanation:
    """What an entry would do with a request now; times are in seconds.

    A request is refused or has a placement.
    """

    route: str = ""
    service: str = ""
    workspace: str = ""
    refusal: Refusal | None = None
    placement: Placement | None = None
    groups: tuple[GroupEstimate, ...] = ()  # the best of each size
    targets: tuple[TargetExplanation, ...] = ()
    # How recent the entry's view is.
    store_era: int = 0
    store_revision: int = 0
    store_heard_ago: float | None = None  # None if it was never heard
    evacuated_domains: tuple[str, ...] = ()
    # Entries that share the targets, this one included, and those heard of.
    entry_count: int = 0
    heard_entry_count: int = 0


class CallRank(t.NamedTuple):
    """What calls' targets are compared by, the most important first."""

    avoided: bool
    work: int  # requests there, and the margin of a target in another domain
    leaves_domain: bool
    target: str


class SelectionTrace:
    """What the selection of a target or group has compared."""

    def __init__(self) -> None:
        self.candidates: frozenset[str] = frozenset()
        self.placement = PlacementTrace()
        self.call_ranks: dict[str, CallRank] = {}

    def add_call_rank(self, rank: tuple[bool, int, bool, str]) -> None:
        """Record the fields by which a plain call's target was compared."""
        call_rank = CallRank(*rank)
        self.call_ranks[call_rank.target] = call_rank

    def find_estimates(self) -> dict[str, TargetEstimate]:
        """Return the targets' estimates for the best group's size."""
        fitting = [group for group in self.placement.groups if group.fits]
        best = min(fitting, key=lambda group: group.cost, default=None)
        estimates = self.placement.targets.get(best.size if best else 1, ())
        return {estimate.target: estimate for estimate in estimates}


def explain_target(
    view: TargetView,
    excluded: Exclusion | None,
    excluded_for: float | None,
    estimate: TargetEstimate | None,
    call_rank: CallRank | None,
    entry_name: str,
    now: float,
) -> TargetExplanation:
    """Return the explanation of one target."""
    reported = [
        item.refreshed_at
        for item in view.work_items.values()
        if item.key.owner != entry_name
    ]
    return TargetExplanation(
        target=view.listing.id,
        failure_domain=view.listing.failure_domain,
        region=view.listing.region,
        work=len(view.work_items),
        oldest_report_ago=now - min(reported) if reported else None,
        pace=view.pace,
        excluded=excluded,
        excluded_for=excluded_for,
        avoided=tuple(
            AvoidanceTime(cause=cause, time_left=until - now)
            for cause, until in view.avoidances()
            if now < until
        ),
        time_to_first_event=estimate.time_to_first_event if estimate else None,
        cost=estimate.cost if estimate else None,
        cost_parts=estimate.parts if estimate else None,
        missing_tokens=estimate.missing_tokens if estimate else None,
        call_work=call_rank.work if call_rank else None,
    )
