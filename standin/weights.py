"""A stand-in for the weight store, with a limit on its total rate."""

import asyncio
import dataclasses
import time
import typing as t

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from . import fault, server

CHUNK = 64 * 1024  # bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WeightsSettings:
    """Settings of the weight store."""

    sizes: t.Mapping[str, int] = dataclasses.field(default_factory=dict)  # bytes
    rate: float = 1e9  # bytes a second, of all loads together


class WeightStore:
    """A weight store and the handlers of its HTTP interface."""

    def __init__(self, settings: WeightsSettings):
        self.faults = fault.Faults()
        self.loads: list[str] = []
        self._settings = settings
        self._available_at = 0.0

    def routes(self) -> list[Route]:
        """Return the routes of the HTTP interface."""
        endpoint = fault.FaultsEndpoint(self.faults)
        return [
            Route("/weights/{name}", self._send_weights, methods=["GET", "HEAD"]),
            Route("/standin/loads", self._list_loads),
            Route("/standin/faults", endpoint.__call__, methods=["GET", "POST"]),
        ]

    async def _send_weights(self, request: Request) -> Response:
        if not await fault.apply_arrival_faults(request, self.faults):
            return Response()
        name = request.path_params["name"]
        if name not in self._settings.sizes:
            return JSONResponse({"error": f"weights {name!r} do not exist"}, 404)
        size = self._settings.sizes[name]
        headers = {"Content-Length": str(size)}
        if request.method == "HEAD":
            return Response(headers=headers)
        self.loads.append(name)
        return StreamingResponse(self._stream_chunks(size), headers=headers)

    async def _stream_chunks(self, size: int) -> t.AsyncIterator[bytes]:
        while size:
            chunk = min(size, CHUNK)
            size -= chunk
            await self._throttle(chunk)
            yield bytes(chunk)

    async def _throttle(self, size: int) -> None:
        now = time.monotonic()
        start = max(now, self._available_at)
        seconds = size / self._settings.rate * self.faults.slow
        self._available_at = start + seconds
        await asyncio.sleep(self._available_at - now)

    async def _list_loads(self, request: Request) -> Response:
        return JSONResponse(self.loads)


def create_app(settings: WeightsSettings = WeightsSettings()) -> Starlette:
    """Return a store's application; the store is ``app.state.weights``."""
    store = WeightStore(settings)
    app = Starlette(routes=store.routes())
    app.state.weights = store
    return app


def main() -> None:
    """Serve the weight store until the process receives a signal to stop."""
    parser = server.create_parser(__doc__.splitlines()[0])
    parser.add_argument("--rate", type=float, default=1e9, help="bytes a second")
    parser.add_argument("--weights", action="append", default=[], metavar="NAME=BYTES")
    options = parser.parse_args()
    pairs = (text.rpartition("=") for text in options.weights)
    sizes = {name: int(size) for name, _, size in pairs}
    app = create_app(WeightsSettings(sizes=sizes, rate=options.rate))
    server.run(app, options.host, options.port)


if __name__ == "__main__":
    main()
