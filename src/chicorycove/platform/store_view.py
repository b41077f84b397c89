"""Holds what an entry knows of the platform's store, and reports changes."""

import dataclasses
import typing as t

import msgspec

from ..direct.event import (
    DeploymentReceived,
    DirectEvent,
    DomainEvacuated,
    DomainReadmitted,
    TargetListed,
    TargetUnlisted,
)
from ..direct.linelog import LineLog
from ..direct.route import RoutingTable
from . import decoding
from .changes import PatchBase
from .store import Item

CONFIG_KEY = "op/config"
SERVERS_PREFIX = "servers/"
EVACUATIONS_PREFIX = "op/evacuate/"  # followed by the name of a failure domain
ENTRIES_PREFIX = "chicorycove/entries/"


@dataclasses.dataclass(frozen=True, slots=True)
class ViewChanges:
    """The items that were news up to a revision."""

    items: tuple[Item, ...]
    base: PatchBase | None  # the configuration before them


class RelayEntry(msgspec.Struct):
    """What an entry writes of itself for the other entries."""

    address: str  # "ip:port" of its datagrams
    failure_domain: str = ""
    relay_version: int = 0  # 0 if it cannot read patched values
    link_rate: float = 0.0  # Mbit/s; 0 if unknown

    def encode(self) -> bytes:
        """Return the entry's value in the store."""
        return msgspec.json.encode(self)


