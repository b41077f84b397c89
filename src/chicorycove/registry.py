"""The catalogue in force in one process, kept up to date with the store."""

import asyncio
import collections
import dataclasses
import json
import logging
import time
import typing as t
import uuid

from . import commit
from .catalogue import Catalogue, Entry, Operator, entry_id, key_digest
from .change import (
    Change,
    Edit,
    Proposal,
    State,
    build_change,
    build_revert,
    check_grants,
)
from .event import (
    OutcomeUnknown,
    StoreResult,
    StoreUnreachable,
    SwapConflicted,
    SwapSucceeded,
    ValueRead,
)
from .exceptions import PlatformError, StoreUnavailable, UnknownChangeError
from .log import log_failure

log = logging.getLogger(__name__)

MAX_KEPT = 1000  # changes, and as many spread reports, in memory
WATCH_DELAY = 0.5  # seconds before a watch that ended is tried again
READ_PERIOD = 1.0  # seconds between reads during a watch
BOOTSTRAP = "bootstrap"

T = t.TypeVar("T")


class Store(t.Protocol):
    """The part of the platform's key-value service that is used here."""

    async def get(self, key: str) -> ValueRead | StoreUnreachable:
        """Read a key."""

    async def swap(
        self, key: str, version: int, value: bytes
    ) -> SwapSucceeded | SwapConflicted | StoreUnreachable | OutcomeUnknown:
        """Write a key if its version is as given; 0 means absent."""

    async def delete(self, key: str, version: int) -> StoreResult:
        """Delete a key if its version is as given."""

    def watch(self, key: str, version: int) -> t.AsyncIterator[ValueRead]:
        """Yield each value of a key newer than a version."""


@dataclasses.dataclass(frozen=True, slots=True)
class Laggard:
    """A process that has not applied a revision, and why, if known."""

    name: str
    revision: int
    cause: str


