"""Label values that the dispatcher gives to dropped messages."""

import unittest

from chicorycove.board import EntryBoard
from chicorycove.command import CountDrop
from chicorycove.dispatch import Dispatcher
from chicorycove.event import AttemptAccepted, AttemptStarted
from chicorycove.identity import AttemptId


class DroppedMessageTest(unittest.TestCase):
    def test_progress_of_an_unknown_attempt_is_counted_by_its_kind(self):
        unused = [None] * 6  # collaborators that a dropped message does not reach
        dispatcher = Dispatcher(EntryBoard(), *unused)
        attempt = AttemptId("r", 1, "n")
        for event, kind in (
            (AttemptAccepted(attempt), "accepted"),
            (AttemptStarted(attempt), "started"),
        ):
            with self.subTest(kind=kind):
                self.assertEqual(dispatcher.handle(event, 0.0), [CountDrop(kind)])
