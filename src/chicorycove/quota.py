"""Limits of workspaces, split over entries that lend each other shares."""

import dataclasses

from .catalogue import Catalogue, Limits
from .reason import Reason
from .request import Prompt, Request


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QuotaSettings:
    """How a limit is split over entries; times are in seconds.

    ``max_entries`` is the greatest number of entries that run at the same
    time. Each may use its share without a message from another.
    """

    max_entries: int = 1
    burst: float = 2.0  # seconds of a rate that may be used immediately
    loan_duration: float = 5.0
    clock_skew: float = 0.5  # a lender waits this much longer for a loan to expire
    retained_share: float = 0.25  # part of its own share that an entry never lends


@dataclasses.dataclass(frozen=True, slots=True)
class Loan:
    """A part of a limit that one entry lends another until a time."""

    amount: float
    expires: float


class Share:
    """One entry's share of a limit, in units of that limit.

    A lender deducts a loan until it has expired on every clock, and a borrower
    adds it until it expires on the borrower's own clock. So the shares of all
    entries never add up to more than the limit.
    """

    def __init__(self, limit: float, settings: QuotaSettings) -> None:
        self._own = limit / settings.max_entries
        self._settings = settings
        self._lent: list[Loan] = []
        self._borrowed: list[Loan] = []

    def usable(self, now: float) -> float:
        """Return the amount that the entry may use at a time."""
        self._expire(now)
        lent = sum(loan.amount for loan in self._lent)
        return self._own - lent + sum(loan.amount for loan in self._borrowed)

    def lend(self, amount: float, in_use: float, now: float) -> Loan | None:
        """Lend up to an amount, or return None if nothing is free.

        An amount is free if it is not in use, retained or borrowed.
        """
        free = self.usable(now) - in_use - self._own * self._settings.retained_share
        free -= sum(loan.amount for loan in self._borrowed)
        amount = min(amount, free)
        if amount <= 0:
            return None
        loan = Loan(amount, now + self._settings.loan_duration)
        self._lent.append(loan)
        return loan

    def borrow(self, loan: Loan, now: float) -> None:
        """Add a loan, unless it has expired in transit."""
        if loan.expires > now:
            self._borrowed.append(loan)

    def _expire(self, now: float) -> None:
        skew = self._settings.clock_skew
        self._lent = [loan for loan in self._lent if loan.expires + skew > now]
        self._borrowed = [loan for loan in self._borrowed if loan.expires > now]


class RateLimiter:
    """Limits a rate per second by a token bucket.

    The bucket fills at the rate of this entry's share.
    """

    def __init__(self, limit: float, settings: QuotaSettings, now: float) -> None:
        self.share = Share(limit, settings)
        self._burst = settings.burst
        self._balance = self.share.usable(now) * self._burst
        self._refilled_at = now

    def consume(self, amount: float, now: float) -> float:
        """Consume an amount, or return the seconds until that is possible.

        Return 0 if it was consumed. An amount larger than the bucket needs a
        full bucket and leaves a negative balance.
        """
        rate = self.share.usable(now)
        size = rate * self._burst
        elapsed = max(0.0, now - self._refilled_at)
        self._balance = min(size, self._balance + elapsed * rate)
        self._refilled_at = max(now, self._refilled_at)
        missing = min(amount, size) - self._balance
        if missing > 0:
            return missing / rate if rate > 0 else self._burst
        self._balance -= amount
        return 0.0

    def refund(self, amount: float) -> None:
        """Return an amount that was consumed but not used."""
        self._balance += amount


class CapacityLimiter:
    """Limits the amount that requests hold while they run."""

    def __init__(self, limit: float, settings: QuotaSettings) -> None:
        self.share = Share(limit, settings)
        self.in_use = 0.0

    def acquire(self, amount: float, now: float) -> bool:
        """Acquire an amount, or return False if less is free."""
        if self.in_use + amount > self.share.usable(now):
            return False
        self.in_use += amount
        return True

    def release(self, amount: float) -> None:
        """Release an acquired amount."""
        self.in_use -= amount


