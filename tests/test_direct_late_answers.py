"""Failure: a server sends an answer twice, on a connection in use again.

No later call and no other caller may receive the second copy.
"""

import asyncio
import unittest
from unittest import mock

from chicorycove.direct.client import HttpClient
from tests.platform_case import PlatformTestCase, config, route
from tests.scripted import ScriptedServer, answer

COPY_DELAY = 0.02  # seconds between an answer and its copy


class StoreConnectionTest(unittest.IsolatedAsyncioTestCase):
    """Calls to a store that repeats answers.

    What prevents a mix-up: a connection carries one call (``HttpClient``).
    """

    async def start_client(self, handle):
        server = await ScriptedServer.start(handle)
        self.addAsyncCleanup(server.close)
        client = HttpClient(server.address)
        self.addCleanup(client.close)
        return client

    async def test_copy_between_two_calls_is_not_read_by_the_second(self):
        async def handle(request):
            reply = answer(request.path.encode())
            request.send(reply)
            if request.number == 1:
                await asyncio.sleep(COPY_DELAY)
                request.send(reply)

        client = await self.start_client(handle)
        first = await client.call("GET", "/first")
        await asyncio.sleep(3 * COPY_DELAY)
        second = await client.call("GET", "/second")
        self.assertEqual((first.body, second.body), (b"/first", b"/second"))

    async def test_copy_during_the_next_call_is_not_read_by_it(self):
        earlier = []

        async def handle(request):
            # A connection that carries a second call answers the first again.
            reply = answer(request.path.encode())
            earlier.append((request.connection, reply))
            request.send(next(old for at, old in earlier if at == request.connection))

        client = await self.start_client(handle)
        for path in ("/first", "/second", "/third"):
            reply = await client.call("GET", path)
            self.assertEqual(reply.body, path.encode())

    async def test_copy_that_comes_with_its_answer_is_dropped(self):
        for copied in (100, 40, 1):  # bytes; a copy may be cut off
            with self.subTest(copied=copied):

                async def handle(request):
                    reply = answer(request.path.encode())
                    request.send(reply + reply[:copied])

                client = await self.start_client(handle)
                for path in ("/first", "/second", "/third"):
                    reply = await client.call("GET", path)
                    self.assertEqual(
                        (reply.status, reply.body, len(reply.headers)),
                        (200, path.encode(), 1),
                    )

    async def test_copy_of_a_closing_answer_is_dropped(self):
        async def handle(request):
            reply = answer(request.path.encode(), ["Connection: close"])
            request.send(reply + reply)

        client = await self.start_client(handle)
        for path in ("/first", "/second"):
            reply = await client.call("GET", path)
            self.assertEqual(reply.body, path.encode())


