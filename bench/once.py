"""Calls that must not run twice, while processes die and answers are lost.

Keyed calls are sent again with the same key until they are answered; plain
calls are sent once.  Meanwhile agents and entries are killed, entries are
stopped past their claims, the store goes down, and answers of store and
services are lost.  The services' own lists of runs are the oracle.
"""

import argparse
import asyncio
import collections
import contextlib
import dataclasses
import itertools
import json
import pathlib
import random
import signal
import time
import typing as t

import xxhash
from aiosonic.exceptions import AiosonicError
from aiosonic.timeout import Timeouts

from bench.deployment import Deployment, DeploymentSpec, TargetSpec, get_json, put_json
from bench.report import save, table
from chicorycove.httpclient import new_client

CATALOGUE = pathlib.Path("examples/local/catalogue.json")
TARGETS = tuple(
    TargetSpec(
        f"purchasing-{n}", "purchasing", "plain", options=("--work-time", "0.02")
    )
    for n in (1, 2, 3)
)
PATH = "/services/purchasing/registrations"
DEADLINE = 6.0  # seconds, told to the entry
CALLER_TIMEOUT = 8.0  # seconds
POOL_SIZE = 512  # connections to one entry
TRIES = 6  # of a keyed call
STOP_TIME = 8.0  # seconds that a stopped entry stands still, past its claims
FAULT_INTERVAL = 1.5  # seconds
CONNECTION_ERRORS = (AiosonicError, OSError, EOFError, ValueError, asyncio.TimeoutError)


@dataclasses.dataclass(frozen=True)
class Reply:
    """What a caller got for one try; latency is in seconds."""

    request: str
    verdict: str  # as told; "ran" for an answer, "" if none came
    reason: str
    latency: float
    text: str = ""


@dataclasses.dataclass
class CallRecord:
    """One call of a caller, with all its tries."""

    key: str | None
    digest: str
    replies: list[Reply] = dataclasses.field(default_factory=list)

    @property
    def answered(self) -> bool:
        """Tell whether the caller has got its answer."""
        return bool(self.replies) and self.replies[-1].verdict == "ran"


class Callers:
    """Sends calls to the entries in turn."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._turn = itertools.count()
        self._client = new_client(POOL_SIZE, CALLER_TIMEOUT)
        self.records: list[CallRecord] = []

    async def call(self, number: int, keyed: bool, tries: int = TRIES) -> CallRecord:
        """Make one call, keyed ones until they are answered."""
        key = f"order-{number}" if keyed else None
        body = json.dumps({"call": number, "keyed": keyed}).encode()
        record = CallRecord(key, xxhash.xxh64_hexdigest(body))
        self.records.append(record)
        for _ in range(tries if keyed else 1):
            record.replies.append(await self._try(key, body))
            if record.answered or record.replies[-1].reason == "result_not_kept":
                break
            await asyncio.sleep(0.3)
        return record

    async def _try(self, key: str | None, body: bytes) -> Reply:
        entries = self._deployment.entries
        url = entries[next(self._turn) % len(entries)]
        headers = {
            "Authorization": "Bearer secretariat-key",
            "X-Request-Timeout": str(DEADLINE),
        }
        if key is not None:
            headers["Idempotency-Key"] = key
        began = time.monotonic()
        try:
            async with asyncio.timeout(CALLER_TIMEOUT):
                response = await self._client.post(
                    url + PATH,
                    headers=headers,
                    data=body,
                    timeouts=Timeouts(sock_read=None, request_timeout=None),
                )
                document = json.loads(await response.content())
        except CONNECTION_ERRORS:
            return Reply("", "", "no_answer", time.monotonic() - began)
        latency = time.monotonic() - began
        request = response.headers.get("x-request-id", "")
        if response.status_code == 200:
            return Reply(request, "ran", "", latency, document["text"])
        reason = document.get("reason", str(response.status_code))
        return Reply(request, document.get("verdict", ""), reason, latency)


class Chaos:
    """Strikes one fault after another until it is stopped."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self._deployment = deployment
        self._random = random.Random(seed)
        self._jobs: set[asyncio.Task] = set()
        self._down: set[str] = set()
        self.counts: collections.Counter[str] = collections.Counter()

    async def run(self) -> None:
        """Go through the faults over and over."""
        faults = (
            self._kill_agent,
            self._lose_store_answers,
            self._kill_entry,
            self._lose_answers,
            self._stop_entry,
            self._store_outage,
        )
        try:
            for fault in itertools.cycle(faults):
                job = asyncio.create_task(fault())
                self._jobs.add(job)
                job.add_done_callback(self._jobs.discard)
                await asyncio.sleep(FAULT_INTERVAL)
        finally:
            await asyncio.shield(asyncio.gather(*self._jobs))

    async def _kill_agent(self) -> None:
        await self._kill(f"agent-{self._random.choice(TARGETS).name}", "kill_agent")

    async def _kill_entry(self) -> None:
        await self._kill(self._pick_entry(), "kill_entry")

    async def _kill(self, name: str | None, kind: str) -> None:
        if name is None or name in self._down:
            return
        self.counts[kind] += 1
        self._down.add(name)
        self._deployment.kill(name)
        await asyncio.sleep(0.5)
        self._deployment.restart(name)
        await asyncio.sleep(2.0)
        self._down.discard(name)

    async def _stop_entry(self) -> None:
        name = self._pick_entry()
        if name is None:
            return
        self.counts["stop_entry"] += 1
        self._down.add(name)
        self._deployment.signal(name, signal.SIGSTOP)
        await asyncio.sleep(STOP_TIME)
        self._deployment.signal(name, signal.SIGCONT)
        self._down.discard(name)

    async def _store_outage(self) -> None:
        self.counts["store_outage"] += 1
        await self._switch("store", "standin", {"down": True})
        await asyncio.sleep(1.0)
        await self._switch("store", "standin", {"down": False})

    async def _lose_store_answers(self) -> None:
        self.counts["lost_store_answers"] += 5
        await self._switch("store", "standin", {"lose_answers": 5})

    async def _lose_answers(self) -> None:
        self.counts["lost_answers"] += 3
        target = self._random.choice(TARGETS).name
        await self._switch(target, "service", {"lose_answers": 3})

    async def _switch(self, part: str, prefix: str, faults: dict) -> None:
        url = f"{self._deployment.urls[part]}/{prefix}/faults"
        await asyncio.to_thread(put_json, url, faults, "POST")

    def _pick_entry(self) -> str | None:
        names = [n for n in self._deployment.urls if n.startswith("entry-")]
        usable = [name for name in names if name not in self._down]
        return self._random.choice(usable) if len(usable) > 1 else None


