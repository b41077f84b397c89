"""The commit protocol: one head record, immutable pieces, change ids.

Every function here is a generator that yields calls of the store and is sent
their results, so that it neither does I/O nor reads a clock.
"""

import dataclasses
import json
import typing as t
import zlib

from .catalogue import EntryId
from .change import (
    TOMBSTONE_REVISIONS,
    Change,
    Proposal,
    State,
    build_change,
    change_from_json,
    change_to_json,
    state_from_json,
    state_to_json,
)
from .event import (
    OutcomeUnknown,
    StoreResult,
    StoreUnreachable,
    SwapConflicted,
    SwapSucceeded,
    ValueRead,
)
from .exceptions import CatalogueError, StoreUnavailable, StoreUnknown

PREFIX = "catalogue/"
HEAD_KEY = PREFIX + "head"
BUCKETS = 64
SLOTS = 8  # of intents, each naming the pieces of one commit
MAX_PIECE = 1_000_000  # bytes; the store takes 1 MB
LINK_BASE = 16
LINK_LEVELS = 6
RECENT = 64  # ids of changes in the head
MAX_WALK = 64  # changes read one by one before the whole is read instead
MAX_TRIES = 8
RETRY_DELAY = 0.2  # seconds

frozen = dataclasses.dataclass(frozen=True, slots=True)


@frozen
class ReadKey:
    """Read a key."""

    key: str


@frozen
class SwapKey:
    """Write a key if it still has a version; 0 for absent."""

    key: str
    version: int
    value: bytes


@frozen
class DeleteKey:
    """Delete a key if it still has a version."""

    key: str
    version: int


@frozen
class Sleep:
    """Let some seconds pass."""

    seconds: float


StoreCall = ReadKey | SwapKey | DeleteKey | Sleep
T = t.TypeVar("T")
StoreCalls = t.Generator[StoreCall, StoreResult | None, T]


@frozen
class HistoryLink:
    """Where the record of a change lies."""

    revision: int
    piece: str


@frozen
class HeadRecord:
    """The head record: what is in force, and the way to its history."""

    revision: int = 0
    buckets: tuple[str, ...] = ("",) * BUCKETS
    links: tuple[HistoryLink, ...] = ()
    recent: tuple[tuple[str, int], ...] = ()

    def encode(self) -> bytes:
        """Return the octets of the record."""
        return json.dumps(dataclasses.asdict(self)).encode()

    @classmethod
    def decode(cls, value: bytes) -> "HeadRecord":
        """Read a record."""
        data = json.loads(value)
        return cls(
            revision=data["revision"],
            buckets=tuple(data["buckets"]),
            links=tuple(HistoryLink(**link) for link in data["links"]),
            recent=tuple((id, revision) for id, revision in data["recent"]),
        )

    def find_revision(self, change: str) -> int | None:
        """Return the revision of a recent change."""
        return dict(self.recent).get(change)


@frozen
class StoredCatalogue:
    """The head record as read, and the state that it names."""

    head: HeadRecord = HeadRecord()
    version: int = 0
    state: State = State()
    changes: tuple[Change, ...] = ()  # those newer than the state known before


@frozen
class AcceptedChange:
    """A change that is in the history, and what was stored after it."""

    change: Change
    stored: StoredCatalogue


@frozen
class CommitIntent:
    """The pieces of one commit: new ones, and those that they replace."""

    change: str
    base: int
    added: tuple[str, ...]
    replaced: tuple[str, ...]


def load(known: State = State()) -> StoreCalls[StoredCatalogue]:
    """Read what is in force, given the newest state known.

    :raises StoreUnavailable: if the store does not answer
    """
    pieces: dict[str, bytes] = {}
    for _ in range(MAX_TRIES):
        found = yield from _get(HEAD_KEY)
        head = HeadRecord.decode(found.value) if found.version else HeadRecord()
        if head.revision <= known.revision:
            return StoredCatalogue(head, found.version, known)
        try:
            state, changes = yield from _catch_up(head, known, pieces)
        except _PieceMissing:
            continue  # collected: the head has moved on
        return StoredCatalogue(head, found.version, state, changes)
    raise StoreUnavailable("the catalogue's head moved during every read of it")


def commit(
    proposal: Proposal, known: State, token: str, now: float
) -> StoreCalls[AcceptedChange]:
    """Carry a proposal out.

    The token is unique to this call.

    :raises ConflictError: naming who changed an entry since the base
    :raises CatalogueError: if the catalogue would not be valid
    :raises StoreUnavailable: if the change has not been and won't be accepted
    :raises StoreUnknown: if that cannot be told
    """
    for number in range(MAX_TRIES):
        stored = yield from load(known)
        known = stored.state
        revision = stored.head.find_revision(proposal.id)
        if revision is not None:
            change = yield from find(stored.head, revision)
            return AcceptedChange(change, stored)
        if stored.head.revision < known.revision:
            raise StoreUnavailable("the store's head is behind what is in force")
        change = build_change(stored.state, proposal, now)
        attempt = _Attempt(stored, change, f"{token}.{number}")
        yield from attempt.announce()
        yield from attempt.write()
        if (yield from attempt.swap()):
            return AcceptedChange(change, attempt.result())
        yield from _collect(attempt.intent.added)
    raise StoreUnavailable("other changes went first each time; none of this took")


