"""The HTTP client neither mixes up answers nor repeats requests."""

import asyncio

from aiosonic.exceptions import ConnectionDisconnected
from starlette.applications import Starlette
from starlette.responses import PlainTextResponse
from starlette.routing import Route

from standin.server import abort_connection
from tests.served import ServedTestCase


class EchoTestCase(ServedTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.may_answer = asyncio.Event()
        self.client_addresses = []
        self.server = await self.serve(
            Starlette(routes=[Route("/{word}", self.echo, methods=["GET", "PUT"])])
        )

    async def echo(self, request):
        self.client_addresses.append(request.client)
        word = request.path_params["word"]
        if word == "slow":
            await self.may_answer.wait()
        if word == "lost":
            await abort_connection(request)
        return PlainTextResponse(word)

    async def fetch(self, word):
        response = await self.client.get(f"{self.server.url}/{word}")
        return (await response.content()).decode()


class AbortedRequestTest(EchoTestCase):
    async def test_answer_after_a_timeout_is_not_read_by_the_next_request(self):
        self.assertEqual(await self.fetch("first"), "first")
        with self.assertRaises(asyncio.TimeoutError):
            await asyncio.wait_for(self.fetch("slow"), 0.1)
        self.may_answer.set()
        await asyncio.sleep(0.05)
        self.assertEqual(await self.fetch("next"), "next")

    async def test_answer_after_a_cancel_is_not_read_by_the_next_request(self):
        self.assertEqual(await self.fetch("first"), "first")
        task = asyncio.create_task(self.fetch("slow"))
        while len(self.client_addresses) < 2:
            await asyncio.sleep(0.005)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        self.may_answer.set()
        self.assertEqual(await self.fetch("next"), "next")


class ReuseTest(EchoTestCase):
    async def test_connection_is_reused(self):
        for _ in range(5):
            await self.fetch("again")
        self.assertEqual(len(set(self.client_addresses)), 1)


class ImplicitRetryTest(EchoTestCase):
    async def test_put_on_a_reused_connection_is_sent_once(self):
        await self.fetch("first")
        with self.assertRaises(ConnectionDisconnected):
            await self.client.put(f"{self.server.url}/lost", data=b"40 kg")
        self.assertEqual(len(self.client_addresses), 2)
