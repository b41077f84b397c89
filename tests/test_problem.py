"""Tests of problem documents."""

import unittest

from chicorycove import Reason, Verdict
from chicorycove.problem import Problem


class StatusTest(unittest.TestCase):
    def test_status_says_not_run_only_with_the_verdict(self):
        for reason in Reason:
            for verdict in (Verdict.MAY_HAVE_RUN, Verdict.RAN):
                with self.subTest(reason=reason, verdict=verdict):
                    self.assertNotIn(Problem(reason, verdict).status, (429, 503))

    def test_what_has_not_run_is_refused(self):
        for reason, status in (
            (Reason.RETRY_BUDGET, 503),
            (Reason.LIMIT_REQUESTS, 429),
            (Reason.TARGET_UNREACHABLE, 502),
        ):
            with self.subTest(reason):
                self.assertEqual(Problem(reason, Verdict.NOT_RUN).status, status)
