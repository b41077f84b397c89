"""Serves an ASGI application over HTTP in this process."""

import asyncio
import contextlib
import socket
import typing as t

import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from .conversion import Address
from .problem import Problem
from .reason import Reason
from .verdict import Verdict

KEEP_ALIVE_TIMEOUT = 75  # seconds that an idle connection is kept
BACKLOG = 2048  # connections that may wait to be accepted
# Seconds after the listening socket closes, in which connected callers
# still get an answer to what they send.
LINGER_TIME = 0.1
STARTUP_POLL_INTERVAL = 0.002  # seconds between checks that the server has started


class _Protocol(HttpToolsProtocol):
    """Connection that refuses a request which a shutdown finds half read."""

    _reading_head = False

    def on_message_begin(self) -> None:
        self._reading_head = True
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        self._reading_head = False
        super().on_headers_complete()

    def shutdown(self) -> None:
        cycle = self.cycle
        idle = cycle is None or cycle.response_complete
        if idle and self._reading_head:
            self._refuse()
        elif not idle and cycle.more_body and not cycle.response_started:
            # An application answers once it has read the whole body; a caller
            # that never sends the rest would keep the process from its end.
            if not self.pipeline:
                self._refuse()
            elif not self.transport.is_closing():
                self.loop.call_later(LINGER_TIME, self.shutdown)
        else:
            super().shutdown()

    def _refuse(self) -> None:
        problem = Problem(Reason.STOPPING, Verdict.NOT_RUN, retry_after=1.0)
        body = problem.body()
        headers = [
            *problem.headers,
            (b"content-length", b"%d" % len(body)),
            (b"connection", b"close"),
        ]
        lines = [b"HTTP/1.1 %d Service Unavailable" % problem.status]
        lines += [b"%b: %b" % header for header in headers]
        self.transport.write(b"\r\n".join(lines) + b"\r\n\r\n" + body)
        self.transport.close()


class _Server(uvicorn.Server):
    """Server that leaves the process's signal handlers unchanged."""

    @contextlib.contextmanager
    def capture_signals(self) -> t.Iterator[None]:
        yield

    async def shutdown(self, sockets: list[socket.socket] | None = None) -> None:
        """Accept what is in the listen queue, close it and shut down.

        The kernel resets connections that are in the queue when it closes.
        """
        loop = asyncio.get_running_loop()
        queued = [each for sock in sockets or () for each in _accept_all(sock)]
        for server in self.servers:
            server.close()
        for connection in queued:
            connection.setblocking(False)
            await loop.connect_accepted_socket(self._create_protocol, connection)
        await asyncio.sleep(LINGER_TIME)
        await super().shutdown(sockets)

    def _create_protocol(self) -> asyncio.Protocol:
        return _Protocol(self.config, self.server_state, self.lifespan.state)


def _accept_all(listening_socket: socket.socket) -> t.Iterator[socket.socket]:
    while True:
        try:
            connection, _ = listening_socket.accept()
        except OSError:  # the queue is empty, or descriptors are exhausted
            return
        yield connection


class Listener:
    """Handle of an application that is being served."""

    def __init__(self, server: uvicorn.Server, task: asyncio.Task, address: Address):
        self._server = server
        self._task = task
        self._address = address

    @property
    def address(self) -> Address:
        """Return the address that the application is served on."""
        return self._address

    async def close(self) -> None:
        """Stop listening, wait for answers in progress, and close."""
        self._server.should_exit = True
        await self._task


async def listen(app: t.Any, address: Address, shared: bool = False) -> Listener:
    """Serve an application until the listener is closed.

    :param address: with port 0 the system chooses a free port
    :param shared: allow other processes of this host on the same address
    :raises OSError: if the address cannot be listened on
    """
    server_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    server_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if shared:
        server_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    try:
        server_socket.bind((address.host, address.port))
    except OSError as error:
        server_socket.close()
        raise OSError(
            error.errno, f"cannot listen on {address}: {error.strerror}"
        ) from None
    config = uvicorn.Config(
        app,
        http=_Protocol,
        ws="none",
        lifespan="off",
        access_log=False,
        log_config=None,
        timeout_keep_alive=KEEP_ALIVE_TIMEOUT,
        backlog=BACKLOG,
    )
    server = _Server(config)
    task = asyncio.create_task(server.serve(sockets=[server_socket]))
    while not server.started and not task.done():
        await asyncio.sleep(STARTUP_POLL_INTERVAL)
    host, port = server_socket.getsockname()[:2]
    return Listener(server, task, Address(f"{host}:{port}"))
