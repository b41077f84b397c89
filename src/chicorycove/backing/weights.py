"""A client of the platform's weight store."""

import asyncio

from aiosonic.exceptions import AiosonicError

from ..exceptions import PlatformError
from ..httpclient import new_client

TIMEOUT = 5.0  # seconds


class WeightStoreUnavailable(PlatformError):
    """The weight store does not answer, or not as expected."""


class WeightStore:
    """Checks which weights the weight store at an address has."""

    def __init__(self, address: str, timeout: float = TIMEOUT) -> None:
        """Use the store at "ip:port"; timeout is in seconds."""
        self._url = f"http://{address}/weights"
        self._timeout = timeout
        self._client = new_client(2, timeout)

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def exists(self, name: str) -> bool:
        """Return whether the store has weights of a name.

        :raises WeightStoreUnavailable: if it does not answer as expected
        """
        try:
            async with asyncio.timeout(self._timeout):
                response = await self._client.request(f"{self._url}/{name}", "HEAD")
        except (AiosonicError, OSError, EOFError, ValueError) as error:
            raise WeightStoreUnavailable(f"{self._url}: {error!r}") from None
        if response.status_code not in (200, 404):
            raise WeightStoreUnavailable(f"{self._url}: status {response.status_code}")
        return response.status_code == 200
