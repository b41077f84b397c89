"""Slopes of each role's cost, and what they come to at the size to come.

Measures on this machine, writes ``docs/measurements/scale.json`` and a plot,
and regenerates the tables of ``docs/CAPACITY.md``.
"""

import argparse
import dataclasses
import gc
import random
import time
import tracemalloc
import typing as t

from bench import capacity, relay
from bench.report import FOLDER, save, table
from chicorycove.board import EntryBoard, TargetState
from chicorycove.catalogue import (
    Catalogue,
    Entry,
    Limits,
    Model,
    PriorityClass,
    Service,
    ServiceKind,
    Workspace,
)
from chicorycove.event import AttemptOffer, TargetLoad
from chicorycove.frame import load_frame
from chicorycove.gate import Gate
from chicorycove.host import Host
from chicorycove.identity import AgentId, AttemptId
from chicorycove.request import Prompt, Request
from chicorycove.routing import Router, RoutingSettings
from chicorycove.subset import choose_hosts
from chicorycove.wire import link_pb2 as wire

MICRO = 1e6
KILOBYTE = 1024
SEED = 1
TARGETS = (20, 400, 7_400)
WORKSPACES = (10, 100, 1_000)
RECORDS = (1_000, 10_000)
MODELS = 13
ROUTINGS = 2_000  # decisions timed for each number of targets


@dataclasses.dataclass(frozen=True)
class Slope:
    """What a quantity costs for each of something, over a measured range."""

    name: str
    value: float
    unit: str
    measured: str
    command: str = "python -m bench scale"


def main(argv: t.Sequence[str]) -> int:
    """Run the experiment."""
    parser = argparse.ArgumentParser(prog="python -m bench scale", description=__doc__)
    parser.add_argument("--skip-relay", action="store_true", help="use the last run's")
    options = parser.parse_args(argv)
    points: dict[str, list[tuple[float, float]]] = {}
    slopes = [
        *routing(points),
        *subsets(points),
        *catalogues(points),
        *gates(points),
        *frames(),
    ]
    if not options.skip_relay:
        results = relay.measure(400, 32, (8, 264))
        save("relay", {"results": [dataclasses.asdict(r) for r in results]})
    rows = [dataclasses.asdict(slope) for slope in slopes]
    print(table(rows))
    save("scale", {"slopes": rows, "points": points})
    capacity.plot(points, FOLDER / "scale.png")
    capacity.regenerate()
    return 0


def routing(points: dict[str, list]) -> t.Iterator[Slope]:
    """Measure a routing decision and the state of a target."""
    memories, times = [], []
    for count in TARGETS:
        catalogue = _catalogue(10)
        board, memory = _sized(lambda: _board(catalogue, count))
        memories.append((count, memory / KILOBYTE))
        times.append((count, _time_routing(board)))
    points["routing decision, us, by targets"] = times
    points["entry board, KB, by targets"] = memories
    span = f"{TARGETS[0]} to {TARGETS[-1]} targets"
    yield Slope("entry: state of a linked target", _slope(memories), "KB", span)
    yield Slope("entry: routing decision, at most", _highest(times), "us", span)


def subsets(points: dict[str, list]) -> t.Iterator[Slope]:
    """Measure the choice of links when the host list changes."""
    catalogue = _catalogue(10)
    times = []
    for count in TARGETS:
        hosts = [_host(number) for number in range(count)]
        times.append(
            (count, _time(lambda: choose_hosts("entry", hosts, catalogue, 24), 5))
        )
    points["choice of links, us, by targets"] = times
    span = f"{TARGETS[0]} to {TARGETS[-1]} hosts"
    value = _slope(times) * TARGETS[-1] / 1000
    yield Slope("entry: choice of links at 7,400 hosts", value, "ms a change", span)


def catalogues(points: dict[str, list]) -> t.Iterator[Slope]:
    """Measure the catalogue in memory."""
    memories = []
    for count in WORKSPACES:
        _, memory = _sized(lambda: _catalogue(count))
        memories.append((count, memory / KILOBYTE))
    points["catalogue, KB, by workspaces"] = memories
    span = f"{WORKSPACES[0]} to {WORKSPACES[-1]} workspaces"
    yield Slope("all: catalogue, a workspace", _slope(memories), "KB", span)


