"""The model of claims is safe, and unsafe without any one of its guards."""

import unittest

from .claim_spec import Guard, check


class ClaimSpecTest(unittest.TestCase):
    def test_invariants_hold_in_every_state(self):
        result, depth = check(restarts=1, writes=3)
        self.assertTrue(result["exhaustive"])
        self.assertGreater(result["reachable_states"], 10_000)
        self.assertGreater(depth, 20)
        for name, outcome in result["properties"].items():
            with self.subTest(property=name):
                self.assertIs(outcome["holds"], True)

    def test_each_guard_is_needed(self):
        for guard in Guard:
            with self.subTest(missing=guard.name):
                result, _ = check({guard}, restarts=1, writes=2)
                outcome = result["properties"]["at_most_one_run"]
                self.assertIs(outcome["holds"], False)
                last = outcome["counterexample"][-1]["state"]
                self.assertEqual(len(last["ran"]), 2)
