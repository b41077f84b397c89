"""An engine that works in passes, on a clock of its caller's."""

import collections
import dataclasses
import typing as t

from chicorycove.direct.engine import EngineProfile

# Tokens that a pass without writers reads before it looks for newer work: a
# part sent in the middle of a long reading is told within 20 ms of its own.
LONE_READ = 4_096


@dataclasses.dataclass(slots=True)
class Job:
    """What one engine does of a request; times are in seconds."""

    id: t.Hashable
    tokens: int  # that this engine reads
    time: float  # of the reading, with its share of the pairs
    ahead: bool = False  # a part of a group
    events: int = 0  # to write; none if another engine writes the answer
    memory: int = 0  # tokens held from admission to the end
    left: float = 0.0  # tokens still to read


@dataclasses.dataclass(frozen=True, slots=True)
class Read:
    """A job has been read."""

    id: t.Hashable


@dataclasses.dataclass(frozen=True, slots=True)
class Written:
    """An event of a job has been written."""

    id: t.Hashable
    last: bool


Output = Read | Written


class PassEngine:
    """Runs jobs in passes; the newest part of a group is read first."""

    def __init__(self, profile: EngineProfile) -> None:
        self._profile = profile
        self._parts: list[Job] = []
        self._queue: collections.deque[Job] = collections.deque()
        self._reading: list[Job] = []  # admitted, in the order of arrival
        self._joining: dict[t.Hashable, Job] = {}  # read; a group may not be yet
        self._writers: dict[t.Hashable, Job] = {}
        self._reserved: dict[t.Hashable, int] = {}
        self._taken: list[tuple[Job, float]] = []
        self._wrote: list[t.Hashable] = []
        self.pass_ends: float | None = None

    @property
    def free(self) -> int:
        """Return the tokens of memory that nothing holds."""
        admitted = (*self._reading, *self._joining.values(), *self._writers.values())
        held = sum(job.memory for job in admitted)
        return self._profile.memory - held - sum(self._reserved.values())

    def reserve(self, id: t.Hashable, memory: int) -> bool:
        """Hold memory, or return False if there is too little."""
        if memory - self._reserved.get(id, 0) > self.free:
            return False
        self._reserved[id] = memory
        return True

    def release(self, id: t.Hashable) -> None:
        """Give reserved memory back."""
        self._reserved.pop(id, None)

    def submit(self, job: Job, now: float) -> None:
        """Take a job."""
        job.left = job.tokens
        if job.ahead and not job.events:
            self._parts.append(job)
        else:
            self._queue.append(job)
        if self.pass_ends is None:
            self._begin(now)

    def write(self, id: t.Hashable, now: float) -> None:
        """Begin to write the answer of a job whose whole prompt is read."""
        job = self._joining.pop(id, None)
        if job is None:
            return
        self._writers[id] = job
        if self.pass_ends is None:
            self._begin(now)

    def cancel(self, id: t.Hashable) -> None:
        """Drop a job."""
        self._writers.pop(id, None)
        self._joining.pop(id, None)
        self._parts = [job for job in self._parts if job.id != id]
        self._reading = [job for job in self._reading if job.id != id]
        self._queue = collections.deque(x for x in self._queue if x.id != id)

    def end_pass(self, now: float) -> list[Output]:
        """Return what the pass that ends now brings, and begin another."""
        outputs: list[Output] = []
        for job, tokens in self._taken:
            job.left -= tokens
            if job.left <= 0 and job in (*self._parts, *self._reading):
                outputs.append(self._finish_reading(job))
        for id in self._wrote:
            job = self._writers.get(id)
            if job is not None:
                job.events -= 1
                outputs.append(Written(id, job.events <= 0))
                if job.events <= 0:
                    del self._writers[id]
        self._begin(now)
        return outputs

    def _finish_reading(self, job: Job) -> Output:
        if job.events:
            self._reading.remove(job)
            self._joining[job.id] = job
        else:
            self._parts.remove(job)
        return Read(job.id)

    def _begin(self, now: float) -> None:
        self._admit()
        profile = self._profile
        duration = 0.0
        limit = LONE_READ
        self._wrote = list(self._writers)
        if self._writers:
            context = sum(job.tokens for job in self._writers.values())
            duration = profile.batch_pass_time(len(self._writers), context)
            limit = profile.chunk_tokens * profile.steps_per_pass
        ahead = [job for job in reversed(self._reading) if job.ahead]
        singles = [job for job in self._reading if not job.ahead]
        self._taken = []
        for job in (*reversed(self._parts), *ahead, *singles):
            tokens = min(job.left, limit)
            if tokens <= 0:
                break
            limit -= tokens
            duration += tokens / job.tokens * job.time
            self._taken.append((job, tokens))
            if not self._writers and tokens == job.left:
                break  # its end is told at once
        idle = not self._taken and not self._wrote
        self.pass_ends = None if idle else now + duration

    def _admit(self) -> None:
        while self._queue:
            job = self._queue[0]
            admitted = len(self._reading) + len(self._joining) + len(self._writers)
            if admitted >= self._profile.slots or job.memory > self.free:
                return
            self._reading.append(self._queue.popleft())
