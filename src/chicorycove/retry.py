"""When an attempt that failed is followed by another one."""

import dataclasses
import random

from .board import RequestState
from .reason import Reason
from .request import Prompt
from .verdict import Verdict

# Another attempt, later or elsewhere, may fare better.
TRANSIENT_REASONS = frozenset(
    {
        Reason.DEADLINE_INFEASIBLE,
        Reason.QUEUE_FULL,
        Reason.MEMORY_FULL,
        Reason.NO_TARGET,
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

# A planned stop must cut off no request, and costs its target nothing.
IMMEDIATE_REASONS = frozenset({Reason.TARGET_LEAVING, Reason.STALE_INCARNATION})

# No target had any work of these, so that trying again adds no load.
UNBUDGETED_REASONS = IMMEDIATE_REASONS | {Reason.LINK_DOWN, Reason.ATTEMPT_SEALED}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RetrySettings:
    """Limits of retries; times are in seconds."""

    max_attempts: int = 5  # of one request
    budget_ratio: float = 0.1  # retries earned by each request
    budget_burst: float = 10.0  # retries that a full budget holds
    backoff_base: float = 0.02
    backoff_cap: float = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """Try again at a time."""

    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class NoRetry:
    """End the request, with what is known of all its attempts."""

    reason: Reason
    verdict: Verdict


RetryDecision = Retry | NoRetry


class RetryBudget:
    """Holds retries earned by requests, for each owner of a balance."""

    def __init__(self, settings: RetrySettings) -> None:
        self._settings = settings
        self._balances: dict[str, float] = {}

    def count_request(self, owner: str) -> None:
        """Add what one request earns."""
        balance = self.available(owner) + self._settings.budget_ratio
        if balance >= self._settings.budget_burst:
            self._balances.pop(owner, None)  # the default is a full budget
        else:
            self._balances[owner] = balance

    def available(self, owner: str) -> float:
        """Return the retries that an owner has left."""
        return self._balances.get(owner, self._settings.budget_burst)

    def consume(self, owner: str) -> None:
        """Take one retry."""
        self._balances[owner] = self.available(owner) - 1.0

    def remove(self, owner: str) -> None:
        """Drop an owner that is gone."""
        self._balances.pop(owner, None)


class RetryPolicy:
    """Decides whether and when a request is tried again.

    A workspace and a target have a budget each; a retry takes from both, so
    that attempts exceed requests by the budget's ratio at most once it is
    used up.
    """

    def __init__(self, settings: RetrySettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        self._workspaces = RetryBudget(settings)
        self._targets = RetryBudget(settings)

    def count_request(self, workspace: str, target: str) -> None:
        """Credit the budgets with the first attempt of a request."""
        self._workspaces.count_request(workspace)
        self._targets.count_request(target)

    def remove_target(self, target: str) -> None:
        """Drop the budget of a target that is gone."""
        self._targets.remove(target)

    def decide(
        self,
        state: RequestState,
        reason: Reason,
        verdict: Verdict,
        now: float,
        retry_after: float | None = None,
    ) -> RetryDecision:
        """Decide after the last attempt of a request has failed."""
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
    """Tell whether another entry may run what the request's key stands for."""
    return reason is Reason.ATTEMPT_SEALED and state.request.key is not None


def _is_repeatable(state: RequestState) -> bool:
    match state.request.work:
        case Prompt(repeatable=repeatable):
            return repeatable
    return False
