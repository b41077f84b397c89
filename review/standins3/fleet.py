"""Runs entries as the deploy file says, with stand-ins around them."""

import asyncio
import dataclasses
import itertools
import json
import os
import pathlib
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import typing as t

from . import http
from .server import PlatformServer
from .store import PlatformStore

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
ZONE = "fukuoka"
STORE_HOST = "127.0.0.2"
START_TIMEOUT = 20.0  # seconds until entries are ready
GRACE_PERIOD = 8.0  # seconds from SIGTERM to SIGKILL
HOST_HEADER = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a case

CONTRACTS = [
    "base",
    "drain",
    "config",
    "cost",
    "retry",
    "recover",
    "health",
    "pool",
    "engine",
    "stream",
    "tenants",
    "platform",
]
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "stableWindowMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "stretchMaxMs": 5000,
    "strictRevoke": False,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetExtra": 104,
    "coldOverage": 1.5,
    "coldSlack": 5,
    "recoveryS": 12,
    "passMs": 120,
    "retryAfterS": 0,
    "stall_ms": 1500,
    "holdMaxMs": 20000,
    "freeMs": 4000,
    "idleMaxMs": 9000,
}


def create_config(service: str, **fields: t.Any) -> dict:
    """Return a configuration with one safe route to a service of calls.

    The fields are added to the service.
    """
    return {
        "version": 3,
        "routes": [
            {
                "name": "r-lookup",
                "host": HOST_HEADER,
                "prefix": "/lookup/",
                "kind": "safe",
                "service": service,
                "timeoutMs": 2000,
                "targetLatencyMs": 200,
                "priority": 1,
                "maxAttempts": 2,
                "public": False,
            }
        ],
        "services": [
            {
                "name": service,
                "healthPath": "/health",
                "maxConnections": 300,
                "protocol": "h1",
                "tls": False,
                **fields,
            }
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "hule930", "apiKeys": [KEY], "priority": 1}],
    }


class CaseCannotRun(Exception):
    """The case could not be set up, so it says nothing of the rule."""


