"""Failure: an answer whose status no HTTP answer has is taken for one.

Targets and the store answer with the status 000, or with an interim answer
before the final one.
"""

import asyncio
import unittest

from chicorycove.backend import TargetClient, TargetRequest
from chicorycove.conversion import Address
from chicorycove.direct.client import CallFailed, HttpClient
from chicorycove.exceptions import TargetFailed

from .agents_case import AgentsTestCase
from .platform_case import PlatformTestCase
from .scripted import ScriptedServer, answer

STATUSES = ("000", "099", "600", "999")


def odd_answer(status, body=b"trouble", fields=()):
    lines = [f"HTTP/1.1 {status} Odd", f"Content-Length: {len(body)}", *fields]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def echo(request):
    return f"Chicorycove-Attempt-Id: {request.header('chicorycove-attempt-id')}"


class TargetStatusTest(PlatformTestCase):
    shop_count = 0
    model_count = 0

    async def add_targets(self, service, count=1):
        """Add targets of which one answers with an odd status."""

        async def handle(request):
            status = request.body.decode()
            if not self.odd_requests:
                self.odd_requests.append(request)
                request.send(odd_answer(status, fields=[echo(request)]))
            else:
                request.send(answer(b"done", [echo(request)]))

        self.odd_requests = []
        targets = [
            await self.add_scripted_server(service, handle) for _ in range(count)
        ]
        await asyncio.sleep(0.5)
        return targets

    async def remove_targets(self, targets):
        for target in targets:
            await target.close()
        for key in self.store.keys("servers/"):
            self.store.remove(key)

    async def test_order_fails_at_once(self):
        (target,) = await self.add_targets("shop")
        for number, status in enumerate(STATUSES, 1):
            with self.subTest(status):
                self.odd_requests.clear()
                async with asyncio.timeout(1.0):  # of the 3 s of its deadline
                    reply = await self.request("/order/x", status.encode())
                self.assertEqual((reply.status, reply.body), (502, b""))
                self.assertEqual(len(target.requests), number)

    async def test_repeatable_call_is_answered_by_another_target(self):
        for status in STATUSES:
            with self.subTest(status):
                targets = await self.add_targets("shop", 2)
                async with asyncio.timeout(1.0):
                    reply = await self.request("/lookup/x", status.encode())
                self.assertEqual((reply.status, reply.body), (200, b"done"))
                await self.remove_targets(targets)

    async def test_stream_is_answered_by_another_target(self):
        for status in STATUSES:
            with self.subTest(status):
                targets = await self.add_targets("model", 2)
                caller = await self.open_caller()
                async with asyncio.timeout(1.0):
                    reply = await caller.request(
                        "/ask/x", status.encode(), Chicorycove_Token_Counts="100,460"
                    )
                self.assertEqual(len(self.odd_requests), 1)
                self.assertEqual(reply.status, 200)
                await self.remove_targets(targets)

    async def test_interim_answers_are_skipped(self):
        async def handle(request):
            request.send(b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n")
            request.send(answer(b"done", [echo(request)]))

        await self.add_scripted_server("shop", handle)
        await asyncio.sleep(0.5)
        reply = await self.request("/order/x")
        self.assertEqual((reply.status, reply.body), (200, b"done"))


class ReplyStatusTest(unittest.IsolatedAsyncioTestCase):
    """Replies of the store, and of targets to orders."""

    async def call(self, *parts):
        async def handle(request):
            for part in parts:
                request.send(part)
                await asyncio.sleep(0.01)

        server = await ScriptedServer.start(handle)
        self.addAsyncCleanup(server.close)
        client = HttpClient(server.address)
        self.addCleanup(client.close)
        return await client.call("GET", "/key", timeout=2.0)

    async def test_odd_status_is_no_reply(self):
        for status in STATUSES:
            with self.subTest(status):
                with self.assertRaises(CallFailed) as caught:
                    await self.call(odd_answer(status))
                self.assertTrue(caught.exception.sent)
                self.assertNotIsInstance(caught.exception.__context__, TimeoutError)

    async def test_interim_answers_are_skipped(self):
        whole = answer(b"value", ["X-Revision: 7"])
        interim = b"HTTP/1.1 103 Early Hints\r\nX-Early: 1\r\n\r\n"
        for parts in (
            (b"HTTP/1.1 100 Continue\r\n\r\n", whole),
            (interim, interim, whole),
            (interim + whole,),
            (interim[:30], interim[30:] + whole[:20], whole[20:]),
        ):
            with self.subTest(parts):
                reply = await self.call(*parts)
                self.assertEqual((reply.status, reply.body), (200, b"value"))
                self.assertEqual(
                    reply.headers, [(b"Content-Length", b"5"), (b"X-Revision", b"7")]
                )


class AgentStatusTest(AgentsTestCase):
    """The program with agents."""

    async def test_caller_gets_no_odd_status(self):
        async def handle(request):
            request.send(odd_answer(request.body.decode()))

        await self.start(handle)
        for status in STATUSES:
            with self.subTest(status):
                data = await self.call(status.encode())
                self.assertTrue(data.startswith(b"HTTP/1.1 502 "), data)
                self.assertNotIn(b"trouble", data)

    async def test_odd_status_fails_the_attempt(self):
        for status in STATUSES:
            for idempotent in (True, False):
                with self.subTest(status, idempotent=idempotent):
                    with self.assertRaises(TargetFailed):
                        await self.fetch(odd_answer(status), idempotent)

    async def fetch(self, data, idempotent):
        async def handle(request):
            request.send(data)

        server = await ScriptedServer.start(handle)
        self.addAsyncCleanup(server.close)
        client = TargetClient(Address(server.address))
        self.addAsyncCleanup(client.close)
        request = TargetRequest("POST", "/x", [], b"x", idempotent)
        async with client.stream(request) as reply:
            return reply.head.status, [data async for data in reply.chunks()]


if __name__ == "__main__":
    unittest.main()
