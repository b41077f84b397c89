"""A stand-in of a model server that keeps to the page's engine figures."""

import asyncio
import dataclasses
import time
import typing as t

from harness import Message, Record, Server

# The engine of the site file sites/kmmca-moldline.toml.
ENGINE = {
    "slots": 16,
    "kvCapacityTokens": 450_000,
    "stride": 46,
    "step_ms": 0.925,
    "per_seq_ms": 0.00483,
    "context_per_k": 0.00254,
    "read_per_s": 256_000,
    "pairs_per_m": 0.0917,
    "chunk": 2048,
    "hopMs": 0.1,
    "delays": [],
}
IDLE_INTERVAL = 0.002  # seconds between looks at an empty queue


@dataclasses.dataclass(eq=False)
class Work:
    """A request on the engine."""

    prompt: int  # tokens
    events: int  # that are still to be sent
    read: int = 0  # tokens of the prompt
    sent: asyncio.Queue = dataclasses.field(default_factory=asyncio.Queue)

    @property
    def writing(self) -> bool:
        """Return whether the prompt is read."""
        return self.read >= self.prompt


class EngineServer(Server):
    """Reads and writes in passes, first come, first served."""

    def __init__(self, record: Record, id: str, service: str) -> None:
        super().__init__(record, id, service, slots=ENGINE["slots"])
        self._work: list[Work] = []
        self._loop_task = asyncio.create_task(self._run_passes())

    async def run(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Stream the events of an answer."""
        prompt, output = map(
            int, request.headers["chicorycove-token-counts"].split(",")
        )
        total = max(1, -(-output // ENGINE["stride"]))
        work = Work(prompt, total)
        self._work.append(work)
        try:
            for number in range(1, total + 1):
                await work.sent.get()
                if number == 1:
                    writer.write(self._stream_head(request))
                event = b"id: %d\ndata: %b\n\n" % (number, b"t" * 50)
                writer.write(b"%x\r\n%b\r\n" % (len(event), event))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            if work in self._work:
                self._work.remove(work)

    def _stream_head(self, request: Message) -> bytes:
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        lines += [f"{name}: {value}" for name, value in self.signed(request).items()]
        lines.append("Transfer-Encoding: chunked")
        return "\r\n".join([*lines, "", ""]).encode("latin-1")

    async def _run_passes(self) -> t.NoReturn:
        due = time.monotonic()
        while True:
            admitted = self._work[: ENGINE["slots"]]
            if not admitted:
                await asyncio.sleep(IDLE_INTERVAL)
                due = time.monotonic()
                continue
            writing = [work for work in admitted if work.writing]
            due += self._read_and_write(admitted, writing)
            await asyncio.sleep(due - time.monotonic())
            for work in writing:
                work.events -= 1
                work.sent.put_nowait(None)
                if not work.events and work in self._work:
                    self._work.remove(work)

    def _read_and_write(self, admitted: list[Work], writing: list[Work]) -> float:
        """Read prompts for one pass; return how long it takes, in seconds."""
        steps = ENGINE["stride"] if writing else 1
        step_ms = ENGINE["step_ms"] + ENGINE["per_seq_ms"] * len(writing)
        step_ms += sum(ENGINE["context_per_k"] * work.prompt / 1000 for work in writing)
        pass_ms = steps * step_ms
        budget = steps * ENGINE["chunk"]
        for work in admitted:
            part = min(budget, work.prompt - work.read)
            if part > 0:
                pairs = part * (work.read + part / 2)
                pass_ms += part / ENGINE["read_per_s"] * 1000
                pass_ms += ENGINE["pairs_per_m"] * pairs / 1e6
                work.read += part
                budget -= part
        return pass_ms / 1000
