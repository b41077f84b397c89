"""Dropped messages, and timers that are due together."""

import unittest

from chicorycove.board import EntryBoard
from chicorycove.command import CountDrop
from chicorycove.dispatch import Dispatcher
from chicorycove.event import AttemptAccepted, AttemptStarted
from chicorycove.identity import AttemptId

from .world import DEADLINE, PROMPT, World


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


class TimersDueTogetherTest(unittest.TestCase):
    """A process that was paused handles all due timers in one tick."""

    def test_retry_that_is_due_after_the_deadline_is_not_sent(self):
        world = World()
        world.send("e0", PROMPT)
        world.send("e0", PROMPT)
        world.settle(1)
        for target in ("advisor-1", "advisor-2"):
            world.agents[target].fail_run()
        for target in ("advisor-1", "advisor-2"):
            world.deliver("e0", target, 4)
        entry = world.entries["e0"]
        runs = len(world.runs)
        entry.paused = True
        world.advance(DEADLINE + 5.0)
        entry.paused = False
        world.advance(0.1)
        self.assertEqual(
            [caller.outcome for caller in world.callers.values()], ["failed", "failed"]
        )
        self.assertEqual(len(world.runs), runs)
        world.check_safety()
