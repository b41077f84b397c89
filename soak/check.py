"""The promises, from what callers and servers saw."""

import collections
import dataclasses
import json
import pathlib

DRAIN = 2.0  # seconds after which a leaving server gets nothing new
REVOKED = 2.0  # seconds after which a revoked key runs nothing
SLACK = 0.5  # seconds for clocks and scheduling between processes
RECOVERED = 0.9  # share of requests answered once faults have been over


@dataclasses.dataclass(slots=True)
class AttemptSent:
    """One attempt of a caller, and what became of it; times are in seconds."""

    id: str
    kind: str
    body: str
    key: str
    at: float
    status: int | None = None
    whole: bool = False
    answer: bytes = b""
    events: tuple[int, ...] = ()
    calm: bool = False  # no fault from well before it to its end


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """One line of a server: a request that it began."""

    attempt: str
    server: str
    at: float
    body: str


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A server told to leave, or a key taken away, and until when it holds."""

    what: str
    at: float


def read_runs(folder: pathlib.Path) -> list[Run]:
    """Return what the servers logged; a killed one may lack its last line."""
    runs = []
    for path in folder.glob("server-*.log"):
        for line in path.read_text().splitlines():
            if not line.startswith("{"):
                continue
            try:
                data = json.loads(line)
            except ValueError:
                continue
            run = Run(data["attempt"], data["server"], data["time"], data["body"])
            runs.append(run)
    return runs


def violations(
    sent: list[AttemptSent],
    runs: list[Run],
    leaving: list[Change],
    revoked: list[Change],
    held: dict[str, dict],
) -> list[str]:
    """Return a line for each promise that was broken."""
    by_attempt = collections.defaultdict(list)
    for run in runs:
        by_attempt[run.attempt].append(run)
    known = {attempt.id: attempt for attempt in sent}
    found = [f"ran what nobody sent: {id}" for id in by_attempt if id not in known]
    for attempt in sent:
        found += _of_attempt(attempt, by_attempt[attempt.id])
    found += _late(runs, known, leaving, revoked)
    found += [f"memory left at {server}: {x}" for server, x in held.items() if x]
    return found


def _of_attempt(attempt: AttemptSent, runs: list[Run]) -> list[str]:
    found = []
    if attempt.kind in ("order", "say") and len(runs) > 1:
        found.append(f"twice: {attempt.id} ran {len(runs)} times")
    if attempt.status in (408, 421, 429, 503) and attempt.kind == "order" and runs:
        found.append(f"refused: {attempt.id} got {attempt.status} and ran")
    if any(run.body != attempt.body for run in runs):
        found.append(f"changed: {attempt.id} ran with another body")
    if attempt.status == 200 and attempt.whole:
        if attempt.kind in ("ask", "say"):
            wanted = tuple(range(1, len(attempt.events) + 1))
            if attempt.events != wanted or len(wanted) != 10:
                found.append(f"order: {attempt.id} got events {attempt.events}")
        elif attempt.kind == "order" and attempt.answer.decode() != attempt.body:
            found.append(f"mixed: {attempt.id} got {attempt.answer[:40]!r}")
    return found


def _late(
    runs: list[Run],
    known: dict[str, AttemptSent],
    leaving: list[Change],
    revoked: list[Change],
) -> list[str]:
    """Check what ran after a change that had been in force for long."""
    found = []
    gone = {change.what: change.at for change in leaving}
    lost = {change.what: change.at for change in revoked}
    for run in runs:
        attempt = known.get(run.attempt)
        if attempt is None or not attempt.calm:
            continue
        if run.at > gone.get(run.server, float("inf")) + DRAIN + SLACK:
            found.append(f"drain: {run.attempt} began at {run.server} too late")
        if attempt.at > lost.get(attempt.key, float("inf")) + REVOKED + SLACK:
            found.append(f"key: {run.attempt} ran with a revoked key")
    return found


def recovery(sent: list[AttemptSent], since: float) -> list[str]:
    """Check that requests sent after a time were answered."""
    late = [attempt for attempt in sent if attempt.at > since]
    served = [x for x in late if x.status is not None and x.status < 500 and x.whole]
    if not late or len(served) >= RECOVERED * len(late):
        return []
    return [f"recover: {len(served)} of {len(late)} served after the faults"]
