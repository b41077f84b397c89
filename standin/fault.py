"""Faults that a stand-in can be switched to, over HTTP."""

import asyncio
import dataclasses
import typing as t

import msgspec
from starlette.requests import Request
from starlette.responses import JSONResponse, Response

from .server import abort_connection

POLL = 0.01  # seconds


@dataclasses.dataclass(slots=True, kw_only=True)
class Faults:
    """The faults in force; lose_answers counts the answers to lose."""

    die: bool = False  # cut every connection, forget all, until revived
    hang: bool = False  # take requests and do nothing
    slow: float = 1.0  # factor on all times
    lose_answers: int = 0  # do the work, then cut the connection
    late: float = 0.0  # seconds that each answer is held back

    def lose(self) -> bool:
        """Tell whether the answer at hand is to be lost."""
        if self.lose_answers <= 0:
            return False
        self.lose_answers -= 1
        return True

    async def pass_hang(self) -> None:
        """Wait while the stand-in hangs."""
        while self.hang:
            await asyncio.sleep(POLL)


class Switch:
    """Handles calls that read or change the faults."""

    def __init__(self, faults: t.Any, changed: t.Callable[[], None] = lambda: None):
        self._faults = faults
        self._changed = changed

    async def __call__(self, request: Request) -> Response:
        """Answer with the faults, after changing those that are named."""
        if request.method == "POST":
            current = dataclasses.asdict(self._faults)
            wanted = current | msgspec.json.decode(await request.body())
            try:
                checked = msgspec.convert(wanted, type(self._faults))
            except msgspec.ValidationError as error:
                return JSONResponse({"error": str(error)}, 400)
            if unknown := sorted(wanted.keys() - current.keys()):
                return JSONResponse({"error": f"unknown faults {unknown}"}, 400)
            for field in dataclasses.fields(self._faults):
                setattr(self._faults, field.name, getattr(checked, field.name))
            self._changed()
        return JSONResponse(dataclasses.asdict(self._faults))


async def meet(request: Request, faults: Faults) -> bool:
    """Apply what strikes on arrival; tell whether to go on."""
    if faults.die:
        await abort_connection(request)
        return False
    await faults.pass_hang()
    return True
