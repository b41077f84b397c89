"""State machine of attempts; repeated, out-of-order and missing chunks."""

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


def make_attempt(number=1):
    return AttemptState(AttemptId("r", number, "n"), AgentId("t", "incarnation"))


class LifeCycleTest(unittest.TestCase):
    def advance_all(self, *steps):
        record = make_attempt()
        return record, [attempt.advance(record, step) for step in steps]

    def test_complete_life_cycle(self):
        record, results = self.advance_all(
            AttemptStep.ACCEPT, AttemptStep.START, AttemptStep.CHUNK, AttemptStep.END
        )
        self.assertEqual(results, [True] * 4)
        self.assertEqual(record.state, attempt.ENDED)
        self.assertFalse(attempt.is_live(record))

    def test_interrupted_stream_is_resumed(self):
        record, results = self.advance_all(
            AttemptStep.CHUNK, AttemptStep.BREAK, AttemptStep.RESUME, AttemptStep.END
        )
        self.assertEqual(results, [True] * 4)

    def test_ended_attempt_takes_no_step(self):
        for last in (
            AttemptStep.END,
            AttemptStep.FAIL,
            AttemptStep.REFUSE,
            AttemptStep.CANCEL,
        ):
            for step in AttemptStep:
                with self.subTest(last=last, step=step):
                    record, results = self.advance_all(last, step)
                    self.assertEqual(results, [True, False])

    def test_agent_may_refuse_after_the_start(self):
        record, results = self.advance_all(
            AttemptStep.START, AttemptStep.REFUSE, AttemptStep.START
        )
        self.assertEqual(results, [True, True, False])
        self.assertEqual(record.state, attempt.REFUSED)
        self.assertFalse(attempt.is_live(record))

    def test_attempts_do_not_share_their_state(self):
        first, second = make_attempt(1), make_attempt(2)
        attempt.advance(first, AttemptStep.END)
        self.assertEqual(second.state, attempt.SENT)


class PlaceChunkTest(unittest.TestCase):
    def setUp(self):
        self.state = RequestState(REQUEST)
        self.attempt = make_attempt()

    def place(self, record, offset, size):
        return attempt.place_chunk(self.state, record, offset, size)

    def test_chunks_in_order(self):
        self.assertEqual(self.place(self.attempt, 0, 4), FreshChunk(0))
        self.assertEqual(self.place(self.attempt, 4, 4), FreshChunk(0))
        self.assertEqual(self.state.relayed_bytes, 8)

    def test_repeated_chunk(self):
        self.place(self.attempt, 0, 4)
        self.assertEqual(self.place(self.attempt, 0, 4), StaleChunk())

    def test_overlap_after_a_resume(self):
        self.place(self.attempt, 0, 4)
        self.assertEqual(self.place(self.attempt, 2, 4), FreshChunk(2))

    def test_chunk_after_a_gap_is_not_counted(self):
        self.assertEqual(self.place(self.attempt, 4, 4), GapBeforeChunk())
        self.assertEqual(
            (self.state.relayed_bytes, self.attempt.received_bytes), (0, 0)
        )

    def test_relayed_bytes_of_a_rerun_are_skipped(self):
        self.place(self.attempt, 0, 6)
        second = make_attempt(2)
        self.assertEqual(self.place(second, 0, 4), StaleChunk())
        self.assertEqual(self.place(second, 4, 4), FreshChunk(2))
        self.assertEqual(self.state.relayed_bytes, 8)

    def test_rerun_with_a_gap_is_not_relayed(self):
        self.place(self.attempt, 0, 6)
        self.assertEqual(self.place(make_attempt(2), 6, 4), GapBeforeChunk())
