"""An entry's link to an agent, on the entry's side."""

import asyncio
import contextlib
import typing as t

import grpc
import grpc.aio

from .conversion import Address
from .event import Attached, Detached, EntryEvent, LoadReported
from .frame import read_agent_frame, read_load
from .identity import AgentId, AttemptId
from .log import LOGGER
from .outbox import Outbox
from .wire import link_pb2 as wire, link_pb2_grpc

RECONNECT_MIN = 0.05  # seconds
RECONNECT_MAX = 1.0  # seconds
SILENCE_FACTOR = 3  # heartbeats without a frame until a link counts as lost

OPTIONS = [
    ("grpc.max_receive_message_length", -1),
    ("grpc.max_send_message_length", -1),
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.initial_reconnect_backoff_ms", 50),
    ("grpc.min_reconnect_backoff_ms", 50),
    ("grpc.max_reconnect_backoff_ms", 1000),
]


class Receiver(t.Protocol):
    """Hears what comes over links."""

    def on_event(self, event: EntryEvent) -> None:
        """Take in an event."""

    def on_head(self, attempt: AttemptId, head: wire.Head) -> None:
        """Take in an answer's status and headers."""

    def on_chunk(self, attempt: AttemptId, offset: int, data: bytes) -> None:
        """Take in a piece of an answer."""


class Link:
    """Keeps one stream to an agent up, and attaches again when it breaks."""

    def __init__(
        self, address: Address, owner: str, heartbeat: float, receiver: Receiver
    ) -> None:
        self._address = address
        self._owner = owner
        self._heartbeat = heartbeat
        self._receiver = receiver
        self._outbox: Outbox[wire.EntryFrame] | None = None
        self._agent: AgentId | None = None
        self._task = asyncio.create_task(self._keep_attached())

    @property
    def address(self) -> Address:
        """Return the agent's address."""
        return self._address

    def send(self, frame: wire.EntryFrame) -> bool:
        """Queue a frame; tell whether the link was up to take it."""
        if self._agent is None or self._outbox is None:
            return False
        self._outbox.put(frame)
        return True

    async def close(self) -> None:
        """Drop the link for good."""
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task

    async def _keep_attached(self) -> None:
        delay = RECONNECT_MIN
        async with grpc.aio.insecure_channel(str(self._address), OPTIONS) as channel:
            stub = link_pb2_grpc.AgentStub(channel)
            while True:
                try:
                    await self._attach(stub)
                    delay = RECONNECT_MIN
                except (grpc.aio.AioRpcError, TimeoutError) as error:
                    LOGGER.debug("link to %s: %r", self._address, error)
                finally:
                    self._lost()
                await asyncio.sleep(delay)
                delay = min(2 * delay, RECONNECT_MAX)

    async def _attach(self, stub: link_pb2_grpc.AgentStub) -> None:
        outbox: Outbox[wire.EntryFrame] = Outbox()
        outbox.put(wire.EntryFrame(hello=wire.Hello(owner=self._owner)))
        call = stub.Attach(_batches(outbox))
        beat = asyncio.create_task(self._beat(outbox))
        try:
            await self._read(call, outbox)
        finally:
            beat.cancel()
            outbox.close()
            call.cancel()

    async def _read(self, call: t.Any, outbox: Outbox) -> None:
        silence = SILENCE_FACTOR * self._heartbeat
        while True:
            async with asyncio.timeout(silence):
                batch = await call.read()
            if batch is grpc.aio.EOF:
                return
            for frame in batch.frames:
                self._take(frame, outbox)

    def _take(self, frame: wire.AgentFrame, outbox: Outbox) -> None:
        kind = frame.WhichOneof("frame")
        if kind == "chunk":
            chunk = frame.chunk
            attempt = AttemptId.parse(chunk.attempt)
            self._receiver.on_chunk(attempt, chunk.offset, chunk.data)
        elif kind == "head":
            attempt = AttemptId.parse(frame.head.attempt)
            self._receiver.on_head(attempt, frame.head)
        elif kind == "welcome":
            self._welcomed(frame.welcome, outbox)
        else:
            self._receiver.on_event(read_agent_frame(frame, self._agent))

    def _welcomed(self, welcome: wire.Welcome, outbox: Outbox) -> None:
        self._agent = AgentId(welcome.target, welcome.incarnation)
        self._outbox = outbox
        load = read_load(welcome.load)
        self._receiver.on_event(LoadReported(self._agent, load))
        self._receiver.on_event(Attached(self._agent))

    def _lost(self) -> None:
        agent, self._agent, self._outbox = self._agent, None, None
        if agent is not None:
            self._receiver.on_event(Detached(agent))

    async def _beat(self, outbox: Outbox) -> None:
        while True:
            await asyncio.sleep(self._heartbeat)
            outbox.put(wire.EntryFrame(heartbeat=wire.Heartbeat()))


async def _batches(outbox: Outbox) -> t.AsyncIterator[wire.EntryBatch]:
    while frames := await outbox.take():
        yield wire.EntryBatch(frames=frames)
