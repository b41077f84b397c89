"""CPU time of entry and agent for each relayed event and each request.

Streams answers of two lengths through one entry and one agent as real
processes, and reads the processes' CPU time from ``/proc``.  The slope over
events is the cost of an event, what is left the cost of a request.
"""

import argparse
import asyncio
import dataclasses
import json
import pathlib
import typing as t

import aiosonic
from aiosonic.connectors import TCPConnector
from aiosonic.pools import PoolConfig
from aiosonic.timeout import Timeouts

from bench.deployment import (
    Deployment,
    DeploymentSpec,
    TargetSpec,
    cpu_seconds,
    resident,
)
from bench.report import save, table

CATALOGUE = pathlib.Path("examples/local/catalogue.json")
HEADERS = {"Authorization": "Bearer toolroom-key"}
MICRO = 1e6
EVENTS_PER_SECOND = 34_000  # of one entry at the size to come


@dataclasses.dataclass(frozen=True)
class Sample:
    """One run: what went through, and the CPU seconds of each part."""

    requests: int
    events: int
    cpu: dict[str, float]


@dataclasses.dataclass(frozen=True)
class Result:
    """What one part spends; times are in microseconds, memory in megabytes."""

    part: str
    per_event: float
    per_request: float
    memory: float
    cores_at_size: float


def main(argv: t.Sequence[str]) -> int:
    """Run the experiment."""
    parser = argparse.ArgumentParser(prog="python -m bench relay", description=__doc__)
    parser.add_argument("--requests", type=int, default=400)
    parser.add_argument("--streams", type=int, default=32)
    parser.add_argument("--tokens", type=int, nargs=2, default=(8, 264))
    parser.add_argument("--output", default="relay")
    options = parser.parse_args(argv)
    results = measure(options.requests, options.streams, options.tokens)
    rows = [dataclasses.asdict(result) for result in results]
    print(table(rows))
    save(options.output, {"options": vars(options), "results": rows})
    return 0


def measure(requests: int, streams: int, tokens: t.Sequence[int]) -> list[Result]:
    """Return what each part spends."""
    targets = (TargetSpec("advisor-1", "advisor", memory=1_048_576),)
    spec = DeploymentSpec(CATALOGUE, targets, entries=1, time_scale=0.02)
    with Deployment(spec) as deployment:
        parts = {
            "entry": deployment.pid("entry-1"),
            "agent": deployment.pid("agent-advisor-1"),
        }
        memory = {name: resident(pid) for name, pid in parts.items()}
        url = deployment.entries[0]
        asyncio.run(_load(url, streams, streams, tokens[0]))
        short, long = (
            asyncio.run(_sample(url, parts, requests, streams, count))
            for count in tokens
        )
    return [_result(name, short, long, memory[name]) for name in parts]


async def _sample(
    url: str, parts: dict[str, int], requests: int, streams: int, tokens: int
) -> Sample:
    before = {name: cpu_seconds(pid) for name, pid in parts.items()}
    events = await _load(url, requests, streams, tokens)
    cpu = {name: cpu_seconds(pid) - before[name] for name, pid in parts.items()}
    return Sample(requests, events, cpu)


async def _load(url: str, requests: int, streams: int, tokens: int) -> int:
    """Stream answers, some at a time; return the events that came."""
    pools = {":default": PoolConfig(size=streams, max_conn_requests=None)}
    timeouts = Timeouts(sock_read=None, request_timeout=None)
    client = aiosonic.HTTPClient(TCPConnector(pool_configs=pools, timeouts=timeouts))
    left = iter(range(requests))

    async def stream() -> int:
        events = 0
        for number in left:
            events += await _one(client, url, number, tokens)
        return events

    return sum(await asyncio.gather(*(stream() for _ in range(streams))))


async def _one(client: aiosonic.HTTPClient, url: str, number: int, tokens: int) -> int:
    body = {
        "model": "advisor",
        "prompt": f"request {number} " * 40,
        "max_tokens": tokens,
        "stream": True,
    }
    response = await client.request(
        f"{url}/v1/completions",
        method="POST",
        headers=HEADERS,
        data=json.dumps(body),
        stream=True,
    )
    data = b""
    async for piece in response.read_chunks():
        data += piece
    if response.status_code != 200 or not data.endswith(b"data: [DONE]\n\n"):
        raise RuntimeError(f"status {response.status_code}: {data[-300:]!r}")
    return data.count(b"data: ")


def _result(part: str, short: Sample, long: Sample, memory: float) -> Result:
    per_event = (long.cpu[part] - short.cpu[part]) / (long.events - short.events)
    left = short.cpu[part] - per_event * short.events
    return Result(
        part=part,
        per_event=round(per_event * MICRO, 2),
        per_request=round(left / short.requests * MICRO, 1),
        memory=round(memory, 1),
        cores_at_size=round(per_event * EVENTS_PER_SECOND, 2),
    )
