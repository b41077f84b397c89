"""Follows the platform's store: configuration, targets and entries."""

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
SERVERS_PREFIX = "servers/"
ENTRIES_PREFIX = "chicorycove/entries/"
ALL_KEYS = ""  # one watch for all prefixes, since the platform charges each call

MIN_RETRY_DELAY = 0.1  # seconds between calls to a failing store
MAX_RETRY_DELAY = 0.5  # seconds; changes must apply 2 s after the store recovers
LEASE_DURATION = 6.0  # seconds that an entry is listed without a renewal
WATCH_PAUSE = 0.3  # seconds between watches, so that changes are batched
RENEWALS_PER_LEASE = 3  # so that two may fail


class _Entry(msgspec.Struct):
    address: str  # "ip:port" of its datagrams


class Follower:
    """Turns the store's content and its changes into events.

    It also keeps this entry registered in the store.
    """

    def __init__(
        self,
        store: Store,
        log: LineLog,
        rng: random.Random,
        handle: t.Callable[[DirectEvent], None],
        on_entries_changed: t.Callable[[dict[str, str]], None],
    ) -> None:
        self._store = store
        self._log = log
        self._random = rng
        self._handle = handle
        self._on_entries_changed = on_entries_changed
        self._deployment_version = -1
        self._revision: int | None = None
        self._target_ids: set[str] = set()
        self._entry_addresses: dict[str, str] = {}
        self._entries_reported = True
        self._store_lost = False
        self._first_list_tried = asyncio.Event()
        self._watch_task: asyncio.Task | None = None

    async def wait_first_list(self, timeout: float) -> None:
        """Wait for the first attempt to list the store; timeout in seconds."""
        try:
            async with asyncio.timeout(timeout):
                await self._first_list_tried.wait()
        except TimeoutError:
            self._log.write("store slow at the start", waited=timeout)

    async def follow(self) -> None:
        """List and watch the store until cancelled."""
        delay = MIN_RETRY_DELAY
        while True:
            try:
                if self._revision is None:
                    await self._list_store()
                else:
                    await self._watch_store(self._revision)
                    await asyncio.sleep(WATCH_PAUSE)
                delay = MIN_RETRY_DELAY
            except HistoryLost as error:
                self._log.write("history lost", cause=str(error), was=self._revision)
                self._revision = None
            except PlatformError as error:
                self._mark_store_lost(error)
                # A store that did not send a change to a broken watch may send
                # it late to the next one, but a list has every change that the
                # store acknowledged.
                self._revision = None
                self._first_list_tried.set()
                await asyncio.sleep(delay * self._random.uniform(0.5, 1.0))
                delay = min(delay * 2, MAX_RETRY_DELAY)

    def resync(self) -> None:
        """Cancel the watch in flight and list the store instead."""
        if self._watch_task is not None:
            self._watch_task.cancel()

    async def _watch_store(self, revision: int) -> None:
        watch_task = asyncio.create_task(self._store.watch(ALL_KEYS, revision))
        self._watch_task = watch_task
        try:
            await asyncio.wait({watch_task})
        finally:
            self._watch_task = None
            watch_task.cancel()
        if watch_task.cancelled():
            self._revision = None
            return
        changes = watch_task.result()
        self._mark_store_regained()
        for item in changes.items:
            self._apply_item(item)
        self._report_entries()
        self._record_revision(changes.revision)

    def _record_revision(self, revision: int) -> None:
        self._revision = revision
        self._handle(StoreRevisionSeen(revision))

    async def register(self, name: str, address: str) -> None:
        """Keep this entry registered in the store until cancelled."""
        lease: int | None = None
        value = msgspec.json.encode(_Entry(address))
        while True:
            try:
                if lease is None:
                    lease = await self._store.grant(LEASE_DURATION)
                    await self._store.put(ENTRIES_PREFIX + name, value, lease)
                else:
                    await self._store.renew(lease)
            except LeaseLost as error:
                self._log.write("lease lost", cause=str(error))
                lease = None
                continue
            except PlatformError as error:
                self._log.write("entry not registered", cause=str(error))
            await asyncio.sleep(
                LEASE_DURATION / RENEWALS_PER_LEASE * self._random.uniform(0.8, 1.0)
            )

    async def _list_store(self) -> None:
        """List the whole store, applying each page as it arrives."""
        keys: set[str] = set()
        revision = 0
        async for page in self._store.pages(ALL_KEYS):
            self._mark_store_regained()
            revision = page.revision
            keys.update(item.key for item in page.items)
            for item in page.items:
                self._apply_item(item)
            self._report_entries()
            self._first_list_tried.set()
        for id in [id for id in self._target_ids if SERVERS_PREFIX + id not in keys]:
            self._remove_target(id)
        for name in [
            name for name in self._entry_addresses if ENTRIES_PREFIX + name not in keys
        ]:
            self._remove_entry(name)
        self._report_entries()
        self._record_revision(revision)
        self._log.write("store listed", revision=revision, items=len(keys))

    def _apply_item(self, item: Item) -> None:
        try:
            if item.key == CONFIG_KEY and not item.deleted:
                self._apply_deployment(item)
            elif item.key.startswith(SERVERS_PREFIX):
                self._apply_target(item.key.removeprefix(SERVERS_PREFIX), item)
            elif item.key.startswith(ENTRIES_PREFIX):
                self._apply_entry(item.key.removeprefix(ENTRIES_PREFIX), item)
        except (decoding.UndecodableValue, ValueError) as error:
            self._log.write(
                "entry unreadable",
                key=item.key,
                revision=item.revision,
                cause=str(error),
            )

    def _apply_deployment(self, item: Item) -> None:
        deployment = decoding.decode_deployment(item.data)
        if deployment.version <= self._deployment_version:
            return
        self._deployment_version = deployment.version
        self._handle(DeploymentReceived(RoutingTable(deployment)))
        self._log.write(
            "deployment in force",
            version=deployment.version,
            revision=item.revision,
            routes=len(deployment.routes),
        )

    def _apply_target(self, id: str, item: Item) -> None:
        if item.deleted:
            self._remove_target(id)
            return
        listing = decoding.decode_listing(id, item.data)
        self._target_ids.add(id)
        self._handle(TargetListed(listing))

    def _remove_target(self, id: str) -> None:
        self._target_ids.discard(id)
        self._handle(TargetUnlisted(id))

    def _apply_entry(self, name: str, item: Item) -> None:
        if item.deleted:
            self._remove_entry(name)
            return
        try:
            entry = msgspec.json.decode(item.data, type=_Entry)
        except msgspec.MsgspecError as error:
            raise decoding.UndecodableValue(f"invalid entry {name}: {error}") from None
        if self._entry_addresses.get(name) != entry.address:
            self._entry_addresses[name] = entry.address
            self._log.write("peer listed", peer=name, address=entry.address)
            self._entries_reported = False

    def _remove_entry(self, name: str) -> None:
        if self._entry_addresses.pop(name, None) is not None:
            self._log.write("peer gone", peer=name)
            self._entries_reported = False

    def _report_entries(self) -> None:
        """Report changed entries once for a batch of changes."""
        if not self._entries_reported:
            self._entries_reported = True
            self._on_entries_changed(dict(self._entry_addresses))

    def _mark_store_lost(self, error: PlatformError) -> None:
        if not self._store_lost:
            self._store_lost = True
            self._log.write("store lost", cause=str(error), revision=self._revision)
            self._handle(StoreLost())

    def _mark_store_regained(self) -> None:
        if self._store_lost:
            self._store_lost = False
            self._log.write("store back", revision=self._revision)
            self._handle(StoreRegained())
