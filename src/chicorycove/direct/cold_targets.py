"""Decides which targets are cold, and how many requests they may get.

A target that has just started takes few requests and crashes at a higher rate.
The limit holds for the sum over all entries, whether or not they hear one
another.
"""

import dataclasses
import math
import zlib

from ..identity import AgentId
from .board import DirectBoard, TargetListing, TargetView
from .command import DirectCommand, RecordTargetState, TargetState, UpdatePeers
from .event import ColdReport
from .route import Service
from .target_terms import RateLimit, TargetTerms


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ColdTargetSettings:
    """How entries share what cold targets take; times are in seconds."""

    # Time whose requests may be sent at once.  With a second's requests, they
    # stay below 1.5 times the rate, with room for placements that cross.
    burst_time: float = 0.25
    max_cold_time: float = 300.0  # a longer time that is named counts as this
    # Time for which an entry's own placements count: a second, and the
    # longest time to connect, by which requests may arrive together.
    placement_window: float = 1.3
    # Requests in a window that all entries may place without hearing one
    # another: a multiple of the rate, and some more.  The rest of 1.5 times
    # the rate and 5 is for entries whose list of the others is out of date.
    shared_factor: float = 1.1
    shared_slack: float = 2.0
    # Entries that an entry assumes while it cannot know their number.
    assumed_entry_count: int = 48
    # Time after a start or a pause during which the list of entries may be
    # out of date.
    settle_time: float = 2.0
    pause_time: float = 1.0  # a longer time without any event counts as a pause


@dataclasses.dataclass(frozen=True, slots=True)
class ColdEndDue:
    """The timer for the end of a target's coldness."""

    target: AgentId


