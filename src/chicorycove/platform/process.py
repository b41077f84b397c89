"""The process of a direct entry on the users' platform."""

import asyncio
import dataclasses
import itertools
import random
import signal
import socket
import sys
import typing as t

from ..clock import monotonic_time
from ..direct.board import DirectBoard
from ..direct.budget import BudgetSettings
from ..direct.caller_buffers import CallerBufferSettings
from ..direct.caller_connection import CallerConnection, CallerHandler
from ..direct.dialect import Rejection
from ..direct.dispatch import DirectDispatcher
from ..direct.domain_cost import DomainCostSettings
from ..direct.entry import DirectEntry
from ..direct.event import DirectEvent, PeersUpdated, StoreRevisionSeen
from ..direct.http import HttpRequest
from ..direct.linelog import LineLog, log_failure
from ..direct.pages import Page, PageHandler
from ..direct.peer_link import PeerLink
from ..direct.settings import (
    DirectSettings,
    ReservationSettings,
    peer_timeout,
    peer_update_interval,
)
from ..direct.store_relay import StoreRelay
from ..exceptions import SettingsError
from ..identity import AttemptId
from ..metric import Metrics
from ..utils import cancel_all
from .boot import Boot, load_boot
from .follower import Follower
from .headers import PlatformDialect
from .listeners import BACKLOG, Listeners
from .store import Store

READY_PATH = "/chicorycove/ready"
METRICS_PATH = "/metrics"
EXPLAIN_PATH = "/explain"
# Seconds that callers' connections wait for the first list of the store. The
# list takes 0.4 s on a third of a core; callers disconnect after a second.
FIRST_LIST_TIMEOUT = 0.6
STOP_POLL_INTERVAL = 0.05  # seconds between checks whether all requests are finished
MAX_LEASE_DURATION = 3.0  # seconds; memory must be free 4 s after its last use
LAPSE_GRACE_SHARE = 0.9  # of the time in which an unlisted target may still be used
STOP_ACCEPT_SHARE = 0.5  # of the grace period, in which new requests are accepted
# Seconds, for any grace period: the platform tolerates that the last of the
# requests that arrive within 3 s of a stop are aborted, but one accepted later
# must have the time to finish.
MAX_STOP_ACCEPT_TIME = 2.8
# Part of the platform's rules under which traffic between failure domains is a
# matter of its own, and its price in units of a request's value per byte.
PRICED_LINKS = "places"
LINK_PRICE = 1e-6
GRACE_SHARE = 0.94  # of the grace period, after which no connection is accepted
# Share of the grace period after that, in which callers that are connected
# already still get an answer to what they send.
LINGER_SHARE = 0.02
# Share of the grace period after which the process exits, even if callers have
# not read their answers.
EXIT_SHARE = 0.98
PEER_CHECK_INTERVAL = 0.2  # seconds between checks of peers, and heartbeats


# Share of the process's memory that may be held for callers. An entry takes up
# 46 MB at rest. Should fragmentation double what is held, an entry with 152 MB
# uses 122 MB.
BUFFER_SHARE = 0.25


def create_settings(boot: Boot) -> DirectSettings:
    """Return a direct entry's settings within the platform's bounds."""
    caller_buffers = CallerBufferSettings()
    if boot.memory:
        caller_buffers = CallerBufferSettings(max_size=int(boot.memory * BUFFER_SHARE))
    return DirectSettings(
        budget=BudgetSettings(
            ratio=boot.repeat_ratio,
            window=boot.repeat_window,
            extra_retries=boot.repeat_extra,
        ),
        reservation=ReservationSettings(
            lease_duration=min(MAX_LEASE_DURATION, boot.hold_most)
        ),
        domain_cost=DomainCostSettings(
            price_per_byte=LINK_PRICE if PRICED_LINKS in boot.features else 0.0
        ),
        lapse_grace=boot.drain * LAPSE_GRACE_SHARE,
        stop_accept_time=min(boot.grace * STOP_ACCEPT_SHARE, MAX_STOP_ACCEPT_TIME),
        stop_finish_time=boot.grace * GRACE_SHARE,
        caller_buffers=caller_buffers,
    )