class Record:
    """Writes what happens to the record of a case, with times."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = open(folder / "record.txt", "w", encoding="utf-8")
        self.started_at = time.monotonic()

    def write(self, text: str, at: float | None = None) -> None:
        """Write a line, of now or of a time of ``time.monotonic()``."""
        seconds = (at if at is not None else time.monotonic()) - self.started_at
        self._file.write(f"{seconds:9.3f} {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Write a line that is also printed."""
        self.write(text)
        print(text, flush=True)

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Entry:
    """A process of the role that serves clients, on its own address."""

    def __init__(self, number: int, folder: pathlib.Path, ports: list[int]) -> None:
        self.name = f"front-{ZONE}-{number}"
        self.ip = f"127.0.0.{10 + number}"
        self.callers = (self.ip, ports[0])
        self.readiness = (self.ip, ports[1])
        self._ports = ports
        self._boot = folder / f"{self.name}.yaml"
        self._log = folder / f"{self.name}.log"
        self._process: subprocess.Popen | None = None

    def write_settings(self, store: str) -> None:
        """Write the settings file as the template of the deploy file does."""
        settings = {
            "node": self.name,
            "role": "entry",
            "machineClass": "front",
            "serves": ["front"],
            "ip": self.ip,
            "zone": ZONE,
            "region": "kyushu",
            "zones": {ZONE: "kyushu"},
            "listen": {
                "front": f"{self.ip}:{self._ports[0]}",
                "ready": f"{self.ip}:{self._ports[1]}",
            },
            "internalPortRange": [self._ports[2], self._ports[2] + 15],
            "seeds": [],
            "bootstrap": True,
            "limits": {
                "cpuShare": 0.817,
                "cores": 1,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": 1200,
            "contracts": CONTRACTS,
            "tolerate": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "platform": {
                "address": store,
                "form": "kv",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": 20,
                "valueBytes": 1048576,
                "ttlMinMs": 1000,
            },
        }
        self._boot.write_text(json.dumps(settings))

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = deploy["roles"]["entry"]["run"].split()
        names = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in names if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["CHICORYCOVE_BOOT"] = str(self._boot)
        with open(self._log, "ab") as log:
            self._process = subprocess.Popen(
                words, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    @property
    def exit_code(self) -> int | None:
        """Return the exit code, or None while the process runs."""
        return self._process.poll() if self._process is not None else None

    def kill(self) -> None:
        """End the process."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()

    def log_text(self) -> str:
        """Return what the process has written."""
        return self._log.read_text() if self._log.exists() else ""

    async def wait_ready(self) -> None:
        """Wait until the process says that it is ready.

        :raises CaseCannotRun: if it does not in time
        """
        until = time.monotonic() + START_TIMEOUT
        while time.monotonic() < until:
            try:
                reader, writer = await asyncio.open_connection(*self.readiness)
                writer.write(b"GET /chicorycove/ready HTTP/1.1\r\nHost: r\r\n\r\n")
                answer = await asyncio.wait_for(http.read_message(reader), 1.0)
                writer.close()
                if answer.status == 200:
                    return
            except (OSError, EOFError):
                pass
            await asyncio.sleep(0.1)
        raise CaseCannotRun(f"{self.name} is not ready: {self.log_text()[-2000:]}")


@dataclasses.dataclass
class Sent:
    """A client's attempt and what became of it; times are monotonic."""

    attempt: str
    entry: str
    path: str
    at: float
    status: int | None = None  # None without a complete answer
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    ended_at: float | None = None


async def send_call(
    entry: Entry, path: str, budget: float = 2.0, method: str = "GET"
) -> Sent:
    """Send a client's attempt on a new channel, and read the answer."""
    sent = Sent(secrets.token_hex(8), entry.name, path, time.monotonic())
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST_HEADER}\r\n"
        f"Chicorycove-Attempt-Id: {sent.attempt}\r\n"
        f"Chicorycove-Time-Budget-Ms: {int(budget * 1000)}\r\n"
        f"Authorization: Bearer {KEY}\r\nContent-Length: 0\r\n\r\n"
    )
    try:
        async with asyncio.timeout(budget):
            reader, writer = await asyncio.open_connection(*entry.callers)
            sent.at = time.monotonic()
            try:
                writer.write(head.encode())
                answer = await http.read_message(reader)
                sent.status, sent.headers = answer.status, answer.headers
                sent.body = answer.body
            finally:
                writer.close()
    except (OSError, EOFError):
        pass
    sent.ended_at = time.monotonic()
    return sent


class Fleet:
    """The entries of a case, with the store and the servers."""

    def __init__(self, folder: pathlib.Path, entry_count: int) -> None:
        self.record = Record(folder)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = PlatformStore()
        self.servers: list[PlatformServer] = []
        ports = _find_free_ports(entry_count)
        self.entries = [
            Entry(number, self._folder, ports) for number in range(1, entry_count + 1)
        ]
        self.sent: list[Sent] = []
        self._tasks: list[asyncio.Task] = []

    async def start(self, config: dict, servers: t.Iterable[PlatformServer]) -> None:
        """Start everything, and wait until the entries are ready."""
        self.store.put("op/config", config)
        self.servers = list(servers)
        for server in self.servers:
            await server.start()
        for entry in self.entries:
            entry.write_settings(self.store.address)
            entry.start()
        for entry in self.entries:
            await entry.wait_ready()
        # The entries see one another, and nothing is left of the start.
        await asyncio.sleep(3.0)
        self.record.say(f"{len(self.entries)} entries are ready")

    def send_steadily(self, path: str, rate: float, **options: t.Any) -> None:
        """Send calls to each entry at a rate, until the case ends."""
        for entry in self.entries:
            task = asyncio.create_task(self._send(entry, path, 1 / rate, options))
            self._tasks.append(task)

    async def _send(
        self, entry: Entry, path: str, pause: float, options: dict[str, t.Any]
    ) -> None:
        due = time.monotonic()
        for number in itertools.count():
            due += pause
            await asyncio.sleep(max(due - time.monotonic(), 0.0))
            call = self._send_one(entry, f"{path}{number}", options)
            self._tasks.append(asyncio.create_task(call))

    async def _send_one(
        self, entry: Entry, path: str, options: dict[str, t.Any]
    ) -> None:
        self.sent.append(await send_call(entry, path, **options))

    async def stop_clients(self) -> None:
        """Send no more, and wait for what is unanswered."""
        senders = self._tasks[: len(self.entries)]
        for task in senders:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks.clear()

    def write_record(self) -> None:
        """Write what was sent, answered and run."""
        for sent in sorted(self.sent, key=lambda sent: sent.at):
            by = sent.body.decode("latin-1")
            leaving = " Server-Leaving" if "server-leaving" in sent.headers else ""
            self.record.write(
                f"sent {sent.attempt} to {sent.entry}: {sent.status} {by}{leaving}",
                sent.at,
            )
        for server in self.servers:
            for arrival in server.arrivals:
                cold = " cold" if arrival.cold else ""
                self.record.write(
                    f"run {arrival.attempt} by {server.id} born {arrival.born}{cold}",
                    arrival.at,
                )

    async def close(self) -> None:
        """End all processes that the case started."""
        for task in self._tasks:
            task.cancel()
        for entry in self.entries:
            entry.kill()
        for server in self.servers:
            await server.crash()
        await self.store.close()
        self.record.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self._folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self._folder, ignore_errors=True)


