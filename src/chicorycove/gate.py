"""The gate of a target: what its agent knows of each attempt."""

import dataclasses
import enum
import heapq

from .event import AttemptOffer, SealOutcome, SealRequested
from .identity import AgentId, AttemptId
from .reason import Reason


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GateSettings:
    """How long a gate remembers attempts; times are in seconds."""

    clock_skew: float = 5.0  # between the clocks of any two hosts
    seal_window: float = 600.0  # after the deadline; seals are answered in it


class _State(enum.Enum):
    QUEUED = enum.auto()
    STARTED = enum.auto()
    ENDED = enum.auto()
    CLOSED = enum.auto()  # sealed or refused: it never starts

    @property
    def active(self) -> bool:
        return self in (_State.QUEUED, _State.STARTED)


@dataclasses.dataclass(slots=True)
class _Record:
    deadline: float
    keep_until: float
    state: _State
    reason: Reason = Reason.ATTEMPT_DUPLICATE  # for offers that come after


class Gate:
    """Decides which attempts may start at a target, each once at most.

    A record is kept until its attempt's deadline has passed on every clock,
    and longer for an attempt that may be sealed, one that is not idempotent.
    An offer that comes later has expired, and a seal that comes later is
    answered as unknown, so that forgetting is safe.
    """

    def __init__(self, agent: AgentId, settings: GateSettings = GateSettings()) -> None:
        self._agent = agent
        self._settings = settings
        self._records: dict[AttemptId, _Record] = {}
        self._due: list[tuple[float, int, AttemptId]] = []
        self._count = 0
        self._active = 0
        self._leaving = False

    @property
    def busy(self) -> bool:
        """Tell whether any attempt waits or runs."""
        return self._active > 0

    @property
    def leaving(self) -> bool:
        """Tell whether new attempts are turned away."""
        return self._leaving

    def __len__(self) -> int:
        return len(self._records)

    def admit(self, offer: AttemptOffer, now: float) -> Reason | None:
        """Return why an attempt is turned away, or None if it may be queued.

        Every reason but ``ATTEMPT_DUPLICATE`` proves that the attempt has
        not run and never will.  A duplicate is to be dropped unanswered: its
        attempt has been answered, will be, or has been forgotten.
        """
        record = self._records.get(offer.attempt)
        if record is not None:
            return record.reason
        if offer.incarnation != self._agent.incarnation:
            return Reason.STALE_INCARNATION
        if now >= offer.deadline + self._keep_for(offer):
            return Reason.ATTEMPT_DUPLICATE  # a record may have been pruned
        if now >= offer.deadline:
            return Reason.ATTEMPT_EXPIRED
        if self._leaving:
            self.refuse(offer, Reason.TARGET_LEAVING)
            return Reason.TARGET_LEAVING
        self._keep(offer, _State.QUEUED)
        self._active += 1
        return None

    def refuse(self, offer: AttemptOffer, reason: Reason) -> None:
        """Record that an attempt is turned away, queued or not."""
        record = self._records.get(offer.attempt)
        if record is None:
            record = self._keep(offer, _State.CLOSED)
            record.reason = reason
        elif record.state is _State.QUEUED:
            self._close(record, reason)

    def start(self, attempt: AttemptId, now: float) -> bool:
        """Count a queued attempt as started, unless it may not start."""
        record = self._records.get(attempt)
        if record is None or record.state is not _State.QUEUED:
            return False
        if now >= record.deadline:
            self._close(record, Reason.ATTEMPT_EXPIRED)
            return False
        record.state = _State.STARTED
        return True

    def seal(self, asked: SealRequested, now: float) -> SealOutcome:
        """Close an attempt that has not started, and tell what is known."""
        if asked.incarnation != self._agent.incarnation:
            return SealOutcome.UNKNOWN
        record = self._records.get(asked.attempt)
        if record is None:
            return self._seal_unseen(asked, now)
        match record.state:
            case _State.STARTED | _State.ENDED:
                return SealOutcome.STARTED
            case _State.QUEUED:
                self._close(record, Reason.ATTEMPT_SEALED)
        return SealOutcome.NOT_STARTED

    def cancel(self, attempt: AttemptId, now: float) -> bool:
        """Close a queued attempt; tell whether it is certain never to run."""
        record = self._records.get(attempt)
        if record is None:
            return False
        if record.state is _State.QUEUED:
            self._close(record, Reason.CALLER_GONE)
            self._forget_if_due(attempt, record, now)
        return record.state is _State.CLOSED

    def end(self, attempt: AttemptId, now: float) -> None:
        """Record that the target has finished with a started attempt."""
        record = self._records.get(attempt)
        if record is None or record.state is not _State.STARTED:
            return
        record.state = _State.ENDED
        self._active -= 1
        self._forget_if_due(attempt, record, now)

    def drain(self) -> None:
        """Turn new attempts away from now on."""
        self._leaving = True

    def readmit(self) -> None:
        """Take new attempts again."""
        self._leaving = False

    def prune(self, now: float) -> None:
        """Forget attempts whose deadline has passed on every clock."""
        while self._due and self._due[0][0] <= now:
            attempt = heapq.heappop(self._due)[2]
            record = self._records.get(attempt)
            if record is not None and not record.state.active:
                del self._records[attempt]

    def _seal_unseen(self, asked: SealRequested, now: float) -> SealOutcome:
        keep_until = asked.deadline + self._settings.seal_window
        if keep_until <= now:
            return SealOutcome.UNKNOWN  # a record may have been pruned
        sealed = _Record(asked.deadline, keep_until, _State.CLOSED)
        sealed.reason = Reason.ATTEMPT_SEALED
        self._add(asked.attempt, sealed)
        return SealOutcome.NOT_STARTED

    def _keep(self, offer: AttemptOffer, state: _State) -> _Record:
        keep_until = offer.deadline + self._keep_for(offer)
        record = _Record(offer.deadline, keep_until, state)
        self._add(offer.attempt, record)
        return record

    def _keep_for(self, offer: AttemptOffer) -> float:
        if offer.idempotent:
            return self._settings.clock_skew
        return self._settings.seal_window

    def _add(self, attempt: AttemptId, record: _Record) -> None:
        self._records[attempt] = record
        self._count += 1
        heapq.heappush(self._due, (record.keep_until, self._count, attempt))

    def _close(self, record: _Record, reason: Reason) -> None:
        record.state = _State.CLOSED
        record.reason = reason
        self._active -= 1

    def _forget_if_due(self, attempt: AttemptId, record: _Record, now: float) -> None:
        if record.keep_until <= now:
            self._records.pop(attempt, None)
