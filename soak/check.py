"""Checks the system's guarantees on what callers and servers recorded."""

import collections
import dataclasses
import json
import pathlib

DRAIN_TIME = 2.0  # seconds after which a draining server gets no request
REVOCATION_TIME = 2.0  # seconds after which a revoked key runs no request
LARGE_CONFIG_TIME = 3.0  # seconds until a large configuration is in force
CLOCK_TOLERANCE = 0.5  # seconds, for clocks and scheduling between processes
STABLE_TIME = 3.0  # seconds until entries must act on what a server said
LIMIT_WINDOW = 4.0  # seconds in which a limited server's requests are counted
LIMIT_FACTOR = 1.5  # times a limit that a server may get, besides the extra ones
LIMIT_EXTRA = 5  # requests
COUNTED_CRASHES = 5  # under one part, after which few prompts with it may run
COUNTED_CRASHES_OF_REQUEST = 3  # under one request, the same
BACKOFF_GRACE = 0.5  # seconds after a refusal in which requests may still arrive
MAX_REQUESTS_IN_BACKOFF = 2  # of one entry, from then on
MAX_LATE_RUNS = 3
MIN_ANSWERED_SHARE = 0.9  # of the requests sent after the recovery time
MIN_RUN_SHARE = 0.1  # of the orders sent to a capped entry
REFUSALS = (408, 421, 429, 503)  # statuses of requests that never run


@dataclasses.dataclass(slots=True)
class SentRequest:
    """A request of a caller, and its answer; times are in seconds."""

    id: str
    route: str
    body: str
    key: str
    sent_at: float
    status: int | None = None
    complete: bool = False
    answer: bytes = b""
    events: tuple[int, ...] = ()
    undisturbed: bool = False  # no fault shortly before it or while it ran


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A request that a server started to run, from a line of its log."""

    attempt: str
    server: str
    started_at: float
    body: str
    prefix: str  # of the prompt, as its caller sent it


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change of the operator: a server drained, or a key revoked."""

    subject: str  # id of the server, or the key
    changed_at: float  # seconds


def read_runs(folder: pathlib.Path) -> list[Run]:
    """Return the runs that the servers logged.

    The last line of a server that was killed may be incomplete.
    """
    runs = []
    for path in folder.glob("server-*.log"):
        for line in path.read_text().splitlines():
            if not line.startswith("{"):
                continue
            try:
                data = json.loads(line)
            except ValueError:
                continue
            runs.append(
                Run(
                    data["attempt"],
                    data["server"],
                    data["time"],
                    data["body"],
                    data["prefix"],
                )
            )
    return runs


def find_violations(
    sent: list[SentRequest],
    runs: list[Run],
    draining: list[Change],
    revoked: list[Change],
    reservations: dict[str, dict],
) -> list[str]:
    """Return a line for each violation of a guarantee."""
    runs_by_id = collections.defaultdict(list)
    for run in runs:
        runs_by_id[run.attempt].append(run)
    requests = {request.id: request for request in sent}
    violations = [
        f"unknown: {request_id} ran, but no caller sent it"
        for request_id in runs_by_id
        if request_id not in requests
    ]
    for request in sent:
        violations += _check_request(request, runs_by_id[request.id])
    violations += _check_changes(runs, requests, draining, revoked)
    violations += [
        f"memory: {server} still holds reservations {remaining}"
        for server, remaining in reservations.items()
        if remaining
    ]
    return violations


def _check_request(request: SentRequest, runs: list[Run]) -> list[str]:
    violations = []
    if request.route in ("order", "say") and len(runs) > 1:
        violations.append(f"repeated: {request.id} ran {len(runs)} times")
    if request.status in REFUSALS and request.route in ("order", "say") and runs:
        violations.append(f"refused: {request.id} got status {request.status}, but ran")
    if any(run.body != request.body for run in runs):
        violations.append(f"changed: {request.id} ran with another body")
    if request.status == 200 and request.complete:
        if request.route in ("ask", "say"):
            expected = tuple(range(1, len(request.events) + 1))
            if request.events != expected or len(expected) != 10:
                violations.append(f"events: {request.id} got events {request.events}")
        elif request.route == "order" and request.answer.decode() != request.body:
            violations.append(f"answer: {request.id} got {request.answer[:40]!r}")
    return violations


def _check_changes(
    runs: list[Run],
    requests: dict[str, SentRequest],
    draining: list[Change],
    revoked: list[Change],
) -> list[str]:
    """Check that nothing ran on a drained server or with a revoked key."""
    violations = []
    drained_at = {change.subject: change.changed_at for change in draining}
    revoked_at = {change.subject: change.changed_at for change in revoked}
    for run in runs:
        request = requests.get(run.attempt)
        if request is None or not request.undisturbed:
            continue
        if (
            run.started_at
            > drained_at.get(run.server, float("inf")) + DRAIN_TIME + CLOCK_TOLERANCE
        ):
            violations.append(
                f"drain: {run.attempt} ran on drained server {run.server}"
            )
        if (
            request.sent_at
            > revoked_at.get(request.key, float("inf"))
            + REVOCATION_TIME
            + CLOCK_TOLERANCE
        ):
            violations.append(f"key: {run.attempt} ran with a revoked key")
    return violations


