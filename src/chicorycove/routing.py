"""Choice of a target for each request."""

import dataclasses
import math
import random
import typing as t

import xxhash

from .board import EntryBoard, TargetState
from .catalogue import Catalogue
from .host import Host
from .request import Call, Prompt, Request

frozen = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


@frozen
class RoundRobin:
    """Choose the targets in rotation."""


@frozen
class LeastOutstanding:
    """Choose the target with the fewest requests of this entry in a sample."""

    samples: int = 4  # targets drawn at random


@frozen
class LengthAware:
    """Keep long prompts on few targets and short prompts off them.

    Long prompts fill the long pool: the first targets in a stable order that
    all entries share, each up to a limit of long prompts. Short prompts go to
    the cheapest target of a random sample.
    """

    long_prompt_tokens: int = 16_384  # prompts of this size and more are long
    max_long_tokens: int = 120_000  # tokens of long prompts on one target
    samples: int = 4  # targets drawn at random
    scan_limit: int = 32  # targets of a service up to which all are compared
    chunk_cost: int = 16_000  # tokens that long prompts on a target cost a short one
    decode_cost: int = 100  # tokens that each outstanding request costs
    memory_cost: int = 60_000  # tokens that waiting for memory costs
    long_pool_initial_share: float = 0.5  # of the targets, before any observation
    long_pool_max_share: float = 0.8  # of the targets
    long_pool_utilization: float = 0.97  # share of the long pool kept busy
    long_pool_smoothing: float = 0.03  # weight of a new observation


Policy = RoundRobin | LeastOutstanding | LengthAware


@frozen
class RoutingSettings:
    """The policy, and the greatest age of the target index in seconds."""

    policy: Policy = LengthAware()
    max_index_age: float = 1.0


@dataclasses.dataclass(slots=True)
class _TargetPool:
    """The targets of a service in the stable order."""

    names: list[str]
    largest_memory: int = 0  # tokens
    last_index: int = 0  # of the target chosen last in rotation
    mean_busy: float | None = None  # busy targets of the long pool, moving average

    def long_pool_size(self, policy: LengthAware) -> int:
        """Return the number of targets in the long pool."""
        size = len(self.names)
        if self.mean_busy is None:
            return math.ceil(size * policy.long_pool_initial_share)
        desired_size = math.ceil(self.mean_busy / policy.long_pool_utilization)
        return min(max(desired_size, 1), max(1, int(size * policy.long_pool_max_share)))

    def observe(self, busy: float, policy: LengthAware) -> None:
        """Add an observed number of targets that long prompts keep busy."""
        if self.mean_busy is None:
            self.mean_busy = self.long_pool_size(policy) * policy.long_pool_utilization
        self.mean_busy += policy.long_pool_smoothing * (busy - self.mean_busy)


class TargetIndex:
    """Targets by service, rebuilt when the catalogue or the hosts change."""

    def __init__(self, max_age: float) -> None:
        self._max_age = max_age
        self._built_at = float("-inf")
        self._catalogue: Catalogue | None = None
        self._size = -1
        self._pools: dict[str, _TargetPool] = {}

    def find_pool(
        self, request: Request, board: EntryBoard, now: float | None = None
    ) -> _TargetPool | None:
        """Return the targets of a request's service, None if unknown."""
        now = self._built_at if now is None else now
        if self._is_stale(board, now):
            self._rebuild(board, now)
        match request.work:
            case Prompt(model=model):
                entry = board.catalogue.models.get(model)
                return self._pools.get(entry.service) if entry else None
            case Call(service=service):
                return self._pools.get(service)

    def _is_stale(self, board: EntryBoard, now: float) -> bool:
        return (
            board.catalogue is not self._catalogue
            or len(board.targets) != self._size
            or now >= self._built_at + self._max_age
        )

    def _rebuild(self, board: EntryBoard, now: float) -> None:
        pools = {}
        for name, service in board.catalogue.services.items():
            targets = [
                target
                for target in board.targets.values()
                if matches(target.host, service.selector)
            ]
            pools[name] = self._refresh(name, targets)
        self._pools = pools
        self._catalogue = board.catalogue
        self._size = len(board.targets)
        self._built_at = now

    def _refresh(self, service: str, targets: list[TargetState]) -> _TargetPool:
        pool = self._pools.get(service) or _TargetPool([])
        names = [target.host.name for target in targets]
        pool.names = sorted(names, key=stable_rank)
        sizes = [target.load.memory_total for target in targets]
        pool.largest_memory = max(sizes, default=0)
        return pool


