"""Lets the store come back from a copy, and changes the configuration."""

import asyncio
import collections
import itertools
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from harness import (  # noqa: E402
    BOUNDS,
    HEARTBEAT_MS,
    HOST,
    LIMITS,
    TROUBLE,
    Case,
    Message,
    Server,
    format_answer,
    format_request,
    play,
    read_message,
)

WORK = 0.0225  # seconds of a run, as on the sheet
BUDGET_MS = 600
RATE = 60  # orders per second
ENTRIES = 3
SERVERS = 3  # of each of two services
COPY_AGE = 5.0  # seconds: what was written since is gone
AWAY_TIME = 0.4  # seconds
CHANGE_AFTER = 1.0  # seconds from the return to a new configuration
# The bounds of kmmca-moldline-grown, which has at least seven entries a zone.
GROWN_BOUNDS = {
    **BOUNDS,
    "stableWindowMs": 4000,
    "ackMs": 6000,
    "catchUpS": 6,
    "drainMs": 3000,
    "configApplyMs": 3000,
    "stretchMaxMs": 6000,
    "budgetExtra": 120,
    "recoveryS": 15,
    "passMs": 200,
}
STABLE = GROWN_BOUNDS["stableWindowMs"] / 1000
APPLY = GROWN_BOUNDS["configApplyMs"] / 1000
WATCHED_TIME = 15.0  # seconds after the change


def build_config(version: int, service: str) -> dict:
    """Return a configuration that sends orders to a service."""
    route = {
        "name": "steel-order",
        "host": "shop.example",
        "prefix": "/order/",
        "kind": "unsafe",
        "service": service,
        "timeoutMs": BUDGET_MS,
        "targetLatencyMs": 125,
        "maxAttempts": 1,
        "priority": 2,
    }
    services = [{"name": "purchasing"}, {"name": "purchasing-new"}]
    return {
        "version": version,
        "routes": [route],
        "services": services,
        "limits": LIMITS,
    }


class OrderServer(Server):
    """Registers an order and answers 800 bytes."""

    async def run(self, request: Message, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(WORK)
        writer.write(format_answer(200, self.signed(request), b"o" * 800))
        await writer.drain()


class Orders:
    """Orders that are sent to all entries in turn."""

    def __init__(self, case: Case) -> None:
        self.sent_at: dict[str, float] = {}
        self.entries: dict[str, str] = {}  # names, by the order's id
        self.answers: dict[str, int | str] = {}
        self._case = case

    async def send(self) -> None:
        """Send orders at a fixed rate until cancelled."""
        started_at = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for number in itertools.count(1):
                group.create_task(self._send_one(number))
                await asyncio.sleep(started_at + number / RATE - time.monotonic())

    async def _send_one(self, number: int) -> None:
        id = f"{number:016x}"
        entry = self._case.entries[number % ENTRIES]
        self.entries[id] = entry.name
        try:
            async with asyncio.timeout(BUDGET_MS / 1000):
                reader, writer = await asyncio.open_connection(HOST, entry.port)
                self.sent_at[id] = time.monotonic()
                body = b"steel" * 120
                writer.write(format_request("POST", "/order/1", id, BUDGET_MS, body))
                answer = await read_message(reader)
                self.answers[id] = answer.status if answer else "closed"
                writer.close()
        except (OSError, TimeoutError) as error:
            self.answers[id] = type(error).__name__
        self._case.record.write(
            "answer", request=id, entry=entry.name, status=self.answers[id]
        )


async def write_heartbeats(case: Case, servers: list[OrderServer]) -> None:
    """Write the servers' entries in turn until cancelled."""
    for server in itertools.cycle(servers):
        server.register(case.store)
        await asyncio.sleep(HEARTBEAT_MS / 1000 / len(servers))


async def main(case: Case) -> list[str]:
    """Return the orders that the old service ran too late."""
    case.store.write("op/config", build_config(3, "purchasing"))
    old = [OrderServer(case.record, f"i-old-{n}", "purchasing") for n in range(SERVERS)]
    new = [
        OrderServer(case.record, f"i-new-{n}", "purchasing-new") for n in range(SERVERS)
    ]
    for server in [*old, *new]:
        await server.start(case.store)
    await case.start_entries(ENTRIES, bounds=GROWN_BOUNDS)
    orders = Orders(case)
    tasks = [asyncio.create_task(orders.send())]
    tasks.append(asyncio.create_task(write_heartbeats(case, [*old, *new])))
    await asyncio.sleep(4.0)
    copy = case.store.copy()
    await asyncio.sleep(COPY_AGE)
    back_at = time.monotonic()
    if TROUBLE:
        await case.store.come_back_from(copy, AWAY_TIME)
        back_at = time.monotonic()
        for server in [*old, *new]:  # what the servers wrote is written again
            server.register(case.store)
    await asyncio.sleep(CHANGE_AFTER)
    case.store.write("op/config", build_config(7, "purchasing-new"))
    changed_at = time.monotonic()
    await asyncio.sleep(WATCHED_TIME)
    for task in tasks:
        task.cancel()
    await asyncio.wait(tasks)
    print("answers:", dict(collections.Counter(orders.answers.values())))
    bound = max(changed_at + APPLY, back_at + STABLE)
    return [
        f"CONFIG: order {id}, sent {orders.sent_at[id] - changed_at:.2f} s after the "
        f"change to {orders.entries[id]}, was run by the old service"
        for server in old
        for id in server.runs
        if orders.sent_at[id] > bound
    ]


play(__file__, main)
