"""When an attempt that failed is followed by another one."""

import dataclasses
import random

from .board import RequestState
from .reason import Reason
from .request import Prompt
from .verdict import Verdict

# Another attempt, later or elsewhere, may fare better.
TRANSIENT = frozenset(
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
AT_ONCE = frozenset({Reason.TARGET_LEAVING, Reason.STALE_INCARNATION})

# No target had any work of these, so that trying again adds no load.
UNBUDGETED = AT_ONCE | {Reason.LINK_DOWN, Reason.ATTEMPT_SEALED}


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
class GiveUp:
    """End the request, with what is known of all its attempts."""

    reason: Reason
    verdict: Verdict


Decision = Retry | GiveUp


class RetryBudget:
    """Holds retries earned by requests, for each owner of a balance."""

    def __init__(self, settings: RetrySettings) -> None:
        self._settings = settings
        self._balances: dict[str, float] = {}

    def earn(self, owner: str) -> None:
        """Add what one request earns."""
        balance = self.balance(owner) + self._settings.budget_ratio
        if balance >= self._settings.budget_burst:
            self._balances.pop(owner, None)  # the default is a full budget
        else:
            self._balances[owner] = balance

    def balance(self, owner: str) -> float:
        """Return the retries that an owner has left."""
        return self._balances.get(owner, self._settings.budget_burst)

    def spend(self, owner: str) -> None:
        """Take one retry."""
        self._balances[owner] = self.balance(owner) - 1.0

    def forget(self, owner: str) -> None:
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
        self._random = rng
        self._workspaces = RetryBudget(settings)
        self._targets = RetryBudget(settings)

    def note_first(self, workspace: str, target: str) -> None:
        """Credit the budgets with the first attempt of a request."""
        self._workspaces.earn(workspace)
        self._targets.earn(target)

    def forget_target(self, target: str) -> None:
        """Drop the budget of a target that is gone."""
        self._targets.forget(target)

    def decide(
        self,
        state: RequestState,
        reason: Reason,
        verdict: Verdict,
        now: float,
        retry_after: float | None = None,
    ) -> Decision:
        """Decide after the last attempt of a request has failed."""
        if verdict is not Verdict.NOT_RUN or _is_taken_over(state, reason):
            state.may_have_run = True
        if not self._may_rerun(state, reason, verdict):
            return self._give_up(state, reason)
        at = now + max(self._backoff(state, reason), retry_after or 0.0)
        if at >= state.request.deadline:
            return self._give_up(state, reason)
        if not self._take(state, reason):
            return self._give_up(state, Reason.RETRY_BUDGET)
        return Retry(at)

    def _may_rerun(self, state: RequestState, reason: Reason, verdict: Verdict) -> bool:
        if reason not in TRANSIENT:
            return False
        if len(state.attempts) >= self._settings.max_attempts:
            return False
        if not verdict.retryable and not state.request.idempotent:
            return False
        passed_on = state.relayed > 0 and state.request.streamed
        return not passed_on or _is_repeatable(state)

    def _backoff(self, state: RequestState, reason: Reason) -> float:
        if reason in AT_ONCE:
            return 0.0
        retries = max(len(state.attempts) - 1, 0)
        ceiling = self._settings.backoff_base * 2**retries
        return self._random.uniform(0.0, min(ceiling, self._settings.backoff_cap))

    def _take(self, state: RequestState, reason: Reason) -> bool:
        if reason in UNBUDGETED or not state.attempts:
            return True
        workspace = state.request.workspace
        target = state.attempts[-1].agent.target
        if self._workspaces.balance(workspace) < 1.0:
            return False
        if self._targets.balance(target) < 1.0:
            return False
        self._workspaces.spend(workspace)
        self._targets.spend(target)
        return True

    def _give_up(self, state: RequestState, reason: Reason) -> GiveUp:
        if state.may_have_run:
            return GiveUp(reason, Verdict.MAY_HAVE_RUN)
        return GiveUp(reason, Verdict.NOT_RUN)


def _is_taken_over(state: RequestState, reason: Reason) -> bool:
    """Tell whether another entry may run what the request's key stands for."""
    return reason is Reason.ATTEMPT_SEALED and state.request.key is not None


def _is_repeatable(state: RequestState) -> bool:
    match state.request.work:
        case Prompt(repeatable=repeatable):
            return repeatable
    return False
