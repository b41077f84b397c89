"""Continuous batching: which tokens an engine computes, and in what time."""

import asyncio
import dataclasses
import enum
import typing as t

from .kvcache import BLOCK_TOKENS, KVMemory

HANG_POLL_INTERVAL = 0.01  # seconds


class Stage(enum.Enum):
    """How far a sequence has come."""

    QUEUED = "queued"
    PREFILL = "prefill"
    DECODE = "decode"
    HELD = "held"  # a segment whose KV cache waits for its group
    FINISHED = "finished"
    ENDED = "ended"  # cancelled, exported or lost with the engine


LIVE_STAGES = (Stage.QUEUED, Stage.PREFILL, Stage.DECODE, Stage.HELD)


@dataclasses.dataclass(slots=True, kw_only=True)
class Sequence:
    """One attempt's tokens; start is where its own segment begins."""

    attempt: str
    priority: int
    start: int
    stop: int
    words: tuple[str, ...] = ()
    members: tuple[str, ...] = ()
    blocks: tuple[int, ...] = ()
    computed: int = 0
    emitted: int = 0
    imported: bool = False
    stage: Stage = Stage.QUEUED
    arrival: int = 0
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    @property
    def remaining(self) -> int:
        """Return the prompt tokens still to be computed."""
        return self.stop - self.start - self.computed

    def notify(self) -> None:
        """Wake everyone who waits for this sequence."""
        self.changed.set()
        self.changed = asyncio.Event()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TimeModel:
    """What tokens cost, in seconds and tokens."""

    prefill_token: float = 20e-6
    prefill_doubling: int = 262_144  # a token this far in costs twice as much
    decode_base: float = 0.01
    decode_sequence: float = 0.0005
    decode_member: float = 0.002
    chunk_tokens: int = 8192
    max_batch: int = 64
    scale: float = 1.0

    def prefill_time(self, position: int, tokens: int) -> float:
        """Return the seconds that prompt tokens from a position take."""
        middle = position + tokens / 2
        return tokens * self.prefill_token * (1 + middle / self.prefill_doubling)

    def decode_time(self, batch: t.Sequence[Sequence]) -> float:
        """Return the seconds that one token for each sequence takes."""
        if not batch:
            return 0.0
        members = sum(len(sequence.members) for sequence in batch)
        added_time = len(batch) * self.decode_sequence + members * self.decode_member
        return self.decode_base + added_time


class Batch:
    """Runs sequences by priority, one step after the other."""

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
        self._added = 0

    @property
    def running(self) -> list[Sequence]:
        """Return the sequences that compute."""
        return self._in_stages(Stage.PREFILL, Stage.DECODE)

    @property
    def queued(self) -> list[Sequence]:
        """Return the sequences that wait."""
        return self._in_stages(Stage.QUEUED)

    @property
    def queued_prefill(self) -> int:
        """Return the prompt tokens still to be computed."""
        unfinished = self._in_stages(Stage.QUEUED, Stage.PREFILL)
        return sum(sequence.remaining for sequence in unfinished)

    def add(self, sequence: Sequence) -> bool:
        """Take a sequence in, if its memory fits."""
        tokens = sequence.stop - sequence.start + len(sequence.words)
        if not self._memory.reserve(sequence.attempt, tokens, self._clock()):
            return False
        self._added += 1
        sequence.arrival = self._added
        self.sequences[sequence.attempt] = sequence
        self._work_added.set()
        return True

    def abort(self, attempt: str) -> int:
        """Stop an attempt and return the tokens of memory that it freed."""
        sequence = self.sequences.get(attempt)
        if sequence is None or sequence.stage not in LIVE_STAGES:
            return 0
        sequence.stage = Stage.ENDED
        sequence.notify()
        return self._memory.release(attempt)

    def clear(self) -> None:
        """Lose every attempt and all memory."""
        for sequence in self.sequences.values():
            if sequence.stage in LIVE_STAGES:
                sequence.stage = Stage.ENDED
            sequence.notify()
        self.sequences.clear()
        self._memory.clear()

    async def run(self) -> None:
        """Compute for as long as the engine runs."""
        while True:
            if not self._in_stages(Stage.QUEUED, Stage.PREFILL, Stage.DECODE):
                self._work_added.clear()
                await self._work_added.wait()
            if self.hanging:
                await asyncio.sleep(HANG_POLL_INTERVAL)
                continue
            self._start_queued()
            await self._step()

    async def _step(self) -> None:
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
            self.queued, key=lambda sequence: (sequence.priority, sequence.arrival)
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
            key=lambda sequence: (sequence.priority, sequence.arrival),
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
