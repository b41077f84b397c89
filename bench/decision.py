"""Cost of one decision: time and memory by targets and by workspaces."""

import argparse
import dataclasses
import random
import time
import tracemalloc
import typing as t

from bench.report import save, table
from chicorycove.board import EntryBoard, TargetState
from chicorycove.catalogue import (
    Catalogue,
    Limits,
    Model,
    Service,
    ServiceKind,
    Workspace,
)
from chicorycove.event import TargetLoad
from chicorycove.host import Host
from chicorycove.identity import AgentId, AttemptId
from chicorycove.quota import Quotas, QuotaSettings
from chicorycove.request import Prompt, Request
from chicorycove.routing import Router, RoutingSettings

TARGETS = (20, 400, 7_400)
WORKSPACES = (10, 1_000)
MEMORY = 131_072  # tokens
LOAD = TargetLoad(memory_free=MEMORY, memory_total=MEMORY)
OUTSTANDING = 4  # requests at each target
MICRO = 1e6
KILOBYTE = 1024


def main(argv: t.Sequence[str]) -> int:
    """Run the experiment."""
    parser = argparse.ArgumentParser(prog="python -m bench decision")
    parser.add_argument("--decisions", type=int, default=5_000)
    parser.add_argument("--output", default="decision")
    options = parser.parse_args(argv)
    rows = [
        _measure(targets, workspaces, options.decisions)
        for targets in TARGETS
        for workspaces in WORKSPACES
    ]
    print(table(rows))
    save(options.output, {"options": vars(options), "results": rows})
    return 0


def _measure(targets: int, workspaces: int, decisions: int) -> dict[str, t.Any]:
    tracemalloc.start()
    board = _board(targets, workspaces)
    router = Router(RoutingSettings(max_index_age=1e9), random.Random(1))
    quotas = Quotas(QuotaSettings(max_entries=3))
    router.choose(_request(0, 1_000, workspaces), board, 0.0)
    for number in range(workspaces):
        quotas.workspace_quota(f"w{number}", board.catalogue, 0.0)
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    requests = [_request(n, 1_000, workspaces) for n in range(decisions)]
    longs = [_request(n, 100_000, workspaces) for n in range(decisions)]
    rebuild = Router(RoutingSettings(max_index_age=0.0), random.Random(1))
    return {
        "targets": targets,
        "workspaces": workspaces,
        "short_us": _time(lambda x: router.choose(x, board, 0.0), requests),
        "long_us": _time(lambda x: router.choose(x, board, 0.0), longs),
        "limit_us": _time(lambda x: _charge(quotas, x, board), requests),
        "index_ms": _time(lambda x: rebuild.choose(x, board, 0.0), requests[:5]) / 1e3,
        "state_kb": round(memory / KILOBYTE, 1),
    }


def _charge(quotas: Quotas, request: Request, board: EntryBoard) -> None:
    quotas.admit(request, board.catalogue, 0.0)
    quotas.release(request.id)


def _time(decide: t.Callable[[Request], t.Any], requests: list[Request]) -> float:
    """Return the microseconds of one decision."""
    start = time.perf_counter()
    for request in requests:
        decide(request)
    return round((time.perf_counter() - start) / len(requests) * MICRO, 2)


def _request(number: int, tokens: int, workspaces: int) -> Request:
    work = Prompt("m", tokens, 16)
    name = f"w{number % workspaces}"
    return Request(f"r{number}", name, "c", work, 0.0, 60.0)


def _board(targets: int, workspaces: int) -> EntryBoard:
    service = Service(
        name="s", owner="o", kind=ServiceKind.ENGINE, selector={"service": "s"}
    )
    limits = Limits(requests_per_second=1e6, tokens_per_second=1e9, memory_tokens=10**9)
    catalogue = Catalogue(
        models={"m": Model(name="m", owner="o", service="s")},
        services={"s": service},
        workspaces={
            f"w{n}": Workspace(
                name=f"w{n}", owner="o", priority_class="c", limits=limits
            )
            for n in range(workspaces)
        },
    )
    board = EntryBoard(catalogue=catalogue)
    for number in range(targets):
        board.targets[f"t{number}"] = _target(number)
    return board


def _target(number: int) -> TargetState:
    host = Host(
        name=f"t{number}",
        agent="127.0.0.1:1",
        region="r",
        failure_domain="d",
        labels={"service": "s"},
    )
    state = TargetState(host, AgentId(host.name, "1"), LOAD)
    for index in range(OUTSTANDING):
        attempt = AttemptId(f"{number}-{index}", 1, "n")
        state.outstanding[attempt] = 1_000
        state.prefill[attempt] = 1_000
    return dataclasses.replace(state)
