"""Plans the moves of one service from the state of all its targets."""

import collections
import dataclasses
import typing as t

from .catalogue import Model
from .order import Placement, Role
from .plan import AgentReport, ObservedTarget, PlannedMove, PlanProblem, Urgency
from .planner_board import (
    ADJUST,
    DEMAND,
    FILL,
    FLOOR,
    RESTORE,
    ROLLOUT,
    PlannerBoard,
    PlannerSettings,
)
from .rollout import Halt, Health, Hold, RolloutState, evaluate_rollout


@dataclasses.dataclass(slots=True)
class PlannedTarget:
    """A usable target and its state while one plan is made."""

    observed: ObservedTarget
    desired: Placement | None
    serving: str | None  # name of the model, None while it is interrupted
    in_flight: bool  # an order or a load is not complete yet

    @property
    def name(self) -> str:
        return self.observed.host.name

    @property
    def domain(self) -> str:
        return self.observed.host.failure_domain

    @property
    def model(self) -> str | None:
        return self.desired.model if self.desired else None


class ServicePlanner:
    """Plans the moves of one service; a model's floor is its min_targets."""

    def __init__(
        self,
        board: PlannerBoard,
        settings: PlannerSettings,
        service: str,
        models: dict[str, Model],
        targets: list[PlannedTarget],
        now: float,
    ) -> None:
        self.moves: list[PlannedMove] = []
        self.problems: list[PlanProblem] = []
        self.rollouts: list[RolloutState] = []
        self._board = board
        self._settings = settings
        self._service = service
        self._models = models
        self._targets = targets
        self._now = now
        self._serving_counts = collections.Counter(target.serving for target in targets)
        self._assigned_counts = collections.Counter(target.model for target in targets)
        self._domain_counts = collections.Counter(
            (target.model, target.domain) for target in targets
        )
        self._moved: set[str] = set()

    def plan(self) -> None:
        """Determine the moves, problems and roll-outs of the service."""
        desired = self._desired_counts()
        self._fill_free_targets(desired)
        self._restore_floors(desired)
        self._retry_failed_loads()
        for model in self._models.values():
            self._roll_out(model)
        self._update_adapters()
        self._rebalance(desired)
        for model in self._models.values():
            if self._serving_counts[model.name] < model.min_targets:
                self.problems.append(
                    PlanProblem(
                        f"model/{model.name}",
                        f"{self._serving_counts[model.name]} targets serve, "
                        f"the floor is {model.min_targets}",
                    )
                )

    def _desired_counts(self) -> dict[str, int]:
        """Return how many targets each model should have."""
        counts = {name: model.min_targets for name, model in self._models.items()}
        spare = len(self._targets) - sum(counts.values())
        if spare < 0:
            return _allot_scarce_targets(counts, len(self._targets))
        # A base demand of each model keeps the shares steady at low demand.
        base_demand = len(self._targets) / len(counts)
        demand = {
            name: base_demand + value for name, value in self._smooth_demand().items()
        }
        total = sum(demand.values()) or 1.0
        shares = {name: spare * demand[name] / total for name in counts}
        rounded = {name: int(share) for name, share in shares.items()}
        by_remainder = sorted(
            counts, key=lambda name: (rounded[name] - shares[name], name)
        )
        for name in by_remainder[: spare - sum(rounded.values())]:
            rounded[name] += 1
        return {name: counts[name] + rounded[name] for name in counts}

    def _smooth_demand(self) -> dict[str, float]:
        current = dict.fromkeys(self._models, 0.0)
        for target in self._targets:
            if target.serving in current:
                current[target.serving] += target.observed.report.demand
        updated_at = self._board.demand_updated_at
        self._board.demand_updated_at = self._now
        age = self._now - updated_at if updated_at is not None else 0.0
        weight = 0.5 ** (age / self._settings.demand_half_life)
        for name, value in current.items():
            previous = self._board.smoothed_demand.get(name, value)
            self._board.smoothed_demand[name] = previous * weight + value * (1 - weight)
        return {name: self._board.smoothed_demand[name] for name in self._models}

    def _fill_free_targets(self, desired: dict[str, int]) -> None:
        """Assign a model to each target that has none of this service."""
        free_by_domain: dict[str, list[PlannedTarget]] = {}
        for target in sorted(
            self._targets, key=lambda target: target.name, reverse=True
        ):
            if target.model not in self._models:
                free_by_domain.setdefault(target.domain, []).append(target)
        while free_by_domain:
            name = self._most_needed_model(desired)
            domain = min(
                free_by_domain,
                key=lambda domain: (self._domain_counts[name, domain], domain),
            )
            target = free_by_domain[domain].pop()
            if not free_by_domain[domain]:
                del free_by_domain[domain]
            self._add_move(
                target,
                self._build_placement(name),
                self._urgency_of(name),
                "it has no model of its service",
            )

    def _urgency_of(self, name: str) -> Urgency:
        """Return the urgency of giving a model one more target."""
        if self._serving_counts[name] == 0:
            return RESTORE
        if self._serving_counts[name] < self._models[name].min_targets:
            return FLOOR
        return FILL

    def _retry_failed_loads(self) -> None:
        """Order failed loads again, with exponential backoff."""
        for target in self._targets:
            report = target.observed.report
            if not report.parked:
                self._board.parked_since.pop(target.name, None)
                continue
            since = self._board.parked_since.setdefault(target.name, self._now)
            due = since + self._retry_delay(report.failures)
            if target.in_flight or target.name in self._moved or self._now < due:
                continue
            del self._board.parked_since[target.name]
            cause = f"its load failed: {report.error}"
            if not report.failures:
                cause = "its order was sent by an earlier planner"
            self._add_move(
                target,
                self._build_placement(target.model),
                self._urgency_of(target.model),
                cause,
            )

    def _retry_delay(self, failures: int) -> float:
        if not failures:
            return 0.0
        delay = self._settings.retry_min * 2 ** min(failures - 1, 10)
        return min(delay, self._settings.retry_max)

    def _most_needed_model(self, desired: dict[str, int]) -> str:
        return min(
            self._models,
            key=lambda name: (
                self._assigned_counts[name] >= self._models[name].min_targets,
                self._assigned_counts[name] - desired[name],
                name,
            ),
        )

    def _best_for_spread(
        self, targets: t.Sequence[PlannedTarget], name: str
    ) -> PlannedTarget:
        """Return the target whose failure domain has fewest of the model."""
        return min(
            targets,
            key=lambda target: (self._domain_counts[name, target.domain], target.name),
        )

    def _restore_floors(self, desired: dict[str, int]) -> None:
        """Move targets to models that are below their floor."""
        for name, model in sorted(self._models.items()):
            while self._assigned_counts[name] < min(model.min_targets, desired[name]):
                target = self._find_donor(desired, name)
                if target is None:
                    break
                self._add_move(
                    target,
                    self._build_placement(name),
                    self._urgency_of(name),
                    "below its floor",
                )

    def _find_donor(
        self, desired: dict[str, int], receiver: str
    ) -> PlannedTarget | None:
        surplus = {
            name: self._assigned_counts[name] - desired[name] for name in self._models
        }
        donors = [
            target
            for target in self._targets
            if target.model != receiver
            and surplus.get(target.model, 0) > 0
            and self._may_interrupt(target)
        ]
        if not donors:
            return None
        max_surplus = max(surplus[target.model] for target in donors)
        return self._best_for_spread(
            [target for target in donors if surplus[target.model] == max_surplus],
            receiver,
        )

    def _may_interrupt(self, target: PlannedTarget) -> bool:
        """Return whether a target can stop serving with the floor kept."""
        if target.name in self._moved or target.in_flight:
            return False
        if target.serving is None or target.serving not in self._models:
            return True
        return (
            self._serving_counts[target.serving]
            > self._models[target.serving].min_targets
        )

    def _add_move(
        self, target: PlannedTarget, placement: Placement, urgency: Urgency, cause: str
    ) -> None:
        report = target.observed.report
        move = PlannedMove(target.name, report.agent, placement, urgency, cause)
        self.moves.append(move)
        self._moved.add(target.name)
        if interrupts_service(report, placement):
            self._serving_counts[target.serving] -= 1
            target.serving = None
        self._assigned_counts[target.model] -= 1
        self._domain_counts[target.model, target.domain] -= 1
        target.desired = placement
        self._assigned_counts[target.model] += 1
        self._domain_counts[target.model, target.domain] += 1

    def _rebalance(self, desired: dict[str, int]) -> None:
        """Move one target to the model with the largest lasting shortage."""
        last_move = self._board.rebalanced_at.get(self._service)
        if (
            last_move is not None
            and self._now < last_move + self._settings.move_interval
        ):
            return
        if any(target.in_flight for target in self._targets):
            return
        name = min(
            self._models, key=lambda name: self._assigned_counts[name] - desired[name]
        )
        if desired[name] - self._assigned_counts[name] < self._settings.move_threshold:
            return
        target = self._find_donor(desired, name)
        if target is not None:
            cause = (
                f"{name} has {self._assigned_counts[name]} targets "
                f"and needs {desired[name]}"
            )
            self._add_move(target, self._build_placement(name), DEMAND, cause)

    def _roll_out(self, model: Model) -> None:
        version = self.desired_version(model.name)
        self._clear_old_halts(model.name, version)
        targets = [target for target in self._targets if target.model == model.name]
        outdated = [target for target in targets if target.desired.version != version]
        updated = [
            target for target in targets if _serves_version(target, model.name, version)
        ]
        state, cause = "complete", ""
        if len(updated) < len(targets):
            state, cause = "rolling", ""
        if outdated:
            state, cause = self._continue_rollout(
                model, version, targets, outdated, updated
            )
        elif failing := [target for target in targets if target.observed.report.error]:
            state, cause = "waiting", failing[0].observed.report.error
        self.rollouts.append(
            RolloutState(model.name, version, len(updated), len(targets), state, cause)
        )

    def _continue_rollout(
        self,
        model: Model,
        version: str,
        targets: list[PlannedTarget],
        outdated: list[PlannedTarget],
        updated: list[PlannedTarget],
    ) -> tuple[str, str]:
        decision = self._evaluate_rollout(model, version, targets, outdated, updated)
        if isinstance(decision, Halt):
            return "halted", decision.cause
        limit = max(1, int(len(targets) * self._settings.rollout.max_unavailable))
        unavailable = sum(target.serving is None for target in targets)
        if isinstance(decision, Hold):
            return "waiting", "too few requests on the new version yet"
        allowance = max(0, limit - unavailable) if updated else 1 - min(unavailable, 1)
        interruptible = [target for target in outdated if self._may_interrupt(target)]
        if not interruptible and unavailable == 0:
            return "waiting", (
                f"{self._serving_counts[model.name]} targets serve and the floor is "
                f"{model.min_targets}: none can be taken out of service"
            )
        for target in sorted(interruptible, key=lambda target: target.name)[:allowance]:
            if self._may_interrupt(target):
                cause = f"update from version {target.desired.version} to {version}"
                self._add_move(
                    target, self._build_placement(model.name), ROLLOUT, cause
                )
        return "rolling", ""

    def _evaluate_rollout(
        self,
        model: Model,
        version: str,
        targets: list[PlannedTarget],
        outdated: list[PlannedTarget],
        updated: list[PlannedTarget],
    ) -> t.Any:
        key = (model.name, version)
        if key in self._board.halt_causes:
            return Halt(self._board.halt_causes[key])
        for target in targets:
            report = target.observed.report
            exceeded = report.failures >= self._settings.rollout.max_load_failures
            if exceeded and target.desired.version == version:
                return self._halt(key, f"{target.name}: {report.error}")
        if not updated:
            started = any(target.desired.version == version for target in targets)
            return Hold() if started else None
        since = self._board.first_ready_at.setdefault(key, self._now)
        decision = evaluate_rollout(
            _total_health(outdated),
            _total_health(updated),
            self._now - since,
            self._settings.rollout,
        )
        if isinstance(decision, Halt):
            return self._halt(key, decision.cause)
        return decision

    def _clear_old_halts(self, name: str, version: str) -> None:
        """Remove halts of versions that the catalogue no longer names.

        A halted version may be tried again once the catalogue returns to it.
        """
        for key in [
            key
            for key in self._board.halt_causes
            if key[0] == name and key[1] != version
        ]:
            del self._board.halt_causes[key]
            self._board.first_ready_at.pop(key, None)

    def _halt(self, key: tuple[str, str], cause: str) -> Halt:
        self._board.halt_causes[key] = cause
        return Halt(cause)

    def _update_adapters(self) -> None:
        """Order changes of adapters, which need no model load."""
        for target in self._targets:
            if target.name in self._moved or target.model not in self._models:
                continue
            placement = self._build_placement(target.model)
            placement = dataclasses.replace(
                placement,
                version=target.desired.version,
                weights=target.desired.weights,
            )
            if placement.adapters != target.desired.adapters:
                self._add_move(target, placement, ADJUST, "adapters changed")

    def desired_version(self, name: str) -> str:
        return desired_version(self._models[name])

    def _build_placement(self, name: str) -> Placement:
        """Return the placement of a model on a target."""
        model = self._models[name]
        version = self.desired_version(name)
        if (name, version) in self._board.halt_causes:
            version = self._most_common_version(name) or version
        return Placement(
            model=name,
            version=version,
            weights=_find_weights(model, version),
            adapters=tuple(sorted(model.adapters)),
            role=Role.MIXED,
        )

    def _most_common_version(self, name: str) -> str | None:
        """Return the most common version among a halted model's targets."""
        versions = collections.Counter(
            target.desired.version
            for target in self._targets
            if target.model == name and target.serving == name
        )
        return versions.most_common(1)[0][0] if versions else None


