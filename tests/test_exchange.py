import unittest

from chicorycove.exchange import AnswerData, AnswerEnd, AnswerHead, Exchange
from chicorycove.identity import AttemptId
from chicorycove.request import Prompt, Request

ATTEMPT = AttemptId("r", 1, "n")


def make_exchange(stream):
    work = Prompt("advisor", 10, 10, stream=stream)
    request = Request("r", "w", "advisory", work, 0.0, 60.0)
    return Exchange(request, "POST", "/v1/completions", [], b"")


class ExchangeTest(unittest.IsolatedAsyncioTestCase):
    async def test_streamed_answer_is_relayed_as_it_arrives(self):
        exchange = make_exchange(stream=True)
        exchange.set_head(ATTEMPT, 200, [])
        exchange.add_data(b"ab")
        head, data = await exchange.next_parts()
        self.assertIsInstance(head, AnswerHead)
        self.assertEqual(data, AnswerData(b"ab"))

    async def test_buffered_bytes_are_counted_until_they_are_fetched(self):
        exchange = make_exchange(stream=True)
        exchange.set_head(ATTEMPT, 200, [])
        exchange.add_data(b"ab")
        exchange.add_data(b"cde")
        self.assertEqual(exchange.buffered_bytes, 5)
        await exchange.next_parts()
        self.assertEqual(exchange.buffered_bytes, 0)

    async def test_unstreamed_answer_is_buffered_until_it_is_complete(self):
        exchange = make_exchange(stream=False)
        exchange.set_head(ATTEMPT, 200, [])
        exchange.add_data(b"ab")
        self.assertEqual(exchange.buffered_bytes, 2)
        self.assertFalse(exchange.head_sent)
        exchange.finish()
        _, data, end = await exchange.next_parts()
        self.assertEqual((data, end), (AnswerData(b"ab"), AnswerEnd()))

    async def test_second_attempt_replaces_buffered_data(self):
        exchange = make_exchange(stream=False)
        exchange.start_attempt("target-1")
        exchange.add_data(b"ab")
        exchange.start_attempt("target-2")
        exchange.set_head(ATTEMPT, 200, [])
        exchange.add_data(b"c")
        exchange.finish()
        _, data, _ = await exchange.next_parts()
        self.assertEqual(data, AnswerData(b"c"))

    async def test_stored_answer_is_replayed_unchanged(self):
        first = make_exchange(stream=False)
        first.set_head(ATTEMPT, 201, [("content-type", "text/plain")])
        first.add_data(b"ab")
        stored_answer = first.stored_answer()
        second = make_exchange(stream=False)
        second.replay(stored_answer)
        head, data, end = await second.next_parts()
        self.assertEqual(head.status, 201)
        self.assertIn(("x-replayed", "true"), head.headers)
        self.assertEqual((data, end), (AnswerData(b"ab"), AnswerEnd()))
