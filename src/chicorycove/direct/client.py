"""A small HTTP client that makes one call at a time."""

import asyncio
import dataclasses

import httptools

from .connector import open_socket
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
    """Parses one answer and collects its body.

    Bytes after its end, such as a second copy of the answer, are dropped.
    """

    def __init__(self) -> None:
        self.complete = False
        self.status = 0
        self._parser = httptools.HttpResponseParser(self)
        self._headers: Headers = []
        self._body = bytearray()

    def feed(self, data: bytes) -> None:
        """Parse bytes of the answer.

        :raises httptools.HttpParserError: if they are not part of an answer
        """
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            if not self.complete:
                raise

    def reply(self) -> Reply:
        """Return the complete answer."""
        return Reply(self.status, bytes(self._body), self._headers)

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.complete:
            self._headers.append((name, value))

    def on_body(self, body: bytes) -> None:
        if not self.complete:
            self._body += body

    def on_message_complete(self) -> None:
        if not self.complete:
            self.complete = True
            self.status = self._parser.get_status_code()


class HttpClient:
    """A client of one address that makes one call at a time.

    Each call has a connection of its own: on a connection in use again, a
    late second copy of an answer would be read as the next call's answer.
    """

    def __init__(self, address: str, max_reply_size: int = MAX_REPLY_SIZE) -> None:
        """Use the server at "ip:port"; the size of a reply is in bytes."""
        self._max_reply_size = max_reply_size
        self._address = address
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
                raise CallFailed(error, sent) from None
            except httptools.HttpParserError as error:
                raise CallFailed(error, sent) from None
            finally:
                self.close()

    def close(self) -> None:
        """Close the connection of the call in progress."""
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None

    async def _connect(self) -> None:
        sock = await open_socket(self._address, CONNECT_TIMEOUT)
        self._reader, self._writer = await asyncio.open_connection(
            sock=sock, limit=READ_SIZE
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
            reply_parser.feed(data)
        return reply_parser.reply()
