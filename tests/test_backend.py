import asyncio
import unittest
from unittest import mock

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import PlainTextResponse
from starlette.routing import Route

from chicorycove.backend import TargetClient, TargetRequest
from chicorycove.conversion import Address
from chicorycove.exceptions import TargetFailed, TargetUnreachable
from standin.server import abort_connection, serve
from tests.scripted import ScriptedServer

LONG = 60.0  # seconds


class Target:
    """Answers with the path; delays /delayed and aborts the first /cut."""

    def __init__(self):
        self.runs = []
        self.release = asyncio.Event()

    async def answer(self, request: Request):
        path = request.url.path
        self.runs.append(path)
        if path == "/delayed":
            await self.release.wait()
        if path == "/cut" and self.runs.count(path) == 1:
            await abort_connection(request)
        return PlainTextResponse(path)


class TargetClientTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.target = Target()
        methods = ["GET", "POST", "PUT"]
        route = Route("/{path:path}", self.target.answer, methods=methods)
        self.server = await serve(Starlette(routes=[route]))
        self.client = TargetClient(Address(self.server.address))

    async def asyncTearDown(self):
        await self.client.close()
        self.target.release.set()
        await self.server.close()

    async def send_request(self, path, method="POST", idempotent=True):
        request = TargetRequest(method, path, [], b"x", idempotent)
        async with self.client.stream(request) as answer:
            return b"".join([data async for data in answer.chunks()]).decode()

    async def test_next_call_does_not_get_the_answer_of_a_cancelled_call(self):
        await self.send_request("/first")
        delayed = asyncio.create_task(self.send_request("/delayed"))
        while "/delayed" not in self.target.runs:
            await asyncio.sleep(0.01)
        delayed.cancel()
        await asyncio.gather(delayed, return_exceptions=True)
        self.target.release.set()
        for number in range(3):
            path = f"/next-{number}"
            self.assertEqual(await self.send_request(path), path)

    async def test_aborted_call_is_not_sent_again(self):
        for idempotent in (True, False):
            with self.subTest(idempotent=idempotent):
                self.target.runs.clear()
                await self.send_request("/first", "PUT", idempotent)
                with self.assertRaises(TargetFailed):
                    await self.send_request("/cut", "PUT", idempotent)
                self.assertEqual(self.target.runs, ["/first", "/cut"])

    async def test_stopped_target_is_unreachable(self):
        await self.server.close()
        with self.assertRaises(TargetUnreachable):
            await self.send_request("/first", idempotent=False)

    async def test_open_connection_that_ends_as_refused_may_have_sent(self):
        async def raise_after_run(reader, *args):
            while not self.target.runs:
                await asyncio.sleep(0.01)
            raise ConnectionRefusedError

        for idempotent in (True, False):
            with self.subTest(idempotent=idempotent):
                self.target.runs.clear()
                with mock.patch.object(
                    asyncio.StreamReader, "readuntil", raise_after_run
                ):
                    with self.assertRaises(TargetFailed):
                        await self.send_request("/first", idempotent=idempotent)
                self.assertEqual(self.target.runs, ["/first"])


class CutHeadTest(unittest.IsolatedAsyncioTestCase):
    """Failure: an answer that ends in its head is taken for a whole one."""

    async def fetch(self, address, path):
        client = TargetClient(Address(address))
        self.addAsyncCleanup(client.close)
        request = TargetRequest("POST", path, [], b"x")
        async with client.stream(request) as reply:
            return [data async for data in reply.chunks()]

    async def test_head_that_is_cut_is_no_answer(self):
        heads = (
            b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Own: kept\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX-Own: kept\r\n\r\n",
            b"HTTP/1.1 204 No Content\r\nX-Own: kept\r\n\r\n",
        )

        async def handle(request):
            _, number, size = request.path.split("/")
            request.send(heads[int(number)][: int(size)])
            request.writer.close()

        server = await ScriptedServer.start(handle)
        self.addAsyncCleanup(server.close)
        for number, head in enumerate(heads):
            for size in range(0, len(head), 3):
                with self.subTest(head=head, size=size):
                    with self.assertRaises(TargetFailed):
                        await self.fetch(server.address, f"/{number}/{size}")
