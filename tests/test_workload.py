"""The experiments' arrivals and ports."""

import json
import os
import socket
import subprocess
import sys
import tempfile
import unittest
from unittest import mock

from bench import workload
from bench.deployment import FIRST_PORT, LAST_PORT, free_port


class ArrivalsTest(unittest.TestCase):
    def setUp(self):
        self.arrivals = list(workload.arrivals(100.0, 100.0, seed=1))

    def test_same_seed_gives_same_arrivals(self):
        again = list(workload.arrivals(100.0, 100.0, seed=1))
        self.assertEqual(self.arrivals, again)
        other = list(workload.arrivals(100.0, 100.0, seed=2))
        self.assertNotEqual(self.arrivals, other)

    def test_one_prompt_in_fifty_is_long(self):
        long = sum(x.tokens > workload.LONG for x in self.arrivals)
        self.assertAlmostEqual(long / len(self.arrivals), 1 / 50, delta=0.005)

    def test_some_prompts_need_more_than_two_engines(self):
        largest = max(x.tokens for x in self.arrivals)
        self.assertGreater(largest, 2 * workload.MEMORY)

    def test_prompt_has_its_tokens(self):
        arrival = self.arrivals[0]
        size = len(workload.text(arrival).encode())
        self.assertEqual(size, arrival.tokens * workload.TOKEN_BYTES)


class PortTest(unittest.TestCase):
    def test_port_is_never_one_that_an_outgoing_connection_gets(self):
        ports = [free_port() for _ in range(100)]
        self.assertEqual(len(set(ports)), len(ports))
        self.assertTrue(all(FIRST_PORT <= port < LAST_PORT for port in ports))

    def test_processes_at_the_same_time_get_other_ports(self):
        command = (
            "import os; os.getpid = lambda: 7\n"
            "from bench.deployment import free_port\n"
            "print([free_port() for _ in range(20)]); input()"
        )
        processes = [
            subprocess.Popen(
                [sys.executable, "-c", command],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                text=True,
            )
            for _ in range(2)
        ]
        ports = [json.loads(process.stdout.readline()) for process in processes]
        for process in processes:
            process.communicate("\n")
        self.assertEqual(len({*ports[0], *ports[1]}), 40)

    def test_port_is_locked_whatever_folder_temporary_files_are_in(self):
        port = free_port()
        with tempfile.TemporaryDirectory() as folder:
            command = f"from bench.deployment import _lock_port; _lock_port({port})"
            locking = subprocess.run(
                [sys.executable, "-c", command],
                env={**os.environ, "TMPDIR": folder},
                stderr=subprocess.PIPE,
                text=True,
            )
        self.assertIn("OSError", locking.stderr)

    def test_port_of_a_datagram_socket_is_not_free(self):
        first, second = free_port(), free_port()
        with (
            mock.patch("bench.deployment._PORTS", iter([first, second])),
            mock.patch("bench.deployment._lock_port"),
            socket.socket(type=socket.SOCK_DGRAM) as taken,
        ):
            taken.bind(("127.0.0.1", first))
            self.assertEqual(free_port(), second)
