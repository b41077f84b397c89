"""The entry's end of a link to an agent."""

import asyncio
import typing as t

from .conversion import Address
from .event import AgentAttached, AgentDetached, EntryEvent, LoadReported
from .frame import read_agent_frame, read_load
from .identity import AgentId, AttemptId
from .log import LOGGER, log_failure
from .outbox import Outbox
from .stream import CONNECTION_ERRORS, READ_LIMIT, MessageStream
from .utils import cancel_all
from .wire import link_pb2 as wire

MIN_RECONNECT_DELAY = 0.05  # seconds, doubled after each failure
MAX_RECONNECT_DELAY = 1.0  # seconds
MISSED_HEARTBEATS = 3  # heartbeat intervals without a frame after which a link is lost
CONNECT_TIMEOUT = 2.0  # seconds
MAX_MESSAGE_SIZE = 64 * 1024 * 1024  # bytes; a batch of chunks is the largest message

AgentStream = MessageStream[wire.AgentBatch]


class Receiver(t.Protocol):
    """Receives events and data from links."""

    def on_event(self, event: EntryEvent) -> None:
        """Handle an event."""

    def on_head(self, attempt: AttemptId, head: wire.Head) -> None:
        """Handle an answer's status and headers."""

    def on_chunk(self, attempt: AttemptId, offset: int, data: bytes) -> None:
        """Handle a chunk of an answer's body; the offset is in bytes."""

    def on_report(self, agent: AgentId, report: wire.Report) -> None:
        """Handle an agent's report to a planner."""


class Link:
    """Keeps a connection to an agent open; reconnects when it is lost."""

    def __init__(
        self, address: Address, owner: str, heartbeat: float, receiver: Receiver
    ) -> None:
        self._address = address
        self._owner = owner
        self._heartbeat = heartbeat
        self._receiver = receiver
        self._outbox: Outbox[wire.EntryFrame] | None = None
        self._agent: AgentId | None = None
        self._task = asyncio.create_task(self._stay_connected())
        self._task.add_done_callback(self._log_failure)

    @property
    def address(self) -> Address:
        """Return the agent's address."""
        return self._address

    def send(self, frame: wire.EntryFrame) -> bool:
        """Queue a frame; return False if the link is down."""
        if self._agent is None or self._outbox is None:
            return False
        self._outbox.put(frame)
        return True

    async def close(self) -> None:
        """Close the connection and stop reconnecting."""
        await cancel_all([self._task])

    def _log_failure(self, task: asyncio.Task) -> None:
        if not task.cancelled() and task.exception() is not None:
            LOGGER.error("link to %s failed", self._address, exc_info=task.exception())

    async def _stay_connected(self) -> None:
        delay = MIN_RECONNECT_DELAY
        while True:
            try:
                stream = await self._connect()
                delay = MIN_RECONNECT_DELAY
                await self._attach(stream)
            except (*CONNECTION_ERRORS, TimeoutError) as error:
                LOGGER.debug("link to %s is down: %r", self._address, error)
            except Exception:  # without this task, the link stays down for ever
                LOGGER.error("link to %s failed", self._address, exc_info=True)
            finally:
                with log_failure(f"end of the link to {self._address} not handled"):
                    self._on_disconnected()
            await asyncio.sleep(delay)
            delay = min(2 * delay, MAX_RECONNECT_DELAY)

    async def _connect(self) -> AgentStream:
        async with asyncio.timeout(CONNECT_TIMEOUT):
            reader, writer = await asyncio.open_connection(
                self._address.host, self._address.port, limit=READ_LIMIT
            )
        return MessageStream(reader, writer, wire.AgentBatch, MAX_MESSAGE_SIZE)

    async def _attach(self, stream: AgentStream) -> None:
        outbox: Outbox[wire.EntryFrame] = Outbox()
        outbox.put(wire.EntryFrame(hello=wire.Hello(owner=self._owner)))
        tasks = [
            asyncio.create_task(self._write_frames(stream, outbox)),
            asyncio.create_task(self._send_heartbeats(outbox)),
        ]
        try:
            await self._read_frames(stream, outbox)
        finally:
            stream.close()
            await cancel_all(tasks)

    async def _read_frames(self, stream: AgentStream, outbox: Outbox) -> None:
        read_timeout = MISSED_HEARTBEATS * self._heartbeat
        while True:
            async with asyncio.timeout(read_timeout):
                batch = await stream.read()
            for frame in batch.frames:
                with log_failure(f"frame of the agent at {self._address} dropped"):
                    self._handle_frame(frame, outbox)

    async def _write_frames(self, stream: AgentStream, outbox: Outbox) -> None:
        while frames := await outbox.next_batch():
            await stream.write(wire.EntryBatch(frames=frames))

    def _handle_frame(self, frame: wire.AgentFrame, outbox: Outbox) -> None:
        kind = frame.WhichOneof("frame")
        if kind == "chunk":
            chunk = frame.chunk
            attempt = AttemptId.parse(chunk.attempt)
            self._receiver.on_chunk(attempt, chunk.offset, chunk.data)
        elif kind == "head":
            attempt = AttemptId.parse(frame.head.attempt)
            self._receiver.on_head(attempt, frame.head)
        elif kind == "report":
            self._receiver.on_report(self._agent, frame.report)
        elif kind == "welcome":
            self._on_welcome(frame.welcome, outbox)
        else:
            self._receiver.on_event(read_agent_frame(frame, self._agent))

    def _on_welcome(self, welcome: wire.Welcome, outbox: Outbox) -> None:
        self._agent = AgentId(welcome.target, welcome.incarnation)
        self._outbox = outbox
        load = read_load(welcome.load)
        self._receiver.on_event(LoadReported(self._agent, load))
        self._receiver.on_event(AgentAttached(self._agent))

    def _on_disconnected(self) -> None:
        agent, self._agent, self._outbox = self._agent, None, None
        if agent is not None:
            self._receiver.on_event(AgentDetached(agent))

    async def _send_heartbeats(self, outbox: Outbox) -> None:
        while True:
            await asyncio.sleep(self._heartbeat)
            outbox.put(wire.EntryFrame(heartbeat=wire.Heartbeat()))
