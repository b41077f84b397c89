"""Stand-ins of the platform for the cases of this review.

The store, the servers and the clients run in the process of a case; the
entries are processes of their own, started with the command of the deploy
file. Only the standard library is used.
"""

import asyncio
import base64
import dataclasses
import itertools
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
import typing as t
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
START_TIMEOUT = 20.0  # seconds until an entry must be ready
RESTART_DELAY = 0.5  # seconds until the platform starts a process again
HEARTBEAT_MS = 1200
GRACE = 8.0  # seconds from SIGTERM to SIGKILL
PORTS = (20_000, 32_000)
HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The sheet of kmmca-moldline, the first installation.
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
    "recoveryS": 12,
    "passMs": 120,
    "retryAfterS": 0,
    "stall_ms": 1500,
    "holdMaxMs": 20000,
    "freeMs": 4000,
    "idleMaxMs": 9000,
}
CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "engine"]
CONTRACTS += ["stream", "tenants", "platform", "spans"]
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 4194304,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}


_used_ports: set[int] = set()


class CannotRun(Exception):
    """Raised if a case cannot be played."""


class Record:
    """The lines of ``record.txt``; times are in seconds since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = open(path, "w", encoding="utf-8")
        self._started_at = time.monotonic()

    def write(self, event: str, **fields: t.Any) -> None:
        """Write an event with its fields."""
        at = round(time.monotonic() - self._started_at, 4)
        line = json.dumps({"at": at, "event": event, **fields})
        self._file.write(line + "\n")
        self._file.flush()


@dataclasses.dataclass(frozen=True)
class Message:
    """An HTTP request or answer."""

    first_line: str
    headers: dict[str, str]  # names in lower case
    body: bytes

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.first_line.split(" ")[0]

    @property
    def target(self) -> str:
        """Return the path and query of a request."""
        return self.first_line.split(" ")[1]

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.first_line.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Read the head of a message; return None if the channel has ended."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first_line, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return first_line, headers


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a whole message; return None if it is not complete."""
    head = await read_head(reader)
    if head is None:
        return None
    first_line, headers = head
    body = b""
    try:
        if "chunked" in headers.get("transfer-encoding", ""):
            while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readuntil(b"\r\n")
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Message(first_line, headers, body)


