import unittest

from chicorycove.exchange import Data, Done, Exchange, Head
from chicorycove.identity import AttemptId
from chicorycove.request import Prompt, Request

ATTEMPT = AttemptId("r", 1, "n")


def make_exchange(stream):
    work = Prompt("advisor", 10, 10, stream=stream)
    request = Request("r", "w", "advisory", work, 0.0, 60.0)
    return Exchange(request, "POST", "/v1/completions", [], b"")


class ExchangeTest(unittest.IsolatedAsyncioTestCase):
    async def test_stream_is_passed_on_as_it_comes(self):
        exchange = make_exchange(stream=True)
        exchange.set_head(ATTEMPT, 200, [])
        exchange.add(b"ab")
        head, data = await exchange.parts()
        self.assertIsInstance(head, Head)
        self.assertEqual(data, Data(b"ab"))

    async def test_what_the_caller_has_not_taken_is_counted(self):
        exchange = make_exchange(stream=True)
        exchange.set_head(ATTEMPT, 200, [])
        exchange.add(b"ab")
        exchange.add(b"cde")
        self.assertEqual(exchange.held, 5)
        await exchange.parts()
        self.assertEqual(exchange.held, 0)

    async def test_whole_answer_is_held_back(self):
        exchange = make_exchange(stream=False)
        exchange.set_head(ATTEMPT, 200, [])
        exchange.add(b"ab")
        self.assertEqual(exchange.held, 2)
        self.assertFalse(exchange.begun)
        exchange.finish()
        _, data, end = await exchange.parts()
        self.assertEqual((data, end), (Data(b"ab"), Done()))

    async def test_second_attempt_replaces_what_was_held(self):
        exchange = make_exchange(stream=False)
        exchange.begin_attempt("one")
        exchange.add(b"ab")
        exchange.begin_attempt("two")
        exchange.set_head(ATTEMPT, 200, [])
        exchange.add(b"c")
        exchange.finish()
        _, data, _ = await exchange.parts()
        self.assertEqual(data, Data(b"c"))

    async def test_kept_answer_is_replayed_as_it_was(self):
        first = make_exchange(stream=False)
        first.set_head(ATTEMPT, 201, [("content-type", "text/plain")])
        first.add(b"ab")
        kept = first.kept()
        again = make_exchange(stream=False)
        again.replay(kept)
        head, data, end = await again.parts()
        self.assertEqual(head.status, 201)
        self.assertIn(("x-replayed", "true"), head.headers)
        self.assertEqual((data, end), (Data(b"ab"), Done()))
