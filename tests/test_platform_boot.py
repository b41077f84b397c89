"""Tests of the settings file and the start of the process."""

import json
import socket
import subprocess
import sys
import tempfile
import unittest

from chicorycove.exceptions import SettingsError
from chicorycove.platform.boot import load_boot
from chicorycove.platform.listeners import open_listeners
from chicorycove.platform.process import create_settings

from .platform_case import new_boot


class SettingsTest(unittest.TestCase):
    def test_requests_accepted_after_a_stop_can_finish(self):
        # A stream accepted 3.3 s after the stop signal was aborted at the end
        # of the grace period, after 4.2 s (intranett, mix 987583136198).
        accept_time = create_settings(new_boot(grace=8.0)).stop_accept_time
        self.assertLess(accept_time, 3.0)
        self.assertLess(create_settings(new_boot(grace=1.0)).stop_accept_time, 1.0)


class BootTest(unittest.TestCase):
    def test_listeners_open_before_the_slow_imports(self):
        code = "import sys, chicorycove.platform.__main__; print(*sys.modules)"
        loaded = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True, check=True
        )
        slow = {
            "argparse",
            "asyncio",
            "dataclasses",
            "httptools",
            "msgspec",
            "prometheus_client",
            "transitions",
            "yaml",
        }
        self.assertEqual(slow & set(loaded.stdout.split()), set())

    def test_error_names_an_address_in_use(self):
        with socket.socket() as other_socket:
            other_socket.bind(("127.0.0.1", 0))
            other_socket.listen()
            address = f"127.0.0.1:{other_socket.getsockname()[1]}"
            boot = new_boot(callers=address)
            with self.assertRaises(SettingsError) as caught:
                open_listeners(boot.callers, boot.readiness)
        self.assertIn(address, str(caught.exception))

    def test_settings_may_be_yaml(self):
        lines = [
            "node: front-1",
            "ip: 10.0.0.1",
            "zone: here",
            'listen: {front: "10.0.0.1:80", ready: "10.0.0.1:81"}',
            "internalPortRange:",
            "  - 7000",
            "  - 7010",
            'platform: {address: "10.0.0.2:90"}',
            "bounds:",
            "  graceS: 8",
            "  drainMs: 2000",
            "  retryBudgetRatio: 0.2",
            "  budgetWindowS: 10",
            "  budgetExtra: 104",
            "  holdMaxMs: 20000",
        ]
        with tempfile.NamedTemporaryFile("w", suffix=".yaml") as file:
            file.write("\n".join(lines))
            file.flush()
            boot = load_boot(file.name)
        self.assertEqual((boot.callers, boot.peer_port), ("10.0.0.1:80", 7000))

    def test_error_names_the_key_of_an_invalid_setting(self):
        valid = {
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
                return load_boot(file.name)

        self.assertEqual(read(valid).grace, 8.0)
        invalid = {
            "node": ("node", None),
            "listen.front": ("listen", {"front": "10.0.0.1", "ready": "10.0.0.1:8"}),
            "bounds.graceS": ("bounds", {**valid["bounds"], "graceS": "soon"}),
            "internalPortRange": ("internalPortRange", [7000]),
        }
        for key, (name, value) in invalid.items():
            with self.subTest(key), self.assertRaises(SettingsError) as caught:
                read({**valid, name: value})
            self.assertIn(f'key "{key}"', str(caught.exception))
        for text in ("a: [", "just text"):
            with self.subTest(text), self.assertRaises(SettingsError):
                read(text)
