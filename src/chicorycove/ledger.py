"""The agent's ledger of its engine's memory."""

import dataclasses

from .event import EngineMemoryReported
from .identity import AttemptId


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LedgerSettings:
    """How long an owner may be silent; times are in seconds."""

    lease_duration: float = 3.0
    cancel_retry: float = 1.0
    max_preemptions: int = 2


@dataclasses.dataclass(slots=True)
class Reservation:
    """Engine memory that one attempt holds, in tokens."""

    owner: str
    memory: int
    priority: int
    reserved_at: float
    cancelled_at: float | None = None
    preemptible: bool = True


class Ledger:
    """Reserves engine memory; each reservation has an owner with a lease.

    An owner is one life of an entry: one that restarts takes another name, or
    it would renew what its earlier life left behind.

    A reservation that was cancelled counts until the engine gives its memory
    back, so that the engine is never promised twice.
    """

    def __init__(self, capacity: int, settings: LedgerSettings | None = None) -> None:
        self._capacity = capacity
        self._settings = settings or LedgerSettings()
        self._reservations: dict[AttemptId, Reservation] = {}
        self._leases: dict[str, float] = {}
        self._preempted: dict[AttemptId, int] = {}
        self._used = 0
        self._unowned = 0

    def __contains__(self, attempt: AttemptId) -> bool:
        return attempt in self._reservations

    @property
    def capacity(self) -> int:
        """Return the engine's memory, in tokens."""
        return self._capacity

    @property
    def used(self) -> int:
        """Return the tokens that are reserved, or held by no one we know."""
        return self._used + self._unowned

    @property
    def free(self) -> int:
        """Return the tokens that may be reserved; under 0 if overcommitted."""
        return self._capacity - self.used

    @property
    def attempts(self) -> frozenset[AttemptId]:
        """Return the attempts that hold memory."""
        return frozenset(self._reservations)

    def reserve(
        self,
        attempt: AttemptId,
        owner: str,
        memory: int,
        now: float,
        priority: int = 0,
        preemptible: bool = True,
    ) -> bool:
        """Reserve memory for an attempt, or keep what it already has."""
        if attempt in self._reservations:
            return self._reservations[attempt].cancelled_at is None
        if memory > self.free:
            return False
        self._reservations[attempt] = Reservation(
            owner, memory, priority, now, preemptible=preemptible
        )
        self._used += memory
        self._leases.setdefault(owner, now + self._settings.lease_duration)
        return True

    def grow(self, attempt: AttemptId, memory: int) -> bool:
        """Raise a reservation to a size; refuse if memory is short."""
        reservation = self._reservations.get(attempt)
        if reservation is None:
            return False
        extra = memory - reservation.memory
        if extra > max(self.free, 0):
            return False
        if extra > 0:
            self._resize(reservation, memory)
        return True

    def release(self, attempt: AttemptId) -> int:
        """End a reservation and return the tokens that it held."""
        self._preempted.pop(attempt, None)
        return self._drop(attempt)

    def renew(self, owner: str, now: float) -> None:
        """Extend an owner's lease."""
        self._leases[owner] = now + self._settings.lease_duration

    def leased(self, owner: str, now: float) -> bool:
        """Tell whether an owner was heard of within its lease."""
        return now < self._leases.get(owner, now)

    def cancel_lapsed(self, now: float) -> list[AttemptId]:
        """Return the attempts to cancel since their owner's lease ran out.

        An attempt is returned again at intervals until it is released.
        """
        self._forget_idle_owners(now)
        due = []
        for attempt, reservation in self._reservations.items():
            if self._lapsed(reservation, now) and self._cancel(reservation, now):
                due.append(attempt)
        return due

    def victims(self, memory: int, priority: int) -> list[AttemptId]:
        """Return the attempts to preempt so that memory fits, or none.

        Only attempts of lower classes are chosen, the lowest class and the
        latest start first, and each a bounded number of times.
        """
        missing = memory - self.free
        chosen = []
        for attempt, reservation in sorted(
            self._reservations.items(),
            key=lambda item: (-item[1].priority, -item[1].reserved_at),
        ):
            if missing <= 0:
                break
            if self._preemptible(attempt, reservation, priority):
                chosen.append(attempt)
                missing -= reservation.memory
        return chosen if missing <= 0 else []

    def preempt(self, attempt: AttemptId) -> int:
        """End a reservation whose attempt will be queued or imported again."""
        self._preempted[attempt] = self._preempted.get(attempt, 0) + 1
        return self._drop(attempt)

    def reconcile(self, report: EngineMemoryReported) -> list[AttemptId]:
        """Take in the engine's account; return the attempts to cancel.

        What the engine holds for no reservation counts as used until it is
        gone, and a cancelled attempt that the engine no longer holds is
        released.
        """
        self._capacity = report.capacity
        for attempt in self._gone(report):
            self.release(attempt)
        orphans = []
        unowned = 0
        for attempt, memory in report.attempts.items():
            reservation = self._reservations.get(attempt)
            if reservation is None:
                orphans.append(attempt)
                unowned += memory
            elif memory > reservation.memory:
                self._resize(reservation, memory)
        self._unowned = unowned
        return orphans + self._stuck(report)

    def _drop(self, attempt: AttemptId) -> int:
        reservation = self._reservations.pop(attempt, None)
        if reservation is None:
            return 0
        self._used -= reservation.memory
        return reservation.memory

    def _resize(self, reservation: Reservation, memory: int) -> None:
        self._used += memory - reservation.memory
        reservation.memory = memory

    def _lapsed(self, reservation: Reservation, now: float) -> bool:
        if reservation.cancelled_at is not None:
            return True
        return not self.leased(reservation.owner, now)

    def _cancel(self, reservation: Reservation, now: float) -> bool:
        last = reservation.cancelled_at
        if last is not None and now < last + self._settings.cancel_retry:
            return False
        reservation.cancelled_at = now
        return True

    def _forget_idle_owners(self, now: float) -> None:
        lapsed = [owner for owner, expiry in self._leases.items() if expiry <= now]
        for owner in lapsed:
            del self._leases[owner]

    def _preemptible(
        self, attempt: AttemptId, reservation: Reservation, priority: int
    ) -> bool:
        times = self._preempted.get(attempt, 0)
        return (
            reservation.preemptible
            and reservation.cancelled_at is None
            and reservation.priority > priority
            and times < self._settings.max_preemptions
        )

    def _gone(self, report: EngineMemoryReported) -> list[AttemptId]:
        return [
            attempt
            for attempt, reservation in self._reservations.items()
            if reservation.cancelled_at is not None
            and reservation.cancelled_at < report.as_of
            and attempt not in report.attempts
        ]

    def _stuck(self, report: EngineMemoryReported) -> list[AttemptId]:
        return [
            attempt
            for attempt, reservation in self._reservations.items()
            if reservation.cancelled_at is not None
            and reservation.cancelled_at < report.as_of
        ]
