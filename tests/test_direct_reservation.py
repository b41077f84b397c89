"""Memory reservations of groups: all or nothing, renewed and released."""

import unittest

from chicorycove import Reason, Verdict
from chicorycove.direct.event import AnswerHeadReceived, AttemptConnected
from chicorycove.lifecycle import (
    AnswerCompleted,
    AttemptFailed,
    AttemptRefused,
    CallerDisconnected,
    MemoryReserved,
    Tick,
)

from .direct import LONG, OK, DirectWorld, command_names, only_command


def commands_of_type(commands, type_name):
    return [command for command in commands if type(command).__name__ == type_name]


class ReservationTest(unittest.TestCase):
    def setUp(self):
        self.world = DirectWorld(engines=4)

    def reserve(self, id="r", tokens=700_000):
        """Receive a prompt larger than one memory; return its orders."""
        return commands_of_type(
            self.world.receive(id, LONG, tokens=tokens), "ReserveMemory"
        )

    def confirm_all(self, orders):
        """Confirm all reservations; return the command to send."""
        for order in orders:
            commands = self.world.handle(MemoryReserved(order.attempt))
        return only_command(commands, "SendAttempt")

    def released_ids(self, commands):
        return {order.attempt for order in commands_of_type(commands, "ReleaseMemory")}

    def test_request_is_sent_when_all_memory_is_reserved(self):
        orders = self.reserve()
        self.assertTrue(orders)
        send = self.confirm_all(orders)
        reservation_ids = {
            member.reservation for member in send.members if member.reservation
        }
        self.assertEqual(reservation_ids, {order.attempt for order in orders})

    def test_refusal_releases_all_and_tries_another_group(self):
        orders = self.reserve()
        commands = self.world.handle(
            AttemptRefused(orders[0].attempt, Reason.MEMORY_FULL)
        )
        self.assertEqual(
            self.released_ids(commands), {order.attempt for order in orders}
        )
        retried = commands_of_type(commands, "ReserveMemory")
        self.assertTrue(retried)
        self.assertNotIn(
            orders[0].agent.target, {order.agent.target for order in retried}
        )

    def test_refused_groups_fail_the_request_as_not_run(self):
        commands = self.world.receive("r", LONG, tokens=500_000)
        for _ in range(10):
            orders = commands_of_type(commands, "ReserveMemory")
            if not orders:
                break
            refusal = AttemptRefused(orders[0].attempt, Reason.MEMORY_FULL)
            commands = self.world.handle(refusal)
        fail = only_command(commands, "FailRequest")
        self.assertIs(fail.verdict, Verdict.NOT_RUN)
        self.assertGreater(fail.retry_after, 0.0)

    def test_order_without_an_answer_counts_as_refused(self):
        orders = self.reserve()
        self.world.now = 0.45
        commands = self.world.handle(Tick())
        self.assertEqual(
            self.released_ids(commands), {order.attempt for order in orders}
        )

    def test_released_when_the_answer_is_complete(self):
        orders = self.reserve()
        send = self.confirm_all(orders)
        self.world.handle(AttemptConnected(send.attempt))
        self.world.stream(send)
        commands = self.world.handle(AnswerCompleted(send.attempt, 0))
        self.assertEqual(
            self.released_ids(commands), {order.attempt for order in orders}
        )

    def test_released_when_the_caller_disconnects(self):
        for confirmed in (False, True):
            with self.subTest(confirmed=confirmed):
                world = self.world = DirectWorld(engines=4)
                orders = self.reserve()
                if confirmed:
                    self.confirm_all(orders)
                commands = world.handle(CallerDisconnected("r"))
                released = self.released_ids(commands)
                self.assertEqual(released, {order.attempt for order in orders})

    def test_released_when_the_attempt_fails(self):
        orders = self.reserve()
        send = self.confirm_all(orders)
        self.world.handle(AttemptConnected(send.attempt))
        failure = AttemptFailed(
            send.attempt, Reason.STREAM_BROKEN, Verdict.MAY_HAVE_RUN
        )
        commands = self.world.handle(failure)
        self.assertEqual(
            self.released_ids(commands), {order.attempt for order in orders}
        )

    def test_released_at_the_deadline(self):
        orders = self.reserve()
        self.confirm_all(orders)
        self.world.now = LONG.timeout + 0.01
        commands = self.world.handle(Tick())
        self.assertTrue(
            {order.attempt for order in orders} <= self.released_ids(commands)
        )

    def test_renewed_until_the_answer_is_complete(self):
        orders = self.reserve()
        send = self.confirm_all(orders)
        self.world.handle(AttemptConnected(send.attempt))
        self.world.handle(AnswerHeadReceived(send.attempt, OK))
        self.world.now = 1.01
        renewed = commands_of_type(self.world.handle(Tick()), "ReserveMemory")
        self.assertEqual(
            {order.attempt for order in renewed}, {order.attempt for order in orders}
        )
        self.world.handle(AnswerCompleted(send.attempt, 0))
        self.world.now = 5.0
        self.assertEqual(command_names(self.world.handle(Tick())), [])

    def test_delayed_reservation_of_a_released_group_sends_nothing(self):
        orders = self.reserve()
        self.world.handle(CallerDisconnected("r"))
        for order in orders:
            self.assertEqual(
                command_names(self.world.handle(MemoryReserved(order.attempt))), []
            )