def format_answer(
    status: int, headers: t.Mapping[str, str], body: bytes = b""
) -> bytes:
    """Return the bytes of an answer with a length."""
    lines = [f"HTTP/1.1 {status} -"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def free_ports(count: int) -> int:
    """Return the first of some consecutive ports that are free now.

    They are below the ports that the kernel gives to outgoing connections, and
    are returned once only.
    """
    while True:
        first = random.randrange(*PORTS)
        ports = range(first, first + count)
        if not _used_ports.isdisjoint(ports):
            continue
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                for port in ports:
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((HOST, port))
        except OSError:
            continue
        _used_ports.update(ports)
        return first


@dataclasses.dataclass(frozen=True)
class StoreCopy:
    """What a store held at a revision."""

    revision: int
    items: dict[str, dict]
    events: list[dict]
    leases: frozenset[int]


class Store:
    """The platform's store, with one revision for all keys."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._items: dict[str, dict] = {}
        self._events: list[dict] = []
        self._revision = 1
        self._leases: dict[int, tuple[float, float]] = {}  # end, time to live
        self._lease_ids = itertools.count(1)
        self._changed = asyncio.Event()
        self._watch_channels: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._era = 1
        self._away = False

    @property
    def address(self) -> str:
        """Return the address as "ip:port"."""
        return "%s:%d" % self._server.sockets[0].getsockname()[:2]

    def cut_watches(self) -> None:
        """Cut the watches that are waiting."""
        self._record.write("watches cut", count=len(self._watch_channels))
        for writer in list(self._watch_channels):
            writer.close()

    def copy(self) -> "StoreCopy":
        """Return a copy of what the store holds."""
        leases = frozenset(self._leases)
        return StoreCopy(self._revision, dict(self._items), list(self._events), leases)

    async def come_back_from(self, copy: "StoreCopy", away_time: float) -> None:
        """Be away for some seconds, and come back from a copy.

        What was written since the copy is gone, leases too.
        """
        self._record.write("store away", revision=self._revision, seconds=away_time)
        self._away = True
        self.cut_watches()
        await asyncio.sleep(away_time)
        self._revision, self._items = copy.revision, dict(copy.items)
        self._events = list(copy.events)
        now = time.monotonic()
        self._leases = {
            lease: (now + ttl, ttl)
            for lease, (_, ttl) in self._leases.items()
            if lease in copy.leases
        }
        self._era += 1
        self._away = False
        self._record.write("store back", revision=self._revision, era=self._era)

    async def start(self) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)

    def write(self, key: str, value: t.Any) -> None:
        """Write a key as the operator or a server does; None removes it."""
        self._record.write("store written", key=key, value=value)
        if value is None:
            self._remove(key)
        else:
            self._put(key, base64.b64encode(json.dumps(value).encode()).decode(), 0)

    def names(self, prefix: str) -> list[str]:
        """Return the keys with a prefix."""
        self._expire()
        return sorted(key for key in self._items if key.startswith(prefix))

    def _put(self, key: str, value: str, lease: int) -> None:
        self._revision += 1
        created = self._items.get(key, {"created": self._revision})["created"]
        item = {"key": key, "value": value, "revision": self._revision}
        item |= {"created": created, "lease": lease}
        self._items[key] = item
        self._notify(item)

    def _remove(self, key: str) -> None:
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._notify({"key": key, "revision": self._revision, "deleted": True})

    def _notify(self, event: dict) -> None:
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def _expire(self) -> None:
        now = time.monotonic()
        for lease in [id for id, (end, _) in self._leases.items() if end <= now]:
            self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for item in [item for item in self._items.values() if item["lease"] == lease]:
            self._remove(item["key"])

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (call := await read_message(reader)) is not None:
                if "kv-watch" in call.target:
                    self._watch_channels.add(writer)
                status, body = await self._answer(call)
                self._watch_channels.discard(writer)
                if self._away:
                    return
                headers = {"Store-Era": str(self._era)}
                writer.write(format_answer(status, headers, json.dumps(body).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._watch_channels.discard(writer)
            writer.close()

    async def _answer(self, call: Message) -> tuple[int, dict]:
        self._expire()
        parts = urllib.parse.urlsplit(call.target)
        query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))
        name, _, id = parts.path.removeprefix("/chicorycove/").partition("/")
        body = json.loads(call.body) if call.body else {}
        match name:
            case "kv-range":
                items = [
                    self._items[key]
                    for key in self.names(query["prefix"])
                    if key > query.get("after", "")
                ]
                answer = {"items": items[:500], "morePages": len(items) > 500}
                return 200, answer | {"storeRevision": self._revision}
            case "kv-watch":
                return await self._watch(query)
            case "kv-lease":
                lease = next(self._lease_ids)
                ttl = body["ttlMs"]
                self._leases[lease] = (time.monotonic() + ttl / 1000, ttl / 1000)
                return 200, {"lease": lease, "ttlMs": ttl}
            case "kv-keep":
                if int(id) not in self._leases:
                    return 404, {}
                ttl = self._leases[int(id)][1]
                self._leases[int(id)] = (time.monotonic() + ttl, ttl)
                return 200, {"ttlMs": int(ttl * 1000)}
            case "kv-lease-end":
                self._end_lease(int(id))
                return 200, {}
            case "kv-txn":
                return self._commit(body)
        return 400, {}

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict]:
        until = time.monotonic() + int(query["waitMs"]) / 1000
        if int(query["after"]) > self._revision:
            return 410, {}
        while True:
            self._expire()
            events = [
                event
                for event in self._events
                if event["revision"] > int(query["after"])
                and event["key"].startswith(query["prefix"])
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "storeRevision": self._revision}
            try:
                async with asyncio.timeout(min(left, 0.1)):
                    await self._changed.wait()
            except TimeoutError:
                pass

    def _commit(self, body: dict) -> tuple[int, dict]:
        for row in body["expected"]:
            item = self._items.get(row["key"], {"revision": 0})
            if item["revision"] != row["revision"]:
                return 412, {"items": []}
        if any(
            put["lease"] and put["lease"] not in self._leases for put in body["puts"]
        ):
            return 404, {}
        for put in body["puts"]:
            self._put(put["key"], put["value"], put["lease"])
        for key in body["remove"]:
            self._remove(key)
        return 200, {"revision": self._revision}


class Server:
    """A server of a service; each kind of server has its own ``run``."""

    def __init__(self, record: Record, id: str, service: str, slots: int = 6) -> None:
        self.id = id
        self.service = service
        self.slots = slots
        self.runs: list[str] = []  # ids of the requests that began to run
        self._sequence = itertools.count()
        self._record = record
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        self._channels: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Return the address as "ip:port"."""
        return "%s:%d" % self._server.sockets[0].getsockname()[:2]

    async def start(self, store: Store, zone: str = "here") -> None:
        """Listen, and register with the store."""
        self._server = await asyncio.start_server(
            self._serve, HOST, 0, limit=1 << 22, backlog=1024
        )
        self.register(store, zone)

    def register(self, store: Store, zone: str = "here", state: str = "ready") -> None:
        """Write the server's entry in the store."""
        store.write(
            f"servers/{self.id}",
            {
                "service": self.service,
                "address": self.address,
                "zone": zone,
                "version": "v1",
                "slots": self.slots,
                "state": state,
                "coldRemainingMs": 0,
                "sequence": next(self._sequence),
                "born": 1_790_000_000_000,
            },
        )

    def exit(self) -> None:
        """End the server as a process does that exits."""
        self._record.write("server exits", server=self.id)
        self._server.close()
        for writer in list(self._channels):
            writer.transport.abort()

    async def run(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Work on a request and answer it."""
        raise NotImplementedError

    def signed(self, request: Message) -> dict[str, str]:
        """Return the headers that an answer to a request carries."""
        id = request.headers["chicorycove-attempt-id"]
        return {
            "Chicorycove-Attempt-Id": id,
            "Chicorycove-Response-Signature": f"{self.id}.{id}",
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._channels.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                await self._handle(request, reader, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._channels.discard(writer)
            writer.close()

    async def _handle(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        id = request.headers.get("chicorycove-attempt-id", "")
        echo = {"Chicorycove-Attempt-Id": id}
        if request.headers.get("chicorycove-expect-instance", self.id) != self.id:
            writer.write(format_answer(421, echo))
            return
        if not id:
            writer.write(format_answer(400, {"Chicorycove-Not-Executed": "1"}))
            return
        self.runs.append(id)
        self._record.write("run", server=self.id, request=id)
        # A server drops a request whose channel has closed.
        task = asyncio.ensure_future(self.run(request, writer))
        end = asyncio.ensure_future(reader.read(1))
        self._tasks |= {task, end}
        await asyncio.wait({task, end}, return_when=asyncio.FIRST_COMPLETED)
        self._tasks -= {task, end}
        if not task.done():
            self._record.write("run dropped", server=self.id, request=id)
            task.cancel()
            raise ConnectionError
        end.cancel()
        await asyncio.wait({end})
        task.result()
        self._record.write("run answered", server=self.id, request=id)
        raise ConnectionError  # a channel serves one request


class Entry:
    """A process of the deploy file's role that serves clients."""

    def __init__(
        self,
        record: Record,
        folder: pathlib.Path,
        name: str,
        store: str,
        zone: str = "here",
        bounds: t.Mapping[str, t.Any] = BOUNDS,
        memory_mb: int = 300,
        contracts: t.Sequence[str] = tuple(CONTRACTS),
    ) -> None:
        self.name = name
        self._record = record
        self.port = free_ports(4)
        self._ready_port = self.port + 1
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
        self._role = deploy["roles"]["entry"]
        self._log_path = folder / f"{name}.log"
        self._boot_path = folder / f"{name}.yaml"
        boot = {
            "node": name,
            "role": "entry",
            "machineClass": "front",
            "serves": ["front"],
            "ip": HOST,
            "zone": zone,
            "region": "area",
            "zones": {zone: "area"},
            "listen": {
                "front": f"{HOST}:{self.port}",
                "ready": f"{HOST}:{self._ready_port}",
            },
            "internalPortRange": [self.port + 2, self.port + 3],
            "seeds": [],
            "bootstrap": False,
            "limits": {"memoryMb": memory_mb, "maxFds": 4100},
            "heartbeatMs": HEARTBEAT_MS,
            "contracts": list(contracts),
            "bounds": dict(bounds),
            "platform": {"address": store, "form": "kv"},
        }
        # The template holds all fields as JSON: {{.|json}}.
        template = (ROOT / self._role["template"]).read_text("utf-8")
        self._boot_path.write_text(template.replace("{{.|json}}", json.dumps(boot)))
        self._process: subprocess.Popen | None = None

    @property
    def exit_code(self) -> int | None:
        """Return the exit code, or None while the process runs."""
        return self._process.poll()

    def start(self) -> None:
        """Start the process as the platform does."""
        env = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["CHICORYCOVE_BOOT"] = str(self._boot_path)
        with open(self._log_path, "ab") as log:
            self._process = subprocess.Popen(
                self._role["run"].split(), stdout=log, stderr=log, env=env, cwd=ROOT
            )
        self._record.write("entry started", entry=self.name)

    def signal(self, number: signal.Signals, quiet: bool = False) -> None:
        """Send a signal to the process if it runs, and record it."""
        if self._process is not None and self._process.poll() is None:
            if not quiet:
                self._record.write("signal", entry=self.name, signal=number.name)
            self._process.send_signal(number)

    def processor_time(self) -> float:
        """Return the seconds of processor time that the process has used."""
        stat = pathlib.Path(f"/proc/{self._process.pid}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def end(self) -> None:
        """Kill the process and wait for it."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()

    async def wait_ready(self) -> None:
        """Wait until the process says that it is ready."""
        until = time.monotonic() + START_TIMEOUT
        while time.monotonic() < until:
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready: {self.log_tail()}")

    async def is_ready(self) -> bool:
        """Ask the process as the platform does once a second."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(HOST, self._ready_port)
                writer.write(b"GET /chicorycove/ready HTTP/1.1\r\nHost: a\r\n\r\n")
                answer = await read_message(reader)
                writer.close()
        except (OSError, TimeoutError):
            return False
        return answer is not None and answer.status == 200

    def log_tail(self) -> str:
        """Return the end of the process's log."""
        return self._log_path.read_text("utf-8", "replace")[-2000:]

    def log_lines(self, *events: str) -> list[dict]:
        """Return the lines of some events from the process's log."""
        lines = []
        for text in self._log_path.read_text("utf-8", "replace").splitlines():
            try:
                line = json.loads(text)
            except ValueError:
                line = {"event": "unstructured", "text": text}
            if line.get("event") in events:
                lines.append(line)
        return lines


def format_request(
    method: str, path: str, id: str, budget_ms: int, body: bytes = b"", **headers: str
) -> bytes:
    """Return the bytes of a client's request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: shop.example",
        f"Chicorycove-Attempt-Id: {id}",
        f"Chicorycove-Time-Budget-Ms: {budget_ms}",
    ]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


class Case:
    """What a case is played with, and what it leaves behind."""

    def __init__(self, folder: pathlib.Path, scratch: pathlib.Path) -> None:
        self.record = Record(folder / "record.txt")
        self.scratch = scratch
        self.store = Store(self.record)
        self.entries: list[Entry] = []

    async def start_entries(self, count: int, **settings: t.Any) -> list[Entry]:
        """Start some entries and wait until all of them are ready."""
        for number in range(1, count + 1):
            entry = Entry(
                self.record,
                self.scratch,
                f"front-{number}",
                self.store.address,
                **settings,
            )
            self.entries.append(entry)
            entry.start()
        for entry in self.entries:
            await entry.wait_ready()
        return self.entries

    async def start_entry(self, **settings: t.Any) -> Entry:
        """Start the only entry of a case and wait until it is ready."""
        (entry,) = await self.start_entries(1, **settings)
        return entry


def play(
    file: str, case_main: t.Callable[[Case], t.Awaitable[list[str]]]
) -> t.NoReturn:
    """Play a case and exit with its result.

    The case returns what broke the rule, a text for each.
    """
    folder = pathlib.Path(file).resolve().parent
    with tempfile.TemporaryDirectory() as scratch:
        case = Case(folder, pathlib.Path(scratch))
        try:
            if not (ROOT / "target/deps/chicorycove").is_dir():
                raise CannotRun("target/deps is not built")
            broken = asyncio.run(_play(case, case_main))
            result = BROKEN if broken else HELD
        except Exception:
            case.record.write("cannot run", cause=traceback.format_exc())
            traceback.print_exc()
            broken, result = [], NOT_RUN
        finally:
            for entry in case.entries:
                entry.end()
    for text in broken:
        print(text)
    case.record.write("result", exit=result, trouble=TROUBLE, broken=broken)
    print(f"exit {result} (TROUBLE={int(TROUBLE)})")
    sys.exit(result)


async def _play(
    case: Case, case_main: t.Callable[[Case], t.Awaitable[list[str]]]
) -> list[str]:
    await case.store.start()
    return await case_main(case)
