"""A direct entry on the users' platform, as one process."""

import asyncio
import dataclasses
import itertools
import random
import signal
import sys
import typing as t

from ..direct.board import DirectBoard
from ..direct.budget import BudgetSettings
from ..direct.caller_connection import CallerConnection, CallerHandler
from ..direct.dispatch import DirectDispatcher
from ..direct.entry import DirectEntry
from ..direct.event import DirectEvent, PeersUpdated, StoreRevisionSeen
from ..direct.linelog import LineLog
from ..direct.pages import Page, PageHandler
from ..direct.peers import PeerLink
from ..direct.settings import DirectSettings, ReservationSettings, peer_timeout
from ..exceptions import SettingsError
from ..identity import AttemptId
from ..metric import Metrics
from ..utils import cancel_all
from .boot import Boot, load
from .follower import Follower
from .headers import PlatformDialect
from .listeners import BACKLOG, Listeners
from .store import Store

READY_PATH = "/chicorycove/ready"
METRICS_PATH = "/metrics"
# Seconds that callers wait for the first look at the store: a list takes 0.4 s
# on a third of a core, and callers leave a second after they have connected.
FIRST_LIST = 0.6
STOP_POLL = 0.05  # seconds between looks whether all is finished
LEASE_MOST = 3.0  # seconds; memory must be free 4 s after its last use
LAPSE_SHARE = 0.9  # of the time in which a gone target may still be used
STOP_SHARE = 0.5  # of the grace, in which all new requests are taken
# Seconds, whatever the grace: of what comes within 3 s of a stop, the platform
# lets the last be cut; what comes later must have the time to be finished.
STOP_MOST = 2.8
GRACE_USED = 0.94  # share of the grace after which the process ends by itself
PEER_CHECK = 0.2  # seconds between looks at which peers are alive


def settings_from(boot: Boot) -> DirectSettings:
    """Return a direct entry's settings under the platform's bounds."""
    return DirectSettings(
        budget=BudgetSettings(
            ratio=boot.repeat_ratio,
            window=boot.repeat_window,
            extra_retries=boot.repeat_extra,
        ),
        reservation=ReservationSettings(lease_duration=min(LEASE_MOST, boot.hold_most)),
        lapse_grace=boot.drain * LAPSE_SHARE,
        stop_accept_time=min(boot.grace * STOP_SHARE, STOP_MOST),
        stop_finish_time=boot.grace * GRACE_USED,
    )


