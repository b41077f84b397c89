"""HTTP client on aiosonic without mixed-up answers or implicit retries."""

import aiosonic
from aiosonic.connection import Connection
from aiosonic.connectors import PoolConfig, TCPConnector
from aiosonic.timeout import Timeouts

MAX_TIMEOUT = 3600.0  # seconds; users of the client set shorter deadlines


class _Connection(Connection):
    """Connection that closes on an aborted exchange and allows no retries.

    Aiosonic returns a connection to its pool even if its request was
    cancelled or timed out; the next request on it would read the answer to
    the earlier one.  Aiosonic also repeats a PUT or DELETE when a reused
    connection is lost, so this class never reports reuse: only the user of
    the client knows whether a request may be repeated.
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
    """Return a client whose user sets a timeout on each call.

    :param pool_size: most connections at a time
    :param connect_timeout: in seconds
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