class TargetConnectionTest(PlatformTestCase):
    """Targets that repeat answers; each caller receives its own.

    What prevents a mix-up: a connection to a target carries one request
    (``TargetConnection``), and an answer that echoes another request's id is
    skipped (``PlatformDialect.is_answer_to``).
    """

    shop_count = 0
    model_count = 0

    async def add_target(self, service, handle):
        target = await self.add_scripted_server(service, handle)
        await asyncio.sleep(0.5)
        return target

    async def test_second_copy_reaches_no_other_caller(self):
        async def handle(request):
            reply = echoing_answer(request)
            request.send(reply)
            await asyncio.sleep(COPY_DELAY)
            request.send(reply)

        target = await self.add_target("shop", handle)
        caller = await self.open_caller()
        for number in range(10):
            caller.send("/order/x", b"%d" % number)  # pipelined
        for number in range(10):
            self.assertEqual((await caller.read()).body, b"%d" % number)
            await asyncio.sleep(COPY_DELAY)
        self.assertEqual(target.connection_count, 10)

    async def test_copy_of_an_earlier_answer_is_skipped(self):
        earlier = []

        async def handle(request):
            request.send(b"".join(earlier))
            earlier[:] = [echoing_answer(request)]
            request.send(earlier[0])

        await self.add_target("shop", handle)
        for path in ("/order/x", "/lookup/x"):
            for number in range(3):
                with self.subTest(path=path, number=number):
                    body = b"%b %d" % (path.encode(), number)
                    self.assertEqual((await self.request(path, body)).body, body)

    async def test_copy_of_an_earlier_stream_is_skipped(self):
        earlier = []

        async def handle(request):
            request.send(b"".join(earlier))
            events = b"id: 1\ndata: %b\n\n" % request.path.encode()
            earlier[:] = [echoing_answer(request, events)]
            request.send(earlier[0])

        await self.add_target("model", handle)
        for number in range(3):
            stream = await self.request_stream(f"/ask/{number}")
            self.assertEqual(stream.body, b"id: 1\ndata: /ask/%d\n\n" % number)

    async def test_answer_to_a_cancelled_request_reaches_no_other_caller(self):
        cancelled = asyncio.Event()

        async def handle(request):
            if request.path == "/order/cancelled":
                cancelled.set()
                await asyncio.sleep(0.1)
            request.send(echoing_answer(request))

        await self.add_target("shop", handle)
        caller = await self.open_caller()
        caller.send("/order/cancelled", b"cancelled")
        await cancelled.wait()
        caller.close()
        for number in range(5):
            body = b"%d" % number
            self.assertEqual((await self.request("/order/x", body)).body, body)
            await asyncio.sleep(0.04)

    async def test_answer_without_a_length_ends_with_its_connection(self):
        async def handle(request):
            head = b"HTTP/1.1 200 OK\r\nChicorycove-Attempt-Id: %b\r\n\r\n"
            id = request.header("chicorycove-attempt-id").encode()
            request.send(head % id + request.body)
            request.writer.close()

        await self.add_target("shop", handle)
        for number in range(5):
            body = b"%d" % number
            self.assertEqual((await self.request("/order/x", body)).body, body)

    async def test_early_rejection_and_its_copy_reach_no_other_caller(self):
        async def handle(request):
            if request.body.startswith(b"early"):
                not_run = ["Chicorycove-Not-Executed: 1"]
                reply = echoing_answer(request, b"", 503, not_run)
                request.send(reply + reply)
                return
            request.send(echoing_answer(request))

        await self.add_target("shop", handle)
        self.assertEqual((await self.request("/order/x", b"early")).status, 503)
        self.assertEqual((await self.request("/order/x", b"next")).body, b"next")

    async def test_refusal_written_again_later_refuses_no_other_request(self):
        refusals = {}

        async def handle(request):
            # On a connection in use again, the next answer would be a refusal.
            refused = request.body == b"refused"
            not_run = ["Chicorycove-Not-Executed: 1"]
            if refused:
                reply = echoing_answer(request, b"", 503, not_run)
                refusals[request.connection] = reply
            elif request.connection in refusals:
                reply = refusals[request.connection]
            else:
                reply = echoing_answer(request)
            request.send(reply)
            await asyncio.sleep(COPY_DELAY)
            if refused:
                request.send(reply)

        target = await self.add_target("shop", handle)
        caller = await self.open_caller()
        for _ in range(3):
            answer = await caller.request("/order/x", b"refused")
            self.assertEqual(answer.status, 503)
            answer = await caller.request("/order/x", b"steel")
            self.assertEqual((answer.status, answer.body), (200, b"steel"))
        runs = [each for each in target.requests if each.body == b"steel"]
        self.assertEqual(len(runs), 3)


class CallerAnswerTest(PlatformTestCase):
    """Failure: a caller's request gets two answers on a kept connection.

    The second was read as the answer to the next request, which ran.
    """

    async def assert_next_answer_is_its_own(self, path, method):
        caller = await self.open_caller()
        with mock.patch(method, side_effect=KeyError("unforeseen")):
            await caller.request(path, b"first")
        await asyncio.sleep(0.05)
        answer = await caller.request("/order/x", b"second")
        self.assertEqual((answer.status, answer.body), (200, b"second"))

    async def test_exception_after_an_answer_causes_no_second_one(self):
        method = "chicorycove.direct.request_log.RequestLog.record_answer"
        await self.assert_next_answer_is_its_own("/order/x", method)

    async def test_exception_after_a_refusal_causes_no_second_one(self):
        routes = [route("order", kind="unsafe"), route("gone", service="none")]
        self.write_config(config(2, routes))
        await asyncio.sleep(0.5)
        method = "chicorycove.direct.exchange.Exchange.close"
        await self.assert_next_answer_is_its_own("/gone/x", method)


class CallerConnectionTest(PlatformTestCase):
    """Answers to pipelined requests of which some are refused early."""

    async def test_refused_body_is_not_read_as_a_request(self):
        caller = await self.open_caller()
        hidden = b"POST /order/hidden HTTP/1.1\r\nHost: desk.example\r\n\r\n"
        caller.send("/order/x", hidden * 5000)
        answers = [await caller.read()]
        with self.assertRaises((asyncio.IncompleteReadError, ConnectionError)):
            answers.append(await caller.read())
        self.assertEqual([each.status for each in answers], [413])
        self.assertEqual(self.runs(), [])

    async def test_request_refused_behind_another_is_answered_after_it(self):
        for server in self.shop_servers:
            server.faults.hang = True
        caller = await self.open_caller()
        caller.send("/order/x", b"first")
        caller.send("/order/x", b"second")
        caller.writer.write(b"no request\r\n\r\n")

        async def is_running():
            return bool(self.runs())

        await self.wait_until(is_running)
        await asyncio.sleep(0.05)
        for server in self.shop_servers:
            server.faults.hang = False
        answers = [await caller.read() for _ in range(3)]
        self.assertEqual([each.body for each in answers], [b"first", b"second", b""])
        self.assertEqual([each.status for each in answers], [200, 200, 400])
        self.assertEqual(answers[2].headers["connection"], "close")


def echoing_answer(request, body=None, status=200, headers=()):
    id = request.header("chicorycove-attempt-id")
    fields = [f"Chicorycove-Attempt-Id: {id}", *headers]
    return answer(request.body if body is None else body, fields, status)