def judge(records: t.Iterable[CallRecord], runs: t.Iterable[dict]) -> dict[str, t.Any]:
    """Compare what callers were told with what ran."""
    runs = list(runs)
    by_digest = collections.Counter(run["digest"] for run in runs)
    by_request = collections.Counter(run["request"] for run in runs)
    result = collections.Counter()
    reasons: collections.Counter[str] = collections.Counter()
    for record in records:
        count = by_digest[record.digest]
        result["calls"] += 1
        result["answered"] += record.answered
        result["doubled"] += count > 1
        result["lost"] += record.answered and count == 0
        result["not_run_in_the_end"] += count == 0
        result["crossed"] += _is_crossed(record)
        for reply in record.replies:
            reasons[reply.reason or "answered"] += 1
            result["wrong_verdicts"] += _is_wrong(record, reply, count, by_request)
    names = ("lost", "doubled", "wrong_verdicts", "crossed", "calls", "answered")
    share = round(result["answered"] / max(result["calls"], 1), 4)
    return {
        **{name: result[name] for name in names},
        "share_answered": share,
        "not_run_in_the_end": result["not_run_in_the_end"],
        "replies": dict(reasons.most_common()),
    }


def _is_crossed(record: CallRecord) -> bool:
    return record.answered and record.digest not in record.replies[-1].text


def _is_wrong(
    record: CallRecord, reply: Reply, count: int, by_request: t.Mapping[str, int]
) -> bool:
    match reply.verdict:
        case "not_run" if record.key is None:
            return count > 0
        case "not_run":
            return by_request.get(reply.request, 0) > 0
        case "ran":
            return count == 0
    return False


async def quiet(deployment: Deployment, calls: int) -> dict[str, dict[str, float]]:
    """Return latencies in milliseconds without any fault."""
    callers = Callers(deployment)
    latencies: dict[str, list[float]] = {"keyed": [], "plain": []}
    for number in range(calls):
        for kind in latencies:
            record = await callers.call(-1 - number, kind == "keyed")
            latencies[kind].append(record.replies[0].latency * 1000)
    return {kind: _quantiles(values) for kind, values in latencies.items()}


def _quantiles(values: list[float]) -> dict[str, float]:
    values = sorted(values)
    return {
        f"p{share}": round(values[int(len(values) * share / 100)], 2)
        for share in (50, 95, 99)
    }


async def under_faults(
    deployment: Deployment, calls: int, rate: float, seed: int
) -> tuple[list[CallRecord], dict[str, int]]:
    """Make calls of both kinds while faults strike."""
    callers = Callers(deployment)
    chaos = Chaos(deployment, seed)
    striking = asyncio.create_task(chaos.run())
    jobs = []
    for number in range(calls):
        for keyed in (True, False):
            jobs.append(asyncio.create_task(callers.call(number, keyed)))
        await asyncio.sleep(2 / rate)
    await asyncio.gather(*jobs)
    striking.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await striking
    return callers.records, dict(chaos.counts)


def measure(options: argparse.Namespace) -> dict[str, t.Any]:
    """Run the whole experiment."""
    spec = DeploymentSpec(CATALOGUE, TARGETS, entries=3, log_level="error")
    with Deployment(spec) as deployment:
        time.sleep(2.0)
        latency = asyncio.run(quiet(deployment, options.quiet))
        records, faults = asyncio.run(
            under_faults(deployment, options.calls, options.rate, options.seed)
        )
        time.sleep(2 * STOP_TIME)
        runs = []
        for target in TARGETS:
            runs += get_json(f"{deployment.urls[target.name]}/service/runs")
    keyed = [record for record in records if record.key is not None]
    plain = [record for record in records if record.key is None]
    return {
        "keyed": judge(keyed, runs),
        "plain": judge(plain, runs),
        "faults": faults,
        "latency_ms": latency,
    }


def main(argv: t.Sequence[str]) -> int:
    """Run the experiment; fail if anything was lost, doubled or misjudged."""
    parser = argparse.ArgumentParser(prog="python -m bench once", description=__doc__)
    parser.add_argument("--calls", type=int, default=2000, help="of each kind")
    parser.add_argument("--rate", type=float, default=80.0, help="calls a second")
    parser.add_argument("--quiet", type=int, default=300, help="calls of each kind")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--output", default="once")
    options = parser.parse_args(argv)
    result = measure(options)
    kinds = ("keyed", "plain")
    print(table([{"kind": kind, **result[kind]} for kind in kinds]))
    print(json.dumps({k: result[k] for k in ("faults", "latency_ms")}, indent=2))
    save(options.output, {"options": vars(options), "results": result})
    bad = ("lost", "doubled", "wrong_verdicts", "crossed")
    return int(any(result[kind][name] for kind in kinds for name in bad))
