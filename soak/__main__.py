"""Tests entries under faults: python -m soak --seed 1 [--seconds 20]."""

import argparse
import asyncio
import collections
import contextlib
import itertools
import json
import pathlib
import random
import signal
import sys
import tempfile
import time
import typing as t

from bench.deployment import free_port
from chicorycove.direct.client import HttpClient
from chicorycove.platform.follower import BYTES_PER_MEGABIT
from tests.platform_case import Caller, config, route, unlike_routes

from . import callers, check, steps
from .fleet import (
    CRASHING_PART,
    CRASHING_PATH,
    GRACE_PERIOD,
    LINK_RATE,
    Entry,
    Operator,
    Process,
    Server,
    is_answering,
    wait_until_answering,
)
from .proxy import Mode

KEYS = ("key-1", "key-2", "key-3")
CALLER_PAUSE = 0.06  # seconds between a caller's requests
SETTLING_TIME = 3.5  # seconds after a fault until requests are undisturbed
CRASH_TIME = 14.0  # seconds in which callers send requests that crash servers
CRASHING_BODY = "crash"  # of the one request that crashes servers
RECOVERY_TIME = 12.0  # seconds after the last fault until requests are answered
PRINTED_VIOLATIONS = 5  # of a kind
LARGE_ROUTE_COUNT = 1_500
RELAYED_ROUTE_COUNT = 2_600  # with names that compress well, so of the same size
STORM_LENGTH = 5  # versions of a large configuration
STORM_GAP = 0.2  # seconds
ROUTES = ("order", "order", "lookup", "ask", "ask", "say")  # repeated by weight


