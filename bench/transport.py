"""CPU time to carry token events between two processes' loops, by transport.

Both ends run in one process, so each figure is the cost of writing and
reading together.  Events come in batches, as they do when a writer is busy.
"""

import argparse
import asyncio
import dataclasses
import time
import typing as t

import aiosonic
import grpc.aio
from starlette.responses import StreamingResponse
from starlette.routing import Route

from bench.report import save, table
from chicorycove.application import create_app
from chicorycove.conversion import Address
from chicorycove.listener import listen
from chicorycove.wire import link_pb2 as wire, link_pb2_grpc

MICRO = 1e6
EVENT = b"data: " + b"x" * 134 + b"\n\n"
LENGTH_BYTES = 4
BATCHES = (1, 4, 16, 64)


@dataclasses.dataclass(frozen=True)
class Result:
    """The cost of one event, in microseconds."""

    transport: str
    events_per_message: int
    per_event: float


def main(argv: t.Sequence[str]) -> int:
    """Run the experiment."""
    parser = argparse.ArgumentParser(
        prog="python -m bench transport", description=__doc__
    )
    parser.add_argument("--events", type=int, default=20_000)
    options = parser.parse_args(argv)
    rows = []
    for carry in (_grpc_frames, _grpc_merged, _tcp_frames, _http):
        for batch in BATCHES:
            cost = asyncio.run(_measure(carry, options.events, batch))
            result = Result(carry.__name__.strip("_"), batch, round(cost * MICRO, 2))
            rows.append(dataclasses.asdict(result))
    print(table(rows))
    save("transport", {"options": vars(options), "results": rows})
    return 0


async def _measure(carry: t.Callable, events: int, batch: int) -> float:
    messages = events // batch
    began = time.process_time()
    received = await carry(messages, batch)
    if received != messages * batch * len(EVENT):
        raise RuntimeError(f"{received} bytes received, not all that were sent")
    return (time.process_time() - began) / (messages * batch)


class _Servicer(link_pb2_grpc.AgentServicer):
    """Sends a number of equal messages."""

    def __init__(self, make: t.Callable[[], wire.AgentBatch], messages: int) -> None:
        self._make = make
        self._messages = messages

    async def Attach(self, request_iterator, context):
        for _ in range(self._messages):
            yield self._make()


async def _grpc(make: t.Callable[[], wire.AgentBatch], messages: int) -> int:
    server = grpc.aio.server()
    link_pb2_grpc.add_AgentServicer_to_server(_Servicer(make, messages), server)
    port = server.add_insecure_port("127.0.0.1:0")
    await server.start()
    received = 0
    async with grpc.aio.insecure_channel(f"127.0.0.1:{port}") as channel:
        call = link_pb2_grpc.AgentStub(channel).Attach(iter(()))
        async for batch in call:
            received += sum(len(frame.chunk.data) for frame in batch.frames)
    await server.stop(None)
    return received


async def _grpc_frames(messages: int, batch: int) -> int:
    """Carry events as frames of their own, many in one gRPC message."""
    return await _grpc(lambda: wire.AgentBatch(frames=_frames(batch)), messages)


async def _grpc_merged(messages: int, batch: int) -> int:
    """Carry the events of one answer merged into one chunk."""

    def make() -> wire.AgentBatch:
        chunk = wire.Chunk(attempt="0123456789abcdef/1/0123", data=EVENT * batch)
        return wire.AgentBatch(frames=[wire.AgentFrame(chunk=chunk)])

    return await _grpc(make, messages)


async def _tcp_frames(messages: int, batch: int) -> int:
    """Carry the same frames over plain TCP with a length in front."""

    async def write(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        for _ in range(messages):
            data = wire.AgentBatch(frames=_frames(batch)).SerializeToString()
            writer.write(len(data).to_bytes(LENGTH_BYTES, "big") + data)
            await writer.drain()
        writer.close()

    server = await asyncio.start_server(write, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    received = 0
    for _ in range(messages):
        size = int.from_bytes(await reader.readexactly(LENGTH_BYTES), "big")
        message = wire.AgentBatch.FromString(await reader.readexactly(size))
        received += sum(len(frame.chunk.data) for frame in message.frames)
    writer.close()
    server.close()
    return received


async def _http(messages: int, batch: int) -> int:
    """Carry events as server-sent events of an HTTP answer."""

    async def write() -> t.AsyncIterator[bytes]:
        for _ in range(messages):
            yield EVENT * batch
            await asyncio.sleep(0)

    async def answer(request: t.Any) -> StreamingResponse:
        return StreamingResponse(write(), media_type="text/event-stream")

    app = create_app([Route("/", answer)])
    listener = await listen(app, Address("127.0.0.1:0"))
    client = aiosonic.HTTPClient()
    url = f"http://{listener.address}/"
    response = await client.request(url, method="GET", stream=True)
    received = sum([len(piece) async for piece in response.read_chunks()])
    await client.aclose()
    await listener.close()
    return received


def _frames(count: int) -> list[wire.AgentFrame]:
    return [
        wire.AgentFrame(
            chunk=wire.Chunk(
                attempt=f"0123456789abcdef/{number}/0123", offset=number, data=EVENT
            )
        )
        for number in range(count)
    ]