class ColdTargets:
    """Knows which targets are cold, and this entry's share of each.

    An entry's share is what it may place on a cold target within a window,
    whatever it hears of the others.  It depends on the listed entries only, so
    that all shares together stay within the target's limit.
    """

    def __init__(
        self, board: DirectBoard, settings: ColdTargetSettings, entry_name: str
    ) -> None:
        self._board = board
        self._settings = settings
        self._entry_name = entry_name
        self._last_event_at: float | None = None
        self._resumed_at = -math.inf
        self._settled_at = -math.inf
        self._store_lost = False
        # Entries by which a target's share was computed, and the share.
        self._shares: dict[tuple[str, float], tuple[frozenset[str], int, int]] = {}

    def observe(self, now: float) -> None:
        """Note that an event is handled, to detect pauses of the process."""
        if not self._board.entry_names_complete:
            self._settled_at = now + self._settings.settle_time
        if self._has_paused(now):
            self._resumed_at = now
            self._settled_at = now + self._settings.settle_time
        self._last_event_at = now

    def record_store(self, lost: bool) -> None:
        """Record that the store has become unavailable or available."""
        self._store_lost = lost

    def record_listing(
        self, listing: TargetListing, terms: TargetTerms, gap: bool, now: float
    ) -> list[DirectCommand]:
        """Record what a listing says, or presume a target to be cold.

        A listing was written some seconds ago: it never shortens a cold time.
        With a ``gap``, the target was not listed just before.
        """
        service = self._board.find_service(listing.service)
        if service is not None and service.cold_rate <= 0:
            return []
        if listing.cold_time_left is not None:
            self._extend(terms, now + listing.cold_time_left, now)
        elif gap:
            terms.presumed_cold_at = now
        return self._update_state(listing.agent, service, terms, now)

    def record_answer(
        self, agent: AgentId, terms: TargetTerms, time_left: float, now: float
    ) -> list[DirectCommand]:
        """Record a cold time that an answer names, and report news of it."""
        was_cold = terms.cold
        self._extend(terms, now + time_left, now)
        terms.cold_announced_until = terms.cold_until
        commands = self.update_state(agent, terms, now)
        if terms.cold and not was_cold:
            report = ColdReport(agent, terms.cold_until)
            commands.append(UpdatePeers(cold_targets=(report,)))
        return commands

    def record_report(
        self, report: ColdReport, terms: TargetTerms, now: float
    ) -> list[DirectCommand]:
        """Record what an answer has told a peer."""
        self._extend(terms, report.cold_until, now)
        return self.update_state(report.target, terms, now)

    def presume(self, view: TargetView, now: float) -> list[DirectCommand]:
        """Presume that a target is cold."""
        view.terms.presumed_cold_at = now
        return self.update_state(view.listing.agent, view.terms, now)

    def reports(self, now: float) -> tuple[ColdReport, ...]:
        """Return what answers to this entry have said, while it holds."""
        return tuple(
            ColdReport(view.listing.agent, view.terms.cold_announced_until)
            for view in self._board.targets.values()
            if now < view.terms.cold_announced_until
        )

    def update_state(
        self, agent: AgentId, terms: TargetTerms, now: float
    ) -> list[DirectCommand]:
        """Update whether a listed target is cold, and record a change."""
        view = self._board.find_incarnation(agent)
        if view is None:
            return []  # it is updated when the target is listed
        service = self._board.find_service(view.listing.service)
        return self._update_state(agent, service, terms, now)

    def rate(self, view: TargetView, now: float) -> float:
        """Return the rate of a cold target, infinity for one that is not."""
        if not view.terms.cold:
            return math.inf
        service = self._board.find_service(view.listing.service)
        if service is None or now >= _cold_end(service, view.terms):
            return math.inf
        return service.cold_rate

    def end(self, view: TargetView) -> float:
        """Return the time at which a target is no longer cold."""
        service = self._board.find_service(view.listing.service)
        return _cold_end(service, view.terms) if service else -math.inf

    def count_own(self, view: TargetView, now: float) -> None:
        """Count a request of this entry, also to a target that is not cold.

        The target may have become cold already.
        """
        service = self._board.find_service(view.listing.service)
        if service is not None and service.cold_rate > 0:
            placements = view.terms.own_placements
            placements.append(now)
            while placements[0] <= now - self._settings.placement_window:
                placements.popleft()

    def next_own_turn(self, view: TargetView, rate: float, now: float) -> float:
        """Return when this entry's share allows a request to a cold target."""
        share = self._share(view.listing.id, rate, now)
        placements = view.terms.own_placements
        if share <= 0:
            return math.inf
        if len(placements) < share:
            return now
        return max(placements[-share] + self._settings.placement_window, now)

    def compute_balance(self, limit: RateLimit, rate: float, now: float) -> float:
        """Return the balance of a cold target; rate in requests per second.

        It is empty after a pause: what peers placed meanwhile is not known.
        """
        balance, refilled_at = limit.balance, limit.refilled_at
        resumed_at = now if self._has_paused(now) else self._resumed_at
        if refilled_at < resumed_at:
            balance = min(balance, 0.0)
            refilled_at = resumed_at
        size = max(1.0, rate * self._settings.burst_time)
        elapsed = max(now - refilled_at, 0.0)
        return min(balance + elapsed * rate, size)

    def resumed_just_before(self, now: float) -> bool:
        """Return whether what was placed before a pause may arrive now."""
        settings = self._settings
        return now < self._resumed_at + settings.placement_window - 1.0

    def _has_paused(self, now: float) -> bool:
        """Return whether the process paused until just now.

        An event that is handled ends the pause; an explanation does not.
        """
        last_event_at = self._last_event_at
        return (
            last_event_at is not None
            and now > last_event_at + self._settings.pause_time
        )

    def _extend(self, terms: TargetTerms, cold_until: float, now: float) -> None:
        latest = now + self._settings.max_cold_time
        terms.cold_until = max(terms.cold_until, min(cold_until, latest))

    def _update_state(
        self, agent: AgentId, service: Service | None, terms: TargetTerms, now: float
    ) -> list[DirectCommand]:
        if service is None:
            return []  # it is updated with the next deployment
        end = _cold_end(service, terms)
        cold = service.cold_rate > 0 and now < end
        if cold == terms.cold:
            return []
        terms.cold = cold
        if not cold:
            return [RecordTargetState(agent.target, TargetState.WARM)]
        if terms.rate_limit is None:
            terms.rate_limit = RateLimit(math.inf, -math.inf)
        # How many requests peers have placed just before is not known.
        terms.rate_limit.balance = min(terms.rate_limit.balance, 0.0)
        terms.rate_limit.refilled_at = now
        self._board.timers.add(end, ColdEndDue(agent))
        detail = f"for {end - now:.3g} s, {service.cold_rate:g} requests/s"
        return [RecordTargetState(agent.target, TargetState.COLD, detail)]

    def end_due(self, due: ColdEndDue, now: float) -> list[DirectCommand]:
        """Record that a target is no longer cold, or check again later."""
        view = self._board.find_incarnation(due.target)
        if view is None or not view.terms.cold:
            return []
        end = self.end(view)
        if now < end:
            self._board.timers.add(end, due)
            return []
        return self.update_state(due.target, view.terms, now)

    def _share(self, target: str, rate: float, now: float) -> int:
        """Return the requests in a window that this entry may place.

        The first entries in an order that differs by target get one more than
        the others.
        """
        names = self._board.entry_names
        key = (target, rate)
        cached = self._shares.get(key)
        if cached is None or cached[0] is not names:
            cached = (names, *self._compute_shares(target, rate, names))
            self._shares[key] = cached
        return cached[1] if self._knows_entries(now) else cached[2]

    def _compute_shares(
        self, target: str, rate: float, names: frozenset[str]
    ) -> tuple[int, int]:
        """Return the shares if the listed entries are all, and if not."""
        settings = self._settings
        total = max(int(rate * settings.shared_factor + settings.shared_slack), 1)
        own_position = _position(target, self._entry_name)
        rank = sum(_position(target, name) < own_position for name in names)
        count = len(names | {self._entry_name})
        assumed_count = max(count, settings.assumed_entry_count)
        assumed_rank = int(own_position * assumed_count)
        return (
            _divide(total, count, rank),
            min(_divide(total, assumed_count, assumed_rank), 1),
        )

    def _knows_entries(self, now: float) -> bool:
        """Return whether the listed entries are those that other entries list.

        An entry without the store may be unlisted for the others, unless it
        hears most of them.
        """
        if not self._board.entry_names_complete or now < self._settled_at:
            return False
        if self._has_paused(now):
            return False
        return not self._store_lost or self._board.responsive_share > 0.5


def _cold_end(service: Service, terms: TargetTerms) -> float:
    return max(terms.cold_until, terms.presumed_cold_at + service.cold_duration)


def _divide(total: int, count: int, rank: int) -> int:
    """Return the part of a total for one of a number of entries."""
    return total // count + (rank < total % count)


def _position(target: str, name: str) -> float:
    """Return the position of an entry in a target's order, in [0, 1)."""
    return zlib.crc32(f"{name} {target}".encode()) / 2**32