class Soak:
    """A run of processes, callers and faults, all drawn from one seed."""

    def __init__(self, options: argparse.Namespace, folder: pathlib.Path) -> None:
        self.capped_orders: check.OrderCounts | None = None  # once it has run
        self._options = options
        self._folder = folder
        self._random = random.Random(options.seed)
        self._sent: list[check.SentRequest] = []
        self._draining: list[check.Change] = []
        self._revoked: list[check.Change] = []
        self._keys = list(KEYS)
        self._killed: set[str] = set()  # ids of servers
        self._version = 1
        self._added_routes: list[dict] = []
        self._numbers = itertools.count(1)
        self._last_fault_at = time.time()
        self._stopped = False
        self._crashing = False  # whether callers send requests that crash servers

    async def run(self) -> list[str]:
        """Run the test and return a line for each violation."""
        async with contextlib.AsyncExitStack() as stack:
            await self._start(stack)
            sending = [asyncio.create_task(self._run_caller(n)) for n in range(6)]
            await asyncio.sleep(2.0)
            await self._inject_faults()
            await self._clear_faults()
            cleared_at = time.time()
            await asyncio.sleep(RECOVERY_TIME)
            await self._change_large_configs()
            violations = await self._check_answers_of_servers()
            recovered_until = time.time()
            capped_orders = await self._send_orders_to_capped_entry()
            violations += await steps.check_cold_start(
                self._entries,
                self._store,
                lambda: self._create_request("lookup", self._keys[-1], ""),
            )
            crashes = await self._send_crashing_requests()
            self._stopped = True
            await asyncio.gather(*sending)
            await asyncio.sleep(4.5)  # by then all reservations have ended
            reservations = await self._read_reservations()
        runs = check.read_runs(self._folder)
        self.capped_orders = check.count_orders(capped_orders, runs)
        violations += check.check_capped_entry(self.capped_orders)
        violations += check.find_violations(
            self._sent, runs, self._draining, self._revoked, reservations
        )
        violations += check.check_crashes(runs, CRASHING_PART, crashes["model"])
        violations += check.check_crashing_request(runs, CRASHING_BODY, crashes["shop"])
        return violations + check.check_recovery(
            self._sent, cleared_at + RECOVERY_TIME, recovered_until
        )

    # The fleet

    async def _start(self, stack: contextlib.AsyncExitStack) -> None:
        port = free_port()
        command = ["standin.platform_store", "--port", str(port)]
        self._store = Process("store", self._folder, command)
        self._store.start()
        stack.callback(self._store.kill)
        await wait_until_answering(self._store, port, "/chicorycove/kv-range?prefix=")
        self._operator = Operator(port)
        stack.callback(self._operator.close)
        self._stack = stack
        self._servers: list[Server] = []
        for service in ["shop"] * 2 + ["model"] * (self._options.servers - 2):
            await self._add_server(service)
        await self._publish_config()
        self._entries = [
            Entry(self._folder, f"entry-{number}", port)
            for number in range(self._options.entries)
        ]
        for entry in self._entries:
            await entry.proxy.start()
            stack.push_async_callback(entry.proxy.close)
            entry.write_boot()
            entry.start()
            stack.callback(entry.kill)
        for entry in self._entries:
            await wait_until_answering(entry, entry.ready_port, "/chicorycove/ready")

    async def _add_server(self, service: str) -> Server:
        server = Server(self._folder, f"i-{next(self._numbers):04x}", service)
        await server.proxy.start()
        self._stack.push_async_callback(server.proxy.close)
        server.start()
        self._stack.callback(server.kill)
        await wait_until_answering(server, server.port, "/standin/tickets")
        await self._operator.put(f"servers/{server.id}", server.registration())
        self._servers.append(server)
        return server

    async def _publish_config(self) -> None:
        self._version += self._random.randint(1, 3)
        content = config(self._version, keys=self._keys)
        content["routes"] += self._added_routes
        await self._operator.put("op/config", json.dumps(content))

    async def _read_reservations(self) -> dict[str, dict]:
        reservations = {}
        for server in self._servers:
            if server.running:
                client = HttpClient(f"127.0.0.1:{server.port}")
                reply = await client.call("GET", "/standin/tickets", timeout=5.0)
                reservations[server.id] = json.loads(reply.body)
                client.close()
        return reservations

    # Callers

    async def _run_caller(self, number: int) -> None:
        """Send requests to entries that are ready until the test stops."""
        rng = random.Random(self._options.seed * 1000 + number)
        caller = None
        while not self._stopped:
            await asyncio.sleep(CALLER_PAUSE * rng.uniform(0.5, 1.5))
            if caller is None or rng.random() < 0.1:
                if caller is not None:
                    caller.close()
                caller = await self._connect(rng)
                if caller is None:
                    continue
            if not await self._send_request(caller, rng):
                caller.close()
                caller = None

    async def _connect(self, rng: random.Random) -> Caller | None:
        entry = rng.choice(self._entries)
        if not await is_answering(entry.ready_port, "/chicorycove/ready"):
            return None
        try:
            async with asyncio.timeout(1.0):
                return await Caller.open(f"127.0.0.1:{entry.caller_port}")
        except (OSError, TimeoutError):
            return None

    def _create_request(
        self, route: str, key: str, body: str | None = None
    ) -> check.SentRequest:
        """Record a request to be sent, by default with its own body."""
        id = f"{self._options.seed:04x}{next(self._numbers):08x}"
        body = f"body of {id}" if body is None else body
        request = check.SentRequest(id, route, body, key, time.time())
        self._sent.append(request)
        return request

    async def _send_request(self, caller: Caller, rng: random.Random) -> bool:
        """Send one request; return whether the connection can be reused."""
        route = rng.choice(ROUTES)
        request = self._create_request(route, rng.choice(self._keys))
        id = request.id
        path = f"/{route}/x"
        if self._crashing and route == "lookup" and rng.random() < 0.2:
            path, request.body = CRASHING_PATH, CRASHING_BODY
        headers = {}
        if route in ("ask", "say"):
            parts = ["common", f"session-{rng.randrange(20)}", id]
            if self._crashing and route == "ask" and rng.random() < 0.3:
                parts.insert(1, CRASHING_PART)
            prefix = ",".join(f"{part}:9" for part in parts)
            headers["Chicorycove_Prompt_Prefix"] = prefix
            tokens = rng.choice((1000, 5000, 60_000, 300_000))
            headers["Chicorycove_Token_Counts"] = f"{tokens},460"
        started_at = time.time()
        reusable = await callers.send_request(caller, request, path, **headers)
        request.undisturbed = started_at > self._last_fault_at + SETTLING_TIME
        return reusable

    # Large configurations

    async def _change_large_configs(self) -> None:
        """Let versions of a large configuration follow one another.

        All links to the store are thin.  The store compacts its history, an
        entry restarts, a server leaves and a key is revoked meanwhile.
        """
        for entry in self._entries:
            entry.proxy.link_rate = LINK_RATE * BYTES_PER_MEGABIT
        self._add_routes()
        await self._publish_config()
        await self._operator.compact_store()
        restarted = self._random.choice(self._entries)
        restarted.kill()
        restarted.start()
        for _ in range(STORM_LENGTH):
            if self._random.random() < 0.7:
                self._add_routes()
            await self._publish_config()
            await asyncio.sleep(STORM_GAP)
        server = self._pick_server()
        if server is not None:
            await self._operator.put(f"servers/{server.id}", None)
            self._draining.append(check.Change(server.id, time.time()))
        key = self._keys[0]
        await self._rotate_key()
        await asyncio.sleep(check.LARGE_CONFIG_TIME + check.CLOCK_TOLERANCE)
        for entry in self._entries:
            await self._send_with_revoked_key(entry, key)
        if server is not None:
            self._kill(server)
            await self._add_server(server.service)
        self._added_routes = []
        await self._publish_config()
        for entry in self._entries:
            entry.proxy.link_rate = None
        await asyncio.sleep(SETTLING_TIME)

    def _add_routes(self) -> None:
        """Replace the added routes by others, which the relay takes or not."""
        if self._random.random() < 0.5:
            self._added_routes = unlike_routes(self._version, LARGE_ROUTE_COUNT)
            return
        self._added_routes = [
            route(f"added-{self._version}-{number}")
            for number in range(RELAYED_ROUTE_COUNT)
        ]

    async def _send_with_revoked_key(self, entry: Entry, key: str) -> None:
        caller = await Caller.open(f"127.0.0.1:{entry.caller_port}")
        request = self._create_request("lookup", key)
        request.undisturbed = True
        await callers.send_request(caller, request, "/lookup/x")
        caller.close()

    # What servers say, and what crashes them

    async def _check_answers_of_servers(self) -> list[str]:
        """Let servers say what they take, and check what they get."""
        running = [server for server in self._servers if server.running]
        limited, busy = self._random.sample(running, 2)
        violations = await steps.check_rate_limit(limited)
        violations += await steps.check_backoff(
            busy, self._operator, len(self._entries)
        )
        leaving = self._random.choice(running)
        await self._add_server(leaving.service)
        violations += await steps.check_leaving(leaving, self._operator)
        self._kill(leaving)
        await self._operator.put(f"servers/{leaving.id}", None)
        return violations

    async def _send_orders_to_capped_entry(self) -> list[check.SentRequest]:
        self._last_fault_at = time.time()
        orders = await steps.send_orders_to_capped_entry(
            self._random.choice(self._entries),
            lambda: self._create_request("order", self._keys[-1]),
        )
        self._last_fault_at = time.time()
        return orders

    async def _send_crashing_requests(self) -> dict[str, list[float]]:
        """Let callers crash servers; return the times for each service."""
        crashes: dict[str, list[float]] = {"model": [], "shop": []}
        # A proxy accepts connections to a crashed server, so that probes open.
        for server in [each for each in self._servers if each.running]:
            await self._expose(server)
        await asyncio.sleep(1.0)
        self._crashing = True
        deadline = time.time() + CRASH_TIME
        while time.time() < deadline:
            for server in [each for each in self._servers if not each.running]:
                if server.id not in self._killed:
                    self._killed.add(server.id)
                    crashes[server.service].append(time.time())
                    await self._operator.put(f"servers/{server.id}", None)
                    await self._expose(await self._add_server(server.service))
            await asyncio.sleep(0.05)
        self._crashing = False
        return crashes

    async def _expose(self, server: Server) -> None:
        """List a server without its proxy."""
        server.proxied = False
        await self._operator.put(f"servers/{server.id}", server.registration())

    # Faults

    async def _inject_faults(self) -> None:
        """Start random faults one after another, so that they overlap."""
        deadline = time.time() + self._options.seconds
        running_faults: set[asyncio.Task] = set()
        faults = [
            self._kill_entry,
            self._stop_entry,
            self._pause_entry,
            self._cap_entry,
            self._reload_entry,
            self._kill_server,
            self._drain_server,
            self._pause_server,
            self._impair_server_connection,
            self._impair_store_connection,
            self._pause_store,
            self._restore_store,
            self._rotate_key,
            self._publish_configs_rapidly,
            self._compact_store,
            self._narrow_link,
        ]
        while time.time() < deadline:
            fault = self._random.choice(faults)
            print(f"{time.time():.2f} {fault.__name__.strip('_')}", flush=True)
            running_faults.add(asyncio.create_task(self._run_fault(fault)))
            await asyncio.sleep(self._random.uniform(0.2, 2.5))
        await asyncio.gather(*running_faults)

    async def _run_fault(self, fault: t.Callable[[], t.Awaitable[None]]) -> None:
        self._last_fault_at = time.time()
        await fault()
        self._last_fault_at = time.time()

    async def _clear_faults(self) -> None:
        for entry in self._entries:
            entry.signal(signal.SIGCONT)
            if not entry.running:
                entry.start()
        for proxied in (*self._entries, *self._servers):
            proxied.proxy.set_mode(Mode.PASS)
        for server in self._servers:
            server.signal(signal.SIGCONT)
        self._store.signal(signal.SIGCONT)
        self._last_fault_at = time.time()

    async def _kill_entry(self) -> None:
        entry = self._random.choice(self._entries)
        entry.kill()
        await asyncio.sleep(self._random.uniform(0.1, 1.0))
        if not entry.running:
            entry.start()

    async def _stop_entry(self) -> None:
        entry = self._random.choice(self._entries)
        entry.signal(signal.SIGTERM)
        if not await entry.exits_within(GRACE_PERIOD):
            entry.kill()
        if not entry.running:
            entry.start()

    async def _pause_entry(self) -> None:
        entry = self._random.choice(self._entries)
        entry.signal(signal.SIGSTOP)
        await asyncio.sleep(self._random.uniform(0.2, 3.0))
        entry.signal(signal.SIGCONT)

    async def _cap_entry(self) -> None:
        entry = self._random.choice(self._entries)
        await entry.run_capped(self._random.uniform(0.5, 5.0))

    async def _reload_entry(self) -> None:
        self._random.choice(self._entries).signal(signal.SIGHUP)

    def _pick_server(self) -> Server | None:
        """Return a random server, or None if its service has no other."""
        alive = [server for server in self._servers if server.running]
        server = self._random.choice(alive)
        peers = [other for other in alive if other.service == server.service]
        return server if len(peers) > 1 else None

    async def _kill_server(self) -> None:
        server = self._pick_server()
        if server is None:
            return
        self._kill(server)
        await self._add_server(server.service)
        await asyncio.sleep(self._random.uniform(0.5, 3.0))
        await self._operator.put(f"servers/{server.id}", None)

    async def _drain_server(self) -> None:
        server = self._pick_server()
        if server is None:
            return
        await self._add_server(server.service)
        registration = server.registration("draining")
        await self._operator.put(f"servers/{server.id}", registration)
        self._draining.append(check.Change(server.id, time.time()))
        await asyncio.sleep(self._random.uniform(3.0, 5.0))
        await self._operator.put(f"servers/{server.id}", None)
        self._kill(server)

    def _kill(self, server: Server) -> None:
        self._killed.add(server.id)
        server.kill()

    async def _pause_server(self) -> None:
        server = self._pick_server()
        if server is not None:
            server.signal(signal.SIGSTOP)
            await asyncio.sleep(self._random.uniform(0.3, 3.0))
            server.signal(signal.SIGCONT)

    async def _impair_server_connection(self) -> None:
        server = self._pick_server()
        if server is not None:
            await self._impair_proxy(server.proxy)

    async def _impair_store_connection(self) -> None:
        for entry in self._random.sample(self._entries, 1):
            await self._impair_proxy(entry.proxy)

    async def _impair_proxy(self, proxy) -> None:
        mode = self._random.choice(list(Mode))
        if mode is Mode.PASS:
            proxy.reset()
            return
        proxy.set_mode(mode, delay=self._random.uniform(0.05, 0.4))
        await asyncio.sleep(self._random.uniform(0.5, 5.0))
        if self._random.random() < 0.5:
            proxy.reset()
        proxy.set_mode(Mode.PASS)

    async def _pause_store(self) -> None:
        self._store.signal(signal.SIGSTOP)
        await asyncio.sleep(self._random.uniform(0.5, 4.0))
        self._store.signal(signal.SIGCONT)

    async def _restore_store(self) -> None:
        await self._operator.copy_store()
        await asyncio.sleep(self._random.uniform(0.5, 5.0))
        await self._operator.restore_store()

    async def _compact_store(self) -> None:
        await self._operator.compact_store()

    async def _narrow_link(self) -> None:
        """Let versions of a large configuration arrive over a thin link."""
        proxy = self._random.choice(self._entries).proxy
        proxy.link_rate = LINK_RATE * BYTES_PER_MEGABIT
        self._add_routes()
        await self._publish_configs_rapidly()
        await asyncio.sleep(self._random.uniform(0.0, 3.0))
        self._added_routes = []
        await self._publish_config()
        proxy.link_rate = None

    async def _rotate_key(self) -> None:
        """Revoke a key for good and give callers another one."""
        if len(self._keys) > 1:
            key = self._keys.pop(0)
            self._keys.append(f"key-{next(self._numbers)}")
            await self._publish_config()
            self._revoked.append(check.Change(key, time.time()))

    async def _publish_configs_rapidly(self) -> None:
        for _ in range(self._random.randint(2, 8)):
            await self._publish_config()
            await asyncio.sleep(self._random.uniform(0.02, 0.3))