@dataclasses.dataclass(frozen=True, slots=True)
class LimitExceeded:
    """The limit that a request exceeds; ``retry_after`` is in seconds."""

    reason: Reason
    retry_after: float


class WorkspaceQuota:
    """The limits of a workspace and their use at this entry."""

    def __init__(self, limits: Limits, settings: QuotaSettings, now: float) -> None:
        self.limits = limits
        self.requests = _rate_limiter(limits.requests_per_second, settings, now)
        self.tokens = _rate_limiter(limits.tokens_per_second, settings, now)
        self.memory = _capacity_limiter(limits.memory_tokens, settings)

    def admit(self, request: Request, now: float) -> LimitExceeded | None:
        """Charge a request, or only return the limit that it exceeds."""
        tokens = _charged_tokens(request)
        if self.requests and (wait := self.requests.consume(1, now)):
            return LimitExceeded(Reason.LIMIT_REQUESTS, wait)
        if self.tokens and (wait := self.tokens.consume(tokens, now)):
            self._refund_request()
            return LimitExceeded(Reason.LIMIT_TOKENS, wait)
        if self.memory and not self.memory.acquire(tokens, now):
            self._refund_request()
            if self.tokens:
                self.tokens.refund(tokens)
            return LimitExceeded(Reason.LIMIT_MEMORY, RETRY_AFTER)
        return None

    def release(self, request: Request) -> None:
        """Release the memory of a request that has ended."""
        if self.memory:
            self.memory.release(_charged_tokens(request))

    def _refund_request(self) -> None:
        if self.requests:
            self.requests.refund(1)


RETRY_AFTER = 1.0  # seconds, if no wait can be estimated


class Quotas:
    """The quotas of all workspaces at this entry."""

    def __init__(self, settings: QuotaSettings) -> None:
        self._settings = settings
        self._workspace_quotas: dict[str, WorkspaceQuota] = {}
        self._admitted: dict[str, tuple[WorkspaceQuota, Request]] = {}

    def admit(
        self, request: Request, catalogue: Catalogue, now: float
    ) -> LimitExceeded | None:
        """Charge a request to its workspace, or return the exceeded limit."""
        quota = self.workspace_quota(request.workspace, catalogue, now)
        exceeded = quota.admit(request, now)
        if exceeded is None:
            self._admitted[request.id] = (quota, request)
        return exceeded

    def release(self, request: str) -> None:
        """Release what a request holds, if it was admitted."""
        charge = self._admitted.pop(request, None)
        if charge is not None:
            quota, admitted = charge
            quota.release(admitted)

    def workspace_quota(
        self, workspace: str, catalogue: Catalogue, now: float
    ) -> WorkspaceQuota:
        """Return a workspace's quota, a new one if its limits have changed."""
        limits = catalogue.workspaces[workspace].limits
        quota = self._workspace_quotas.get(workspace)
        if quota is None or quota.limits != limits:
            quota = self._replace(quota, limits, now)
            self._workspace_quotas[workspace] = quota
        return quota

    def _replace(
        self, old: WorkspaceQuota | None, limits: Limits, now: float
    ) -> WorkspaceQuota:
        """Return a new quota that holds the memory of running requests."""
        quota = WorkspaceQuota(limits, self._settings, now)
        for request_id, (holder, request) in list(self._admitted.items()):
            if holder is old:
                self._admitted[request_id] = (quota, request)
                if quota.memory:
                    quota.memory.in_use += _charged_tokens(request)
        return quota


def _charged_tokens(request: Request) -> int:
    return request.work.memory if isinstance(request.work, Prompt) else 0


def _rate_limiter(
    limit: float | None, settings: QuotaSettings, now: float
) -> RateLimiter | None:
    return None if limit is None else RateLimiter(limit, settings, now)


def _capacity_limiter(
    limit: int | None, settings: QuotaSettings
) -> CapacityLimiter | None:
    return None if limit is None else CapacityLimiter(limit, settings)
