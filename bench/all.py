"""Every measure of what users need, in one table.

Real processes on loopback, stand-ins for engines, services and platform.
``--quick`` takes fewer samples and is done in under five minutes.
"""

import argparse
import asyncio
import dataclasses
import functools
import importlib
import importlib.util
import pathlib
import statistics
import time
import traceback
import typing as t
import uuid

from examples.demo import Caller, Outcome

from .deployment import Deployment, DeploymentSpec, TargetSpec, get_json, put_json
from .report import load, save, table

CATALOGUE = pathlib.Path("examples/local/catalogue.json")
ENGINES = 9  # a prompt of a million tokens needs eight
LENGTHS = (1_000, 8_000, 64_000, 256_000, 1_000_000)  # tokens
CALLER_KEY = "design-office-key"
OPERATOR_KEY = "board-key"
HANG_UP_TOKENS = 60_000
HANG_UP_AFTER = 0.6  # seconds, more than the engines' reports lag
SETTLE_TIMEOUT = 30.0  # seconds
SETTLE_POLL = 0.1  # seconds
SETTLED_POLLS = 10  # in a row, together longer than the engines' reports lag
PROBE_INTERVAL = 0.02  # seconds between short requests
PROBE_TOKENS = 50
LEAVING_BEFORE = 1.0  # seconds of short requests before a target leaves
LEAVING_AFTER = 6.0  # seconds of short requests after it
NOT_MEASURED = "not measured"


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One line of the table; what must be zero fails if it is not."""

    measure: str
    value: float | str
    unit: str = ""
    samples: int = 0
    zero: bool = False

    @property
    def good(self) -> bool:
        """Tell whether the value is one that may be."""
        return not self.zero or self.value in (0, NOT_MEASURED)

    def cells(self) -> dict[str, t.Any]:
        """Return the row as it is printed."""
        wanted = "0" if self.zero else ""
        return {
            "measure": self.measure,
            "value": self.value,
            "unit": self.unit,
            "samples": self.samples or "",
            "must be": wanted,
        }


def measure_first_tokens(deployment: Deployment, rounds: int) -> list[Row]:
    """Measure the time to first token of each length, one at a time."""
    return asyncio.run(_first_tokens(deployment, rounds))


async def _first_tokens(deployment: Deployment, rounds: int) -> list[Row]:
    caller = Caller(deployment.entries[0])
    await _until_linked(deployment, caller)
    rows = []
    for tokens in LENGTHS:
        outcomes = [
            await caller.complete(f"{tokens} {number}", CALLER_KEY, tokens)
            for number in range(rounds)
        ]
        firsts = [outcome.first_token for outcome in outcomes if outcome.good]
        name = f"time to first token, {tokens:,} tokens"
        value = round(statistics.median(firsts), 3) if firsts else NOT_MEASURED
        rows.append(Row(f"{name}, median", value, "s", len(firsts)))
        broken = rounds - len(firsts)
        rows.append(Row(f"{tokens:,} tokens, not answered", broken, "", rounds, True))
    return rows


def measure_memory(deployment: Deployment, count: int) -> list[Row]:
    """Measure what engines still hold after callers hung up and one died."""
    peak = asyncio.run(_hang_up(deployment, count))
    left = _memory_after_settling(deployment)
    return [
        Row("memory held before callers hung up", peak, "tokens", count),
        Row("memory left over", left, "tokens", count, True),
    ]


async def _hang_up(deployment: Deployment, count: int) -> int:
    """Hang up on some requests, kill the entry of the others.

    Return the memory that was held just before.

    :raises RuntimeError: if none was, so that nothing can be left over
    """
    entries = deployment.entries
    callers = [Caller(entries[number % len(entries)]) for number in range(count)]
    jobs = [
        asyncio.create_task(
            caller.complete(f"hang up {number}", CALLER_KEY, HANG_UP_TOKENS)
        )
        for number, caller in enumerate(callers)
    ]
    await asyncio.sleep(HANG_UP_AFTER)
    peak = await asyncio.to_thread(_memory_held, deployment)
    for job in jobs[::2]:
        job.cancel()
    victim = f"entry-{len(entries)}"
    deployment.kill(victim)
    await asyncio.gather(*jobs, return_exceptions=True)
    deployment.restart(victim)
    deployment.wait_ready([victim])
    if not peak:
        raise RuntimeError("no engine held memory when the callers hung up")
    return peak


def _memory_after_settling(deployment: Deployment) -> int:
    """Wait until nothing is held for longer than the reports lag."""
    due = time.monotonic() + SETTLE_TIMEOUT
    held = []
    while time.monotonic() < due:
        held.append(_memory_held(deployment))
        if not any(held[-SETTLED_POLLS:]) and len(held) >= SETTLED_POLLS:
            return 0
        time.sleep(SETTLE_POLL)
    return max(held[-SETTLED_POLLS:])


def _memory_held(deployment: Deployment) -> int:
    engines = [name for name in deployment.urls if name.startswith("advisor-")]
    reports = [get_json(f"{deployment.urls[name]}/engine/load") for name in engines]
    return sum(sum(report["attempts"].values()) for report in reports)


def measure_in_force(deployment: Deployment, changes: int) -> list[Row]:
    """Measure how long accepted changes take to be in force everywhere."""
    times = [_change(deployment, number) for number in range(changes)]
    done = [seconds for seconds in times if seconds is not None]
    return [
        Row(
            "time to in force, median", _rounded(statistics.median, done), "s", changes
        ),
        Row("time to in force, longest", _rounded(max, done), "s", changes),
        Row("changes with a laggard", changes - len(done), "", changes, True),
    ]


def _change(deployment: Deployment, number: int) -> float | None:
    entry = {
        "kind": "class",
        "name": "bench",
        "owner": "bench",
        "priority": 3,
        "deadline": 60.0 + number,
    }
    body = {"id": uuid.uuid4().hex[:16], "reason": "bench", "edits": [{"entry": entry}]}
    url = deployment.entries[number % len(deployment.entries)]
    answer = put_json(f"{url}/admin/v1/changes", body, "POST", OPERATOR_KEY)
    if answer.get("in_force_at") is None:
        return None
    return answer["in_force_at"] - answer["accepted_at"]


def measure_leaving(deployment: Deployment) -> list[Row]:
    """Measure for how long a target that leaves still gets work."""
    return asyncio.run(_leaving(deployment))


async def _leaving(deployment: Deployment) -> list[Row]:
    leaving = "advisor-1"
    host = next(
        host
        for host in get_json(f"{deployment.urls['hosts']}/hosts")
        if host["name"] == leaving
    )
    callers = [Caller(url) for url in deployment.entries]
    sent: list[tuple[float, asyncio.Task[Outcome]]] = []
    began = time.monotonic()
    left = began + LEAVING_BEFORE
    told = False
    while (now := time.monotonic()) < left + LEAVING_AFTER:
        if not told and now >= left:
            url = f"{deployment.urls['hosts']}/hosts/{leaving}"
            await asyncio.to_thread(put_json, url, host | {"state": "leaving"})
            told, left = True, time.monotonic()
        caller = callers[len(sent) % len(callers)]
        job = caller.complete(f"probe {len(sent)}", CALLER_KEY, PROBE_TOKENS)
        sent.append((now, asyncio.create_task(job)))
        await asyncio.sleep(PROBE_INTERVAL)
    outcomes = await asyncio.gather(*(job for _, job in sent))
    there = [at for (at, _), x in zip(sent, outcomes) if x.targets == leaving]
    after = [at - left for at in there if at > left]
    cut = sum(not outcome.good for outcome in outcomes)
    value = round(max(after, default=0.0), 3)
    return [
        Row("time a leaving target still got work", value, "s", len(sent)),
        Row("requests on it before it left", len(there) - len(after), "", len(sent)),
        Row("requests cut off by its leaving", cut, "", len(sent), True),
    ]


def measure_slowdown(quick: bool, seed: int) -> list[Row]:
    """Measure the slowdown of short prompts by ``bench.slowdown``."""
    arguments = ["--seed", str(seed), "--output", "all-slowdown"]
    arguments += ["--loads", "0.8", "--policies", "length_aware"]
    if quick:
        arguments += ["--engines", "8", "--seconds", "15"]
    if not _run_experiment("slowdown", arguments):
        return [Row("slowdown of short prompts, p95", NOT_MEASURED)]
    rows = []
    for each in load("all-slowdown")["slowdown"]:
        for point in ("p50", "p95", "p99"):
            name = f"slowdown of short prompts at {each['load']:.0%} load, {point}"
            rows.append(Row(name, each[f"{point}_slowdown"], "times", each["n"]))
    return rows


def measure_once(quick: bool, seed: int) -> list[Row]:
    """Measure calls lost, doubled or misjudged by ``bench.once``."""
    names = ("lost", "doubled", "wrong_verdicts", "crossed")
    arguments = ["--seed", str(seed), "--output", "all-once"]
    if quick:
        arguments += ["--calls", "600", "--quiet", "50"]
    if not _run_experiment("once", arguments):
        return [Row(name.replace("_", " "), NOT_MEASURED) for name in names]
    results = load("all-once")["results"]
    rows = []
    for kind in ("keyed", "plain"):
        result = results[kind]
        for name in names:
            label = f"{name.replace('_', ' ')}, {kind} calls under faults"
            rows.append(Row(label, result[name], "", result["calls"], True))
    return rows


def _run_experiment(name: str, arguments: list[str]) -> bool:
    """Run another experiment; tell whether there is one of the name."""
    if importlib.util.find_spec(f"bench.{name}") is None:
        return False
    importlib.import_module(f"bench.{name}").main(arguments)
    return True


async def _until_linked(deployment: Deployment, caller: Caller) -> None:
    """Wait until a prompt that needs nearly every engine is answered."""
    due = time.monotonic() + SETTLE_TIMEOUT
    while time.monotonic() < due:
        outcome = await caller.complete("warm up", CALLER_KEY, LENGTHS[-2])
        if outcome.good:
            return
        await asyncio.sleep(SETTLE_POLL)
    raise TimeoutError(f"no group of engines answers: {outcome.detail}")


def _rounded(pick: t.Callable[[list[float]], float], values: list[float]) -> t.Any:
    return round(pick(values), 3) if values else NOT_MEASURED


def _collect(options: argparse.Namespace) -> list[Row]:
    rounds = 2 if options.quick else 10
    targets = tuple(
        TargetSpec(f"advisor-{n}", "advisor") for n in range(1, ENGINES + 1)
    )
    spec = DeploymentSpec(
        CATALOGUE, targets, time_scale=options.time_scale, log_level="error"
    )
    with Deployment(spec) as deployment:
        rows = _measured(
            functools.partial(measure_first_tokens, deployment, rounds),
            functools.partial(measure_in_force, deployment, 10 * rounds),
            functools.partial(measure_leaving, deployment),
            functools.partial(measure_memory, deployment, 10 * rounds),
        )
    return rows + _measured(
        functools.partial(measure_slowdown, options.quick, options.seed),
        functools.partial(measure_once, options.quick, options.seed),
    )


def _measured(*measures: functools.partial) -> list[Row]:
    rows = []
    for measure in measures:
        name = measure.func.__name__
        began = time.monotonic()
        try:
            rows += measure()
        except Exception as error:
            traceback.print_exc()
            rows.append(Row(name, f"failed: {error!r}", zero=True))
        print(f"{name}: {time.monotonic() - began:.0f} s", flush=True)
    return rows


def main(argv: t.Sequence[str]) -> int:
    """Measure everything; fail if what must be zero is not."""
    parser = argparse.ArgumentParser(prog="python -m bench all", description=__doc__)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--time-scale", type=float, default=0.2, help="of the engines")
    parser.add_argument("--output", default="all")
    options = parser.parse_args(argv)
    began = time.monotonic()
    rows = _collect(options)
    seconds = round(time.monotonic() - began)
    cells = [row.cells() for row in rows]
    print(f"\n{table(cells)}\n\n{seconds} s")
    save(options.output, {"options": vars(options), "seconds": seconds, "rows": cells})
    return int(not all(row.good for row in rows))