def gates(points: dict[str, list]) -> t.Iterator[Slope]:
    """Measure an agent's record of an attempt."""
    memories, times = [], []
    for count in RECORDS:
        began = time.perf_counter()
        _, memory = _sized(lambda: _gate(count))
        times.append((count, (time.perf_counter() - began) / count * MICRO))
        memories.append((count, memory / KILOBYTE))
    points["gate, KB, by attempts remembered"] = memories
    span = f"{RECORDS[0]} to {RECORDS[-1]} attempts"
    yield Slope("agent: record of an attempt", _slope(memories), "KB", span)


def frames() -> t.Iterator[Slope]:
    """Measure the bytes of control frames on a link."""
    load = wire.AgentBatch(
        frames=[load_frame(TargetLoad(9, 30, 90_000, 50_000, 131_072))]
    )
    beat = wire.EntryBatch(frames=[wire.EntryFrame(heartbeat=wire.Heartbeat())])
    yield Slope("link: a load report", load.ByteSize() + 4, "bytes", "one frame")
    yield Slope("link: a heartbeat", beat.ByteSize() + 4, "bytes", "one frame")


def _time_routing(board: EntryBoard) -> float:
    router = Router(RoutingSettings(), random.Random(SEED))
    rng = random.Random(SEED)
    requests = [_request(number, rng) for number in range(ROUTINGS)]
    router.choose(requests[0], board, 0.0)

    def decide() -> None:
        for request in requests:
            router.choose(request, board, 0.0)

    return _time(decide, 3) / ROUTINGS


def _time(work: t.Callable[[], t.Any], repeats: int) -> float:
    """Return the least time of some runs, in microseconds."""
    best = float("inf")
    for _ in range(repeats):
        began = time.perf_counter()
        work()
        best = min(best, time.perf_counter() - began)
    return best * MICRO


def _sized(make: t.Callable[[], t.Any]) -> tuple[t.Any, int]:
    """Return what is made and the bytes that it holds."""
    gc.collect()
    tracemalloc.start()
    result = make()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return result, size


def _slope(points: t.Sequence[tuple[float, float]]) -> float:
    (x0, y0), (x1, y1) = points[0], points[-1]
    return round((y1 - y0) / (x1 - x0), 4)


def _highest(points: t.Sequence[tuple[float, float]]) -> float:
    return round(max(y for _, y in points), 1)


def _catalogue(workspaces: int) -> Catalogue:
    entries: list[Entry] = [
        PriorityClass(name="advisory", owner="o", priority=1, deadline=60.0)
    ]
    for number in range(MODELS):
        name = f"model-{number}"
        selector = {"service": name}
        kind = ServiceKind.ENGINE
        entries.append(Service(name=name, owner="o", kind=kind, selector=selector))
        entries.append(Model(name=name, owner="o", service=name))
    entries += [_workspace(number) for number in range(workspaces)]
    return Catalogue.build(entries, 1)


def _workspace(number: int) -> Workspace:
    return Workspace(
        name=f"workspace-{number:04}",
        owner=f"owner-{number:04}",
        priority_class="advisory",
        limits=Limits(requests_per_second=10.0, tokens_per_second=5000.0),
        key_digests=(f"{number:064x}", f"{number + 10**6:064x}"),
    )


def _host(number: int) -> Host:
    return Host(
        name=f"target-{number:05}",
        agent=f"10.0.{number // 250}.{number % 250}:7000",
        region="r",
        failure_domain=f"d{number % 8}",
        labels={"service": f"model-{number % MODELS}"},
    )


def _board(catalogue: Catalogue, count: int) -> EntryBoard:
    board = EntryBoard(catalogue=catalogue)
    for number in range(count):
        host = _host(number)
        state = TargetState(host, AgentId(host.name, "i"))
        state.load = TargetLoad(memory_free=100_000, memory_total=131_072)
        board.targets[host.name] = state
    return board


def _request(number: int, rng: random.Random) -> Request:
    tokens = rng.choice((1_000, 8_000, 64_000))
    work = Prompt(f"model-{number % MODELS}", tokens, 256)
    return Request(f"r{number}", "w", "advisory", work, 0.0, 60.0)


def _gate(count: int) -> Gate:
    gate = Gate(AgentId("target", "i"))
    for number in range(count):
        attempt = AttemptId(f"{number:016x}", 1, f"{number:016x}")
        gate.admit(AttemptOffer(attempt, "entry", "i", 60.0, 1), 0.0)
        gate.start(attempt, 0.0)
        gate.end(attempt, 0.0)
    return gate
