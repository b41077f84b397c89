"""Follows the platform's store: configuration, targets and entries.

It watches the store, or receives its changes from the watchers of its failure
domain (``direct/store_relay.py``).
"""

import asyncio
import random
import typing as t

from ..direct.event import (
    DirectEvent,
    StoreLost,
    StoreRegained,
    StoreRevisionSeen,
)
from ..direct.linelog import LineLog
from ..direct.store_loss import StoreLossDetector
from ..direct.store_relay import RelayUpdate, StoreRelay
from ..direct.store_revision import StoreRevision
from ..exceptions import PlatformError, StoreUnavailable
from .changes import BaseMissing, decode_changes, encode_changes
from .registration import Registration
from .store import (
    WATCH_DURATION,
    AnswerTooLarge,
    HistoryLost,
    ItemBatch,
    Store,
    StoreRestored,
)
from .store_view import (
    CONFIG_KEY,
    ENTRIES_PREFIX,
    EVACUATIONS_PREFIX,
    SERVERS_PREFIX,
    RelayEntry,
    StoreView,
)

ALL_KEYS = ""  # one watch for all prefixes, since the platform charges each call
# Prefixes of all keys but the configuration, whose size has no small bound.
SMALL_PREFIXES = (SERVERS_PREFIX, EVACUATIONS_PREFIX, ENTRIES_PREFIX)
# Seconds that an answer for all keys may take on the link. Beyond that, the
# configuration is read separately, in its newest version only, so that no
# other key waits for it.
MAX_ANSWER_TIME = 0.25
DEFAULT_LINK_RATE = 10.0  # Mbit/s, if the settings do not say
BYTES_PER_MEGABIT = 125_000
SMALL_WATCH_DURATION = 0.001  # seconds; known changes are returned immediately
RELAY_VERSION = 1  # of the relayed batches that this entry can read

MIN_RETRY_DELAY = 0.1  # seconds between calls to a failing store
MAX_RETRY_DELAY = 0.5  # seconds, at which changes apply 2 s after an outage
# Seconds that each entry adds to the longest delay, beyond 16 of them: the
# platform charges each call of each entry, also those that fail.
RETRY_DELAY_PER_ENTRY = 0.03
MAX_FLEET_RETRY_DELAY = 1.0  # seconds, at which they apply within 3 s
WATCH_PAUSE = 0.3  # seconds between watches, so that changes are batched
MAX_FETCH_DELAY = 0.2  # seconds, random, so that entries do not fetch at once
FETCH_DURATION = 0.5  # seconds; missing changes are returned immediately
REGAINED_WINDOW = 5.0  # seconds in which watchers report a regained store
REGAINED_TOLERANCE = 1.0  # seconds by which watchers may differ in when it was
MAX_VIEW_AGE = 6.0  # seconds, which no watch and no change of watchers exceeds
VIEW_AGE_LOG_INTERVAL = 5.0  # seconds


