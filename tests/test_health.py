"""Failing targets are ejected, but not below the floor."""

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
            state = TargetState(host, AgentId(name, "incarnation"))
            self.board.targets[name] = state
        self.detector = OutlierDetector(self.board, SETTINGS)

    def record_failures(self, name, now=0.0, count=3):
        results = [
            self.detector.note_failure(name, self.names, now) for _ in range(count)
        ]
        return results[-1]

    def test_ejected_after_failures_in_a_row(self):
        self.assertFalse(self.record_failures("t0", count=2))
        self.assertTrue(self.record_failures("t0", count=1))
        self.assertEqual(self.board.targets["t0"].ejected_until, 10.0)

    def test_success_resets_the_failure_count(self):
        self.record_failures("t0", count=2)
        self.detector.note_success("t0")
        self.assertFalse(self.record_failures("t0", count=2))

    def test_each_ejection_in_a_row_is_longer_up_to_a_cap(self):
        self.record_failures("t0")
        self.assertTrue(self.record_failures("t0", now=10.0, count=1))
        self.assertEqual(self.board.targets["t0"].ejected_until, 30.0)
        self.assertTrue(self.record_failures("t0", now=30.0, count=1))
        self.assertEqual(self.board.targets["t0"].ejected_until, 55.0)

    def test_ejections_stop_at_the_floor(self):
        ejected = [self.record_failures(name) for name in self.names]
        self.assertEqual(ejected, [True, True, False, False])

    def test_unavailable_targets_count_against_the_floor(self):
        for name in ("t1", "t2"):
            self.board.targets[name].agent = None
        self.assertFalse(self.record_failures("t0"))

    def test_last_target_is_never_ejected(self):
        self.assertFalse(
            any(self.detector.note_failure("t0", ["t0"], 0.0) for _ in range(9))
        )
