"""Starts a whole deployment on loopback, each part a process of its own.

Experiments, whole-path tests and ``examples/processes`` use it; the daemon
itself starts no process.
"""

import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import typing as t
import urllib.error
import urllib.request

START_TIMEOUT = 60.0  # seconds
POLL = 0.05  # seconds
STANDIN_PROBE = "/service/runs"  # any answer will do; "/" would be a run
LOOPBACK = "127.0.0.1"
TICKS = os.sysconf("SC_CLK_TCK")  # a second
MEGABYTE = 1024 * 1024
FIRST_PORT = 15_000
LAST_PORT = 32_000
PORT_STRIDE = 500  # between processes that look for ports at the same time

_first = FIRST_PORT + os.getpid() * PORT_STRIDE % (LAST_PORT - FIRST_PORT)
_locks: list[socket.socket] = []  # held until this process ends
_PORTS = itertools.cycle([*range(_first, LAST_PORT), *range(FIRST_PORT, _first)])


@dataclasses.dataclass(frozen=True)
class TargetSpec:
    """One target with its agent; options go to the stand-in's command line."""

    name: str
    service: str
    kind: str = "engine"
    memory: int = 131_072
    failure_domain: str = "a"
    options: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class DeploymentSpec:
    """What is started; overrides are merged into the roles' settings."""

    catalogue: pathlib.Path
    targets: tuple[TargetSpec, ...]
    entries: int = 2
    time_scale: float = 1.0
    log_level: str = "warning"
    peers: bool = True  # whether entries and agents spread the catalogue
    entry_overrides: t.Mapping[str, t.Any] = dataclasses.field(default_factory=dict)
    agent_overrides: t.Mapping[str, t.Any] = dataclasses.field(default_factory=dict)


class Deployment:
    """A running deployment; a context manager."""

    def __init__(self, spec: DeploymentSpec) -> None:
        self._spec = spec
        self._folder = tempfile.TemporaryDirectory(prefix="chicorycove-")
        self._processes: dict[str, subprocess.Popen] = {}
        self._commands: dict[str, list[str]] = {}
        self._urls: dict[str, str] = {}
        self._seeds = {
            f"entry-{number}": f"{LOOPBACK}:{free_port()}"
            for number in range(1, spec.entries + 1)
        }

    @property
    def urls(self) -> t.Mapping[str, str]:
        """Return the HTTP URL of each part by name.

        Parts are "store", "hosts", "entry-N", each target by its name, and
        each agent's probes by "agent-" and its target's name.
        """
        return self._urls

    @property
    def entries(self) -> list[str]:
        """Return the entries' URLs."""
        return [url for name, url in self._urls.items() if name.startswith("entry-")]

    @property
    def folder(self) -> pathlib.Path:
        """Return the folder of settings and logs."""
        return pathlib.Path(self._folder.name)

    def __enter__(self) -> "Deployment":
        try:
            self._start_all()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *exc: object) -> None:
        self.close()

    def pid(self, name: str) -> int:
        """Return the process id of a part."""
        return self._processes[name].pid

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a part."""
        self._processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a part and wait until it is gone."""
        self._processes[name].kill()
        self._processes[name].wait()

    def wait(self, name: str, timeout: float) -> int:
        """Wait until a part ends by itself; return its exit code."""
        return self._processes[name].wait(timeout)

    def restart(self, name: str) -> None:
        """Start a part that has ended again, with the same settings."""
        self._spawn(name, self._commands[name])

    def close(self) -> None:
        """End every process that was started here."""
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes.values():
            process.wait()
        self._folder.cleanup()

    def log(self, name: str) -> str:
        """Return what a part has logged."""
        return (self.folder / f"{name}.log").read_text()

    def wait_ready(self, names: t.Iterable[str] | None = None) -> None:
        """Wait until parts are ready.

        :raises TimeoutError: naming the part that is not
        """
        for name in names if names is not None else list(self._urls):
            probe = (
                "/readyz" if name.startswith(("entry-", "agent-")) else STANDIN_PROBE
            )
            _wait_for(self._urls[name] + probe, name)

    def _start_all(self) -> None:
        spec = self._spec
        self._start_standin("store", "store", [])
        self._start_standin("hosts", "hosts", [])
        scale = ["--time-scale", str(spec.time_scale)]
        for target in spec.targets:
            options = ["--name", target.name, *target.options]
            if target.kind == "engine":
                memory = ["--memory-tokens", str(target.memory)]
                self._start_standin(target.name, "engine", options + memory + scale)
            else:
                self._start_standin(target.name, "service", options)
        self.wait_ready()
        for target in spec.targets:
            self._start_agent(target)
        for number in range(1, spec.entries + 1):
            self._start_entry(f"entry-{number}")
        self.wait_ready()

    def _start_standin(self, name: str, module: str, options: list[str]) -> None:
        port = free_port()
        command = [sys.executable, "-m", f"standin.{module}", "--port", str(port)]
        self._urls[name] = f"http://{LOOPBACK}:{port}"
        self._spawn(name, command + options)

    def _start_agent(self, target: TargetSpec) -> None:
        listen, http = free_port(), free_port()
        name = f"agent-{target.name}"
        settings = {
            "target": target.name,
            "listen": f"{LOOPBACK}:{listen}",
            "http": f"{LOOPBACK}:{http}",
            "address": self._address(target.name),
            "kind": target.kind,
            "memory": target.memory,
            **self._spec.agent_overrides,
        }
        self._start_daemon(name, "agent", settings, target.failure_domain)
        self._urls[name] = f"http://{LOOPBACK}:{http}"
        host = {
            "name": target.name,
            "agent": f"{LOOPBACK}:{listen}",
            "address": self._address(target.name),
            "region": "local",
            "failure_domain": target.failure_domain,
            "labels": {"service": target.service},
        }
        put_json(f"{self._urls['hosts']}/hosts/{target.name}", host)

    def _start_entry(self, name: str) -> None:
        port = free_port()
        settings = {
            "listen": f"{LOOPBACK}:{port}",
            "seed_catalogue": str(self._spec.catalogue),
            **self._spec.entry_overrides,
        }
        self._start_daemon(name, "entry", settings, "a")
        self._urls[name] = f"http://{LOOPBACK}:{port}"

    def _start_daemon(
        self, name: str, role: str, section: dict[str, t.Any], domain: str
    ) -> None:
        settings = {
            "role": role,
            "name": name,
            "region": "local",
            "failure_domain": domain,
            "log": {"level": self._spec.log_level},
            "platform": {
                "store": self._address("store"),
                "hosts": self._address("hosts"),
                "hosts_interval": 0.2,
            },
            role: section,
        }
        if self._spec.peers:
            listen = self._seeds.get(name) or f"{LOOPBACK}:{free_port()}"
            seeds = list(self._seeds.values())
            settings["peer"] = {"listen": listen, "seeds": seeds}
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings, indent=2))
        module = "chicorycove.daemon"
        self._spawn(name, [sys.executable, "-m", module, "--settings", str(path)])

    def _address(self, name: str) -> str:
        return self._urls[name].removeprefix("http://")

    def _spawn(self, name: str, command: list[str]) -> None:
        self._commands[name] = command
        with open(self.folder / f"{name}.log", "ab") as out:
            self._processes[name] = subprocess.Popen(
                command, stdout=out, stderr=out, env=_environment()
            )


