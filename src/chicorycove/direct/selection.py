"""Selects the target or group that a request is sent to."""

import typing as t

from ..request import Prompt
from .board import DirectBoard, DirectRequest, TargetView
from .call_placement import order_for_call, place_call
from .domain_cost import compute_domain_cost
from .partition import FleetPartition
from .placement import Placement, PlacementRequest, needs_groups
from .placer import Placer
from .route import Service
from .settings import DirectSettings
from .shutdown import ShutdownPolicy
from .target_limits import TargetLimits

if t.TYPE_CHECKING:
    from .explanation import SelectionTrace


class TargetSelector:
    """Selects among an entry's targets; times are in seconds."""

    def __init__(
        self,
        board: DirectBoard,
        settings: DirectSettings,
        partition: FleetPartition,
        target_limits: TargetLimits,
        shutdown: ShutdownPolicy,
        failure_domain: str,
    ) -> None:
        self._board = board
        self._settings = settings
        self._partition = partition
        self._target_limits = target_limits
        self._shutdown = shutdown
        self._failure_domain = failure_domain
        self._placer = Placer(settings.placement)

    def choose(
        self, request: DirectRequest, now: float, trace: "SelectionTrace | None" = None
    ) -> Placement | None:
        """Return the best placement of a request, if any target can run it.

        Targets that it was tried on are considered only if there is no other,
        and targets at their rate limit or in other regions than those allowed
        not at all.  With a trace, for an explanation, no state changes.
        """
        service_name = request.inbound.service
        regions = request.inbound.allowed_regions
        record = trace is None
        targets = self._allowed(
            self._partition.targets(service_name), regions, now, record
        )
        targets = targets or self._allowed(
            self._board.available_targets(service_name), regions, now, record
        )
        candidates = [
            target
            for target in targets
            if target.listing.id not in request.tried_targets
        ] or targets
        if trace is not None:
            trace.candidates = frozenset(view.listing.id for view in candidates)
        service = self._board.find_service(service_name)
        work = request.inbound.request.work
        if isinstance(work, Prompt) and service and service.engine:
            placement_request = self._placement_request(request, work)
            return self._placer.place(
                placement_request,
                service.engine,
                candidates,
                now,
                self._board.placement_offset,
                trace.placement if trace is not None else None,
            )
        work_margin = self._settings.domain_cost.work_margin
        target = place_call(candidates, self._failure_domain, now, work_margin)
        if trace is not None:
            for view in candidates:
                trace.add_call_rank(
                    order_for_call(view, self._failure_domain, now, work_margin)
                )
        if target is None:
            return None
        return Placement(target=target.listing.id, candidates=len(candidates))

    def _allowed(
        self,
        targets: t.Iterable[TargetView],
        regions: frozenset[str] | None,
        now: float,
        record: bool,
    ) -> list[TargetView]:
        return [
            view
            for view in targets
            if view.listing.is_in(regions)
            and self._target_limits.find_exclusion(view, now, record) is None
        ]

    def _placement_request(
        self, request: DirectRequest, work: Prompt
    ) -> PlacementRequest:
        inbound = request.inbound
        service = self._board.find_service(inbound.service)
        return PlacementRequest(
            tokens=work.tokens,
            max_output_tokens=work.max_tokens,
            expected_output_tokens=work.max_tokens,
            objective_at=inbound.request.arrived + inbound.route.objective,
            deadline=min(
                inbound.request.deadline, self._shutdown.first_event_by(inbound)
            ),
            max_gap=inbound.route.max_gap,
            value=1.0 + work.tokens / self._settings.tokens_per_value,
            failure_domain=self._failure_domain,
            groups_needed=self._needs_groups(service),
            visible_share=self._board.visible_share,
            domain_cost=compute_domain_cost(
                self._settings.domain_cost,
                service.link_delays if service else (),
                self._failure_domain,
                inbound.request.body_size,
                work.max_tokens,
            ),
        )

    def _needs_groups(self, service: Service | None) -> bool:
        table = self._board.table
        if service is None or service.engine is None or table is None:
            return True
        objective = table.longest_objective(service.name)
        return needs_groups(service.engine, objective, self._settings.placement)
