"""Test the metrics, their reference page, and a counter for each reason."""

import unittest

from prometheus_client.parser import text_string_to_metric_families

from bench import metrics
from chicorycove.metric import INSTRUMENTS, REFUSALS, RETRIES, Metrics
from chicorycove.reason import Reason
from chicorycove.verdict import Verdict


def find_samples(metrics, instrument):
    """Return the samples of a metric on the Prometheus page."""
    return [
        sample
        for family in text_string_to_metric_families(metrics.page().decode())
        if family.name.startswith(instrument.name)
        for sample in family.samples
    ]


class ReasonTest(unittest.TestCase):
    def test_each_refusal_is_counted_by_reason_and_verdict(self):
        entry_metrics = Metrics("entry-1")
        for count, reason in enumerate(Reason, 1):
            for _ in range(count):
                entry_metrics.refused(reason, Verdict.NOT_RUN)
        samples = {
            sample.labels["reason"]: (sample.labels["verdict"], sample.value)
            for sample in find_samples(entry_metrics, REFUSALS)
        }
        expected = {
            reason.value: ("not_run", count) for count, reason in enumerate(Reason, 1)
        }
        self.assertEqual(samples, expected)

    def test_each_retry_is_counted_by_reason(self):
        entry_metrics = Metrics("entry-1")
        for count, reason in enumerate(Reason, 1):
            for _ in range(count):
                entry_metrics.retried(reason)
        samples = {
            sample.labels["reason"]: sample.value
            for sample in find_samples(entry_metrics, RETRIES)
        }
        expected = {reason.value: count for count, reason in enumerate(Reason, 1)}
        self.assertEqual(samples, expected)


class FailurePageTest(unittest.TestCase):
    def test_each_reason_is_on_the_page(self):
        text = (metrics.PAGE.parent / "operations" / "failures.md").read_text()
        missing_reasons = [
            reason.value for reason in Reason if f"`{reason.value}`" not in text
        ]
        self.assertEqual(missing_reasons, [])


class ReferenceTest(unittest.TestCase):
    def test_page_matches_the_generator(self):
        message = "run python -m bench metrics"
        self.assertEqual(metrics.PAGE.read_text(), metrics.render(), message)

    def test_each_metric_has_the_declared_labels(self):
        entry_metrics = metrics.sample()
        for instrument in INSTRUMENTS:
            with self.subTest(instrument=instrument.name):
                samples = find_samples(entry_metrics, instrument)
                self.assertTrue(samples)
                for sample in samples:
                    labels = set(sample.labels) - {"le"}
                    self.assertEqual(labels, set(instrument.labels))
