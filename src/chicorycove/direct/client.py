"""A small HTTP client that makes one call at a time."""

import asyncio
import dataclasses

import httptools

from ..status import FINAL_STATUSES, INTERIM_STATUSES
from .connector import open_socket
from .http import Headers, enable_keepalive, format_request

READ_SIZE = 65_536  # bytes
# Seconds. The kernel retransmits a lost SYN after 1, 3 and 7 s, so that a new
# attempt connects sooner once the network path has recovered.
CONNECT_TIMEOUT = 0.4
MAX_REPLY_SIZE = 16_777_216  # bytes
MIN_REPLY_RATE = 65_536  # bytes per second, below which a long answer is given up
CONTENT_LENGTH = b"content-length"


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A complete answer."""

    status: int
    body: bytes
    headers: Headers = dataclasses.field(default_factory=list)


class CallFailed(OSError):
    """A call without a complete answer.

    ``sent`` says whether the request may have arrived, ``silence`` for how
    many seconds the server has sent nothing that was due.
    """

    def __init__(self, cause: BaseException, sent: bool, silence: float = 0.0) -> None:
        super().__init__(str(cause) or type(cause).__name__)
        self.sent = sent
        self.silence = silence


class ReplyTooLong(CallFailed):
    """An answer whose head announces more bytes than the caller reads."""

    def __init__(self, size: int) -> None:
        super().__init__(OSError(f"the answer has {size} bytes"), True)


class _ReplyParser:
    """Parses one answer and collects its body.

    Interim answers before it are skipped.  Bytes after its end, such as a
    second copy of the answer, are dropped.
    """

    def __init__(self) -> None:
        self.complete = False
        self.status = 0
        self.announced_size = 0  # bytes of the body; 0 if the head does not say
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

    def on_message_begin(self) -> None:
        if not self.complete:
            self._headers = []
            self._body = bytearray()
            self.announced_size = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.complete:
            self._headers.append((name, value))
            if name.lower() == CONTENT_LENGTH and value.isdigit():
                self.announced_size = int(value)

    def on_body(self, body: bytes) -> None:
        if not self.complete:
            self._body += body

    def on_headers_complete(self) -> None:
        status = self._parser.get_status_code()
        if status not in INTERIM_STATUSES and status not in FINAL_STATUSES:
            raise httptools.HttpParserError(f"the answer has status {status:03}")

    def on_message_complete(self) -> None:
        status = self._parser.get_status_code()
        if not self.complete and status not in INTERIM_STATUSES:
            self.complete = True
            self.status = status


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
        self,
        method: str,
        path: str,
        body: bytes = b"",
        timeout: float = 1.0,
        max_silence: float | None = None,
        max_body_size: int | None = None,
    ) -> Reply:
        """Send a request and return the answer; times are in seconds.

        The timeout holds for the whole answer.  With a longest silence, it
        holds until the answer begins, which may then take as long as its bytes
        keep coming, at ``MIN_REPLY_RATE`` or faster.

        :raises ReplyTooLong: if the head announces a longer body
        :raises CallFailed: if no complete answer comes in time
        """
        sent = False
        async with self._lock:
            try:
                async with asyncio.timeout(timeout) as limit:
                    await self._connect()
                    sent = True
                    self._write_request(method, path, body)
                    return await self._read_reply(limit, max_silence, max_body_size)
            except ReplyTooLong:
                raise
            except TimeoutError as error:
                raise CallFailed(error, sent, max_silence or timeout) from None
            except (OSError, EOFError) as error:
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

    def _write_request(self, method: str, path: str, body: bytes) -> None:
        headers = [(b"Host", self._address.encode())]
        if body:
            headers.append((b"Content-Type", b"application/json"))
        self._writer.write(
            format_request(method.encode(), path.encode(), headers, body)
        )

    async def _read_reply(
        self,
        limit: asyncio.Timeout,
        max_silence: float | None,
        max_body_size: int | None,
    ) -> Reply:
        clock = asyncio.get_running_loop().time
        reply_parser = _ReplyParser()
        size = 0
        began_at: float | None = None
        while not reply_parser.complete:
            data = await self._reader.read(READ_SIZE)
            if not data:
                raise EOFError("the connection closed before the answer was complete")
            size += len(data)
            if size > self._max_reply_size:
                raise OSError(f"the reply exceeds {self._max_reply_size} bytes")
            reply_parser.feed(data)
            announced_size = reply_parser.announced_size
            if max_body_size is not None and announced_size > max_body_size:
                raise ReplyTooLong(announced_size)
            if max_silence is not None:
                now = clock()
                if began_at is None:
                    began_at = now
                slowest_end = began_at + max_silence + size / MIN_REPLY_RATE
                limit.reschedule(min(now + max_silence, slowest_end))
        return reply_parser.reply()
