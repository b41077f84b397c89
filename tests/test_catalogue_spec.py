"""Tests that the specification holds, and fails without any one guard."""

import unittest

from .catalogue_spec import Guard, check_all, check_mutant


class CatalogueSpecTest(unittest.TestCase):
    def test_holds_in_every_state(self):
        safety, liveness = check_all()
        self.assertTrue(safety["exhaustive"])
        self.assertGreater(safety["reachable_states"], 10_000)
        for name, outcome in safety["properties"].items():
            with self.subTest(property=name):
                self.assertIs(outcome["holds"], True)
        self.assertIs(liveness["holds"], True)

    def test_each_guard_is_needed(self):
        for guard in Guard:
            with self.subTest(missing=guard.name):
                safety = check_mutant(guard)
                outcomes = [p["holds"] for p in safety["properties"].values()]
                self.assertIn(False, outcomes)
