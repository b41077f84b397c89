"""Failure: a stream that its caller has all events of can never be ended.

The end of a resumed stream was judged by the events of the newest attempt.
"""

import asyncio
import dataclasses
import unittest

from chicorycove.direct.event import (
    AnswerHeadReceived,
    AttemptConnected,
    EventsRelayed,
    RequestReceived,
    StreamClosed,
    TargetProbed,
)
from chicorycove.lifecycle import AnswerCompleted

from .direct import OK, SHORT, DirectWorld, command_names, make_inbound, only_command
from .platform_case import PlatformTestCase
from .test_direct_cut_answers import EVENTS, stream_head

LAST_EVENT_ID = str(len(EVENTS))
LAST_CHUNK = b"0\r\n\r\n"


def head(request, *fields):
    id = request.header("chicorycove-attempt-id")
    lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
    lines += [f"Chicorycove-Attempt-Id: {id}", *fields]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


class ResumedStreamTest(PlatformTestCase):
    """Targets that have no events after those that the caller names."""

    shop_count = 0
    model_count = 0

    async def add_targets(self, handle, count=2):
        targets = [
            await self.add_scripted_server("model", handle) for _ in range(count)
        ]
        await asyncio.sleep(0.5)
        return targets

    async def resume(self):
        return await self.request_stream(Last_Event_Id=LAST_EVENT_ID)

    async def assert_ends(self, handle, request_count=1):
        """Resume as often as would eject the targets of failed attempts."""
        targets = await self.add_targets(handle)
        for _ in range(8):
            answer = await self.resume()
            self.assertEqual((answer.status, answer.body), (200, b""))
            self.assertTrue(answer.complete)
        requests = sum(len(target.requests) for target in targets)
        self.assertEqual(requests, 8 * request_count)
        events = {line["event"] for line in await self.log_lines()}
        self.assertTrue(events.isdisjoint({"target ejected", "attempt failed"}))

    async def test_end_by_the_last_chunk_is_passed_on(self):
        async def handle(request):
            request.send(stream_head(request))
            await asyncio.sleep(0.05)
            request.send(LAST_CHUNK)

        await self.assert_ends(handle)

    async def test_end_at_once_is_passed_on(self):
        async def handle(request):
            request.send(stream_head(request) + LAST_CHUNK)

        await self.assert_ends(handle)

    async def test_end_by_a_length_is_passed_on(self):
        async def handle(request):
            request.send(head(request, "Content-Length: 0"))

        await self.assert_ends(handle)

    async def test_end_by_repeated_events_is_passed_on(self):
        async def handle(request):
            body = b"".join(EVENTS)
            request.send(head(request, f"Content-Length: {len(body)}") + body)

        await self.assert_ends(handle)

    async def test_end_with_the_connection_is_passed_on(self):
        async def handle(request):
            request.send(head(request))
            request.writer.write_eof()

        await self.assert_ends(handle, request_count=2)

    async def test_answer_without_content_is_passed_on(self):
        async def handle(request):
            id = request.header("chicorycove-attempt-id").encode()
            request.send(
                b"HTTP/1.1 204 No Content\r\nChicorycove-Attempt-Id: %b\r\n\r\n" % id
            )

        await self.add_targets(handle)
        caller = await self.open_caller()
        for _ in range(2):
            # A chunk behind the head would be read as the next answer.
            answer = await caller.request(
                "/ask/x", Chicorycove_Token_Counts="100,460", Last_Event_Id="3"
            )
            self.assertEqual(answer.status, 204)
            self.assertNotIn("transfer-encoding", answer.headers)

    async def test_reset_is_no_end(self):
        async def handle(request):
            request.send(head(request))
            await asyncio.sleep(0.02)
            request.reset()

        targets = await self.add_targets(handle)
        answer = await self.resume()
        self.assertFalse(answer.complete)
        self.assertEqual(sum(len(target.requests) for target in targets), 2)

    async def test_end_of_a_crashed_target_is_no_end(self):
        async def handle(request):
            if request.number == 1 and not crashed:
                crashed.append(request)
                request.send(head(request))
                await asyncio.sleep(0.02)
                (target,) = [each for each in targets if request in each.requests]
                target.stop_listening()
                request.writer.write_eof()
                return
            request.send(stream_head(request))
            for event in EVENTS[2:]:
                request.send(b"%x\r\n%b\r\n" % (len(event), event))
            request.send(LAST_CHUNK)

        crashed = []
        targets = await self.add_targets(handle)
        answer = await self.request_stream(Last_Event_Id="2")
        self.assertEqual(answer.body, b"".join(EVENTS[2:]))
        self.assertTrue(answer.complete)
        self.assertTrue(crashed)

    async def break_after_last_event(self, ending):
        """Break off after the last event, and let the next target end."""

        async def handle(request):
            if request.header("last-event-id"):
                request.send(ending(request))
                request.writer.write_eof()
                return
            request.send(stream_head(request))
            for event in EVENTS:
                request.send(b"%x\r\n%b\r\n" % (len(event), event))
            await asyncio.sleep(0.02)
            request.reset()

        await self.add_targets(handle)
        answer = await self.request_stream()
        self.assertEqual(answer.body, b"".join(EVENTS))
        events = {line["event"] for line in await self.log_lines()}
        self.assertNotIn("target ejected", events)
        return answer

    async def test_stream_that_breaks_after_its_last_event_is_ended_by_the_next(self):
        answer = await self.break_after_last_event(
            lambda request: stream_head(request) + LAST_CHUNK
        )
        self.assertTrue(answer.complete)

    async def test_end_that_no_attempt_may_confirm_is_left_to_the_caller(self):
        answer = await self.break_after_last_event(head)
        self.assertFalse(answer.complete)
        answer = await self.resume()
        self.assertEqual((answer.body, answer.complete), (b"", True))

    async def test_new_stream_without_events_is_broken(self):
        async def handle(request):
            request.send(stream_head(request) + LAST_CHUNK)

        targets = await self.add_targets(handle)
        answer = await self.request_stream()
        self.assertFalse(answer.complete)
        self.assertEqual(sum(len(target.requests) for target in targets), 2)


