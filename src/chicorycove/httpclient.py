"""HTTP client that reuses no aborted connection and retries no request."""

import aiosonic
from aiosonic.connection import Connection
from aiosonic.connectors import PoolConfig, TCPConnector
from aiosonic.timeout import Timeouts

MAX_TIMEOUT = 3600.0  # seconds; callers enforce a shorter one


class _Connection(Connection):
    """Connection that is closed if a request is aborted, without retries.

    Aiosonic returns a connection to its pool even if its request was
    cancelled or timed out; the next request on it would read the answer to
    the earlier one.  Aiosonic also repeats a PUT or DELETE when a reused
    connection is lost, so this class never reports reuse: only the caller
    can decide whether a request may be repeated.
    """

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
        """Return whether the connection is open and to the same address."""
        if self.reader is not None and self.reader.at_eof():
            return False
        return super().reuse(urlparsed, verify)


def new_client(pool_size: int, connect_timeout: float) -> aiosonic.HTTPClient:
    """Return a client whose callers set a timeout for each request.

    :param pool_size: maximum number of connections
    :param connect_timeout: timeout to connect or get a connection, in seconds
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
        connection_cls=_Connection,
    )
    return aiosonic.HTTPClient(connector)