def check_cold_server(fleet: Fleet, server: PlatformServer, rate: float) -> bool:
    """Return whether a cold server got no more than FAILBACK allows.

    Counted are requests that were sent and arrived within the same second.
    """
    limit = rate * BOUNDS["coldOverage"] + BOUNDS["coldSlack"]
    sent_at = {sent.attempt: sent.at for sent in fleet.sent}
    times = [(sent_at[a.attempt], a.at) for a in server.arrivals if a.cold]
    if not times:
        raise CaseCannotRun("the cold server got no request at all")
    most, when = 0, 0.0
    for _, end in times:
        count = sum(end - 1.0 <= sent and at <= end for sent, at in times)
        if count > most:
            most, when = count, end
    answered = sum(sent.status == 200 for sent in fleet.sent)
    fleet.record.say(f"{answered} of {len(fleet.sent)} calls were answered with 200")
    fleet.record.write("the end of the fullest second", when)
    fleet.record.say(
        f"the cold server got {len(times)} requests, at most {most} of them within "
        f"a second; the limit is {limit:g}"
    )
    return most <= limit


def _find_free_ports(entry_count: int) -> list[int]:
    """Return ports for callers, readiness and peers, free on all addresses.

    The third begins a range: the next port is free too.
    """
    hosts = [f"127.0.0.{10 + number}" for number in range(1, entry_count + 1)]

    def is_free(port: int) -> bool:
        for host in hosts:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as probe:
                    try:
                        probe.bind((host, port))
                    except OSError:
                        return False
        return True

    found: list[int] = []
    start = 20_000 + secrets.randbelow(9_000)
    for port in range(start, start + 3_000, 4):
        if is_free(port) and is_free(port + 1):
            found.append(port)
            if len(found) == 3:
                return found
    raise CaseCannotRun("no free ports")


def run_case(
    folder: pathlib.Path,
    entry_count: int,
    play: t.Callable[[Fleet], t.Awaitable[bool]],
) -> int:
    """Play a case and return its exit code; the play returns if it held."""
    if not (ROOT / "target/deps/chicorycove").is_dir():
        print("target/deps is missing: run the build of the deploy file")
        return NOT_RUN

    async def run() -> int:
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        fleet = Fleet(folder, entry_count)
        try:
            await fleet.store.start(STORE_HOST)
            held = await asyncio.wait_for(play(fleet), 110.0)
            fleet.record.say("the rule held" if held else "the rule was broken")
            return HELD if held else BROKEN
        except CaseCannotRun as error:
            fleet.record.say(f"the case could not run: {error}")
            return NOT_RUN
        finally:
            await fleet.close()

    try:
        return asyncio.run(run())
    except asyncio.CancelledError:
        return NOT_RUN
    except Exception as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        return NOT_RUN
