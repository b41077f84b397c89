"""Settings of a direct entry."""

import dataclasses

from ..health import HealthSettings
from .budget import BudgetSettings
from .caller_buffers import CallerBufferSettings
from .cold_start import ColdStartSettings
from .domain_cost import DomainCostSettings
from .evacuation import EvacuationSettings
from .failure_evidence import FailureEvidenceSettings
from .placement import PlacementSettings
from .quarantine import QuarantineSettings
from .store_relay import RelaySettings
from .target_limits import TargetLimitSettings
from .target_pace import TargetPaceSettings

frozen = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


@frozen
class TimeoutSettings:
    """Timeouts for unresponsive targets; times are in seconds."""

    # Covers a link's delays and the first drop by a full accept queue.
    connect_timeout: float = 0.3
    # Time past its prediction after which progress is overdue.  Callers
    # disconnect after 2 s without data.
    overdue_margin: float = 0.5
    # Share of the predicted duration that is added to the margin.
    overdue_margin_share: float = 0.3
    timeout_factor: float = 2.2  # an attempt times out after this many margins
    call_timeout_share: float = 0.6  # share of a repeatable call's objective
    suspicion_time: float = 1.5  # a target is avoided after a failed connection


@frozen
class ReservationSettings:
    """Leases of reserved engine memory; times are in seconds."""

    lease_duration: float = 3.0  # below the 4 s in which memory must be freed
    renewal_interval: float = 1.0  # allows the loss of two renewals
    answer_timeout: float = 0.4  # an order without an answer then counts as refused
    max_groups: int = 3  # groups that are tried for one request


def peer_update_interval(settings: "DirectSettings", entry_count: int) -> float:
    """Return the seconds between full updates to a number of peers."""
    return max(
        settings.min_peer_update_interval,
        settings.peer_update_interval_per_peer * entry_count,
    )


def peer_timeout(settings: "DirectSettings", entry_count: int) -> float:
    """Return the seconds without updates until a peer's work is dropped."""
    return settings.missed_peer_updates * peer_update_interval(settings, entry_count)


@frozen
class DirectSettings:
    """Settings of a direct entry's decisions; times are in seconds."""

    placement: PlacementSettings = PlacementSettings()
    domain_cost: DomainCostSettings = DomainCostSettings()
    timeouts: TimeoutSettings = TimeoutSettings()
    reservation: ReservationSettings = ReservationSettings()
    budget: BudgetSettings = BudgetSettings()
    relay: RelaySettings = RelaySettings()
    target_limits: TargetLimitSettings = TargetLimitSettings()
    target_pace: TargetPaceSettings = TargetPaceSettings()
    quarantine: QuarantineSettings = QuarantineSettings()
    cold_start: ColdStartSettings = ColdStartSettings()
    evacuation: EvacuationSettings = EvacuationSettings()
    caller_buffers: CallerBufferSettings = CallerBufferSettings()
    health: HealthSettings = HealthSettings(
        failures=3, ejection_base=2.0, ejection_cap=8.0
    )
    failure_evidence: FailureEvidenceSettings = FailureEvidenceSettings()
    # Time until a target that lapsed while the store was unavailable is
    # removed.
    lapse_grace: float = 1.8
    min_peer_update_interval: float = 0.25  # shortest time between full updates
    # Time that each peer adds to the interval, so that updates do not flood.
    peer_update_interval_per_peer: float = 0.02
    # Time after which new work is reported to peers once more: the next full
    # update comes long after a prompt has been prefilled.
    work_repeat_delay: float = 0.04
    # Time that a peer may be ahead: three pauses of a watch.
    store_lag_tolerance: float = 1.0
    missed_peer_updates: float = 3.2  # updates missed until a peer's work is dropped
    # Time after a stop signal during which every request is accepted.
    stop_accept_time: float = 2.5
    # Time after a stop signal by which requests accepted later must end.
    stop_finish_time: float = 7.5
    # Passes take longer than decoding alone, as they also prefill.
    stop_duration_factor: float = 2.0
    min_send_time: float = 0.02  # time to the deadline below which nothing is sent
    # Targets of a service to choose among: 96 take 8 ms for a long prompt.
    max_targets: int = 96
    # Number of tokens by which a prompt's value grows by that of one call.
    tokens_per_value: float = 10_000.0
    retry_after_no_target: float = 1.0  # a lapsed target is listed again within 2 s
    retry_after_budget: float = 0.5  # a twentieth of the budget's sliding window
