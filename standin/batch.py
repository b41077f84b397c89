"""Simulates an engine's continuous batching, with modelled step times."""

import asyncio
import dataclasses
import enum
import typing as t

from .kvcache import BLOCK_TOKENS, KVMemory

HANG_POLL_INTERVAL = 0.01  # seconds between checks whether the hang is over


class Stage(enum.Enum):
    """The stages that a sequence passes through."""

    QUEUED = "queued"
    PREFILL = "prefill"
    DECODE = "decode"
    HELD = "held"  # a prefilled segment whose KV cache is kept for its group
    FINISHED = "finished"
    ENDED = "ended"  # cancelled, exported, or dropped when the engine died


LIVE_STAGES = (Stage.QUEUED, Stage.PREFILL, Stage.DECODE, Stage.HELD)


@dataclasses.dataclass(slots=True, kw_only=True)
class Sequence:
    """The part of an attempt that this engine computes.

    Positions ``start`` to ``stop`` of the prompt are prefilled here; other
    members of the group hold the earlier ones.
    """

    attempt: str
    priority: int  # a lower number is scheduled first
    start: int
    stop: int
    words: tuple[str, ...] = ()  # of the answer, one for each token
    members: tuple[str, ...] = ()  # of the group, as "host:port/attempt"
    blocks: tuple[int, ...] = ()  # hashes of the prompt's prefix blocks
    computed: int = 0  # prompt tokens
    emitted: int = 0  # words
    imported: bool = False
    stage: Stage = Stage.QUEUED
    arrival_number: int = 0
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    @property
    def remaining(self) -> int:
        """Return how many prompt tokens are still to be computed."""
        return self.stop - self.start - self.computed

    def notify(self) -> None:
        """Wake all tasks that wait for a change of this sequence."""
        self.changed.set()
        self.changed = asyncio.Event()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TimeModel:
    """How long an engine's steps take; times are in seconds.

    The time of a prompt token grows linearly with its position.
    """

    prefill_token: float = 20e-6  # for a token at position 0
    prefill_doubling: int = 262_144  # position at which a token takes twice that
    decode_base: float = 0.01  # of each decode step
    decode_sequence: float = 0.0005  # added for each sequence in the step
    decode_member: float = 0.002  # added for each group member of a sequence
    chunk_tokens: int = 8192  # prompt tokens that one step may prefill
    max_batch: int = 64  # sequences that run at the same time
    scale: float = 1.0  # factor on all times

    def prefill_time(self, position: int, tokens: int) -> float:
        """Return the time to prefill tokens that begin at a position."""
        middle = position + tokens / 2
        return tokens * self.prefill_token * (1 + middle / self.prefill_doubling)

    def decode_time(self, batch: t.Sequence[Sequence]) -> float:
        """Return the time of a decode step: one token for each sequence."""
        if not batch:
            return 0.0
        members = sum(len(sequence.members) for sequence in batch)
        added_time = len(batch) * self.decode_sequence + members * self.decode_member
        return self.decode_base + added_time


