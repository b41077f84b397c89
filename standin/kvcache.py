"""Simulates an engine's KV memory, with reservations and a prefix cache."""

import collections
import dataclasses
import random
import typing as t

import xxhash

TOKEN_BYTES = 4  # of a prompt
BLOCK_BYTES = 2048  # of a prompt
BLOCK_TOKENS = BLOCK_BYTES // TOKEN_BYTES
MAX_EVENTS = 10_000  # older ones are dropped


def token_count(data: bytes) -> int:
    """Return the number of tokens of a prompt."""
    return -(-len(data) // TOKEN_BYTES)


def block_hashes(data: bytes) -> tuple[int, ...]:
    """Return the hash of each full block, seeded with the one before."""
    hashes = []
    seed = 0
    for start in range(0, len(data) - BLOCK_BYTES + 1, BLOCK_BYTES):
        seed = xxhash.xxh64_intdigest(data[start : start + BLOCK_BYTES], seed=seed)
        hashes.append(seed)
    return tuple(hashes)


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """Blocks that were stored or evicted; ``time`` is in seconds."""

    number: int
    kind: str
    blocks: tuple[int, ...]
    time: float


class EventLog:
    """Records cache events and publishes them after a lag, with gaps."""

    def __init__(self, lag: float, gap_rate: float, seed: int):
        self._lag = lag
        self._gap_rate = gap_rate
        self._random = random.Random(seed)
        self._events: collections.deque[CacheEvent] = collections.deque(
            maxlen=MAX_EVENTS
        )
        self._count = 0

    def add(self, kind: str, blocks: t.Iterable[int], now: float) -> None:
        """Record an event, or drop it with the probability of a gap."""
        blocks = tuple(blocks)
        if not blocks:
            return
        self._count += 1
        if self._random.random() >= self._gap_rate:
            self._events.append(CacheEvent(self._count, kind, blocks, now))

    def after(self, number: int, now: float) -> list[CacheEvent]:
        """Return the events above a number whose lag has passed."""
        return [
            event
            for event in self._events
            if event.number > number and event.time + self._lag <= now
        ]


class KVMemory:
    """KV memory of one engine, in tokens.

    Memory that no attempt has reserved caches prefix blocks; the least
    recently used block is evicted first.
    """

    def __init__(self, total: int, events: EventLog):
        self.total = total
        self.reserved: dict[str, int] = {}
        self._events = events
        self._blocks: collections.OrderedDict[int, None] = collections.OrderedDict()

    @property
    def used(self) -> int:
        """Return how many tokens attempts have reserved."""
        return sum(self.reserved.values())

    def reserve(self, attempt: str, tokens: int, now: float) -> bool:
        """Reserve memory for an attempt and return whether it fits."""
        if attempt in self.reserved or tokens > self.total - self.used:
            return False
        self.reserved[attempt] = tokens
        self._evict(now)
        return True

    def release(self, attempt: str) -> int:
        """Release an attempt's memory and return how many tokens it was."""
        return self.reserved.pop(attempt, 0)

    def match_prefix(self, blocks: t.Sequence[int]) -> int:
        """Return how many leading blocks are cached, and mark them as used."""
        for count, block in enumerate(blocks):
            if block not in self._blocks:
                return count
            self._blocks.move_to_end(block)
        return len(blocks)

    def store(self, blocks: t.Sequence[int], now: float) -> None:
        """Cache as many leading blocks as fit into free memory."""
        blocks = blocks[: self._free_blocks()]
        new = [block for block in blocks if block not in self._blocks]
        for block in reversed(blocks):
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        self._events.add("stored", new, now)
        self._evict(now)

    def clear(self) -> None:
        """Drop all reservations and cached blocks."""
        self.reserved.clear()
        self._blocks.clear()

    def _free_blocks(self) -> int:
        return max(0, self.total - self.used) // BLOCK_TOKENS

    def _evict(self, now: float) -> None:
        free_blocks = self._free_blocks()
        evicted = []
        while len(self._blocks) > free_blocks:
            evicted.append(self._blocks.popitem(last=False)[0])
        self._events.add("evicted", evicted, now)