def check_rate_limit(
    arrivals: list[float], rate: float, start: float, end: float
) -> list[str]:
    """Check that a server got no more requests than its limit allows."""
    times = [time for time in arrivals if start <= time < end]
    most = max(
        (
            sum(first <= time < first + LIMIT_WINDOW for time in times)
            for first in times
        ),
        default=0,
    )
    allowed = LIMIT_FACTOR * rate * LIMIT_WINDOW + LIMIT_EXTRA
    if most <= allowed:
        return []
    return [f"limit: {most} requests in {LIMIT_WINDOW} s, allowed {allowed}"]


def check_crashes(
    runs: list[Run], crashing_part: str, crashes: list[float]
) -> list[str]:
    """Check that prompts with a crashing part ran on few servers."""
    times = [run.started_at for run in runs if crashing_part in run.prefix]
    return _check_late_runs("prompts", times, crashes, COUNTED_CRASHES)


def check_crashing_request(
    runs: list[Run], body: str, crashes: list[float]
) -> list[str]:
    """Check that a request that crashes servers ran on few of them."""
    times = [run.started_at for run in runs if run.body == body]
    return _check_late_runs("a request", times, crashes, COUNTED_CRASHES_OF_REQUEST)


def _check_late_runs(
    subject: str, times: list[float], crashes: list[float], counted_crashes: int
) -> list[str]:
    if len(crashes) < counted_crashes:
        return []
    since = sorted(crashes)[counted_crashes - 1] + STABLE_TIME
    late = sum(time >= since for time in times)
    if late <= MAX_LATE_RUNS:
        return []
    return [f"crashes: {late} runs of {subject} after {len(crashes)} servers crashed"]


def check_backoff(arrivals: list[float], backoff: float, entry_count: int) -> list[str]:
    """Check that a server that refuses all requests got few of them."""
    most = max(
        (
            sum(refused + BACKOFF_GRACE <= at < refused + backoff for at in arrivals)
            for refused in arrivals
        ),
        default=0,
    )
    allowed = MAX_REQUESTS_IN_BACKOFF * entry_count
    if most <= allowed:
        return []
    return [f"backoff: {most} requests in {backoff} s, allowed {allowed}"]


def check_leaving(arrivals: list[float]) -> list[str]:
    """Check that a server that says it leaves gets nothing after a time."""
    late = [at for at in arrivals if at > arrivals[0] + DRAIN_TIME + CLOCK_TOLERANCE]
    return [f"leaving: {len(late)} requests to a server that leaves"] if late else []


def check_cold_start(statuses: list[int | None]) -> list[str]:
    """Check that callers who came before the configuration were answered."""
    answered = statuses.count(200)
    if answered == len(statuses):
        return []
    return [f"cold start: {answered} of {len(statuses)} answered, {statuses}"]


@dataclasses.dataclass(frozen=True, slots=True)
class OrderCounts:
    """Counts of orders, by what became of them."""

    sent: int
    run: int
    repeated: int
    refused_though_run: int
    bad_gateway: int  # answered 502, which promises nothing

    def __str__(self) -> str:
        return (
            f"{self.sent} orders, {self.run} run, {self.repeated} more than once, "
            f"{self.refused_though_run} refused though run, {self.bad_gateway} of 502"
        )


def count_orders(orders: list[SentRequest], runs: list[Run]) -> OrderCounts:
    """Count orders by what servers logged and what callers were answered."""
    run_counts = collections.Counter(run.attempt for run in runs)
    return OrderCounts(
        sent=len(orders),
        run=sum(run_counts[order.id] > 0 for order in orders),
        repeated=sum(run_counts[order.id] > 1 for order in orders),
        refused_though_run=sum(
            order.status in REFUSALS and run_counts[order.id] > 0 for order in orders
        ),
        bad_gateway=sum(order.status == 502 for order in orders),
    )


def check_capped_entry(counts: OrderCounts) -> list[str]:
    """Check that orders sent to a capped entry ran, and at most once."""
    violations = []
    if counts.run < MIN_RUN_SHARE * counts.sent or not counts.run:
        violations.append(f"cap: {counts.run} of {counts.sent} orders ran")
    if counts.repeated:
        violations.append(
            f"cap: {counts.repeated} of {counts.sent} orders ran more than once"
        )
    if counts.refused_though_run:
        violations.append(
            f"cap: {counts.refused_though_run} of {counts.sent} orders ran, "
            "but were refused"
        )
    return violations


def check_recovery(sent: list[SentRequest], since: float, until: float) -> list[str]:
    """Check that enough requests sent between two times were answered."""
    later = [request for request in sent if since < request.sent_at < until]
    served = [
        request
        for request in later
        if request.status is not None and request.status < 500 and request.complete
    ]
    if not later or len(served) >= MIN_ANSWERED_SHARE * len(later):
        return []
    return [f"recovery: {len(served)} of {len(later)} answered after the faults"]
