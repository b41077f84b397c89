"""Time to first token, and the slowdown of short prompts beside long ones.

Real processes on loopback: stand-in engines, an agent beside each, entries.
Arrivals are open-loop and seeded.  Each round runs every policy after the
other, with the long prompts and without them, the rest of the arrivals being
the same.  Loads are shares of the capacity, which is the work that the fleet
completes when it is offered half as much again (``--capacity`` skips this).
"""

import argparse
import asyncio
import dataclasses
import json
import pathlib
import tempfile
import time
import typing as t

import aiosonic

from bench import workload
from bench.deployment import Deployment, DeploymentSpec, TargetSpec
from bench.report import FOLDER, save, table
from chicorycove.httpclient import new_client

POLICIES = ("length_aware", "least_outstanding", "round_robin")
POOL = 4000  # connections
CONNECT_TIMEOUT = 30.0  # seconds
OVERLOAD = 1.5  # of the nominal capacity, to measure the real one
WARM_UP = 0.33  # share of a run that is left out of the capacity
GROUP_MEMORIES = 2.5
GROUP_RUNS = 2
PERCENTILES = (0.5, 0.95, 0.99)


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """One request's outcome; times are in seconds."""

    arrival: workload.Arrival
    status: int
    first: float | None  # until the first token
    total: float
    ended: float  # from the run's start
    whole: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Cell:
    """One run of one policy."""

    policy: str
    load: float
    long: bool
    seed: int
    samples: list[Sample]


def main(argv: t.Sequence[str]) -> int:
    """Run the experiment."""
    options = _options(argv)
    targets = tuple(
        TargetSpec(f"advisor-{number:02d}", "advisor", memory=workload.MEMORY)
        for number in range(options.engines)
    )
    folder = tempfile.TemporaryDirectory()
    path = pathlib.Path(folder.name, "catalogue.json")
    path.write_text(json.dumps(workload.catalogue()))
    with folder:
        runner = Runner(options, targets, path)
        document = runner.run()
    print(table(document["slowdown"]))
    print(table(document["first_token"]))
    print(json.dumps(document["group"]))
    if options.plot:
        plot(document, options.output)
    return 0


