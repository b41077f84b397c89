"""The entry process: starts an entry, serves callers and shuts down."""

import asyncio
import pathlib

from . import probe
from .administration import Administration
from .application import create_app
from .backing.call_queue import CallClass, CallQueue, QueuedStore
from .backing.hosts import HostList
from .backing.store import EtcdStore
from .catalogue import Entry
from .clock import Clock
from .entry import Entry as EntryRole
from .exceptions import PlatformError, SettingsError
from .front import Frontend
from .listener import Listener, listen
from .log import LOGGER
from .membership import Role as PeerRole
from .metric import Metrics
from .orchestrator import Orchestrator
from .peer import EntryNode, Identity
from .registry import Registry
from .schema import parse_file
from .settings import Settings
from .utils import cancel_all

STOP_POLL_INTERVAL = 0.05  # seconds between checks for unfinished requests
SEED_RETRY_DELAY = 0.5  # seconds between attempts to store a first catalogue


def read_entries(path: str) -> tuple[Entry, ...]:
    """Read the entries of a catalogue file.

    :raises SettingsError: if the file cannot be read
    :raises CatalogueError: if it does not hold a catalogue
    """
    try:
        return parse_file(pathlib.Path(path).read_text())
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from None


class EntryProcess:
    """Runs one entry with its registry, planner, probes and listener."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._metrics = Metrics(settings.name)
        platform = settings.platform
        self._store = EtcdStore(platform.store, platform.store_timeout)
        calls = CallQueue(platform.store_calls)
        claims = QueuedStore(self._store, calls, CallClass.CLAIM)
        others = QueuedStore(self._store, calls, CallClass.OTHER)
        self._hosts = HostList(platform.hosts)
        self._entry = EntryRole(settings, claims, self._hosts, Clock(), self._metrics)
        self._registry = Registry(others, settings.name)
        self._registry.subscribe(self._entry.set_catalogue)
        self._orchestrator = Orchestrator(settings, others, self._entry)
        self._node = self._create_node()
        self._listener: Listener | None = None
        self._follow_task: asyncio.Task | None = None

    @property
    def registry(self) -> Registry:
        """Return the registry of the catalogue."""
        return self._registry

    @property
    def entry(self) -> EntryRole:
        """Return the entry that handles callers' requests."""
        return self._entry

    @property
    def orchestrator(self) -> Orchestrator:
        """Return the orchestrator, which plans while this entry leads."""
        return self._orchestrator

    @property
    def listener(self) -> Listener:
        """Return the listener for callers' connections."""
        return self._listener

    async def start(self) -> None:
        """Start everything and begin to accept requests.

        :raises OSError: if an address cannot be listened on
        """
        try:
            await self._start()
        except Exception:
            await self.close()
            raise

    async def _start(self) -> None:
        settings = self._settings.entry
        frontend = Frontend(self._entry, settings.max_body, settings.max_deadline)
        routes = [
            *frontend.routes(),
            *Administration(
                self._registry, self._metrics.refused, self._orchestrator
            ).routes(),
            *probe.routes(self._metrics, lambda: self._entry.ready),
        ]
        if self._node is not None:
            await self._node.start()
        self._entry.start()
        entries: tuple[Entry, ...] = ()
        if settings.seed_catalogue is not None:
            entries = read_entries(settings.seed_catalogue)
        seeded = await self._seed_catalogue(entries)
        self._follow_task = asyncio.create_task(
            self._follow_catalogue(() if seeded else entries)
        )
        app = create_app(routes, self._metrics.refused)
        self._listener = await listen(app, settings.listen, settings.share_listen)
        self._orchestrator.start()
        LOGGER.info("entry listens on %s", self._listener.address)

    def _create_node(self) -> EntryNode | None:
        settings = self._settings
        if settings.peer is None:
            return None
        identity = Identity(
            settings.name, PeerRole.ENTRY, settings.region, settings.failure_domain
        )
        node = EntryNode(identity, settings.peer, self._registry.install)
        self._registry.spreader = node
        self._entry.set_serving_condition(node.may_serve)
        return node

    async def _seed_catalogue(self, entries: tuple[Entry, ...]) -> bool:
        """Seed an empty store with a catalogue; return whether it worked."""
        if not entries:
            return True
        try:
            await self._registry.seed(entries)
        except PlatformError as error:
            LOGGER.warning("first catalogue not stored yet: %s", error)
            return False
        return True

    async def _follow_catalogue(self, entries: tuple[Entry, ...]) -> None:
        while not await self._seed_catalogue(entries):
            await asyncio.sleep(SEED_RETRY_DELAY)
        await self._registry.follow()

    async def stop(self) -> None:
        """Stop accepting requests, finish those in flight, and close."""
        await self._orchestrator.stop()
        self._entry.stop()
        try:
            async with asyncio.timeout(self._settings.entry.stop_timeout):
                while self._entry.busy:
                    await asyncio.sleep(STOP_POLL_INTERVAL)
        except TimeoutError:
            LOGGER.warning("entry stops with requests that did not finish")
        await self.close()

    async def close(self) -> None:
        """Close all connections and cancel all tasks."""
        await self._orchestrator.close()
        if self._listener is not None:
            await self._listener.close()
        if self._follow_task is not None:
            await cancel_all([self._follow_task])
        if self._node is not None:
            await self._node.close()
        await self._entry.close()
        await self._store.close()
        await self._hosts.close()
