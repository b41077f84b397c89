"""Tests of targets that ask for rest or say that they leave."""

import unittest

from chicorycove.platform.headers import PlatformDialect


class WishHeaderTest(unittest.TestCase):
    def parse(self, status, *headers):
        return PlatformDialect().parse_answer_head(status, list(headers))

    def test_rest_is_read_from_a_refusal_only(self):
        self.assertEqual(self.parse(503, (b"Retry-After", b"2.5")).rest, 2.5)
        self.assertIsNone(self.parse(200, (b"Retry-After", b"2.5")).rest)
        self.assertIsNone(self.parse(503).rest)

    def test_leaving_is_read_from_any_answer(self):
        for status in (200, 500, 503):
            self.assertTrue(self.parse(status, (b"Server-Leaving", b"1")).leaving)
        self.assertFalse(self.parse(200, (b"Server-Leaving", b"0")).leaving)
        self.assertFalse(self.parse(200).leaving)

    def test_other_value_is_reported_and_ignored(self):
        for header in (b"Retry-After", b"-1"), (b"Retry-After", b"Fri, 04 Dec"):
            with self.subTest(header=header):
                answer = self.parse(503, header)
                self.assertIsNone(answer.rest)
                self.assertEqual(len(answer.invalid_headers), 1)
        answer = self.parse(200, (b"Server-Leaving", b"yes"))
        self.assertFalse(answer.leaving)
        self.assertEqual(answer.invalid_headers, ("server-leaving: yes",))
