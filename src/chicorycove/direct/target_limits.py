"""Keeps the requests to a target within what it says that it takes.

The load it answers: a target in need names the rate that it takes from all
entries together, asks the entry that it refused to back off, says that it
leaves, or is cold, while callers send to each entry as before.
"""

import dataclasses
import math
import typing as t

from ..identity import AgentId
from ..lifecycle import ReleaseMemory, ReserveMemory
from .board import DirectBoard, Exclusion, TargetListing, TargetView
from .cold_targets import ColdEndDue, ColdTargets, ColdTargetSettings
from .command import DirectCommand, LogChange, ProbeTarget, UpdatePeers
from .event import ColdReport, RateLimitReport, TargetAnswer, TargetNotice
from .target_terms import RateLimit, TargetTerms


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TargetLimitSettings:
    """How entries keep to what targets take; times are in seconds."""

    burst_time: float = 1.0  # time whose requests may be sent at once, besides one
    # Requests per second that a target may get despite a lower limit: only an
    # answer shows that the limit has ended.
    min_rate: float = 0.1
    ended_report_time: float = 3.0  # time for which a limit's end is reported
    # Time within which refused callers are told to return one after another.
    return_time: float = 2.0
    # Requests per second for which callers are told to return to a target
    # after its backoff.
    return_rate: float = 20.0
    max_backoff: float = 300.0  # a longer time that a target names counts as this
    # Orders and probes that a target gets during a backoff, for the answers
    # that it has begun.
    max_backoff_calls: int = 2
    cold_targets: ColdTargetSettings = ColdTargetSettings()


