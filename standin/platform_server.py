"""A stand-in for a server of the users' platform.

It answers plain calls and streams, and keeps memory reservations.
"""

import asyncio
import dataclasses
import itertools
import json
import os
import time
import typing as t

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from . import server

METHODS = ["GET", "POST", "PUT", "PATCH", "DELETE"]
MAX_RESERVATIONS = 64
CRASH_DELAY = 0.05  # seconds from the start of a run that crashes a server
EVENT_TOKENS = 46  # tokens of an answer in one event
_instance_numbers = itertools.count(1)


@dataclasses.dataclass(slots=True)
class Faults:
    """The faults that the next requests meet."""

    refusals: int = 0  # requests answered with 503 as not executed
    failures: int = 0  # requests that run and are answered with 500
    lost_answers: int = 0  # requests that run and get no answer
    abort_after: int | None = None  # events after which one stream is aborted
    abort_mid_event: bool = False  # whether that happens within an event
    stray_answers: int = 0  # answers to another request, before the right one
    hang: bool = False  # requests run and get no answer until this is reset
    pause: float = 0.0  # seconds between events


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A request that a server started to run."""

    attempt: str
    method: str
    path: str
    body: bytes
    headers: dict[str, str]
    time: float


class PlatformServer:
    """A server and the handlers of its HTTP interface; memory is in tokens."""

    def __init__(
        self,
        service: str,
        memory: int = 450_000,
        slots: int = 8,
        id: str | None = None,
        on_run: t.Callable[[Run], None] | None = None,
        on_crash: t.Callable[[], None] | None = None,
    ) -> None:
        self.id = id or f"i-{next(_instance_numbers):08x}"
        self._on_run = on_run
        self._on_crash = on_crash
        self.service = service
        self.faults = Faults()
        self.runs: list[Run] = []
        self.open_streams = 0
        self.reservations: dict[str, int] = {}
        self.rate_limit: str | None = None  # named in all answers to requests
        # Named as all requests and orders are refused.
        self.retry_after: str | None = None
        self.leaving = False  # named in all answers to requests
        # Times of requests and of orders, those refused included.
        self.arrivals: list[float] = []
        self.order_arrivals: list[float] = []
        self.crashing_part: str | None = None  # part of prompts that crash it
        self.crashing_path: str | None = None  # path of requests that crash it
        self.crashed = asyncio.Event()
        self._memory = memory
        self._slots = slots

    def app(self) -> Starlette:
        """Return the application of the HTTP interface."""
        return Starlette(
            routes=[
                Route("/chicorycove/order", self._order, methods=["POST"]),
                Route("/standin/tickets", self._show_reservations),
                Route("/standin/limit", self._set_rate_limit, methods=["POST"]),
                Route("/standin/backoff", self._set_retry_after, methods=["POST"]),
                Route("/standin/leaving", self._set_leaving, methods=["POST"]),
                Route("/standin/arrivals", self._show_arrivals),
                Route("/{path:path}", self._call, methods=METHODS),
            ]
        )

    def registration(
        self, address: str, state: str = "ready", born: int = 1, zone: str = "here"
    ) -> dict:
        """Return the value that the server registers itself with."""
        return {
            "service": self.service,
            "address": address,
            "zone": zone,
            "version": "v1",
            "slots": self._slots,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": 0,
            "born": born,
        }

    async def _order(self, request: Request) -> Response:
        order = await request.json()
        self.order_arrivals.append(time.monotonic())
        if self.retry_after is not None:
            headers = {"Chicorycove-Not-Executed": "1"}
            headers["Retry-After"] = self.retry_after
            return Response(status_code=503, headers=headers)
        match order["operation"]:
            case "reserve":
                held = sum(self.reservations.values()) - self.reservations.get(
                    order["id"], 0
                )
                free = self._memory - held
                if order["tokens"] > free or len(self.reservations) >= MAX_RESERVATIONS:
                    return JSONResponse({"free": free}, 409)
                self.reservations[order["id"]] = order["tokens"]
                return JSONResponse({"free": free - order["tokens"]})
            case "release":
                self.reservations.pop(order["id"], None)
                return JSONResponse({"free": self._memory})
            case _:
                return JSONResponse({}, 400)

    async def _show_reservations(self, request: Request) -> Response:
        return JSONResponse(self.reservations)

    async def _set_rate_limit(self, request: Request) -> Response:
        self.rate_limit = (await request.body()).decode() or None
        return Response()

    async def _set_retry_after(self, request: Request) -> Response:
        self.retry_after = (await request.body()).decode() or None
        return Response()

    async def _set_leaving(self, request: Request) -> Response:
        self.leaving = bool(await request.body())
        return Response()

    async def _show_arrivals(self, request: Request) -> Response:
        return JSONResponse({"requests": self.arrivals, "orders": self.order_arrivals})

    async def _call(self, request: Request) -> Response:
        body = await request.body()
        self.arrivals.append(time.monotonic())
        attempt = request.headers.get("chicorycove-attempt-id", "")
        echo = {"Chicorycove-Attempt-Id": attempt}
        if self.rate_limit is not None:
            echo["Server-Limit"] = self.rate_limit
        if self.leaving:
            echo["Server-Leaving"] = "1"
        if request.headers.get("chicorycove-expect-instance", self.id) != self.id:
            return Response(status_code=421, headers=echo)
        if not attempt:
            return Response(status_code=400, headers={"Chicorycove-Not-Executed": "1"})
        if self.faults.refusals or self.retry_after is not None:
            self.faults.refusals = max(self.faults.refusals - 1, 0)
            headers = {**echo, "Chicorycove-Not-Executed": "1"}
            if self.retry_after is not None:
                headers["Retry-After"] = self.retry_after
            return Response(status_code=503, headers=headers)
        path = request.url.path
        if request.url.query:
            path += f"?{request.url.query}"
        headers = dict(request.headers)
        run = Run(attempt, request.method, path, body, headers, time=time.monotonic())
        self.runs.append(run)
        if self._on_run is not None:
            self._on_run(run)
        signature = {**echo, "Chicorycove-Response-Signature": f"{self.id}.{attempt}"}
        while self.faults.hang:
            await asyncio.sleep(0.01)
        if self.faults.lost_answers:
            self.faults.lost_answers -= 1
            await server.abort_connection(request)
            return Response()
        if path == self.crashing_path:
            await self._crash()
        if self.faults.failures:
            self.faults.failures -= 1
            return Response(b"failed", 500, signature)
        parts = request.headers.get("chicorycove-prompt-prefix", "")
        if self.crashing_part is not None and self.crashing_part in parts:
            return StreamingResponse(self._begin_and_crash(), 200, signature)
        if "chicorycove-token-counts" in request.headers:
            stream = self._stream_events(request)
            return StreamingResponse(stream, 200, signature, "text/event-stream")
        return Response(body or path.encode(), 200, signature)

    async def _begin_and_crash(self):
        yield b"id: 1\n"
        await self._crash()

    async def _crash(self) -> None:
        await asyncio.sleep(CRASH_DELAY)
        self.crashed.set()
        if self._on_crash is not None:
            self._on_crash()
        await asyncio.Event().wait()

    async def _stream_events(self, request: Request):
        output = int(request.headers["chicorycove-token-counts"].split(",")[1])
        first = int(request.headers.get("last-event-id", "0")) + 1
        last = max(1, output // EVENT_TOKENS)
        self.open_streams += 1
        try:
            for number in range(first, last + 1):
                event = f"id: {number}\ndata: event {number}\n\n".encode()
                if (
                    self.faults.abort_after is not None
                    and number > self.faults.abort_after
                ):
                    self.faults.abort_after = None
                    if self.faults.abort_mid_event:
                        yield event[:-6]
                        await asyncio.sleep(0.01)
                    await server.abort_connection(request)
                    return
                yield event
                await asyncio.sleep(self.faults.pause)
        finally:
            self.open_streams -= 1


def main() -> None:
    """Serve one server and print a JSON line for each request that starts."""
    parser = server.create_parser(__doc__)
    parser.add_argument("--service", required=True)
    parser.add_argument("--id", required=True)
    parser.add_argument("--crashing-part", help="part of prompts that crash it")
    parser.add_argument("--crashing-path", help="path of requests that crash it")
    parser.add_argument("--pause", type=float, default=0.0, help="in s, between events")
    options = parser.parse_args()

    def on_run(run: Run) -> None:
        line = {"attempt": run.attempt, "server": options.id, "time": time.time()}
        line["body"] = run.body.decode("latin-1")
        line["workspace"] = run.headers.get("chicorycove-tenant", "")
        line["prefix"] = run.headers.get("chicorycove-prompt-prefix", "")
        print(json.dumps(line), flush=True)

    instance = PlatformServer(
        options.service,
        id=options.id,
        on_run=on_run,
        on_crash=lambda: os._exit(1),
    )
    instance.crashing_part = options.crashing_part
    instance.crashing_path = options.crashing_path
    instance.faults.pause = options.pause
    server.run(instance.app(), options.host, options.port)


async def start(service: str, **fields) -> tuple[PlatformServer, server.Server]:
    """Serve a new server of a service on loopback."""
    instance = PlatformServer(service, **fields)
    return instance, await server.serve(instance.app())


if __name__ == "__main__":
    main()
