"""Assigns a model, version, adapters and role to each target.

The planner uses only reports that agents made after accepting its fencing
token, so that no order of an earlier planner can take effect after them.
"""

import typing as t

from .catalogue import Catalogue, Model, Service, ServiceKind
from .host import HostState
from .order import Placement, Role
from .plan import AgentReport, ObservedTarget, Plan, PlannedMove, PlanProblem
from .planner_board import DEMAND, PlannerBoard, PlannerSettings, SentOrder
from .rollout import RolloutState
from .routing import matches
from .service_planner import (
    PlannedTarget,
    ServicePlanner,
    desired_version,
    interrupts_service,
    needs_load,
)


class Planner:
    """Plans orders from the catalogue and the agents' reports."""

    def __init__(self, settings: PlannerSettings, fence: int) -> None:
        """Initialize a planner that holds a fencing token."""
        self.board = PlannerBoard()
        self._settings = settings
        self._fence = fence

    def plan(
        self, catalogue: Catalogue, targets: t.Iterable[ObservedTarget], now: float
    ) -> Plan:
        """Return the orders to be sent now and the status of the services."""
        observed_targets = tuple(targets)
        moves: list[PlannedMove] = []
        problems = _target_problems(catalogue, observed_targets)
        rollouts: list[RolloutState] = []
        assigned: set[str] = set()
        targets_by_service = {
            name: self._usable_targets(
                service, catalogue, observed_targets, assigned, now
            )
            for name, service in sorted(catalogue.services.items())
            if service.kind is ServiceKind.ENGINE
        }
        self._init_load_budget(catalogue, targets_by_service, now)
        for name, service_targets in targets_by_service.items():
            models = _placeable_models(catalogue, name)
            if models:
                service_planner = ServicePlanner(
                    self.board, self._settings, name, models, service_targets, now
                )
                service_planner.plan()
                moves += service_planner.moves
                problems += service_planner.problems
                rollouts += service_planner.rollouts
        moves.sort(key=lambda move: (move.urgency, move.target))
        return self._apply_load_budget(
            catalogue, targets_by_service, moves, problems, rollouts, now
        )

    def _usable_targets(
        self,
        service: Service,
        catalogue: Catalogue,
        observed_targets: t.Iterable[ObservedTarget],
        assigned: set[str],
        now: float,
    ) -> list[PlannedTarget]:
        usable = []
        for observed in observed_targets:
            host = observed.host
            if host.name in assigned or not matches(host, service.selector):
                continue
            assigned.add(host.name)
            if not self._has_current_report(observed):
                continue
            if host.state is HostState.LEAVING or _is_drained(catalogue, host.name):
                continue
            usable.append(self._planned_target(observed, now))
        return usable

    def _has_current_report(self, observed: ObservedTarget) -> bool:
        return observed.report is not None and observed.report.fence == self._fence

    def _planned_target(self, observed: ObservedTarget, now: float) -> PlannedTarget:
        report = observed.report
        desired = report.wanted
        sent = self._unconfirmed_order(observed, now)
        if sent is not None:
            desired = sent.placement
        ready = [model for model in report.engine.models if model.state == "ready"]
        serving = ready[0].name if ready and not report.withdrawn else None
        current_models = ready or [
            model for model in report.engine.models if model.state == "loading"
        ]
        if desired is None and current_models:
            desired = _placement_of(current_models[0], report.engine.role)
        if desired is not None and interrupts_service(report, desired):
            serving = None  # its agent withdraws it before the change
        in_flight = sent is not None or _is_in_flight(report, desired)
        return PlannedTarget(observed, desired, serving, in_flight)

    def _unconfirmed_order(
        self, observed: ObservedTarget, now: float
    ) -> SentOrder | None:
        """Return a target's last order if its report does not confirm it yet.

        An order that is still unconfirmed after the timeout is dropped.
        """
        name, report = observed.host.name, observed.report
        sent = self.board.sent_orders.get(name)
        if sent is None:
            return None
        still_parked = report.parked and report.failures == sent.failures
        confirmed = report.wanted == sent.placement and not still_parked
        if confirmed or now >= sent.sent_at + self._settings.order_timeout:
            del self.board.sent_orders[name]
            return None
        return sent

    def _init_load_budget(
        self,
        catalogue: Catalogue,
        targets_by_service: dict[str, list[PlannedTarget]],
        now: float,
    ) -> None:
        """Charge loads that an earlier planner started to the load budget."""
        if self.board.next_load_at is not None:
            return
        sizes = [
            _weights_size(catalogue, target.desired)
            for targets in targets_by_service.values()
            for target in targets
            if target.in_flight
        ]
        self.board.next_load_at = now + sum(sizes) / self._settings.load_rate

    def _apply_load_budget(
        self,
        catalogue: Catalogue,
        targets_by_service: dict[str, list[PlannedTarget]],
        moves: list[PlannedMove],
        problems: list[PlanProblem],
        rollouts: list[RolloutState],
        now: float,
    ) -> Plan:
        loading = sum(
            target.in_flight
            for targets in targets_by_service.values()
            for target in targets
        )
        targets_by_name = {
            target.name: target
            for targets in targets_by_service.values()
            for target in targets
        }
        allowed, deferred = [], []
        for move in moves:
            if needs_load(targets_by_name[move.target].observed.report, move.placement):
                if loading >= self._settings.max_loads or now < self.board.next_load_at:
                    deferred.append(move)
                    continue
                loading += 1
                load_time = (
                    _weights_size(catalogue, move.placement) / self._settings.load_rate
                )
                self.board.next_load_at = now + load_time
            failures = targets_by_name[move.target].observed.report.failures
            self.board.sent_orders[move.target] = SentOrder(
                move.placement, now, failures
            )
            if move.urgency == DEMAND:
                service = catalogue.models[move.placement.model].service
                self.board.rebalanced_at[service] = now
            allowed.append(move)
        return Plan(tuple(allowed), tuple(deferred), tuple(problems), tuple(rollouts))


