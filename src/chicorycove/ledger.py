"""Accounts for the memory of an agent's engine."""

import dataclasses

from .event import EngineMemoryReported
from .identity import AttemptId


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LedgerSettings:
    """Leases of owners, cancels and preemptions; times are in seconds."""

    lease_duration: float = 3.0
    cancel_retry_interval: float = 1.0
    max_preemptions: int = 2  # per attempt


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

    An owner is one incarnation of an entry: an entry that restarts takes
    another name, or it would renew the reservations of its earlier
    incarnation.

    A cancelled reservation counts as used until the engine has freed its
    memory, so that no memory is reserved twice.
    """

    def __init__(self, capacity: int, settings: LedgerSettings | None = None) -> None:
        self._capacity = capacity
        self._settings = settings or LedgerSettings()
        self._reservations: dict[AttemptId, Reservation] = {}
        self._leases: dict[str, float] = {}
        self._preemptions: dict[AttemptId, int] = {}
        self._used = 0
        self._unreserved = 0

    def __contains__(self, attempt: AttemptId) -> bool:
        return attempt in self._reservations

    @property
    def capacity(self) -> int:
        """Return the engine's memory, in tokens."""
        return self._capacity

    @property
    def used(self) -> int:
        """Return the tokens reserved, or held without a reservation."""
        return self._used + self._unreserved

    @property
    def free(self) -> int:
        """Return the tokens that may be reserved; under 0 if overcommitted."""
        return self._capacity - self.used

    @property
    def attempts(self) -> frozenset[AttemptId]:
        """Return the attempts that have reservations."""
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
        """Reserve memory, or keep an earlier reservation of the attempt.

        Return whether the attempt holds a reservation that is not cancelled.
        """
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
        """Raise a reservation to a size; return False if memory is short."""
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
        """Remove a reservation and return the tokens that it held."""
        self._preemptions.pop(attempt, None)
        return self._remove(attempt)

    def renew(self, owner: str, now: float) -> None:
        """Extend an owner's lease."""
        self._leases[owner] = now + self._settings.lease_duration

    def has_lease(self, owner: str, now: float) -> bool:
        """Return whether an owner's lease has not expired."""
        return now < self._leases.get(owner, now)

    def cancel_lapsed(self, now: float) -> list[AttemptId]:
        """Cancel the reservations of owners whose lease has expired.

        Return the attempts to cancel at the engine. An attempt is returned
        again at intervals until it is released, since a cancel may be lost.
        """
        self._remove_expired_leases(now)
        to_cancel = []
        for attempt, reservation in self._reservations.items():
            if self._needs_cancel(reservation, now) and self._cancel_if_due(
                reservation, now
            ):
                to_cancel.append(attempt)
        return to_cancel

    def victims(self, memory: int, priority: int) -> list[AttemptId]:
        """Return the attempts to preempt so that memory fits, or none.

        Only attempts of lower priority are chosen, the lowest priority and
        the latest reservation first, each at most ``max_preemptions`` times.
        """
        missing = memory - self.free
        chosen = []
        for attempt, reservation in sorted(
            self._reservations.items(),
            key=lambda item: (-item[1].priority, -item[1].reserved_at),
        ):
            if missing <= 0:
                break
            if self._may_preempt(attempt, reservation, priority):
                chosen.append(attempt)
                missing -= reservation.memory
        return chosen if missing <= 0 else []

    def preempt(self, attempt: AttemptId) -> int:
        """End the reservation of an attempt to be queued or imported again."""
        self._preemptions[attempt] = self._preemptions.get(attempt, 0) + 1
        return self._remove(attempt)

    def reconcile(self, report: EngineMemoryReported) -> list[AttemptId]:
        """Apply the engine's report; return the attempts to cancel.

        Memory that the engine holds without a reservation counts as used
        until the engine has freed it. A cancelled attempt that the engine no
        longer holds is released.
        """
        self._capacity = report.capacity
        for attempt in self._freed_by_engine(report):
            self.release(attempt)
        orphans = []
        unreserved = 0
        for attempt, memory in report.attempts.items():
            reservation = self._reservations.get(attempt)
            if reservation is None:
                orphans.append(attempt)
                unreserved += memory
            elif memory > reservation.memory:
                self._resize(reservation, memory)
        self._unreserved = unreserved
        return orphans + self._awaiting_cancel(report)

    def _remove(self, attempt: AttemptId) -> int:
        reservation = self._reservations.pop(attempt, None)
        if reservation is None:
            return 0
        self._used -= reservation.memory
        return reservation.memory

    def _resize(self, reservation: Reservation, memory: int) -> None:
        self._used += memory - reservation.memory
        reservation.memory = memory

    def _needs_cancel(self, reservation: Reservation, now: float) -> bool:
        if reservation.cancelled_at is not None:
            return True
        return not self.has_lease(reservation.owner, now)

    def _cancel_if_due(self, reservation: Reservation, now: float) -> bool:
        last_cancel = reservation.cancelled_at
        if (
            last_cancel is not None
            and now < last_cancel + self._settings.cancel_retry_interval
        ):
            return False
        reservation.cancelled_at = now
        return True

    def _remove_expired_leases(self, now: float) -> None:
        expired = [owner for owner, expiry in self._leases.items() if expiry <= now]
        for owner in expired:
            del self._leases[owner]

    def _may_preempt(
        self, attempt: AttemptId, reservation: Reservation, priority: int
    ) -> bool:
        count = self._preemptions.get(attempt, 0)
        return (
            reservation.preemptible
            and reservation.cancelled_at is None
            and reservation.priority > priority
            and count < self._settings.max_preemptions
        )

    def _freed_by_engine(self, report: EngineMemoryReported) -> list[AttemptId]:
        return [
            attempt
            for attempt, reservation in self._reservations.items()
            if reservation.cancelled_at is not None
            and reservation.cancelled_at < report.as_of
            and attempt not in report.attempts
        ]

    def _awaiting_cancel(self, report: EngineMemoryReported) -> list[AttemptId]:
        return [
            attempt
            for attempt, reservation in self._reservations.items()
            if reservation.cancelled_at is not None
            and reservation.cancelled_at < report.as_of
        ]
