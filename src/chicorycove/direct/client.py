"""A small HTTP client that keeps one connection open."""

import asyncio
import dataclasses

import httptools

from .http import Headers, enable_keepalive, format_request

READ_SIZE = 65_536  # bytes
# Seconds. The kernel retransmits a lost SYN after 1, 3 and 7 s, so that a new
# attempt connects sooner once the network path has recovered.
CONNECT_TIMEOUT = 0.4
MAX_REPLY_SIZE = 16_777_216  # bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A complete answer."""

    status: int
    body: bytes
    headers: Headers = dataclasses.field(default_factory=list)


class CallFailed(OSError):
    """A call without a complete answer.

    ``sent`` says whether the request may have arrived.
    """

    def __init__(self, cause: BaseException, sent: bool) -> None:
        super().__init__(str(cause) or type(cause).__name__)
        self.sent = sent


class _ReplyParser:
    """Parses one answer and collects its body."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.headers: Headers = []
        self.body = bytearray()
        self.complete = False

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers.append((name, value))

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        self.complete = True


class HttpClient:
    """A client of one address that makes one call at a time."""

    def __init__(self, address: str, max_reply_size: int = MAX_REPLY_SIZE) -> None:
        """Use the server at "ip:port"; the size of a reply is in bytes."""
        self._max_reply_size = max_reply_size
        self._address = address
        self._host, port = address.rsplit(":", 1)
        self._port = int(port)
        self._lock = asyncio.Lock()
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def call(
        self, method: str, path: str, body: bytes = b"", timeout: float = 1.0
    ) -> Reply:
        """Send a request and return the answer; the timeout is in seconds.

        :raises CallFailed: if no complete answer comes in time
        """
        sent = False
        async with self._lock:
            try:
                async with asyncio.timeout(timeout):
                    await self._connect()
                    sent = True
                    return await self._send_request(method, path, body)
            except (OSError, TimeoutError, EOFError) as error:
                self.close()
                raise CallFailed(error, sent) from None
            except httptools.HttpParserError as error:
                self.close()
                raise CallFailed(error, sent) from None
            except asyncio.CancelledError:
                self.close()  # otherwise the next call would read this answer
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

    async def _send_request(self, method: str, path: str, body: bytes) -> Reply:
        headers = [(b"Host", self._address.encode())]
        if body:
            headers.append((b"Content-Type", b"application/json"))
        self._writer.write(
            format_request(method.encode(), path.encode(), headers, body)
        )
        reply_parser = _ReplyParser()
        size = 0
        while not reply_parser.complete:
            data = await self._reader.read(READ_SIZE)
            if not data:
                raise EOFError("the connection closed before the answer was complete")
            size += len(data)
            if size > self._max_reply_size:
                raise OSError(f"the reply exceeds {self._max_reply_size} bytes")
            reply_parser.parser.feed_data(data)
        reply = Reply(
            reply_parser.parser.get_status_code(),
            bytes(reply_parser.body),
            reply_parser.headers,
        )
        if not reply_parser.parser.should_keep_alive():
            self.close()
        return reply