def find(head: HeadRecord, revision: int) -> StoreCalls[Change]:
    """Read the change that made a revision.

    :raises CatalogueError: if the history has no such revision
    """
    links = head.links
    while True:
        later = [link for link in links if link.revision >= revision]
        if revision < 1 or not later:
            raise CatalogueError(f"there is no revision {revision}")
        nearest = min(later, key=lambda link: link.revision)
        change, links = yield from _read_change(nearest.piece)
        if nearest.revision == revision:
            return change


def history(head: HeadRecord, count: int) -> StoreCalls[tuple[Change, ...]]:
    """Read the newest changes, newest first."""
    changes = []
    links = head.links
    while links and len(changes) < count:
        change, links = yield from _read_change(links[0].piece)
        changes.append(change)
    return tuple(changes)


def bucket_of(id: EntryId) -> int:
    """Return the number of the bucket that holds an entry."""
    return zlib.crc32(str(id).encode()) % BUCKETS


class _PieceMissing(StoreUnavailable):
    """A piece that was collected since the head that names it was read."""


class _Attempt:
    """One attempt to put a change on top of one head."""

    def __init__(self, stored: StoredCatalogue, change: Change, name: str) -> None:
        self._stored = stored
        self._change = change
        self._name = name
        self._state = stored.state.with_change(change)
        self._numbers = sorted({bucket_of(r.id) for r in change.replacements})
        self._head = self._next_head()
        self._pieces = self._next_pieces()
        old = stored.head.buckets
        self.intent = CommitIntent(
            change.id,
            stored.head.revision,
            tuple(self._pieces),
            tuple(old[number] for number in self._numbers if old[number]),
        )

    def result(self) -> StoredCatalogue:
        """Return what is stored once the swap took effect."""
        changes = (*self._stored.changes, self._change)
        return StoredCatalogue(self._head, 0, self._state, changes)

    def announce(self) -> StoreCalls[None]:
        """Write down the pieces to come, and delete those now dead."""
        start = self._change.revision
        for slot in range(start, start + SLOTS):
            key = f"{PREFIX}intents/{slot % SLOTS}"
            found = yield from _get(key)
            intents = _decode_intents(found.value) if found.version else ()
            kept = []
            for intent in intents:
                if not (yield from self._collected(intent)):
                    kept.append(intent)
            value = _encode_intents([*kept, self.intent])
            result = yield SwapKey(key, found.version, value)
            if isinstance(result, SwapSucceeded):
                return
            if isinstance(result, StoreUnreachable):
                raise StoreUnavailable("the store did not take the change's intent")
        raise StoreUnavailable("the store did not settle the change's intent")

    def write(self) -> StoreCalls[None]:
        """Write the pieces, each under a name of its own."""
        for key, value in self._pieces.items():
            if len(value) > MAX_PIECE:
                raise CatalogueError(
                    f"the change makes a piece of {len(value)} bytes, above "
                    f"{MAX_PIECE}: split it"
                )
            yield from _write_piece(key, value)

    def swap(self) -> StoreCalls[bool]:
        """Try to move the head, and tell whether it took effect."""
        value = self._head.encode()
        doubtful = False
        for _ in range(MAX_TRIES):
            result = yield SwapKey(HEAD_KEY, self._stored.version, value)
            match result:
                case SwapSucceeded():
                    return True
                case SwapConflicted(value=other):
                    return (yield from self._won(HeadRecord.decode(other)))
                case StoreUnreachable() if not doubtful:
                    raise StoreUnavailable("the store did not take the change")
            doubtful = True
            yield Sleep(RETRY_DELAY)
        raise StoreUnknown(
            f"change {self._change.id} may have been accepted: ask for it by its id"
        )

    def _won(self, head: HeadRecord) -> StoreCalls[bool]:
        """Tell from a later head whether this attempt took effect.

        The head's version has moved, so that no delayed copy of the swap can
        take effect any more.
        """
        if head.revision <= self._stored.head.revision:
            return False
        for _ in range(MAX_TRIES):
            try:
                piece = yield from _piece_of(head, self._change.revision)
                return piece == self._record_key
            except StoreUnavailable:
                yield Sleep(RETRY_DELAY)
        raise StoreUnknown(
            f"change {self._change.id} may have been accepted: ask for it by its id"
        )

    @property
    def _record_key(self) -> str:
        return f"{PREFIX}changes/{self._name}"

    def _bucket_key(self, number: int) -> str:
        return f"{PREFIX}buckets/{self._name}.{number}"

    def _next_head(self) -> HeadRecord:
        revision = self._change.revision
        old = self._stored.head
        buckets = list(old.buckets)
        for number in self._numbers:
            buckets[number] = self._bucket_key(number)
        recent = (*old.recent, (self._change.id, revision))[-RECENT:]
        link = HistoryLink(revision, self._record_key)
        links = [*old.links]
        for level in range(LINK_LEVELS):
            if level >= len(links):
                links.append(link)
            elif revision % LINK_BASE**level == 0:
                links[level] = link
        return HeadRecord(revision, tuple(buckets), tuple(links), recent)

    def _next_pieces(self) -> dict[str, bytes]:
        record = {
            "change": change_to_json(self._change),
            "links": [dataclasses.asdict(link) for link in self._stored.head.links],
        }
        pieces = {self._record_key: json.dumps(record).encode()}
        oldest = self._change.revision - TOMBSTONE_REVISIONS
        ids: dict[int, list[EntryId]] = {number: [] for number in self._numbers}
        for id, mark in self._state.marks.items():
            number = bucket_of(id)
            kept = self._state.catalogue.find(id) or mark.revision > oldest
            if number in ids and kept:
                ids[number].append(id)
        for number in self._numbers:
            rows = state_to_json(self._state, ids[number])
            pieces[self._bucket_key(number)] = json.dumps(rows).encode()
        return pieces

    def _collected(self, intent: CommitIntent) -> StoreCalls[bool]:
        """Delete what an intent left behind, if its commit has ended.

        Once the head has moved past its base, no swap of it can take effect.
        """
        if intent.base >= self._stored.head.revision:
            return False
        piece = yield from _piece_of(self._stored.head, intent.base + 1)
        won = piece in intent.added
        return (yield from _collect(intent.replaced if won else intent.added))


