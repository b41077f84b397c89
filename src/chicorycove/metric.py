"""The instruments of a process, and their Prometheus page."""

import dataclasses

import prometheus_client
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import Counter, Histogram, Meter
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from opentelemetry.sdk.resources import Resource

from .reason import Reason
from .verdict import Verdict

# Upper bounds of buckets, in seconds.
TIME_BUCKETS = (0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 300, 1800)

# Upper bounds of the classes of prompts, in tokens.
LENGTH_CLASSES = (1_000, 8_000, 64_000, 256_000, 1_000_000)


@dataclasses.dataclass(frozen=True, slots=True)
class Instrument:
    """One instrument's name and meaning."""

    name: str
    description: str
    labels: tuple[str, ...]
    unit: str = "1"


REQUESTS = Instrument(
    "chicorycove_requests", "Requests authenticated and read whole", ("class",)
)
ANSWERS = Instrument("chicorycove_answers", "Requests answered whole", ("class",))
REFUSALS = Instrument(
    "chicorycove_refusals", "Requests ended by a reason", ("reason", "verdict")
)
RETRIES = Instrument(
    "chicorycove_retries", "Attempts made again, by reason", ("reason",)
)
DROPS = Instrument("chicorycove_drops", "Late or crossed messages dropped", ("kind",))
ATTEMPTS = Instrument(
    "chicorycove_attempts", "Attempts that an agent decided on", ("outcome",)
)
FIRST_TOKEN = Instrument(
    "chicorycove_time_to_first_token",
    "From arrival to the first byte",
    ("length",),
    "s",
)
ANSWER_TIME = Instrument(
    "chicorycove_answer_time",
    "From arrival to the end of a whole answer",
    ("class",),
    "s",
)

INSTRUMENTS = (
    REQUESTS,
    ANSWERS,
    REFUSALS,
    RETRIES,
    DROPS,
    ATTEMPTS,
    FIRST_TOKEN,
    ANSWER_TIME,
)


class Metrics:
    """The instruments of one process; times are in seconds."""

    def __init__(self, name: str) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        reader = PrometheusMetricReader(registry=self._registry)
        views = [
            View(
                instrument_name=instrument.name,
                aggregation=ExplicitBucketHistogramAggregation(TIME_BUCKETS),
            )
            for instrument in (FIRST_TOKEN, ANSWER_TIME)
        ]
        self._provider = MeterProvider(
            [reader], Resource({"service.name": name}), views=views
        )
        meter = self._provider.get_meter("chicorycove")
        self._requests = _counter(meter, REQUESTS)
        self._answers = _counter(meter, ANSWERS)
        self._refusals = _counter(meter, REFUSALS)
        self._retries = _counter(meter, RETRIES)
        self._drops = _counter(meter, DROPS)
        self._attempts = _counter(meter, ATTEMPTS)
        self._first_token = _histogram(meter, FIRST_TOKEN)
        self._answer_time = _histogram(meter, ANSWER_TIME)

    def page(self) -> bytes:
        """Return the instruments in Prometheus's text format."""
        return prometheus_client.generate_latest(self._registry)

    def arrived(self, priority_class: str) -> None:
        """Count a request."""
        self._requests.add(1, {"class": priority_class})

    def answered(self, priority_class: str) -> None:
        """Count a whole answer."""
        self._answers.add(1, {"class": priority_class})

    def answer_time(self, seconds: float, priority_class: str) -> None:
        """Record the time to the end of a whole answer."""
        self._answer_time.record(seconds, {"class": priority_class})

    def refused(self, reason: Reason, verdict: Verdict) -> None:
        """Count a request that ended without its answer."""
        self._refusals.add(1, {"reason": reason.value, "verdict": verdict.value})

    def retried(self, reason: Reason) -> None:
        """Count an attempt that is made again."""
        self._retries.add(1, {"reason": reason.value})

    def dropped(self, kind: str) -> None:
        """Count a late or crossed message."""
        self._drops.add(1, {"kind": kind})

    def decided(self, outcome: str) -> None:
        """Count an agent's decision on an attempt."""
        self._attempts.add(1, {"outcome": outcome})

    def first_token(self, seconds: float, tokens: int) -> None:
        """Record a time to first token, by the prompt's length."""
        self._first_token.record(seconds, {"length": length_class(tokens)})


def length_class(tokens: int) -> str:
    """Return the class of a prompt's length, named by its upper bound."""
    for bound in LENGTH_CLASSES:
        if tokens <= bound:
            return str(bound)
    return "over"


def _counter(meter: Meter, instrument: Instrument) -> Counter:
    return meter.create_counter(
        instrument.name, instrument.unit, instrument.description
    )


def _histogram(meter: Meter, instrument: Instrument) -> Histogram:
    return meter.create_histogram(
        instrument.name, instrument.unit, instrument.description
    )
