"""Gives the cost of a placement outside the caller's failure domain.

The load it answers: links between failure domains are slower and paid for by
the byte, while one domain's targets are at times too few for its callers.
"""

import dataclasses
import enum
import typing as t

from .board import TargetView
from .route import LinkDelay

frozen = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


@frozen
class DomainCostSettings:
    """What leaving the failure domain costs, in units of a request's value.

    Without a price, links count neither by their bytes nor by their delay,
    and the other fields have no effect.
    """

    price_per_byte: float = 0.0
    # Value by which a target in another domain must be better.  The order of
    # the targets (``PlacementSettings.pack_cost``) alone is worth 0.1 at most,
    # so that it moves no request between domains.
    margin: float = 0.1
    # Work items by which the target of a plain call must have less work than
    # those of the caller's domain, besides one more.
    call_margin: int = 1
    answer_bytes_per_token: float = 4.0
    # Half the cost of a suspected target, so that a reachable target in
    # another domain always precedes a suspected one in the caller's.
    max_cost: float = 25.0

    @property
    def work_margin(self) -> int:
        """Return the margin that is in force for plain calls."""
        return self.call_margin if self.price_per_byte > 0 else 0


class LeavingReason(enum.Enum):
    """Why a request was sent to another failure domain."""

    NO_TARGET = "no_target"  # the domain has no target that can be used
    COST = "cost"  # the target was better by more than the cost of leaving


@frozen
class DomainCost:
    """What placements of one request in other failure domains cost."""

    primary_cost: float  # of a target outside the caller's domain
    # Of a group's other members together, if all were outside the primary's
    # domain.
    members_cost: float
    # Delays of links in seconds there and back, by both their domains.  Those
    # that the deployment does not name count as 0.
    delays: t.Mapping[str, t.Mapping[str, float]]
    caller_delays: t.Mapping[str, float]  # those from the caller's domain

    def member_cost(self, group_size: int) -> float:
        """Return the cost of one member outside the primary's domain."""
        return self.members_cost / group_size


def compute_domain_cost(
    settings: DomainCostSettings,
    link_delays: t.Iterable[LinkDelay],
    failure_domain: str,
    body_size: int,
    answer_tokens: int,
) -> DomainCost | None:
    """Return what leaving costs a prompt, or None if links have no price.

    Sizes are in bytes.  A member of a group receives its part of the body, and
    its results stay between the engines.
    """
    if settings.price_per_byte <= 0:
        return None
    answer_size = answer_tokens * settings.answer_bytes_per_token
    body_cost = body_size * settings.price_per_byte
    answer_cost = answer_size * settings.price_per_byte
    delays: dict[str, dict[str, float]] = {}
    for link in link_delays:
        if len(link.domains) == 2:
            domain, other = link.domains
            delays.setdefault(domain, {})[other] = 2 * link.delay
            delays.setdefault(other, {})[domain] = 2 * link.delay
    return DomainCost(
        primary_cost=min(settings.margin + body_cost + answer_cost, settings.max_cost),
        members_cost=min(settings.margin + body_cost, settings.max_cost),
        delays=delays,
        caller_delays=delays.get(failure_domain, {}),
    )


def find_leaving_reason(
    target: TargetView, targets: t.Iterable[TargetView], failure_domain: str, now: float
) -> LeavingReason | None:
    """Return why a target was chosen, if it is outside the failure domain."""
    if target.listing.failure_domain == failure_domain:
        return None
    for other in targets:
        if (
            other.listing.failure_domain == failure_domain
            and other.listing.service == target.listing.service
            and not other.is_excluded(now)
            and not other.is_avoided(now)
        ):
            return LeavingReason.COST
    return LeavingReason.NO_TARGET
