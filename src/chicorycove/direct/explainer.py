"""Explains what an entry would do with a request now."""

import typing as t

from .admission import Admission, Refusal
from .board import DirectBoard, DirectRequest, Exclusion, InboundRequest
from .explanation import (
    Explanation,
    SelectionTrace,
    TargetExplanation,
    explain_target,
)
from .placement import Placement
from .store_lag import StoreLagDetector
from .target_limits import TargetLimits


class Explainer:
    """Explains requests by the code that decides; times are in seconds."""

    def __init__(
        self,
        board: DirectBoard,
        admission: Admission,
        target_limits: TargetLimits,
        store_lag: StoreLagDetector,
        entry_name: str,
    ) -> None:
        self._board = board
        self._admission = admission
        self._target_limits = target_limits
        self._store_lag = store_lag
        self._entry_name = entry_name

    def explain(
        self, inbound: InboundRequest, now: float, store_heard_at: float | None
    ) -> Explanation:
        """Return what a request would lead to if it were received now."""
        request = DirectRequest(inbound, last_event_id=inbound.resumed_after)
        trace = SelectionTrace()
        decision = self._admission.decide(request, now, trace)
        peer_count = max(len(self._board.peer_names), 1)
        return Explanation(
            route=inbound.route.name,
            service=inbound.service,
            workspace=inbound.request.workspace,
            refusal=decision if isinstance(decision, Refusal) else None,
            placement=decision if isinstance(decision, Placement) else None,
            groups=tuple(trace.placement.groups),
            targets=tuple(self._explain_targets(request, trace, now)),
            store_era=self._store_lag.revision.era,
            store_revision=self._store_lag.revision.number,
            store_heard_ago=None if store_heard_at is None else now - store_heard_at,
            evacuated_domains=tuple(sorted(self._board.evacuated_since)),
            entry_count=peer_count,
            heard_entry_count=round(peer_count * self._board.responsive_share),
        )

    def _explain_targets(
        self, request: DirectRequest, trace: SelectionTrace, now: float
    ) -> t.Iterator[TargetExplanation]:
        """Yield how the targets of a request's service were compared."""
        estimates = trace.find_estimates()
        for id, view in sorted(self._board.targets.items()):
            if view.listing.service != request.inbound.service:
                continue
            excluded = excluded_for = None
            if id not in trace.candidates:
                excluded = self._board.find_exclusion(
                    view, request.inbound.allowed_regions
                )
                if excluded is None:
                    excluded = self._target_limits.find_exclusion(view, now, False)
                    if excluded is not None:
                        excluded_for = self._target_limits.time_to_turn(view, now)
                    elif trace.candidates:
                        excluded = Exclusion.OTHER_CELL
            yield explain_target(
                view,
                excluded,
                excluded_for,
                estimates.get(id),
                trace.call_ranks.get(id),
                self._entry_name,
                now,
            )
