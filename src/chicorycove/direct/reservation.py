"""Engine memory held for groups, by leases that are renewed and given back."""

import dataclasses

from ..identity import AgentId, AttemptId
from ..lifecycle import ReleaseMemory, ReserveMemory
from .board import DirectBoard
from .command import DirectCommand, GroupMember
from .placement import Placement, PlacementMember
from .settings import ReservationSettings


@dataclasses.dataclass(frozen=True, slots=True)
class HeldReservation:
    """A reservation at a target; memory is in tokens."""

    id: AttemptId
    target: AgentId
    address: str
    memory: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReservationTimeoutDue:
    """An order has had its time to be answered."""

    request: str
    reservation: AttemptId


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRenewalDue:
    """The leases of a request are to be renewed."""

    request: str
    first: AttemptId


@dataclasses.dataclass(slots=True)
class _Group:
    placement: Placement
    held: tuple[HeldReservation, ...]
    awaited: set[AttemptId]


class Reservations:
    """Reserves what a placement's members are to hold, all or nothing.

    No reservation waits for memory: one that is refused has its group given
    back, so that groups which compete cannot block one another.  Leases are
    short and renewed, so that a dead entry's memory is free within seconds,
    and an order that is carried out late frees itself.
    """

    def __init__(self, board: DirectBoard, settings: ReservationSettings) -> None:
        self._board = board
        self._settings = settings
        self._groups: dict[str, _Group] = {}

    def start(
        self, attempt: AttemptId, placement: Placement, now: float
    ) -> list[DirectCommand]:
        """Ask for what a group is to hold."""
        held = tuple(
            self._held(attempt, number, member)
            for number, member in enumerate(placement.members)
            if member.held_tokens
        )
        awaited = {each.id for each in held}
        self._groups[attempt.request] = _Group(placement, held, awaited)
        due = now + self._settings.answer_timeout
        for each in held:
            self._board.timers.add(due, ReservationTimeoutDue(attempt.request, each.id))
        return [ReserveMemory(each.id, each.target, each.memory) for each in held]

    def confirm(self, reservation: AttemptId, now: float) -> Placement | None:
        """Note an answer, and return the placement once all is held."""
        group = self._groups.get(reservation.request)
        if group is None or reservation not in group.awaited:
            return None
        group.awaited.discard(reservation)
        if group.awaited:
            return None
        self._plan_renewal(reservation.request, group, now)
        return group.placement

    def is_pending(self, reservation: AttemptId) -> bool:
        """Tell whether the answer to an order is still to come."""
        group = self._groups.get(reservation.request)
        return group is not None and reservation in group.awaited

    def target_of(self, reservation: AttemptId) -> str | None:
        """Return the target that was asked for a reservation."""
        group = self._groups.get(reservation.request)
        for each in group.held if group else ():
            if each.id == reservation:
                return each.target.target
        return None

    def members(self, request: str, placement: Placement) -> tuple[GroupMember, ...]:
        """Return the members of a placement with their reservations."""
        group = self._groups.get(request)
        tickets = {each.target.target: each.id for each in group.held} if group else {}
        return tuple(
            GroupMember(
                self._board.targets[member.target].listing.address,
                tickets.get(member.target),
            )
            for member in placement.members
            if member.target in self._board.targets
        )

    def release(self, request: str) -> list[DirectCommand]:
        """Give back what is held for a request."""
        group = self._groups.pop(request, None)
        return (
            [ReleaseMemory(each.id, each.target) for each in group.held]
            if group
            else []
        )

    def renew(self, due: LeaseRenewalDue, now: float) -> list[DirectCommand]:
        """Renew a request's leases, if they are still held."""
        group = self._groups.get(due.request)
        if group is None or group.held[0].id != due.first:
            return []
        self._plan_renewal(due.request, group, now)
        return [ReserveMemory(each.id, each.target, each.memory) for each in group.held]

    def _plan_renewal(self, request: str, group: _Group, now: float) -> None:
        due = LeaseRenewalDue(request, group.held[0].id)
        self._board.timers.add(now + self._settings.renewal_interval, due)

    def _held(
        self, attempt: AttemptId, number: int, member: PlacementMember
    ) -> HeldReservation:
        view = self._board.targets[member.target]
        id = AttemptId(attempt.request, attempt.number, f"{attempt.nonce}.{number}")
        agent = AgentId(member.target, str(view.listing.started_at))
        return HeldReservation(id, agent, view.listing.address, member.held_tokens)
