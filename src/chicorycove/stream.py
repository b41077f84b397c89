"""Length-prefixed protobuf messages over TCP."""

import asyncio
import typing as t

from google.protobuf.message import DecodeError, Message

LENGTH_BYTES = 4
READ_LIMIT = 1024 * 1024  # bytes buffered ahead of the reader
PART_SIZE = 65_536  # bytes of a message that are written at once

MessageT = t.TypeVar("MessageT", bound=Message)

CONNECTION_ERRORS = (OSError, EOFError, DecodeError)


class MessageStream(t.Generic[MessageT]):
    """Reads messages of one type, writes any type; sizes are in bytes."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        message_type: type[MessageT],
        max_size: int,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._message_type = message_type
        self._max_size = max_size

    async def read(self) -> MessageT:
        """Return the next message.

        :raises OSError: if the connection is lost or the message too large
        :raises EOFError: if the other side has closed the connection
        :raises DecodeError: if the data is not a message of the type
        """
        length_prefix = await self._reader.readexactly(LENGTH_BYTES)
        size = int.from_bytes(length_prefix, "big")
        if size > self._max_size:
            raise OSError(f"message of {size} bytes, expected {self._max_size} at most")
        return self._message_type.FromString(await self._reader.readexactly(size))

    async def write(self, message: Message) -> None:
        """Send a message.

        :raises OSError: if the connection is lost
        """
        data = message.SerializeToString()
        self._writer.write(len(data).to_bytes(LENGTH_BYTES, "big"))
        self._writer.write(data)
        await self._writer.drain()

    async def write_parts(self, message: Message, max_silence: float) -> None:
        """Send a message part by part.

        :raises OSError: if the connection is lost
        :raises TimeoutError: if a part is not sent within a time in seconds
        """
        data = message.SerializeToString()
        self._writer.write(len(data).to_bytes(LENGTH_BYTES, "big"))
        for start in range(0, len(data), PART_SIZE):
            self._writer.write(data[start : start + PART_SIZE])
            async with asyncio.timeout(max_silence):
                await self._writer.drain()

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()
