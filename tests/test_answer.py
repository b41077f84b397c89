import asyncio
import unittest

from chicorycove.answer import AnswerBuffer
from chicorycove.session import Session
from chicorycove.wire import link_pb2 as wire


def ended(size):
    return wire.AgentFrame(ended=wire.Ended(attempt="r/1/n", size=size))


class SessionTest(unittest.TestCase):
    def setUp(self):
        self.answer = AnswerBuffer("r/1/n")
        self.session = Session("entry-1")

    def append(self, data):
        self.answer.append(data)
        self.session.send_answer(self.answer)

    def end(self):
        self.answer.end = ended(self.answer.size)
        self.session.send(self.answer.end)

    def sent(self):
        async def collect():
            self.session.close()
            return [
                frame
                async for batch in self.session.batches()
                for frame in batch.frames
            ]

        return asyncio.run(collect())

    def test_unsent_bytes_become_one_chunk(self):
        self.append(b"ab")
        self.append(b"cd")
        self.end()
        chunk, end = self.sent()
        self.assertEqual((chunk.chunk.offset, chunk.chunk.data), (0, b"abcd"))
        self.assertEqual(end.ended.size, 4)

    def test_interleaved_answers_keep_their_order(self):
        other = AnswerBuffer("r/2/n")
        self.append(b"a")
        other.append(b"x")
        self.session.send_answer(other)
        self.append(b"b")
        frames = self.sent()
        self.assertEqual([frame.chunk.data for frame in frames], [b"ab", b"x"])

    def test_replay_sends_head_rest_and_end(self):
        self.answer.head = wire.AgentFrame(head=wire.Head(status=200))
        self.answer.append(b"abcd")
        self.answer.next_chunk()
        self.answer.end = ended(4)
        self.session.resend_answer(self.answer, 1)
        head, chunk, end = self.sent()
        self.assertEqual(head.head.status, 200)
        self.assertEqual((chunk.chunk.offset, chunk.chunk.data), (1, b"bcd"))
        self.assertEqual(end.ended.size, 4)

    def test_replay_from_beyond_the_end_sends_no_bytes(self):
        self.answer.append(b"ab")
        self.session.resend_answer(self.answer, 9)
        self.assertEqual(self.sent(), [])
