"""Retries of requests after failed attempts."""

import dataclasses
import random

from .board import RequestState
from .reason import Reason
from .request import Prompt
from .verdict import Verdict

# Failures after which another attempt may succeed, later or on another target.
TRANSIENT_REASONS = frozenset(
    {
        Reason.DEADLINE_INFEASIBLE,
        Reason.QUEUE_FULL,
        Reason.MEMORY_FULL,
        Reason.NO_TARGET,
        Reason.TARGET_LIMIT,
        Reason.SERVICE_EVACUATED,
        Reason.NOT_READY,
        Reason.TARGET_LEAVING,
        Reason.STALE_INCARNATION,
        Reason.ATTEMPT_SEALED,
        Reason.RESERVATION_LOST,
        Reason.TARGET_UNREACHABLE,
        Reason.TARGET_FAILED,
        Reason.LINK_DOWN,
        Reason.LINK_LOST,
        Reason.STREAM_BROKEN,
    }
)

# Retried without backoff: a planned stop must not fail any request, and its
# refusals cost the target nothing.
IMMEDIATE_REASONS = frozenset({Reason.TARGET_LEAVING, Reason.STALE_INCARNATION})

# Retried without budget: no target had any work from these attempts, so
# another one adds no load.
UNBUDGETED_REASONS = IMMEDIATE_REASONS | {Reason.LINK_DOWN, Reason.ATTEMPT_SEALED}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RetrySettings:
    """Limits on retries; times are in seconds."""

    max_attempts: int = 5  # of one request
    budget_ratio: float = 0.1  # retries that each request adds to a budget
    budget_burst: float = 10.0  # retries in a full budget
    backoff_base: float = 0.02
    backoff_cap: float = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """The request is tried again at a time, in seconds."""

    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class NoRetry:
    """The request fails, with the verdict on all of its attempts."""

    reason: Reason
    verdict: Verdict


RetryDecision = Retry | NoRetry


class RetryBudget:
    """Retry budgets by owner, a workspace or a target."""

    def __init__(self, settings: RetrySettings) -> None:
        self._settings = settings
        self._balances: dict[str, float] = {}

    def count_request(self, owner: str) -> None:
        """Add the retries that a request allows to its owner's budget."""
        balance = self.available(owner) + self._settings.budget_ratio
        if balance >= self._settings.budget_burst:
            self._balances.pop(owner, None)  # the default is a full budget
        else:
            self._balances[owner] = balance

    def available(self, owner: str) -> float:
        """Return the retries left to an owner."""
        return self._balances.get(owner, self._settings.budget_burst)

    def consume(self, owner: str) -> None:
        """Consume one retry of an owner."""
        self._balances[owner] = self.available(owner) - 1.0

    def remove(self, owner: str) -> None:
        """Remove the budget of an owner."""
        self._balances.pop(owner, None)


class RetryPolicy:
    """Decides whether and when a request is retried.

    Each workspace and each target has a budget, and a retry consumes one of
    both. Once the budgets are used up, attempts exceed requests by at most
    the budget's ratio.
    """

    def __init__(self, settings: RetrySettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        self._workspaces = RetryBudget(settings)
        self._targets = RetryBudget(settings)

    def count_request(self, workspace: str, target: str) -> None:
        """Count the first attempt of a request in both budgets."""
        self._workspaces.count_request(workspace)
        self._targets.count_request(target)

    def remove_target(self, target: str) -> None:
        """Remove the budget of a target that no longer exists."""
        self._targets.remove(target)

    def decide(
        self,
        state: RequestState,
        reason: Reason,
        verdict: Verdict,
        now: float,
        retry_after: float | None = None,
    ) -> RetryDecision:
        """Decide on a retry after a request's latest attempt has failed."""
        if verdict is not Verdict.NOT_RUN or _may_run_elsewhere(state, reason):
            state.may_have_run = True
        if not self._may_retry(state, reason, verdict):
            return self._deny_retry(state, reason)
        retry_at = now + max(self._backoff(state, reason), retry_after or 0.0)
        if retry_at >= state.request.deadline:
            return self._deny_retry(state, reason)
        if not self._consume_budget(state, reason):
            return self._deny_retry(state, Reason.RETRY_BUDGET)
        return Retry(retry_at)

    def _may_retry(self, state: RequestState, reason: Reason, verdict: Verdict) -> bool:
        if reason not in TRANSIENT_REASONS:
            return False
        if len(state.attempts) >= self._settings.max_attempts:
            return False
        if not verdict.retryable and not state.request.idempotent:
            return False
        reached_caller = state.relayed_bytes > 0 and state.request.streamed
        return not reached_caller or _is_repeatable(state)

    def _backoff(self, state: RequestState, reason: Reason) -> float:
        if reason in IMMEDIATE_REASONS:
            return 0.0
        retries = max(len(state.attempts) - 1, 0)
        ceiling = self._settings.backoff_base * 2**retries
        return self._rng.uniform(0.0, min(ceiling, self._settings.backoff_cap))

    def _consume_budget(self, state: RequestState, reason: Reason) -> bool:
        if reason in UNBUDGETED_REASONS or not state.attempts:
            return True
        workspace = state.request.workspace
        target = state.attempts[-1].agent.target
        if self._workspaces.available(workspace) < 1.0:
            return False
        if self._targets.available(target) < 1.0:
            return False
        self._workspaces.consume(workspace)
        self._targets.consume(target)
        return True

    def _deny_retry(self, state: RequestState, reason: Reason) -> NoRetry:
        if state.may_have_run:
            return NoRetry(reason, Verdict.MAY_HAVE_RUN)
        return NoRetry(reason, Verdict.NOT_RUN)


def _may_run_elsewhere(state: RequestState, reason: Reason) -> bool:
    """Return whether another entry may have taken over the request's key."""
    return reason is Reason.ATTEMPT_SEALED and state.request.key is not None


def _is_repeatable(state: RequestState) -> bool:
    match state.request.work:
        case Prompt(repeatable=repeatable):
            return repeatable
    return False
