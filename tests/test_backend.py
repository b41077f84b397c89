import asyncio
import unittest

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import PlainTextResponse
from starlette.routing import Route

from chicorycove.backend import Backend, Work
from chicorycove.conversion import Address
from chicorycove.exceptions import TargetFailed, TargetUnreachable
from standin.server import abort_connection, serve

LONG = 60.0  # seconds


class Target:
    """Answers each path with its own name, some late, some not at all."""

    def __init__(self):
        self.runs = []
        self.release = asyncio.Event()

    async def answer(self, request: Request):
        path = request.url.path
        self.runs.append(path)
        if path == "/late":
            await self.release.wait()
        if path == "/cut" and self.runs.count(path) == 1:
            await abort_connection(request)
        return PlainTextResponse(path)


class BackendTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.target = Target()
        methods = ["GET", "POST", "PUT"]
        route = Route("/{path:path}", self.target.answer, methods=methods)
        self.server = await serve(Starlette(routes=[route]))
        self.backend = Backend(Address(self.server.address))

    async def asyncTearDown(self):
        await self.backend.close()
        self.target.release.set()
        await self.server.close()

    async def call(self, path, method="POST", repeatable=True):
        work = Work(method, path, [], b"x", repeatable)
        async with self.backend.open(work) as answer:
            return b"".join([data async for data in answer.chunks()]).decode()

    async def test_cancelled_call_leaves_no_answer_to_the_next(self):
        await self.call("/first")
        late = asyncio.create_task(self.call("/late"))
        while "/late" not in self.target.runs:
            await asyncio.sleep(0.01)
        late.cancel()
        await asyncio.gather(late, return_exceptions=True)
        self.target.release.set()
        for number in range(3):
            path = f"/next-{number}"
            self.assertEqual(await self.call(path), path)

    async def test_call_that_is_cut_is_not_sent_again(self):
        for repeatable in (True, False):
            with self.subTest(repeatable=repeatable):
                self.target.runs.clear()
                await self.call("/first", "PUT", repeatable)
                with self.assertRaises(TargetFailed):
                    await self.call("/cut", "PUT", repeatable)
                self.assertEqual(self.target.runs, ["/first", "/cut"])

    async def test_nothing_was_sent_to_a_target_that_is_gone(self):
        await self.server.close()
        with self.assertRaises(TargetUnreachable):
            await self.call("/first", repeatable=False)
