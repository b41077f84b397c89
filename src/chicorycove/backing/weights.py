"""The platform's weight store, as far as we ask it ourselves."""

import asyncio

from aiosonic.exceptions import AiosonicError

from ..exceptions import PlatformError
from ..httpclient import new_client

TIMEOUT = 5.0  # seconds


class WeightStoreUnavailable(PlatformError):
    """A weight store that does not answer."""


class WeightStore:
    """Asks the weight store at an address what it has."""

    def __init__(self, address: str, timeout: float = TIMEOUT) -> None:
        """Use the store at "ip:port"; timeout is in seconds."""
        self._url = f"http://{address}/weights"
        self._timeout = timeout
        self._client = new_client(2, timeout)

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def exists(self, name: str) -> bool:
        """Tell whether the store has weights of a name.

        :raises WeightsUnavailable: if it does not answer
        """
        try:
            async with asyncio.timeout(self._timeout):
                response = await self._client.request(f"{self._url}/{name}", "HEAD")
        except (AiosonicError, OSError, EOFError, ValueError) as error:
            raise WeightStoreUnavailable(f"{self._url}: {error!r}") from None
        if response.status_code not in (200, 404):
            raise WeightStoreUnavailable(f"{self._url}: {response.status_code}")
        return response.status_code == 200
