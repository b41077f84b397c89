"""Follows the platform's store: configuration, servers, other entries."""

import asyncio
import random
import typing as t

import msgspec

from ..direct.event import (
    DeploymentReceived,
    DirectEvent,
    StoreLost,
    StoreRegained,
    StoreRevisionSeen,
    TargetListed,
    TargetUnlisted,
)
from ..direct.linelog import LineLog
from ..direct.route import RoutingTable
from ..exceptions import LeaseLost, PlatformError
from . import decoding
from .store import HistoryLost, Item, Store

CONFIG_KEY = "op/config"
SERVERS = "servers/"
ENTRIES = "chicorycove/entries/"
EVERYTHING = ""  # one watch for all prefixes, since each call is priced

RETRY_LEAST = 0.1  # seconds between calls to a store that fails
RETRY_MOST = 0.5  # seconds; a change is in force 2 s after the store is back
LEASE = 6.0  # seconds that an entry is listed after its last word
WATCH_PAUSE = 0.3  # seconds between watches, so that changes come together
RENEWALS = 3  # in a lease, so that two may fail


class _Entry(msgspec.Struct):
    address: str  # "ip:port" of its datagrams


class Follower:
    """Turns what the store holds into events."""

    def __init__(
        self,
        store: Store,
        log: LineLog,
        rng: random.Random,
        handle: t.Callable[[DirectEvent], None],
        entries_changed: t.Callable[[dict[str, str]], None],
    ) -> None:
        self._store = store
        self._log = log
        self._random = rng
        self._handle = handle
        self._entries_changed = entries_changed
        self._version = -1
        self._revision: int | None = None
        self._servers: set[str] = set()
        self._entries: dict[str, str] = {}
        self._entries_told = True
        self._away = False
        self._first_list_tried = asyncio.Event()
        self._watching: asyncio.Task | None = None

    async def wait_first_list(self, timeout: float) -> None:
        """Wait until the store has been asked once, or for some seconds."""
        try:
            async with asyncio.timeout(timeout):
                await self._first_list_tried.wait()
        except TimeoutError:
            self._log.write("store slow at the start", waited=timeout)

    async def follow(self) -> None:
        """Keep up with the store for good."""
        delay = RETRY_LEAST
        while True:
            try:
                if self._revision is None:
                    await self._list()
                else:
                    await self._watch(self._revision)
                    await asyncio.sleep(WATCH_PAUSE)
                delay = RETRY_LEAST
            except HistoryLost as error:
                self._log.write("history lost", cause=str(error), was=self._revision)
                self._revision = None
            except PlatformError as error:
                self._lost(error)
                # What a store has kept from a watch that broke may come late
                # to the next one, but a list has all that it acknowledged.
                self._revision = None
                self._first_list_tried.set()
                await asyncio.sleep(delay * self._random.uniform(0.5, 1.0))
                delay = min(delay * 2, RETRY_MOST)

    def resync(self) -> None:
        """List the store instead of waiting for the watch under way."""
        if self._watching is not None:
            self._watching.cancel()

    async def _watch(self, revision: int) -> None:
        watching = asyncio.create_task(self._store.watch(EVERYTHING, revision))
        self._watching = watching
        try:
            await asyncio.wait({watching})
        finally:
            self._watching = None
            watching.cancel()
        if watching.cancelled():
            self._revision = None
            return
        seen = watching.result()
        self._back()
        for item in seen.items:
            self._changed(item)
        self._tell_entries()
        self._note_revision(seen.revision)

    def _note_revision(self, revision: int) -> None:
        self._revision = revision
        self._handle(StoreRevisionSeen(revision))

    async def register(self, name: str, address: str) -> None:
        """Keep this entry listed for as long as it lives."""
        lease: int | None = None
        value = msgspec.json.encode(_Entry(address))
        while True:
            try:
                if lease is None:
                    lease = await self._store.grant(LEASE)
                    await self._store.put(ENTRIES + name, value, lease)
                else:
                    await self._store.renew(lease)
            except LeaseLost as error:
                self._log.write("lease lost", cause=str(error))
                lease = None
                continue
            except PlatformError as error:
                self._log.write("entry not registered", cause=str(error))
            await asyncio.sleep(LEASE / RENEWALS * self._random.uniform(0.8, 1.0))

    async def _list(self) -> None:
        """Take all that the store has; each page is used as it comes."""
        keys: set[str] = set()
        revision = 0
        async for page in self._store.pages(EVERYTHING):
            self._back()
            revision = page.revision
            keys.update(item.key for item in page.items)
            for item in page.items:
                self._changed(item)
            self._tell_entries()
            self._first_list_tried.set()
        for id in [id for id in self._servers if SERVERS + id not in keys]:
            self._server_gone(id)
        for name in [name for name in self._entries if ENTRIES + name not in keys]:
            self._entry_gone(name)
        self._tell_entries()
        self._note_revision(revision)
        self._log.write("store listed", revision=revision, items=len(keys))

    def _changed(self, item: Item) -> None:
        try:
            if item.key == CONFIG_KEY and not item.deleted:
                self._configured(item)
            elif item.key.startswith(SERVERS):
                self._server_changed(item.key.removeprefix(SERVERS), item)
            elif item.key.startswith(ENTRIES):
                self._entry_changed(item.key.removeprefix(ENTRIES), item)
        except (decoding.Unreadable, ValueError) as error:
            self._log.write(
                "entry unreadable",
                key=item.key,
                revision=item.revision,
                cause=str(error),
            )

    def _configured(self, item: Item) -> None:
        deployment = decoding.deployment(item.data)
        if deployment.version <= self._version:
            return
        self._version = deployment.version
        self._handle(DeploymentReceived(RoutingTable(deployment)))
        self._log.write(
            "deployment in force",
            version=deployment.version,
            revision=item.revision,
            routes=len(deployment.routes),
        )

    def _server_changed(self, id: str, item: Item) -> None:
        if item.deleted:
            self._server_gone(id)
            return
        listing = decoding.listing(id, item.data)
        self._servers.add(id)
        self._handle(TargetListed(listing))

    def _server_gone(self, id: str) -> None:
        self._servers.discard(id)
        self._handle(TargetUnlisted(id))

    def _entry_changed(self, name: str, item: Item) -> None:
        if item.deleted:
            self._entry_gone(name)
            return
        try:
            entry = msgspec.json.decode(item.data, type=_Entry)
        except msgspec.MsgspecError as error:
            raise decoding.Unreadable(f"entry {name}: {error}") from None
        if self._entries.get(name) != entry.address:
            self._entries[name] = entry.address
            self._log.write("peer listed", peer=name, address=entry.address)
            self._entries_told = False

    def _entry_gone(self, name: str) -> None:
        if self._entries.pop(name, None) is not None:
            self._log.write("peer gone", peer=name)
            self._entries_told = False

    def _tell_entries(self) -> None:
        """Tell of changed entries once for all that came together."""
        if not self._entries_told:
            self._entries_told = True
            self._entries_changed(dict(self._entries))

    def _lost(self, error: PlatformError) -> None:
        if not self._away:
            self._away = True
            self._log.write("store lost", cause=str(error), revision=self._revision)
            self._handle(StoreLost())

    def _back(self) -> None:
        if self._away:
            self._away = False
            self._log.write("store back", revision=self._revision)
            self._handle(StoreRegained())
