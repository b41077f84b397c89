"""The entry's process: its listener, its probes and its stop."""

import asyncio

from . import probe
from .administration import Administration
from .clock import Clock
from .entry import Entry
from .front import Front, create_app
from .listener import Listener, listen
from .log import LOGGER
from .metric import Metrics
from .platform.hosts import HostList
from .platform.store import EtcdStore
from .registry import Registry
from .settings import Settings

STOP_POLL = 0.05  # seconds


class EntryProcess:
    """Runs one entry."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._metrics = Metrics(settings.name)
        platform = settings.platform
        self._store = EtcdStore(platform.store, platform.store_timeout)
        self._hosts = HostList(platform.hosts)
        self._entry = Entry(settings, self._store, self._hosts, Clock(), self._metrics)
        self._registry = Registry(self._store, settings.name)
        self._registry.subscribe(self._entry.set_catalogue)
        self._listener: Listener | None = None
        self._follower: asyncio.Task | None = None

    @property
    def registry(self) -> Registry:
        """Return the catalogue's registry."""
        return self._registry

    @property
    def entry(self) -> Entry:
        """Return the entry."""
        return self._entry

    @property
    def listener(self) -> Listener:
        """Return the listener of callers."""
        return self._listener

    async def start(self) -> None:
        """Begin to serve."""
        settings = self._settings.entry
        front = Front(self._entry, settings.max_body, settings.max_deadline)
        routes = [
            *front.routes(),
            *Administration(self._registry).routes(),
            *probe.routes(self._metrics, lambda: self._entry.ready),
        ]
        self._entry.start()
        self._follower = asyncio.create_task(self._registry.follow())
        self._listener = await listen(create_app(routes), settings.listen)
        LOGGER.info("entry listens on %s", self._listener.address)

    async def stop(self) -> None:
        """Take no new requests, finish what there is, and close."""
        self._entry.stop()
        try:
            async with asyncio.timeout(self._settings.entry.stop_timeout):
                while self._entry.busy:
                    await asyncio.sleep(STOP_POLL)
        except TimeoutError:
            LOGGER.warning("entry stops with requests that did not finish")
        await self.close()

    async def close(self) -> None:
        """Drop everything."""
        if self._listener is not None:
            await self._listener.close()
        if self._follower is not None:
            self._follower.cancel()
        await self._entry.close()
        await self._store.close()
        await self._hosts.close()
