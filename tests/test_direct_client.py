"""Tests of a direct entry's HTTP client."""

import asyncio
import contextlib
import socket
import time
import unittest

from chicorycove.direct.client import CONNECT_TIMEOUT, CallFailed, HttpClient


class HttpClientTest(unittest.IsolatedAsyncioTestCase):
    async def test_connection_that_does_not_open_times_out_soon(self):
        # A watch connected while its network path was interrupted, and waited
        # for 9.5 s (hunt moldline, deploy/days/alone.toml --seed
        # 752751559221).
        with contextlib.ExitStack() as stack:
            listener = stack.enter_context(socket.socket())
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            for _ in range(4):  # fill the accept queue: later ones get no answer
                waiting = stack.enter_context(socket.socket())
                waiting.setblocking(False)
                waiting.connect_ex(listener.getsockname())
            await asyncio.sleep(0.05)
            client = HttpClient(f"127.0.0.1:{listener.getsockname()[1]}")
            started_at = time.monotonic()
            with self.assertRaises(CallFailed) as caught:
                await client.call("GET", "/", timeout=9.5)
            self.assertLess(time.monotonic() - started_at, CONNECT_TIMEOUT + 5.0)
            self.assertFalse(caught.exception.sent)

    async def test_call_without_an_answer_may_have_been_sent(self):
        async def accept(reader, writer):
            await reader.read(100)
            await asyncio.sleep(5)

        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = HttpClient(f"127.0.0.1:{port}")
        with self.assertRaises(CallFailed) as caught:
            await client.call("GET", "/", timeout=0.2)
        self.assertTrue(caught.exception.sent)
        server.close()
