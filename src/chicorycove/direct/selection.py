"""Which target, or which group of them, a request is to be sent to."""

from ..request import Prompt
from .board import DirectBoard, DirectRequest
from .partition import FleetPartition
from .placement import Placement, PlacementRequest, Placer, place_call
from .settings import DirectSettings


class TargetSelector:
    """Chooses among the targets near an entry; times are in seconds."""

    def __init__(
        self,
        board: DirectBoard,
        settings: DirectSettings,
        partition: FleetPartition,
        domain: str,
    ) -> None:
        self._board = board
        self._settings = settings
        self._partition = partition
        self._domain = domain
        self._placer = Placer(settings.placement)

    def choose(self, state: DirectRequest, now: float) -> Placement | None:
        """Return the best placement of a request, if any target can take it.

        Targets that it was tried on come last.
        """
        service = state.inbound.service
        near = self._partition.targets(service)
        near = near or list(self._board.available_targets(service))
        views = [x for x in near if x.listing.id not in state.tried_targets] or near
        profile = self._board.service(service)
        work = state.inbound.request.work
        if isinstance(work, Prompt) and profile and profile.engine:
            job = self._job(state, work)
            return self._placer.place(
                job, profile.engine, views, now, self._board.placement_offset
            )
        view = place_call(views, self._domain, now)
        if view is None:
            return None
        return Placement(target=view.listing.id, candidates=len(views))

    def _job(self, state: DirectRequest, work: Prompt) -> PlacementRequest:
        inbound = state.inbound
        return PlacementRequest(
            tokens=work.tokens,
            output=work.max_tokens,
            expected_output=work.max_tokens,
            objective_at=inbound.request.arrived + inbound.route.objective,
            deadline=inbound.request.deadline,
            max_gap=inbound.route.max_gap,
            value=1.0 + work.tokens / self._settings.tokens_per_value,
            failure_domain=self._domain,
        )
