"""The settings that the platform gives, and what a start does first."""

import json
import socket
import subprocess
import sys
import tempfile
import unittest

from chicorycove.exceptions import SettingsError
from chicorycove.platform.boot import load
from chicorycove.platform.listeners import open_listeners
from chicorycove.platform.process import settings_from

from .platform_case import new_boot


class SettingsTest(unittest.TestCase):
    def test_what_is_taken_after_a_stop_can_be_finished(self):
        # intranett, mix 987583136198: a stream taken 3.3 s after the signal
        # was cut at the end of the grace, after 4.2 s.
        taken = settings_from(new_boot(grace=8.0)).stop_accept_time
        self.assertLess(taken, 3.0)
        self.assertLess(settings_from(new_boot(grace=1.0)).stop_accept_time, 1.0)


class BootTest(unittest.TestCase):
    def test_callers_are_awaited_before_the_slow_imports(self):
        code = "import sys, chicorycove.platform.__main__; print(*sys.modules)"
        loaded = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True, check=True
        )
        slow = {"asyncio", "httptools", "prometheus_client", "transitions"}
        self.assertEqual(slow & set(loaded.stdout.split()), set())

    def test_address_that_is_taken_is_named(self):
        with socket.socket() as taken:
            taken.bind(("127.0.0.1", 0))
            taken.listen()
            address = f"127.0.0.1:{taken.getsockname()[1]}"
            boot = new_boot(callers=address)
            with self.assertRaises(SettingsError) as caught:
                open_listeners(boot)
        self.assertIn(address, str(caught.exception))

    def test_wrong_settings_name_key_and_cause(self):
        good = {
            "node": "front-1",
            "ip": "10.0.0.1",
            "zone": "here",
            "listen": {"front": "10.0.0.1:80", "ready": "10.0.0.1:81"},
            "internalPortRange": [7000, 7010],
            "platform": {"address": "10.0.0.2:90"},
            "bounds": {
                "graceS": 8,
                "drainMs": 2000,
                "retryBudgetRatio": 0.2,
                "budgetWindowS": 10,
                "budgetExtra": 104,
                "holdMaxMs": 20000,
            },
            "unknown": {"left": "alone"},
        }

        def read(data):
            with tempfile.NamedTemporaryFile("w", suffix=".yaml") as file:
                file.write(data if isinstance(data, str) else json.dumps(data))
                file.flush()
                return load(file.name)

        self.assertEqual(read(good).grace, 8.0)
        wrong = {
            "node": ("node", None),
            "listen.front": ("listen", {"front": "10.0.0.1", "ready": "10.0.0.1:8"}),
            "bounds.graceS": ("bounds", {**good["bounds"], "graceS": "soon"}),
            "internalPortRange": ("internalPortRange", [7000]),
        }
        for key, (name, value) in wrong.items():
            with self.subTest(key), self.assertRaises(SettingsError) as caught:
                read({**good, name: value})
            self.assertIn(f'key "{key}"', str(caught.exception))
        for text in ("a: [", "just text"):
            with self.subTest(text), self.assertRaises(SettingsError):
                read(text)
