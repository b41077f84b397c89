"""Tests of the decision on peers that take no bytes."""

import unittest

from chicorycove.direct.send_window import ClosedWindowTimer, SendState

OPEN = SendState(pending=True, window_closed=False, probes=0)
ANSWERED = SendState(pending=True, window_closed=True, probes=0)
UNANSWERED = SendState(pending=True, window_closed=True, probes=1)
IDLE_UNANSWERED = SendState(pending=True, window_closed=False, probes=1)


class ClosedWindowTimerTest(unittest.TestCase):
    def observe(self, *states):
        """Return the time at which the peer counts as gone, if it does."""
        timer = ClosedWindowTimer(2.5)
        for now, state in enumerate(states):
            if timer.has_expired(state, float(now)):
                return now
        return None

    def test_peer_that_acknowledges_probes_may_pause(self):
        self.assertIsNone(self.observe(*[ANSWERED] * 60))

    def test_peer_that_acknowledges_no_probe_is_gone(self):
        self.assertEqual(self.observe(ANSWERED, *[UNANSWERED] * 5), 4)

    def test_one_lost_acknowledgement_changes_nothing(self):
        states = (UNANSWERED, UNANSWERED, ANSWERED)
        self.assertIsNone(self.observe(*states * 20))
        self.assertIsNone(self.observe(*(UNANSWERED, UNANSWERED, OPEN) * 20))

    def test_open_window_is_left_to_the_system(self):
        self.assertIsNone(self.observe(*[IDLE_UNANSWERED] * 60))
