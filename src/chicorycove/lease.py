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
class Waiting:
    """Someone else leads, or nobody is known to."""

    until: float = 0.0


@frozen
class Granting:
    """A lease was asked for."""


@frozen
class Claiming:
    """The key is being created under a lease."""

    lease: int
    asked_at: float


@frozen
class Settling:
    """The claim's answer was lost: the key is being read."""

    lease: int
    asked_at: float
    until: float = 0.0


@frozen
class Leading:
    """The lease is held; valid_until is by the holder's own clock."""

    lease: int
    fence: int
    valid_until: float
    renew_at: float
    asked_at: float | None = None  # of the renewal under way


LeaseState = Waiting | Granting | Claiming | Settling | Leading


# Events beside the store's results


@frozen
class Granted:
    """The store granted a lease; asked_at is when it was asked."""

    lease: int
    asked_at: float


@frozen
class GrantFailed:
    """The store granted no lease that we know of."""


@frozen
class Renewed:
    """The store renewed the lease."""


@frozen
class RenewFailed:
    """The lease is not known to be renewed."""


@frozen
class LeaseGone:
    """The store has no such lease."""


@frozen
class Passed:
    """Time has passed."""


LeaseEvent = (
    StoreResult | Granted | GrantFailed | Renewed | RenewFailed | LeaseGone | Passed
)


# Commands


@frozen
class Grant:
    """Ask for a lease."""

    ttl: float


@frozen
class Claim:
    """Create the key, with the holder's name, under a lease."""

    key: str
    lease: int


@frozen
class Inspect:
    """Read the key."""

    key: str


@frozen
class Renew:
    """Renew a lease."""

    lease: int


@frozen
class GiveUpLease:
    """Revoke a lease that is of no more use."""

    lease: int


LeaseCommand = Grant | Claim | Inspect | Renew | GiveUpLease


class Step(t.NamedTuple):
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
            case Leading(fence=fence, valid_until=until) if now < until:
                return fence
        return None

    def step(self, state: LeaseState, event: LeaseEvent, now: float) -> Step:
        """Return the next state and what is to be done."""
        match state:
            case Waiting():
                return self._waiting(state, event, now)
            case Granting():
                return self._granting(state, event, now)
            case Claiming():
                return self._claiming(state, event, now)
            case Settling():
                return self._settling(state, event, now)
            case Leading():
                return self._leading(state, event, now)

    def _waiting(self, state: Waiting, event: LeaseEvent, now: float) -> Step:
        match event:
            case Passed() if now >= state.until:
                wait = Waiting(now + self._settings.poll_interval)
                return Step(wait, Inspect(self._settings.key))
            case ValueRead(version=0):
                return Step(Granting(), Grant(self._settings.ttl))
        return Step(state)

    def _granting(self, state: Granting, event: LeaseEvent, now: float) -> Step:
        match event:
            case Granted(lease, asked_at):
                claim = Claim(self._settings.key, lease)
                return Step(Claiming(lease, asked_at), claim)
            case GrantFailed():
                return self._retry(now)
        return Step(state)

    def _claiming(self, state: Claiming, event: LeaseEvent, now: float) -> Step:
        match event:
            case SwapSucceeded(version):
                return self._lead(state.lease, version, state.asked_at, now)
            case SwapConflicted() | StoreUnreachable():
                wait = Waiting(now + self._settings.poll_interval)
                return Step(wait, GiveUpLease(state.lease))
            case OutcomeUnknown():
                settle = Settling(state.lease, state.asked_at)
                return Step(settle, Inspect(self._settings.key))
            case LeaseGone():
                return self._retry(now)
        return Step(state)

    def _settling(self, state: Settling, event: LeaseEvent, now: float) -> Step:
        match event:
            case ValueRead(value, version) if value == self._holder and version:
                return self._lead(state.lease, version, state.asked_at, now)
            case ValueRead():
                return Step(self._retry(now).state, GiveUpLease(state.lease))
            case StoreUnreachable():
                until = now + self._settings.retry_interval
                return Step(dataclasses.replace(state, until=until))
            case Passed() if state.until and now >= state.until:
                state = dataclasses.replace(state, until=0.0)
                return Step(state, Inspect(self._settings.key))
        return Step(state)

    def _leading(self, state: Leading, event: LeaseEvent, now: float) -> Step:
        match event:
            case LeaseGone():
                return self._retry(now)
            case Renewed() if state.asked_at is not None:
                return self._lead(state.lease, state.fence, state.asked_at, now)
            case RenewFailed():
                renew_at = now + self._settings.retry_interval
                return Step(
                    dataclasses.replace(state, renew_at=renew_at, asked_at=None)
                )
            case Passed() if now >= state.valid_until + self._settings.margin:
                return self._retry(now)
            case Passed() if now >= state.renew_at and state.asked_at is None:
                asked = dataclasses.replace(state, asked_at=now)
                return Step(asked, Renew(state.lease))
        return Step(state)

    def _lead(self, lease: int, fence: int, asked_at: float, now: float) -> Step:
        """Lead for as long as the store's lease has certainly not lapsed.

        The store counts its time to live from when it carried the call out,
        which was no sooner than when it was asked.
        """
        valid_until = asked_at + self._settings.ttl - self._settings.margin
        renew_at = now + self._settings.renew_interval
        return Step(Leading(lease, fence, valid_until, renew_at))

    def _retry(self, now: float) -> Step:
        return Step(Waiting(now + self._settings.retry_interval))
