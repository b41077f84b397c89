"""Stand-ins of the platform's store, servers and clients, and a small fleet.

Only the standard library is used. Each stand-in does what the users' pages
(``PROTOCOL.md``, ``DEPLOY.md``) say, unless a case tells it otherwise.
"""

import asyncio
import base64
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import tempfile
import time
import typing as t
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
ENTRY_COMMAND = ["python3", "-S", "-m", "chicorycove.platform"]
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2

# As in the settings that `fleetbench wire` shows for the small deployments.
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
ENGINE = {
    "slots": 8,
    "kvCapacityTokens": 450000,
    "stride": 46,
    "step_ms": 0.925,
    "per_seq_ms": 0.00966,
    "context_per_k": 0.00254,
    "read_per_s": 256000.0,
    "pairs_per_m": 0.0917,
    "chunk": 2048,
    "report_lag_ms": 200.0,
    "delays": [],
    "usual": {"prompt": 13239, "answer": 1540},
    "hopMs": 0.1,
}
PORTS = (12_000, 32_000)  # from which those of the entries are drawn
ZONES = ("fukuoka", "kitakyushu", "kumamoto")
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 4194304,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}


class NotRun(Exception):
    """A case that could not run."""


class Record:
    """Writes what was sent, answered and run to the record of a case."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = open(folder / "record.txt", "w")
        self._began_at = time.monotonic()

    def write(self, event: str, **fields: t.Any) -> None:
        """Write a line with the seconds since the start."""
        details = " ".join(f"{name}={value}" for name, value in fields.items())
        took = time.monotonic() - self._began_at
        self._file.write(f"{took:8.3f} {event} {details}".rstrip() + "\n")
        self._file.flush()


@dataclasses.dataclass(frozen=True)
class Head:
    """The head of a request or an answer; names are in lower case."""

    start: str
    headers: dict[str, str]

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.start.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Head:
    """Read a head.

    :raises asyncio.IncompleteReadError: if the channel ends before
    """
    data = await reader.readuntil(b"\r\n\r\n")
    start, *lines = data.decode("latin-1").split("\r\n")[:-2]
    pairs = (line.partition(":") for line in lines)
    return Head(start, {name.lower(): value.strip() for name, _, value in pairs})


async def read_body(reader: asyncio.StreamReader, head: Head) -> bytes:
    """Read a body with a length or in chunks."""
    if head.headers.get("transfer-encoding") == "chunked":
        return b"".join([chunk async for chunk in read_chunks(reader)])
    return await reader.readexactly(int(head.headers.get("content-length", "0")))


async def read_chunks(reader: asyncio.StreamReader) -> t.AsyncIterator[bytes]:
    """Yield the chunks of a body, until its last one."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        chunk = await reader.readexactly(size + 2)
        if not size:
            return
        yield chunk[:-2]


