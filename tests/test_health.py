"""Outliers are ejected, but never more than the floor allows."""

import unittest

from chicorycove.board import EntryBoard, TargetState
from chicorycove.health import HealthSettings, OutlierDetector
from chicorycove.host import Host
from chicorycove.identity import AgentId

SETTINGS = HealthSettings(failures=3, ejection_base=10.0, ejection_cap=25.0)


class OutlierDetectorTest(unittest.TestCase):
    def setUp(self):
        self.names = [f"t{number}" for number in range(4)]
        self.board = EntryBoard()
        for name in self.names:
            host = Host(name=name, agent="", region="r", failure_domain="a")
            state = TargetState(host, AgentId(name, "life"))
            self.board.targets[name] = state
        self.detector = OutlierDetector(self.board, SETTINGS)

    def fail(self, name, now=0.0, times=3):
        outcomes = [
            self.detector.note_failure(name, self.names, now) for _ in range(times)
        ]
        return outcomes[-1]

    def test_ejected_after_failures_in_a_row(self):
        self.assertFalse(self.fail("t0", times=2))
        self.assertTrue(self.fail("t0", times=1))
        self.assertEqual(self.board.targets["t0"].ejected_until, 10.0)

    def test_success_starts_the_count_again(self):
        self.fail("t0", times=2)
        self.detector.note_success("t0")
        self.assertFalse(self.fail("t0", times=2))

    def test_each_ejection_in_a_row_is_longer_up_to_a_cap(self):
        self.fail("t0")
        self.assertTrue(self.fail("t0", now=10.0, times=1))
        self.assertEqual(self.board.targets["t0"].ejected_until, 30.0)
        self.assertTrue(self.fail("t0", now=30.0, times=1))
        self.assertEqual(self.board.targets["t0"].ejected_until, 55.0)

    def test_floor(self):
        ejected = [self.fail(name) for name in self.names]
        self.assertEqual(ejected, [True, True, False, False])

    def test_targets_that_leave_count_against_the_floor(self):
        for name in ("t1", "t2"):
            self.board.targets[name].agent = None
        self.assertFalse(self.fail("t0"))

    def test_last_target_stays(self):
        self.assertFalse(
            any(self.detector.note_failure("t0", ["t0"], 0.0) for _ in range(9))
        )