class StoreView:
    """Turns items of the store into events.

    Items may come again, and before others of earlier revisions.
    """

    def __init__(
        self,
        log: LineLog,
        handle: t.Callable[[DirectEvent], None],
        on_entries_changed: t.Callable[[t.Mapping[str, RelayEntry]], None],
        regions: t.Mapping[str, str],
    ) -> None:
        self._log = log
        self._handle = handle
        self._on_entries_changed = on_entries_changed
        self._regions = regions
        self._deployment_version = -1
        self._deployment_decoder = decoding.DeploymentDecoder()
        self._config: PatchBase | None = None
        self._revisions: dict[str, int] = {}  # of the held items, by their keys
        self._news: list[Item] = []  # since the recorded revision
        self._recorded_config: PatchBase | None = None
        # Revisions of items that were applied before all changes up to them.
        self._revisions_ahead: dict[str, int] = {}
        self._evacuated_domains: set[str] = set()
        self._entries: dict[str, RelayEntry] = {}
        self._entries_reported = True

    @property
    def config(self) -> PatchBase | None:
        """Return the newest configuration of the present era."""
        return self._config

    @property
    def entries(self) -> t.Mapping[str, RelayEntry]:
        """Return the registered entries by their names."""
        return self._entries

    def apply(self, items: t.Sequence[Item]) -> None:
        """Apply items, of the configuration only the newest.

        Those that were applied ahead of a later revision are left out.
        """
        newest_config = max(
            (item.revision for item in items if item.key == CONFIG_KEY), default=0
        )
        for item in items:
            if item.revision <= self._revisions_ahead.get(item.key, 0):
                continue
            self._revisions_ahead[item.key] = item.revision
            if item.deleted or self._revisions.get(item.key) != item.revision:
                self._record_news(item)
            if item.key != CONFIG_KEY or item.revision == newest_config:
                self._apply_item(item)
        self._report_entries()

    def remove_missing(
        self, prefixes: tuple[str, ...], keys: t.Collection[str], number: int
    ) -> None:
        """Remove what a complete list of some prefixes lacks.

        The keys are those of the list, the number that of its revision.
        """
        for key in [
            key
            for key in self._revisions
            if key.startswith(prefixes) and key not in keys
        ]:
            item = Item(key, number, deleted=True)
            self._record_news(item)
            self._apply_item(item)
        self._report_entries()

    def record_revision(self, number: int) -> ViewChanges:
        """Record that all changes up to a revision are applied.

        Return what was news.  Items of later revisions, which were applied
        ahead, are returned with theirs.
        """
        items = tuple(item for item in self._news if item.revision <= number)
        changes = ViewChanges(items, self._recorded_config)
        self._news = [item for item in self._news if item.revision > number]
        if self._config is not None and self._config.revision <= number:
            self._recorded_config = self._config
        self._revisions_ahead = {
            key: ahead for key, ahead in self._revisions_ahead.items() if ahead > number
        }
        return changes

    def drop_superseded_news(self) -> None:
        """Keep only the newest news of each key."""
        self._news = list({item.key: item for item in self._news}.values())

    def enter_era(self) -> None:
        """Forget revisions, which are assigned again in a new era."""
        self._config = self._recorded_config = None
        self._revisions = dict.fromkeys(self._revisions, 0)
        self._news.clear()
        self._revisions_ahead.clear()

    def _record_news(self, item: Item) -> None:
        self._news.append(item)
        if item.deleted:
            self._revisions.pop(item.key, None)
        else:
            self._revisions[item.key] = item.revision

    def _apply_item(self, item: Item) -> None:
        try:
            if item.key == CONFIG_KEY and not item.deleted:
                self._apply_deployment(item)
            elif item.key.startswith(SERVERS_PREFIX):
                self._apply_target(item.key.removeprefix(SERVERS_PREFIX), item)
            elif item.key.startswith(EVACUATIONS_PREFIX):
                domain = item.key.removeprefix(EVACUATIONS_PREFIX)
                self._set_evacuated(domain, not item.deleted)
            elif item.key.startswith(ENTRIES_PREFIX):
                self._apply_entry(item.key.removeprefix(ENTRIES_PREFIX), item)
        except (decoding.UndecodableValue, ValueError) as error:
            self._report_unreadable(item, str(error))
        except Exception as error:  # one key must not keep the others from use
            self._report_unreadable(item, repr(error))

    def _report_unreadable(self, item: Item, cause: str) -> None:
        self._log.write(
            "entry unreadable", key=item.key, revision=item.revision, cause=cause
        )

    def _apply_deployment(self, item: Item) -> None:
        data = item.data
        self._config = PatchBase(item.key, item.revision, data)
        deployment = self._deployment_decoder.decode(data)
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
            self._handle(TargetUnlisted(id))
            return
        try:
            listing = decoding.decode_listing(id, item.data, self._regions)
        except Exception:
            # The key names no target now, as for an entry that starts.
            self._handle(TargetUnlisted(id))
            raise
        self._handle(TargetListed(listing))

    def _set_evacuated(self, domain: str, evacuated: bool) -> None:
        if evacuated == (domain in self._evacuated_domains):
            return
        if evacuated:
            self._evacuated_domains.add(domain)
            self._handle(DomainEvacuated(domain))
        else:
            self._evacuated_domains.discard(domain)
            self._handle(DomainReadmitted(domain))

    def _apply_entry(self, name: str, item: Item) -> None:
        if item.deleted:
            self._remove_entry(name)
            return
        try:
            entry = _decode_entry(name, item.data)
        except Exception:
            self._remove_entry(name)
            raise
        if self._entries.get(name) != entry:
            self._entries[name] = entry
            self._log.write("peer listed", peer=name, address=entry.address)
            self._entries_reported = False

    def _remove_entry(self, name: str) -> None:
        if self._entries.pop(name, None) is not None:
            self._log.write("peer gone", peer=name)
            self._entries_reported = False

    def _report_entries(self) -> None:
        """Report changed entries once for a batch of changes."""
        if not self._entries_reported:
            self._entries_reported = True
            self._on_entries_changed(self._entries)


def _decode_entry(name: str, data: bytes) -> RelayEntry:
    """Decode an entry's value in the store.

    :raises UndecodableValue: if it is not an entry that can be reached
    """
    try:
        entry = msgspec.json.decode(data, type=RelayEntry)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise decoding.UndecodableValue(f"invalid entry {name}: {error}") from None
    if not decoding.is_address(entry.address):
        raise decoding.UndecodableValue(
            f'invalid entry {name}: expected "ip:port", '
            f"got {decoding.shorten(entry.address)}"
        )
    return entry
