"""Steps of a soak test that follow the faults, each with its check."""

import asyncio
import contextlib
import json
import signal
import time
import typing as t

from chicorycove.direct.client import HttpClient
from tests.platform_case import Caller

from . import callers, check
from .fleet import Entry, Operator, Process, Server

LIMIT = 2.0  # requests a second that a server names
BACKOFF = 3.0  # seconds that a server names as it refuses requests
LISTING_INTERVAL = 0.4  # seconds between listings of a server
AWAY_TIME = 1.2  # seconds for which the store stays away from restarted entries
CALLERS_PER_ENTRY = 5
# Processor time that orders to a capped entry take, against what it has.
CAPPED_LOADS = (0.7, 1.0, 1.4)
CAP_TIME = 4.0  # seconds
CAP_PAUSE = 1.0  # seconds between two caps


async def check_rate_limit(server: Server) -> list[str]:
    """Let a server name a limit, and check what it gets."""
    started_at = time.monotonic()
    arrivals, _ = await _set_and_count(
        server, "limit", LIMIT, check.STABLE_TIME + check.LIMIT_WINDOW + 1.0
    )
    # Nothing binds before an answer has named the limit.
    named_at = min((at for at in arrivals if at > started_at), default=started_at)
    start = named_at + check.STABLE_TIME
    return check.check_rate_limit(arrivals, LIMIT, start, time.monotonic())


async def check_backoff(
    server: Server, operator: Operator, entry_count: int
) -> list[str]:
    """Let a server refuse all requests for a time, and check what it gets.

    The platform lists the server again and again meanwhile.
    """
    started_at = time.monotonic()
    async with _listed_again(server, operator):
        requests, orders = await _set_and_count(server, "backoff", BACKOFF, 3 * BACKOFF)
    refused_at = [at for at in sorted(requests + orders) if at > started_at]
    return check.check_backoff(refused_at, BACKOFF, entry_count)


async def check_leaving(server: Server, operator: Operator) -> list[str]:
    """Let a server that is listed again say that it leaves."""
    started_at = time.monotonic()
    async with _listed_again(server, operator):
        arrivals, _ = await _set_and_count(server, "leaving", 1, check.DRAIN_TIME + 3.0)
    told_at = [at for at in arrivals if at > started_at]
    return check.check_leaving(told_at)


async def send_orders_to_capped_entry(
    entry: Entry, create_order: callers.CreateRequest
) -> list[check.SentRequest]:
    """Send an entry orders while its processor time is capped.

    The servers' logs show later how often each order ran.
    """
    cost = await callers.measure_order_cost(entry, create_order)
    orders = []
    for load in CAPPED_LOADS:
        orders += await callers.load_capped_entry(
            entry, create_order, cost, load, CAP_TIME
        )
        await asyncio.sleep(CAP_PAUSE)
    return orders


async def check_cold_start(
    entries: list[Entry],
    store: Process,
    create_request: callers.CreateRequest,
) -> list[str]:
    """Restart all entries while the store is away, and check their callers."""
    store.signal(signal.SIGSTOP)
    for entry in entries:
        entry.kill()
        entry.start()
    sending = [
        asyncio.create_task(_send_until_accepted(entry, create_request()))
        for entry in entries
        for _ in range(CALLERS_PER_ENTRY)
    ]
    for entry in entries:
        await _wait_until_listening(entry)
    await asyncio.sleep(AWAY_TIME)
    store.signal(signal.SIGCONT)
    requests = await asyncio.gather(*sending)
    return check.check_cold_start([request.status for request in requests])


@contextlib.asynccontextmanager
async def _listed_again(server: Server, operator: Operator) -> t.AsyncIterator[None]:
    """List a server again and again, as the same incarnation."""

    async def list_repeatedly() -> None:
        while True:
            await asyncio.sleep(LISTING_INTERVAL)
            await operator.put(f"servers/{server.id}", None)
            await operator.put(f"servers/{server.id}", server.registration())

    task = asyncio.create_task(list_repeatedly())
    try:
        yield
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await operator.put(f"servers/{server.id}", server.registration())


async def _set_and_count(
    server: Server, name: str, value: float, seconds: float
) -> tuple[list[float], list[float]]:
    """Let a server say something for some time.

    Return the times of all requests and of all orders that it got.
    """
    client = HttpClient(f"127.0.0.1:{server.port}")
    await client.call("POST", f"/standin/{name}", str(value).encode())
    await asyncio.sleep(seconds)
    await client.call("POST", f"/standin/{name}")
    reply = await client.call("GET", "/standin/arrivals", timeout=5.0)
    client.close()
    arrivals = json.loads(reply.body)
    return arrivals["requests"], arrivals["orders"]


async def _wait_until_listening(entry: Entry) -> None:
    async with asyncio.timeout(15.0):
        while True:
            try:
                caller = await Caller.open(f"127.0.0.1:{entry.caller_port}")
            except OSError:
                await asyncio.sleep(0.05)
                continue
            caller.close()
            return


async def _send_until_accepted(
    entry: Entry, request: check.SentRequest
) -> check.SentRequest:
    """Send a request once an entry listens, and record the status."""
    await _wait_until_listening(entry)
    caller = await Caller.open(f"127.0.0.1:{entry.caller_port}")
    try:
        await callers.send_request(caller, request, f"/{request.route}/x", method="GET")
    finally:
        caller.close()
    return request
