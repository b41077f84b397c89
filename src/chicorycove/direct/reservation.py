"""Reserves engine memory for groups with leases that are renewed."""

import dataclasses

from ..identity import AgentId, AttemptId
from ..lifecycle import ReleaseMemory, ReserveMemory
from .board import DirectBoard
from .command import DirectCommand, GroupMember
from .placement import Placement, PlacementMember
from .settings import ReservationSettings
from .target_limits import TargetLimits


@dataclasses.dataclass(frozen=True, slots=True)
class HeldReservation:
    """A reservation of a target's memory, in tokens."""

    id: AttemptId
    target: AgentId
    address: str
    memory: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReservationTimeoutDue:
    """The timer for a target's answer to a reservation order."""

    request_id: str
    reservation_id: AttemptId


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRenewalDue:
    """The timer for the renewal of a request's leases."""

    request_id: str
    first_reservation: AttemptId


@dataclasses.dataclass(slots=True)
class _Group:
    placement: Placement
    reservations: tuple[HeldReservation, ...]
    pending: set[AttemptId]
    leased_until: dict[AttemptId, float]  # times in seconds


class Reservations:
    """Reserves the memory of a placement's members, all or nothing.

    No reservation waits for memory: if one is refused, its group is released,
    so that competing groups cannot deadlock.  Leases are short and renewed, so
    that memory held for a crashed entry, or by an order that was executed too
    late, is freed within seconds.
    """

    def __init__(
        self,
        board: DirectBoard,
        settings: ReservationSettings,
        target_limits: TargetLimits,
    ) -> None:
        self._board = board
        self._settings = settings
        self._target_limits = target_limits
        self._groups: dict[str, _Group] = {}

    def start(
        self, attempt_id: AttemptId, placement: Placement, now: float
    ) -> list[DirectCommand]:
        """Return the orders that reserve a group's memory."""
        reservations = tuple(
            self._create_reservation(attempt_id, number, member)
            for number, member in enumerate(placement.members)
            if member.held_tokens
        )
        pending = {reservation.id for reservation in reservations}
        group = _Group(placement, reservations, pending, {})
        self._groups[attempt_id.request] = group
        due = now + self._settings.answer_timeout
        for reservation in reservations:
            self._board.timers.add(
                due, ReservationTimeoutDue(attempt_id.request, reservation.id)
            )
        return [self._reserve(group, reservation, now) for reservation in reservations]

    def confirm(self, reservation_id: AttemptId, now: float) -> Placement | None:
        """Record a reservation; return the placement once it has them all.

        After a pause of the process, the confirmation of a lease that has
        ended since counts for nothing: the reservation times out.
        """
        group = self._groups.get(reservation_id.request)
        if group is None or reservation_id not in group.pending:
            return None
        if self.have_lapsed(reservation_id.request, now):
            return None
        group.pending.discard(reservation_id)
        if group.pending:
            return None
        self._schedule_renewal(reservation_id.request, group, now)
        return group.placement

    def have_lapsed(self, request_id: str, now: float) -> bool:
        """Return whether a lease of a request's reservations has ended."""
        group = self._groups.get(request_id)
        return group is not None and any(
            now >= leased_until for leased_until in group.leased_until.values()
        )

    def is_pending(self, reservation_id: AttemptId) -> bool:
        """Return whether the answer to a reservation order is outstanding."""
        group = self._groups.get(reservation_id.request)
        return group is not None and reservation_id in group.pending

    def target_of(self, reservation_id: AttemptId) -> str | None:
        """Return the target of a reservation, if its group still exists."""
        group = self._groups.get(reservation_id.request)
        for reservation in group.reservations if group else ():
            if reservation.id == reservation_id:
                return reservation.target.target
        return None

    def members(self, request_id: str, placement: Placement) -> tuple[GroupMember, ...]:
        """Return the members of a placement with their reservations."""
        group = self._groups.get(request_id)
        ids_by_target = (
            {
                reservation.target.target: reservation.id
                for reservation in group.reservations
            }
            if group
            else {}
        )
        return tuple(
            GroupMember(
                self._board.targets[member.target].listing.address,
                ids_by_target.get(member.target),
            )
            for member in placement.members
            if member.target in self._board.targets
        )

    def release(self, request_id: str) -> list[DirectCommand]:
        """Release the reservations of a request."""
        group = self._groups.pop(request_id, None)
        return (
            [
                ReleaseMemory(reservation.id, reservation.target)
                for reservation in group.reservations
            ]
            if group
            else []
        )

    def renew(self, due: LeaseRenewalDue, now: float) -> list[DirectCommand]:
        """Renew the leases of a request, if they are still held.

        During a backoff, a lease is renewed only if it would end.
        """
        group = self._groups.get(due.request_id)
        if group is None or group.reservations[0].id != due.first_reservation:
            return []
        self._schedule_renewal(due.request_id, group, now)
        return [
            self._reserve(group, reservation, now)
            for reservation in group.reservations
            if not self._target_limits.is_backing_off(reservation.target, now)
            or self._ends_before_next_renewal(group, reservation, now)
        ]

    def renew_for_backoff(self, agent: AgentId, now: float) -> list[DirectCommand]:
        """Renew all leases at a target if its backoff begins now."""
        if not self._target_limits.begins_backoff(agent, now):
            return []
        return [
            self._reserve(group, reservation, now)
            for group in self._groups.values()
            for reservation in group.reservations
            if reservation.target == agent and reservation.id not in group.pending
        ]

    def _reserve(
        self, group: _Group, reservation: HeldReservation, now: float
    ) -> ReserveMemory:
        group.leased_until[reservation.id] = now + self._settings.lease_duration
        return ReserveMemory(reservation.id, reservation.target, reservation.memory)

    def _ends_before_next_renewal(
        self, group: _Group, reservation: HeldReservation, now: float
    ) -> bool:
        next_renewal = now + self._settings.renewal_interval
        margin = self._settings.answer_timeout
        return group.leased_until[reservation.id] < next_renewal + margin

    def _schedule_renewal(self, request_id: str, group: _Group, now: float) -> None:
        due = LeaseRenewalDue(request_id, group.reservations[0].id)
        self._board.timers.add(now + self._settings.renewal_interval, due)

    def _create_reservation(
        self, attempt_id: AttemptId, number: int, member: PlacementMember
    ) -> HeldReservation:
        view = self._board.targets[member.target]
        reservation_id = AttemptId(
            attempt_id.request, attempt_id.number, f"{attempt_id.nonce}.{number}"
        )
        return HeldReservation(
            reservation_id,
            view.listing.agent,
            view.listing.address,
            member.held_tokens,
        )
