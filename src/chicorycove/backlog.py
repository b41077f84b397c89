"""The agent's queue of attempts: priorities with ageing, deadlines, bounds."""

import bisect
import dataclasses
import typing as t

from .event import AttemptOffer
from .identity import AttemptId
from .ledger import Ledger
from .reason import Reason


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BacklogSettings:
    """Bounds of a queue; times are in seconds, rates in tokens per second."""

    limit: int = 1000  # offers
    ageing_step: float = 5.0  # seconds of waiting worth one step of priority
    backfill_time: float = 1.0  # how long smaller offers may pass a blocked head
    prefill_rate: float = 0.0  # initial estimate; 0 if unknown
    rate_weight: float = 0.2  # weight of a new sample in the moving average
    deadline_share: float = 0.8  # share of the time left that an estimate may fill


@dataclasses.dataclass(slots=True)
class _QueuedOffer:
    """One queued offer."""

    offer: AttemptOffer
    key: tuple[float, int, AttemptId]
    blocked_since: float | None = None


class Backlog:
    """Orders offers by priority; a step of priority is worth a fixed wait.

    An offer of priority p is overtaken only by offers of priority q that
    arrive within ``ageing_step * (p - q)`` seconds after it, which bounds
    its wait whatever arrives later.
    """

    def __init__(self, settings: BacklogSettings | None = None) -> None:
        self._settings = settings or BacklogSettings()
        self._queued: dict[AttemptId, _QueuedOffer] = {}
        self._keys: list[tuple[float, int, AttemptId]] = []
        self._sequence = 0
        self._prefill_tokens = 0
        self._prefill_rate = self._settings.prefill_rate

    def __len__(self) -> int:
        return len(self._queued)

    def __contains__(self, attempt: AttemptId) -> bool:
        return attempt in self._queued

    @property
    def offers(self) -> t.Iterator[AttemptOffer]:
        """Return the queued offers, in no particular order."""
        return (queued.offer for queued in self._queued.values())

    @property
    def prefill(self) -> int:
        """Return the prompt tokens of the queued offers."""
        return self._prefill_tokens

    def enqueue(
        self, offer: AttemptOffer, now: float, prefilling_tokens: int = 0
    ) -> Reason | None:
        """Queue an offer, or return the reason for refusing it.

        :param prefilling_tokens: prompt tokens that the engine still computes
        """
        if offer.deadline <= now:
            return Reason.DEADLINE_PAST
        if len(self._queued) >= self._settings.limit:
            return Reason.QUEUE_FULL
        if not self._is_feasible(offer, now, prefilling_tokens):
            return Reason.DEADLINE_INFEASIBLE
        self._insert(offer, now)
        return None

    def requeue(self, offer: AttemptOffer, queued_at: float) -> None:
        """Queue a preempted offer again, ordered by its original arrival."""
        self._insert(offer, queued_at)

    def dequeue(self, now: float, ledger: Ledger) -> AttemptOffer | None:
        """Remove and return the first offer whose memory can be reserved.

        Smaller offers pass a head that does not fit, but only for a bounded
        time: after that, memory that becomes free is kept for the head.
        """
        for _, _, attempt in self._keys:
            queued = self._queued[attempt]
            offer = queued.offer
            if offer.deadline <= now:
                continue
            if ledger.reserve(
                attempt,
                offer.owner,
                offer.memory,
                now,
                priority=offer.priority,
                preemptible=not offer.grouped,
            ):
                self.remove(attempt)
                return offer
            if self._is_backfill_over(queued, now):
                return None
        return None

    def remove(self, attempt: AttemptId) -> AttemptOffer | None:
        """Remove an offer and return it, or None if it was not queued."""
        queued = self._queued.pop(attempt, None)
        if queued is None:
            return None
        del self._keys[bisect.bisect_left(self._keys, queued.key)]
        self._prefill_tokens -= queued.offer.prefill
        return queued.offer

    def remove_expired(self, now: float) -> list[AttemptOffer]:
        """Remove and return the offers whose deadline has passed."""
        expired = [
            queued.offer
            for queued in self._queued.values()
            if queued.offer.deadline <= now
        ]
        for offer in expired:
            self.remove(offer.attempt)
        return expired

    def remove_lapsed(self, now: float, ledger: Ledger) -> list[AttemptOffer]:
        """Remove and return the offers whose owner's lease has expired."""
        lapsed = [
            queued.offer
            for queued in self._queued.values()
            if not ledger.has_lease(queued.offer.owner, now)
        ]
        for offer in lapsed:
            self.remove(offer.attempt)
        return lapsed

    def record_prefill(self, tokens: int, seconds: float) -> None:
        """Update the estimated prefill rate with a measured prefill."""
        if tokens <= 0 or seconds <= 0:
            return
        rate = tokens / seconds
        if not self._prefill_rate:
            self._prefill_rate = rate
        self._prefill_rate += self._settings.rate_weight * (rate - self._prefill_rate)

    def estimate_wait(
        self, priority: int, now: float, prefilling_tokens: int = 0
    ) -> float:
        """Return the expected wait of an offer queued now, in seconds."""
        if not self._prefill_rate:
            return 0.0
        return (
            prefilling_tokens + self._tokens_ahead(priority, now)
        ) / self._prefill_rate

    def retry_after(self, now: float, prefilling_tokens: int = 0) -> float:
        """Return the expected seconds until half of the queue is computed."""
        if not self._prefill_rate:
            return 1.0
        return max(
            1.0, (prefilling_tokens + self._prefill_tokens) / self._prefill_rate / 2
        )

    def _insert(self, offer: AttemptOffer, queued_at: float) -> None:
        self._sequence += 1
        key = (self._rank(offer.priority, queued_at), self._sequence, offer.attempt)
        self._queued[offer.attempt] = _QueuedOffer(offer, key)
        bisect.insort(self._keys, key)
        self._prefill_tokens += offer.prefill

    def _rank(self, priority: int, queued_at: float) -> float:
        return priority * self._settings.ageing_step + queued_at

    def _tokens_ahead(self, priority: int, now: float) -> int:
        rank = self._rank(priority, now)
        return sum(
            queued.offer.prefill
            for queued in self._queued.values()
            if queued.key[0] <= rank
        )

    def _is_feasible(
        self, offer: AttemptOffer, now: float, prefilling_tokens: int
    ) -> bool:
        if not self._prefill_rate:
            return True
        prefill_time = offer.prefill / self._prefill_rate
        time_left = (offer.deadline - now) * self._settings.deadline_share
        return (
            self.estimate_wait(offer.priority, now, prefilling_tokens) + prefill_time
            <= time_left
        )

    def _is_backfill_over(self, queued: _QueuedOffer, now: float) -> bool:
        if queued.blocked_since is None:
            queued.blocked_since = now
        return now >= queued.blocked_since + self._settings.backfill_time
