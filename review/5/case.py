"""Takes a server away shortly after a watch of the store was cut."""

import asyncio
import collections
import itertools
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from harness import (  # noqa: E402
    BOUNDS,
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
RATE = 100  # orders per second
ROUNDS = 10
CALM = 3.2  # seconds before each round
CUT_BEFORE = 1.4  # seconds from the cut of a watch to the removal
DRAIN = BOUNDS["drainMs"] / 1000
EXIT_AFTER = 0.06  # seconds for which a server serves beyond the drain time

CONFIG = {
    "version": 3,
    "routes": [
        {
            "name": "steel-order",
            "host": "shop.example",
            "prefix": "/order/",
            "kind": "unsafe",
            "service": "purchasing",
            "timeoutMs": BUDGET_MS,
            "targetLatencyMs": 125,
            "maxAttempts": 1,
            "priority": 2,
        }
    ],
    "services": [{"name": "purchasing"}],
    "limits": LIMITS,
}


class OrderServer(Server):
    """Registers an order and answers 800 bytes."""

    gone_at = float("inf")  # when the store acknowledged that it is gone

    def __init__(self, case: Case, id: str) -> None:
        super().__init__(case.record, id, "purchasing")
        self.late: list[str] = []  # orders that came after the drain time

    async def run(self, request: Message, writer: asyncio.StreamWriter) -> None:
        if time.monotonic() > self.gone_at + DRAIN:
            self.late.append(request.headers["chicorycove-attempt-id"])
        await asyncio.sleep(WORK)
        writer.write(format_answer(200, self.signed(request), b"o" * 800))
        await writer.drain()


async def send_order(case: Case, port: int, id: str, answers: dict) -> None:
    """Send an order on a channel of its own."""
    try:
        async with asyncio.timeout(BUDGET_MS / 1000):
            reader, writer = await asyncio.open_connection(HOST, port)
            body = b"steel" * 120
            writer.write(format_request("POST", "/order/1", id, BUDGET_MS, body))
            answer = await read_message(reader)
            answers[id] = answer.status if answer else "closed"
            writer.close()
    except (OSError, TimeoutError) as error:
        answers[id] = type(error).__name__
    case.record.write("answer", request=id, status=answers[id])


async def send_orders(case: Case, port: int, answers: dict) -> None:
    """Send orders at a fixed rate until cancelled."""
    started_at = time.monotonic()
    tasks = set()
    for number in itertools.count(1):
        task = asyncio.create_task(send_order(case, port, f"{number:016x}", answers))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(started_at + number / RATE - time.monotonic())


async def main(case: Case) -> list[str]:
    """Return the orders that reached a server later than the drain time."""
    case.store.write("op/config", CONFIG)
    lasting = OrderServer(case, "i-lasting")
    await lasting.start(case.store)
    entry = await case.start_entry()
    answers: dict[str, int | str] = {}
    sender = asyncio.create_task(send_orders(case, entry.port, answers))
    late, lost = [], []
    for number in range(ROUNDS):
        server = OrderServer(case, f"i-{number}")
        await server.start(case.store)
        await asyncio.sleep(CALM)
        if TROUBLE:
            case.store.cut_watches()
        await asyncio.sleep(CUT_BEFORE)
        lasting.register(case.store)  # as it does about every heartbeatMs
        await asyncio.sleep(0.02)
        case.store.write(f"servers/{server.id}", None)
        server.gone_at = time.monotonic()
        await asyncio.sleep(DRAIN + EXIT_AFTER)
        server.exit()
        await asyncio.sleep(0.5)
        late += server.late
        lost += [id for id in server.runs if answers.get(id) != 200]
    sender.cancel()
    print("answers:", dict(collections.Counter(answers.values())))
    print("orders that ran without a success:", lost)
    case.record.write("unanswered", requests=lost)
    return [f"DRAIN: order {id} came after the drain time" for id in late]


play(__file__, main)