@dataclasses.dataclass(frozen=True, slots=True)
class SpreadReport:
    """How far a revision has spread; times are in seconds since the epoch."""

    revision: int
    members: int = 1
    in_force_at: float | None = None
    laggards: tuple[Laggard, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessStatus:
    """The status of a process as its peers see it."""

    name: str
    role: str
    failure_domain: str
    state: str
    incarnation: int
    revision: int


def _spread_key(revision: int) -> str:
    return f"{commit.PREFIX}spreads/{revision}"


def _decode_spread(value: bytes) -> SpreadReport:
    data = json.loads(value)
    laggards = tuple(Laggard(**each) for each in data["laggards"])
    return SpreadReport(**{**data, "laggards": laggards})


class Spreader(t.Protocol):
    """Spreads changes of the catalogue to the other processes."""

    async def spread(self, change: Change, state: State) -> SpreadReport:
        """Push a change, and return when it is in force or after a timeout."""

    def status(self) -> tuple[ProcessStatus, ...]:
        """Return the status of every process."""

    def may_accept(self) -> bool:
        """Return whether this process may accept changes."""

    def watches(self) -> bool:
        """Return whether this process has to watch the store."""

    def store_read(self, changes: tuple[Change, ...], state: State) -> None:
        """Record a read of the store, with what it returned."""


async def execute_calls(calls: commit.StoreCalls[T], store: Store) -> T:
    """Carry out the store calls that a generator yields."""
    result = None
    while True:
        try:
            call = calls.send(result)
        except StopIteration as stop:
            return stop.value
        match call:
            case commit.ReadKey(key=key):
                result = await store.get(key)
            case commit.SwapKey(key=key, version=version, value=value):
                result = await store.swap(key, version, value)
            case commit.DeleteKey(key=key, version=version):
                result = await store.delete(key, version)
            case commit.Sleep(seconds=seconds):
                result = await asyncio.sleep(seconds)


class Registry:
    """Holds the catalogue in force, changes it, and notifies subscribers."""

    def __init__(
        self,
        store: Store,
        name: str,
        clock: t.Callable[[], float] = time.time,
        spreader: Spreader | None = None,
    ) -> None:
        self.spreader = spreader
        self._store = store
        self._name = name
        self._clock = clock
        self._state = State()
        self._subscribers: list[t.Callable[[Catalogue], None]] = []
        self._changes: collections.OrderedDict[str, Change] = collections.OrderedDict()
        self._spreads: dict[int, SpreadReport] = {}

    @property
    def current(self) -> Catalogue:
        """Return the catalogue in force."""
        return self._state.catalogue

    @property
    def state(self) -> State:
        """Return the catalogue in force with the last change of each entry."""
        return self._state

    def subscribe(self, callback: t.Callable[[Catalogue], None]) -> None:
        """Call a function with the catalogue now and at each new revision."""
        self._subscribers.append(callback)
        callback(self.current)

    def install(self, state: State, changes: t.Iterable[Change] = ()) -> bool:
        """Put a state in force if it is newer, and return whether it was."""
        for change in changes:
            self._keep_change(change)
        if state.revision <= self._state.revision:
            return False
        self._state = state
        log.info("catalogue in force", extra={"revision": state.revision})
        for callback in self._subscribers:
            callback(state.catalogue)
        return True

    def find_operator(self, key: str) -> Operator | None:
        """Return the operator that a key belongs to, or None."""
        digest = key_digest(key)
        for operator in self.current.operators.values():
            if digest in operator.key_digests:
                return operator
        return None

    def status(self) -> ProcessStatus:
        """Return the status of a process that has no peers."""
        revision = self.current.revision
        return ProcessStatus(self._name, "entry", "", "alive", 0, revision)

    async def load(self) -> None:
        """Read the catalogue in force from the store.

        :raises StoreUnavailable: if the store does not answer
        """
        stored = await execute_calls(commit.load(self._state), self._store)
        self.install(stored.state, stored.changes)
        if self.spreader is not None:
            self.spreader.store_read(stored.changes, stored.state)

    async def seed(self, entries: t.Iterable[Entry]) -> None:
        """Commit a first catalogue if there is none yet.

        :raises CatalogueError: if the catalogue is not valid
        :raises PlatformError: if the store does not answer
        """
        await self.load()
        if self.current.revision:
            return
        edits = tuple(Edit(id=entry_id(entry), entry=entry) for entry in entries)
        proposal = Proposal(
            id=BOOTSTRAP,
            operator=BOOTSTRAP,
            owner=BOOTSTRAP,
            reason="first catalogue",
            edits=edits,
            base=0,
        )
        await self._commit(proposal)

    async def follow(self) -> None:
        """Follow the store while this process has to watch it."""
        while True:
            if self.spreader is None or self.spreader.watches():
                with log_failure("store not followed"):
                    await self._follow_once()
            await asyncio.sleep(WATCH_DELAY)

    async def _follow_once(self) -> None:
        """Watch the store until it fails or other processes watch it."""
        watcher = asyncio.create_task(self._watch())
        try:
            while not watcher.done():
                await self.load()
                await asyncio.wait([watcher], timeout=READ_PERIOD)
                if self.spreader is not None and not self.spreader.watches():
                    return
        except StoreUnavailable as error:
            log.warning("store unavailable", extra={"cause": str(error)})
        finally:
            watcher.cancel()

    async def _watch(self) -> None:
        try:
            async for _ in self._store.watch(commit.HEAD_KEY, 0):
                await self.load()
        except PlatformError as error:
            log.warning("watch ended", extra={"cause": str(error)})

    def create_proposal(
        self,
        operator: Operator,
        reason: str,
        edits: tuple[Edit, ...],
        base: int | None = None,
        id: str = "",
    ) -> Proposal:
        """Return a proposal of an operator."""
        return Proposal(
            id=id or uuid.uuid4().hex[:16],
            operator=operator.name,
            owner=operator.owner,
            reason=reason,
            edits=edits,
            base=base,
        )

    async def preview(self, operator: Operator, proposal: Proposal) -> Change:
        """Return the change that a proposal would make, without committing it.

        :raises CatalogueError: if it would be refused
        """
        check_grants(operator, proposal.edits)
        await self.load()
        return build_change(self._state, proposal, self._clock())

    async def apply(self, operator: Operator, proposal: Proposal) -> Change:
        """Commit a proposal; ``spread`` then sends it to every process.

        :raises CatalogueError: if it is refused
        :raises PlatformError: if the store does not answer
        """
        check_grants(operator, proposal.edits)
        if self.spreader is not None and not self.spreader.may_accept():
            raise StoreUnavailable("this entry cannot reach most other entries")
        return await self._commit(proposal)

    async def spread(self, change: Change) -> SpreadReport:
        """Push a change to every process, and return how far it has spread."""
        if self.spreader is None:
            spread = SpreadReport(change.revision, 1, self._clock())
        else:
            spread = await self.spreader.spread(change, self._state)
        self._keep_spread(spread)
        value = json.dumps(dataclasses.asdict(spread)).encode()
        await self._store.swap(_spread_key(change.revision), 0, value)
        return spread

    async def find_spread(self, revision: int) -> SpreadReport | None:
        """Return the spread report of a revision, or None."""
        if revision not in self._spreads:
            found = await self._store.get(_spread_key(revision))
            if isinstance(found, ValueRead) and found.version:
                self._keep_spread(_decode_spread(found.value))
        return self._spreads.get(revision)

    async def create_revert(
        self, operator: Operator, change: Change, reason: str, id: str = ""
    ) -> Proposal:
        """Return the proposal that undoes a change."""
        return build_revert(change, self.create_proposal(operator, reason, (), id=id))

    async def history(self, count: int = 50) -> tuple[Change, ...]:
        """Return the newest changes, newest first."""
        newest = self.current.revision
        oldest = max(newest - count, 0)
        kept = {change.revision: change for change in self._changes.values()}
        revisions = range(newest, oldest, -1)
        if all(revision in kept for revision in revisions):
            return tuple(kept[revision] for revision in revisions)
        head = await self._read_head()
        changes = await execute_calls(commit.history(head, count), self._store)
        for change in reversed(changes):
            self._keep_change(change)
        return changes

    async def find(self, change: str) -> Change:
        """Return a change by its id or its revision.

        :raises UnknownChangeError: if there is none
        """
        for kept in reversed(self._changes.values()):
            if change in (kept.id, str(kept.revision)):
                return kept
        head = await self._read_head()
        revision = head.find_revision(change)
        if revision is None and change.isdecimal():
            revision = int(change)
        if revision is None or not 0 < revision <= head.revision:
            raise UnknownChangeError(f'there is no change "{change}"')
        return await execute_calls(commit.find(head, revision), self._store)

    async def _read_head(self) -> commit.HeadRecord:
        stored = await execute_calls(commit.load(self._state), self._store)
        self.install(stored.state, stored.changes)
        return stored.head

    async def _commit(self, proposal: Proposal) -> Change:
        token = f"{self._name}.{uuid.uuid4().hex[:16]}"
        calls = commit.commit(proposal, self._state, token, self._clock())
        accepted = await execute_calls(calls, self._store)
        self.install(accepted.stored.state, accepted.stored.changes)
        self._keep_change(accepted.change)
        return accepted.change

    def _keep_spread(self, spread: SpreadReport) -> None:
        self._spreads[spread.revision] = spread
        if len(self._spreads) > MAX_KEPT:
            del self._spreads[next(iter(self._spreads))]

    def _keep_change(self, change: Change) -> None:
        self._changes[change.id] = change
        if len(self._changes) > MAX_KEPT:
            self._changes.popitem(last=False)