class HttpService:
    """Serves HTTP/1.1 on a free port of loopback."""

    def __init__(self) -> None:
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    @property
    def address(self) -> str:
        """Return the address as "ip:port"."""
        return "{}:{}".format(*self._server.sockets[0].getsockname())

    async def open(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, HOST, 0)

    async def close(self) -> None:
        """Stop listening and close all channels."""
        if self._server is None:
            return
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while True:
                head = await read_head(reader)
                if not await self.answer(head, reader, writer):
                    break
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def answer(
        self, head: Head, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer a request; return whether to keep the channel."""
        raise NotImplementedError


def send_answer(
    writer: asyncio.StreamWriter,
    status: int,
    headers: t.Mapping[str, str],
    body: bytes = b"",
) -> None:
    """Send a whole answer."""
    lines = [f"HTTP/1.1 {status} Answer"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)


def send_stream_head(
    writer: asyncio.StreamWriter, headers: t.Mapping[str, str]
) -> None:
    """Send the head of a stream."""
    lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append("Transfer-Encoding: chunked")
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")


def send_chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Send a part of a stream."""
    writer.write(b"%x\r\n%b\r\n" % (len(data), data))


class Store(HttpService):
    """The platform's metadata store."""

    def __init__(self) -> None:
        super().__init__()
        self._revision = 1
        self._items: dict[str, dict] = {}
        self._events: list[dict] = []
        self._leases: dict[int, tuple[float, float]] = {}
        self._lease_count = 0
        self._changed = asyncio.Event()
        self.down = False  # calls are answered with 503

    def put(self, key: str, value: t.Any, lease: int = 0) -> None:
        """Write an item as the operator or a server does."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._revision += 1
        old = self._items.get(key)
        self._items[key] = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": self._revision,
            "created": old["created"] if old else self._revision,
            "lease": lease,
        }
        self._notify(self._items[key])

    def remove(self, key: str) -> None:
        """Delete an item if it exists."""
        if self._items.pop(key, None) is not None:
            self._revision += 1
            event = {"key": key, "revision": self._revision, "deleted": True}
            self._notify(event)

    def _notify(self, event: dict) -> None:
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def _expire_leases(self) -> None:
        now = time.monotonic()
        for lease, (expires_at, _) in list(self._leases.items()):
            if expires_at <= now:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for key in [k for k, item in self._items.items() if item["lease"] == lease]:
            self.remove(key)

    async def answer(
        self, head: Head, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        body = await read_body(reader, head)
        method, url, _ = head.start.split(" ")
        path, _, query_text = url.partition("?")
        query = dict(urllib.parse.parse_qsl(query_text, keep_blank_values=True))
        self._expire_leases()
        name, _, argument = path.removeprefix("/chicorycove/").partition("/")
        status, reply = 503, {}
        if not self.down:
            match method, name:
                case "GET", "kv-range":
                    status, reply = self._range(query)
                case "GET", "kv-watch":
                    status, reply = await self._watch(query)
                case "GET", "kv-key":
                    item = self._items.get(query["key"])
                    status = 200 if item else 404
                    reply = {**(item or {}), "storeRevision": self._revision}
                case "POST", "kv-txn":
                    status, reply = self._write(json.loads(body))
                case "POST", "kv-lease":
                    self._lease_count += 1
                    ttl = json.loads(body)["ttlMs"]
                    expires_at = time.monotonic() + ttl / 1000
                    self._leases[self._lease_count] = (expires_at, ttl / 1000)
                    status, reply = 200, {"lease": self._lease_count, "ttlMs": ttl}
                case "POST", "kv-keep":
                    status, reply = self._renew(int(argument))
                case "DELETE", "kv-lease-end":
                    self._end_lease(int(argument))
                    status = 200
                case _:
                    status = 400
        headers = {"Content-Type": "application/json"}
        send_answer(writer, status, headers, json.dumps(reply).encode())
        return True

    def _range(self, query: dict[str, str]) -> tuple[int, dict]:
        keys = sorted(key for key in self._items if key.startswith(query["prefix"]))
        keys = [key for key in keys if key > query.get("after", "")]
        reply = {
            "items": [self._items[key] for key in keys[:500]],
            "morePages": len(keys) > 500,
            "storeRevision": self._revision,
        }
        return 200, reply

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict]:
        after, prefix = int(query["after"]), query["prefix"]
        end = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            events = [
                event
                for event in self._events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "storeRevision": self._revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), min(left, 0.5))
            self._expire_leases()

    def _write(self, change: dict) -> tuple[int, dict]:
        for expected in change["expected"]:
            item = self._items.get(expected["key"], {"revision": 0})
            if item["revision"] != expected["revision"]:
                return 412, {"items": []}
        for put in change["puts"]:
            if put.get("lease") and put["lease"] not in self._leases:
                return 404, {}
        for put in change["puts"]:
            value = base64.b64decode(put["value"])
            self.put(put["key"], value, put.get("lease", 0))
        for key in change["remove"]:
            self.remove(key)
        return 200, {"revision": self._revision}

    def _renew(self, lease: int) -> tuple[int, dict]:
        if lease not in self._leases:
            return 404, {}
        ttl = self._leases[lease][1]
        self._leases[lease] = (time.monotonic() + ttl, ttl)
        return 200, {"ttlMs": int(ttl * 1000)}


@dataclasses.dataclass(frozen=True)
class Run:
    """A request that a server began to run."""

    server: str
    attempt: str
    request: str  # method and path
    body: bytes
    resumed_after: int  # id of the last event that the caller has, or 0
    token_counts: str  # of the prompt and, at most, of its answer


class Server(HttpService):
    """A server of a service, which answers with its whole body or a stream."""

    def __init__(self, record: Record, id: str, service: str, runs: list[Run]) -> None:
        super().__init__()
        self.id = id
        self.service = service
        self._record = record
        self._runs = runs
        self.event_count = 35
        self.event_size = 65  # bytes
        self.event_pause = 0.045  # seconds; a pass of 46 steps
        self.end_pause = 0.0  # seconds from the last event to the end of the stream
        self.work_time = 0.02  # seconds
        self.weights = 1  # version

    def entry(self, state: str = "ready") -> dict:
        """Return what the server writes to the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": "fukuoka",
            "version": "v1",
            "slots": 8,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": 0,
            "born": 1,
        }

    async def answer(
        self, head: Head, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        body = await read_body(reader, head)
        method, url, _ = head.start.split(" ")
        headers = {"Chicorycove-Instance-Id": self.id}
        if url == "/health":
            send_answer(writer, 200, headers)
            return True
        attempt = head.headers.get("chicorycove-attempt-id", "")
        if head.headers.get("chicorycove-expect-instance", self.id) != self.id:
            send_answer(writer, 421, headers)
            return True
        if not attempt:
            send_answer(writer, 400, {"Chicorycove-Not-Executed": "1"})
            return True
        expected = head.headers.get("chicorycove-expect-version", str(self.weights))
        if self.service == "advisor" and expected != str(self.weights):
            self._record.write("421 for its weights", server=self.id, attempt=attempt)
            send_answer(writer, 421, {**headers, "Chicorycove-Attempt-Id": attempt})
            return True
        after = int(head.headers.get("last-event-id", "0"))
        counts = head.headers.get("chicorycove-token-counts", "")
        run = Run(self.id, attempt, f"{method} {url}", body, after, counts)
        self._runs.append(run)
        self._record.write("run", **{**dataclasses.asdict(run), "body": len(body)})
        headers = {
            "Chicorycove-Attempt-Id": attempt,
            "Chicorycove-Response-Signature": f"{self.id}.{attempt}",
            "Chicorycove-Weight-Versions": str(self.weights),
        }
        if "chicorycove-token-counts" in head.headers:
            await self.stream(run, headers, writer)
        else:
            await asyncio.sleep(self.work_time)
            send_answer(writer, 200, headers, self.body_of(attempt))
        return True

    def body_of(self, attempt: str) -> bytes:
        """Return the body of an answer that is no stream."""
        return (f"{attempt} ".encode() * 100)[:800]

    def event(self, number: int) -> bytes:
        """Return an event of a stream."""
        text = f"event {number} ".ljust(self.event_size, ".")
        return f"id: {number}\ndata: {text}\n\n".encode()

    async def stream(
        self,
        run: Run,
        headers: dict[str, str],
        writer: asyncio.StreamWriter,
    ) -> None:
        """Send a stream, from the event after one that the caller has."""
        send_stream_head(writer, headers)
        for number in range(run.resumed_after + 1, self.event_count + 1):
            send_chunk(writer, self.event(number))
            await writer.drain()
            if number < self.event_count:
                await asyncio.sleep(self.event_pause)
        await asyncio.sleep(self.end_pause)
        writer.write(b"0\r\n\r\n")
        self._record.write("stream sent", server=self.id, attempt=run.attempt)


class ChannelProxy:
    """Passes channels on to an address; open ones can be made silent.

    A silent channel stays open and passes nothing on. Later ones are served.
    """

    def __init__(self, target: str) -> None:
        self._host, _, port = target.rpartition(":")
        self._port = int(port)
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        self._silenced_before = 0
        self._count = 0

    @property
    def address(self) -> str:
        """Return the address as "ip:port"."""
        return "{}:{}".format(*self._server.sockets[0].getsockname())

    async def open(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, HOST, 0)

    async def close(self) -> None:
        """Stop listening and close all channels."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def silence(self) -> None:
        """Pass on nothing more over the channels that are open now."""
        self._silenced_before = self._count

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        number = self._count
        self._count += 1
        other = None
        try:
            target_reader, other = await asyncio.open_connection(self._host, self._port)
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pass_on(number, reader, other))
                group.create_task(self._pass_on(number, target_reader, writer))
        except* (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()
            if other is not None:
                other.close()

    async def _pass_on(
        self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(65536):
            if number < self._silenced_before:
                await asyncio.Event().wait()
            writer.write(data)
            await writer.drain()
        if number < self._silenced_before:
            await asyncio.Event().wait()
        raise ConnectionResetError("one end has closed the channel")


class Entry:
    """An entry, started with the command of the deploy file."""

    def __init__(
        self,
        record: Record,
        folder: pathlib.Path,
        name: str,
        store: str,
        zone: str = "fukuoka",
    ) -> None:
        self.name = name
        self._record = record
        self._folder = folder
        self._store = store
        self._process: subprocess.Popen | None = None
        self.port, self.ready_port, internal = _free_ports()
        settings = {
            "node": name,
            "role": "entry",
            "machineClass": "front",
            "serves": ["front"],
            "ip": HOST,
            "zone": zone,
            "region": "kyushu",
            "zones": dict.fromkeys(ZONES, "kyushu"),
            "listen": {
                "front": f"{HOST}:{self.port}",
                "ready": f"{HOST}:{self.ready_port}",
            },
            "internalPortRange": [internal, internal + 1],
            "seeds": [],
            "bootstrap": True,
            "lossCounts": False,
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
            "contracts": "base drain config cost retry recover engine stream "
            "tenants platform spans".split(),
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
        self._settings = folder / f"{name}.json"
        self._settings.write_text(json.dumps(settings))

    @property
    def running(self) -> bool:
        """Return whether the process runs."""
        return self._process is not None and self._process.poll() is None

    @property
    def exit_code(self) -> int | None:
        """Return the exit code of a process that has ended."""
        return self._process.poll()

    def start(self) -> None:
        """Start the process."""
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["CHICORYCOVE_BOOT"] = str(self._settings)
        with open(self._folder / f"{self.name}.log", "ab") as log:
            self._process = subprocess.Popen(
                ENTRY_COMMAND, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._record.write("entry started", entry=self.name, id=self._process.pid)

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self._record.write("signal", entry=self.name, number=number)
        self._process.send_signal(number)

    def kill(self) -> None:
        """Kill the process if it runs, and wait for its end."""
        if self.running:
            self._process.kill()
        if self._process is not None:
            self._process.wait()

    async def wait_ready(self, timeout: float = 15.0) -> None:
        """Wait until the entry says that it is ready.

        :raises NotRun: if it is not ready in time
        """
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if not self.running:
                raise NotRun(f"{self.name} has ended: {self.log_lines()[-1:]}")
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(HOST, self.ready_port)
                writer.write(b"GET /chicorycove/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                status = (await read_head(reader)).status
                writer.close()
                if status == 200:
                    return
            await asyncio.sleep(0.1)
        raise NotRun(f"{self.name} is not ready")

    def log_lines(self, *words: str) -> list[str]:
        """Return the log lines that contain all of some words."""
        with open(self._folder / f"{self.name}.log") as log:
            return [line.strip() for line in log if all(w in line for w in words)]


def _free_ports() -> tuple[int, int, int]:
    """Return free ports for callers, readiness, and the first of two more.

    They lie below those that the kernel gives to outgoing channels, one of
    which could take a port before the entry does.
    """
    while True:
        first = random.randrange(*PORTS, 4)
        with contextlib.ExitStack() as stack, contextlib.suppress(OSError):
            for port in range(first, first + 4):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    sock = stack.enter_context(socket.socket(type=kind))
                    sock.bind((HOST, port))
            return first, first + 1, first + 2


class Fleet:
    """A store, servers and entries of a small deployment."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.record = Record(folder)
        self.runs: list[Run] = []
        self.store = Store()
        self.proxy: ChannelProxy | None = None
        self.servers: list[Server] = []
        self.entries: list[Entry] = []
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self._version = 1

    @property
    def folder(self) -> pathlib.Path:
        """Return the temporary folder of settings and logs."""
        return pathlib.Path(self._folder.name)

    def config(self, **changes: t.Any) -> dict:
        """Return a configuration like that of a small deployment."""
        self._version += 2
        streaming = {
            "name": "r-query",
            "host": "ficu95.example",
            "prefix": "/query/",
            "kind": "streaming",
            "timeoutMs": 10000,
            "targetLatencyMs": 300,
            "priority": 1,
            "service": "advisor",
            "maxAttempts": 2,
            "public": False,
            "sticky": True,
            "resumable": True,
            "gapTargetMs": 200,
        }
        unsafe = {
            "name": "r-order",
            "host": "ficu95.example",
            "prefix": "/order/",
            "kind": "unsafe",
            "timeoutMs": 10000,
            "targetLatencyMs": 100,
            "priority": 2,
            "service": "purchasing",
            "maxAttempts": 1,
            "public": False,
        }
        safe = {**unsafe, "name": "r-lookup", "prefix": "/lookup/", "kind": "safe"}
        safe["maxAttempts"] = 2
        config = {
            "version": self._version,
            "routes": [streaming, unsafe, safe],
            "services": [
                {"name": "advisor", "healthPath": "/health", "engine": ENGINE},
                {"name": "purchasing", "healthPath": "/health"},
            ],
            "limits": LIMITS,
            "tenants": [{"name": "hule930", "apiKeys": ["key1"], "priority": 1}],
        }
        return {**config, **changes}

    async def open(
        self,
        *,
        entry_count: int = 1,
        services: t.Sequence[str] = ("advisor", "advisor", "purchasing", "purchasing"),
        server_class: type[Server] = Server,
        config: dict | None = None,
    ) -> None:
        """Start all parts, and wait until the entries are ready.

        The entries reach the store through a proxy, and are spread over zones.
        """
        await self.store.open()
        self.proxy = ChannelProxy(self.store.address)
        await self.proxy.open()
        for number, service in enumerate(services):
            server = server_class(self.record, f"i-{number:08x}", service, self.runs)
            await server.open()
            self.servers.append(server)
            self.store.put(f"servers/{server.id}", server.entry())
        self.store.put("op/config", config or self.config())
        for number in range(entry_count):
            zone = ZONES[number % len(ZONES)]
            name = f"front-{zone}-{number + 1}"
            address = self.proxy.address
            entry = Entry(self.record, self.folder, name, address, zone)
            self.entries.append(entry)
            entry.start()
        for entry in self.entries:
            await entry.wait_ready()
        # The entries have read the whole store, and are in touch.
        await asyncio.sleep(BOUNDS["stableWindowMs"] / 1000 + 0.5)

    async def close(self) -> None:
        """End all processes that were started, and the stand-ins."""
        for entry in self.entries:
            if entry.running:
                entry.signal(signal.SIGCONT)
            entry.kill()
        for server in self.servers:
            await server.close()
        if self.proxy is not None:
            await self.proxy.close()
        await self.store.close()
        self._folder.cleanup()


def format_request(
    method: str, path: str, attempt: str, body: bytes = b"", **headers: str
) -> bytes:
    """Return the bytes of a client's request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: ficu95.example",
        f"Chicorycove-Attempt-Id: {attempt}",
        "Authorization: Bearer key1",
    ]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


@dataclasses.dataclass(frozen=True)
class Answer:
    """What a client got; the status is 0 if the channel ended before."""

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool


class Client:
    """A client with one kept channel to an entry."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    @property
    def connected(self) -> bool:
        """Return whether there is a channel from before."""
        return self._writer is not None

    async def ask(
        self,
        request: bytes,
        timeout: float = 15.0,
        on_chunk: t.Callable[[bytes], None] = lambda chunk: None,
    ) -> Answer:
        """Send a request over the kept channel, or a new one, and read on."""
        head, body = Head("HTTP/1.1 0", {}), bytearray()
        try:
            async with asyncio.timeout(timeout):
                if self._writer is None:
                    self._reader, self._writer = await asyncio.open_connection(
                        HOST, self._port
                    )
                self._writer.write(request)
                head = await read_head(self._reader)
                if head.headers.get("transfer-encoding") == "chunked":
                    async for chunk in read_chunks(self._reader):
                        body += chunk
                        on_chunk(chunk)
                else:
                    body += await read_body(self._reader, head)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            self.close()
            return Answer(head.status, head.headers, bytes(body), False)
        if head.headers.get("connection") == "close":
            self.close()
        return Answer(head.status, head.headers, bytes(body), True)

    def close(self) -> None:
        """Close the channel."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


def prompt_headers(
    events: int = 35, budget_ms: int = 10000, tokens: int = 4960
) -> dict[str, str]:
    """Return the headers of a prompt with so many events in its answer."""
    return {
        "Chicorycove_Time_Budget_Ms": str(budget_ms),
        "Chicorycove_Model": "m",
        "Chicorycove_Token_Counts": f"{tokens},{events * 46}",
        "Chicorycove_Prompt_Prefix": f"5c1e07a2:40,91bd3f06:{tokens - 40}",
    }


def new_attempt() -> str:
    """Return an id for a client attempt."""
    return os.urandom(8).hex()


def run_case(
    folder: pathlib.Path, case: t.Callable[[Fleet], t.Awaitable[int]]
) -> t.NoReturn:
    """Run a case; exit with 1 if its rule was broken, 2 if it did not run."""

    async def run() -> int:
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        fleet = Fleet(folder)
        fleet.record.write("begun", trouble=int(TROUBLE))
        try:
            async with asyncio.timeout(110):
                return await case(fleet)
        except (Exception, asyncio.CancelledError) as error:
            fleet.record.write("not run", cause=repr(error))
            return EXIT_NOT_RUN
        finally:
            await fleet.close()
            fleet.record.write("closed")

    raise SystemExit(asyncio.run(run()))
