"""Settings of a direct entry."""

import dataclasses

from ..health import HealthSettings
from .budget import BudgetSettings
from .placement import PlacementSettings

frozen = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


@frozen
class TimeoutSettings:
    """How long a silent target is waited for; times are in seconds."""

    connect_timeout: float = 0.3  # a link's delays and a full accept queue's first drop
    overdue_margin: float = 0.5  # past a prediction: callers leave after 2 s of silence
    overdue_margin_share: float = 0.3  # more, of the time predicted
    timeout_factor: float = 2.2  # times that, until a target is given up
    call_timeout_share: float = 0.6  # of a repeatable call's objective
    suspicion_time: float = 1.5  # that a target is avoided after a failed connection


@frozen
class ReservationSettings:
    """Leases of engine memory; times are in seconds."""

    lease_duration: float = 3.0  # under the 4 s in which freed memory must be free
    renewal_interval: float = 1.0  # so that two renewals may be lost
    answer_timeout: float = 0.4  # until an order without an answer counts as refused
    max_groups: int = 3  # groups that are tried for a request


def peer_update_interval(settings: "DirectSettings", entries: int) -> float:
    """Return the seconds between full accounts among some entries."""
    return max(
        settings.min_peer_update_interval,
        settings.peer_update_interval_per_peer * entries,
    )


def peer_timeout(settings: "DirectSettings", entries: int) -> float:
    """Return the seconds of silence after which an entry's work is gone."""
    return settings.missed_peer_updates * peer_update_interval(settings, entries)


@frozen
class DirectSettings:
    """What a direct entry decides by; times are in seconds."""

    placement: PlacementSettings = PlacementSettings()
    timeouts: TimeoutSettings = TimeoutSettings()
    reservation: ReservationSettings = ReservationSettings()
    budget: BudgetSettings = BudgetSettings()
    health: HealthSettings = HealthSettings(
        failures=3, ejection_base=2.0, ejection_cap=8.0
    )
    lapse_grace: float = 1.8  # until a target that lapsed with the store is gone
    min_peer_update_interval: float = 0.25  # between full accounts of work to peers
    # More, so that many entries do not flood.
    peer_update_interval_per_peer: float = 0.02
    # That a peer may have seen more: three pauses of a watch.
    store_lag_tolerance: float = 1.0
    missed_peer_updates: float = 3.2  # missed before a peer's work is forgotten
    stop_accept_time: float = 2.5  # after a stop signal, in which all is taken
    stop_finish_time: float = 7.5  # after it, by which what is taken later must end
    # Times a full pass: passes read beside their writing.
    stop_duration_factor: float = 2.0
    min_send_time: float = 0.02  # before a deadline, under which nothing is sent
    max_targets: int = 96  # of a service, to choose among: 8 ms for a long prompt
    tokens_per_value: float = 10_000.0  # of a prompt that is worth one call more
    retry_after_no_target: float = 1.0  # a lapsed target is back within 2 s
    retry_after_budget: float = 0.5  # a twentieth of the window that it slides by
