"""Agent side of the connections opened by entries."""

import asyncio
import contextlib
import typing as t

from .answer import AnswerBuffer
from .log import LOGGER, log_failure
from .outbox import Outbox
from .settings import AgentSettings
from .stream import CONNECTION_ERRORS, READ_LIMIT, MessageStream
from .utils import cancel_all
from .wire import link_pb2 as wire

BATCH_OVERHEAD = 16 * 1024 * 1024  # bytes allowed in a batch above the largest body

EntryStream = MessageStream[wire.EntryBatch]


class Session:
    """Sends frames and answers to one entry in order, in batches."""

    def __init__(self, owner: str) -> None:
        self._owner = owner
        self._outbox: Outbox[wire.AgentFrame | AnswerBuffer] = Outbox()

    @property
    def owner(self) -> str:
        """Return the id of the entry's incarnation, or of the planner."""
        return self._owner

    def send(self, frame: wire.AgentFrame) -> None:
        """Queue a frame."""
        self._outbox.put(frame)

    def send_answer(self, answer: AnswerBuffer) -> None:
        """Queue the part of an answer that was not sent yet."""
        if self._outbox.last is not answer:
            self._outbox.put(answer)

    def resend_answer(self, answer: AnswerBuffer, offset: int) -> None:
        """Queue an answer again from an offset in bytes."""
        answer.rewind(offset)
        if answer.head is not None:
            self.send(answer.head)
        self.send_answer(answer)
        if answer.end is not None:
            self.send(answer.end)

    def close(self) -> None:
        """End the stream once everything queued is sent."""
        self._outbox.close()

    async def batches(self) -> t.AsyncIterator[wire.AgentBatch]:
        """Yield batches of queued frames until the session is closed."""
        while items := await self._outbox.next_batch():
            frames = [frame for frame in map(_frame, items) if frame is not None]
            if frames:
                yield wire.AgentBatch(frames=frames)


class Receiver(t.Protocol):
    """Handles sessions with entries and the frames received over them."""

    def attach(self, owner: str) -> Session:
        """Begin a session with an entry."""

    def detach(self, session: Session) -> None:
        """End a session."""

    def receive(self, frame: wire.EntryFrame, owner: str) -> None:
        """Handle a frame from an entry."""


class LinkServer:
    """Accepts links from entries and runs a session over each."""

    def __init__(self, receiver: Receiver, settings: AgentSettings) -> None:
        self._receiver = receiver
        self._settings = settings
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    @property
    def port(self) -> int:
        """Return the port that the server listens on."""
        return self._server.sockets[0].getsockname()[1]

    async def start(self) -> None:
        """Listen and accept links.

        :raises OSError: if it cannot listen on the address
        """
        address = self._settings.listen
        self._server = await asyncio.start_server(
            self._serve, address.host, address.port, limit=READ_LIMIT
        )

    async def close(self) -> None:
        """Close all links."""
        self._server.close()
        await cancel_all(self._tasks)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        max_size = self._settings.max_body + BATCH_OVERHEAD
        stream = MessageStream(reader, writer, wire.EntryBatch, max_size)
        try:
            with contextlib.suppress(*CONNECTION_ERRORS, asyncio.CancelledError):
                await self._receive(stream)
        except Exception:
            LOGGER.error("link of an entry closed", exc_info=True)
        finally:
            stream.close()

    async def _receive(self, stream: EntryStream) -> None:
        hello_batch = await stream.read()
        if not hello_batch.frames or not hello_batch.frames[0].hello.owner:
            raise OSError("expected a hello with an owner first")
        session = self._receiver.attach(hello_batch.frames[0].hello.owner)
        for frame in hello_batch.frames[1:]:
            self._handle_frame(frame, session.owner)
        writer_task = asyncio.create_task(self._write(stream, session))
        try:
            while True:
                for frame in (await stream.read()).frames:
                    self._handle_frame(frame, session.owner)
        finally:
            self._receiver.detach(session)
            writer_task.cancel()

    def _handle_frame(self, frame: wire.EntryFrame, owner: str) -> None:
        with log_failure(f"frame of {owner} dropped"):
            self._receiver.receive(frame, owner)

    async def _write(self, stream: EntryStream, session: Session) -> None:
        with contextlib.suppress(*CONNECTION_ERRORS):
            async for batch in session.batches():
                await stream.write(batch)
        stream.close()


def _frame(item: wire.AgentFrame | AnswerBuffer) -> wire.AgentFrame | None:
    if isinstance(item, AnswerBuffer):
        return item.next_chunk()
    return item
