"""A base class for tests that serve applications on loopback."""

import asyncio
import unittest

import msgspec

from chicorycove.httpclient import new_client
from standin.server import serve

TIMEOUT = 20.0  # seconds, for a request or a condition


class ServedTestCase(unittest.IsolatedAsyncioTestCase):
    """A test case that serves applications until the test ends."""

    async def asyncSetUp(self):
        self.client = new_client(64, TIMEOUT)
        self.addAsyncCleanup(self.client.aclose)

    async def serve(self, app, port=0):
        server = await serve(app, port=port)
        self.addAsyncCleanup(server.close)
        return server

    async def post(self, url, body, headers=None):
        """Send a POST and return the status and the decoded JSON body."""
        data = body if isinstance(body, bytes) else msgspec.json.encode(body)
        return await self.send_request("POST", url, data=data, headers=headers)

    async def get(self, url):
        return await self.send_request("GET", url)

    async def send_request(self, method, url, **options):
        async with asyncio.timeout(TIMEOUT):
            response = await self.client.request(url, method, **options)
            content = await response.content()
        return response.status_code, msgspec.json.decode(content)

    async def wait_until(self, condition):
        """Wait until an async condition returns a true value."""
        async with asyncio.timeout(TIMEOUT):
            while not await condition():
                await asyncio.sleep(0.005)
