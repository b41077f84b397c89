"""Serves the ASGI applications of stand-ins, in this process."""

import argparse
import asyncio
import contextlib
import socket
import typing as t

import uvicorn
from starlette.requests import Request
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

TRANSPORT_KEY = "standin.transport"
KEEP_ALIVE_TIMEOUT = 600  # seconds after which an idle connection is closed
BACKLOG = 2048  # connections waiting to be accepted
STARTUP_POLL_INTERVAL = 0.002  # seconds between checks whether it has started


class _AbortableProtocol(HttpToolsProtocol):
    """An HTTP protocol that adds its transport to the scope of requests.

    With it a handler can abort the connection.
    """

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self.scope[TRANSPORT_KEY] = self.transport


class _EmbeddedServer(uvicorn.Server):
    """A server that installs no signal handlers.

    It aborts all connections when it is closed.
    """

    def __init__(self, config: uvicorn.Config):
        super().__init__(config)
        self.closing = asyncio.Event()

    async def main_loop(self) -> None:
        await self.on_tick(0)
        await self.closing.wait()

    async def shutdown(self, sockets: list[socket.socket] | None = None) -> None:
        for listener in [*self.servers, *(sockets or ())]:
            listener.close()
        for connection in list(self.server_state.connections):
            connection.transport.abort()
        tasks = list(self.server_state.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.lifespan.shutdown()

    @contextlib.contextmanager
    def capture_signals(self) -> t.Iterator[None]:
        yield


class Server:
    """An application that is being served."""

    def __init__(
        self, server: _EmbeddedServer, task: asyncio.Task, sock: socket.socket
    ):
        self._server = server
        self._task = task
        self._host, self._port = sock.getsockname()[:2]

    @property
    def port(self) -> int:
        """Return the port that the server listens on."""
        return self._port

    @property
    def address(self) -> str:
        """Return the server's address as "host:port"."""
        return f"{self._host}:{self._port}"

    @property
    def url(self) -> str:
        """Return the server's base URL, without a slash at the end."""
        return f"http://{self.address}"

    async def close(self) -> None:
        """Stop listening and abort all connections."""
        self._server.closing.set()
        await self._task


def _create_config(app: t.Any, **options: t.Any) -> uvicorn.Config:
    return uvicorn.Config(
        app,
        http=_AbortableProtocol,
        ws="none",
        access_log=False,
        log_level="critical",
        timeout_keep_alive=KEEP_ALIVE_TIMEOUT,
        timeout_graceful_shutdown=1,
        backlog=BACKLOG,
        **options,
    )


async def serve(app: t.Any, host: str = "127.0.0.1", port: int = 0) -> Server:
    """Serve an application until the server is closed.

    Port 0 selects a free port.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    server = _EmbeddedServer(_create_config(app))
    task = asyncio.create_task(server.serve(sockets=[sock]))
    while not server.started and not task.done():
        await asyncio.sleep(STARTUP_POLL_INTERVAL)
    if task.done():
        task.result()
    return Server(server, task, sock)


async def abort_connection(request: Request) -> None:
    """Abort the connection of a request, without an answer."""
    request.scope[TRANSPORT_KEY].abort()
    await asyncio.sleep(0)
    await asyncio.sleep(0)


def create_parser(description: str | None) -> argparse.ArgumentParser:
    """Return a parser with the options that all stand-ins have."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    return parser


def run(app: t.Any, host: str, port: int) -> None:
    """Serve an application until the process receives a signal to stop."""
    uvicorn.Server(_create_config(app, host=host, port=port)).run()