class Router:
    """Chooses targets by a policy from the state on this entry's board."""

    def __init__(self, settings: RoutingSettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        self._index = TargetIndex(settings.max_index_age)

    def choose(
        self,
        request: Request,
        board: EntryBoard,
        now: float,
        exclude: frozenset[str] = frozenset(),
    ) -> str | None:
        """Return the name of a target for a request, None if there is none."""
        pool = self._index.find_pool(request, board, now)
        if pool is None or not pool.names:
            return None
        selection = _Selection(request, board, now, exclude, pool, self._rng)
        match self._settings.policy:
            case RoundRobin():
                return selection.next_round_robin()
            case LeastOutstanding(samples=samples):
                return selection.cheapest(samples, outstanding_requests)
            case LengthAware() as policy:
                return self._choose_by_length(policy, selection)

    def candidates(
        self, request: Request, board: EntryBoard, now: float
    ) -> t.Iterator[TargetState]:
        """Yield the usable targets of a request's service in stable order."""
        pool = self._index.find_pool(request, board, now)
        for name in pool.names if pool else ():
            target = board.targets.get(name)
            if target is not None and is_usable(target, board, now):
                yield target

    def long_pool_size(self, request: Request, board: EntryBoard, now: float) -> int:
        """Return the number of targets in the long pool, 0 without one."""
        pool = self._index.find_pool(request, board, now)
        match self._settings.policy:
            case LengthAware() as policy if pool is not None:
                return pool.long_pool_size(policy)
            case _:
                return 0

    def target_names(
        self, request: Request, board: EntryBoard, now: float
    ) -> list[str]:
        """Return the names of all targets of a request's service."""
        pool = self._index.find_pool(request, board, now)
        return pool.names if pool else []

    def largest_memory(self, request: Request, board: EntryBoard) -> int:
        """Return the largest engine memory of a request's service in tokens.

        Return 0 if it is unknown.
        """
        pool = self._index.find_pool(request, board)
        return pool.largest_memory if pool else 0

    def _choose_by_length(
        self, policy: LengthAware, selection: "_Selection"
    ) -> str | None:
        work = selection.request.work
        if isinstance(work, Call):
            return selection.cheapest(policy.samples, outstanding_requests)
        samples = policy.samples
        if len(selection.pool.names) <= policy.scan_limit:
            samples = policy.scan_limit
        if work.tokens < policy.long_prompt_tokens:
            return selection.cheapest(samples, ShortPromptCost(policy, work.memory))
        return self._choose_long(policy, selection, samples)

    def _choose_long(
        self, policy: LengthAware, selection: "_Selection", samples: int
    ) -> str | None:
        """Choose a target for a long prompt.

        It is the long pool's first target with room, or its least loaded one.
        """
        pool = selection.pool
        size = pool.long_pool_size(policy)
        long_pool = selection.long_pool(size, samples)
        if not long_pool:
            return selection.cheapest(samples, pending_prefill_tokens)
        busy = sum(1 for target in long_pool if pending_prefill_tokens(target))
        pool.observe(busy * size / len(long_pool), policy)
        limit = max(0, policy.max_long_tokens - selection.request.work.tokens)
        for target in long_pool:
            if pending_prefill_tokens(target) <= limit and selection.has_memory(target):
                return target.host.name
        return min(long_pool, key=pending_prefill_tokens).host.name


class ShortPromptCost:
    """Estimates the wait of a short prompt at a target, in tokens.

    Engines put short prompts before long ones, so a long prompt delays them
    by the rest of its current chunk at most.
    """

    def __init__(self, policy: LengthAware, memory: int) -> None:
        self._policy = policy
        self._memory = memory

    def __call__(self, target: TargetState) -> float:
        policy = self._policy
        total = long = 0
        for tokens in target.prefill.values():
            total += tokens
            if tokens >= policy.long_prompt_tokens:
                long += tokens
        long = max(long, target.load.queued_long)
        total = max(total, target.load.queued_prefill)
        cost = max(0, total - long) + policy.decode_cost * len(target.outstanding)
        if long:
            cost += policy.chunk_cost
        if target.load.memory_total and target.memory_free < self._memory:
            cost += policy.memory_cost
        return cost


class _Selection:
    """The choice of a target for one request from a pool."""

    def __init__(
        self,
        request: Request,
        board: EntryBoard,
        now: float,
        exclude: frozenset[str],
        pool: _TargetPool,
        rng: random.Random,
    ) -> None:
        self.request = request
        self.pool = pool
        self._board = board
        self._now = now
        self._exclude = exclude
        self._rng = rng

    def next_round_robin(self) -> str | None:
        """Return the next usable target in rotation."""
        names = self.pool.names
        for _ in names:
            self.pool.last_index = (self.pool.last_index + 1) % len(names)
            target = self._find_usable(names[self.pool.last_index])
            if target is not None:
                return target.host.name
        return None

    def cheapest(
        self, samples: int, cost: t.Callable[[TargetState], float]
    ) -> str | None:
        """Return the cheapest usable target of a random sample.

        If no sampled target is usable, all targets are searched.
        """
        sampled = self._sample(samples, len(self.pool.names))
        if not sampled:
            sampled = self._scan(samples)
        if not sampled:
            return None
        return min(sampled, key=cost).host.name

    def long_pool(self, size: int, samples: int) -> list[TargetState]:
        """Return usable targets of the long pool, sampled if it is large."""
        if size > samples:
            return self._sample(samples, size)
        targets = map(self._find_usable, self.pool.names[:size])
        return [target for target in targets if target is not None]

    def has_memory(self, target: TargetState) -> bool:
        """Return whether a target probably has enough free memory."""
        total = target.load.memory_total
        return not total or target.memory_free >= self.request.work.memory

    def _sample(self, samples: int, among: int) -> list[TargetState]:
        count = min(samples, among)
        sampled = self._rng.sample(range(among), count)
        targets = (self._find_usable(self.pool.names[i]) for i in sampled)
        return [target for target in targets if target is not None]

    def _scan(self, count: int) -> list[TargetState]:
        """Return the first usable targets, searched from a random position."""
        names = self.pool.names
        start = self._rng.randrange(len(names))
        found = []
        for offset in range(len(names)):
            target = self._find_usable(names[(start + offset) % len(names)])
            if target is not None:
                found.append(target)
            if len(found) == count:
                break
        return found

    def _find_usable(self, name: str) -> TargetState | None:
        target = self._board.targets.get(name)
        if target is None or name in self._exclude:
            return None
        if not is_usable(target, self._board, self._now):
            return None
        return target if self._fits(target) else None

    def _fits(self, target: TargetState) -> bool:
        work = self.request.work
        total = target.load.memory_total
        return isinstance(work, Call) or not total or work.memory <= total


def matches(host: Host, selector: t.Mapping[str, str]) -> bool:
    """Return whether a host's labels match all labels of a selector."""
    return all(host.labels.get(key) == value for key, value in selector.items())


def is_usable(target: TargetState, board: EntryBoard, now: float) -> bool:
    """Return whether a target may get new work."""
    if target.agent is None or target.leaving or target.ejected_until > now:
        return False
    entry = board.catalogue.targets.get(target.host.name)
    return entry is None or not entry.drained


def outstanding_requests(target: TargetState) -> int:
    """Return the number of requests that this entry has at a target."""
    return len(target.outstanding)


def pending_prefill_tokens(target: TargetState) -> int:
    """Return a target's tokens to prefill, the larger of own and reported."""
    return max(sum(target.prefill.values()), target.load.queued_prefill)


def stable_rank(name: str) -> int:
    """Return a target's rank in the order that all entries share."""
    return xxhash.xxh64_intdigest(name.encode())