def free_port() -> int:
    """Return a loopback port that no TCP or UDP socket uses, always another.

    It lies outside the range that outgoing connections are given ports from,
    and is locked until this process ends, so that no other deployment that
    starts at the same time is given it before its process listens.
    """
    while True:
        port = next(_PORTS)
        with contextlib.ExitStack() as stack, contextlib.suppress(OSError):
            _locks.append(_lock_port(port))
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                sock = stack.enter_context(socket.socket(type=kind))
                sock.bind((LOOPBACK, port))
            return port


def _lock_port(port: int) -> socket.socket:
    """Lock a port among the processes of this machine; return the lock.

    Its name is abstract, so that it depends on no folder, and ends with the
    process.

    :raises OSError: if another one holds it
    """
    lock = socket.socket(socket.AF_UNIX)
    try:
        lock.bind(f"\0chicorycove-port-{port}")
    except OSError:
        lock.close()
        raise
    return lock


def get_json(url: str) -> t.Any:
    """Read a JSON document."""
    with urllib.request.urlopen(url, timeout=10) as response:
        return json.load(response)


def put_json(
    url: str, document: t.Any, method: str = "PUT", key: str | None = None
) -> t.Any:
    """Send a JSON document and return the one that answers, if any."""
    headers = {"Content-Type": "application/json"}
    if key is not None:
        headers["Authorization"] = f"Bearer {key}"
    request = urllib.request.Request(
        url, json.dumps(document).encode(), headers, method=method
    )
    with urllib.request.urlopen(request, timeout=30) as response:
        content = response.read()
    return json.loads(content) if content else None


def cpu_seconds(pid: int) -> float:
    """Return the CPU time that a process has used, in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident(pid: int) -> float:
    """Return a process's resident memory in megabytes."""
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / MEGABYTE


def _environment() -> dict[str, str]:
    root = pathlib.Path(__file__).parent.parent
    path = os.pathsep.join((str(root / "src"), str(root)))
    return {**os.environ, "PYTHONPATH": path, "GRPC_VERBOSITY": "ERROR"}


def _wait_for(url: str, name: str) -> None:
    due = time.monotonic() + START_TIMEOUT
    while time.monotonic() < due:
        try:
            with urllib.request.urlopen(url, timeout=1):
                return
        except urllib.error.HTTPError as error:
            if not url.endswith("/readyz") or error.code != 503:
                return
        except OSError:
            pass
        time.sleep(POLL)
    raise TimeoutError(f'"{name}" is not ready')
