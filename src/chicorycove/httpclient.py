"""HTTP by aiosonic, without crossed answers or hidden retries."""

import aiosonic
from aiosonic.connection import Connection
from aiosonic.connectors import PoolConfig, TCPConnector
from aiosonic.timeout import Timeouts

HEADER_TIMEOUT = 3600.0  # seconds; callers set their own, shorter deadlines


class _Connection(Connection):
    """Closes when an exchange breaks off, and is never said to be reused.

    Aiosonic returns a connection to its pool even when its request was
    cancelled or timed out; the next request over it would read the answer
    to that one. It also repeats a PUT or DELETE by itself when a reused
    connection breaks; only the caller knows whether that is allowed.
    """

    @property
    def reused(self) -> bool:
        """Return False, so that aiosonic repeats nothing."""
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
        """Tell whether the connection is open and to the same address."""
        if self.reader is not None and self.reader.at_eof():
            return False
        return super().reuse(urlparsed, verify)


def new_client(pool_size: int, connect_timeout: float) -> aiosonic.HTTPClient:
    """Return a client; the caller bounds each call's time itself.

    :param connect_timeout: in seconds
    """
    timeouts = Timeouts(
        sock_connect=connect_timeout,
        sock_read=HEADER_TIMEOUT,
        pool_acquire=connect_timeout,
        request_timeout=HEADER_TIMEOUT,
    )
    connector = TCPConnector(
        pool_configs={":default": PoolConfig(size=pool_size)},
        timeouts=timeouts,
        connection_cls=_Connection,
    )
    return aiosonic.HTTPClient(connector)
