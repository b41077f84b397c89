"""Failure: a part of an answer is taken for the whole of it.

Targets answer a long upload early, without a length, and reset the connection
while the upload is still being written.
"""

import asyncio
import socket
import unittest

from .agents_case import AgentsTestCase
from .platform_case import PlatformTestCase, config
from .scripted import ScriptedServer

UPLOAD = b"u" * 4_000_000
PART = b"id: 1\ndata: part\n\n"
STATUSES = (200, 302, 404)
WAYS = ("reset", "close")


class EarlyAnswer:
    """Answers an upload that is not read with a part, and breaks off."""

    def __init__(self):
        self.way = "reset"
        self.status = 200
        self.part = PART
        self.count = 0

    async def __call__(self, request):
        self.count += 1
        id = request.header("chicorycove-attempt-id").encode()
        request.send(
            b"HTTP/1.1 %d Early\r\nContent-Type: text/event-stream\r\n"
            b"Chicorycove-Attempt-Id: %b\r\n\r\n%b" % (self.status, id, self.part)
        )
        await asyncio.sleep(0.02)
        transport = request.writer.transport
        if self.way == "close":
            # The kernel resets a connection with bytes that were not read.
            transport.abort()
            return
        if self.way == "end":
            transport.get_extra_info("socket").shutdown(socket.SHUT_WR)
            await asyncio.sleep(0.05)
        request.reset()


class DirectUploadTest(PlatformTestCase):
    shop_count = 0
    model_count = 0

    async def asyncSetUp(self):
        await super().asyncSetUp()
        new_config = config(2)
        new_config["limits"]["maxBodyBytes"] = 2 * len(UPLOAD)
        self.write_config(new_config)
        self.early = EarlyAnswer()
        for service in ("shop", "model"):
            await self.add_scripted_server(
                service, self.early, ScriptedServer.start_unread
            )
        await asyncio.sleep(0.5)

    async def send_upload(self, path):
        fields = {}
        if path in ("ask", "say"):
            fields["Chicorycove_Token_Counts"] = "100,460"
        return await self.request(f"/{path}/x", UPLOAD, **fields)

    async def test_part_of_an_answer_never_looks_complete(self):
        for self.early.way in WAYS:
            for self.early.status in STATUSES:
                for path in ("order", "lookup", "ask", "say"):
                    with self.subTest(
                        self.early.way, status=self.early.status, path=path
                    ):
                        answer = await self.send_upload(path)
                        whole = answer.complete and answer.status == self.early.status
                        self.assertFalse(whole, (answer.status, answer.body))
        self.assertGreaterEqual(self.early.count, 24)

    async def test_answer_that_ends_before_it_is_reset_is_whole(self):
        self.early.way = "end"
        for path in ("order", "lookup", "ask", "say"):
            with self.subTest(path):
                answer = await self.send_upload(path)
                self.assertEqual((answer.status, answer.body), (200, PART))
                self.assertTrue(answer.complete)

    async def test_slow_reader_gets_no_complete_part(self):
        self.early.part = b"".join(
            b"id: %d\ndata: %b\n\n" % (number, b"x" * 10_000) for number in range(400)
        )
        for self.early.way in WAYS:
            for path in ("lookup", "ask"):
                with self.subTest(self.early.way, path=path):
                    caller = await self.open_caller()
                    caller.send(
                        f"/{path}/x", UPLOAD, Chicorycove_Token_Counts="100,460"
                    )
                    await asyncio.sleep(0.5)
                    answer = await caller.read()
                    whole = answer.complete and answer.status == 200
                    self.assertFalse(whole, len(answer.body))


class AgentUploadTest(AgentsTestCase):
    """The program with agents."""

    async def test_part_of_an_answer_never_looks_complete(self):
        early = EarlyAnswer()
        await self.start(early, ScriptedServer.start_unread)
        body = UPLOAD[:900_000]
        for early.way in WAYS:
            for early.status in STATUSES:
                with self.subTest(early.way, status=early.status):
                    data = await self.call(body)
                    self.assertNotIn(PART, data)
                    self.assertTrue(data.startswith(b"HTTP/1.1 502 "), data)
        self.assertGreaterEqual(early.count, 6)


if __name__ == "__main__":
    unittest.main()
