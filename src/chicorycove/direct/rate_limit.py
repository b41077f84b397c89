"""Keeps the requests to a target within the rate that it names.

The load it answers: a target in need names the rate that it takes from all
entries together, while callers send to each entry as before.
"""

import dataclasses
import math
import typing as t

from .board import DirectBoard, RateLimit, TargetView
from .command import DirectCommand, LogChange, UpdatePeers
from .event import RateLimitReport, TargetAnswer


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RateLimitSettings:
    """Settings of targets' rate limits; times are in seconds."""

    burst_time: float = 1.0  # time whose requests may be sent at once, besides one
    # Requests per second that a target may get despite a lower limit: only an
    # answer shows that the limit has ended.
    min_rate: float = 0.1
    ended_report_time: float = 3.0  # time for which a limit's end is reported
    # Time within which refused callers are told to return one after another.
    return_time: float = 2.0


class TargetRateLimits:
    """Counts the requests of all entries to targets that name a limit.

    Every entry counts its own requests and those that its peers report.
    Entries that hear only some of the others use their part of the rate.
    """

    def __init__(self, board: DirectBoard, settings: RateLimitSettings) -> None:
        self._board = board
        self._settings = settings
        self._next_returns: dict[str, float] = {}

    def record_answer(
        self, target: str, answer: TargetAnswer, now: float
    ) -> list[DirectCommand]:
        """Record the limit that an answer names, or that it names none."""
        commands: list[DirectCommand] = [
            LogChange("answer header ignored", target, header)
            for header in answer.invalid_headers
        ]
        if answer.wrong_instance or answer.rate_limit_invalid:
            return commands
        rate = math.inf if answer.rate_limit is None else answer.rate_limit
        report = RateLimitReport(target, rate, now)
        changes = self._apply(report, now)
        if changes:
            changes.append(UpdatePeers(rate_limits=(report,)))
        return commands + changes

    def record_reports(
        self, reports: t.Iterable[RateLimitReport], now: float
    ) -> list[DirectCommand]:
        """Record limits that a peer has reported, if they are news."""
        commands: list[DirectCommand] = []
        for report in reports:
            commands += self._apply(report, now)
        return commands

    def reports(self, now: float) -> tuple[RateLimitReport, ...]:
        """Return the limits, and the recent ends of limits, for peers."""
        return tuple(
            RateLimitReport(view.listing.id, limit.rate, limit.named_at)
            for view in self._board.targets.values()
            if (limit := view.rate_limit) is not None
            and (
                limit.rate < math.inf
                or now < limit.named_at + self._settings.ended_report_time
            )
        )

    def count(self, view: TargetView, now: float) -> None:
        """Count a request that an entry has placed on a target."""
        if view.names_rate_limit:
            self._refill(view.rate_limit, now)
            view.rate_limit.balance -= 1

    def allows(self, view: TargetView, now: float) -> bool:
        """Return whether a request may be placed on a target now."""
        if not view.names_rate_limit:
            return True
        self._refill(view.rate_limit, now)
        return view.rate_limit.balance >= 1

    def retry_after(self, service: str, now: float) -> float | None:
        """Return the seconds until a refused caller should return.

        Callers are told different times, at the rate of the service's limited
        targets.  Return None if the service has no such target.
        """
        limits = [
            view.rate_limit
            for view in self._board.available_targets(service)
            if not self.allows(view, now)
        ]
        if not limits:
            return None
        first_return = now + min(
            (1 - limit.balance) / self._rate(limit) for limit in limits
        )
        next_return = self._next_returns.get(service, 0.0)
        last_return = first_return + self._settings.return_time
        if not first_return <= next_return <= last_return:
            next_return = first_return
        interval = 1 / sum(self._rate(limit) for limit in limits)
        interval *= max(len(self._board.peer_names), 1)
        self._next_returns[service] = next_return + interval
        return next_return - now

    def _apply(self, report: RateLimitReport, now: float) -> list[DirectCommand]:
        view = self._board.targets.get(report.target)
        if view is None:
            return []
        limit = view.rate_limit
        if limit is None:
            if report.rate == math.inf:
                return []
            view.rate_limit = RateLimit(report.rate, report.named_at, refilled_at=now)
        elif report.named_at <= limit.named_at:
            return []
        elif report.rate == limit.rate:
            if report.rate < math.inf:
                limit.named_at = report.named_at
            return []
        else:
            self._refill(limit, now)
            limit.rate = report.rate
            limit.named_at = report.named_at
            limit.balance = min(max(limit.balance, -1.0), 1.0)
        detail = f"{report.rate:g} requests/s" if report.rate < math.inf else "none"
        return [LogChange("target limit changed", report.target, detail)]

    def _rate(self, limit: RateLimit) -> float:
        rate = max(limit.rate, self._settings.min_rate)
        return rate * self._board.responsive_share

    def _refill(self, limit: RateLimit, now: float) -> None:
        rate = self._rate(limit)
        size = 1 + rate * self._settings.burst_time
        elapsed = max(now - limit.refilled_at, 0.0)
        limit.balance = min(limit.balance + elapsed * rate, size)
        limit.refilled_at = now
