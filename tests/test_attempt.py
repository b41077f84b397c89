"""An attempt's life cycle, and late, crossed and missing chunks."""

import unittest

from chicorycove import attempt
from chicorycove.attempt import (
    AttemptState,
    AttemptStep,
    FreshChunk,
    GapBeforeChunk,
    StaleChunk,
)
from chicorycove.board import RequestState
from chicorycove.identity import AgentId, AttemptId
from chicorycove.request import Prompt, Request

REQUEST = Request("r", "w", "short", Prompt("m", 1, 1), 0.0, 10.0)


def new(number=1):
    return AttemptState(AttemptId("r", number, "n"), AgentId("t", "life"))


class LifeCycleTest(unittest.TestCase):
    def walk(self, *steps):
        one = new()
        return one, [attempt.advance(one, step) for step in steps]

    def test_whole_life(self):
        one, taken = self.walk(
            AttemptStep.ACCEPT, AttemptStep.START, AttemptStep.CHUNK, AttemptStep.END
        )
        self.assertEqual(taken, [True] * 4)
        self.assertEqual(one.state, attempt.ENDED)
        self.assertFalse(attempt.is_live(one))

    def test_broken_stream_is_resumed(self):
        one, taken = self.walk(
            AttemptStep.CHUNK, AttemptStep.BREAK, AttemptStep.RESUME, AttemptStep.END
        )
        self.assertEqual(taken, [True] * 4)

    def test_nothing_follows_the_end(self):
        for last in (
            AttemptStep.END,
            AttemptStep.FAIL,
            AttemptStep.REFUSE,
            AttemptStep.CANCEL,
        ):
            for step in AttemptStep:
                with self.subTest(last=last, step=step):
                    one, taken = self.walk(last, step)
                    self.assertEqual(taken, [True, False])

    def test_agent_may_refuse_what_it_could_not_hand_on(self):
        one, taken = self.walk(AttemptStep.START, AttemptStep.REFUSE, AttemptStep.START)
        self.assertEqual(taken, [True, True, False])
        self.assertEqual(one.state, attempt.REFUSED)
        self.assertFalse(attempt.is_live(one))

    def test_attempts_do_not_share_their_state(self):
        first, second = new(1), new(2)
        attempt.advance(first, AttemptStep.END)
        self.assertEqual(second.state, attempt.SENT)


class PlaceTest(unittest.TestCase):
    def setUp(self):
        self.state = RequestState(REQUEST)
        self.first = new()

    def place(self, one, offset, size):
        return attempt.place_chunk(self.state, one, offset, size)

    def test_chunks_in_order(self):
        self.assertEqual(self.place(self.first, 0, 4), FreshChunk(0))
        self.assertEqual(self.place(self.first, 4, 4), FreshChunk(0))
        self.assertEqual(self.state.relayed_bytes, 8)

    def test_repeated_chunk(self):
        self.place(self.first, 0, 4)
        self.assertEqual(self.place(self.first, 0, 4), StaleChunk())

    def test_overlap_after_a_resume(self):
        self.place(self.first, 0, 4)
        self.assertEqual(self.place(self.first, 2, 4), FreshChunk(2))

    def test_gap_takes_nothing_in(self):
        self.assertEqual(self.place(self.first, 4, 4), GapBeforeChunk())
        self.assertEqual((self.state.relayed_bytes, self.first.received_bytes), (0, 0))

    def test_rerun_is_skipped_up_to_what_was_relayed(self):
        self.place(self.first, 0, 6)
        second = new(2)
        self.assertEqual(self.place(second, 0, 4), StaleChunk())
        self.assertEqual(self.place(second, 4, 4), FreshChunk(2))
        self.assertEqual(self.state.relayed_bytes, 8)

    def test_rerun_with_a_gap_is_not_relayed(self):
        self.place(self.first, 0, 6)
        self.assertEqual(self.place(new(2), 6, 4), GapBeforeChunk())