async def run_seed(options: argparse.Namespace, seed: int) -> list[str]:
    """Run one seed in its own folder, print the result, return violations."""
    options = argparse.Namespace(**{**vars(options), "seed": seed})
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    soak = Soak(options, folder)
    violations = await soak.run()
    statuses = [request.status for request in soak._sent]
    served = sum(1 for status in statuses if status == 200)
    outcome = "FAILED" if violations else "ok"
    print(f"seed {seed}: {outcome}, {len(statuses)} sent, {served} answered 200")
    print(f"    capped entry: {soak.capped_orders}", flush=True)
    by_kind = collections.defaultdict(list)
    for line in violations:
        by_kind[line.partition(":")[0]].append(line)
    for lines in by_kind.values():
        for line in lines[:PRINTED_VIOLATIONS]:
            print(f"    {line}")
        if len(lines) > PRINTED_VIOLATIONS:
            print(f"    and {len(lines) - PRINTED_VIOLATIONS} more of this kind")
    if violations:
        print(f"    logs: {folder}")
    return violations


def main(argv: t.Sequence[str] | None = None) -> int:
    """Run seeds one after another and return 1 if any has a violation."""
    parser = argparse.ArgumentParser(prog="python -m soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=None, help="random if omitted")
    parser.add_argument("--seeds", type=int, default=1, help="to run, from --seed on")
    parser.add_argument("--seconds", type=float, default=20.0, help="of faults")
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--servers", type=int, default=6)
    options = parser.parse_args(argv)
    first = options.seed
    if first is None:
        first = random.SystemRandom().randrange(1, 10_000)
    failed = 0
    for seed in range(first, first + options.seeds):
        failed += bool(asyncio.run(run_seed(options, seed)))
    print(f"{options.seeds - failed} seeds ok, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