class PlatformProcess:
    """An entry with its connections to callers, peers and the store."""

    def __init__(self, boot: Boot, listeners: Listeners, log: LineLog) -> None:
        self._boot = boot
        self._listeners = listeners
        self._log = log
        self._settings = create_settings(boot)
        self._loop = asyncio.get_running_loop()
        self._random = random.Random()
        self._metrics = Metrics(boot.name)
        self._store = Store(boot.store)
        self._board = DirectBoard(entry_names_complete=False)
        self._entries_listed = False
        self._peer_address = (boot.ip, boot.peer_port)
        # Each incarnation has a name of its own, so that peers do not mistake
        # the previous one's work for its own.
        self._name = f"{boot.name}.{self._random.getrandbits(32):08x}"
        self._peers = PeerLink(
            self._name,
            lambda update: self._entry.handle(update),
            lambda update: self._follower.handle_relay(update),
            self._handle_peer_failure,
        )
        self._entry = self._create_entry()
        self._follower = Follower(
            self._store,
            log,
            random.Random(),
            self._handle_store_event,
            self._handle_entries_changed,
            StoreRelay(self._name, self._settings.relay, boot.link_rate),
            boot.failure_domain,
            boot.link_rate,
            boot.regions,
            self._peers.send_relay,
        )
        pages = {READY_PATH: self._ready_page, METRICS_PATH: self._metrics_page}
        self._pages = PageHandler(pages)
        # An explanation names targets and costs as much time as a decision, so
        # the address of the readiness page does not serve it.
        self._internal_pages = PageHandler({**pages, EXPLAIN_PATH: self._explain_page})
        self._listed_peers: dict[str, str] = {}
        self._callers_server: asyncio.Server | None = None
        self._servers: list[asyncio.Server] = []
        self._tasks: list[asyncio.Task] = []
        self._stop_requested_at: float | None = None

    async def start(self) -> None:
        """Start serving callers after the first list of the store."""
        boot = self._boot
        await self._loop.create_datagram_endpoint(
            lambda: self._peers, local_addr=(boot.ip, boot.peer_port)
        )
        await self._serve(self._pages, sock=self._listeners.readiness)
        await self._serve(self._internal_pages, host=boot.ip, port=boot.metrics_port)
        self._entry.start()
        address = f"{boot.ip}:{boot.peer_port}"
        for coroutine in (
            self._follower.follow(),
            self._follower.register(self._name, address),
            self._check_peers_periodically(),
        ):
            self._tasks.append(asyncio.create_task(coroutine))
        await self._follower.wait_first_list(FIRST_LIST_TIMEOUT)
        self._callers_server = await self._serve(
            self._entry, sock=self._listeners.callers
        )
        self._log.write("started", name=self._name, callers=boot.callers)

    def request_stop(self) -> None:
        """Begin to stop, also before the start is complete."""
        if self._stop_requested_at is not None:
            return
        self._stop_requested_at = self._loop.time()
        self._entry.stop()
        self._log.write("stopping", grace=self._boot.grace)

    async def stop(self) -> None:
        """Finish the requests in flight within the grace period, and close."""
        self.request_stop()
        stop_requested_at = self._stop_requested_at
        earliest_end = stop_requested_at + self._settings.stop_accept_time
        latest_end = stop_requested_at + self._boot.grace * GRACE_SHARE
        await self._wait_until_idle(earliest_end, latest_end)
        await self._stop_listening()
        linger_until = self._loop.time() + self._boot.grace * LINGER_SHARE
        await self._wait_until_idle(linger_until, max(latest_end, linger_until))
        self._entry.fail_unfinished()
        exit_at = stop_requested_at + self._boot.grace * EXIT_SHARE
        await self._wait_until_idle(self._loop.time(), exit_at)
        await cancel_all(self._tasks)
        for server in self._servers:
            server.close()
        await self._entry.close()
        self._pages.close()
        self._internal_pages.close()
        self._peers.close()
        self._store.close()
        self._log.write(
            "stopped",
            took=round(self._loop.time() - stop_requested_at, 3),
            unsent=self._entry.unsent_size,
        )
        self._log.flush()

    async def _wait_until_idle(self, earliest_end: float, latest_end: float) -> None:
        """Wait until the entry is not busy, between two times of the loop."""
        while (now := self._loop.time()) < latest_end:
            if now >= earliest_end and not self._entry.busy:
                return
            next_end = earliest_end if now < earliest_end else latest_end
            await asyncio.sleep(min(STOP_POLL_INTERVAL, next_end - now))

    def reload(self) -> None:
        """Check the settings file again and log which settings differ."""
        try:
            boot = load_boot()
        except SettingsError as error:
            self._log.write("reload refused", cause=str(error))
            return
        except Exception as error:  # the file may hold anything
            self._log.write("reload refused", cause=repr(error))
            return
        changed_fields = [
            field.name
            for field in dataclasses.fields(Boot)
            if getattr(boot, field.name) != getattr(self._boot, field.name)
        ]
        # Addresses are bound at the start, so changes need a restart.
        self._log.write("reloaded", changed=changed_fields, in_force="after a restart")

    def _create_entry(self) -> DirectEntry:
        numbers = itertools.count(1)

        def make_attempt(request: str, number: int) -> AttemptId:
            return AttemptId(request, number, str(next(numbers)))

        dispatcher = DirectDispatcher(
            self._board,
            self._settings,
            self._boot.failure_domain,
            self._name,
            make_attempt,
        )
        return DirectEntry(
            self._board,
            dispatcher,
            PlatformDialect(),
            self._settings,
            self._metrics,
            self._log,
            self._random,
            self._peers,
            lambda: self._follower.resync(),
            self._boot.failure_domain,
        )

    async def _serve(self, handler: CallerHandler, **endpoint: t.Any) -> asyncio.Server:
        """Serve connections; the endpoint is passed to ``create_server``."""
        server = await self._loop.create_server(
            lambda: CallerConnection(handler), backlog=BACKLOG, **endpoint
        )
        self._servers.append(server)
        return server

    async def _stop_listening(self) -> None:
        """Accept what is in the listen queue, and close it.

        The kernel resets connections that are in the queue when it closes.
        """
        if self._callers_server is None or not self._callers_server.is_serving():
            return
        queued: list[socket.socket] = []
        while True:
            try:
                connection, _ = self._listeners.callers.accept()
            except OSError:  # the queue is empty, or descriptors are exhausted
                break
            queued.append(connection)
        self._callers_server.close()
        for connection in queued:
            connection.setblocking(False)
            await self._loop.connect_accepted_socket(
                lambda: CallerConnection(self._entry), connection
            )

    def _handle_peer_failure(
        self, event: str, error: Exception, should_log: bool
    ) -> None:
        self._metrics.dropped("datagram")
        if should_log:
            self._log.write(event, cause=repr(error))

    def _handle_store_event(self, event: DirectEvent) -> None:
        if isinstance(event, StoreRevisionSeen):
            self._peers.store_revision = event.revision
        self._entry.handle(event)

    def _handle_entries_changed(self, entries: dict[str, str]) -> None:
        self._entries_listed = True
        self._listed_peers = {
            name: address for name, address in entries.items() if name != self._name
        }
        for name, address in self._listed_peers.items():
            host, port = address.rsplit(":", 1)
            if (host, int(port)) != self._peer_address:
                self._peers.add(name, (host, int(port)))
        self._check_peers()

    async def _check_peers_periodically(self) -> None:
        """Remove unresponsive peers and send heartbeats, until cancelled."""
        while True:
            with log_failure(self._log, "periodic task failed"):
                self._check_peers()
                self._follower.send_heartbeat()
                self._follower.report_view_age()
            await asyncio.sleep(PEER_CHECK_INTERVAL)

    def _check_peers(self) -> None:
        timeout = peer_timeout(self._settings, len(self._board.peer_names))
        self._peers.prune(self._listed_peers.keys(), timeout)
        names = frozenset({self._name, *self._peers.names})
        unresponsive = self._peers.unresponsive(timeout)
        interval = peer_update_interval(self._settings, len(self._board.peer_names))
        newly_responsive = self._peers.newly_responsive(interval)
        self._entry.handle(
            PeersUpdated(names, unresponsive, self._entries_listed, newly_responsive)
        )

    def _ready_page(self, request: HttpRequest) -> Page:
        return Page(200 if self._entry.ready else 503)

    def _metrics_page(self, request: HttpRequest) -> Page:
        self._entry.update_metrics()
        self._metrics.store_view_age(self._follower.view_age)
        return Page(200, self._metrics.page())

    def _explain_page(self, request: HttpRequest) -> Page:
        # Not imported at the start: a frozen data class takes 0.4 ms there.
        from .explain import (
            InvalidQuery,
            encode_explanation,
            explain_rejection,
            parse_query,
        )

        try:
            parsed = parse_query(request, self._board.table)
        except InvalidQuery as error:
            return Page(400, f"{error}\n".encode())
        if isinstance(parsed, Rejection):
            explanation = explain_rejection(parsed)
        else:
            explanation = self._entry.explain(parsed, self._follower.heard_at)
        body = encode_explanation(explanation)
        return Page(200, body, b"application/json")


