"""Faults that a stand-in can be switched to, over HTTP."""

import asyncio
import dataclasses
import typing as t

import msgspec
from starlette.requests import Request
from starlette.responses import JSONResponse, Response

from .server import abort_connection

HANG_POLL_INTERVAL = 0.01  # seconds


@dataclasses.dataclass(slots=True, kw_only=True)
class Faults:
    """The faults in force; lose_answers counts the answers to lose."""

    die: bool = False  # cut every connection, forget all, until revived
    hang: bool = False  # take requests and do nothing
    slow: float = 1.0  # factor on all times
    lose_answers: int = 0  # do the work, then cut the connection
    late: float = 0.0  # seconds that each answer is held back

    def should_lose_answer(self) -> bool:
        """Tell whether the answer at hand is to be lost."""
        if self.lose_answers <= 0:
            return False
        self.lose_answers -= 1
        return True

    async def wait_while_hanging(self) -> None:
        """Wait while the stand-in hangs."""
        while self.hang:
            await asyncio.sleep(HANG_POLL_INTERVAL)


class FaultsEndpoint:
    """Handles calls that read or change the faults."""

    def __init__(self, faults: t.Any, on_change: t.Callable[[], None] = lambda: None):
        self._faults = faults
        self._on_change = on_change

    async def __call__(self, request: Request) -> Response:
        """Answer with the faults, after changing those that are named."""
        if request.method == "POST":
            current = dataclasses.asdict(self._faults)
            requested = current | msgspec.json.decode(await request.body())
            try:
                checked = msgspec.convert(requested, type(self._faults))
            except msgspec.ValidationError as error:
                return JSONResponse({"error": str(error)}, 400)
            if unknown := sorted(requested.keys() - current.keys()):
                return JSONResponse({"error": f"unknown faults {unknown}"}, 400)
            for field in dataclasses.fields(self._faults):
                setattr(self._faults, field.name, getattr(checked, field.name))
            self._on_change()
        return JSONResponse(dataclasses.asdict(self._faults))


async def apply_arrival_faults(request: Request, faults: Faults) -> bool:
    """Apply what strikes on arrival; tell whether to go on."""
    if faults.die:
        await abort_connection(request)
        return False
    await faults.wait_while_hanging()
    return True
