"""The program with agents, with a target that sends the bytes of a test."""

import asyncio
import unittest

from chicorycove.catalogue import ServiceKind
from chicorycove.local import LocalProcess
from examples.demo import Caller
from tests.scripted import ScriptedServer
from tests.test_local import settings

TIMEOUT = 20.0  # seconds


class ScriptedTargetProcess(LocalProcess):
    """The local role, whose plain target is scripted."""

    def __init__(self, handle, start):
        super().__init__(settings(engines=1))
        self._handle = handle
        self._start_scripted = start

    def _create_target(self, target):
        if target.kind is ServiceKind.PLAIN:
            return self._handle
        return super()._create_target(target)

    async def _serve(self, app):
        if app is not self._handle:
            return await super()._serve(app)
        self.scripted = await self._start_scripted(app)
        self.scripted.url = f"http://{self.scripted.address}"
        self._servers.append(self.scripted)
        return self.scripted


class AgentsTestCase(unittest.IsolatedAsyncioTestCase):
    """A test case with an entry, an agent and a scripted plain target."""

    async def start(self, handle, start=ScriptedServer.start):
        self.process = ScriptedTargetProcess(handle, start)
        await self.process.start()
        self.addAsyncCleanup(self.process.stop)
        targets = self.process.entry.entry.board.targets
        address = self.process.entry.listener.address
        await Caller(f"http://{address}").wait_until_ready(
            lambda: sum(each.agent is not None for each in targets.values()) == 2
        )

    async def call(self, body=b"", method="POST", timeout=4.0):
        """Return all that the caller gets on a connection that is closed."""
        address = self.process.entry.listener.address
        reader, writer = await asyncio.open_connection(address.host, address.port)
        head = (
            f"{method} /services/purchasing/orders HTTP/1.1\r\nHost: entry\r\n"
            "Authorization: Bearer toolroom-key\r\nConnection: close\r\n"
            f"X-Request-Timeout: {timeout}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body)
        try:
            async with asyncio.timeout(TIMEOUT):
                return await reader.read()
        finally:
            writer.close()
