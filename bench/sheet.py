"""The users' sheets: engines, fleets, and what is asked of them."""

import dataclasses
import math
import random

from chicorycove.direct.engine import EngineProfile

# The engines of the users' sheets.
ENGINE = EngineProfile(
    slots=8,
    memory=450_000,
    step_time=0.000925,
    time_per_sequence=0.00000966,
    time_per_context_token=0.00254 / 1e6,
    prefill_rate=256_000.0,
    time_per_token_pair=0.0917 / 1e9,
    chunk_tokens=2048,
    steps_per_pass=46,
    group_step_delay=0.0001,
)


# The engines of the deployments with cold starts and with scarce capacity
# (docs/uneven-load.md).  What the page leaves open is as above.
COLD_STARTS_ENGINE = dataclasses.replace(
    ENGINE,
    slots=6,
    memory=197_200,
    step_time=0.00102,
    prefill_rate=206_000.0,
    steps_per_pass=48,
)
SCARCE_ENGINE = dataclasses.replace(
    ENGINE,
    slots=6,
    memory=267_750,
    step_time=0.00085,
    prefill_rate=177_000.0,
    steps_per_pass=57,
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Kind:
    """A kind of request; times are in seconds, spreads are of log-normals.

    A kind without tokens is a plain call, which no engine answers.
    """

    name: str
    rate: float  # a second
    tokens: float  # mean
    most: int  # tokens
    spread: float
    events: float  # mean
    value: float
    late_value: float
    objective: float
    max_gap: float
    timeout: float
    repeatable: bool = True  # may run more than once, or be resumed

    @property
    def is_call(self) -> bool:
        """Tell whether this is a plain call."""
        return not self.tokens


@dataclasses.dataclass(frozen=True, slots=True)
class Phase:
    """A stretch of a load, with a factor for the rate of each kind."""

    seconds: float
    factors: tuple[float, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Fleet:
    """Entries, targets and what is asked of them; memory is in tokens."""

    entries: int
    targets: int
    slots: int
    memory: int
    kinds: tuple[Kind, ...]
    failure_domains: int = 3
    steps_per_pass: int = 46
    link_delay: float = 0.0015  # seconds one way, including the processes' time
    domain_delay: float = 0.0  # added one way between failure domains
    profile: EngineProfile = ENGINE
    plain_targets: int = 0  # targets that answer calls
    phases: tuple[Phase, ...] = ()  # PHASES if empty
    swing: float = 0.0  # amplitude of the demand, as a share of it
    swing_period: float = 1.0  # seconds
    repeats: int = 0  # times that a caller repeats what was not answered

    @property
    def engine(self) -> EngineProfile:
        """Return the profile of the fleet's engines."""
        return dataclasses.replace(
            self.profile,
            slots=self.slots,
            memory=self.memory,
            steps_per_pass=self.steps_per_pass,
        )


_SHORT = Kind(
    name="short",
    rate=19.8,
    tokens=5_000,
    most=23_800,
    spread=0.77,
    events=35,
    value=1.3,
    late_value=0.33,
    objective=0.3,
    max_gap=0.2,
    timeout=10.0,
)
_MEDIUM = Kind(
    name="medium",
    rate=1.44,
    tokens=45_000,
    most=110_000,
    spread=0.47,
    events=21,
    value=3.1,
    late_value=0.79,
    objective=1.5,
    max_gap=0.5,
    timeout=10.0,
)
_LONG = Kind(
    name="long",
    rate=0.595,
    tokens=210_000,
    most=1_000_000,
    spread=0.51,
    events=17,
    value=22.0,
    late_value=5.4,
    objective=3.0,
    max_gap=0.8,
    timeout=15.0,
)

_CALL = Kind(
    name="unsafe call",
    rate=6.09,
    tokens=0,
    most=0,
    spread=0.0,
    events=1,
    value=1.0,
    late_value=0.3,
    objective=0.27,
    max_gap=math.inf,
    timeout=2.7,
    repeatable=False,
)

# The mould makers' sheets: of today, grown and large.
FLEETS = {
    "today": Fleet(
        entries=5,
        targets=18,
        slots=8,
        memory=450_000,
        kinds=(_SHORT, _MEDIUM, _LONG),
    ),
    "grown": Fleet(
        entries=22,
        targets=60,
        slots=6,
        memory=382_500,
        kinds=(
            dataclasses.replace(_SHORT, rate=51.0, objective=0.321),
            dataclasses.replace(_MEDIUM, rate=4.69, objective=1.532),
            dataclasses.replace(
                _LONG,
                rate=1.38,
                tokens=300_000,
                value=30.0,
                late_value=7.5,
                objective=4.055,
            ),
        ),
    ),
    "large": Fleet(
        entries=68,
        targets=150,
        slots=5,
        memory=450_000,
        kinds=(
            dataclasses.replace(
                _SHORT,
                rate=108.0,
                events=24,
                value=1.4,
                late_value=0.34,
                objective=0.321,
                max_gap=0.25,
            ),
            dataclasses.replace(
                _MEDIUM,
                rate=11.6,
                events=15,
                value=2.3,
                late_value=0.58,
                objective=1.532,
                max_gap=0.6,
            ),
            dataclasses.replace(
                _LONG,
                rate=2.66,
                tokens=300_000,
                events=12,
                value=26.0,
                late_value=6.6,
                objective=4.055,
                max_gap=1.0,
            ),
        ),
        failure_domains=5,
        steps_per_pass=73,
        link_delay=0.0019,
    ),
    "cold-starts": Fleet(
        entries=29,
        targets=60,
        slots=6,
        memory=197_200,
        kinds=(
            dataclasses.replace(
                _SHORT,
                rate=37.4,
                spread=0.9,
                events=31,
                value=1.8,
                late_value=0.18,
                objective=0.271,
                max_gap=0.25,
                timeout=10.821,
            ),
            dataclasses.replace(
                _MEDIUM,
                rate=4.42,
                tokens=45_040,
                spread=0.5,
                events=18,
                value=2.4,
                late_value=0.61,
                objective=1.532,
                max_gap=0.6,
                timeout=10.215,
            ),
            dataclasses.replace(
                _LONG,
                rate=1.57,
                tokens=190_040,
                most=600_000,
                spread=0.55,
                events=15,
                value=7.3,
                late_value=2.8,
                objective=6.055,
                max_gap=1.0,
                timeout=15.138,
            ),
            _CALL,
            dataclasses.replace(
                _CALL,
                name="safe call",
                rate=1.41,
                objective=0.219,
                timeout=2.742,
                repeatable=True,
            ),
        ),
        steps_per_pass=48,
        link_delay=0.001,
        domain_delay=0.0005,
        profile=COLD_STARTS_ENGINE,
        plain_targets=3,
        # Bursts of long prompts, then of short ones, twice.
        phases=2
        * (
            Phase(6.0, (1.0, 1.0, 2.35, 1.0, 1.0)),
            Phase(3.5, (1.65, 1.0, 1.0, 1.0, 1.0)),
            Phase(4.5, (1.0, 1.0, 1.0, 1.0, 1.0)),
        ),
        repeats=1,
    ),
    # The page gives no spreads here; they are those of the fleet above.
    "scarce": Fleet(
        entries=33,
        targets=60,
        slots=6,
        memory=267_750,
        kinds=(
            dataclasses.replace(
                _SHORT,
                rate=42.5,
                spread=0.9,
                events=32,
                objective=0.33,
                max_gap=0.25,
                timeout=11.006,
            ),
            dataclasses.replace(
                _MEDIUM,
                rate=2.70,
                tokens=45_040,
                spread=0.5,
                events=19,
                value=3.5,
                late_value=0.88,
                objective=1.547,
                max_gap=0.6,
                timeout=10.313,
            ),
            dataclasses.replace(
                _LONG,
                rate=1.16,
                tokens=220_040,
                most=600_000,
                spread=0.55,
                events=16,
                value=29.0,
                late_value=7.4,
                objective=4.081,
                max_gap=1.0,
                timeout=15.305,
            ),
            dataclasses.replace(_CALL, rate=3.95, objective=0.279, timeout=2.795),
            dataclasses.replace(
                _CALL,
                name="safe call",
                rate=1.58,
                objective=0.228,
                timeout=2.856,
                repeatable=True,
            ),
        ),
        steps_per_pass=57,
        link_delay=0.001,
        domain_delay=0.0014,
        profile=SCARCE_ENGINE,
        plain_targets=3,
        phases=(
            Phase(9.5, (0.35, 1.0, 2.8, 1.0, 1.0)),
            Phase(9.5, (2.45, 0.5, 0.05, 1.0, 1.0)),
            Phase(9.5, (0.35, 1.0, 2.8, 1.0, 1.0)),
        ),
        swing=0.55,
        swing_period=17.0,
        repeats=1,
    ),
}

# The bursts of their heaviest days: long prompts, then short ones, then long.
PHASES = (
    Phase(9.5, (0.36, 1.3, 2.7)),
    Phase(9.5, (2.5, 0.5, 0.05)),
    Phase(9.5, (0.36, 1.3, 2.7)),
)
EVENTS_SPREAD = 0.6
EVENTS_MOST = 2.5  # times the mean
SIZE_SHARE = 0.7  # of a request's value, that goes with its prompt's length
SIZE_MOST = 4.0  # times its kind's value
# The failure domain with more callers or fewer targets, or that is cut off.
ODD_DOMAIN = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """A load, and what befalls one failure domain; times are in seconds."""

    rate: float = 1.0  # times the sheet's
    demand: float = 1.0  # of the odd domain's callers, times that of others
    target_share: float = 1.0  # part of the odd domain's targets that is there
    cut_from: float = math.inf  # the odd domain and the others are apart
    cut_until: float = math.inf

    def is_cut(self, now: float) -> bool:
        """Tell whether the odd domain is cut off from the others."""
        return self.cut_from <= now < self.cut_until


SCENARIOS = {
    "even": Scenario(),
    "few-targets": Scenario(target_share=0.4),
    "double-demand": Scenario(rate=4 / 3, demand=2.0),
    "all-full": Scenario(rate=2.0),
    "cut-off": Scenario(cut_from=5.0, cut_until=20.0),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A prompt as a caller sends it; the time is in seconds."""

    at: float
    kind: Kind
    tokens: int
    events: int
    entry: int

    @property
    def value(self) -> float:
        """Return what an answer in time is worth."""
        if self.kind.is_call:
            return self.kind.value
        size = 1 - SIZE_SHARE + SIZE_SHARE * self.tokens / self.kind.tokens
        return self.kind.value * min(size, SIZE_MOST)


def phases_of(fleet: Fleet) -> tuple[Phase, ...]:
    """Return the bursts of a fleet's heaviest days."""
    return fleet.phases or PHASES


def arrivals(
    seed: int, fleet: Fleet, rate: float, scenario: Scenario = SCENARIOS["even"]
) -> list[Arrival]:
    """Return a seed's arrivals in order, at some times the sheet's rate."""
    rng = random.Random(seed)
    found = []
    for number, kind in enumerate(fleet.kinds):
        now = 0.0
        begun = 0.0
        for phase in phases_of(fleet):
            pace = kind.rate * phase.factors[number] * rate * scenario.rate
            pace *= 1 + fleet.swing  # the peak, of which arrivals are left out
            now = begun
            while (now := now + rng.expovariate(pace)) < begun + phase.seconds:
                if fleet.swing and rng.random() >= _demand(fleet, now):
                    continue
                entry = _draw_entry(rng, fleet, scenario)
                if kind.is_call:
                    found.append(Arrival(now, kind, 0, 1, entry))
                    continue
                tokens = min(_draw(rng, kind.tokens, kind.spread), kind.most)
                events = _draw(rng, kind.events, EVENTS_SPREAD)
                events = min(events, int(EVENTS_MOST * kind.events))
                found.append(Arrival(now, kind, tokens, events, entry))
            begun += phase.seconds
    return sorted(found, key=lambda arrival: arrival.at)


def _demand(fleet: Fleet, now: float) -> float:
    """Return the demand at a time as a share of its peak."""
    wave = fleet.swing * math.sin(math.tau * now / fleet.swing_period)
    return (1 + wave) / (1 + fleet.swing)


def _draw_entry(rng: random.Random, fleet: Fleet, scenario: Scenario) -> int:
    if scenario.demand == 1.0:
        return rng.randrange(fleet.entries)
    entries = range(fleet.entries)
    weights = [
        scenario.demand if n % fleet.failure_domains == ODD_DOMAIN else 1.0
        for n in entries
    ]
    return rng.choices(entries, weights)[0]


def _draw(rng: random.Random, mean: float, spread: float) -> int:
    value = rng.lognormvariate(math.log(mean) - spread * spread / 2, spread)
    return max(1, round(value))
