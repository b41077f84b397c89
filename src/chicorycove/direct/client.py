"""A small HTTP client that keeps one connection open."""

import asyncio
import dataclasses

import httptools

from .http import enable_keepalive, request_bytes

READ_SIZE = 65_536  # bytes
# Seconds; the kernel repeats an opening packet that was lost after 1, 3 and 7,
# so that a new try is sooner through once a path is whole again.
CONNECT_TIMEOUT = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A whole answer."""

    status: int
    body: bytes


class CallFailed(OSError):
    """A call without an answer; sent tells whether it may have arrived."""

    def __init__(self, cause: BaseException, sent: bool) -> None:
        super().__init__(str(cause) or type(cause).__name__)
        self.sent = sent


class _Reading:
    """Collects one answer."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.body = bytearray()
        self.done = False

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        self.done = True


class HttpClient:
    """Calls one address, one call after another."""

    def __init__(self, address: str) -> None:
        """Call the server at "ip:port"."""
        self._address = address
        self._host, port = address.rsplit(":", 1)
        self._port = int(port)
        self._lock = asyncio.Lock()
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def call(
        self, method: str, path: str, body: bytes = b"", timeout: float = 1.0
    ) -> Reply:
        """Return the answer to a call; timeout is in seconds.

        :raises CallFailed: if there is none in time
        """
        sent = False
        async with self._lock:
            try:
                async with asyncio.timeout(timeout):
                    await self._connect()
                    sent = True
                    return await self._exchange(method, path, body)
            except (OSError, TimeoutError, EOFError) as error:
                self.close()
                raise CallFailed(error, sent) from None
            except httptools.HttpParserError as error:
                self.close()
                raise CallFailed(error, sent) from None
            except asyncio.CancelledError:
                self.close()  # or the next call would read this one's answer
                raise

    def close(self) -> None:
        """Close the connection; the next call opens another."""
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None

    async def _connect(self) -> None:
        if self._writer is not None and not self._writer.is_closing():
            if not self._reader.at_eof():
                return
            self.close()
        async with asyncio.timeout(CONNECT_TIMEOUT):
            self._reader, self._writer = await asyncio.open_connection(
                self._host, self._port, limit=READ_SIZE
            )
        enable_keepalive(self._writer.transport)

    async def _exchange(self, method: str, path: str, body: bytes) -> Reply:
        headers = [(b"Host", self._address.encode())]
        if body:
            headers.append((b"Content-Type", b"application/json"))
        self._writer.write(request_bytes(method.encode(), path.encode(), headers, body))
        reading = _Reading()
        while not reading.done:
            data = await self._reader.read(READ_SIZE)
            if not data:
                raise EOFError("the connection ended before the answer was whole")
            reading.parser.feed_data(data)
        reply = Reply(reading.parser.get_status_code(), bytes(reading.body))
        if not reading.parser.should_keep_alive():
            self.close()
        return reply
