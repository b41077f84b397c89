"""The protocol by which changes of the catalogue are committed to the store.

A commit writes immutable pieces, each under a key of its own, and then
replaces the head record, which names them, by compare-and-swap.  The functions
are generators that yield store calls and are sent the results, so that they
neither do I/O nor read a clock.
"""

import dataclasses
import json
import typing as t
import zlib

from .catalogue import EntryId
from .change import (
    DELETED_MARK_RETENTION,
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
INTENT_SLOTS = 8  # keys that hold the intents of commits
MAX_PIECE_SIZE = 1_000_000  # bytes; the store's limit is 1 MB
LINK_BASE = 16  # a link of level n is to the last multiple of 16**n
LINK_LEVELS = 6
MAX_RECENT_CHANGES = 64  # whose ids are in the head record
MAX_CATCH_UP = 64  # changes; if there are more, the buckets are read instead
MAX_TRIES = 8
RETRY_DELAY = 0.2  # seconds

frozen = dataclasses.dataclass(frozen=True, slots=True)


@frozen
class ReadKey:
    """Read a key."""

    key: str


@frozen
class SwapKey:
    """Write a key if its version is as given; 0 means that it is absent."""

    key: str
    version: int
    value: bytes


@frozen
class DeleteKey:
    """Delete a key if its version is as given."""

    key: str
    version: int


@frozen
class Sleep:
    """Wait for some seconds."""

    seconds: float


StoreCall = ReadKey | SwapKey | DeleteKey | Sleep
T = t.TypeVar("T")
StoreCalls = t.Generator[StoreCall, StoreResult | None, T]


@frozen
class HistoryLink:
    """The key of the piece that holds the record of a change."""

    revision: int
    piece: str


@frozen
class HeadRecord:
    """The record that names the pieces in force and links to the history."""

    revision: int = 0
    buckets: tuple[str, ...] = ("",) * BUCKETS
    links: tuple[HistoryLink, ...] = ()
    recent: tuple[tuple[str, int], ...] = ()

    def encode(self) -> bytes:
        """Return the stored form of the record."""
        return json.dumps(dataclasses.asdict(self)).encode()

    @classmethod
    def decode(cls, value: bytes) -> "HeadRecord":
        """Read a record from its stored form."""
        data = json.loads(value)
        return cls(
            revision=data["revision"],
            buckets=tuple(data["buckets"]),
            links=tuple(HistoryLink(**link) for link in data["links"]),
            recent=tuple((id, revision) for id, revision in data["recent"]),
        )

    def find_revision(self, change: str) -> int | None:
        """Return the revision of a change, or None if it is not recent."""
        return dict(self.recent).get(change)


@frozen
class StoredCatalogue:
    """The head record with its version in the store, and its state."""

    head: HeadRecord = HeadRecord()
    version: int = 0
    state: State = State()
    changes: tuple[Change, ...] = ()  # newer than the caller's state


@frozen
class AcceptedChange:
    """A change that is in the history, and the stored catalogue with it."""

    change: Change
    stored: StoredCatalogue


@frozen
class CommitIntent:
    """The pieces that a commit adds, and those that they replace."""

    change: str
    base: int
    added: tuple[str, ...]
    replaced: tuple[str, ...]


def load(local_state: State = State()) -> StoreCalls[StoredCatalogue]:
    """Read the catalogue in force; the caller's state saves reads.

    :raises StoreUnavailable: if the store does not answer
    """
    pieces: dict[str, bytes] = {}
    for _ in range(MAX_TRIES):
        found = yield from _read_key(HEAD_KEY)
        head = HeadRecord.decode(found.value) if found.version else HeadRecord()
        if head.revision <= local_state.revision:
            return StoredCatalogue(head, found.version, local_state)
        try:
            state, changes = yield from _catch_up(head, local_state, pieces)
        except _PieceMissing:
            continue  # deleted: the head record has been replaced
        return StoredCatalogue(head, found.version, state, changes)
    raise StoreUnavailable(
        "the catalogue's head changed during each attempt to read it"
    )


def commit(
    proposal: Proposal, local_state: State, token: str, now: float
) -> StoreCalls[AcceptedChange]:
    """Commit the change that a proposal makes.

    The token is unique to this call, and starts the names of its pieces.

    :raises ConflictError: naming who changed an entry since the base
    :raises CatalogueError: if the catalogue would not be valid
    :raises StoreUnavailable: if the change is not accepted and won't be later
    :raises StoreUnknown: if the change may have been accepted
    """
    for number in range(MAX_TRIES):
        stored = yield from load(local_state)
        local_state = stored.state
        revision = stored.head.find_revision(proposal.id)
        if revision is not None:
            change = yield from find(stored.head, revision)
            return AcceptedChange(change, stored)
        if stored.head.revision < local_state.revision:
            raise StoreUnavailable(
                "the store's catalogue is older than the one in force"
            )
        change = build_change(stored.state, proposal, now)
        attempt = _CommitAttempt(stored, change, f"{token}.{number}")
        yield from attempt.record_intent()
        yield from attempt.write_pieces()
        if (yield from attempt.swap_head()):
            return AcceptedChange(change, attempt.result())
        yield from _delete_pieces(attempt.intent.added)
    raise StoreUnavailable(
        "not accepted: other changes were committed first in every try"
    )


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


def bucket_number(id: EntryId) -> int:
    """Return the number of the bucket that holds an entry."""
    return zlib.crc32(str(id).encode()) % BUCKETS


class _PieceMissing(StoreUnavailable):
    """A piece that was deleted after the head that names it was read."""


class _CommitAttempt:
    """An attempt to commit a change on top of the head record as read."""

    def __init__(self, stored: StoredCatalogue, change: Change, name: str) -> None:
        self._stored = stored
        self._change = change
        self._name_prefix = name
        self._state = stored.state.with_change(change)
        self._bucket_numbers = sorted(
            {bucket_number(each.id) for each in change.replacements}
        )
        self._head = self._build_head()
        self._pieces = self._build_pieces()
        old = stored.head.buckets
        self.intent = CommitIntent(
            change.id,
            stored.head.revision,
            tuple(self._pieces),
            tuple(old[number] for number in self._bucket_numbers if old[number]),
        )

    def result(self) -> StoredCatalogue:
        """Return what is stored after a successful swap."""
        changes = (*self._stored.changes, self._change)
        return StoredCatalogue(self._head, 0, self._state, changes)

    def record_intent(self) -> StoreCalls[None]:
        """Record the pieces to write, and delete those of ended commits."""
        start = self._change.revision
        for slot in range(start, start + INTENT_SLOTS):
            key = f"{PREFIX}intents/{slot % INTENT_SLOTS}"
            found = yield from _read_key(key)
            intents = _decode_intents(found.value) if found.version else ()
            kept = []
            for intent in intents:
                if not (yield from self._collect_intent(intent)):
                    kept.append(intent)
            value = _encode_intents([*kept, self.intent])
            result = yield SwapKey(key, found.version, value)
            if isinstance(result, SwapSucceeded):
                return
            if isinstance(result, StoreUnreachable):
                raise StoreUnavailable("the store did not accept the change's intent")
        raise StoreUnavailable("the change's intent could not be written to any slot")

    def write_pieces(self) -> StoreCalls[None]:
        """Write the pieces, each under a key of its own."""
        for key, value in self._pieces.items():
            if len(value) > MAX_PIECE_SIZE:
                raise CatalogueError(
                    f"the change makes a piece of {len(value)} bytes, above "
                    f"{MAX_PIECE_SIZE}: split it"
                )
            yield from _write_piece(key, value)

    def swap_head(self) -> StoreCalls[bool]:
        """Replace the head record, and return whether that took effect."""
        value = self._head.encode()
        doubtful = False
        for _ in range(MAX_TRIES):
            result = yield SwapKey(HEAD_KEY, self._stored.version, value)
            match result:
                case SwapSucceeded():
                    return True
                case SwapConflicted(value=other):
                    return (yield from self._took_effect(HeadRecord.decode(other)))
                case StoreUnreachable() if not doubtful:
                    raise StoreUnavailable("the store did not accept the change")
            doubtful = True
            yield Sleep(RETRY_DELAY)
        raise StoreUnknown(
            f"change {self._change.id} may have been accepted: look it up by its id"
        )

    def _took_effect(self, head: HeadRecord) -> StoreCalls[bool]:
        """Return whether this attempt took effect, given a newer head record.

        As the version of the head's key is another one, no delayed copy of the
        swap can take effect any more.
        """
        if head.revision <= self._stored.head.revision:
            return False
        for _ in range(MAX_TRIES):
            try:
                piece = yield from _find_record_key(head, self._change.revision)
                return piece == self._record_key
            except StoreUnavailable:
                yield Sleep(RETRY_DELAY)
        raise StoreUnknown(
            f"change {self._change.id} may have been accepted: look it up by its id"
        )

    @property
    def _record_key(self) -> str:
        return f"{PREFIX}changes/{self._name_prefix}"

    def _bucket_key(self, number: int) -> str:
        return f"{PREFIX}buckets/{self._name_prefix}.{number}"

    def _build_head(self) -> HeadRecord:
        revision = self._change.revision
        old = self._stored.head
        buckets = list(old.buckets)
        for number in self._bucket_numbers:
            buckets[number] = self._bucket_key(number)
        recent = (*old.recent, (self._change.id, revision))[-MAX_RECENT_CHANGES:]
        link = HistoryLink(revision, self._record_key)
        links = [*old.links]
        for level in range(LINK_LEVELS):
            if level >= len(links):
                links.append(link)
            elif revision % LINK_BASE**level == 0:
                links[level] = link
        return HeadRecord(revision, tuple(buckets), tuple(links), recent)

    def _build_pieces(self) -> dict[str, bytes]:
        record = {
            "change": change_to_json(self._change),
            "links": [dataclasses.asdict(link) for link in self._stored.head.links],
        }
        pieces = {self._record_key: json.dumps(record).encode()}
        oldest = self._change.revision - DELETED_MARK_RETENTION
        ids: dict[int, list[EntryId]] = {number: [] for number in self._bucket_numbers}
        for id, mark in self._state.marks.items():
            number = bucket_number(id)
            kept = self._state.catalogue.find(id) or mark.revision > oldest
            if number in ids and kept:
                ids[number].append(id)
        for number in self._bucket_numbers:
            rows = state_to_json(self._state, ids[number])
            pieces[self._bucket_key(number)] = json.dumps(rows).encode()
        return pieces

    def _collect_intent(self, intent: CommitIntent) -> StoreCalls[bool]:
        """Delete the pieces that an ended commit left unused.

        A commit has ended if the head's revision is above its base: no swap of
        it can take effect any more.  Return whether nothing is left to delete.
        """
        if intent.base >= self._stored.head.revision:
            return False
        piece = yield from _find_record_key(self._stored.head, intent.base + 1)
        committed = piece in intent.added
        return (
            yield from _delete_pieces(intent.replaced if committed else intent.added)
        )


def _catch_up(
    head: HeadRecord, local_state: State, pieces: dict[str, bytes]
) -> StoreCalls[tuple[State, tuple[Change, ...]]]:
    if head.revision - local_state.revision <= MAX_CATCH_UP and local_state.revision:
        changes = yield from history(head, head.revision - local_state.revision)
        state = local_state
        for change in reversed(changes):
            state = state.with_change(change)
        return state, changes[::-1]
    rows = []
    for name in filter(None, head.buckets):
        if name not in pieces:
            pieces[name] = yield from _read_piece(name)
        rows.extend(json.loads(pieces[name]))
    return state_from_json(rows, head.revision), ()


def _find_record_key(head: HeadRecord, revision: int) -> StoreCalls[str]:
    """Return the key of the change record of a revision."""
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
    found = yield from _read_key(key)
    if not found.version:
        raise _PieceMissing(f'the store has no piece "{key}"')
    return found.value


def _read_key(key: str) -> StoreCalls[ValueRead]:
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
                return  # written by an earlier try whose answer was lost
            case OutcomeUnknown():
                yield Sleep(RETRY_DELAY)
            case _:
                break
    raise StoreUnavailable(f'the store did not accept the piece "{key}"')


def _delete_pieces(names: t.Iterable[str]) -> StoreCalls[bool]:
    """Delete unreferenced pieces, and return whether all are deleted."""
    deleted = True
    for name in names:
        found = yield ReadKey(name)
        if isinstance(found, ValueRead) and found.version:
            found = yield DeleteKey(name, found.version)
        deleted = deleted and not isinstance(found, (StoreUnreachable, OutcomeUnknown))
    return deleted


def _encode_intents(intents: t.Iterable[CommitIntent]) -> bytes:
    return json.dumps([dataclasses.asdict(intent) for intent in intents]).encode()


def _decode_intents(value: bytes) -> tuple[CommitIntent, ...]:
    return tuple(
        CommitIntent(
            each["change"], each["base"], tuple(each["added"]), tuple(each["replaced"])
        )
        for each in json.loads(value)
    )
