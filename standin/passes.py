"""Simulates an engine that works in passes; its caller passes the time."""

import collections
import dataclasses
import typing as t

from chicorycove.direct.engine import EngineProfile

# A pass without decoding prefills at most this many tokens, so that a group
# part that arrives during a long prefill is delayed by at most 20 ms.
MAX_PREFILL_WITHOUT_DECODING = 4_096


@dataclasses.dataclass(slots=True)
class Job:
    """A request, or the part of one that this engine computes."""

    id: t.Hashable
    tokens: int  # prompt tokens to prefill
    prefill_time: float  # seconds, including the job's share of attention
    in_group: bool = False  # whether other engines prefill parts of the prompt
    events: int = 0  # left to emit; 0 if another engine decodes
    memory: int = 0  # tokens held from admission to the end
    remaining: float = 0.0  # tokens still to prefill


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPrefilled:
    """A job's part of the prompt is prefilled."""

    id: t.Hashable


@dataclasses.dataclass(frozen=True, slots=True)
class EventEmitted:
    """An event of a job's answer is decoded."""

    id: t.Hashable
    last: bool


Output = PromptPrefilled | EventEmitted


class PassEngine:
    """An engine that runs jobs in passes; times are in seconds.

    It prefills group parts that another engine decodes first, then the other
    group parts, each newest first, and then other jobs in order of arrival.
    """

    def __init__(self, profile: EngineProfile) -> None:
        self._profile = profile
        self._group_parts: list[Job] = []
        self._queue: collections.deque[Job] = collections.deque()
        self._prefilling: list[Job] = []  # admitted, in the order of arrival
        self._prefilled: dict[t.Hashable, Job] = {}  # decoding not started yet
        self._decoding: dict[t.Hashable, Job] = {}
        self._reserved: dict[t.Hashable, int] = {}
        self._scheduled: list[tuple[Job, float]] = []
        self._emitting: list[t.Hashable] = []
        self.pass_end_time: float | None = None
        self.slowness = 1.0  # times the profile's duration that a pass takes
        # What the first admission of a job waited for: "slots" or "memory".
        self.blocked_by: dict[t.Hashable, str] = {}

    @property
    def free_memory(self) -> int:
        """Return how many tokens of memory are neither held nor reserved."""
        admitted = (
            *self._prefilling,
            *self._prefilled.values(),
            *self._decoding.values(),
        )
        held = sum(job.memory for job in admitted)
        return self._profile.memory - held - sum(self._reserved.values())

    def reserve(self, id: t.Hashable, memory: int) -> bool:
        """Reserve tokens of memory and return whether enough were free."""
        if memory - self._reserved.get(id, 0) > self.free_memory:
            return False
        self._reserved[id] = memory
        return True

    def release(self, id: t.Hashable) -> None:
        """Release a reservation, if there is one."""
        self._reserved.pop(id, None)

    def submit(self, job: Job, now: float) -> None:
        """Queue a job, and start a pass if the engine is idle."""
        job.remaining = job.tokens
        if job.in_group and not job.events:
            self._group_parts.append(job)
        else:
            self._queue.append(job)
        if self.pass_end_time is None:
            self._start_pass(now)

    def start_decoding(self, id: t.Hashable, now: float) -> None:
        """Start to decode a job's answer, once all parts are prefilled."""
        job = self._prefilled.pop(id, None)
        if job is None:
            return
        self._decoding[id] = job
        if self.pass_end_time is None:
            self._start_pass(now)

    def cancel(self, id: t.Hashable) -> None:
        """Remove a job; a pass in progress still ends at its time."""
        self._decoding.pop(id, None)
        self._prefilled.pop(id, None)
        self._group_parts = [job for job in self._group_parts if job.id != id]
        self._prefilling = [job for job in self._prefilling if job.id != id]
        self._queue = collections.deque(job for job in self._queue if job.id != id)

    def end_pass(self, now: float) -> list[Output]:
        """End the pass, start the next one, and return the outputs."""
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
            duration = profile.batch_pass_time(len(self._decoding), context)
            limit = profile.chunk_tokens * profile.steps_per_pass
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
                break  # the pass ends here, to report this prefill early
        idle = not self._scheduled and not self._emitting
        self.pass_end_time = None if idle else now + duration * self.slowness

    def _admit(self) -> None:
        while self._queue:
            job = self._queue[0]
            admitted = (
                len(self._prefilling) + len(self._prefilled) + len(self._decoding)
            )
            full = admitted >= self._profile.slots
            if full or job.memory > self.free_memory:
                cause = "slots" if full else "memory"
                for waiting in self._queue:
                    self.blocked_by.setdefault(waiting.id, cause)
                return
            self._prefilling.append(self._queue.popleft())
