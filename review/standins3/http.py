"""Reads and writes the HTTP/1.1 messages of the stand-ins."""

import asyncio
import dataclasses
import typing as t

REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    410: "Gone",
    412: "Precondition Failed",
    421: "Misdirected Request",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


@dataclasses.dataclass(frozen=True)
class Message:
    """A request or an answer; the names of headers are in lower case."""

    start: str  # start line
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.start.split()[1])


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the start line and the headers of a message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start, *lines = head[:-4].split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return start, {name.lower(): value.strip() for name, _, value in pairs}


async def read_chunks(reader: asyncio.StreamReader) -> t.AsyncIterator[bytes]:
    """Yield the chunks of a body."""
    while True:
        size = int(await reader.readuntil(b"\r\n"), 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        yield data[:-2]


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Return a whole message.

    :raises asyncio.IncompleteReadError: if it is cut off
    """
    start, headers = await read_head(reader)
    if headers.get("transfer-encoding") == "chunked":
        body = b"".join([chunk async for chunk in read_chunks(reader)])
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(start, headers, body)


def format_answer(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of an answer."""
    lines = [f"HTTP/1.1 {status} {REASONS[status]}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
