"""A loopback proxy whose connections can be made to misbehave."""

import asyncio
import dataclasses
import enum

READ_SIZE = 65_536  # bytes


class Mode(enum.Enum):
    """What a proxy does with bytes and connections."""

    PASS = "pass"
    DELAY = "delay"  # every piece comes later
    SILENCE = "silence"  # nothing passes, and nothing is closed
    ONE_WAY = "one_way"  # nothing comes back
    REFUSE = "refuse"  # new connections are reset


@dataclasses.dataclass(slots=True)
class _Pair:
    caller: asyncio.StreamWriter
    target: asyncio.StreamWriter


class Proxy:
    """Passes connections on to one address."""

    def __init__(self, target_port: int) -> None:
        self.mode = Mode.PASS
        self.delay = 0.0  # seconds
        self._target_port = target_port
        self._pairs: set[asyncio.Task] = set()
        self._open: list[_Pair] = []
        self._server: asyncio.Server | None = None
        self._healed = asyncio.Event()
        self._healed.set()

    @property
    def port(self) -> int:
        """Return the port that callers use."""
        return self._server.sockets[0].getsockname()[1]

    async def start(self) -> None:
        """Begin to listen on loopback."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)

    async def close(self) -> None:
        """Stop listening and cut everything."""
        self._server.close()
        self.reset()
        for task in list(self._pairs):
            task.cancel()

    def set(self, mode: Mode, delay: float = 0.0) -> None:
        """Change what happens from now on."""
        self.mode = mode
        self.delay = delay
        if mode in (Mode.SILENCE, Mode.ONE_WAY):
            self._healed.clear()
        else:
            self._healed.set()

    def reset(self) -> None:
        """Reset all connections."""
        for pair in self._open:
            pair.caller.transport.abort()
            pair.target.transport.abort()
        self._open.clear()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._pairs.add(task)
        try:
            await self._pass(reader, writer)
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self._pairs.discard(task)

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode is Mode.REFUSE:
            writer.transport.abort()
            return
        target = await asyncio.open_connection("127.0.0.1", self._target_port)
        pair = _Pair(writer, target[1])
        self._open.append(pair)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump(reader, target[1], Mode.SILENCE))
                group.create_task(self._pump(target[0], writer, Mode.ONE_WAY))
        except* OSError:
            pair.caller.transport.abort()
            pair.target.transport.abort()
        finally:
            target[1].transport.abort()
            writer.close()
            if pair in self._open:
                self._open.remove(pair)

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, held: Mode
    ) -> None:
        """Pass bytes one way; the way back is held in both silent modes."""
        while data := await reader.read(READ_SIZE):
            if self.delay and self.mode is Mode.DELAY:
                await asyncio.sleep(self.delay)
            if self.mode is Mode.SILENCE or self.mode is held:
                await self._healed.wait()
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof() and held is Mode.ONE_WAY:
            writer.write_eof()
        elif held is Mode.SILENCE:
            raise ConnectionResetError("the caller has closed")
