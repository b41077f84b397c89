"""A client of the platform's host list."""

import asyncio

import msgspec
from aiosonic.exceptions import AiosonicError

from ..exceptions import PlatformError
from ..host import Host
from ..httpclient import new_client

TIMEOUT = 2.0  # seconds


class HostListUnavailable(PlatformError):
    """The host list does not answer, or not as expected."""


class HostList:
    """Reads the host list at an address."""

    def __init__(self, address: str, timeout: float = TIMEOUT) -> None:
        """Use the list at "ip:port"; timeout is in seconds."""
        self._url = f"http://{address}/hosts"
        self._timeout = timeout
        self._client = new_client(2, timeout)

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def poll(self) -> list[Host]:
        """Return the hosts in the list.

        :raises HostListUnavailable: if it does not answer as expected
        """
        try:
            async with asyncio.timeout(self._timeout):
                response = await self._client.get(self._url)
                content = await response.content()
            if response.status_code != 200:
                raise HostListUnavailable(f"{self._url}: status {response.status_code}")
            return msgspec.json.decode(content, type=list[Host])
        except (AiosonicError, OSError, EOFError, ValueError) as error:
            raise HostListUnavailable(f"{self._url}: {error!r}") from None