class TargetLimits:
    """Counts requests to targets that name a limit, and excludes others.

    Excluded are targets that asked this entry to back off and those that
    leave.  Targets that asked other entries to back off are avoided.

    Every entry counts its own requests and those that its peers report.
    Entries that hear only some of the others use their part of the rate.  The
    rate of a cold target is that of its service, if it names no lower one.
    """

    def __init__(
        self, board: DirectBoard, settings: TargetLimitSettings, entry_name: str
    ) -> None:
        self._board = board
        self._settings = settings
        self._cold_targets = ColdTargets(board, settings.cold_targets, entry_name)
        self._next_returns: dict[str, float] = {}

    def record_answer(
        self,
        agent: AgentId,
        answer: TargetAnswer,
        now: float,
        to_order: bool = False,
    ) -> list[DirectCommand]:
        """Record what a target's answer says that the target takes.

        An answer to an order that names no rate limit does not end one.
        """
        target = agent.target
        commands: list[DirectCommand] = [
            LogChange("answer header ignored", target, header)
            for header in answer.invalid_headers
        ]
        if answer.wrong_instance:
            return commands
        terms = self._find_terms(agent)
        commands += self._record_notice(agent, terms, answer, now)
        if answer.rate_limit is not None or not (answer.rate_limit_invalid or to_order):
            rate = math.inf if answer.rate_limit is None else answer.rate_limit
            report = RateLimitReport(target, rate, now, agent.incarnation)
            changes = self._apply(terms, report, now)
            if changes:
                changes.append(UpdatePeers(rate_limits=(report,)))
            commands += changes
        if answer.cold_time_left:
            commands += self._cold_targets.record_answer(
                agent, terms, answer.cold_time_left, now
            )
        self._keep_terms(agent, terms)
        return commands

    def record_listing(self, listing: TargetListing, now: float) -> list[DirectCommand]:
        """Record how long a listing says that its target is cold.

        It is called before the listing is on the board.
        """
        view = self._board.targets.get(listing.id)
        if view is not None and not listing.started_at:
            started_at = view.listing.started_at
            listing = dataclasses.replace(listing, started_at=started_at)
        view = self._board.find_incarnation(listing.agent)
        gap = view is None or view.remove_at is not None
        terms = self._find_terms(listing.agent)
        commands = self._cold_targets.record_listing(listing, terms, gap, now)
        self._keep_terms(listing.agent, terms)
        return commands

    def record_deployment(self, now: float) -> list[DirectCommand]:
        """Apply the cold starts of a new deployment to the listed targets."""
        return [
            command
            for view in self._board.targets.values()
            for command in self._cold_targets.update_state(
                view.listing.agent, view.terms, now
            )
        ]

    def record_store(self, lost: bool) -> None:
        """Record that the store has become unavailable or available."""
        self._cold_targets.record_store(lost)

    def readmit_domain(self, failure_domain: str, now: float) -> list[DirectCommand]:
        """Presume that the targets of a readmitted failure domain are cold."""
        return [
            command
            for view in self._board.targets.values()
            if view.listing.failure_domain == failure_domain
            for command in self._cold_targets.presume(view, now)
        ]

    def end_coldness(self, due: ColdEndDue, now: float) -> list[DirectCommand]:
        """Record that a target is no longer cold, if it is so."""
        return self._cold_targets.end_due(due, now)

    def record_cold_reports(
        self, reports: t.Iterable[ColdReport], now: float
    ) -> list[DirectCommand]:
        """Record the cold targets that a peer has reported."""
        commands: list[DirectCommand] = []
        for report in reports:
            terms = self._find_terms(report.target)
            commands += self._cold_targets.record_report(report, terms, now)
            self._keep_terms(report.target, terms)
        return commands

    def record_reports(
        self, reports: t.Iterable[RateLimitReport], now: float
    ) -> list[DirectCommand]:
        """Record limits that a peer has reported, if they are news."""
        commands: list[DirectCommand] = []
        for report in reports:
            agent = AgentId(report.target, report.incarnation)
            view = self._board.targets.get(report.target)
            if not report.incarnation and view is not None:
                agent = view.listing.agent
            terms = self._find_terms(agent)
            commands += self._apply(terms, report, now)
            self._keep_terms(agent, terms)
        return commands

    def record_notices(
        self, notices: t.Iterable[TargetNotice], now: float
    ) -> list[DirectCommand]:
        """Record what targets have told a peer."""
        commands: list[DirectCommand] = []
        for notice in notices:
            terms = self._find_terms(notice.target)
            latest = now + self._settings.max_backoff
            backoff_until = min(notice.backoff_until, latest)
            terms.peer_backoff_until = max(terms.peer_backoff_until, backoff_until)
            if notice.leaving:
                commands += self._exclude(notice.target, terms)
            self._keep_terms(notice.target, terms)
        return commands

    def reports(self, now: float) -> list[DirectCommand]:
        """Return the update that peers may not have received, if any."""
        self._cold_targets.observe(now)
        rate_limits = self._rate_limit_reports(now)
        cold_targets = self._cold_targets.reports(now)
        notices = tuple(
            _to_notice(view.listing.agent, view.terms)
            for view in self._board.targets.values()
            if view.terms.leaving_announced_here or now < view.terms.backoff_until
        )
        if not rate_limits and not notices and not cold_targets:
            return []
        return [
            UpdatePeers(
                rate_limits=rate_limits, notices=notices, cold_targets=cold_targets
            )
        ]

    def count(self, view: TargetView, now: float, own: bool) -> None:
        """Count a request that this entry or a peer has placed on a target."""
        if own:
            self._cold_targets.count_own(view, now)
        if self._is_limited(view, now):
            view.terms.rate_limit.balance = self._compute_balance(view, now) - 1
            view.terms.rate_limit.refilled_at = now

    def find_exclusion(
        self, view: TargetView, now: float, record: bool = True
    ) -> Exclusion | None:
        """Return why no request may be placed on a target now, if so.

        An explanation does not record the refill of the target's bucket.
        """
        if view.is_excluded(now):
            return Exclusion.BACKOFF if view.available else Exclusion.LEAVING
        if not self._is_limited(view, now):
            return None
        balance = self._compute_balance(view, now)
        if record:
            view.terms.rate_limit.balance = balance
            view.terms.rate_limit.refilled_at = now
        cold_rate = self._cold_targets.rate(view, now)
        if balance < 1:
            is_cold = self._rate(view, now) == cold_rate * self._board.responsive_share
            return Exclusion.COLD_RATE if is_cold else Exclusion.RATE_LIMIT
        if (
            cold_rate < math.inf
            and self._cold_targets.next_own_turn(view, cold_rate, now) > now
        ):
            return Exclusion.COLD_SHARE
        return None

    def time_to_turn(self, view: TargetView, now: float) -> float | None:
        """Return the seconds until an excluded target takes a request."""
        if not view.available:
            return None
        return self._next_turn(view, now) - now

    def withdrawal_cause(self, agent: AgentId, now: float) -> str | None:
        """Return why a placed request must not be sent now, if so."""
        if self.is_backing_off(agent, now):
            return "backoff"
        view = self._board.find_incarnation(agent)
        if (
            view is not None
            and self._cold_targets.resumed_just_before(now)
            and self._cold_targets.rate(view, now) < math.inf
        ):
            return "cold, after a pause"
        return None

    def observe(self, now: float) -> None:
        """Note that an event is handled, to detect pauses of the process."""
        self._cold_targets.observe(now)

    def is_backing_off(self, agent: AgentId, now: float) -> bool:
        """Return whether a target asked this entry to send nothing now."""
        return now < self._find_terms(agent).backoff_until

    def begins_backoff(self, agent: AgentId, now: float) -> bool:
        """Return whether a target asked for its backoff just now."""
        terms = self._find_terms(agent)
        return terms.backoff_began_at == now < terms.backoff_until

    def withhold_calls(
        self, commands: t.Iterable[DirectCommand], now: float
    ) -> list[DirectCommand]:
        """Return the commands without the orders and probes not allowed now.

        A release is never sent during a backoff: without renewals, the lease
        ends by itself.
        """
        return [command for command in commands if self._admits(command, now)]

    def _admits(self, command: DirectCommand, now: float) -> bool:
        match command:
            case ReserveMemory(agent=agent) | ReleaseMemory(agent=agent):
                terms = self._find_terms(agent)
            case ProbeTarget(target) if target in self._board.targets:
                terms = self._board.targets[target].terms
            case _:
                return True
        if now >= terms.backoff_until or now <= terms.backoff_began_at:
            return True
        if isinstance(command, ReleaseMemory):
            return False
        if terms.backoff_calls >= self._settings.max_backoff_calls:
            return False
        terms.backoff_calls += 1
        return True

    def retry_after(
        self,
        service: str,
        now: float,
        regions: frozenset[str] | None = None,
        record: bool = True,
    ) -> float | None:
        """Return the seconds until a refused caller should return.

        Callers are told different times, at the rate that such targets take;
        an explanation does not record that another caller was told one.
        Return None if the service has no target that excludes requests now.
        """
        views = [
            view
            for view in self._board.available_targets(service, regions)
            if self.find_exclusion(view, now, record) is not None
        ]
        if not views:
            return None
        first_return = min(self._next_turn(view, now) for view in views)
        next_return = self._next_returns.get(service, 0.0)
        last_return = first_return + self._settings.return_time
        if not first_return <= next_return <= last_return:
            next_return = first_return
        if record:
            interval = 1 / sum(self._return_rate(view, now) for view in views)
            interval *= max(len(self._board.peer_names), 1)
            self._next_returns[service] = next_return + interval
        return next_return - now

    def _apply(
        self, terms: TargetTerms, report: RateLimitReport, now: float
    ) -> list[DirectCommand]:
        limit = terms.rate_limit
        if limit is None:
            if report.rate == math.inf:
                return []
            terms.rate_limit = RateLimit(report.rate, report.named_at, refilled_at=now)
        elif report.named_at <= limit.named_at:
            return []
        elif report.rate == limit.rate:
            if report.rate < math.inf:
                limit.named_at = report.named_at
            return []
        elif limit.rate == math.inf:
            # A bucket that only a cold target needed goes on as it is.
            limit.balance = min(limit.balance, 1.0) if terms.cold else 1.0
            limit.refilled_at = now
            limit.rate = report.rate
            limit.named_at = report.named_at
        else:
            balance = self._compute_named_balance(limit, self._named_rate(limit), now)
            limit.rate = report.rate
            limit.named_at = report.named_at
            limit.balance = min(max(balance, -1.0), 1.0)
            limit.refilled_at = now
        detail = f"{report.rate:g} requests/s" if report.rate < math.inf else "none"
        return [LogChange("target limit changed", report.target, detail)]

    def _rate_limit_reports(self, now: float) -> tuple[RateLimitReport, ...]:
        """Return the limits, and the recent ends of limits."""
        return tuple(
            RateLimitReport(
                view.listing.id,
                limit.rate,
                limit.named_at,
                view.listing.agent.incarnation,
            )
            for view in self._board.targets.values()
            if (limit := view.terms.rate_limit) is not None
            and (
                limit.rate < math.inf
                or now < limit.named_at + self._settings.ended_report_time
            )
        )

    def _record_notice(
        self, agent: AgentId, terms: TargetTerms, answer: TargetAnswer, now: float
    ) -> list[DirectCommand]:
        commands: list[DirectCommand] = []
        if answer.retry_after:
            delay = min(answer.retry_after, self._settings.max_backoff)
            if now >= terms.backoff_until:
                terms.backoff_began_at = now
                terms.backoff_calls = 0
            terms.backoff_until = max(terms.backoff_until, now + delay)
            detail = f"for {delay:g} s"
            commands.append(LogChange("target backoff begun", agent.target, detail))
        if answer.leaving:
            terms.leaving_announced_here = True
            commands += self._exclude(agent, terms)
        if commands:
            commands.append(UpdatePeers(notices=(_to_notice(agent, terms),)))
        return commands

    def _exclude(self, agent: AgentId, terms: TargetTerms) -> list[DirectCommand]:
        """Exclude a target that leaves."""
        if terms.leaving_announced:
            return []
        terms.leaving_announced = True
        self._board.targets_version += 1
        return [LogChange("target changed", agent.target, "says that it leaves")]

    def _find_terms(self, agent: AgentId) -> TargetTerms:
        view = self._board.find_incarnation(agent)
        return view.terms if view else self._board.unlisted_terms.find(agent)

    def _keep_terms(self, agent: AgentId, terms: TargetTerms) -> None:
        """Keep the terms of an incarnation that is not listed."""
        if self._board.find_incarnation(agent) is None:
            self._board.unlisted_terms.keep(agent, terms)

    def _next_turn(self, view: TargetView, now: float) -> float:
        """Return when a target takes a request again."""
        if not self._is_limited(view, now):
            return view.terms.backoff_until
        # The bucket is not refilled during a backoff.
        if view.is_excluded(now):
            balance = view.terms.rate_limit.balance
        else:
            balance = self._compute_balance(view, now)
        turn = now + max(1 - balance, 0.0) / self._rate(view, now)
        cold_rate = self._cold_targets.rate(view, now)
        if cold_rate < math.inf:
            turn = max(turn, self._cold_targets.next_own_turn(view, cold_rate, now))
            if not view.terms.names_rate_limit:
                turn = min(turn, self._cold_targets.end(view))
        return max(turn, view.terms.backoff_until)

    def _return_rate(self, view: TargetView, now: float) -> float:
        if not self._is_limited(view, now):
            return self._settings.return_rate
        return self._rate(view, now)

    def _is_limited(self, view: TargetView, now: float) -> bool:
        """Return whether a target takes requests at a limited rate."""
        return (
            view.terms.names_rate_limit or self._cold_targets.rate(view, now) < math.inf
        )

    def _rate(self, view: TargetView, now: float) -> float:
        """Return the part of a limited target's rate that this entry uses."""
        rate = self._cold_targets.rate(view, now) * self._board.responsive_share
        if view.terms.names_rate_limit:
            rate = min(rate, self._named_rate(view.terms.rate_limit))
        return rate

    def _named_rate(self, limit: RateLimit) -> float:
        rate = max(limit.rate, self._settings.min_rate)
        return rate * self._board.responsive_share

    def _compute_balance(self, view: TargetView, now: float) -> float:
        """Return the requests that a limited target's bucket holds now."""
        rate = self._rate(view, now)
        limit = view.terms.rate_limit
        if self._cold_targets.rate(view, now) < math.inf:
            return self._cold_targets.compute_balance(limit, rate, now)
        return self._compute_named_balance(limit, rate, now)

    def _compute_named_balance(
        self, limit: RateLimit, rate: float, now: float
    ) -> float:
        size = 1 + rate * self._settings.burst_time
        elapsed = max(now - limit.refilled_at, 0.0)
        return min(limit.balance + elapsed * rate, size)


def _to_notice(agent: AgentId, terms: TargetTerms) -> TargetNotice:
    return TargetNotice(agent, terms.backoff_until, terms.leaving_announced_here)