def desired_version(model: Model) -> str:
    """Return the version that a model names, or else its last one."""
    if model.version or not model.versions:
        return model.version
    return model.versions[-1].name


def _find_weights(model: Model, version: str) -> str:
    return next(
        (
            version_entry.weights
            for version_entry in model.versions
            if version_entry.name == version
        ),
        "",
    )


def _serves_version(target: PlannedTarget, name: str, version: str) -> bool:
    model = target.observed.report.engine.find(name)
    ready = model is not None and model.state == "ready"
    return ready and model.version == version and target.serving == name


def needs_load(report: AgentReport, placement: Placement) -> bool:
    """Return whether a target must load a model for a placement."""
    model = report.engine.find(placement.model)
    return model is None or (model.version, model.state) != (placement.version, "ready")


def interrupts_service(report: AgentReport, placement: Placement) -> bool:
    """Return whether a target must stop serving for a placement."""
    others = any(model.name != placement.model for model in report.engine.models)
    return others or needs_load(report, placement)


def _total_health(targets: t.Iterable[PlannedTarget]) -> Health:
    total = Health()
    for target in targets:
        total += target.observed.report.health
    return total


def _allot_scarce_targets(counts: dict[str, int], target_count: int) -> dict[str, int]:
    """Return a share of too few targets, in proportion to each floor."""
    shares = dict.fromkeys(counts, 0)
    for _ in range(target_count):
        name = min(
            counts,
            key=lambda name: (
                shares[name] / counts[name] if counts[name] else 1.0,
                name,
            ),
        )
        shares[name] += 1
    return shares