def _placeable_models(catalogue: Catalogue, service: str) -> dict[str, Model]:
    return {
        name: model
        for name, model in sorted(catalogue.models.items())
        if model.service == service and desired_version(model)
    }


def _weights_size(catalogue: Catalogue, placement: Placement) -> int:
    model = catalogue.models.get(placement.model)
    versions = model.versions if model else ()
    sizes = [
        version.size_bytes for version in versions if version.name == placement.version
    ]
    return sizes[0] if sizes else 0


def _is_drained(catalogue: Catalogue, name: str) -> bool:
    entry = catalogue.targets.get(name)
    return entry is not None and entry.drained


def _target_problems(
    catalogue: Catalogue, targets: t.Sequence[ObservedTarget]
) -> list[PlanProblem]:
    """Return problems of targets: unlisted, not reporting or failing."""
    by_name = {observed.host.name: observed for observed in targets}
    problems = []
    for name in sorted(catalogue.targets):
        if name not in by_name:
            problems.append(PlanProblem(f"target/{name}", "not in the host list"))
        elif by_name[name].report is None:
            problems.append(PlanProblem(f"target/{name}", "its agent is not heard"))
    for observed in targets:
        report = observed.report
        if report is not None and report.error:
            problems.append(PlanProblem(f"target/{observed.host.name}", report.error))
    return problems


def _placement_of(model: t.Any, role: Role) -> Placement:
    return Placement(
        model=model.name,
        version=model.version,
        adapters=tuple(sorted(model.adapters)),
        role=role,
    )


def _is_in_flight(report: AgentReport, desired: Placement | None) -> bool:
    if report.engine.loading:
        return True
    if report.parked:
        return False
    return desired is not None and needs_load(report, desired)
