"""Seeded open-loop arrivals with the class mix of the two deployments."""

import dataclasses
import hashlib
import itertools
import random
import typing as t

from standin.batch import TimeModel

MEMORY = 131_072  # tokens of one engine
TOKEN_BYTES = 4
SHORT = 8_192  # tokens up to which a prompt is short
LONG = 100_000  # tokens over which a prompt is long
BUCKETS = (1_000, 8_192, 65_536, 131_072, 1_000_000)  # tokens, upper ends

# Share of the requests, and the least and most tokens of their prompts.
MIX = (
    (0.80, 500, 2_000),  # advisory questions, headline drafts
    (0.14, 2_000, 8_192),  # reviews, digests
    (0.04, 16_384, 64_000),  # design packages
    (0.017, 100_001, 120_000),  # archives
    (0.003, 140_000, int(2.7 * MEMORY)),  # project histories, policy summaries
)
OUTPUT = (8, 32)  # tokens of an answer
WORKSPACES = 10
LARGE_WORKSPACES = 3
LARGE_SHARE = 0.7  # of the requests that the large workspaces send


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One request to send; at is in seconds from the start."""

    at: float
    number: int
    workspace: str
    tokens: int
    output: int

    @property
    def short(self) -> bool:
        """Tell whether the prompt is short."""
        return self.tokens <= SHORT


def arrivals(rate: float, seconds: float, seed: int) -> t.Iterator[Arrival]:
    """Yield the arrivals of a Poisson process at a rate a second."""
    rng = random.Random(seed)
    at = 0.0
    for number in itertools.count():
        at += rng.expovariate(rate)
        if at > seconds:
            return
        tokens = _tokens(rng)
        yield Arrival(at, number, _workspace(rng), tokens, rng.randint(*OUTPUT))


def work(tokens: int) -> float:
    """Return the engine seconds that a prompt takes, alone and uncached."""
    return TimeModel().prefill_time(0, tokens)


def mean_work(samples: int = 50_000) -> float:
    """Return the engine seconds that a request takes on average."""
    rng = random.Random(0)
    return sum(work(_tokens(rng)) for _ in range(samples)) / samples


def ideal_group(tokens: int, members: int) -> float:
    """Return the seconds to the first token of a group that waits for none."""
    times = TimeModel()
    decode = times.decode_base + members * times.decode_member
    return times.prefill_time(0, tokens) + decode


def text(arrival: Arrival) -> str:
    """Return a prompt that shares no prefix with another."""
    head = f"{arrival.number:08d} {arrival.tokens} "
    return head + "x" * (arrival.tokens * TOKEN_BYTES - len(head))


def catalogue() -> dict[str, t.Any]:
    """Return the catalogue's document for the workload."""
    entries = [
        _entry("class", "advisory", priority=1, deadline=60.0, queue_limit=2000),
        _entry("class", "review", priority=1, deadline=120.0, queue_limit=2000),
        _entry("service", "advisor", type="engine", selector={"service": "advisor"}),
        _entry("model", "advisor", service="advisor"),
    ]
    for number in range(WORKSPACES):
        name = f"workspace-{number}"
        digest = hashlib.sha256(key(name).encode()).hexdigest()
        workspace = {"class": "review", "key_digests": [digest]}
        entries.append(_entry("workspace", name, **workspace))
    return {"entries": entries}


def key(workspace: str) -> str:
    """Return a workspace's key."""
    return f"{workspace}-key"


def _entry(kind: str, name: str, **fields: t.Any) -> dict[str, t.Any]:
    return {"kind": kind, "name": name, "owner": "bench", **fields}


def _tokens(rng: random.Random) -> int:
    share = rng.random()
    for part, least, most in MIX:
        if share < part:
            break
        share -= part
    return rng.randint(least, most)


def _workspace(rng: random.Random) -> str:
    if rng.random() < LARGE_SHARE:
        return f"workspace-{rng.randrange(LARGE_WORKSPACES)}"
    return f"workspace-{rng.randrange(LARGE_WORKSPACES, WORKSPACES)}"
