"""A stand-in for the platform's host list, which shows changes after a lag."""

import dataclasses
import time
import typing as t

import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from chicorycove.host import Host

from . import fault, server


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HostsSettings:
    """Settings of the host list."""

    hosts: tuple[Host, ...] = ()  # at the start
    lag: float = 0.0  # seconds from a change until it is visible


class HostTable:
    """A host list and the handlers of its HTTP interface."""

    def __init__(self, settings: HostsSettings):
        self.faults = fault.Faults()
        self._lag = settings.lag
        self._visible = {host.name: host for host in settings.hosts}
        self._pending_changes: list[tuple[float, str, Host | None]] = []

    def routes(self) -> list[Route]:
        """Return the routes of the HTTP interface."""
        endpoint = fault.FaultsEndpoint(self.faults)
        return [
            Route("/hosts", self._list),
            Route("/hosts/{name}", self._put, methods=["PUT"]),
            Route("/hosts/{name}", self._delete, methods=["DELETE"]),
            Route("/standin/faults", endpoint.__call__, methods=["GET", "POST"]),
        ]

    def schedule_change(self, name: str, host: Host | None) -> None:
        """Add, replace or remove (None) a host, visible after the lag."""
        self._pending_changes.append((time.monotonic() + self._lag, name, host))

    def visible_hosts(self) -> list[Host]:
        """Return the hosts of all changes whose lag has passed."""
        now = time.monotonic()
        due = [change for change in self._pending_changes if change[0] <= now]
        self._pending_changes = [
            change for change in self._pending_changes if change[0] > now
        ]
        for _, name, host in due:
            if host is None:
                self._visible.pop(name, None)
            else:
                self._visible[name] = host
        return list(self._visible.values())

    async def _list(self, request: Request) -> Response:
        if not await fault.apply_arrival_faults(request, self.faults):
            return Response()
        return JSONResponse(msgspec.to_builtins(self.visible_hosts()))

    async def _put(self, request: Request) -> Response:
        try:
            host = msgspec.json.decode(await request.body(), type=Host)
        except msgspec.MsgspecError as error:
            return JSONResponse({"error": str(error)}, 400)
        self.schedule_change(request.path_params["name"], host)
        return JSONResponse({})

    async def _delete(self, request: Request) -> Response:
        self.schedule_change(request.path_params["name"], None)
        return JSONResponse({})


def create_app(settings: HostsSettings = HostsSettings()) -> Starlette:
    """Return a host list's application; the list is ``app.state.hosts``."""
    table = HostTable(settings)
    app = Starlette(routes=table.routes())
    app.state.hosts = table
    return app


def _read_hosts(path: str) -> tuple[Host, ...]:
    with open(path, "rb") as file:
        return msgspec.json.decode(file.read(), type=t.Tuple[Host, ...])


def main() -> None:
    """Serve the host list until the process receives a signal to stop."""
    parser = server.create_parser(__doc__.splitlines()[0])
    parser.add_argument("--hosts", help="JSON file with the initial hosts")
    parser.add_argument("--lag", type=float, default=0.0, help="in seconds")
    options = parser.parse_args()
    first = _read_hosts(options.hosts) if options.hosts else ()
    app = create_app(HostsSettings(hosts=first, lag=options.lag))
    server.run(app, options.host, options.port)


if __name__ == "__main__":
    main()
