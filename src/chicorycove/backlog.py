"""The agent's queue: priority with ageing, deadlines and bounds."""

import bisect
import dataclasses
import typing as t

from .event import AttemptOffer
from .identity import AttemptId
from .ledger import Ledger
from .reason import Reason


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BacklogSettings:
    """Bounds of a queue; times are in seconds, rates in tokens a second."""

    limit: int = 1000
    ageing_step: float = 5.0  # a wait that is worth one step of priority
    backfill_time: float = 1.0  # how long smaller work may pass a blocked head
    prefill_rate: float = 0.0  # 0 while none has been seen
    rate_weight: float = 0.2  # of a new observation
    safety: float = 0.8  # share of the deadline that the estimate may fill


@dataclasses.dataclass(slots=True)
class _Waiting:
    """One queued offer."""

    offer: AttemptOffer
    key: tuple[float, int, AttemptId]
    blocked_since: float | None = None


class Backlog:
    """Orders offers by priority, each step of which is worth a fixed wait.

    An offer of priority p is passed only by offers that arrive within
    ``ageing_step * (p - q)`` seconds after it, q being their priority; so its
    wait ends, whatever arrives later.
    """

    def __init__(self, settings: BacklogSettings | None = None) -> None:
        self._settings = settings or BacklogSettings()
        self._waiting: dict[AttemptId, _Waiting] = {}
        self._order: list[tuple[float, int, AttemptId]] = []
        self._count = 0
        self._prefill = 0
        self._rate = self._settings.prefill_rate

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, attempt: AttemptId) -> bool:
        return attempt in self._waiting

    @property
    def offers(self) -> t.Iterator[AttemptOffer]:
        """Return what waits, in no order."""
        return (waiting.offer for waiting in self._waiting.values())

    @property
    def prefill(self) -> int:
        """Return the tokens of prompt that wait."""
        return self._prefill

    def enqueue(
        self, offer: AttemptOffer, now: float, running: int = 0
    ) -> Reason | None:
        """Queue an offer, or say why not.

        :param running: tokens of prompt that the engine has yet to compute
        """
        if offer.deadline <= now:
            return Reason.DEADLINE_PAST
        if len(self._waiting) >= self._settings.limit:
            return Reason.QUEUE_FULL
        if not self._feasible(offer, now, running):
            return Reason.DEADLINE_INFEASIBLE
        self._put(offer, now)
        return None

    def requeue(self, offer: AttemptOffer, since: float) -> None:
        """Put a preempted offer back at the place that its age gives it."""
        self._put(offer, since)

    def dequeue(self, now: float, ledger: Ledger) -> AttemptOffer | None:
        """Take the first offer whose memory fits, and reserve it.

        Smaller offers pass a head that does not fit for a bounded time only;
        from then on memory that comes free is kept for the head.
        """
        for _, _, attempt in self._order:
            waiting = self._waiting[attempt]
            offer = waiting.offer
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
            if self._out_of_patience(waiting, now):
                return None
        return None

    def remove(self, attempt: AttemptId) -> AttemptOffer | None:
        """Drop an offer and return it, if it was queued."""
        waiting = self._waiting.pop(attempt, None)
        if waiting is None:
            return None
        del self._order[bisect.bisect_left(self._order, waiting.key)]
        self._prefill -= waiting.offer.prefill
        return waiting.offer

    def remove_expired(self, now: float) -> list[AttemptOffer]:
        """Drop and return the offers whose deadline has passed."""
        late = [w.offer for w in self._waiting.values() if w.offer.deadline <= now]
        for offer in late:
            self.remove(offer.attempt)
        return late

    def remove_lapsed(self, now: float, ledger: Ledger) -> list[AttemptOffer]:
        """Drop and return the offers whose owner's lease has run out."""
        lost = [
            waiting.offer
            for waiting in self._waiting.values()
            if not ledger.has_lease(waiting.offer.owner, now)
        ]
        for offer in lost:
            self.remove(offer.attempt)
        return lost

    def observe(self, tokens: int, seconds: float) -> None:
        """Learn the engine's rate from prompt tokens computed in a time."""
        if tokens <= 0 or seconds <= 0:
            return
        rate = tokens / seconds
        if not self._rate:
            self._rate = rate
        self._rate += self._settings.rate_weight * (rate - self._rate)

    def wait(self, priority: int, now: float, running: int = 0) -> float:
        """Estimate the wait of an offer that came now, in seconds."""
        if not self._rate:
            return 0.0
        return (running + self._ahead(priority, now)) / self._rate

    def retry_after(self, now: float, running: int = 0) -> float:
        """Estimate when half of what waits will be done, in seconds."""
        if not self._rate:
            return 1.0
        return max(1.0, (running + self._prefill) / self._rate / 2)

    def _put(self, offer: AttemptOffer, since: float) -> None:
        self._count += 1
        key = (self._rank(offer.priority, since), self._count, offer.attempt)
        self._waiting[offer.attempt] = _Waiting(offer, key)
        bisect.insort(self._order, key)
        self._prefill += offer.prefill

    def _rank(self, priority: int, since: float) -> float:
        return priority * self._settings.ageing_step + since

    def _ahead(self, priority: int, now: float) -> int:
        rank = self._rank(priority, now)
        return sum(
            waiting.offer.prefill
            for waiting in self._waiting.values()
            if waiting.key[0] <= rank
        )

    def _feasible(self, offer: AttemptOffer, now: float, running: int) -> bool:
        if not self._rate:
            return True
        own = offer.prefill / self._rate
        left = (offer.deadline - now) * self._settings.safety
        return self.wait(offer.priority, now, running) + own <= left

    def _out_of_patience(self, waiting: _Waiting, now: float) -> bool:
        if waiting.blocked_since is None:
            waiting.blocked_since = now
        return now >= waiting.blocked_since + self._settings.backfill_time
