"""Failure: an answer that is cut, or an error, is taken for a whole answer.

Targets close a connection within the head of an answer, and continue a stream
that another target has begun with an error.
"""

import asyncio
import unittest

from chicorycove.direct.client import CallFailed, HttpClient
from chicorycove.direct.target_connection import TargetConnection

from .platform_case import PlatformTestCase
from .scripted import ScriptedServer, answer
from .test_direct_endless_answer import Listener

EVENTS = tuple(b"id: %d\ndata: event %d\n\n" % (n, n) for n in range(1, 4))
HEADS = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Own: kept\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX-Own: kept\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nX-Own: kept\r\nConnection: close\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    b"HTTP/1.1 204 No Content\r\nX-Own: kept\r\n\r\n",
)


class CutHeadTest(unittest.TestCase):
    def test_head_that_is_cut_is_no_answer(self):
        for head in HEADS:
            for size in range(len(head)):
                with self.subTest(head=head, size=size):
                    listener = Listener()
                    connection = TargetConnection(listener)
                    connection.data_received(head[:size])
                    connection.eof_received()
                    connection.connection_lost(None)
                    self.assertEqual(listener.ended, "lost")


class CutReplyTest(unittest.IsolatedAsyncioTestCase):
    async def test_call_whose_reply_is_cut_in_its_head_fails(self):
        async def handle(request):
            head = HEADS[int(request.path.split("/")[1])]
            request.send(head[: int(request.path.split("/")[2])])
            request.writer.close()

        server = await ScriptedServer.start(handle)
        self.addAsyncCleanup(server.close)
        client = HttpClient(server.address)
        self.addCleanup(client.close)
        for number, head in enumerate(HEADS):
            for size in range(len(head)):
                with self.subTest(head=head, size=size):
                    with self.assertRaises(CallFailed):
                        await client.call("GET", f"/{number}/{size}")


class CutAnswerTest(PlatformTestCase):
    """Targets that send the bytes which each test chooses."""

    shop_count = 0
    model_count = 0

    async def test_order_whose_answer_is_cut_in_its_head_fails(self):
        async def handle(request):
            request.send(HEADS[0][: int(request.body)])
            request.writer.close()

        target = await self.add_scripted_server("shop", handle)
        await asyncio.sleep(0.5)
        sizes = (0, 5, 17, 30, 36, 40, len(HEADS[0]) - 1)
        for size in sizes:
            answer = await self.request("/order/x", b"%d" % size)
            self.assertEqual((answer.status, answer.body), (502, b""))
        self.assertEqual(len(target.requests), len(sizes))

    async def request_broken_stream(self, continuation):
        """Return the answer to a stream that one target begins.

        The next one continues it with the given bytes.
        """
        targets = []

        async def handle(request):
            if request.header("last-event-id"):
                request.send(continuation)
                request.writer.close()
                return
            request.send(stream_head(request))
            for event in EVENTS:
                request.send(b"%x\r\n%b\r\n" % (len(event), event))
            await asyncio.sleep(0.02)
            request.writer.transport.abort()

        for _ in range(2):
            targets.append(await self.add_scripted_server("model", handle))
        await asyncio.sleep(0.5)
        answer = await self.request_stream()
        self.assertEqual(sum(len(target.requests) for target in targets), 2)
        for target in targets:
            await target.close()
        for key in self.store.keys("servers/"):
            self.store.remove(key)
        return answer

    async def test_error_of_the_next_target_is_no_part_of_a_stream(self):
        text = b"data: no such model\n\n"
        for name, continuation in {
            "error": answer(text, status=500),
            "unavailable": answer(text, status=503),
            "not found": answer(text, status=404),
            "moved": answer(text, ["Location: /"], status=302),
            "error without a length": b"HTTP/1.1 500 Error\r\n\r\n" + text,
            "another type": answer(text, ["Content-Type: text/html"]),
            "no type": answer(text),
            "empty": answer(b"", ["Content-Type: text/plain"]),
            "no content": b"HTTP/1.1 204 No Content\r\n\r\n",
            "cut head": b"HTTP/1.1 500 Error\r\nContent-Le",
        }.items():
            with self.subTest(name):
                stream = await self.request_broken_stream(continuation)
                self.assertEqual(stream.body, b"".join(EVENTS))
                self.assertFalse(stream.complete)


def stream_head(request):
    id = request.header("chicorycove-attempt-id")
    return (
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        b"Chicorycove-Attempt-Id: %b\r\nTransfer-Encoding: chunked\r\n\r\n"
    ) % id.encode()


if __name__ == "__main__":
    unittest.main()
