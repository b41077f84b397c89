"""Settings of a direct entry."""

import dataclasses

from ..health import HealthSettings
from .budget import BudgetSettings
from .placement import PlacementSettings

frozen = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


@frozen
class TimeoutSettings:
    """How long a silent target is waited for; times are in seconds."""

    connect: float = 0.3  # a link's delays and a full accept queue's first drop
    overdue: float = 0.5  # past a prediction: callers leave after 2 s of silence
    overdue_share: float = 0.3  # more, of the time predicted
    overdue_tries: float = 2.2  # times that, until a target is given up
    call_share: float = 0.6  # of a repeatable call's objective
    suspicion: float = 1.5  # that a target is avoided after a failed connection


@frozen
class ReservationSettings:
    """Leases of engine memory; times are in seconds."""

    hold: float = 3.0  # under the 4 s in which freed memory must be free
    renewal: float = 1.0  # so that two renewals may be lost
    answer: float = 0.4  # until an order without an answer counts as refused
    tries: int = 3  # groups that are tried for a request


def peer_update_interval(settings: "DirectSettings", entries: int) -> float:
    """Return the seconds between full accounts among some entries."""
    return max(settings.account_least, settings.account_per_peer * entries)


def peer_timeout(settings: "DirectSettings", entries: int) -> float:
    """Return the seconds of silence after which an entry's work is gone."""
    return settings.silent_accounts * peer_update_interval(settings, entries)


@frozen
class DirectSettings:
    """What a direct entry decides by; times are in seconds."""

    placement: PlacementSettings = PlacementSettings()
    patience: TimeoutSettings = TimeoutSettings()
    reservation: ReservationSettings = ReservationSettings()
    budget: BudgetSettings = BudgetSettings()
    health: HealthSettings = HealthSettings(
        failures=3, ejection_base=2.0, ejection_cap=8.0
    )
    lapse: float = 1.8  # until a target that lapsed with the store is gone
    account_least: float = 0.25  # between full accounts of work to peers
    account_per_peer: float = 0.02  # more, so that many entries do not flood
    behind: float = 1.0  # that a peer may have seen more: three pauses of a watch
    silent_accounts: float = 3.2  # missed before a peer's work is forgotten
    stop_accepting: float = 2.5  # after a stop signal, in which all is taken
    stop_finish: float = 7.5  # after it, by which what is taken later must end
    stop_slack: float = 2.0  # times a full pass: passes read beside their writing
    least_time: float = 0.02  # before a deadline, under which nothing is sent
    targets: int = 96  # of a service, to choose among: 8 ms for a long prompt
    tokens_per_value: float = 10_000.0  # of a prompt that is worth one call more
    retry_after_no_target: float = 1.0  # a lapsed target is back within 2 s
    retry_after_budget: float = 0.5  # a twentieth of the window that it slides by
