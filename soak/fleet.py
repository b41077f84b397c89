"""The processes of a soak test: store, servers, entries and their proxies."""

import asyncio
import json
import os
import pathlib
import signal
import subprocess
import sys
import time

from bench.deployment import free_port
from chicorycove.direct.client import CallFailed, HttpClient

from .proxy import Proxy

ROOT = pathlib.Path(__file__).parent.parent
START_TIMEOUT = 15.0  # seconds until a started process answers
GRACE_PERIOD = 8.0  # seconds from SIGTERM to SIGKILL, as on the platform
EVENT_PAUSE = 0.02  # seconds between events of a stream
CRASHING_PART = "bad"
CRASHING_PATH = "/lookup/bad"
LINK_RATE = 7.0  # Mbit/s, of all entries
BOUNDS = {
    "graceS": GRACE_PERIOD,
    "drainMs": 2000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetExtra": 104,
    "holdMaxMs": 20000,
}


class Process:
    """A process of the soak test; only this object sends it signals."""

    def __init__(self, name: str, folder: pathlib.Path, command: list[str], **env):
        self.name = name
        self._folder = folder
        self._command = [sys.executable, "-m", *command]
        self._env = {**os.environ, "PYTHONPATH": f"{ROOT}/src:{ROOT}", **env}
        self._process: subprocess.Popen | None = None
        self.paused = False

    @property
    def running(self) -> bool:
        """Return whether the process is running."""
        return self._process is not None and self._process.poll() is None

    @property
    def pid(self) -> int:
        """Return the id of the started process."""
        return self._process.pid

    @property
    def exit_code(self) -> int | None:
        """Return the exit code, or None if the process has not ended."""
        return self._process.poll() if self._process is not None else None

    def start(self) -> None:
        """Start the process, and append its output to its log file."""
        with open(self._folder / f"{self.name}.log", "ab") as log:
            self._process = subprocess.Popen(
                self._command, stdout=log, stderr=log, env=self._env, cwd=ROOT
            )

    def signal(self, number: int) -> None:
        """Send a signal if the process is running."""
        if self.running:
            self._process.send_signal(number)
            if number in (signal.SIGSTOP, signal.SIGCONT):
                self.paused = number == signal.SIGSTOP

    def kill(self) -> None:
        """Kill the process and wait for it."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()

    async def run_capped(self, seconds: float) -> None:
        """Let the process run for a small share of each tenth of a second.

        :raises subprocess.CalledProcessError: if it cannot be capped
        """
        if not self.running:
            return
        # Unlike an id, a descriptor never refers to a later process.
        descriptor = os.pidfd_open(self.pid)
        command = [sys.executable, "-m", "soak.cap", str(descriptor), str(seconds)]
        capping = subprocess.Popen(command, pass_fds=[descriptor], cwd=ROOT)
        try:
            exit_code = await asyncio.to_thread(capping.wait)
        finally:
            capping.kill()
            capping.wait()
            os.close(descriptor)
            self.signal(signal.SIGCONT)
        if exit_code:
            raise subprocess.CalledProcessError(exit_code, command)

    async def exits_within(self, timeout: float) -> bool:
        """Return whether the process exits within a timeout in seconds."""
        for _ in range(int(timeout / 0.05)):
            if not self.running:
                return True
            await asyncio.sleep(0.05)
        return False


class Server(Process):
    """A server of the platform behind a proxy."""

    def __init__(self, folder: pathlib.Path, id: str, service: str) -> None:
        self.id = id
        self.service = service
        self.port = free_port()
        self.proxy = Proxy(self.port)
        self.proxied = True  # whether entries connect to it through the proxy
        command = ["standin.platform_server", "--port", str(self.port)]
        command += ["--service", service, "--id", id, "--pause", str(EVENT_PAUSE)]
        command += ["--crashing-part", CRASHING_PART]
        command += ["--crashing-path", CRASHING_PATH]
        super().__init__(f"server-{id}", folder, command)

    def registration(self, state: str = "ready") -> str:
        """Return the value that the server registers itself with."""
        registration = {
            "service": self.service,
            "address": f"127.0.0.1:{self.proxy.port if self.proxied else self.port}",
            "zone": "here",
            "slots": 8,
            "state": state,
            "born": 1,
        }
        return json.dumps(registration)


class Entry(Process):
    """An entry, with a proxy between it and the store."""

    def __init__(self, folder: pathlib.Path, name: str, store_port: int) -> None:
        self.proxy = Proxy(store_port)
        self.caller_port = free_port()
        self.ready_port = free_port()
        self._boot = folder / f"{name}.yaml"
        command = ["chicorycove.platform"]
        super().__init__(name, folder, command, CHICORYCOVE_BOOT=str(self._boot))

    def write_boot(self) -> None:
        """Write the settings file; the proxy must be listening."""
        port = free_port()
        while (following := free_port()) != port + 1:
            port = following  # datagrams and metrics use consecutive ports
        boot = {
            "node": self.name,
            "ip": "127.0.0.1",
            "zone": "here",
            "listen": {
                "front": f"127.0.0.1:{self.caller_port}",
                "ready": f"127.0.0.1:{self.ready_port}",
            },
            "internalPortRange": [port, port + 1],
            "platform": {"address": f"127.0.0.1:{self.proxy.port}"},
            "bounds": BOUNDS,
            "limits": {"linkMbps": LINK_RATE},
        }
        self._boot.write_text(json.dumps(boot))  # JSON is valid YAML


class Operator:
    """Writes items of the operator and of the servers to the store."""

    def __init__(self, port: int) -> None:
        self._client = HttpClient(f"127.0.0.1:{port}")
        self._written: dict[str, str | None] = {}

    async def put(self, key: str, value: str | None) -> None:
        """Write an item, or delete it if None; retry until acknowledged."""
        self._written[key] = value
        body = json.dumps({"key": key, "value": value}).encode()
        await self._post("/operator/items", body)

    async def compact_store(self) -> None:
        """Let the store discard its history."""
        await self._post("/operator/compact")

    async def copy_store(self) -> None:
        """Keep a copy of the store for the next restoration."""
        await self._post("/operator/copy")

    async def restore_store(self) -> None:
        """Restore the store from its copy, and write again what it lacks."""
        await self._post("/operator/restore")
        for key in list(self._written):
            await self.put(key, self._written[key])

    async def _post(self, path: str, body: bytes = b"") -> None:
        while True:
            try:
                await self._client.call("POST", path, body, 5.0)
                return
            except CallFailed:
                await asyncio.sleep(0.1)  # the store is paused or starting

    def close(self) -> None:
        """Close the connection."""
        self._client.close()


async def is_answering(port: int, path: str) -> bool:
    """Return whether a GET on a port of loopback is answered with 200."""
    client = HttpClient(f"127.0.0.1:{port}")
    try:
        return (await client.call("GET", path, timeout=0.5)).status == 200
    except CallFailed:
        return False
    finally:
        client.close()


class StartFailed(Exception):
    """Raised if a process of the soak test doesn't answer after its start."""


async def wait_until_answering(process: Process, port: int, path: str) -> None:
    """Wait until a started process answers a GET on a port with 200.

    :raises StartFailed: if it doesn't within ``START_TIMEOUT``
    """
    deadline = time.monotonic() + START_TIMEOUT
    while not await is_answering(port, path):
        if time.monotonic() > deadline:
            raise StartFailed(
                f"{process.name} does not answer on port {port}: "
                f"exit code {process.exit_code}, paused {process.paused}, "
                f"load {os.getloadavg()[0]:.1f}"
            )
        await asyncio.sleep(0.1)
