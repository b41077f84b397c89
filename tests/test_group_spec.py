"""The model of groups releases all memory only with all of its guards."""

import unittest

from .group_spec import Guard, check


class GroupSpecTest(unittest.TestCase):
    def test_every_run_ends_with_no_memory_held(self):
        result = check(restarts=1, crashes=1)
        self.assertTrue(result["exhaustive"])
        self.assertGreater(result["reachable_states"], 1000)
        self.assertIs(result["properties"]["ends_clean"]["holds"], True)

    def test_each_guard_is_needed(self):
        for guard in Guard:
            with self.subTest(missing=guard.name):
                result = check({guard})
                self.assertIs(result["properties"]["ends_clean"]["holds"], False)

    def test_unordered_groups_deadlock_without_any_failure(self):
        result = check({Guard.ORDERED}, restarts=0, crashes=0)
        outcome = result["properties"]["ends_clean"]
        self.assertIs(outcome["holds"], False)
