"""A stand-in of a model server that keeps to the passes of PROTOCOL.md."""

import asyncio
import dataclasses
import time
import typing as t

import fleet


@dataclasses.dataclass
class Job:
    """A prompt at the engine."""

    attempt: str
    tokens: int
    event_count: int
    queue: asyncio.Queue
    read_tokens: int = 0
    events_sent: int = 0
    cancelled: bool = False

    @property
    def writing(self) -> bool:
        """Return whether the prompt has been read."""
        return self.read_tokens >= self.tokens


class EngineServer(fleet.Server):
    """A server that reads and writes in passes, in real time.

    Each token step takes ``step_ms``, ``per_seq_ms`` for each request that is
    writing and ``context_per_k`` for each 1,000 tokens of their contexts. It
    reads at most ``chunk`` tokens, in the order of arrival. A pass that
    includes writers executes ``stride`` steps, each of an event's tokens.
    """

    def __init__(self, *arguments: t.Any) -> None:
        super().__init__(*arguments)
        self._jobs: list[Job] = []
        self._arrived = asyncio.Event()
        self._passes: asyncio.Task | None = None

    async def open(self) -> None:
        await super().open()
        self._passes = asyncio.create_task(self._run_passes())

    async def close(self) -> None:
        if self._passes is not None:
            self._passes.cancel()
        await super().close()

    async def stream(
        self,
        run: fleet.Run,
        headers: dict[str, str],
        writer: asyncio.StreamWriter,
    ) -> None:
        tokens, output = map(int, run.token_counts.split(","))
        events = max(1, -(-output // fleet.ENGINE["stride"]))
        job = Job(run.attempt, tokens, events, asyncio.Queue())
        self._jobs.append(job)
        self._arrived.set()
        try:
            number = await job.queue.get()
            fleet.send_stream_head(writer, headers)
            self._record.write("first event", server=self.id, attempt=run.attempt)
            while True:
                if number > run.resumed_after:
                    fleet.send_chunk(writer, self.event(number))
                    await writer.drain()
                if number == events:
                    break
                number = await job.queue.get()
                if writer.transport.is_closing():
                    raise ConnectionResetError("the caller has gone")
            writer.write(b"0\r\n\r\n")
            self._record.write("stream sent", server=self.id, attempt=run.attempt)
        except (OSError, asyncio.CancelledError):
            self._record.write(
                "stream cut by its caller", server=self.id, attempt=run.attempt
            )
            raise
        finally:
            if job in self._jobs:
                self._jobs.remove(job)

    async def _run_passes(self) -> None:
        ends_at = time.monotonic()
        while True:
            if not self._jobs:
                self._arrived.clear()
                await self._arrived.wait()
                ends_at = time.monotonic()
            jobs = self._jobs[: fleet.ENGINE["slots"]]
            writers = [job for job in jobs if job.writing]
            steps = fleet.ENGINE["stride"] if writers else 1
            ends_at += sum(self._step(jobs, writers) for _ in range(steps)) / 1000
            await asyncio.sleep(max(ends_at - time.monotonic(), 0))
            for job in jobs:
                if job.writing and job in self._jobs:
                    job.events_sent += 1
                    job.queue.put_nowait(job.events_sent)
                    if job.events_sent == job.event_count:
                        self._jobs.remove(job)

    def _step(self, jobs: t.Sequence[Job], writers: t.Sequence[Job]) -> float:
        """Read a piece; return the milliseconds of a token step."""
        engine = fleet.ENGINE
        duration = 0.0
        if writers:
            contexts = sum(
                job.tokens + job.events_sent * engine["stride"] for job in writers
            )
            duration += engine["step_ms"] + engine["per_seq_ms"] * len(writers)
            duration += engine["context_per_k"] * contexts / 1000
        left = engine["chunk"]
        for job in jobs:
            piece = min(left, job.tokens - job.read_tokens)
            if piece <= 0:
                continue
            pairs = piece * (job.read_tokens + piece / 2)
            duration += piece / engine["read_per_s"] * 1000
            duration += engine["pairs_per_m"] * pairs / 1e6
            job.read_tokens += piece
            left -= piece
        return duration
