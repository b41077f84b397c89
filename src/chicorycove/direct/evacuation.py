"""Keeps new work from the targets of evacuated failure domains.

The load it answers: an operator takes a failure domain out of use, all at
once and for an unknown time, while its targets are listed as before.
"""

import dataclasses
import math
import typing as t

from ..attempt import is_live
from .board import DirectBoard, DirectRequest
from .command import DirectCommand, LogChange
from .event import DomainEvacuated, DomainReadmitted

# Share of the golden ratio, whose multiples spread evenly over [0, 1).
_SPREAD = (math.sqrt(5) - 1) / 2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EvacuationSettings:
    """When refused callers are told to return; times are in seconds."""

    # Bounds of the time for which the evacuation has lasted: an operator does
    # not say how long it will.  Callers are told to return after it, or up to
    # twice that.
    min_retry_after: float = 1.0
    max_retry_after: float = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationStatus:
    """An evacuated failure domain, and what this entry still runs there."""

    failure_domain: str
    running_count: int  # requests with a target there


class Evacuation:
    """Records evacuated failure domains; times are in seconds.

    The targets of an evacuated domain stay listed, and what runs there
    finishes.
    """

    def __init__(self, board: DirectBoard, settings: EvacuationSettings) -> None:
        self._board = board
        self._settings = settings
        self._refusal_count = 0

    def handle(
        self, event: DomainEvacuated | DomainReadmitted, now: float
    ) -> list[DirectCommand]:
        """Begin or end the evacuation of a failure domain."""
        evacuated_since = self._board.evacuated_since
        domain = event.failure_domain
        begins = isinstance(event, DomainEvacuated)
        if begins == (domain in evacuated_since):
            return []
        self._board.targets_version += 1
        detail = f"{self._count_running(domain)} requests run there"
        if begins:
            evacuated_since[domain] = now
            return [LogChange("evacuation begun", domain, detail)]
        duration = now - evacuated_since.pop(domain)
        detail = f"after {duration:.1f} s, {detail}"
        return [LogChange("evacuation ended", domain, detail)]

    def affects(self, request: DirectRequest) -> bool:
        """Return whether any target of the newest attempt is evacuated."""
        return not request.attempt_domains.isdisjoint(self._board.evacuated_since)

    def retry_after(
        self, request: DirectRequest, now: float, record: bool = True
    ) -> float | None:
        """Return the seconds until a refused caller should return.

        Return None unless every target that the request could be sent to
        otherwise is evacuated.  An explanation does not record that another
        caller was refused, which spreads the times.
        """
        inbound = request.inbound
        domains = {
            view.listing.failure_domain
            for view in self._board.targets.values()
            if view.listing.service == inbound.service
            and view.available
            and view.listing.is_in(inbound.allowed_regions)
        }
        if not domains or not domains <= self._board.evacuated_since.keys():
            return None
        settings = self._settings
        elapsed = now - max(self._board.evacuated_since[domain] for domain in domains)
        refusal_count = self._refusal_count + 1
        if record:
            self._refusal_count = refusal_count
        spread = 1.0 + refusal_count * _SPREAD % 1.0
        return spread * min(
            max(elapsed, settings.min_retry_after), settings.max_retry_after
        )

    def statuses(self) -> t.Iterator[EvacuationStatus]:
        """Yield the evacuated failure domains."""
        for domain in self._board.evacuated_since:
            yield EvacuationStatus(domain, self._count_running(domain))

    def _count_running(self, domain: str) -> int:
        """Return the number of own requests with an attempt in a domain."""
        return sum(
            domain in request.attempt_domains and is_live(request.attempts[-1])
            for request in self._board.requests.values()
        )
