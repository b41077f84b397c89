"""Stops an entry while its model server reads a long prompt."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from engine import ENGINE, EngineServer  # noqa: E402
from harness import (  # noqa: E402
    GRACE,
    HOST,
    LIMITS,
    TROUBLE,
    Case,
    format_request,
    play,
    read_head,
)

LONG_AFTER = 2.6  # seconds from SIGTERM to the long prompt
SHORT_AFTER = 3.5  # seconds from SIGTERM to the short prompts
SHORT_CLIENTS = 3
LONG_COUNTS = "250000,800"  # tokens; project-history has 210,000 on average
SHORT_COUNTS = "5000,1610"  # tokens of gate-query: 35 events
ENTRIES = 3  # of which one is stopped: roll_term takes at most 0.45 of them

STREAM = {"host": "shop.example", "kind": "streaming", "service": "advisor"}
STREAM |= {"maxAttempts": 2, "priority": 1, "resumable": True, "sticky": True}
CONFIG = {
    "version": 3,
    "routes": [
        {
            **STREAM,
            "name": "gate-query",
            "prefix": "/gate/",
            "timeoutMs": 10_000,
            "targetLatencyMs": 300,
            "gapTargetMs": 200,
        },
        {
            **STREAM,
            "name": "project-history",
            "prefix": "/history/",
            "timeoutMs": 15_000,
            "targetLatencyMs": 3000,
            "gapTargetMs": 800,
        },
    ],
    "services": [{"name": "advisor", "engine": ENGINE}],
    "limits": LIMITS,
}


class Client:
    """Sends prompts on one channel."""

    def __init__(self, case: Case, number: int, port: int) -> None:
        self._case = case
        self._number = number
        self._port = port
        self._count = 0
        self._channel: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def ask(self, path: str, counts: str, budget_ms: int) -> tuple[str, str]:
        """Send a prompt; return its id and how its answer ended."""
        if self._channel is None:
            self._channel = await asyncio.open_connection(HOST, self._port)
        reader, writer = self._channel
        self._count += 1
        id = f"{self._number:08x}{self._count:08x}"
        tokens = int(counts.split(",")[0])
        headers = {
            "Chicorycove_Model": "m",
            "Chicorycove_Token_Counts": counts,
            "Chicorycove_Prompt_Prefix": f"5c1e07a2:40,{id}:{tokens - 40}",
        }
        started_at = time.monotonic()
        self._case.record.write("sent", request=id, path=path)
        try:
            async with asyncio.timeout(budget_ms / 1000):
                writer.write(
                    format_request("POST", path, id, budget_ms, b"p" * 1200, **headers)
                )
                end = await self._read_answer(id, reader)
        except TimeoutError:
            end = "deadline"
        except (OSError, asyncio.IncompleteReadError) as error:
            end = f"cut ({type(error).__name__})"
        took = round(time.monotonic() - started_at, 3)
        self._case.record.write("end", request=id, how=end, took=took)
        return id, f"{end} after {took} s"

    async def _read_answer(self, id: str, reader: asyncio.StreamReader) -> str:
        head = await read_head(reader)
        if head is None:
            return "cut (closed without an answer)"
        status = int(head[0].split(" ")[1])
        self._case.record.write("answer", request=id, status=status)
        if "transfer-encoding" not in head[1]:
            await reader.readexactly(int(head[1]["content-length"]))
            return f"status {status}"
        while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
            await reader.readexactly(size + 2)
        await reader.readuntil(b"\r\n")
        return f"status {status}"

    def close(self) -> None:
        """Close the channel."""
        if self._channel is not None:
            self._channel[1].close()


async def main(case: Case) -> list[str]:
    """Return the short prompts whose answers were cut."""
    case.store.write("op/config", CONFIG)
    server = EngineServer(case.record, "i-7f3a91c2", "advisor")
    await server.start(case.store)
    entry, *_ = await case.start_entries(ENTRIES)
    long_client = Client(case, 1, entry.port)
    short_clients = [Client(case, n + 2, entry.port) for n in range(SHORT_CLIENTS)]
    clients = [long_client, *short_clients]
    for client in clients:  # each client keeps a channel from now on
        await client.ask("/gate/1", SHORT_COUNTS, 10_000)
    await asyncio.sleep(3.2)  # calm before the planned work
    loop = asyncio.get_running_loop()
    if TROUBLE:
        entry.signal(signal.SIGTERM)
        loop.call_later(GRACE, entry.signal, signal.SIGKILL)
    await asyncio.sleep(LONG_AFTER)
    long = asyncio.create_task(long_client.ask("/history/1", LONG_COUNTS, 15_000))
    await asyncio.sleep(SHORT_AFTER - LONG_AFTER)
    ends = await asyncio.gather(
        *(client.ask("/gate/2", SHORT_COUNTS, 10_000) for client in short_clients)
    )
    await long
    for client in clients:
        client.close()
    return [
        f"LOST: {id}, sent {SHORT_AFTER} s after SIGTERM and run: {end}"
        for id, end in ends
        if end.startswith("cut") and id in server.runs
    ]


play(__file__, main)
