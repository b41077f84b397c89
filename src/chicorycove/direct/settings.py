"""Settings of a direct entry."""

import dataclasses

from ..health import HealthSettings
from .budget import BudgetSettings
from .placement import PlacementSettings

frozen = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


@frozen
class PatienceSettings:
    """How long a silent target is waited for; times are in seconds."""

    connect: float = 0.3  # a link's delays and a full accept queue's first drop
    first_factor: float = 2.5  # times the first event's prediction
    first_extra: float = 0.4  # more, for what is not predicted
    gap_factor: float = 3.0  # times the predicted pass
    gap_least: float = 0.6  # callers leave after 2 s, and a rerun takes time too
    gap_most: float = 1.4  # for a target that is silent but accepts connections
    call_share: float = 0.6  # of a repeatable call's objective
    suspicion: float = 1.5  # that a target is avoided after a failed connection


@frozen
class DirectSettings:
    """What a direct entry decides by; times are in seconds."""

    placement: PlacementSettings = PlacementSettings()
    patience: PatienceSettings = PatienceSettings()
    budget: BudgetSettings = BudgetSettings()
    health: HealthSettings = HealthSettings(
        failures=3, ejection_base=2.0, ejection_cap=8.0
    )
    lapse: float = 1.8  # until a target that lapsed with the store is gone
    peer_silence: float = 2.5  # after which a peer's work is forgotten
    stop_accepting: float = 2.5  # after a stop signal; callers keep coming till then
    least_time: float = 0.02  # before a deadline, under which nothing is sent
    tokens_per_value: float = 10_000.0  # of a prompt that is worth one call more
    retry_after_no_target: float = 1.0  # a lapsed target is back within 2 s
