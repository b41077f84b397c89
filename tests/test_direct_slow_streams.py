"""Failure: a slow stream is cut, or a stalled one is kept for ever.

Progress is a whole event. A stalled stream that may be resumed moves to
another target once its progress check times out (``direct.progress``); any
other ends at its deadline.
"""

import asyncio
import time
import unittest

from chicorycove.direct.eventstream import EventBuffer
from chicorycove.lifecycle import Tick
from standin import platform_server
from tests.direct import SHORT, DirectWorld, command_names
from tests.platform_case import PlatformTestCase
from tests.scripted import ScriptedServer

FULL_READ = 65_536  # bytes
LARGE_EVENT = 200_000  # bytes


def event(number, data=b"x"):
    return b"id: %d\ndata: %b\n\n" % (number, data)


class ProgressTest(unittest.TestCase):
    def test_comments_and_separators_are_no_events(self):
        for data in (b": ping\n\n", b"\n\n", b"\n\n\n\n", b":\n:\n\n", b"retry: 9\n\n"):
            with self.subTest(data):
                batch = EventBuffer(None).feed(data)
                self.assertEqual((batch.data, batch.count), (data, 0))

    def test_events_are_counted_among_comments(self):
        data = (
            b": ping\n\n" + event(1) + b"\n\n: a\nid: 2\n\ndata: b\n\ndata\n\n: c\n\n"
        )
        batch = EventBuffer(None).feed(data)
        self.assertEqual((batch.data, batch.count, batch.last_id), (data, 4, 2))

    def test_parts_of_an_event_are_no_events(self):
        buffer = EventBuffer(None)
        *parts, last = [bytes([byte]) for byte in event(1)]
        self.assertEqual([buffer.feed(part) for part in parts], [None] * len(parts))
        self.assertEqual(buffer.feed(last).count, 1)

    def test_overdue_stream_goes_on_where_no_other_target_takes_it(self):
        # It was aborted before the entry knew of another target.
        world = DirectWorld(engines=1)
        send = world.send("a", SHORT)
        world.stream(send)
        world.add_target("e0", "model", leaving=True)
        while world.now < SHORT.timeout - 1.0:
            world.now += 0.05
            commands = command_names(world.handle(Tick()))
            self.assertLessEqual(set(commands), {"ProbeTarget"})
        world.now = SHORT.timeout
        commands = command_names(world.handle(Tick()))
        self.assertEqual(commands[-2:], ["CancelAttempt", "AbortAnswer"])


class StalledStreamTest(PlatformTestCase):
    shop_count = 0
    model_count = 0

    async def add_target(self, send_stream):
        """Add a target; a function sends its streams after their heads."""

        async def handle(request):
            after = int(request.header("last-event-id") or 0)
            id = request.header("chicorycove-attempt-id")
            request.send(
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                b"Chicorycove-Attempt-Id: %b\r\n\r\n" % id.encode()
            )
            await send_stream(request, after)

        target = await ScriptedServer.start(handle)
        self.addAsyncCleanup(target.close)
        server = platform_server.PlatformServer("model")
        server.address = target.address
        self.register_server(server)
        await asyncio.sleep(0.5)
        return target

    async def finish(self, request, after):
        for number in range(after + 1, 6):
            send_chunk(request, event(number))
        request.send(b"0\r\n\r\n")

    def drip(self, pieces, interval=0.2):
        """Return a function that sends two events and then only pieces."""

        async def send_stream(request, after):
            if after:
                await self.finish(request, after)
                return
            send_chunk(request, event(1) + event(2))
            while not request.writer.is_closing():
                for piece in pieces:
                    await asyncio.sleep(interval)
                    send_chunk(request, piece)

        return send_stream

    async def test_stalled_stream_is_resumed_at_another_target(self):
        for name, pieces in {
            "comments": [b": ping\n\n"],
            "bytes": [b"i", b"d", b":", b" "],
            "separators": [b"\n\n"],
        }.items():
            with self.subTest(name):
                targets = [await self.add_target(self.drip(pieces)) for _ in range(2)]
                answer = await self.request_stream(
                    "/ask/x", Chicorycove_Time_Budget_Ms="3000"
                )
                self.assertTrue(answer.complete)
                self.assertEqual(answer.events, [1, 2, 3, 4, 5])
                runs = [request for each in targets for request in each.requests]
                self.assertEqual(len(runs), 2)
                self.assertEqual(runs[-1].header("last-event-id") or "2", "2")
                for key in self.store.keys("servers/"):
                    self.store.remove(key)
                await asyncio.sleep(0.5)

    async def test_stalled_stream_that_may_not_be_repeated_ends_at_its_deadline(self):
        target = await self.add_target(self.drip([b": ping\n\n", b"i"]))
        started_at = time.monotonic()
        answer = await self.request_stream("/say/x", Chicorycove_Time_Budget_Ms="1500")
        self.assertFalse(answer.complete)
        self.assertEqual(answer.events, [1, 2])
        self.assertGreaterEqual(time.monotonic() - started_at, 1.4)
        self.assertEqual(len(target.requests), 1)

    async def test_slow_streams_are_not_cut(self):
        async def send_stream(request, after):
            for number in range(after + 1, 4):
                await asyncio.sleep(0.8)
                send_chunk(request, event(number))
            request.send(b"0\r\n\r\n")

        await self.add_target(send_stream)
        for path in ("/say/x", "/ask/x"):
            with self.subTest(path):
                answer = await self.request_stream(path)
                self.assertEqual((answer.complete, answer.events), (True, [1, 2, 3]))

    async def test_slow_caller_is_not_its_targets_fault(self):
        count = 60  # events of a size that fills the buffers of a connection

        async def send_stream(request, after):
            for number in range(after + 1, count + 1):
                send_chunk(request, event(number, b"x" * LARGE_EVENT))
                await request.writer.drain()
            request.send(b"0\r\n\r\n")

        targets = [await self.add_target(send_stream) for _ in range(2)]
        caller = await self.open_caller()
        caller.send("/ask/x", Chicorycove_Token_Counts="1000,4600")
        received = bytearray()
        for _ in range(8):  # 2 s; progress is overdue after 0.5 s
            received += await caller._reader.read(FULL_READ)
            await asyncio.sleep(0.25)
        while not received.endswith(b"0\r\n\r\n"):
            received += await caller._reader.read(FULL_READ)
        ids = [b"id: %d\n" % number for number in range(1, count + 1)]
        self.assertTrue(all(received.count(id) == 1 for id in ids))
        self.assertEqual(sum(len(each.requests) for each in targets), 1)
        events = {line["event"] for line in await self.log_lines()}
        self.assertFalse(events & {"attempt failed", "target unreachable"})


def send_chunk(request, data):
    request.send(b"%x\r\n%b\r\n" % (len(data), data))
