"""Defines the metrics of a process, and renders them for Prometheus."""

import dataclasses

import prometheus_client

from .reason import Reason
from .verdict import Verdict

# Leaves out the series with creation times, which nothing reads.
prometheus_client.disable_created_metrics()

# Upper bounds of histogram buckets, in seconds.
TIME_BUCKETS = (0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 300, 1800)

# Upper bounds of the classes of prompt lengths, in tokens.
LENGTH_CLASSES = (1_000, 8_000, 64_000, 256_000, 1_000_000)


@dataclasses.dataclass(frozen=True, slots=True)
class Instrument:
    """The name, description, labels and unit of a metric."""

    name: str
    description: str
    labels: tuple[str, ...]
    unit: str = ""


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
    "seconds",
)
ANSWER_TIME = Instrument(
    "chicorycove_answer_time",
    "From arrival to the end of a whole answer",
    ("class",),
    "seconds",
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
    """The metrics of one process; times are in seconds."""

    def __init__(self, name: str) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        process = prometheus_client.Info(
            "chicorycove_process", "The process", registry=self._registry
        )
        process.info({"name": name})
        self._requests = self._counter(REQUESTS)
        self._answers = self._counter(ANSWERS)
        self._refusals = self._counter(REFUSALS)
        self._retries = self._counter(RETRIES)
        self._drops = self._counter(DROPS)
        self._attempts = self._counter(ATTEMPTS)
        self._first_token = self._histogram(FIRST_TOKEN)
        self._answer_time = self._histogram(ANSWER_TIME)

    def page(self) -> bytes:
        """Return the metrics in Prometheus's text format."""
        return prometheus_client.generate_latest(self._registry)

    def arrived(self, priority_class: str) -> None:
        """Count an authenticated and complete request."""
        self._requests.labels(priority_class).inc()

    def answered(self, priority_class: str) -> None:
        """Count a complete answer."""
        self._answers.labels(priority_class).inc()

    def answer_time(self, seconds: float, priority_class: str) -> None:
        """Record the time to the end of a complete answer."""
        self._answer_time.labels(priority_class).observe(seconds)

    def refused(self, reason: Reason, verdict: Verdict) -> None:
        """Count a request that ended without a complete answer."""
        self._refusals.labels(reason.value, verdict.value).inc()

    def retried(self, reason: Reason) -> None:
        """Count a retry of a failed attempt, by reason."""
        self._retries.labels(reason.value).inc()

    def dropped(self, kind: str) -> None:
        """Count a message that was dropped as delayed or out of order."""
        self._drops.labels(kind).inc()

    def decided(self, outcome: str) -> None:
        """Count an agent's decision on an attempt."""
        self._attempts.labels(outcome).inc()

    def first_token(self, seconds: float, tokens: int) -> None:
        """Record a time to first token, by prompt length."""
        self._first_token.labels(length_class(tokens)).observe(seconds)

    def _counter(self, instrument: Instrument) -> prometheus_client.Counter:
        return prometheus_client.Counter(
            instrument.name,
            instrument.description,
            instrument.labels,
            registry=self._registry,
        )

    def _histogram(self, instrument: Instrument) -> prometheus_client.Histogram:
        return prometheus_client.Histogram(
            instrument.name,
            instrument.description,
            instrument.labels,
            unit=instrument.unit,
            buckets=TIME_BUCKETS,
            registry=self._registry,
        )


def length_class(tokens: int) -> str:
    """Return the class of a prompt length, named by its upper bound."""
    for bound in LENGTH_CLASSES:
        if tokens <= bound:
            return str(bound)
    return "over"
