"""Plans the moves of one service from a view of all its targets."""

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
from .rollout import Halt, Health, Hold, RolloutState, judge


@dataclasses.dataclass(slots=True)
class Slot:
    """A usable target while one plan is being made."""

    target: ObservedTarget
    wanted: Placement | None
    serving: str | None  # the model that it serves now
    in_flight: bool

    @property
    def name(self) -> str:
        return self.target.host.name

    @property
    def domain(self) -> str:
        return self.target.host.failure_domain

    @property
    def model(self) -> str | None:
        return self.wanted.model if self.wanted else None


class ServicePlanner:
    """Plans the moves of one service."""

    def __init__(
        self,
        board: PlannerBoard,
        settings: PlannerSettings,
        service: str,
        models: dict[str, Model],
        slots: list[Slot],
        now: float,
    ) -> None:
        self.moves: list[PlannedMove] = []
        self.problems: list[PlanProblem] = []
        self.rollouts: list[RolloutState] = []
        self._board = board
        self._settings = settings
        self._service = service
        self._models = models
        self._slots = slots
        self._now = now
        self._serving = collections.Counter(slot.serving for slot in slots)
        self._have = collections.Counter(slot.model for slot in slots)
        self._spread = collections.Counter((s.model, s.domain) for s in slots)
        self._taken: set[str] = set()

    def plan(self) -> None:
        """Find the moves, the most urgent first."""
        wanted = self._wanted_counts()
        self._fill(wanted)
        self._restore(wanted)
        self._retry()
        for model in self._models.values():
            self._roll_out(model)
        self._adjust()
        self._rebalance(wanted)
        for model in self._models.values():
            if self._serving[model.name] < model.min_targets:
                self.problems.append(
                    PlanProblem(
                        f"model/{model.name}",
                        f"{self._serving[model.name]} targets serve, "
                        f"the floor is {model.min_targets}",
                    )
                )

    def _wanted_counts(self) -> dict[str, int]:
        """Return how many targets each model should have."""
        counts = {name: model.min_targets for name, model in self._models.items()}
        spare = len(self._slots) - sum(counts.values())
        if spare < 0:
            return _shrunk(counts, len(self._slots))
        idle = len(self._slots) / len(counts)  # steadies shares of little demand
        demand = {n: idle + value for n, value in self._smooth_demand().items()}
        total = sum(demand.values()) or 1.0
        shares = {name: spare * demand[name] / total for name in counts}
        whole = {name: int(share) for name, share in shares.items()}
        by_rest = sorted(counts, key=lambda name: (whole[name] - shares[name], name))
        for name in by_rest[: spare - sum(whole.values())]:
            whole[name] += 1
        return {name: counts[name] + whole[name] for name in counts}

    def _smooth_demand(self) -> dict[str, float]:
        seen = dict.fromkeys(self._models, 0.0)
        for slot in self._slots:
            if slot.serving in seen:
                seen[slot.serving] += slot.target.report.demand
        then = self._board.demand_at
        self._board.demand_at = self._now
        age = self._now - then if then is not None else 0.0
        keep = 0.5 ** (age / self._settings.demand_half_life)
        for name, value in seen.items():
            old = self._board.demand.get(name, value)
            self._board.demand[name] = old * keep + value * (1 - keep)
        return {name: self._board.demand[name] for name in self._models}

    def _fill(self, wanted: dict[str, int]) -> None:
        """Give every target that has no model of this service one."""
        free: dict[str, list[Slot]] = {}
        for slot in sorted(self._slots, key=lambda s: s.name, reverse=True):
            if slot.model not in self._models:
                free.setdefault(slot.domain, []).append(slot)
        while free:
            name = self._neediest(wanted)
            domain = min(free, key=lambda d: (self._spread[name, d], d))
            slot = free[domain].pop()
            if not free[domain]:
                del free[domain]
            self._move(slot, self._placement(name), self._need(name), "it has no model")

    def _need(self, name: str) -> Urgency:
        """Return how urgent one more target of a model is."""
        if self._serving[name] == 0:
            return RESTORE
        if self._serving[name] < self._models[name].min_targets:
            return FLOOR
        return FILL

    def _retry(self) -> None:
        """Order failed loads again, later each time."""
        for slot in self._slots:
            report = slot.target.report
            if not report.parked:
                self._board.failed_at.pop(slot.name, None)
                continue
            since = self._board.failed_at.setdefault(slot.name, self._now)
            due = since + self._retry_delay(report.failures)
            if slot.in_flight or slot.name in self._taken or self._now < due:
                continue
            del self._board.failed_at[slot.name]
            cause = f"its load failed: {report.error}"
            if not report.failures:
                cause = "its order is an earlier planner's"
            self._move(slot, self._placement(slot.model), self._need(slot.model), cause)

    def _retry_delay(self, failures: int) -> float:
        if not failures:
            return 0.0
        delay = self._settings.retry_min * 2 ** min(failures - 1, 10)
        return min(delay, self._settings.retry_max)

    def _neediest(self, wanted: dict[str, int]) -> str:
        return min(
            self._models,
            key=lambda name: (
                self._have[name] >= self._models[name].min_targets,
                self._have[name] - wanted[name],
                name,
            ),
        )

    def _best_spread(self, slots: t.Sequence[Slot], name: str) -> Slot:
        """Return the slot in the failure domain that has the model least."""
        return min(slots, key=lambda s: (self._spread[name, s.domain], s.name))

    def _restore(self, wanted: dict[str, int]) -> None:
        """Bring models that are below their floor up to it."""
        for name, model in sorted(self._models.items()):
            while self._have[name] < min(model.min_targets, wanted[name]):
                slot = self._donor(wanted, name)
                if slot is None:
                    break
                self._move(
                    slot, self._placement(name), self._need(name), "below its floor"
                )

    def _donor(self, wanted: dict[str, int], receiver: str) -> Slot | None:
        surplus = {name: self._have[name] - wanted[name] for name in self._models}
        donors = [
            slot
            for slot in self._slots
            if slot.model != receiver
            and surplus.get(slot.model, 0) > 0
            and self._may_take(slot)
        ]
        if not donors:
            return None
        most = max(surplus[slot.model] for slot in donors)
        return self._best_spread(
            [slot for slot in donors if surplus[slot.model] == most], receiver
        )

    def _may_take(self, slot: Slot) -> bool:
        """Tell whether a target can stop serving without breaking a floor."""
        if slot.name in self._taken or slot.in_flight:
            return False
        if slot.serving is None or slot.serving not in self._models:
            return True
        return self._serving[slot.serving] > self._models[slot.serving].min_targets

    def _move(
        self, slot: Slot, placement: Placement, urgency: Urgency, cause: str
    ) -> None:
        report = slot.target.report
        move = PlannedMove(slot.name, report.agent, placement, urgency, cause)
        self.moves.append(move)
        self._taken.add(slot.name)
        if disrupts(report, placement):
            self._serving[slot.serving] -= 1
            slot.serving = None
        self._have[slot.model] -= 1
        self._spread[slot.model, slot.domain] -= 1
        slot.wanted = placement
        self._have[slot.model] += 1
        self._spread[slot.model, slot.domain] += 1

    def _rebalance(self, wanted: dict[str, int]) -> None:
        """Move one target to where demand has been higher for long."""
        last = self._board.moved_at.get(self._service)
        if last is not None and self._now < last + self._settings.move_interval:
            return
        if any(slot.in_flight for slot in self._slots):
            return
        name = min(self._models, key=lambda name: self._have[name] - wanted[name])
        if wanted[name] - self._have[name] < self._settings.move_threshold:
            return
        slot = self._donor(wanted, name)
        if slot is not None:
            cause = f"{name} has {self._have[name]} targets and needs {wanted[name]}"
            self._move(slot, self._placement(name), DEMAND, cause)

    def _roll_out(self, model: Model) -> None:
        version = self.version_of(model.name)
        self._forget_halts(model.name, version)
        slots = [slot for slot in self._slots if slot.model == model.name]
        old = [s for s in slots if s.wanted.version != version]
        done = [s for s in slots if _has(s, model.name, version)]
        state, cause = "complete", ""
        if len(done) < len(slots):
            state, cause = "rolling", ""
        if old:
            state, cause = self._roll_further(model, version, slots, old, done)
        elif failing := [s for s in slots if s.target.report.error]:
            state, cause = "waiting", failing[0].target.report.error
        self.rollouts.append(
            RolloutState(model.name, version, len(done), len(slots), state, cause)
        )

    def _roll_further(
        self,
        model: Model,
        version: str,
        slots: list[Slot],
        old: list[Slot],
        done: list[Slot],
    ) -> tuple[str, str]:
        halted = self._judge(model, version, slots, old, done)
        if isinstance(halted, Halt):
            return "halted", halted.cause
        limit = max(1, int(len(slots) * self._settings.rollout.max_unavailable))
        away = sum(slot.serving is None for slot in slots)
        if isinstance(halted, Hold):
            return "waiting", "too few requests on the new version yet"
        room = max(0, limit - away) if done else 1 - min(away, 1)
        movable = [slot for slot in old if self._may_take(slot)]
        if not movable and away == 0:
            return "waiting", (
                f"{self._serving[model.name]} targets serve and the floor is "
                f"{model.min_targets}: none can be taken out"
            )
        for slot in sorted(movable, key=lambda s: s.name)[:room]:
            if self._may_take(slot):
                cause = f"version {slot.wanted.version} becomes {version}"
                self._move(slot, self._placement(model.name), ROLLOUT, cause)
        return "rolling", ""

    def _judge(
        self,
        model: Model,
        version: str,
        slots: list[Slot],
        old: list[Slot],
        done: list[Slot],
    ) -> t.Any:
        key = (model.name, version)
        if key in self._board.halted:
            return Halt(self._board.halted[key])
        for slot in slots:
            report = slot.target.report
            bad = report.failures >= self._settings.rollout.max_load_failures
            if bad and slot.wanted.version == version:
                return self._halt(key, f"{slot.name}: {report.error}")
        if not done:
            begun = any(slot.wanted.version == version for slot in slots)
            return Hold() if begun else None
        since = self._board.first_ready.setdefault(key, self._now)
        result = judge(
            _health(old), _health(done), self._now - since, self._settings.rollout
        )
        if isinstance(result, Halt):
            return self._halt(key, result.cause)
        return result

    def _forget_halts(self, name: str, version: str) -> None:
        """Give a version another chance once the catalogue has left it."""
        for key in [k for k in self._board.halted if k[0] == name and k[1] != version]:
            del self._board.halted[key]
            self._board.first_ready.pop(key, None)

    def _halt(self, key: tuple[str, str], cause: str) -> Halt:
        self._board.halted[key] = cause
        return Halt(cause)

    def _adjust(self) -> None:
        """Order what needs no load: adapters and roles."""
        for slot in self._slots:
            if slot.name in self._taken or slot.model not in self._models:
                continue
            wanted = self._placement(slot.model)
            wanted = dataclasses.replace(
                wanted, version=slot.wanted.version, weights=slot.wanted.weights
            )
            if wanted.adapters != slot.wanted.adapters:
                self._move(slot, wanted, ADJUST, "adapters changed")

    def version_of(self, name: str) -> str:
        return version_of(self._models[name])

    def _placement(self, name: str) -> Placement:
        """Return what a target that gets a model is to have."""
        model = self._models[name]
        version = self.version_of(name)
        if (name, version) in self._board.halted:
            version = self._prevailing(name) or version
        return Placement(
            model=name,
            version=version,
            weights=_weights(model, version),
            adapters=tuple(sorted(model.adapters)),
            role=Role.MIXED,
        )

    def _prevailing(self, name: str) -> str | None:
        """Return the version that most targets have of a halted model."""
        versions = collections.Counter(
            slot.wanted.version
            for slot in self._slots
            if slot.model == name and slot.serving == name
        )
        return versions.most_common(1)[0][0] if versions else None


def version_of(model: Model) -> str:
    if model.version or not model.versions:
        return model.version
    return model.versions[-1].name


def _weights(model: Model, version: str) -> str:
    return next((v.weights for v in model.versions if v.name == version), "")


def _has(slot: Slot, name: str, version: str) -> bool:
    model = slot.target.report.engine.find(name)
    ready = model is not None and model.state == "ready"
    return ready and model.version == version and slot.serving == name


def needs_load(report: AgentReport, placement: Placement) -> bool:
    model = report.engine.find(placement.model)
    return model is None or (model.version, model.state) != (placement.version, "ready")


def disrupts(report: AgentReport, placement: Placement) -> bool:
    others = any(model.name != placement.model for model in report.engine.models)
    return others or needs_load(report, placement)


def _health(slots: t.Iterable[Slot]) -> Health:
    total = Health()
    for slot in slots:
        total += slot.target.report.health
    return total


def _shrunk(counts: dict[str, int], room: int) -> dict[str, int]:
    """Share too few targets out, each model in proportion to its floor."""
    shares = dict.fromkeys(counts, 0)
    for _ in range(room):
        name = min(
            counts, key=lambda n: (shares[n] / counts[n] if counts[n] else 1.0, n)
        )
        shares[name] += 1
    return shares
