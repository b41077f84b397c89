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


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Kind:
    """A kind of prompt; times are in seconds, spreads are of log-normals."""

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
        size = 1 - SIZE_SHARE + SIZE_SHARE * self.tokens / self.kind.tokens
        return self.kind.value * min(size, SIZE_MOST)


def arrivals(seed: int, fleet: Fleet, rate: float) -> list[Arrival]:
    """Return a seed's arrivals in order, at some times the sheet's rate."""
    rng = random.Random(seed)
    found = []
    for number, kind in enumerate(fleet.kinds):
        now = 0.0
        begun = 0.0
        for phase in PHASES:
            pace = kind.rate * phase.factors[number] * rate
            now = begun
            while (now := now + rng.expovariate(pace)) < begun + phase.seconds:
                entry = rng.randrange(fleet.entries)
                tokens = min(_draw(rng, kind.tokens, kind.spread), kind.most)
                events = _draw(rng, kind.events, EVENTS_SPREAD)
                events = min(events, int(EVENTS_MOST * kind.events))
                found.append(Arrival(now, kind, tokens, events, entry))
            begun += phase.seconds
    return sorted(found, key=lambda arrival: arrival.at)


def _draw(rng: random.Random, mean: float, spread: float) -> int:
    value = rng.lognormvariate(math.log(mean) - spread * spread / 2, spread)
    return max(1, round(value))