class Batch:
    """Runs sequences in batched steps, scheduled by priority and arrival."""

    def __init__(
        self,
        time_model: TimeModel,
        memory: KVMemory,
        clock: t.Callable[[], float],
        on_start: t.Callable[[Sequence], None],
    ):
        self.sequences: dict[str, Sequence] = {}
        self.slowdown = 1.0
        self.hanging = False
        self._time_model = time_model
        self._memory = memory
        self._clock = clock
        self._on_start = on_start
        self._work_added = asyncio.Event()
        self._arrivals = 0

    @property
    def running(self) -> list[Sequence]:
        """Return the sequences that are prefilled or decoded."""
        return self._in_stages(Stage.PREFILL, Stage.DECODE)

    @property
    def queued(self) -> list[Sequence]:
        """Return the sequences that wait for a place in the batch."""
        return self._in_stages(Stage.QUEUED)

    @property
    def queued_prefill(self) -> int:
        """Return how many prompt tokens are still to be computed in all."""
        unfinished = self._in_stages(Stage.QUEUED, Stage.PREFILL)
        return sum(sequence.remaining for sequence in unfinished)

    def add(self, sequence: Sequence) -> bool:
        """Queue a sequence and return whether its KV memory was reserved."""
        tokens = sequence.stop - sequence.start + len(sequence.words)
        if not self._memory.reserve(sequence.attempt, tokens, self._clock()):
            return False
        self._arrivals += 1
        sequence.arrival_number = self._arrivals
        self.sequences[sequence.attempt] = sequence
        self._work_added.set()
        return True

    def abort(self, attempt: str) -> int:
        """Abort an attempt and return how many tokens of memory it freed."""
        sequence = self.sequences.get(attempt)
        if sequence is None or sequence.stage not in LIVE_STAGES:
            return 0
        sequence.stage = Stage.ENDED
        sequence.notify()
        return self._memory.release(attempt)

    def clear(self) -> None:
        """End every attempt and drop all memory."""
        for sequence in self.sequences.values():
            if sequence.stage in LIVE_STAGES:
                sequence.stage = Stage.ENDED
            sequence.notify()
        self.sequences.clear()
        self._memory.clear()

    async def run(self) -> None:
        """Run one step after the other until cancelled."""
        while True:
            if not self._in_stages(Stage.QUEUED, Stage.PREFILL, Stage.DECODE):
                self._work_added.clear()
                await self._work_added.wait()
            if self.hanging:
                await asyncio.sleep(HANG_POLL_INTERVAL)
                continue
            self._start_queued()
            await self._run_step()

    async def _run_step(self) -> None:
        prefill = self._split_chunk()
        decode = self._in_stages(Stage.DECODE)
        seconds = self._time_model.decode_time(decode)
        for sequence, tokens in prefill:
            position = sequence.start + sequence.computed
            seconds += self._time_model.prefill_time(position, tokens)
        await asyncio.sleep(seconds * self._time_model.scale * self.slowdown)
        for sequence, tokens in prefill:
            self._record_prefill(sequence, tokens)
        for sequence in decode:
            self._record_decode(sequence)

    def _in_stages(self, *stages: Stage) -> list[Sequence]:
        return [
            sequence for sequence in self.sequences.values() if sequence.stage in stages
        ]

    def _start_queued(self) -> None:
        free_slots = self._time_model.max_batch - len(self.running)
        queued = sorted(
            self.queued,
            key=lambda sequence: (sequence.priority, sequence.arrival_number),
        )
        for sequence in queued[: max(0, free_slots)]:
            sequence.stage = Stage.PREFILL
            cached_tokens = self._memory.match_prefix(sequence.blocks) * BLOCK_TOKENS
            segment_tokens = sequence.stop - sequence.start
            skipped = min(cached_tokens - sequence.start, segment_tokens - 1)
            sequence.computed = max(sequence.computed, skipped)
            self._on_start(sequence)

    def _split_chunk(self) -> list[tuple[Sequence, int]]:
        free_tokens = self._time_model.chunk_tokens
        shares = []
        for sequence in sorted(
            self._in_stages(Stage.PREFILL),
            key=lambda sequence: (sequence.priority, sequence.arrival_number),
        ):
            if free_tokens == 0:
                break
            tokens = min(free_tokens, sequence.remaining)
            shares.append((sequence, tokens))
            free_tokens -= tokens
        return shares

    def _record_prefill(self, sequence: Sequence, tokens: int) -> None:
        if sequence.stage is not Stage.PREFILL:
            return
        sequence.computed += tokens
        if sequence.remaining > 0:
            return
        sequence.stage = Stage.DECODE if sequence.words else Stage.HELD
        self._memory.store(sequence.blocks, self._clock())
        if sequence.words:
            self._record_decode(sequence)
        sequence.notify()

    def _record_decode(self, sequence: Sequence) -> None:
        if sequence.stage is not Stage.DECODE:
            return
        sequence.emitted += 1
        if sequence.emitted >= len(sequence.words):
            sequence.stage = Stage.FINISHED
            self._memory.release(sequence.attempt)
            self._memory.store(sequence.blocks, self._clock())
        sequence.notify()
