"""The table of all measures: what fails it."""

import unittest

from bench.all import NOT_MEASURED, Row


class RowTest(unittest.TestCase):
    def test_what_must_be_zero_fails_otherwise(self):
        self.assertTrue(Row("lost", 0, zero=True).good)
        self.assertFalse(Row("lost", 1, zero=True).good)
        self.assertFalse(Row("lost", "failed: OSError()", zero=True).good)

    def test_what_is_not_measured_is_said_and_fails_nothing(self):
        row = Row("lost", NOT_MEASURED, zero=True)
        self.assertTrue(row.good)
        self.assertEqual(row.cells()["value"], NOT_MEASURED)

    def test_other_measures_may_be_anything(self):
        self.assertTrue(Row("time to first token", 1.5, "s", 3).good)
