"""Resident memory of each role at rest, and of each library it imports."""

import argparse
import dataclasses
import os
import pathlib
import subprocess
import sys
import typing as t

from bench.deployment import Deployment, DeploymentSpec, TargetSpec, resident
from bench.report import save, table

CATALOGUE = pathlib.Path("examples/local/catalogue.json")
LIBRARIES = (
    "asyncio",
    "msgspec",
    "prometheus_client",
    "jsonc",
    "xxhash",
    "pythonjsonlogger.json",
    "transitions",
    "chicorycove.wire.link_pb2",
    "grpc.aio",
    "aiosonic",
    "starlette.applications",
    "uvicorn",
)
PROBE = (
    "import importlib, os, sys\n"
    "importlib.import_module(sys.argv[1])\n"
    "pages = int(open('/proc/self/statm').read().split()[1])\n"
    "print(pages * os.sysconf('SC_PAGE_SIZE'))\n"
)
MEGABYTE = 1024 * 1024
BUDGET = 64.0  # megabytes for control on a node


@dataclasses.dataclass(frozen=True)
class Usage:
    """What a part holds, in megabytes."""

    part: str
    megabytes: float


def main(argv: t.Sequence[str]) -> int:
    """Run the experiment."""
    parser = argparse.ArgumentParser(prog="python -m bench memory", description=__doc__)
    parser.parse_args(argv)
    usages = [*libraries(), *roles()]
    rows = [dataclasses.asdict(usage) for usage in usages]
    print(table(rows))
    save("memory", {"budget": BUDGET, "results": rows})
    return 0


def libraries() -> t.Iterator[Usage]:
    """Yield what each library adds to a bare interpreter, imported alone."""
    bare = _imported("sys")
    yield Usage("bare interpreter", round(bare, 1))
    for name in LIBRARIES:
        yield Usage(f"import {name}", round(_imported(name) - bare, 1))


def roles() -> t.Iterator[Usage]:
    """Yield what each role holds at rest, linked and ready."""
    targets = (TargetSpec("advisor-1", "advisor"),)
    with Deployment(DeploymentSpec(CATALOGUE, targets, entries=1)) as deployment:
        for part in ("entry-1", "agent-advisor-1"):
            yield Usage(part, round(resident(deployment.pid(part)), 1))


def _imported(name: str) -> float:
    command = [sys.executable, "-c", PROBE, name]
    result = subprocess.run(command, capture_output=True, check=True, env=os.environ)
    return int(result.stdout) / MEGABYTE
