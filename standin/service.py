"""A stand-in for a plain service, which answers and records every call."""

import asyncio
import dataclasses

import xxhash
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from . import fault, server

METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServiceSettings:
    """Settings of a service; times are in seconds."""

    name: str = "service"
    work_time: float = 0.0  # of each call


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A call that ran, as ``/service/runs`` reports it."""

    request: str
    attempt: str
    method: str
    path: str
    digest: str


class Service:
    """A service and the handlers of its HTTP interface."""

    def __init__(self, settings: ServiceSettings):
        self.faults = fault.Faults()
        self.runs: list[Run] = []
        self._settings = settings

    def routes(self) -> list[Route]:
        """Return the routes of the HTTP interface."""
        endpoint = fault.FaultsEndpoint(self.faults)
        return [
            Route("/service/faults", endpoint.__call__, methods=["GET", "POST"]),
            Route("/service/runs", self._list_runs),
            Route("/{path:path}", self._call, methods=METHODS),
        ]

    async def _list_runs(self, request: Request) -> Response:
        return JSONResponse([dataclasses.asdict(run) for run in self.runs])

    async def _call(self, request: Request) -> Response:
        if not await fault.apply_arrival_faults(request, self.faults):
            return Response()
        body = await request.body()
        await asyncio.sleep(self._settings.work_time * self.faults.slow)
        digest = xxhash.xxh64_hexdigest(body)
        headers = request.headers
        run = Run(
            headers.get("x-request-id", ""),
            headers.get("x-attempt-id", ""),
            request.method,
            request.url.path,
            digest,
        )
        self.runs.append(run)
        order = len(self.runs)
        if self.faults.should_lose_answer():
            await server.abort_connection(request)
            return Response()
        if self.faults.late:
            await asyncio.sleep(self.faults.late)
        text = f"{request.method} {request.url.path} {digest}"
        answer = {
            "service": self._settings.name,
            "order": order,
            "text": text,
            "checksum": xxhash.xxh64_hexdigest(text.encode()),
        }
        return JSONResponse(answer)


def create_app(settings: ServiceSettings = ServiceSettings()) -> Starlette:
    """Return a service's application; the service is ``app.state.service``."""
    service = Service(settings)
    app = Starlette(routes=service.routes())
    app.state.service = service
    return app


def main() -> None:
    """Serve a plain service until the process receives a signal to stop."""
    parser = server.create_parser(__doc__.splitlines()[0])
    parser.add_argument("--name", default="service")
    parser.add_argument("--work-time", type=float, default=0.0)
    options = parser.parse_args()
    settings = ServiceSettings(name=options.name, work_time=options.work_time)
    server.run(create_app(settings), options.host, options.port)


if __name__ == "__main__":
    main()
