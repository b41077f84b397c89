"""A client of the platform's store."""

import asyncio
import base64
import dataclasses
import typing as t
import urllib.parse

import msgspec

from ..direct.client import CallFailed, HttpClient, Reply, ReplyTooLong
from ..direct.store_revision import StoreRevision
from ..exceptions import LeaseLost, PlatformError, StoreUnavailable, StoreUnknown

TOO_MANY_REQUESTS = 429  # the store's rate limit is exceeded
# Seconds until an answer begins; the store answers in 4 ms, at worst 60 times
# slower.
CALL_TIMEOUT = 1.0
MAX_SILENCE = 1.0  # seconds between parts of an answer
WATCH_DURATION = 4.0  # seconds; limits the delay by a watch that broke unnoticed
WATCH_TIMEOUT_MARGIN = 1.5  # seconds after that until a watch without answer is broken
MAX_PAGES = 1000  # of one list, so that a faulty store cannot make it endless
MAX_PAGE_TRIES = 8  # of a page, so that a list in progress is not started again
PAGE_RETRY_DELAY = 0.1  # seconds between tries
ERA = b"store-era"  # rises when the store is restored from a copy
MAX_ERA_DIGITS = 15


class HistoryLost(PlatformError):
    """The store cannot return the changes after a revision."""


class StoreRestored(HistoryLost):
    """The store was restored from a copy, which may lack the revision."""


class AnswerTooLarge(PlatformError):
    """An answer of the store has more bytes than the caller reads."""


class Item(msgspec.Struct, frozen=True):
    """A key's value or deletion at a revision."""

    key: str
    revision: int
    value: str = ""  # base64
    deleted: bool = False

    @property
    def data(self) -> bytes:
        """Return the value's bytes.

        :raises ValueError: if they are not base64
        """
        return base64.b64decode(self.value, validate=True)


class _Range(msgspec.Struct):
    items: list[Item]
    storeRevision: int
    morePages: bool = False


class _Events(msgspec.Struct):
    events: list[Item]
    storeRevision: int


class _Lease(msgspec.Struct):
    lease: int


class ItemBatch(msgspec.Struct, frozen=True):
    """A page of a list or the changes of a watch.

    A watch from the revision returns all later changes.
    """

    items: tuple[Item, ...]
    revision: StoreRevision


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """A lease, whose id means another one in a later era or none."""

    id: int
    era: int


_range_decoder = msgspec.json.Decoder(_Range)
_events_decoder = msgspec.json.Decoder(_Events)
_lease_decoder = msgspec.json.Decoder(_Lease)
DecodedT = t.TypeVar("DecodedT")