def _options(argv: t.Sequence[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="python -m bench slowdown")
    parser.add_argument("--engines", type=int, default=20)
    parser.add_argument("--entries", type=int, default=2)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--loads", type=float, nargs="+", default=[0.5, 0.8, 1.1])
    parser.add_argument("--policies", nargs="+", default=list(POLICIES))
    parser.add_argument("--rounds", type=int, default=1)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--time-scale", type=float, default=2.0)
    parser.add_argument("--capacity", type=float, help="share of the nominal one")
    parser.add_argument("--output", default="slowdown")
    parser.add_argument("--plot", action="store_true")
    return parser.parse_args(argv)


class Runner:
    """Runs the cells of one experiment."""

    def __init__(
        self,
        options: argparse.Namespace,
        targets: tuple[TargetSpec, ...],
        catalogue: pathlib.Path,
    ) -> None:
        self._options = options
        self._targets = targets
        self._catalogue = catalogue
        seconds = workload.mean_work() * options.time_scale  # a request
        self._nominal = options.engines / seconds  # requests a second
        self._capacity = options.capacity

    def run(self) -> dict[str, t.Any]:
        """Return the experiment's document."""
        if self._capacity is None:
            self._capacity = self._measure_capacity()
        print(f"capacity: {self._capacity:.3f} of {self._nominal:.1f} requests/s")
        group = self._measure_group()
        print(f"group: {group}", flush=True)
        cells: list[Cell] = []
        for number in range(self._options.rounds):
            seed = self._options.seed + number
            for load in self._options.loads:
                for policy in self._options.policies:
                    cells += self._pair(policy, load, seed)
                    save(self._options.output, self._document(cells, group))
        return self._document(cells, group)

    def _document(self, cells: list[Cell], group: dict[str, t.Any]) -> dict[str, t.Any]:
        return {
            "options": vars(self._options),
            "capacity": round(self._capacity, 3),
            "nominal_requests_per_second": round(self._nominal, 2),
            "slowdown": _slowdown(cells),
            "first_token": _first_tokens(cells),
            "outcomes": _outcomes(cells),
            "group": group,
        }

    def _pair(self, policy: str, load: float, seed: int) -> list[Cell]:
        cells = []
        for long in (False, True):
            with self._deployment(policy) as deployment:
                samples = self._drive(deployment, load, seed, long)
            cells.append(Cell(policy, load, long, seed, samples))
            first = _firsts(s for s in samples if s.arrival.short)
            points = [round(1000 * _quantile(first, p)) for p in PERCENTILES]
            print(
                f"{policy} {load:.0%} long={long} n={len(samples)} {points} ms",
                flush=True,
            )
        return cells

    def _deployment(self, policy: str) -> Deployment:
        spec = DeploymentSpec(
            self._catalogue,
            self._targets,
            entries=self._options.entries,
            time_scale=self._options.time_scale,
            entry_overrides={"routing": policy},
        )
        return Deployment(spec)

    def _drive(
        self, deployment: Deployment, load: float, seed: int, long: bool
    ) -> list[Sample]:
        rate = load * self._capacity * self._nominal
        stream = workload.arrivals(rate, self._options.seconds, seed)
        chosen = [arrival for arrival in stream if long or arrival.short]
        return asyncio.run(drive(deployment.entries, chosen))

    def _measure_capacity(self) -> float:
        rate = OVERLOAD * self._nominal
        seconds = self._options.seconds
        stream = list(workload.arrivals(rate, seconds, self._options.seed))
        with self._deployment("least_outstanding") as deployment:
            samples = asyncio.run(drive(deployment.entries, stream, cut=seconds))
        start = seconds * WARM_UP
        done = sum(
            workload.work(sample.arrival.tokens)
            for sample in samples
            if sample.whole and start <= sample.ended <= seconds
        )
        scale = self._options.time_scale
        return done * scale / (seconds - start) / self._options.engines

    def _measure_group(self) -> dict[str, t.Any]:
        """Run prompts of several engine memories alone."""
        tokens = int(GROUP_MEMORIES * workload.MEMORY)
        arrivals = [
            workload.Arrival(0.0, number, "workspace-0", tokens, 8)
            for number in range(GROUP_RUNS)
        ]
        firsts = []
        with self._deployment("length_aware") as deployment:
            time.sleep(1.0)
            for arrival in arrivals:
                (sample,) = asyncio.run(drive(deployment.entries, [arrival]))
                firsts.append(sample.first)
        ideal = workload.ideal_group(tokens, 3) * self._options.time_scale
        ratios = [round(first / ideal, 3) if first else None for first in firsts]
        return {"tokens": tokens, "ideal": round(ideal, 3), "ratios": ratios}


async def drive(
    entries: t.Sequence[str],
    arrivals: t.Sequence[workload.Arrival],
    cut: float | None = None,
) -> list[Sample]:
    """Send arrivals at their times; give up at a cut, in seconds."""
    client = new_client(POOL, CONNECT_TIMEOUT)
    start = time.monotonic()
    tasks = []
    for arrival in arrivals:
        delay = start + arrival.at - time.monotonic()
        if delay > 0:
            await asyncio.sleep(delay)
        entry = entries[arrival.number % len(entries)]
        tasks.append(asyncio.create_task(_send(client, entry, arrival, start)))
    left = None if cut is None else max(0.0, start + cut - time.monotonic())
    done, late = await asyncio.wait(tasks, timeout=left)
    for task in late:
        task.cancel()
    await asyncio.gather(*late, return_exceptions=True)
    return [task.result() for task in done]


async def _send(
    client: aiosonic.HTTPClient, entry: str, arrival: workload.Arrival, start: float
) -> Sample:
    body = {
        "model": "advisor",
        "prompt": workload.text(arrival),
        "max_tokens": arrival.output,
        "stream": True,
    }
    headers = {"Authorization": f"Bearer {workload.key(arrival.workspace)}"}
    due = start + arrival.at
    first = None
    tail = b""
    try:
        response = await client.request(
            f"{entry}/v1/completions",
            method="POST",
            headers=headers,
            data=json.dumps(body),
            stream=True,
        )
        status = response.status_code
        async for piece in response.read_chunks():
            if first is None and status == 200:
                first = time.monotonic() - due
            tail = (tail + piece)[-64:]
    except (OSError, EOFError, aiosonic.exceptions.BaseTimeout) as error:
        print(f"request {arrival.number}: {error!r}")
        status = 0
    now = time.monotonic()
    whole = status == 200 and tail.endswith(b"data: [DONE]\n\n")
    return Sample(arrival, status, first, now - due, now - start, whole)


def _slowdown(cells: list[Cell]) -> list[dict[str, t.Any]]:
    rows = []
    for policy, load in dict.fromkeys((cell.policy, cell.load) for cell in cells):
        alone, beside = (
            _firsts(
                sample
                for cell in cells
                if (cell.policy, cell.load, cell.long) == (policy, load, long)
                for sample in cell.samples
                if sample.arrival.short
            )
            for long in (False, True)
        )
        row: dict[str, t.Any] = {"policy": policy, "load": load, "n": len(beside)}
        for point in PERCENTILES:
            before, after = _quantile(alone, point), _quantile(beside, point)
            name = f"p{point * 100:.0f}"
            row[f"{name}_alone_ms"] = round(before * 1000, 1)
            row[f"{name}_ms"] = round(after * 1000, 1)
            row[f"{name}_slowdown"] = round(after / before, 3)
        rows.append(row)
    return rows


def _first_tokens(cells: list[Cell]) -> list[dict[str, t.Any]]:
    rows = []
    for policy, load in dict.fromkeys((cell.policy, cell.load) for cell in cells):
        least = 0
        for most in workload.BUCKETS:
            first = _firsts(
                sample
                for cell in cells
                if (cell.policy, cell.load, cell.long) == (policy, load, True)
                for sample in cell.samples
                if least < sample.arrival.tokens <= most
            )
            least = most
            row: dict[str, t.Any] = {"policy": policy, "load": load, "up_to": most}
            row["n"] = len(first)
            for point in PERCENTILES:
                value = round(_quantile(first, point), 3) if first else None
                row[f"p{point * 100:.0f}_s"] = value
            rows.append(row)
    return rows


def _outcomes(cells: list[Cell]) -> list[dict[str, t.Any]]:
    rows = []
    for cell in cells:
        deadline = 120.0 + 1.0  # seconds, with a second to tell
        rows.append(
            {
                "policy": cell.policy,
                "load": cell.load,
                "long": cell.long,
                "seed": cell.seed,
                "sent": len(cell.samples),
                "whole": sum(sample.whole for sample in cell.samples),
                "refused": sum(sample.status >= 400 for sample in cell.samples),
                "broken": sum(
                    sample.status == 0 or (sample.status == 200 and not sample.whole)
                    for sample in cell.samples
                ),
                "late": sum(sample.total > deadline for sample in cell.samples),
            }
        )
    return rows


def _firsts(samples: t.Iterable[Sample]) -> list[float]:
    return sorted(s.first for s in samples if s.first is not None and s.whole)


def _quantile(ordered: t.Sequence[float], point: float) -> float:
    if not ordered:
        return float("nan")
    return ordered[min(len(ordered) - 1, int(point * len(ordered)))]


def plot(document: dict[str, t.Any], name: str) -> None:
    """Draw short slowdown and time to first token by prompt length."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    loads = sorted({row["load"] for row in document["slowdown"]})
    figure, axes = pyplot.subplots(1, 1 + len(loads), figsize=(5 + 4 * len(loads), 4))
    for policy in dict.fromkeys(row["policy"] for row in document["slowdown"]):
        rows = [row for row in document["slowdown"] if row["policy"] == policy]
        xs = [row["load"] for row in rows]
        axes[0].plot(xs, [row["p95_slowdown"] for row in rows], "o-", label=policy)
        for axis, load in zip(axes[1:], loads):
            rows = [
                row
                for row in document["first_token"]
                if (row["policy"], row["load"]) == (policy, load) and row["n"]
            ]
            xs = [row["up_to"] for row in rows]
            axis.loglog(xs, [row["p95_s"] for row in rows], "o-", label=policy)
            axis.set(title=f"load {load:.0%}", xlabel="prompt up to, tokens")
            axis.set_ylabel("first token p95, s")
    axes[0].set(title="short prompts", xlabel="load", ylabel="p95 slowdown")
    axes[0].set_yscale("log")
    axes[0].legend()
    figure.tight_layout()
    figure.savefig(FOLDER.parent / f"{name}.png", dpi=100)
