"""Tests of the request rates that targets ask for."""

import math
import unittest

from chicorycove.direct.event import AnswerHeadReceived, TargetAnswer
from chicorycove.platform.headers import PlatformDialect

from .direct import LOOKUP, OK, SHORT, DirectWorld
from .direct_fleet import Fleet

WINDOW = 4.0  # seconds in which requests are counted
STABLE_AFTER = 3.0  # seconds from the first answer that names a limit


def allowed_requests(rate):
    """Return the requests that a target may get in a window."""
    return 1.5 * rate * WINDOW + 5


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


class SharedLimitTest(unittest.TestCase):
    def assert_limits_hold(self, fleet, ids, rate, start, end):
        for id in ids:
            most = fleet.targets[id].most_arrivals(start, end, WINDOW)
            self.assertLessEqual(most, allowed_requests(rate), id)

    def test_target_gets_no_more_than_its_limit_from_all_entries(self):
        fleet = Fleet(entries=5, engines=8)
        limited_ids = ["e0", "e1", "e2"]
        for id in limited_ids:
            fleet.targets[id].rate_limit = 1.0
        fleet.load(SHORT, rate=20.0, until=20.0)
        fleet.run_until(25.0)
        self.assert_limits_hold(fleet, limited_ids, 1.0, STABLE_AFTER, 20.0)
        self.assertEqual(fleet.answered_share(0.0, 20.0), 1.0)

    def test_limit_of_every_target_of_a_service_holds(self):
        fleet = Fleet(entries=5, engines=0, shops=3)
        for target in fleet.targets.values():
            target.rate_limit = 2.0
        fleet.load(LOOKUP, rate=20.0, until=20.0)
        fleet.run_until(25.0)
        self.assert_limits_hold(fleet, fleet.targets, 2.0, STABLE_AFTER, 20.0)
