"""A client of the platform's host list."""

import msgspec
from aiosonic.exceptions import AiosonicError

from ..exceptions import PlatformError
from ..host import Host
from ..httpclient import exchange, new_client
from ..log import LOGGER

TIMEOUT = 2.0  # seconds


class HostListUnavailable(PlatformError):
    """The host list does not answer, or not as expected."""


class HostList:
    """Reads the host list at an address."""

    def __init__(self, address: str, timeout: float = TIMEOUT) -> None:
        """Use the list at "ip:port".

        The timeout, in seconds, holds until an answer begins and between its
        parts.
        """
        self._url = f"http://{address}/hosts"
        self._timeout = timeout
        self._client = new_client(2, timeout)
        self._unreadable: set[bytes] = set()  # items of the last list, logged

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def poll(self) -> list[Host]:
        """Return the hosts in the list; what is none is logged once.

        :raises HostListUnavailable: if it does not answer as expected
        """
        try:
            status, content = await exchange(
                self._client, "GET", self._url, self._timeout
            )
            if status != 200:
                raise HostListUnavailable(f"{self._url}: status {status}")
            items = msgspec.json.decode(content, type=list[msgspec.Raw])
        except (
            AiosonicError,
            OSError,
            EOFError,
            ValueError,
            RecursionError,
        ) as error:
            raise HostListUnavailable(f"{self._url}: {error!r}") from None
        return self._decode_hosts(items)

    def _decode_hosts(self, items: list[msgspec.Raw]) -> list[Host]:
        hosts = []
        unreadable = set()
        for item in items:
            try:
                hosts.append(msgspec.json.decode(item, type=Host))
            except msgspec.MsgspecError as error:
                unreadable.add(bytes(item))
                if bytes(item) not in self._unreadable:
                    LOGGER.warning("host not read: %s", error)
        self._unreadable = unreadable
        return hosts
