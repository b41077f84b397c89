"""Memory held for groups: all or nothing, renewed, always given back."""

import unittest

from chicorycove import Reason, Verdict
from chicorycove.direct.event import AnswerHeadReceived, AttemptSent
from chicorycove.lifecycle import (
    AnswerCompleted,
    AttemptFailed,
    AttemptRefused,
    CallerDisconnected,
    MemoryReserved,
    Tick,
)

from .direct import LONG, OK, DirectWorld, names, only


def of(commands, kind):
    return [command for command in commands if type(command).__name__ == kind]


class ReservationTest(unittest.TestCase):
    def setUp(self):
        self.world = DirectWorld(engines=4)

    def ask(self, id="r", tokens=700_000):
        """Receive a prompt larger than one memory; return its reservations."""
        return of(self.world.receive(id, LONG, tokens=tokens), "ReserveMemory")

    def hold(self, asked):
        """Have all reservations granted; return the command that sends."""
        for each in asked:
            commands = self.world.handle(MemoryReserved(each.attempt))
        return only(commands, "SendAttempt")

    def released(self, commands):
        return {each.attempt for each in of(commands, "ReleaseMemory")}

    def test_sent_when_all_is_held(self):
        asked = self.ask()
        self.assertTrue(asked)
        send = self.hold(asked)
        tickets = {x.reservation for x in send.members if x.reservation}
        self.assertEqual(tickets, {each.attempt for each in asked})

    def test_refusal_gives_all_back_and_tries_another_group(self):
        asked = self.ask()
        commands = self.world.handle(
            AttemptRefused(asked[0].attempt, Reason.MEMORY_FULL)
        )
        self.assertEqual(self.released(commands), {each.attempt for each in asked})
        again = of(commands, "ReserveMemory")
        self.assertTrue(again)
        self.assertNotIn(asked[0].agent.target, {each.agent.target for each in again})

    def test_refused_groups_end_as_not_run(self):
        commands = self.world.receive("r", LONG, tokens=500_000)
        for _ in range(10):
            asked = of(commands, "ReserveMemory")
            if not asked:
                break
            refusal = AttemptRefused(asked[0].attempt, Reason.MEMORY_FULL)
            commands = self.world.handle(refusal)
        fail = only(commands, "FailRequest")
        self.assertIs(fail.verdict, Verdict.NOT_RUN)
        self.assertGreater(fail.retry_after, 0.0)

    def test_order_without_an_answer_counts_as_refused(self):
        asked = self.ask()
        self.world.now = 0.45
        commands = self.world.handle(Tick())
        self.assertEqual(self.released(commands), {each.attempt for each in asked})

    def test_released_when_the_answer_is_whole(self):
        asked = self.ask()
        send = self.hold(asked)
        self.world.handle(AttemptSent(send.attempt))
        self.world.stream(send)
        commands = self.world.handle(AnswerCompleted(send.attempt, 0))
        self.assertEqual(self.released(commands), {each.attempt for each in asked})

    def test_released_when_the_caller_hangs_up(self):
        for held in (False, True):
            with self.subTest(held=held):
                world = self.world = DirectWorld(engines=4)
                asked = self.ask()
                if held:
                    self.hold(asked)
                commands = world.handle(CallerDisconnected("r"))
                released = self.released(commands)
                self.assertEqual(released, {each.attempt for each in asked})

    def test_released_when_the_attempt_breaks(self):
        asked = self.ask()
        send = self.hold(asked)
        self.world.handle(AttemptSent(send.attempt))
        broken = AttemptFailed(send.attempt, Reason.STREAM_BROKEN, Verdict.MAY_HAVE_RUN)
        commands = self.world.handle(broken)
        self.assertEqual(self.released(commands), {each.attempt for each in asked})

    def test_released_at_the_deadline(self):
        asked = self.ask()
        self.hold(asked)
        self.world.now = LONG.timeout + 0.01
        commands = self.world.handle(Tick())
        self.assertTrue({each.attempt for each in asked} <= self.released(commands))

    def test_renewed_while_it_is_used_and_not_after(self):
        asked = self.ask()
        send = self.hold(asked)
        self.world.handle(AttemptSent(send.attempt))
        self.world.handle(AnswerHeadReceived(send.attempt, OK))
        self.world.now = 1.01
        renewed = of(self.world.handle(Tick()), "ReserveMemory")
        self.assertEqual(
            {each.attempt for each in renewed}, {each.attempt for each in asked}
        )
        self.world.handle(AnswerCompleted(send.attempt, 0))
        self.world.now = 5.0
        self.assertEqual(names(self.world.handle(Tick())), [])

    def test_late_answer_of_an_old_group_sends_nothing(self):
        asked = self.ask()
        self.world.handle(CallerDisconnected("r"))
        for each in asked:
            self.assertEqual(names(self.world.handle(MemoryReserved(each.attempt))), [])
