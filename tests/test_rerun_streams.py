"""Failure: the error of a target becomes part of a stream that another began.

The entry with agents sends a repeatable prompt again after its stream has
broken, and relays what follows the bytes that the caller has.
"""

import asyncio
import json
import unittest

from examples.demo import Caller
from tests.test_local import PROMPT, settings
from tests.test_slow_streams import DONE, SSE, TIMEOUT, ScriptedProcess

BEGIN = b"data: one\n\ndata: two\n\n"
ERROR = b"data: no such model\n\n" * 5


class RerunEngine:
    """Engines of which one breaks a stream, and the next one answers it."""

    def __init__(self, second_answer):
        self._second_answer = second_answer  # status, headers and body
        self.count = 0  # answers to the prompt

    async def __call__(self, scope, receive, send):
        if scope["type"] != "http":
            return
        status, headers, body = 404, [], b""
        if scope["path"] == "/v1/completions":
            while (await receive()).get("more_body"):
                pass
            self.count += 1
            status, headers, body = 200, SSE, BEGIN
            if self.count > 1:
                status, headers, body = self._second_answer
        start = {"type": "http.response.start", "status": status}
        await send(start | {"headers": headers})
        await send({"type": "http.response.body", "body": body})


class RerunTest(unittest.IsolatedAsyncioTestCase):
    async def request_stream(self, *second_answer):
        """Return the answer to a prompt whose first stream breaks."""
        engine = RerunEngine(second_answer)
        process = ScriptedProcess(engine, settings(engines=2))
        await process.start()
        try:
            address = process.entry.listener.address
            targets = process.entry.entry.board.targets
            await Caller(f"http://{address}").wait_until_ready(
                lambda: sum(each.agent is not None for each in targets.values()) == 3
            )
            return await self.read_stream(address)
        finally:
            await process.stop()
            self.assertGreaterEqual(engine.count, 2)

    async def read_stream(self, address):
        reader, writer = await asyncio.open_connection(address.host, address.port)
        body = json.dumps(PROMPT | {"stream": True}).encode()
        head = (
            "POST /v1/completions HTTP/1.1\r\nHost: entry\r\n"
            "Authorization: Bearer toolroom-key\r\nConnection: close\r\n"
            f"X-Request-Timeout: 5\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body)
        async with asyncio.timeout(TIMEOUT):
            data = await reader.read()
        writer.close()
        await writer.wait_closed()
        return data

    async def test_error_is_no_part_of_the_stream(self):
        text = [(b"content-type", b"text/plain")]
        for answer in (
            (500, text, ERROR),
            (404, text, ERROR),
            (404, SSE, ERROR),
            (200, text, ERROR),
            (500, text, b""),
            (200, text, b""),
        ):
            with self.subTest(answer):
                data = await self.request_stream(*answer)
                self.assertIn(b"data: two", data)
                self.assertNotIn(b"model", data)
                self.assertIn(b"event: error", data)

    async def test_stream_of_another_engine_is_continued(self):
        data = await self.request_stream(200, SSE, BEGIN + DONE)
        self.assertEqual(data.count(b"data: two"), 1)
        self.assertIn(DONE, data)


if __name__ == "__main__":
    unittest.main()
