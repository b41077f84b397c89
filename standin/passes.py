"""An engine that works in passes, on a clock of its caller's."""

import collections
import dataclasses
import typing as t

from chicorycove.direct.engine import EngineProfile

# Tokens that a pass without writers reads before it looks for newer work: a
# part sent in the middle of a long reading is told within 20 ms of its own.
MAX_PREFILL_WITHOUT_DECODING = 4_096


@dataclasses.dataclass(slots=True)
class Job:
    """What one engine does of a request; times are in seconds."""

    id: t.Hashable
    tokens: int  # that this engine reads
    prefill_time: float  # of the reading, with its share of the pairs
    in_group: bool = False  # a part of a group
    events: int = 0  # to write; none if another engine writes the answer
    memory: int = 0  # tokens held from admission to the end
    remaining: float = 0.0  # tokens still to read


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPrefilled:
    """A job has been read."""

    id: t.Hashable


@dataclasses.dataclass(frozen=True, slots=True)
class EventEmitted:
    """An event of a job has been written."""

    id: t.Hashable
    last: bool


Output = PromptPrefilled | EventEmitted


class PassEngine:
    """Runs jobs in passes; the newest part of a group is read first."""

    def __init__(self, profile: EngineProfile) -> None:
        self._profile = profile
        self._group_parts: list[Job] = []
        self._queue: collections.deque[Job] = collections.deque()
        self._prefilling: list[Job] = []  # admitted, in the order of arrival
        self._prefilled: dict[t.Hashable, Job] = {}  # read; a group may not be yet
        self._decoding: dict[t.Hashable, Job] = {}
        self._reserved: dict[t.Hashable, int] = {}
        self._scheduled: list[tuple[Job, float]] = []
        self._emitting: list[t.Hashable] = []
        self.pass_end_time: float | None = None

    @property
    def free_memory(self) -> int:
        """Return the tokens of memory that nothing holds."""
        admitted = (
            *self._prefilling,
            *self._prefilled.values(),
            *self._decoding.values(),
        )
        held = sum(job.memory for job in admitted)
        return self._profile.memory - held - sum(self._reserved.values())

    def reserve(self, id: t.Hashable, memory: int) -> bool:
        """Hold memory, or return False if there is too little."""
        if memory - self._reserved.get(id, 0) > self.free_memory:
            return False
        self._reserved[id] = memory
        return True

    def release(self, id: t.Hashable) -> None:
        """Give reserved memory back."""
        self._reserved.pop(id, None)

    def submit(self, job: Job, now: float) -> None:
        """Take a job."""
        job.remaining = job.tokens
        if job.in_group and not job.events:
            self._group_parts.append(job)
        else:
            self._queue.append(job)
        if self.pass_end_time is None:
            self._start_pass(now)

    def start_decoding(self, id: t.Hashable, now: float) -> None:
        """Begin to write the answer of a job whose whole prompt is read."""
        job = self._prefilled.pop(id, None)
        if job is None:
            return
        self._decoding[id] = job
        if self.pass_end_time is None:
            self._start_pass(now)

    def cancel(self, id: t.Hashable) -> None:
        """Drop a job."""
        self._decoding.pop(id, None)
        self._prefilled.pop(id, None)
        self._group_parts = [job for job in self._group_parts if job.id != id]
        self._prefilling = [job for job in self._prefilling if job.id != id]
        self._queue = collections.deque(job for job in self._queue if job.id != id)

    def end_pass(self, now: float) -> list[Output]:
        """Return what the pass that ends now brings, and begin another."""
        outputs: list[Output] = []
        for job, tokens in self._scheduled:
            job.remaining -= tokens
            if job.remaining <= 0 and job in (*self._group_parts, *self._prefilling):
                outputs.append(self._finish_prefill(job))
        for id in self._emitting:
            job = self._decoding.get(id)
            if job is not None:
                job.events -= 1
                outputs.append(EventEmitted(id, job.events <= 0))
                if job.events <= 0:
                    del self._decoding[id]
        self._start_pass(now)
        return outputs

    def _finish_prefill(self, job: Job) -> Output:
        if job.events:
            self._prefilling.remove(job)
            self._prefilled[job.id] = job
        else:
            self._group_parts.remove(job)
        return PromptPrefilled(job.id)

    def _start_pass(self, now: float) -> None:
        self._admit()
        profile = self._profile
        duration = 0.0
        limit = MAX_PREFILL_WITHOUT_DECODING
        self._emitting = list(self._decoding)
        if self._decoding:
            context = sum(job.tokens for job in self._decoding.values())
            duration = profile.writers_time(len(self._decoding), context)
            limit = profile.chunk * profile.stride
        grouped = [job for job in reversed(self._prefilling) if job.in_group]
        singles = [job for job in self._prefilling if not job.in_group]
        self._scheduled = []
        for job in (*reversed(self._group_parts), *grouped, *singles):
            tokens = min(job.remaining, limit)
            if tokens <= 0:
                break
            limit -= tokens
            duration += tokens / job.tokens * job.prefill_time
            self._scheduled.append((job, tokens))
            if not self._decoding and tokens == job.remaining:
                break  # its end is told at once
        idle = not self._scheduled and not self._emitting
        self.pass_end_time = None if idle else now + duration

    def _admit(self) -> None:
        while self._queue:
            job = self._queue[0]
            admitted = (
                len(self._prefilling) + len(self._prefilled) + len(self._decoding)
            )
            if admitted >= self._profile.slots or job.memory > self.free_memory:
                return
            self._prefilling.append(self._queue.popleft())