def _catch_up(
    head: HeadRecord, known: State, pieces: dict[str, bytes]
) -> StoreCalls[tuple[State, tuple[Change, ...]]]:
    if head.revision - known.revision <= MAX_WALK and known.revision:
        changes = yield from history(head, head.revision - known.revision)
        state = known
        for change in reversed(changes):
            state = state.with_change(change)
        return state, changes[::-1]
    rows = []
    for name in filter(None, head.buckets):
        if name not in pieces:
            pieces[name] = yield from _read_piece(name)
        rows.extend(json.loads(pieces[name]))
    return state_from_json(rows, head.revision), ()


def _piece_of(head: HeadRecord, revision: int) -> StoreCalls[str]:
    """Return the name of the record that made a revision."""
    links = head.links
    while True:
        later = [link for link in links if link.revision >= revision]
        nearest = min(later, key=lambda link: link.revision)
        if nearest.revision == revision:
            return nearest.piece
        _, links = yield from _read_change(nearest.piece)


def _read_change(piece: str) -> StoreCalls[tuple[Change, tuple[HistoryLink, ...]]]:
    record = json.loads((yield from _read_piece(piece)))
    links = tuple(HistoryLink(**link) for link in record["links"])
    return change_from_json(record["change"]), links


def _read_piece(key: str) -> StoreCalls[bytes]:
    found = yield from _get(key)
    if not found.version:
        raise _PieceMissing(f'the store has no piece "{key}"')
    return found.value


def _get(key: str) -> StoreCalls[ValueRead]:
    result = yield ReadKey(key)
    if not isinstance(result, ValueRead):
        raise StoreUnavailable(f'the store did not answer a read of "{key}"')
    return result


def _write_piece(key: str, value: bytes) -> StoreCalls[None]:
    for _ in range(MAX_TRIES):
        result = yield SwapKey(key, 0, value)
        match result:
            case SwapSucceeded():
                return
            case SwapConflicted(value=other) if other == value:
                return  # an earlier attempt whose answer was lost
            case OutcomeUnknown():
                yield Sleep(RETRY_DELAY)
            case _:
                break
    raise StoreUnavailable(f'the store did not take the piece "{key}"')


def _collect(names: t.Iterable[str]) -> StoreCalls[bool]:
    """Delete pieces that nothing refers to, and tell whether all are gone."""
    gone = True
    for name in names:
        found = yield ReadKey(name)
        if isinstance(found, ValueRead) and found.version:
            found = yield DeleteKey(name, found.version)
        gone = gone and not isinstance(found, (StoreUnreachable, OutcomeUnknown))
    return gone


def _encode_intents(intents: t.Iterable[CommitIntent]) -> bytes:
    return json.dumps([dataclasses.asdict(intent) for intent in intents]).encode()


def _decode_intents(value: bytes) -> tuple[CommitIntent, ...]:
    return tuple(
        CommitIntent(i["change"], i["base"], tuple(i["added"]), tuple(i["replaced"]))
        for i in json.loads(value)
    )
