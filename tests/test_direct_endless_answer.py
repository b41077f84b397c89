"""Tests of targets that send bytes without end."""

import asyncio
import json
import unittest

from chicorycove.direct.client import CallFailed, HttpClient
from chicorycove.direct.target_connection import TargetConnection

from .platform_case import PlatformTestCase

CHUNK = b"x" * 65_536
MAX_HEAD = 65_536  # bytes
MAX_EVENT = 262_144
MAX_ANSWER = 8_388_608
MAX_SOCKET_BUFFERS = 16_777_216  # bytes that the kernel may hold on the way
OK_HEAD = b"HTTP/1.1 200 OK\r\n"


class Listener:
    """Records what a connection reports."""

    def __init__(self):
        self.ended = None
        self.accepts = True

    def connection_opened(self):
        pass

    def head_received(self, status, headers):
        return self.accepts

    def body_received(self, data):
        pass

    def answer_completed(self, self_delimited):
        self.ended = "completed"

    def answer_too_large(self):
        self.ended = "too large"

    def connection_lost(self, connected):
        self.ended = "lost"


class EndlessHeadTest(unittest.TestCase):
    def setUp(self):
        self.listener = Listener()
        self.connection = TargetConnection(self.listener)

    def feed(self, first, repeated, most):
        """Feed bytes until the connection gives up; return their number."""
        self.connection.data_received(first)
        count = len(first)
        while self.listener.ended is None and count < most:
            self.connection.data_received(repeated)
            count += len(repeated)
        return count

    def test_header_without_end_is_given_up(self):
        count = self.feed(OK_HEAD + b"X: ", CHUNK, 4 * MAX_HEAD)
        self.assertEqual(self.listener.ended, "too large")
        self.assertLessEqual(count, MAX_HEAD + 2 * len(CHUNK))

    def test_headers_without_end_are_given_up(self):
        self.feed(OK_HEAD, b"X: 1\r\n" * 1_000, 4 * MAX_HEAD)
        self.assertEqual(self.listener.ended, "too large")

    def test_interim_answers_without_end_are_given_up(self):
        self.feed(b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 100, 4 * MAX_HEAD)
        self.assertEqual(self.listener.ended, "too large")

    def test_answer_to_another_request_without_end_is_given_up(self):
        self.listener.accepts = False
        head = OK_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        chunk = b"%x\r\n%b\r\n" % (len(CHUNK), CHUNK)
        self.feed(head, chunk, 2 * MAX_ANSWER)
        self.assertEqual(self.listener.ended, "too large")

    def test_head_after_a_large_answer_to_another_request_is_read(self):
        self.listener.accepts = False
        head = OK_HEAD + b"Content-Length: %d\r\n\r\n" % (4 * MAX_HEAD)
        self.connection.data_received(head + b"x" * (4 * MAX_HEAD) + OK_HEAD)
        self.assertIsNone(self.listener.ended)
        self.listener.accepts = True
        self.connection.data_received(b"Content-Length: 0\r\n\r\n")
        self.assertEqual(self.listener.ended, "completed")


class EndlessReplyTest(unittest.IsolatedAsyncioTestCase):
    async def test_reply_without_end_fails_the_call(self):
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(OK_HEAD + b"\r\n")
            try:
                for _ in range(1_000):
                    writer.write(CHUNK)
                    await writer.drain()
            except ConnectionError:
                pass

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        client = HttpClient(f"127.0.0.1:{port}", max_reply_size=1_000_000)
        self.addCleanup(client.close)
        with self.assertRaisesRegex(CallFailed, "exceeds 1000000 bytes"):
            await client.call("GET", "/", timeout=10.0)


class EndlessAnswerTest(PlatformTestCase):
    """Servers of raw bytes, listed so that they are chosen first."""

    shop_count = 1
    model_count = 1

    async def add_endless(self, service, head, chunk):
        self.sent = 0

        async def serve(reader, writer):
            try:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(head)
                while self.sent < 8 * MAX_SOCKET_BUFFERS:
                    writer.write(chunk)
                    self.sent += len(chunk)
                    await writer.drain()
                await reader.read()
            except (ConnectionError, asyncio.IncompleteReadError):
                pass
            finally:
                self.closed.set()
                writer.close()

        self.closed = asyncio.Event()
        listener = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(listener.close)
        address = f"127.0.0.1:{listener.sockets[0].getsockname()[1]}"
        servers = self.shop_servers + self.model_servers
        (sound,) = [server for server in servers if server.service == service]
        self.store.put(
            "servers/a-endless", json.dumps(sound.registration(address)).encode()
        )
        await self.wait_until(self.is_endless_listed)

    async def is_endless_listed(self):
        return "a-endless" in self.process._board.targets

    async def assert_given_up(self, most):
        async with asyncio.timeout(10.0):
            await self.closed.wait()
        self.assertLessEqual(self.sent, most + MAX_SOCKET_BUFFERS)

    async def test_call_with_a_head_without_end_is_answered_elsewhere(self):
        await self.add_endless("shop", OK_HEAD + b"X: ", CHUNK)
        answer = await self.request("/lookup/x", method="GET")
        self.assertEqual(answer.status, 200)
        await self.assert_given_up(MAX_HEAD)

    async def test_call_with_a_body_without_end_is_answered_elsewhere(self):
        await self.add_endless("shop", OK_HEAD + b"\r\n", CHUNK)
        answer = await self.request("/lookup/x", method="GET")
        self.assertEqual(answer.status, 200)
        await self.assert_given_up(MAX_ANSWER)

    async def test_stream_with_an_event_without_end_is_resumed_elsewhere(self):
        await self.add_endless("model", OK_HEAD + b"\r\nid: 1\ndata: ", CHUNK)
        answer = await self.request_stream()
        self.assertTrue(answer.complete)
        self.assertEqual(answer.events[0], 1)
        await self.assert_given_up(MAX_EVENT)