def create_exception_handler(
    log: LineLog,
) -> t.Callable[[asyncio.AbstractEventLoop, dict[str, t.Any]], None]:
    """Return a handler that logs exceptions which no other code expected.

    The event loop closes the connection whose callback has raised one.
    """

    def handle(loop: asyncio.AbstractEventLoop, context: dict[str, t.Any]) -> None:
        error = context.get("exception")
        cause = repr(error) if error is not None else None
        log.write("unexpected exception", message=context["message"], cause=cause)

    return handle


class EventLoop(asyncio.SelectorEventLoop):
    """An event loop whose time goes on while the host is suspended."""

    def time(self) -> float:
        """Return the time in seconds since the host started."""
        return monotonic_time()


def start(boot: Boot, listeners: Listeners) -> None:
    """Run the process until it has stopped."""
    log = LineLog(sys.stdout.fileno(), boot.name)
    with asyncio.Runner(loop_factory=EventLoop) as runner:
        runner.run(run(boot, listeners, log))


async def run(boot: Boot, listeners: Listeners, log: LineLog) -> None:
    """Serve until a stop signal, then finish the requests in flight."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    process = PlatformProcess(boot, listeners, log)
    loop.set_exception_handler(create_exception_handler(log))
    loop.add_signal_handler(signal.SIGHUP, process.reload)

    def request_stop() -> None:
        stop_requested.set()
        process.request_stop()

    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, request_stop)
    await process.start()
    # Imported once callers are served: it takes 9 ms, more on a part of a
    # core.
    from .memory import return_freed_buffers

    return_freed_buffers()
    await stop_requested.wait()
    await process.stop()
