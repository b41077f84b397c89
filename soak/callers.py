"""Callers that send requests to an entry and record the answers."""

import asyncio
import time
import typing as t

from bench.deployment import TICKS, cpu_seconds
from tests.platform_case import Caller

from . import cap, check
from .fleet import Entry

ORDER_INTERVAL = 1.0  # seconds between the orders of a caller
ORDER_TIMEOUT = 4.0  # seconds until a caller leaves, longer than the route allows
MEASURED_TIME = 1.5  # seconds in which the cost of an order is measured
MEASURED_CALLERS = 10
CALLER_COUNTS = (20, 400)  # fewest and most that load a capped entry

CreateRequest = t.Callable[[], check.SentRequest]


async def send_request(
    caller: Caller, request: check.SentRequest, path: str, **fields: str
) -> bool:
    """Send a request; return whether the connection can be reused.

    A request without an answer keeps its status of None.
    """
    try:
        caller.send(
            path, request.body.encode(), key=request.key, id=request.id, **fields
        )
        answer = await caller.read()
    except (OSError, EOFError, TimeoutError):
        return False
    request.status, request.complete = answer.status, answer.complete
    request.answer, request.events = answer.body, tuple(answer.events)
    return answer.complete and answer.headers.get("connection") != "close"


async def measure_order_cost(entry: Entry, create_order: CreateRequest) -> float:
    """Return the seconds of processor time that an order takes an entry."""
    used = cpu_seconds(entry.pid)
    until = time.monotonic() + MEASURED_TIME
    orders = await asyncio.gather(
        *(
            _send_orders(entry, create_order, until, interval=0.0)
            for _ in range(MEASURED_CALLERS)
        )
    )
    used = max(cpu_seconds(entry.pid) - used, 1 / TICKS)
    return used / sum(len(each) for each in orders)


async def load_capped_entry(
    entry: Entry, create_order: CreateRequest, cost: float, load: float, seconds: float
) -> list[check.SentRequest]:
    """Cap an entry, and send it a load of orders.

    The load is the processor time that the orders take against what the cap
    leaves.  The callers begin one after another in half of the time.
    """
    fewest, most = CALLER_COUNTS
    count = min(max(int(load * cap.SHARE * ORDER_INTERVAL / cost), fewest), most)
    started_at = time.monotonic()
    _, *orders = await asyncio.gather(
        entry.run_capped(seconds),
        *(
            _send_orders(
                entry,
                create_order,
                until=started_at + seconds,
                interval=ORDER_INTERVAL,
                delay=seconds / 2 * number / count,
            )
            for number in range(count)
        ),
    )
    return [order for each in orders for order in each]


async def _send_orders(
    entry: Entry,
    create_order: CreateRequest,
    until: float,
    interval: float,
    delay: float = 0.0,
) -> list[check.SentRequest]:
    """Send one order after another over a connection that is kept."""
    await asyncio.sleep(delay)
    orders: list[check.SentRequest] = []
    caller = None
    while (now := time.monotonic()) < until:
        order = create_order()
        orders.append(order)
        reusable = False
        try:
            async with asyncio.timeout(ORDER_TIMEOUT):
                if caller is None:
                    caller = await Caller.open(f"127.0.0.1:{entry.caller_port}")
                reusable = await send_request(caller, order, "/order/x")
        except (OSError, TimeoutError):
            pass  # the order has no status
        if caller is not None and not reusable:
            caller.close()
            caller = None
        await asyncio.sleep(max(interval - (time.monotonic() - now), 0.0))
    if caller is not None:
        caller.close()
    return orders
