"""Listening on an address, on a shared address and on one in use."""

import json
import os
import pathlib
import socket
import subprocess
import sys
import tempfile
import unittest

from chicorycove.application import create_app
from chicorycove.conversion import Address
from chicorycove.listener import listen

ERROR = "cannot listen on {}: Address already in use"
TIMEOUT = 60.0  # seconds, far more than any step needs


def ignore_refusal(reason, verdict):
    pass


class ListenerTest(unittest.IsolatedAsyncioTestCase):
    async def test_address_in_use_is_refused(self):
        app = create_app([], ignore_refusal)
        first = await listen(app, Address("127.0.0.1:0"))
        self.addAsyncCleanup(first.close)
        with self.assertRaises(OSError) as caught:
            await listen(app, first.address)
        self.assertEqual(caught.exception.strerror, ERROR.format(first.address))

    async def test_shared_listeners_use_one_address(self):
        app = create_app([], ignore_refusal)
        first = await listen(app, Address("127.0.0.1:0"), shared=True)
        self.addAsyncCleanup(first.close)
        second = await listen(app, first.address, shared=True)
        self.addAsyncCleanup(second.close)
        self.assertEqual(first.address, second.address)
        with self.assertRaises(OSError):
            await listen(app, first.address)


class DaemonTest(unittest.TestCase):
    def test_address_in_use_ends_the_daemon_with_an_error(self):
        with socket.create_server(("127.0.0.1", 0)) as server:
            address = "127.0.0.1:%d" % server.getsockname()[1]
            settings = {
                "role": "local",
                "name": "local",
                "log": {"level": "error"},
                "local": {
                    "listen": address,
                    "catalogue": "examples/local/catalogue.json",
                    "targets": [],
                },
            }
            exit_code, stderr = self.run_daemon(settings)
        self.assertEqual(exit_code, 1)
        self.assertRegex(
            stderr, r"\Achicorycoved: \S+/settings.json: cannot listen on "
        )
        self.assertTrue(stderr.endswith(f": {ERROR.format(address)}\n"), stderr)

    def run_daemon(self, settings):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "settings.json"
            path.write_text(json.dumps(settings))
            command = [sys.executable, "-m", "chicorycove.daemon"]
            completed = subprocess.run(
                [*command, "--settings", str(path)],
                env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
                stderr=subprocess.PIPE,
                text=True,
                timeout=TIMEOUT,
            )
        return completed.returncode, completed.stderr
