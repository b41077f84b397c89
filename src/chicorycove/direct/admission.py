"""Decides where a request goes, or why it is refused."""

import dataclasses
import typing as t

from ..reason import Reason
from .board import DirectRequest
from .evacuation import Evacuation
from .placement import Placement
from .quarantine import RequestQuarantine
from .retry import DirectRetryPolicy
from .selection import TargetSelector
from .settings import DirectSettings
from .shutdown import ShutdownPolicy
from .target_limits import TargetLimits

if t.TYPE_CHECKING:
    from .explanation import SelectionTrace


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """An answer that a request would get without being sent."""

    reason: Reason
    retry_after: float | None = None  # seconds; None if the answer names no time
    status: int = 503


class Admission:
    """Admits requests to targets, or refuses them; times are in seconds."""

    def __init__(
        self,
        settings: DirectSettings,
        retry_policy: DirectRetryPolicy,
        quarantine: RequestQuarantine,
        evacuation: Evacuation,
        target_limits: TargetLimits,
        selector: TargetSelector,
        shutdown: ShutdownPolicy,
    ) -> None:
        self._settings = settings
        self._retry_policy = retry_policy
        self._quarantine = quarantine
        self._evacuation = evacuation
        self._target_limits = target_limits
        self._selector = selector
        self._shutdown = shutdown

    def decide(
        self, request: DirectRequest, now: float, trace: "SelectionTrace | None" = None
    ) -> Placement | Refusal:
        """Return where a request goes now, or why it is refused.

        With a trace, for an explanation, no state changes.
        """
        record = trace is None
        if self._retry_policy.is_too_late(request, now):
            return Refusal(reason=Reason.DEADLINE_PAST)
        retry_after = self._quarantine.retry_after(request, now, record)
        if retry_after is not None:
            return Refusal(reason=Reason.REQUEST_QUARANTINED, retry_after=retry_after)
        placement = self._selector.choose(request, now, trace)
        if placement is None or placement.target in request.unreachable_targets:
            return self._refuse_unplaced(request, now, record)
        deadline = request.inbound.request.deadline
        if now + placement.time_to_first_event > deadline:
            retry_after = placement.time_to_first_event - (deadline - now)
            return Refusal(reason=Reason.DEADLINE_INFEASIBLE, retry_after=retry_after)
        if not self._shutdown.may_send(request, placement, now):
            return Refusal(reason=Reason.STOPPING, retry_after=0.0)
        return placement

    def _refuse_unplaced(
        self, request: DirectRequest, now: float, record: bool
    ) -> Refusal:
        """Return the refusal of a request that no target may get now."""
        inbound = request.inbound
        retry_after = self._evacuation.retry_after(request, now, record)
        if retry_after is not None:
            return Refusal(reason=Reason.SERVICE_EVACUATED, retry_after=retry_after)
        retry_after = self._target_limits.retry_after(
            inbound.service, now, inbound.allowed_regions, record
        )
        if retry_after is not None:
            return Refusal(reason=Reason.TARGET_LIMIT, retry_after=retry_after)
        retry_after = self._settings.retry_after_no_target
        return Refusal(reason=Reason.NO_TARGET, retry_after=retry_after)