class Store:
    """Calls the store.

    Watches, lists and reads of a key do not wait for one another, and a
    renewal waits for none of them.
    """

    def __init__(self, address: str) -> None:
        """Use the store at "ip:port"."""
        self._call_client = HttpClient(address)
        self._watch_client = HttpClient(address)
        self._list_client = HttpClient(address)
        self._read_client = HttpClient(address)

    def close(self) -> None:
        """Close all connections."""
        self._call_client.close()
        self._watch_client.close()
        self._list_client.close()
        self._read_client.close()

    async def pages(
        self, prefix: str, max_size: int | None = None
    ) -> t.AsyncIterator[ItemBatch]:
        """Yield the items under a prefix, page by page.

        Pages are read one after another, not as of one revision. Each carries
        the revision of the first, so that a watch from it misses no change.

        :raises AnswerTooLarge: if a page has more bytes than are to be read
        :raises StoreRestored: if a page is of another era than the first
        :raises StoreUnavailable: if the store does not answer
        """
        revision = None
        after = ""
        for _ in range(MAX_PAGES):
            query = {"prefix": prefix}
            if after:
                query["after"] = after
            page, era = await self._fetch_page(self._list_client, query, max_size)
            if revision is None:
                revision = StoreRevision(era, page.storeRevision)
            _check_era(revision.era, era)
            yield ItemBatch(tuple(page.items), revision)
            if not page.morePages or not page.items:
                return
            after = page.items[-1].key
        raise StoreUnavailable("the list of the store has too many pages")

    async def read(self, key: str) -> ItemBatch:
        """Return the newest item of a key, or none, and the store's revision.

        :raises StoreUnavailable: if the store does not answer
        """
        # The answer for a single key that does not exist has no revision.
        page, era = await self._fetch_page(self._read_client, {"prefix": key})
        items = tuple(item for item in page.items if item.key == key)
        return ItemBatch(items, StoreRevision(era, page.storeRevision))

    async def watch(
        self,
        prefix: str,
        after: StoreRevision,
        duration: float,
        max_size: int | None = None,
    ) -> ItemBatch:
        """Return the changes after a revision, or none after some seconds.

        :raises AnswerTooLarge: if they have more bytes than are to be read
        :raises HistoryLost: if the store has compacted these changes
        :raises StoreRestored: if the store is in another era
        :raises StoreUnavailable: if the store does not answer
        """
        query = {
            "prefix": prefix,
            "after": str(after.number),
            "waitMs": str(int(duration * 1000)),
        }
        path = f"/chicorycove/kv-watch?{urllib.parse.urlencode(query)}"
        timeout = duration + WATCH_TIMEOUT_MARGIN
        reply = await self._get(
            self._watch_client, path, timeout, WATCH_TIMEOUT_MARGIN, max_size
        )
        if reply.status == 410:
            raise HistoryLost("the store has compacted its history")
        changes = _decode(_events_decoder, reply)
        _check_era(after.era, _parse_era(reply))
        revision = StoreRevision(after.era, changes.storeRevision)
        return ItemBatch(tuple(changes.events), revision)

    async def grant(self, ttl: float) -> Lease:
        """Return a new lease; its time to live is in seconds.

        :raises StoreUnavailable: if the store did not grant it
        :raises StoreUnknown: if the store may have granted it
        """
        body = msgspec.json.encode({"ttlMs": int(ttl * 1000)})
        reply = await self._call("POST", "/chicorycove/kv-lease", body)
        return Lease(_decode(_lease_decoder, reply).lease, _parse_era(reply))

    async def renew(self, lease: Lease) -> None:
        """Renew a lease.

        :raises LeaseLost: if it has ended, or is of another era than the store
        :raises StoreUnavailable: if the store did not renew it
        :raises StoreUnknown: if the store may have renewed it
        """
        reply = await self._call("POST", f"/chicorycove/kv-keep/{lease.id}")
        _check_lease(lease, reply)

    async def revoke(self, lease: Lease) -> None:
        """Revoke a lease, which deletes its keys.

        :raises StoreUnavailable: if the store did not revoke it
        :raises StoreUnknown: if the store may have revoked it
        """
        await self._call("DELETE", f"/chicorycove/kv-lease-end/{lease.id}")

    async def put(self, key: str, value: bytes, lease: Lease) -> None:
        """Write a key that is deleted when its lease ends.

        :raises LeaseLost: if it has ended, or is of another era than the store
        :raises StoreUnavailable: if the store did not write it
        :raises StoreUnknown: if the store may have written it
        """
        encoded = base64.b64encode(value).decode()
        item = {"key": key, "value": encoded, "lease": lease.id}
        body = msgspec.json.encode({"expected": [], "puts": [item], "remove": []})
        reply = await self._call("POST", "/chicorycove/kv-txn", body)
        _check_lease(lease, reply)

    async def _fetch_page(
        self, client: HttpClient, query: dict[str, str], max_size: int | None = None
    ) -> tuple[_Range, int]:
        """Return a page and its era.

        A refused page after the first is tried again.
        """
        tries_left = MAX_PAGE_TRIES if "after" in query else 1
        while True:
            path = f"/chicorycove/kv-range?{urllib.parse.urlencode(query)}"
            reply = await self._get(client, path, CALL_TIMEOUT, max_size=max_size)
            tries_left -= 1
            if reply.status != TOO_MANY_REQUESTS or not tries_left:
                return _decode(_range_decoder, reply), _parse_era(reply)
            await asyncio.sleep(PAGE_RETRY_DELAY)

    async def _get(
        self,
        client: HttpClient,
        path: str,
        timeout: float,
        max_silence: float = MAX_SILENCE,
        max_size: int | None = None,
    ) -> Reply:
        try:
            return await client.call(
                "GET",
                path,
                timeout=timeout,
                max_silence=max_silence,
                max_body_size=max_size,
            )
        except ReplyTooLong as error:
            raise AnswerTooLarge(str(error)) from None
        except CallFailed as error:
            raise StoreUnavailable(str(error), silence=error.silence) from None

    async def _call(self, method: str, path: str, body: bytes = b"") -> Reply:
        try:
            return await self._call_client.call(method, path, body, CALL_TIMEOUT)
        except CallFailed as error:
            if error.sent:
                raise StoreUnknown(str(error)) from None
            raise StoreUnavailable(str(error)) from None


def _check(reply: Reply) -> None:
    if reply.status != 200:
        raise StoreUnavailable(f"the store answered with status {reply.status}")


def _decode(decoder: "msgspec.json.Decoder[DecodedT]", reply: Reply) -> DecodedT:
    _check(reply)
    try:
        return decoder.decode(reply.body)
    except msgspec.MsgspecError as error:
        raise StoreUnavailable(f"invalid answer of the store: {error}") from None


def _parse_era(reply: Reply) -> int:
    """Return the era that an answer names, or 0 if it names none."""
    for name, value in reply.headers:
        if name.lower() == ERA:
            valid = value.isdigit() and len(value) <= MAX_ERA_DIGITS
            return int(value) if valid else 0
    return 0


def _check_era(expected: int, era: int) -> None:
    if era != expected:
        raise StoreRestored(f"the store is in era {era}, no longer in era {expected}")


def _check_lease(lease: Lease, reply: Reply) -> None:
    if reply.status == 404:
        raise LeaseLost(f"lease {lease.id} has ended")
    _check(reply)
    era = _parse_era(reply)
    if era != lease.era:
        raise LeaseLost(f"lease {lease.id} is of era {lease.era}, the store in {era}")
