"""Leadership: who may plan, decided by a lease on one key of the store.

The fencing number is the store's revision at which the key was created, so
that a later leader always has a greater one.
"""

import dataclasses
import typing as t

from .event import (
    OutcomeUnknown,
    StoreResult,
    StoreUnreachable,
    SwapConflicted,
    SwapSucceeded,
    ValueRead,
)

frozen = dataclasses.dataclass(frozen=True, slots=True)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeaseSettings:
    """How a lease is held; times are in seconds."""

    key: str = "planner/leader"
    ttl: float = 10.0
    renew_interval: float = 3.0
    margin: float = 2.0  # by which a leader stops before its lease lapses
    poll_interval: float = 5.0  # between looks of those who do not lead
    retry_interval: float = 1.0  # after a call that failed


# States


@frozen
class Standby:
    """Someone else leads, or nobody is known to."""

    poll_at: float = 0.0


@frozen
class AwaitingGrant:
    """A lease was asked for."""


@frozen
class CreatingKey:
    """The key is being created under a lease."""

    lease: int
    requested_at: float


@frozen
class CheckingKey:
    """The claim's answer was lost: the key is being read."""

    lease: int
    requested_at: float
    retry_at: float = 0.0


@frozen
class Leading:
    """The lease is held; valid_until is by the holder's own clock."""

    lease: int
    fence: int
    valid_until: float
    renew_at: float
    requested_at: float | None = None  # of the renewal under way


LeaseState = Standby | AwaitingGrant | CreatingKey | CheckingKey | Leading


# Events beside the store's results


@frozen
class LeaseGranted:
    """The store granted a lease; requested_at is when it was requested."""

    lease: int
    requested_at: float


@frozen
class LeaseGrantFailed:
    """The store granted no lease that we know of."""


@frozen
class LeaseRenewed:
    """The store renewed the lease."""


@frozen
class LeaseRenewalFailed:
    """The lease is not known to be renewed."""


@frozen
class LeaseNotFound:
    """The store has no such lease."""


@frozen
class Tick:
    """Time has passed."""


LeaseEvent = (
    StoreResult
    | LeaseGranted
    | LeaseGrantFailed
    | LeaseRenewed
    | LeaseRenewalFailed
    | LeaseNotFound
    | Tick
)


# Commands


@frozen
class RequestLease:
    """Ask for a lease."""

    ttl: float


@frozen
class CreateLeaderKey:
    """Create the key, with the holder's name, under a lease."""

    key: str
    lease: int


@frozen
class ReadLeaderKey:
    """Read the key."""

    key: str


@frozen
class RenewLease:
    """Renew a lease."""

    lease: int


@frozen
class RevokeLease:
    """Revoke a lease that is of no more use."""

    lease: int


LeaseCommand = RequestLease | CreateLeaderKey | ReadLeaderKey | RenewLease | RevokeLease


class LeaseStep(t.NamedTuple):
    """A decision: the next state, and what is to be done."""

    state: LeaseState
    command: LeaseCommand | None = None


class LeaseController:
    """Decides how one candidate takes and keeps the lease."""

    def __init__(self, settings: LeaseSettings, holder: bytes) -> None:
        """Stand as a candidate; the holder's name is unique to one life."""
        self._settings = settings
        self._holder = holder

    def fence(self, state: LeaseState, now: float) -> int | None:
        """Return the fencing number while the holder may act, else None."""
        match state:
            case Leading(fence=fence, valid_until=valid_until) if now < valid_until:
                return fence
        return None

    def step(self, state: LeaseState, event: LeaseEvent, now: float) -> LeaseStep:
        """Return the next state and what is to be done."""
        match state:
            case Standby():
                return self._step_standby(state, event, now)
            case AwaitingGrant():
                return self._step_awaiting_grant(state, event, now)
            case CreatingKey():
                return self._step_creating_key(state, event, now)
            case CheckingKey():
                return self._step_checking_key(state, event, now)
            case Leading():
                return self._step_leading(state, event, now)

    def _step_standby(self, state: Standby, event: LeaseEvent, now: float) -> LeaseStep:
        match event:
            case Tick() if now >= state.poll_at:
                standby = Standby(now + self._settings.poll_interval)
                return LeaseStep(standby, ReadLeaderKey(self._settings.key))
            case ValueRead(version=0):
                return LeaseStep(AwaitingGrant(), RequestLease(self._settings.ttl))
        return LeaseStep(state)

    def _step_awaiting_grant(
        self, state: AwaitingGrant, event: LeaseEvent, now: float
    ) -> LeaseStep:
        match event:
            case LeaseGranted(lease, requested_at):
                create = CreateLeaderKey(self._settings.key, lease)
                return LeaseStep(CreatingKey(lease, requested_at), create)
            case LeaseGrantFailed():
                return self._retry(now)
        return LeaseStep(state)

    def _step_creating_key(
        self, state: CreatingKey, event: LeaseEvent, now: float
    ) -> LeaseStep:
        match event:
            case SwapSucceeded(version):
                return self._lead(state.lease, version, state.requested_at, now)
            case SwapConflicted() | StoreUnreachable():
                standby = Standby(now + self._settings.poll_interval)
                return LeaseStep(standby, RevokeLease(state.lease))
            case OutcomeUnknown():
                checking = CheckingKey(state.lease, state.requested_at)
                return LeaseStep(checking, ReadLeaderKey(self._settings.key))
            case LeaseNotFound():
                return self._retry(now)
        return LeaseStep(state)

    def _step_checking_key(
        self, state: CheckingKey, event: LeaseEvent, now: float
    ) -> LeaseStep:
        match event:
            case ValueRead(value, version) if value == self._holder and version:
                return self._lead(state.lease, version, state.requested_at, now)
            case ValueRead():
                return LeaseStep(self._retry(now).state, RevokeLease(state.lease))
            case StoreUnreachable():
                retry_at = now + self._settings.retry_interval
                return LeaseStep(dataclasses.replace(state, retry_at=retry_at))
            case Tick() if state.retry_at and now >= state.retry_at:
                state = dataclasses.replace(state, retry_at=0.0)
                return LeaseStep(state, ReadLeaderKey(self._settings.key))
        return LeaseStep(state)

    def _step_leading(self, state: Leading, event: LeaseEvent, now: float) -> LeaseStep:
        match event:
            case LeaseNotFound():
                return self._retry(now)
            case LeaseRenewed() if state.requested_at is not None:
                return self._lead(state.lease, state.fence, state.requested_at, now)
            case LeaseRenewalFailed():
                renew_at = now + self._settings.retry_interval
                return LeaseStep(
                    dataclasses.replace(state, renew_at=renew_at, requested_at=None)
                )
            case Tick() if now >= state.valid_until + self._settings.margin:
                return self._retry(now)
            case Tick() if now >= state.renew_at and state.requested_at is None:
                renewing = dataclasses.replace(state, requested_at=now)
                return LeaseStep(renewing, RenewLease(state.lease))
        return LeaseStep(state)

    def _lead(
        self, lease: int, fence: int, requested_at: float, now: float
    ) -> LeaseStep:
        """Lead for as long as the store's lease has certainly not lapsed.

        The store counts its time to live from when it carried the call out,
        which was no sooner than when it was asked.
        """
        valid_until = requested_at + self._settings.ttl - self._settings.margin
        renew_at = now + self._settings.renew_interval
        return LeaseStep(Leading(lease, fence, valid_until, renew_at))

    def _retry(self, now: float) -> LeaseStep:
        return LeaseStep(Standby(now + self._settings.retry_interval))
