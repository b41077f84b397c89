"""Chooses the targets of plain calls."""

import typing as t

from .board import TargetView


def place_call(
    targets: t.Iterable[TargetView],
    failure_domain: str,
    now: float,
    work_margin: int = 0,
) -> TargetView | None:
    """Return the target for a plain call: least work, then same domain.

    A target in another failure domain must have less work by more than a
    margin.  The load it answers: calls that take about as long as one another,
    on few targets in each domain, where one call less is no gain.
    """

    def order(target: TargetView) -> tuple[bool, int, bool, str]:
        return order_for_call(target, failure_domain, now, work_margin)

    return min(targets, key=order, default=None)


def order_for_call(
    target: TargetView, failure_domain: str, now: float, work_margin: int
) -> tuple[bool, int, bool, str]:
    """Return what targets are compared by; the least is best.

    It is a plain tuple because that is made faster than a named one.
    """
    leaves_domain = target.listing.failure_domain != failure_domain
    work = len(target.work_items) + (work_margin if leaves_domain else 0)
    return target.is_avoided(now), work, leaves_domain, target.listing.id
