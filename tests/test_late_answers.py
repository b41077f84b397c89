"""Failure: a server sends an answer twice, on a connection in use again.

No later call and no other caller may receive the second copy. Messages on
links between entries and agents are repeated by ``tests/test_attempt.py`` and
``tests/test_fuzz.py``.
"""

import asyncio
import base64
import json
import unittest

from chicorycove.backend import TargetClient, TargetRequest
from chicorycove.backing.store import EtcdStore
from chicorycove.conversion import Address
from chicorycove.event import OutcomeUnknown, StoreUnreachable, ValueRead
from chicorycove.exceptions import TargetFailed
from chicorycove.httpclient import new_client
from chicorycove.listener import listen
from tests.scripted import ScriptedServer, answer

COPY_DELAY = 0.02  # seconds between an answer and its copy


class ScriptedTestCase(unittest.IsolatedAsyncioTestCase):
    async def start_server(self, handle):
        server = await ScriptedServer.start(handle)
        self.addAsyncCleanup(server.close)
        return server


class PooledConnectionTest(ScriptedTestCase):
    """Control calls and store calls, whose connections are used again.

    A connection that has received bytes after its answer is closed
    (``httpclient._Connection.reuse``).
    """

    async def test_copy_between_two_calls_is_not_read_by_the_second(self):
        for delay in (0.0, COPY_DELAY):
            with self.subTest(delay=delay):

                async def handle(request):
                    reply = answer(request.path.encode())
                    request.send(reply)
                    if request.number == 1:
                        await asyncio.sleep(delay)
                        request.send(reply)

                server = await self.start_server(handle)
                client = new_client(1, 5.0)
                self.addAsyncCleanup(client.aclose)
                for path in ("/first", "/second", "/third"):
                    response = await client.get(f"http://{server.address}{path}")
                    self.assertEqual(await response.content(), path.encode())
                    await asyncio.sleep(3 * COPY_DELAY)
                self.assertEqual(server.connection_count, 2)


class AttemptConnectionTest(ScriptedTestCase):
    """Attempts at a target that repeats answers.

    What prevents a mix-up: a connection carries one attempt
    (``backend.TargetClient``).
    """

    async def fetch(self, client, path, idempotent):
        request = TargetRequest("POST", path, [], b"x", idempotent)
        async with client.stream(request) as reply:
            return b"".join([data async for data in reply.chunks()])

    async def test_copy_reaches_no_later_attempt(self):
        for idempotent in (True, False):
            for delay in (0.0, COPY_DELAY):
                with self.subTest(idempotent=idempotent, delay=delay):

                    async def handle(request):
                        reply = answer(request.path.encode())
                        request.send(reply)
                        await asyncio.sleep(delay)
                        request.send(reply)

                    server = await self.start_server(handle)
                    client = TargetClient(Address(server.address))
                    self.addAsyncCleanup(client.close)
                    for number in range(5):
                        path = f"/{number}"
                        data = await self.fetch(client, path, idempotent)
                        self.assertEqual(data, path.encode())

    async def test_copy_during_the_next_attempt_is_not_read_by_it(self):
        answers = {}

        async def handle(request):
            # A connection that carries a second attempt answers the first.
            reply = answer(request.path.encode())
            request.send(answers.setdefault(request.connection, reply))

        server = await self.start_server(handle)
        client = TargetClient(Address(server.address))
        self.addAsyncCleanup(client.close)
        for number in range(5):
            path = f"/{number}"
            self.assertEqual(await self.fetch(client, path, True), path.encode())

    async def test_answer_without_a_length_reaches_no_other_attempt(self):
        async def handle(request):
            if request.number % 2:
                head = b"HTTP/1.1 200 OK\r\n\r\n"
                request.send(head + answer(b"inner"))
                request.writer.close()
                return
            request.send(answer(request.path.encode()))

        server = await self.start_server(handle)
        client = TargetClient(Address(server.address))
        self.addAsyncCleanup(client.close)
        for number in range(3):
            with self.assertRaises(TargetFailed):  # of unknown length
                await self.fetch(client, "/unframed", True)
            path = f"/{number}"
            self.assertEqual(await self.fetch(client, path, True), path.encode())


class StoreAnswerTest(ScriptedTestCase):
    """Copies that arrive once the next call is sent.

    Only the answer itself can show that it is a copy: a revision belongs to
    one write, and a value is found under the key that was asked for.
    """

    async def start_store(self, handle):
        server = await self.start_server(handle)
        store = EtcdStore(server.address, 5.0)
        self.addAsyncCleanup(store.close)
        return store

    async def test_copy_of_a_write_is_not_the_next_write(self):
        async def handle(request):
            reply = {"succeeded": True, "header": {"revision": "7"}}
            request.send(answer(json.dumps(reply).encode()))

        store = await self.start_store(handle)
        first = await store.swap("a", 0, b"x")
        self.assertEqual(first.version, 7)
        self.assertEqual(await store.swap("b", 0, b"x"), OutcomeUnknown())

    async def test_copy_of_a_read_is_not_the_value_of_another_key(self):
        async def handle(request):
            request.send(answer(json.dumps(range_answer("a")).encode()))

        store = await self.start_store(handle)
        self.assertEqual(await store.get("a"), ValueRead(b"x", 3))
        self.assertEqual(await store.get("b"), StoreUnreachable())

    async def test_copy_of_a_conflict_is_not_the_conflict_of_another_key(self):
        async def handle(request):
            reply = {
                "header": {"revision": "7"},
                "responses": [{"response_range": range_answer("a")}],
            }
            request.send(answer(json.dumps(reply).encode()))

        store = await self.start_store(handle)
        self.assertEqual(await store.swap("b", 0, b"x"), OutcomeUnknown())


class CallerConnectionTest(unittest.IsolatedAsyncioTestCase):
    """Pipelined requests, of which one is answered before its body was read.

    The server (uvicorn) answers in the order of requests, and reads the rest
    of a refused body before the next request.
    """

    async def test_pipelined_requests_get_their_own_answers(self):
        async def app(scope, receive, send):
            if scope["path"] != "/early":
                await asyncio.sleep(0.01)
                while (await receive()).get("more_body"):
                    pass
            head = {"type": "http.response.start", "status": 200, "headers": []}
            await send(head | {"headers": [(b"x-path", scope["path"].encode())]})
            await send({"type": "http.response.body", "body": b""})

        listener = await listen(app, Address("127.0.0.1:0"))
        self.addAsyncCleanup(listener.close)
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", listener.address.port
        )
        self.addCleanup(writer.close)
        hidden = b"GET /hidden HTTP/1.1\r\nHost: x\r\n\r\n"
        paths = (b"/one", b"/early", b"/two", b"/early", b"/three")
        for path in paths:
            head = b"POST %b HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n"
            writer.write(head % (path, len(hidden)) + hidden)
        found = []
        async with asyncio.timeout(10.0):
            for _ in paths:
                head = await reader.readuntil(b"0\r\n\r\n")
                found += [
                    line.split(b": ")[1]
                    for line in head.split(b"\r\n")
                    if line.startswith(b"x-path")
                ]
        self.assertEqual(found, list(paths))


def range_answer(key):
    record = {
        "key": base64.b64encode(key.encode()).decode(),
        "value": base64.b64encode(b"x").decode(),
        "mod_revision": "3",
    }
    return {"header": {"revision": "3"}, "kvs": [record]}
