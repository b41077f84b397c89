"""A loopback proxy that delays, blocks or resets connections on demand."""

import asyncio
import dataclasses
import enum

READ_SIZE = 65_536  # bytes
PACKET_SIZE = 8_192  # bytes that occupy a thin link at once
MAX_LATENESS = 0.05  # seconds of a late event loop in which a link goes on


class Mode(enum.Enum):
    """How a proxy treats bytes and connections."""

    PASS = "pass"
    DELAY = "delay"  # forward each read after a delay
    SILENCE = "silence"  # forward nothing, and keep connections open
    ONE_WAY = "one_way"  # forward nothing from the target to the caller
    REFUSE = "refuse"  # reset new connections


@dataclasses.dataclass(slots=True)
class _Connection:
    caller: asyncio.StreamWriter
    target: asyncio.StreamWriter


class Proxy:
    """Forwards connections to one port on loopback."""

    def __init__(self, target_port: int) -> None:
        self.mode = Mode.PASS
        self.delay = 0.0  # seconds
        self.link_rate: float | None = None  # bytes per second each way
        self.forwarded_size = 0  # bytes to the caller
        self._link_free_at = {True: 0.0, False: 0.0}  # to the caller, from it
        self._target_port = target_port
        self._tasks: set[asyncio.Task] = set()
        self._connections: list[_Connection] = []
        self._server: asyncio.Server | None = None
        self._unblocked = asyncio.Event()
        self._unblocked.set()

    @property
    def port(self) -> int:
        """Return the port that the proxy listens on."""
        return self._server.sockets[0].getsockname()[1]

    async def start(self) -> None:
        """Start to listen on a free port of loopback."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)

    async def close(self) -> None:
        """Stop listening and reset all connections."""
        self._server.close()
        self.reset()
        for task in list(self._tasks):
            task.cancel()

    def set_mode(self, mode: Mode, delay: float = 0.0) -> None:
        """Set the mode and the delay, in seconds, of all connections."""
        self.mode = mode
        self.delay = delay
        if mode in (Mode.SILENCE, Mode.ONE_WAY):
            self._unblocked.clear()
        else:
            self._unblocked.set()

    def reset(self) -> None:
        """Reset all connections."""
        for connection in self._connections:
            connection.caller.transport.abort()
            connection.target.transport.abort()
        self._connections.clear()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await self._relay(reader, writer)
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self._tasks.discard(task)

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode is Mode.REFUSE:
            writer.transport.abort()
            return
        target = await asyncio.open_connection("127.0.0.1", self._target_port)
        connection = _Connection(writer, target[1])
        self._connections.append(connection)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._forward(reader, target[1], Mode.SILENCE))
                group.create_task(self._forward(target[0], writer, Mode.ONE_WAY))
        except* OSError:
            connection.caller.transport.abort()
            connection.target.transport.abort()
        finally:
            target[1].transport.abort()
            writer.close()
            if connection in self._connections:
                self._connections.remove(connection)

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        blocking_mode: Mode,
    ) -> None:
        """Forward bytes in one direction until the reader ends.

        Forwarding blocks in the given mode, and always in ``SILENCE``.
        """
        to_caller = blocking_mode is Mode.ONE_WAY
        while data := await reader.read(PACKET_SIZE if self.link_rate else READ_SIZE):
            await self._wait_for_link(len(data), to_caller)
            if to_caller:
                self.forwarded_size += len(data)
            if self.delay and self.mode is Mode.DELAY:
                await asyncio.sleep(self.delay)
            if self.mode is Mode.SILENCE or self.mode is blocking_mode:
                await self._unblocked.wait()
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof() and to_caller:
            writer.write_eof()
        elif not to_caller:
            raise ConnectionResetError("the caller closed its connection")

    async def _wait_for_link(self, size: int, to_caller: bool) -> None:
        """Wait until bytes have passed the link that all connections share."""
        if self.link_rate is None:
            return
        now = asyncio.get_running_loop().time()
        began_at = max(self._link_free_at[to_caller], now - MAX_LATENESS)
        free_at = began_at + size / self.link_rate
        self._link_free_at[to_caller] = free_at
        await asyncio.sleep(free_at - now)
