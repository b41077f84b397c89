"""Which target is to have which model, version, adapters and role.

The planner sees only reports that agents made after they had taken on its
fencing number, so that nothing an earlier planner sent can come after them.
"""

import typing as t

from .catalogue import Catalogue, Model, Service, ServiceKind
from .host import HostState
from .order import Placement, Role
from .plan import AgentReport, ObservedTarget, Plan, PlannedMove, PlanProblem
from .planner_board import DEMAND, PlannerBoard, PlannerSettings, SentOrder
from .rollout import RolloutState
from .routing import matches
from .service_planner import ServicePlanner, Slot, disrupts, needs_load, version_of


class Planner:
    """Plans from the catalogue and from what agents report."""

    def __init__(self, settings: PlannerSettings, fence: int) -> None:
        """Plan under a fencing number."""
        self.board = PlannerBoard()
        self._settings = settings
        self._fence = fence

    def plan(
        self, catalogue: Catalogue, targets: t.Iterable[ObservedTarget], now: float
    ) -> Plan:
        """Return the orders to be sent now, and how things stand."""
        known = tuple(targets)
        moves: list[PlannedMove] = []
        problems = _unreported(catalogue, known)
        rollouts: list[RolloutState] = []
        claimed: set[str] = set()
        slots_by_service = {
            name: self._slots(service, catalogue, known, claimed, now)
            for name, service in sorted(catalogue.services.items())
            if service.kind is ServiceKind.ENGINE
        }
        self._start_budget(catalogue, slots_by_service, now)
        for name, slots in slots_by_service.items():
            models = _models(catalogue, name)
            if models:
                service_planner = ServicePlanner(
                    self.board, self._settings, name, models, slots, now
                )
                service_planner.plan()
                moves += service_planner.moves
                problems += service_planner.problems
                rollouts += service_planner.rollouts
        moves.sort(key=lambda move: (move.urgency, move.target))
        return self._within_budget(
            catalogue, slots_by_service, moves, problems, rollouts, now
        )

    def _slots(
        self,
        service: Service,
        catalogue: Catalogue,
        targets: t.Iterable[ObservedTarget],
        claimed: set[str],
        now: float,
    ) -> list[Slot]:
        slots = []
        for target in targets:
            host = target.host
            if host.name in claimed or not matches(host, service.selector):
                continue
            claimed.add(host.name)
            if not self._heard(target):
                continue
            if host.state is HostState.LEAVING or _drained(catalogue, host.name):
                continue
            slots.append(self._slot(target, now))
        return slots

    def _heard(self, target: ObservedTarget) -> bool:
        return target.report is not None and target.report.fence == self._fence

    def _slot(self, target: ObservedTarget, now: float) -> Slot:
        report = target.report
        wanted = report.wanted
        sent = self._unseen(target, now)
        if sent is not None:
            wanted = sent.placement
        ready = [m for m in report.engine.models if m.state == "ready"]
        serving = ready[0].name if ready and not report.withdrawn else None
        present = ready or [m for m in report.engine.models if m.state == "loading"]
        if wanted is None and present:
            wanted = _present(present[0], report.engine.role)
        if wanted is not None and disrupts(report, wanted):
            serving = None  # it is about to be withdrawn
        in_flight = sent is not None or _in_flight(report, wanted)
        return Slot(target, wanted, serving, in_flight)

    def _unseen(self, target: ObservedTarget, now: float) -> SentOrder | None:
        """Return an order that its target's report does not show yet."""
        name, report = target.host.name, target.report
        sent = self.board.sent.get(name)
        if sent is None:
            return None
        parked = report.parked and report.failures == sent.failures
        shown = report.wanted == sent.placement and not parked
        if shown or now >= sent.at + self._settings.order_timeout:
            del self.board.sent[name]
            return None
        return sent

    def _start_budget(
        self, catalogue: Catalogue, services: dict[str, list[Slot]], now: float
    ) -> None:
        """Count loads that an earlier planner began against the budget."""
        if self.board.next_load_at is not None:
            return
        sizes = [
            _size(catalogue, slot.wanted)
            for slots in services.values()
            for slot in slots
            if slot.in_flight
        ]
        self.board.next_load_at = now + sum(sizes) / self._settings.load_rate

    def _within_budget(
        self,
        catalogue: Catalogue,
        services: dict[str, list[Slot]],
        moves: list[PlannedMove],
        problems: list[PlanProblem],
        rollouts: list[RolloutState],
        now: float,
    ) -> Plan:
        loads = sum(slot.in_flight for slots in services.values() for slot in slots)
        slots = {slot.name: slot for each in services.values() for slot in each}
        now_moves, waiting = [], []
        for move in moves:
            if needs_load(slots[move.target].target.report, move.placement):
                if loads >= self._settings.max_loads or now < self.board.next_load_at:
                    waiting.append(move)
                    continue
                loads += 1
                seconds = _size(catalogue, move.placement) / self._settings.load_rate
                self.board.next_load_at = now + seconds
            failures = slots[move.target].target.report.failures
            self.board.sent[move.target] = SentOrder(move.placement, now, failures)
            if move.urgency == DEMAND:
                service = catalogue.models[move.placement.model].service
                self.board.moved_at[service] = now
            now_moves.append(move)
        return Plan(tuple(now_moves), tuple(waiting), tuple(problems), tuple(rollouts))


def _models(catalogue: Catalogue, service: str) -> dict[str, Model]:
    return {
        name: model
        for name, model in sorted(catalogue.models.items())
        if model.service == service and version_of(model)
    }


def _size(catalogue: Catalogue, placement: Placement) -> int:
    model = catalogue.models.get(placement.model)
    versions = model.versions if model else ()
    sizes = [v.size_bytes for v in versions if v.name == placement.version]
    return sizes[0] if sizes else 0


def _drained(catalogue: Catalogue, name: str) -> bool:
    target = catalogue.targets.get(name)
    return target is not None and target.drained


def _unreported(
    catalogue: Catalogue, targets: t.Sequence[ObservedTarget]
) -> list[PlanProblem]:
    """Name the targets in the catalogue of which nothing is heard."""
    hosts = {target.host.name: target for target in targets}
    problems = []
    for name in sorted(catalogue.targets):
        if name not in hosts:
            problems.append(PlanProblem(f"target/{name}", "not in the host list"))
        elif hosts[name].report is None:
            problems.append(PlanProblem(f"target/{name}", "its agent is not heard"))
    for target in targets:
        report = target.report
        if report is not None and report.error:
            problems.append(PlanProblem(f"target/{target.host.name}", report.error))
    return problems


def _present(model: t.Any, role: Role) -> Placement:
    return Placement(
        model=model.name,
        version=model.version,
        adapters=tuple(sorted(model.adapters)),
        role=role,
    )


def _in_flight(report: AgentReport, wanted: Placement | None) -> bool:
    if report.engine.loading:
        return True
    if report.parked:
        return False
    return wanted is not None and needs_load(report, wanted)