def get_max_retry_delay(entry_count: int) -> float:
    """Return the longest time in seconds between calls to a failing store."""
    delay = min(RETRY_DELAY_PER_ENTRY * entry_count, MAX_FLEET_RETRY_DELAY)
    return max(delay, MAX_RETRY_DELAY)


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
        relay: StoreRelay,
        failure_domain: str,
        link_rate: float,
        regions: t.Mapping[str, str],
        send_relay: t.Callable[[t.Collection[str], t.Iterable[RelayUpdate]], None],
    ) -> None:
        self._store = store
        self._relay = relay
        self._failure_domain = failure_domain
        self._link_rate = link_rate  # Mbit/s
        bytes_per_second = (link_rate or DEFAULT_LINK_RATE) * BYTES_PER_MEGABIT
        self._max_answer_size = int(bytes_per_second * MAX_ANSWER_TIME)
        self._send_relay = send_relay
        self._log = log
        self._random = rng
        self._handle = handle
        self._on_entries_changed = on_entries_changed
        self._view = StoreView(log, handle, self._handle_entries_changed, regions)
        self._registration = Registration(store, log, rng, self.resync)
        self._revision: StoreRevision | None = None
        self._recorded: StoreRevision | None = None  # kept when that is forgotten
        self._era: int | None = None  # of the newest list
        self._targets_seen = False
        self._config_seen = False
        self._store_lost = False
        self._loss = StoreLossDetector()
        self._failure_logged = False  # since the store's last answer
        self._heard_at: float | None = None
        self._view_age_logged_at = float("-inf")
        self._regained_at = float("-inf")
        self._following = False  # relayed changes are applied as they arrive
        self._reading_config = False  # the configuration, beside all other keys
        # A failed call may have lost changes, which only a list returns.
        self._must_list_at_gap = False
        self._relay_changed = asyncio.Event()
        self._first_list_tried = asyncio.Event()
        self._watch_task: asyncio.Task | None = None
        self._clock = asyncio.get_running_loop().time
        # When everything in the store was last known, or else the start.
        self._complete_at = self._clock()

    @property
    def heard_at(self) -> float | None:
        """Return when the store, or a watcher of it, was last heard."""
        return self._heard_at

    @property
    def view_age(self) -> float:
        """Return the seconds since this entry last knew all of the store."""
        return self._clock() - self._complete_at

    def report_view_age(self) -> None:
        """Log at intervals that this entry does not keep up with the store."""
        age, now = self.view_age, self._clock()
        if age <= MAX_VIEW_AGE:
            return
        if now < self._view_age_logged_at + VIEW_AGE_LOG_INTERVAL:
            return
        self._view_age_logged_at = now
        self._log.write(
            "behind the store",
            age=round(age, 3),
            watchers_heard=self._relay.hears_watcher(now),
            **self._log_fields(),
        )

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
                elif self._relay.follows(self._clock()):
                    await self._follow_watchers()
                else:
                    await self._watch_store(self._revision, WATCH_DURATION)
                    await asyncio.sleep(WATCH_PAUSE)
                delay = MIN_RETRY_DELAY
            except HistoryLost as error:
                self._log.write("history lost", cause=str(error), **self._log_fields())
                self._forget_revision()
            except PlatformError as error:
                self._record_failure(error)
                # A store that did not send a change to a broken watch may send
                # it late to the next one, but a list has every change that the
                # store acknowledged.
                if self._relay.follows(self._clock()):
                    self._must_list_at_gap = True
                else:
                    self._forget_revision()
                self._first_list_tried.set()
                await asyncio.sleep(delay * self._random.uniform(0.5, 1.0))
                delay = min(delay * 2, get_max_retry_delay(len(self._view.entries)))
            except Exception as error:
                # Without this task, the process would go on with what it knows
                # and never see a change again.
                self._log.write("store not followed", cause=repr(error))
                self._forget_revision()
                self._first_list_tried.set()
                await asyncio.sleep(MAX_RETRY_DELAY)

    def resync(self) -> None:
        """Cancel the watch in flight and list the store instead."""
        if self._watch_task is not None:
            self._watch_task.cancel()
        elif self._following:
            self._forget_revision()
            self._relay_changed.set()

    def handle_relay(self, update: RelayUpdate) -> None:
        """Take the changes that a watcher of the store has sent."""
        now = self._clock()
        if not self._relay.receive(update, now):
            return
        if self._relay.hears_watcher(now):
            self._mark_store_regained()
        if not self._following:
            return
        if update.regained_ago is not None:
            self._mark_regained_by_watcher(now - update.regained_ago)
        self._apply_relayed_changes()
        if self._relay.fetch_due_at() is not None or self._relay.era_superseded:
            self._relay_changed.set()
        elif self._relay.hears_watcher(now):
            self._complete_at = now

    def send_heartbeat(self) -> None:
        """Tell followers that this entry watches the store, if it does."""
        if self._is_watcher():
            heartbeat = self._relay.create_heartbeat(
                self._revision, self._regained_ago()
            )
            self._send_to_followers([heartbeat])

    def _is_watcher(self) -> bool:
        return (
            self._revision is not None
            and not self._store_lost
            and not self._following
            and not self._reading_config
            and not self._relay.follows(self._clock())
        )

    def _send_to_followers(self, updates: t.Iterable[RelayUpdate]) -> None:
        names = self._relay.recipients(self._domain_names())
        if names:
            self._send_relay(names, updates)

    def _domain_names(self) -> list[str]:
        """Return the failure domain's entries that take part in the relay."""
        return [
            name
            for name, entry in self._view.entries.items()
            if entry.failure_domain == self._failure_domain
            and entry.relay_version >= RELAY_VERSION
        ]

    async def _follow_watchers(self) -> None:
        """Apply relayed changes while they are complete and watchers heard."""
        self._following = True
        self._log.write("watchers followed", **self._log_fields())
        fetch_delay = self._random.uniform(0.0, MAX_FETCH_DELAY)
        try:
            self._apply_relayed_changes()
            while self._revision is not None:
                now = self._clock()
                until = self._relay.follows_until(now)
                fetch_at = self._relay.fetch_due_at()
                if fetch_at is not None:
                    fetch_at += fetch_delay
                if until <= now:
                    self._log.write("watchers silent", **self._log_fields())
                    if self._must_list_at_gap:
                        self._forget_revision()
                    return
                if self._relay.era_superseded:
                    self._must_list_at_gap = True
                    await asyncio.sleep(fetch_delay)
                    break
                if fetch_at is not None and fetch_at <= now:
                    break
                self._relay_changed.clear()
                try:
                    async with asyncio.timeout_at(min(until, fetch_at or until)):
                        await self._relay_changed.wait()
                except TimeoutError:
                    pass
        finally:
            self._following = False
        if self._revision is None:
            return
        if self._must_list_at_gap:
            self._forget_revision()
        else:
            await self._watch_store(self._revision, FETCH_DURATION)

    def _apply_relayed_changes(self) -> None:
        while (changes := self._relay.next_changes()) is not None:
            try:
                items = decode_changes(changes.data, self._view.config)
            except BaseMissing as error:
                self._log.write("relayed changes not applicable", cause=str(error))
                self._relay.discard(changes, self._clock())
                continue
            except ValueError as error:
                self._log.write("relayed changes unreadable", cause=str(error))
                self._forget_revision()
                self._relay_changed.set()
                return
            followed = range(changes.after + 1, self._revision.number + 1)
            newer = [item for item in items if item.revision not in followed]
            self._apply_changes(ItemBatch(tuple(newer), changes.revision))

    async def _watch_store(self, revision: StoreRevision, duration: float) -> None:
        watch_task = asyncio.create_task(
            self._store.watch(ALL_KEYS, revision, duration, self._max_answer_size)
        )
        self._watch_task = watch_task
        try:
            await asyncio.wait({watch_task})
        finally:
            self._watch_task = None
            watch_task.cancel()
        if watch_task.cancelled():
            self._forget_revision()
            return
        try:
            changes = watch_task.result()
        except AnswerTooLarge as error:
            self._log.write("configuration read separately", cause=str(error))
            await self._read_config_separately(revision)
        else:
            self._mark_store_heard()
            self._apply_changes(changes)
        self._complete_at = self._clock()

    async def _read_config_separately(self, followed: StoreRevision | None) -> None:
        """Read the configuration while following all other keys.

        These are listed unless they were followed up to a revision.
        """
        reading = asyncio.create_task(self._read_config())
        self._reading_config = True
        try:
            while True:
                try:
                    if followed is None:
                        followed = await self._list_keys(SMALL_PREFIXES)
                    else:
                        followed = await self._watch_small_keys(followed)
                except StoreUnavailable as error:
                    if reading.done():
                        raise
                    self._log.write("store call failed", cause=str(error))
                    followed = None
                except StoreRestored:
                    raise
                except HistoryLost as error:
                    self._log.write("history lost", cause=str(error))
                    followed = None
                    continue
                if not reading.done():
                    await asyncio.wait({reading}, timeout=WATCH_PAUSE)
                    continue
                config = reading.result()
                if followed is not None and followed >= config.revision:
                    break
                await asyncio.sleep(MIN_RETRY_DELAY)
        finally:
            self._reading_config = False
            reading.cancel()
            await asyncio.gather(reading, return_exceptions=True)
        if followed.era != config.revision.era:
            raise StoreRestored(
                f"the configuration is of era {config.revision.era}, "
                f"other keys are of era {followed.era}"
            )
        self._record_revision(config.revision)

    async def _read_config(self) -> ItemBatch:
        config = await self._store.read(CONFIG_KEY)
        self._mark_store_heard()
        if self._era is not None and config.revision.era < self._era:
            raise StoreRestored(f"the configuration is of era {config.revision.era}")
        self._enter_era(config.revision.era)
        self._view.apply(config.items)
        self._config_seen = True
        self._note_first_list()
        return config

    async def _watch_small_keys(self, after: StoreRevision) -> StoreRevision:
        """Apply the known changes of all keys but the configuration.

        Return the revision up to which they were followed.
        """
        revisions = []
        for prefix in SMALL_PREFIXES:
            changes = await self._store.watch(prefix, after, SMALL_WATCH_DURATION)
            self._mark_store_heard()
            self._view.apply(changes.items)
            revisions.append(changes.revision)
        return min(revisions)

    def _apply_changes(self, changes: ItemBatch) -> None:
        self._view.apply(changes.items)
        self._record_revision(changes.revision)

    def _record_revision(self, revision: StoreRevision) -> None:
        """Record that all changes up to a revision are applied.

        As a watcher, relay those since the revision recorded before.
        """
        recorded, self._recorded = self._recorded, revision
        self._revision = revision
        changes = self._view.record_revision(revision.number)
        self._relay.record_revision(revision, self._clock())
        self._handle(StoreRevisionSeen(revision))
        if not changes.items or recorded is None or recorded.era != revision.era:
            return
        if self._is_watcher():
            items = sorted(changes.items, key=lambda item: item.revision)
            updates = self._relay.create_updates(
                recorded.number,
                revision,
                encode_changes(items, changes.base),
                self._regained_ago(),
                self._relay.is_first(self._domain_names()),
            )
            self._send_to_followers(updates)

    def _forget_revision(self) -> None:
        """Let the store be listed next."""
        self._revision = None
        self._view.drop_superseded_news()
        self._relay.record_revision(None, self._clock())

    async def register(self, name: str, address: str) -> None:
        """Keep this entry registered in the store until cancelled."""
        entry = RelayEntry(
            address, self._failure_domain, RELAY_VERSION, self._link_rate
        )
        await self._registration.keep(ENTRIES_PREFIX + name, entry.encode())

    async def _list_store(self) -> None:
        """List the whole store, applying each page as it arrives."""
        self._must_list_at_gap = False
        try:
            revision = await self._list_keys((ALL_KEYS,), self._max_answer_size)
        except AnswerTooLarge as error:
            self._log.write("configuration read separately", cause=str(error))
            await self._read_config_separately(None)
        else:
            self._record_revision(revision)
        self._complete_at = self._clock()

    async def _list_keys(
        self, prefixes: tuple[str, ...], max_size: int | None = None
    ) -> StoreRevision:
        """List all keys under some prefixes, and remove what has gone."""
        keys: set[str] = set()
        first: StoreRevision | None = None
        for prefix in prefixes:
            async for page in self._store.pages(prefix, max_size):
                self._mark_store_heard()
                self._enter_era(page.revision.era)
                if first is None:
                    first = page.revision
                if page.revision.era != first.era:
                    raise StoreRestored(f"the store is in era {page.revision.era}")
                keys.update(item.key for item in page.items)
                self._view.apply(page.items)
                self._targets_seen = True
                self._config_seen = self._config_seen or prefix == ALL_KEYS
                self._note_first_list()
        self._view.remove_missing(prefixes, keys, first.number)
        self._log.write(
            "store listed", items=len(keys), era=first.era, revision=first.number
        )
        return first

    def _handle_entries_changed(self, entries: t.Mapping[str, RelayEntry]) -> None:
        self._relay.record_link_rates(
            {name: entry.link_rate for name, entry in entries.items()}
        )
        self._on_entries_changed(
            {name: entry.address for name, entry in entries.items()}
        )

    def _note_first_list(self) -> None:
        """Let callers in once there are targets, and routes to them."""
        if self._targets_seen and self._config_seen:
            self._first_list_tried.set()

    def _record_failure(self, error: PlatformError) -> None:
        """Record a failed call, which may mean that the store is unavailable.

        A watcher that is heard has an answer of the store.
        """
        now = self._clock()
        if not self._failure_logged:
            self._failure_logged = True
            self._log.write("store call failed", cause=str(error), **self._log_fields())
        if self._relay.hears_watcher(now):
            self._loss.record_answer()
            return
        silence = error.silence if isinstance(error, StoreUnavailable) else 0.0
        lost = self._loss.record_failure(silence, now)
        if lost and not self._store_lost:
            self._store_lost = True
            self._log.write("store lost", cause=str(error), **self._log_fields())
            self._handle(StoreLost())

    def _mark_store_heard(self) -> None:
        """Record an answer to a call of this entry."""
        self._failure_logged = False
        self._mark_store_regained()

    def _mark_store_regained(self) -> None:
        self._heard_at = self._clock()
        self._loss.record_answer()
        if self._store_lost:
            self._store_lost = False
            self._regained_at = self._clock()
            self._log.write("store back", **self._log_fields())
            self._handle(StoreRegained())

    def _enter_era(self, era: int) -> None:
        """Treat a new era of the store as the end of its unavailability.

        What targets and entries wrote after the copy is written again soon.
        """
        was, self._era = self._era, era
        self._registration.enter_era(era)
        if was is None or was == era:
            return
        self._log.write("store restored", era=era, was=was)
        self._view.enter_era()
        self._regained_at = self._clock()
        self._handle(StoreLost())
        self._handle(StoreRegained())

    def _mark_regained_by_watcher(self, regained_at: float) -> None:
        """Treat a watcher's loss of the store as one's own.

        Targets that lapsed meanwhile are back soon after it.
        """
        if regained_at > self._regained_at + REGAINED_TOLERANCE:
            self._regained_at = regained_at
            self._handle(StoreLost())
            self._handle(StoreRegained(self._clock() - regained_at))

    def _log_fields(self) -> dict[str, int | None]:
        revision = self._revision.number if self._revision is not None else None
        return {"era": self._era, "revision": revision}

    def _regained_ago(self) -> float | None:
        ago = self._clock() - self._regained_at
        return ago if ago < REGAINED_WINDOW else None
