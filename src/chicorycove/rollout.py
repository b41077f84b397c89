"""Decides whether a model version may be rolled out further."""

import dataclasses
import typing as t

frozen = dataclasses.dataclass(frozen=True, slots=True)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RolloutSettings:
    """Conditions to continue or halt a roll-out; times are in seconds."""

    min_finished: int = 20  # requests needed on the new version to proceed
    quiet: float = 60.0  # time on the new version after which fewer requests suffice
    max_failure_rise: float = 0.05  # increase of the share of failed requests
    min_failures: int = 3
    max_first_token_factor: float = 1.5
    first_token_slack: float = 0.1
    max_load_failures: int = 3
    max_unavailable: float = 0.1  # share of a model's targets out of service at once


@frozen
class Health:
    """Request outcomes on some targets; first_token is a sum in seconds."""

    finished: int = 0
    failed: int = 0
    first_token: float = 0.0

    def __add__(self, other: "Health") -> "Health":
        return Health(
            self.finished + other.finished,
            self.failed + other.failed,
            self.first_token + other.first_token,
        )

    @property
    def failure_share(self) -> float:
        """Return the share of requests that failed."""
        total = self.finished + self.failed
        return self.failed / total if total else 0.0

    @property
    def mean_first_token(self) -> float:
        """Return the mean time to first token, in seconds."""
        return self.first_token / self.finished if self.finished else 0.0


@frozen
class Proceed:
    """The version may be loaded on more targets."""


@frozen
class Hold:
    """Too few requests have finished for a decision."""


@frozen
class Halt:
    """The version must not be loaded on more targets."""

    cause: str


RolloutDecision = Proceed | Hold | Halt


def evaluate_rollout(
    old: Health, new: Health, age: float, settings: RolloutSettings
) -> RolloutDecision:
    """Compare the health of a new version with that of the old one.

    The age of the new version is in seconds since it was first ready.
    """
    failure_rise = new.failure_share - old.failure_share
    if new.failed >= settings.min_failures and failure_rise > settings.max_failure_rise:
        return Halt(
            f"{new.failure_share:.1%} of requests fail, "
            f"{old.failure_share:.1%} on the old version"
        )
    enough_requests = new.finished >= settings.min_finished
    if enough_requests and old.finished >= settings.min_finished:
        bound = (
            old.mean_first_token * settings.max_first_token_factor
            + settings.first_token_slack
        )
        if new.mean_first_token > bound:
            return Halt(
                f"time to first token {new.mean_first_token:.3f} s, "
                f"{old.mean_first_token:.3f} s on the old version"
            )
    if enough_requests or age >= settings.quiet:
        return Proceed()
    return Hold()


class RolloutState(t.NamedTuple):
    """The progress of a model version's roll-out."""

    model: str
    version: str
    done: int
    total: int
    state: str  # complete, rolling, waiting or halted
    cause: str = ""