class EmptyEndTest(unittest.TestCase):
    """Decisions on a resumed stream that ends empty with its connection."""

    def create(self, **fields):
        self.world = DirectWorld(**fields)
        return self.resume("r1")

    def resume(self, id):
        inbound = dataclasses.replace(make_inbound(id, SHORT), resumed_after=3)
        return self.begin(self.world.handle(RequestReceived(inbound)))

    def begin(self, commands):
        send = only_command(commands, "SendAttempt")
        self.world.handle(AttemptConnected(send.attempt))
        self.world.handle(AnswerHeadReceived(send.attempt, OK))
        return send

    def close(self, send):
        return self.world.handle(StreamClosed(send.attempt, False))

    def test_stream_ends_once_a_second_target_says_the_same(self):
        first = self.create()
        commands = self.close(first)
        self.assertIn("ProbeTarget", command_names(commands))
        second = self.begin(commands)
        self.assertNotEqual(second.target.target, first.target.target)
        self.assertEqual(second.last_event_id, 3)
        self.assertIn("FinishAnswer", command_names(self.close(second)))
        self.assertEqual(self.world.board.requests, {})

    def test_only_target_is_asked_twice(self):
        second = self.begin(self.close(self.create(engines=1)))
        self.assertIn("FinishAnswer", command_names(self.close(second)))

    def test_end_at_a_crashed_target_confirms_none(self):
        first = self.create()
        second = self.begin(self.close(first))
        self.world.handle(TargetProbed(first.target.target, False, True))
        commands = self.close(second)
        self.assertNotIn("FinishAnswer", command_names(commands))

    def test_second_target_may_have_further_events(self):
        second = self.begin(self.close(self.create()))
        self.world.handle(EventsRelayed(second.attempt, 1, 4))
        commands = self.world.handle(AnswerCompleted(second.attempt, 0))
        self.assertEqual(command_names(commands), ["FinishAnswer"])

    def test_end_after_another_event_confirms_none(self):
        second = self.begin(self.close(self.create()))
        self.world.handle(EventsRelayed(second.attempt, 1, 4))
        commands = self.close(second)
        self.assertIn("AbortAnswer", command_names(commands))

    def test_no_end_ejects_a_sound_target(self):
        first = self.create(engines=2)
        for number in range(2, 10):
            self.close(self.begin(self.close(first)))
            first = self.resume(f"r{number}")
        for view in self.world.board.targets.values():
            self.assertFalse(view.is_avoided(self.world.now))


if __name__ == "__main__":
    unittest.main()
