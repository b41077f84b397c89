"""HTTP client that mixes up no answers and retries no request."""

import asyncio
import contextlib
import functools
import typing as t

import aiosonic
from aiosonic.connection import Connection
from aiosonic.connectors import PoolConfig, TCPConnector
from aiosonic.exceptions import ConnectionDisconnected
from aiosonic.timeout import Timeouts

MAX_TIMEOUT = 3600.0  # seconds; callers enforce a shorter one
MIN_RATE = 65_536  # bytes per second, below which a long answer is given up
# Bytes per second at which the body of a request arrives at worst.
MIN_UPLOAD_RATE = 250_000


def _of_open_connection(read: t.Callable[..., t.Awaitable[bytes]]):
    """Raise ``ConnectionDisconnected`` for a refusal of an open connection.

    An ICMP error can end an open connection with ``ConnectionRefusedError``,
    which callers take for a proof that nothing was sent.
    """

    @functools.wraps(read)
    async def call(connection: Connection, *args: int | bytes) -> bytes:
        try:
            return await read(connection, *args)
        except ConnectionRefusedError as error:
            raise ConnectionDisconnected() from error

    return call


class _Connection(Connection):
    """Connection that is closed if a request is aborted, without retries.

    Aiosonic returns a connection to its pool even if its request was
    cancelled or timed out; the next request on it would read the answer to
    the earlier one.  Aiosonic also repeats a PUT or DELETE when a reused
    connection is lost, so this class never reports reuse: only the caller
    can decide whether a request may be repeated.
    """

    read = _of_open_connection(Connection.read)
    readexactly = _of_open_connection(Connection.readexactly)
    readline = _of_open_connection(Connection.readline)
    readuntil = _of_open_connection(Connection.readuntil)

    @property
    def reused(self) -> bool:
        """Return False, so that aiosonic never repeats a request."""
        return False

    @reused.setter
    def reused(self, value: bool) -> None:
        pass

    async def __aexit__(self, exc_type, exc, tb) -> None:
        if exc_type is not None:
            self.keep = False
            self.close()
        await super().__aexit__(exc_type, exc, tb)

    def reuse(self, urlparsed, verify) -> bool:
        """Return whether the connection is open, idle and to this address."""
        if self.reader is not None and (self.reader.at_eof() or self._has_unread()):
            return False
        return super().reuse(urlparsed, verify)

    def _has_unread(self) -> bool:
        """Return whether bytes came after the last answer, such as its copy.

        The next request on the connection would read them as its answer.
        """
        # StreamReader has no public way to look at its buffer.
        return bool(self.reader._buffer)


class _SingleUseConnection(_Connection):
    """Connection that is closed after one request.

    A copy of an answer that arrives after the next request was sent cannot be
    told from that request's answer.
    """

    def keep_alive(self) -> None:
        """Leave ``keep`` unset, so that the connection closes."""


def new_client(
    pool_size: int, connect_timeout: float, reuse_connections: bool = True
) -> aiosonic.HTTPClient:
    """Return a client whose callers set a timeout for each request.

    :param pool_size: maximum number of connections
    :param connect_timeout: timeout to connect or get a connection, in seconds
    :param reuse_connections: keep connections open for further requests
    """
    timeouts = Timeouts(
        sock_connect=connect_timeout,
        sock_read=MAX_TIMEOUT,
        pool_acquire=connect_timeout,
        request_timeout=MAX_TIMEOUT,
    )
    connector = TCPConnector(
        pool_configs={":default": PoolConfig(size=pool_size)},
        timeouts=timeouts,
        connection_cls=_Connection if reuse_connections else _SingleUseConnection,
    )
    return aiosonic.HTTPClient(connector)


async def exchange(
    client: aiosonic.HTTPClient,
    method: str,
    url: str,
    max_silence: float,
    body: bytes | None = None,
) -> tuple[int, bytes]:
    """Send a request and return the answer's status and body.

    The answer must begin within the longest silence, in seconds, and the time
    in which the request's body arrives.  It may take as long as its bytes keep
    coming, at ``MIN_RATE`` or faster.

    :raises TimeoutError: if it is given up
    """
    upload_time = len(body or b"") / MIN_UPLOAD_RATE
    async with asyncio.timeout(max_silence + upload_time):
        response = await client.request(url, method, data=body, stream=True)
    clock = asyncio.get_running_loop().time
    began_at = clock()
    content = bytearray()
    async with (
        contextlib.aclosing(response),
        contextlib.aclosing(response.iter_bytes()) as parts,
    ):
        while True:
            slowest_end = began_at + max_silence + len(content) / MIN_RATE
            async with asyncio.timeout_at(min(clock() + max_silence, slowest_end)):
                part = await anext(parts, None)
            if part is None:
                return response.status_code, bytes(content)
            content += part