class PlatformProcess:
    """One entry, from its settings to its end."""

    def __init__(self, boot: Boot, listeners: Listeners, log: LineLog) -> None:
        self._boot = boot
        self._listeners = listeners
        self._log = log
        self._settings = settings_from(boot)
        self._loop = asyncio.get_running_loop()
        self._random = random.Random()
        self._metrics = Metrics(boot.name)
        self._store = Store(boot.store)
        self._board = DirectBoard()
        self._peer_address = (boot.ip, boot.peer_port)
        # A restart is another owner of work, so that nobody takes the work of
        # its last life for that of this one.
        self._name = f"{boot.name}.{self._random.getrandbits(32):08x}"
        self._peers = PeerLink(
            self._name,
            lambda update: self._entry.handle(update),
            self._peer_failed,
        )
        self._entry = self._create_entry()
        self._follower = Follower(
            self._store,
            log,
            random.Random(),
            self._followed,
            self._entries_changed,
        )
        self._pages = PageHandler(
            {READY_PATH: self._ready_page, METRICS_PATH: self._metrics_page}
        )
        self._listed: dict[str, str] = {}
        self._servers: list[asyncio.Server] = []
        self._work: list[asyncio.Task] = []

    async def start(self) -> None:
        """Begin to serve."""
        boot = self._boot
        await self._loop.create_datagram_endpoint(
            lambda: self._peers, local_addr=(boot.ip, boot.peer_port)
        )
        await self._serve(self._pages, sock=self._listeners.readiness)
        await self._serve(self._pages, host=boot.ip, port=boot.metrics_port)
        self._entry.start()
        address = f"{boot.ip}:{boot.peer_port}"
        for work in (
            self._follower.follow(),
            self._follower.register(self._name, address),
            self._watch_peers(),
        ):
            self._work.append(asyncio.create_task(work))
        await self._follower.wait_first_list(FIRST_LIST)
        await self._serve(self._entry, sock=self._listeners.callers)
        self._log.write("started", name=self._name, callers=boot.callers)

    async def stop(self) -> None:
        """Finish what there is, within the grace, and close."""
        started = self._loop.time()
        self._entry.stop()
        self._log.write("stopping", grace=self._boot.grace)
        least = started + self._settings.stop_accept_time
        most = started + self._boot.grace * GRACE_USED
        while self._loop.time() < most:
            if self._loop.time() >= least and not self._entry.busy:
                break
            await asyncio.sleep(STOP_POLL)
        await cancel_all(self._work)
        for server in self._servers:
            server.close()
        await self._entry.close()
        self._pages.close()
        self._peers.close()
        self._store.close()
        self._log.write("stopped", took=round(self._loop.time() - started, 3))
        self._log.flush()

    def reload(self) -> None:
        """Read the settings file again."""
        try:
            boot = load()
        except SettingsError as error:
            self._log.write("reload refused", cause=str(error))
            return
        changed = [
            field.name
            for field in dataclasses.fields(Boot)
            if getattr(boot, field.name) != getattr(self._boot, field.name)
        ]
        # What is bound at the start (addresses) needs a restart.
        self._log.write("reloaded", changed=changed, in_force="after a restart")

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
        )

    async def _serve(self, handler: CallerHandler, **where: t.Any) -> None:
        """Take connections from where ``asyncio`` is told to."""
        server = await self._loop.create_server(
            lambda: CallerConnection(handler), backlog=BACKLOG, **where
        )
        self._servers.append(server)

    def _peer_failed(self, what: str, error: Exception, news: bool) -> None:
        self._metrics.dropped("datagram")
        if news:
            self._log.write(what, cause=repr(error))

    def _followed(self, event: DirectEvent) -> None:
        if isinstance(event, StoreRevisionSeen):
            self._peers.store_revision = event.revision
        self._entry.handle(event)

    def _entries_changed(self, entries: dict[str, str]) -> None:
        self._listed = {
            name: address for name, address in entries.items() if name != self._name
        }
        for name, address in self._listed.items():
            host, port = address.rsplit(":", 1)
            if (host, int(port)) != self._peer_address:
                self._peers.add(name, (host, int(port)))
        self._look_at_peers()

    async def _watch_peers(self) -> None:
        """Let go of peers that are neither listed nor heard."""
        while True:
            self._look_at_peers()
            await asyncio.sleep(PEER_CHECK)

    def _look_at_peers(self) -> None:
        timeout = peer_timeout(self._settings, len(self._board.peer_names))
        self._peers.prune(self._listed.keys(), timeout)
        names = frozenset({self._name, *self._peers.names})
        self._entry.handle(PeersUpdated(names, self._peers.unresponsive(timeout)))

    def _ready_page(self) -> Page:
        return Page(200 if self._entry.ready else 503)

    def _metrics_page(self) -> Page:
        return Page(200, self._metrics.page())


def start(boot: Boot, listeners: Listeners) -> None:
    """Run a process to its end."""
    asyncio.run(run(boot, listeners, LineLog(sys.stdout.fileno(), boot.name)))


async def run(boot: Boot, listeners: Listeners, log: LineLog) -> None:
    """Serve until a stop signal, then finish what there is."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    process = PlatformProcess(boot, listeners, log)
    loop.add_signal_handler(signal.SIGHUP, process.reload)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await process.start()
    await stopped.wait()
    await process.stop()
