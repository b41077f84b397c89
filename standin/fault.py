"""Faults of a stand-in, and the HTTP handler that sets them."""

import asyncio
import dataclasses
import typing as t

import msgspec
from starlette.requests import Request
from starlette.responses import JSONResponse, Response

from .server import abort_connection

HANG_POLL_INTERVAL = 0.01  # seconds between checks whether the hang is over


@dataclasses.dataclass(slots=True, kw_only=True)
class Faults:
    """The faults in effect."""

    die: bool = False  # abort all requests; an engine also drops its state
    hang: bool = False  # accept requests without processing them
    slow: float = 1.0  # factor on all times
    lose_answers: int = 0  # next requests to run and then abort unanswered
    late: float = 0.0  # seconds by which each answer is delayed

    def should_lose_answer(self) -> bool:
        """Return whether to lose the current answer, and count it."""
        if self.lose_answers <= 0:
            return False
        self.lose_answers -= 1
        return True

    async def wait_while_hanging(self) -> None:
        """Return once the stand-in does not hang."""
        while self.hang:
            await asyncio.sleep(HANG_POLL_INTERVAL)


class FaultsEndpoint:
    """An HTTP handler that reads and changes the faults of a stand-in."""

    def __init__(self, faults: t.Any, on_change: t.Callable[[], None] = lambda: None):
        self._faults = faults
        self._on_change = on_change

    async def __call__(self, request: Request) -> Response:
        """Change the faults named in a POST, and answer with all faults."""
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
    """Apply death and hangs to a request; return whether to process it."""
    if faults.die:
        await abort_connection(request)
        return False
    await faults.wait_while_hanging()
    return True
