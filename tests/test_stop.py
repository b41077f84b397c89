"""Failure: a stop under load drops requests without an answer.

Each request that reaches a stopping process is answered or truthfully refused.
Planned stops of real processes are in ``tests/test_faults.py``.
"""

import asyncio
import json
import socket
import unittest
from unittest import mock

from chicorycove import listener as listener_module
from chicorycove.conversion import Address
from chicorycove.listener import listen

TIMEOUT = 10.0  # seconds
HEAD = b"POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\n"


class StopTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        async def app(scope, receive, send):
            await self.answer(receive, send)

        self.listener = await listen(app, Address("127.0.0.1:0"))
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        self.started_count = 0

    async def answer(self, receive, send):
        self.started_count += 1
        while (message := await receive()).get("more_body"):
            pass
        if message["type"] == "http.disconnect":
            return
        await self.may_answer.wait()
        headers = [(b"content-length", b"4")]
        start = {"type": "http.response.start", "status": 200, "headers": headers}
        await send(start)
        await send({"type": "http.response.body", "body": b"done"})

    async def close(self):
        async with asyncio.timeout(TIMEOUT):
            await self.listener.close()

    async def open(self):
        address = self.listener.address
        reader, writer = await asyncio.open_connection(address.host, address.port)
        self.addCleanup(writer.close)
        return reader, writer

    async def read(self, reader):
        """Return the status and the body of an answer."""
        async with asyncio.timeout(TIMEOUT):
            head = await reader.readuntil(b"\r\n\r\n")
            lines = head.decode().lower().split("\r\n")
            fields = dict(line.split(": ", 1) for line in lines[1:] if line)
            body = await reader.readexactly(int(fields["content-length"]))
        return int(lines[0].split()[1]), body

    async def test_connections_in_the_listen_queue_are_answered(self):
        callers = []
        shutdown = listener_module._Server.shutdown

        async def arrive_and_shut_down(server, sockets=None):
            address = self.listener.address
            for _ in range(5):
                caller = socket.create_connection((address.host, address.port))
                caller.sendall(HEAD + b"body")
                callers.append(caller)
            await shutdown(server, sockets)

        with mock.patch.object(
            listener_module._Server, "shutdown", arrive_and_shut_down
        ):
            await self.close()
        for caller in callers:
            caller.setblocking(False)
            reader, writer = await asyncio.open_connection(sock=caller)
            self.addCleanup(writer.close)
            self.assertEqual(await self.read(reader), (200, b"done"))
        with self.assertRaises(OSError):
            await self.open()

    async def test_next_request_of_a_kept_connection_is_answered(self):
        reader, writer = await self.open()
        writer.write(HEAD + b"body")
        await self.read(reader)
        shutdown = listener_module._Server.shutdown

        async def arrive_and_shut_down(server, sockets=None):
            writer.write(HEAD + b"body")
            await shutdown(server, sockets)

        with mock.patch.object(
            listener_module._Server, "shutdown", arrive_and_shut_down
        ):
            await self.close()
        self.assertEqual(await self.read(reader), (200, b"done"))

    async def test_partly_read_request_is_refused_and_ends_the_stop(self):
        callers = []
        for data in (HEAD[:20], HEAD, HEAD + b"bod"):
            reader, writer = await self.open()
            writer.write(data)
            callers.append(reader)
        used_reader, used_writer = await self.open()
        used_writer.write(HEAD + b"body")
        await self.read(used_reader)
        used_writer.write(HEAD[:20])
        callers.append(used_reader)
        await asyncio.sleep(0.05)
        await self.close()
        for reader in callers:
            status, body = await self.read(reader)
            problem = json.loads(body)
            self.assertEqual(
                (status, problem["reason"], problem["verdict"]),
                (503, "stopping", "not_run"),
            )

    async def test_requests_in_flight_and_behind_them_are_answered(self):
        self.may_answer.clear()
        reader, writer = await self.open()
        writer.write((HEAD + b"body") * 3)
        while not self.started_count:
            await asyncio.sleep(0.01)
        close = asyncio.create_task(self.close())
        await asyncio.sleep(0.3)
        self.assertFalse(close.done())
        self.may_answer.set()
        for _ in range(3):
            self.assertEqual(await self.read(reader), (200, b"done"))
        await close

    async def test_partly_read_request_behind_another_is_refused(self):
        self.may_answer.clear()
        reader, writer = await self.open()
        writer.write(HEAD + b"body" + HEAD + b"bod")
        while not self.started_count:
            await asyncio.sleep(0.01)
        close = asyncio.create_task(self.close())
        await asyncio.sleep(0.3)
        self.may_answer.set()
        self.assertEqual(await self.read(reader), (200, b"done"))
        self.assertEqual((await self.read(reader))[0], 503)
        await close
