"""Failure: a slow stream is cut, or a stalled one is kept for ever.

The entry with agents ends a request at its deadline, whatever its target sends
until then, and cuts none before.
"""

import asyncio
import json
import time
import unittest

from chicorycove.catalogue import ServiceKind
from chicorycove.local import LocalProcess
from examples.demo import Caller
from tests.test_local import PROMPT, settings

TIMEOUT = 30.0  # seconds
DONE = b"data: [DONE]\n\n"
SSE = [(b"content-type", b"text/event-stream")]
LARGE_EVENT = 60_000  # bytes


class ScriptedEngine:
    """An engine whose streams a test writes; every other call fails."""

    def __init__(self):
        self.send_stream = None

    async def __call__(self, scope, receive, send):
        if scope["type"] != "http":
            return
        if scope["path"] != "/v1/completions":
            start = {"type": "http.response.start", "status": 404, "headers": []}
            await send(start)
            await send({"type": "http.response.body", "body": b""})
            return
        while (await receive()).get("more_body"):
            pass
        await send({"type": "http.response.start", "status": 200, "headers": SSE})

        async def send_data(data, more=True):
            body = {"type": "http.response.body", "body": data, "more_body": more}
            await send(body)

        await self.send_stream(send_data)


class ScriptedProcess(LocalProcess):
    """The local role with scripted engines."""

    def __init__(self, engine, process_settings=None):
        super().__init__(process_settings or settings(engines=1))
        self._engine = engine

    def _create_target(self, target):
        if target.kind is ServiceKind.ENGINE:

            async def app(scope, receive, send):
                await self._engine(scope, receive, send)

            return app
        return super()._create_target(target)


class SlowStreamTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.engine = ScriptedEngine()
        self.process = ScriptedProcess(self.engine)
        await self.process.start()
        self.addAsyncCleanup(self.process.stop)
        self.targets = self.process.entry.entry.board.targets
        address = self.process.entry.listener.address
        await Caller(f"http://{address}").wait_until_ready(
            lambda: sum(each.agent is not None for each in self.targets.values()) == 2
        )

    async def open_stream(self, timeout):
        address = self.process.entry.listener.address
        reader, writer = await asyncio.open_connection(address.host, address.port)
        self.addCleanup(writer.close)
        body = json.dumps(PROMPT | {"stream": True}).encode()
        head = (
            "POST /v1/completions HTTP/1.1\r\nHost: entry\r\n"
            "Authorization: Bearer toolroom-key\r\nConnection: close\r\n"
            f"X-Request-Timeout: {timeout}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body)
        return reader

    async def read_stream(self, reader):
        async with asyncio.timeout(TIMEOUT):
            return await reader.read()

    async def test_dripping_stream_ends_at_its_deadline(self):
        for piece in (b": ping\n\n", b"d"):
            with self.subTest(piece):

                async def drip(send):
                    await send(b"data: one\n\n")
                    while True:
                        await send(piece)
                        await asyncio.sleep(0.1)

                self.engine.send_stream = drip
                started_at = time.monotonic()
                data = await self.read_stream(await self.open_stream(1.5))
                self.assertGreaterEqual(time.monotonic() - started_at, 1.4)
                self.assertIn(b"event: error", data)
                self.assertIn(b'"verdict":"may_have_run"', data)
                self.assertNotIn(DONE, data)

    async def test_slow_stream_is_not_cut(self):
        async def send_slowly(send):
            for number in range(4):
                await asyncio.sleep(1.0)
                await send(b"data: %d\n\n" % number)
            await send(DONE, False)

        self.engine.send_stream = send_slowly
        data = await self.read_stream(await self.open_stream(20))
        self.assertIn(DONE, data)
        self.assertEqual(data.count(b"data: "), 5)

    async def test_slow_caller_is_not_its_targets_fault(self):
        async def send_much(send):
            for number in range(100):  # in total more than a connection buffers
                await send(b"data: %b\n\n" % (b"x" * LARGE_EVENT))
            await send(DONE, False)

        self.engine.send_stream = send_much
        # The bytes that wait for the caller are bounded (``max_answer``); the
        # answer ends, and its target is not blamed.
        data = await self.read_stream(await self.open_stream(20))
        self.assertIn(b'"reason":"answer_too_large"', data)
        health = self.process.entry.entry._dispatcher._health
        self.assertEqual(health._records, {})
