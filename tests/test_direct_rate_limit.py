"""Tests of the request rates that targets ask for."""

import math
import unittest

from chicorycove.direct.event import AnswerHeadReceived, TargetAnswer
from chicorycove.platform.headers import PlatformDialect

from .direct import OK, SHORT, DirectWorld


def limited(rate):
    return TargetAnswer(status=200, not_run=False, rate_limit=rate)


class LimitHeaderTest(unittest.TestCase):
    def parse(self, value):
        return PlatformDialect().parse_answer_head(200, [(b"Server-Limit", value)])

    def test_decimal_number_is_read(self):
        self.assertEqual(self.parse(b"1.2").rate_limit, 1.2)
        self.assertEqual(self.parse(b"0").rate_limit, 0.0)

    def test_other_value_is_reported_and_names_no_limit(self):
        for value in (b"-1", b"fast", b"", b"nan", b"1e999"):
            with self.subTest(value=value):
                answer = self.parse(value)
                self.assertIsNone(answer.rate_limit)
                self.assertEqual(
                    answer.invalid_headers, (f"server-limit: {value.decode()}",)
                )


class LimitLogTest(unittest.TestCase):
    def setUp(self):
        self.world = DirectWorld(engines=1)

    def log_of(self, answer):
        send = self.world.send(f"r{len(self.world.command_log)}", SHORT)
        commands = self.world.handle(AnswerHeadReceived(send.attempt, answer))
        return [
            (command.change, command.detail)
            for command in commands
            if type(command).__name__ == "LogChange"
        ]

    def test_each_change_of_a_limit_is_logged_once(self):
        self.assertEqual(self.log_of(OK), [])
        change = ("target limit changed", "1.5 requests/s")
        self.assertEqual(self.log_of(limited(1.5)), [change])
        self.assertEqual(self.log_of(limited(1.5)), [])
        self.assertEqual(self.log_of(OK), [("target limit changed", "none")])
        self.assertEqual(self.world.board.targets["e0"].rate_limit, math.inf)

    def test_invalid_limit_is_logged_and_changes_nothing(self):
        self.log_of(limited(1.5))
        answer = TargetAnswer(200, False, invalid_headers=("server-limit: fast",))
        change = ("answer header ignored", "server-limit: fast")
        self.assertEqual(self.log_of(answer), [change])
        self.assertEqual(self.world.board.targets["e0"].rate_limit, 1.5)
