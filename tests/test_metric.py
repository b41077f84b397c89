"""The instruments: their page, and a counter for each reason."""

import unittest

from prometheus_client.parser import text_string_to_metric_families

from bench import metrics
from chicorycove.metric import INSTRUMENTS, REFUSALS, RETRIES, Metrics
from chicorycove.reason import Reason
from chicorycove.verdict import Verdict


def samples(metrics, instrument):
    """Return the samples of an instrument on the Prometheus page."""
    return [
        sample
        for family in text_string_to_metric_families(metrics.page().decode())
        if family.name.startswith(instrument.name)
        for sample in family.samples
    ]


class ReasonTest(unittest.TestCase):
    def test_each_refusal_is_counted_by_reason_and_verdict(self):
        counted = Metrics("entry-1")
        for times, reason in enumerate(Reason, 1):
            for _ in range(times):
                counted.refused(reason, Verdict.NOT_RUN)
        found = {
            sample.labels["reason"]: (sample.labels["verdict"], sample.value)
            for sample in samples(counted, REFUSALS)
        }
        expected = {
            reason.value: ("not_run", times) for times, reason in enumerate(Reason, 1)
        }
        self.assertEqual(found, expected)

    def test_each_retry_is_counted_by_reason(self):
        counted = Metrics("entry-1")
        for times, reason in enumerate(Reason, 1):
            for _ in range(times):
                counted.retried(reason)
        found = {
            sample.labels["reason"]: sample.value
            for sample in samples(counted, RETRIES)
        }
        expected = {reason.value: times for times, reason in enumerate(Reason, 1)}
        self.assertEqual(found, expected)


class FailurePageTest(unittest.TestCase):
    def test_each_reason_is_named(self):
        text = (metrics.PAGE.parent / "operations" / "failures.md").read_text()
        lacking = [reason.value for reason in Reason if f"`{reason.value}`" not in text]
        self.assertEqual(lacking, [])


class ReferenceTest(unittest.TestCase):
    def test_page_is_what_the_generator_writes(self):
        message = "run python -m bench metrics"
        self.assertEqual(metrics.PAGE.read_text(), metrics.render(), message)

    def test_each_instrument_states_its_labels(self):
        counted = metrics.sample()
        for instrument in INSTRUMENTS:
            with self.subTest(instrument=instrument.name):
                found = samples(counted, instrument)
                self.assertTrue(found)
                for sample in found:
                    labels = set(sample.labels) - {"le"}
                    self.assertEqual(labels, set(instrument.labels))
