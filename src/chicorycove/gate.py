"""Tracks the attempts offered to a target; each starts at most once."""

import dataclasses
import enum
import heapq

from .event import AttemptOffer, SealOutcome, SealRequested
from .identity import AgentId, AttemptId
from .reason import Reason


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GateSettings:
    """How long a gate keeps its records; times are in seconds."""

    clock_skew: float = 5.0  # maximum between the clocks of any two hosts
    seal_window: float = 600.0  # time after the deadline in which seals are answered


class _State(enum.Enum):
    QUEUED = enum.auto()
    STARTED = enum.auto()
    ENDED = enum.auto()
    CLOSED = enum.auto()  # sealed, refused or cancelled: it never starts

    @property
    def is_active(self) -> bool:
        return self in (_State.QUEUED, _State.STARTED)


@dataclasses.dataclass(slots=True)
class _Record:
    deadline: float
    keep_until: float
    state: _State
    reason: Reason = Reason.ATTEMPT_DUPLICATE  # why a repeated offer is refused


class Gate:
    """Decides which attempts may start at a target, each at most once.

    A record is kept until its attempt's deadline has passed on every host's
    clock, and longer for an attempt that is not idempotent, since it may be
    sealed. An offer that arrives after that has expired, and a seal is
    answered as unknown, so that a record can be removed safely.
    """

    def __init__(self, agent: AgentId, settings: GateSettings = GateSettings()) -> None:
        self._agent = agent
        self._settings = settings
        self._records: dict[AttemptId, _Record] = {}
        self._prune_queue: list[tuple[float, int, AttemptId]] = []
        self._sequence = 0
        self._active_count = 0
        self._leaving = False

    @property
    def busy(self) -> bool:
        """Return whether any attempt is queued or runs."""
        return self._active_count > 0

    @property
    def leaving(self) -> bool:
        """Return whether new attempts are refused."""
        return self._leaving

    def __len__(self) -> int:
        return len(self._records)

    def admit(self, offer: AttemptOffer, now: float) -> Reason | None:
        """Return why an attempt is refused, or None if it may be queued.

        Every reason but ``ATTEMPT_DUPLICATE`` proves that the attempt has
        not run and never will. A duplicate must be dropped without an answer:
        its attempt was or will be answered, or its record was removed.
        """
        record = self._records.get(offer.attempt)
        if record is not None:
            return record.reason
        if offer.incarnation != self._agent.incarnation:
            return Reason.STALE_INCARNATION
        if now >= offer.deadline + self._retention(offer):
            return Reason.ATTEMPT_DUPLICATE  # a record may have been pruned
        if now >= offer.deadline:
            return Reason.ATTEMPT_EXPIRED
        if self._leaving:
            self.refuse(offer, Reason.TARGET_LEAVING)
            return Reason.TARGET_LEAVING
        self._record_offer(offer, _State.QUEUED)
        self._active_count += 1
        return None

    def refuse(self, offer: AttemptOffer, reason: Reason) -> None:
        """Record that an attempt is refused, whether it was queued or not."""
        record = self._records.get(offer.attempt)
        if record is None:
            record = self._record_offer(offer, _State.CLOSED)
            record.reason = reason
        elif record.state is _State.QUEUED:
            self._close(record, reason)

    def start(self, attempt: AttemptId, now: float) -> bool:
        """Start a queued attempt; return False if it may not start."""
        record = self._records.get(attempt)
        if record is None or record.state is not _State.QUEUED:
            return False
        if now >= record.deadline:
            self._close(record, Reason.ATTEMPT_EXPIRED)
            return False
        record.state = _State.STARTED
        return True

    def seal(self, event: SealRequested, now: float) -> SealOutcome:
        """Close an attempt that has not started; return its state."""
        if event.incarnation != self._agent.incarnation:
            return SealOutcome.UNKNOWN
        record = self._records.get(event.attempt)
        if record is None:
            return self._seal_unknown(event, now)
        match record.state:
            case _State.STARTED | _State.ENDED:
                return SealOutcome.STARTED
            case _State.QUEUED:
                self._close(record, Reason.ATTEMPT_SEALED)
        return SealOutcome.NOT_STARTED

    def cancel(self, attempt: AttemptId, now: float) -> bool:
        """Close a queued attempt; return whether it certainly never runs."""
        record = self._records.get(attempt)
        if record is None:
            return False
        if record.state is _State.QUEUED:
            self._close(record, Reason.CALLER_GONE)
            self._remove_if_due(attempt, record, now)
        return record.state is _State.CLOSED

    def end(self, attempt: AttemptId, now: float) -> None:
        """Record that a started attempt no longer runs at the target."""
        record = self._records.get(attempt)
        if record is None or record.state is not _State.STARTED:
            return
        record.state = _State.ENDED
        self._active_count -= 1
        self._remove_if_due(attempt, record, now)

    def drain(self) -> None:
        """Refuse new attempts from now on."""
        self._leaving = True

    def readmit(self) -> None:
        """Accept new attempts again."""
        self._leaving = False

    def prune(self, now: float) -> None:
        """Remove the records that are due, except of active attempts."""
        while self._prune_queue and self._prune_queue[0][0] <= now:
            attempt = heapq.heappop(self._prune_queue)[2]
            record = self._records.get(attempt)
            if record is not None and not record.state.is_active:
                del self._records[attempt]

    def _seal_unknown(self, event: SealRequested, now: float) -> SealOutcome:
        keep_until = event.deadline + self._settings.seal_window
        if keep_until <= now:
            return SealOutcome.UNKNOWN  # a record may have been pruned
        sealed = _Record(event.deadline, keep_until, _State.CLOSED)
        sealed.reason = Reason.ATTEMPT_SEALED
        self._insert(event.attempt, sealed)
        return SealOutcome.NOT_STARTED

    def _record_offer(self, offer: AttemptOffer, state: _State) -> _Record:
        keep_until = offer.deadline + self._retention(offer)
        record = _Record(offer.deadline, keep_until, state)
        self._insert(offer.attempt, record)
        return record

    def _retention(self, offer: AttemptOffer) -> float:
        if offer.idempotent:
            return self._settings.clock_skew
        return self._settings.seal_window

    def _insert(self, attempt: AttemptId, record: _Record) -> None:
        self._records[attempt] = record
        self._sequence += 1
        heapq.heappush(self._prune_queue, (record.keep_until, self._sequence, attempt))

    def _close(self, record: _Record, reason: Reason) -> None:
        record.state = _State.CLOSED
        record.reason = reason
        self._active_count -= 1

    def _remove_if_due(self, attempt: AttemptId, record: _Record, now: float) -> None:
        if record.keep_until <= now:
            self._records.pop(attempt, None)
