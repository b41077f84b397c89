"""Defines the metrics of a process, and renders them for Prometheus."""

import bisect
import dataclasses
import itertools
import typing as t

from .reason import Reason
from .verdict import Verdict

if t.TYPE_CHECKING:
    import prometheus_client

Labels = tuple[str, ...]  # values, in the order of an instrument's labels

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
    unit: str = ""  # of a histogram
    gauge: bool = False


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
TARGET_CHANGES = Instrument(
    "chicorycove_target_changes",
    "Changes of what a direct entry finds a target to be",
    ("state",),
)
EJECTIONS = Instrument(
    "chicorycove_target_ejections",
    "Ejections of failing targets by a direct entry, by whose evidence",
    ("evidence",),
)
LEFT_DOMAIN = Instrument(
    "chicorycove_sent_outside_domain",
    "Attempts sent to another failure domain",
    ("cause",),
)
HELD_BYTES = Instrument(
    "chicorycove_held_bytes",
    "Bytes that a direct entry holds for its callers",
    (),
    gauge=True,
)
BUFFER_ENDS = Instrument(
    "chicorycove_buffer_ends",
    "Callers' connections ended since they held most as the bound was exceeded",
    ("content",),
)
DROPPED_LOG_LINES = Instrument(
    "chicorycove_dropped_log_lines",
    "Log lines of a direct entry that could not be written",
    (),
)
STORE_VIEW_AGE = Instrument(
    "chicorycove_store_view_age_seconds",
    "Time since a direct entry last knew everything in the platform's store",
    (),
    gauge=True,
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
EVACUATED_DOMAINS = Instrument(
    "chicorycove_evacuated_domains",
    "Whether a failure domain is evacuated, from its first evacuation on",
    ("failure_domain",),
    gauge=True,
)
EVACUATED_DOMAIN_REQUESTS = Instrument(
    "chicorycove_evacuated_domain_requests",
    "Requests of this entry with a target in an evacuated failure domain",
    ("failure_domain",),
    gauge=True,
)

INSTRUMENTS = (
    REQUESTS,
    ANSWERS,
    REFUSALS,
    RETRIES,
    DROPS,
    ATTEMPTS,
    TARGET_CHANGES,
    EJECTIONS,
    LEFT_DOMAIN,
    HELD_BYTES,
    BUFFER_ENDS,
    DROPPED_LOG_LINES,
    STORE_VIEW_AGE,
    FIRST_TOKEN,
    ANSWER_TIME,
    EVACUATED_DOMAINS,
    EVACUATED_DOMAIN_REQUESTS,
)


class Metrics:
    """The metrics of one process; times are in seconds."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._counters: dict[Instrument, dict[Labels, int]] = {
            instrument: {}
            for instrument in INSTRUMENTS
            if not instrument.unit and not instrument.gauge
        }
        self._gauges: dict[Instrument, dict[Labels, int]] = {
            instrument: {} for instrument in INSTRUMENTS if instrument.gauge
        }
        self._histograms: dict[Instrument, dict[Labels, _Histogram]] = {
            instrument: {} for instrument in INSTRUMENTS if instrument.unit
        }

    def page(self) -> bytes:
        """Return the metrics in Prometheus's text format."""
        # Imported on first use, so that it does not delay the start.
        import prometheus_client

        registry = prometheus_client.CollectorRegistry()
        registry.register(self)
        return prometheus_client.generate_latest(registry)

    def collect(self) -> "t.Iterator[prometheus_client.Metric]":
        """Yield the metrics in the form of Prometheus's library."""
        from prometheus_client import core

        process = core.InfoMetricFamily("chicorycove_process", "The process")
        process.add_metric((), {"name": self._name})
        yield process
        for instrument, counts in self._counters.items():
            counter = core.CounterMetricFamily(
                instrument.name, instrument.description, labels=instrument.labels
            )
            for labels, count in counts.items():
                counter.add_metric(labels, count)
            yield counter
        for instrument, values in self._gauges.items():
            gauge = core.GaugeMetricFamily(
                instrument.name, instrument.description, labels=instrument.labels
            )
            for labels, value in values.items():
                gauge.add_metric(labels, value)
            yield gauge
        for instrument, histograms in self._histograms.items():
            family = core.HistogramMetricFamily(
                instrument.name,
                instrument.description,
                labels=instrument.labels,
                unit=instrument.unit,
            )
            for labels, histogram in histograms.items():
                family.add_metric(labels, histogram.buckets(), histogram.sum)
            yield family

    def arrived(self, priority_class: str) -> None:
        """Count an authenticated and complete request."""
        self._count(REQUESTS, priority_class)

    def answered(self, priority_class: str) -> None:
        """Count a complete answer."""
        self._count(ANSWERS, priority_class)

    def answer_time(self, seconds: float, priority_class: str) -> None:
        """Record the time to the end of a complete answer."""
        self._observe(ANSWER_TIME, seconds, priority_class)

    def refused(self, reason: Reason, verdict: Verdict) -> None:
        """Count a request that ended without a complete answer."""
        self._count(REFUSALS, reason.value, verdict.value)

    def retried(self, reason: Reason) -> None:
        """Count a retry of a failed attempt, by reason."""
        self._count(RETRIES, reason.value)

    def dropped(self, kind: str) -> None:
        """Count a message that was dropped as delayed or out of order."""
        self._count(DROPS, kind)

    def decided(self, outcome: str) -> None:
        """Count an agent's decision on an attempt."""
        self._count(ATTEMPTS, outcome)

    def target_changed(self, state: str) -> None:
        """Count a target that is found to be in another state than before."""
        self._count(TARGET_CHANGES, state)

    def target_ejected(self, evidence: str) -> None:
        """Count the ejection of a target, by whose evidence it was."""
        self._count(EJECTIONS, evidence)

    def left_domain(self, cause: str) -> None:
        """Count an attempt sent to another failure domain."""
        self._count(LEFT_DOMAIN, cause)

    def held(self, size: int) -> None:
        """Set the bytes that are held for callers."""
        self._gauges[HELD_BYTES][()] = size

    def buffer_ended(self, content: str) -> None:
        """Count a connection that held most, by what it held."""
        self._count(BUFFER_ENDS, content)

    def log_lines_dropped(self, count: int) -> None:
        """Set how many log lines were dropped since the start."""
        self._counters[DROPPED_LOG_LINES][()] = count

    def store_view_age(self, seconds: float) -> None:
        """Set the time since this entry last knew all of the store."""
        self._gauges[STORE_VIEW_AGE][()] = seconds

    def first_token(self, seconds: float, tokens: int) -> None:
        """Record a time to first token, by prompt length."""
        self._observe(FIRST_TOKEN, seconds, length_class(tokens))

    def evacuated(self, failure_domain: str, running_count: int) -> None:
        """Set the number of requests in an evacuated failure domain."""
        self._gauges[EVACUATED_DOMAINS][(failure_domain,)] = 1
        self._gauges[EVACUATED_DOMAIN_REQUESTS][(failure_domain,)] = running_count

    def readmit_domains(self) -> None:
        """Set all failure domains to not evacuated."""
        for instrument in (EVACUATED_DOMAINS, EVACUATED_DOMAIN_REQUESTS):
            values = self._gauges[instrument]
            values.update(dict.fromkeys(values, 0))

    def _count(self, instrument: Instrument, *labels: str) -> None:
        counts = self._counters[instrument]
        counts[labels] = counts.get(labels, 0) + 1

    def _observe(self, instrument: Instrument, seconds: float, *labels: str) -> None:
        histograms = self._histograms[instrument]
        if labels not in histograms:
            histograms[labels] = _Histogram()
        histograms[labels].observe(seconds)


class _Histogram:
    """Counts durations in seconds by ``TIME_BUCKETS``."""

    def __init__(self) -> None:
        self.sum = 0.0
        self._counts = [0] * (len(TIME_BUCKETS) + 1)

    def observe(self, seconds: float) -> None:
        """Count a duration."""
        self.sum += seconds
        self._counts[bisect.bisect_left(TIME_BUCKETS, seconds)] += 1

    def buckets(self) -> list[tuple[str, int]]:
        """Return the upper bounds with their cumulative counts."""
        bounds = [str(float(bound)) for bound in TIME_BUCKETS] + ["+Inf"]
        return list(zip(bounds, itertools.accumulate(self._counts)))


def length_class(tokens: int) -> str:
    """Return the class of a prompt length, named by its upper bound."""
    for bound in LENGTH_CLASSES:
        if tokens <= bound:
            return str(bound)
    return "over"
