"""Leader election of the planner by a lease on one key of the store.

The fencing token is the store's revision at which the key was created, so
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
    """Settings of the leader's lease; times are in seconds."""

    key: str = "planner/leader"
    ttl: float = 10.0
    renew_interval: float = 3.0
    margin: float = 2.0  # between the end of leadership and the lease's expiry
    poll_interval: float = 5.0  # between reads of the key by those who do not lead
    retry_interval: float = 1.0  # after a failed call to the store


# States


@frozen
class Standby:
    """Another candidate leads, or the leader is unknown."""

    poll_at: float = 0.0


@frozen
class AwaitingGrant:
    """A lease has been requested."""


@frozen
class CreatingKey:
    """The key is being created under a lease."""

    lease: int
    requested_at: float


@frozen
class CheckingKey:
    """The outcome of creating the key is unknown; the key is being read."""

    lease: int
    requested_at: float
    retry_at: float = 0.0


@frozen
class Leading:
    """The lease is held; valid_until is a time of the holder's own clock."""

    lease: int
    fence: int
    valid_until: float
    renew_at: float
    requested_at: float | None = None  # time of the renewal in flight


LeaseState = Standby | AwaitingGrant | CreatingKey | CheckingKey | Leading


# Events, besides the results of store calls


@frozen
class LeaseGranted:
    """The store granted the lease that was requested at requested_at."""

    lease: int
    requested_at: float


@frozen
class LeaseGrantFailed:
    """No grant of the lease was confirmed."""


@frozen
class LeaseRenewed:
    """The store renewed the lease."""


@frozen
class LeaseRenewalFailed:
    """No renewal of the lease was confirmed."""


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
    """Request a lease with a time to live in seconds."""

    ttl: float


@frozen
class CreateLeaderKey:
    """Create the key under a lease, with the holder as its value."""

    key: str
    lease: int


@frozen
class ReadLeaderKey:
    """Read the key that names the leader."""

    key: str


@frozen
class RenewLease:
    """Renew a lease."""

    lease: int


@frozen
class RevokeLease:
    """Revoke a lease that is no longer needed."""

    lease: int


LeaseCommand = RequestLease | CreateLeaderKey | ReadLeaderKey | RenewLease | RevokeLease


class LeaseStep(t.NamedTuple):
    """The next state and the command to run, if any."""

    state: LeaseState
    command: LeaseCommand | None = None


class LeaseController:
    """State machine by which one candidate obtains and keeps the lease."""

    def __init__(self, settings: LeaseSettings, holder: bytes) -> None:
        """Initialize a candidate; the holder is unique to one incarnation."""
        self._settings = settings
        self._holder = holder

    def fence(self, state: LeaseState, now: float) -> int | None:
        """Return the fencing token, or None if the lease may not be held."""
        match state:
            case Leading(fence=fence, valid_until=valid_until) if now < valid_until:
                return fence
        return None

    def step(self, state: LeaseState, event: LeaseEvent, now: float) -> LeaseStep:
        """Return the next state and command after an event."""
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
        """Lead for as long as the store's lease has certainly not expired.

        The store counts the time to live from when it processes the call,
        which is never before the call was made.
        """
        valid_until = requested_at + self._settings.ttl - self._settings.margin
        renew_at = now + self._settings.renew_interval
        return LeaseStep(Leading(lease, fence, valid_until, renew_at))

    def _retry(self, now: float) -> LeaseStep:
        return LeaseStep(Standby(now + self._settings.retry_interval))
