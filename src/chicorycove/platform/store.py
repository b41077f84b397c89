"""The calls of the platform's store."""

import asyncio
import base64
import typing as t
import urllib.parse

import msgspec

from ..direct.client import CallFailed, HttpClient, Reply
from ..exceptions import LeaseLost, PlatformError, StoreUnavailable, StoreUnknown

TOO_MANY_REQUESTS = 429  # calls: the store refuses what exceeds its rate
CALL_TIMEOUT = 1.0  # seconds; the store answers in 4 ms, 60 times slower at worst
WATCH_DURATION = 4.0  # seconds; a watch that has broken unseen costs no more
WATCH_TIMEOUT_MARGIN = 1.5  # seconds more until a silent watch counts as broken
MAX_PAGES = 1000  # of one list, so that a store at fault ends it
MAX_PAGE_TRIES = 8  # of a page, so that a list under way is not begun anew
PAGE_RETRY_DELAY = 0.1  # seconds between them


class HistoryLost(PlatformError):
    """The store no longer has the events after a revision."""


class Item(msgspec.Struct, frozen=True):
    """A key's state, or its deletion."""

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
    """All items under a prefix, and the revision to watch on from."""

    items: tuple[Item, ...]
    revision: int


_range_decoder = msgspec.json.Decoder(_Range)
_events_decoder = msgspec.json.Decoder(_Events)
_lease_decoder = msgspec.json.Decoder(_Lease)
DecodedT = t.TypeVar("DecodedT")


class Store:
    """Calls the store at an address; watches have their own connection."""

    def __init__(self, address: str) -> None:
        """Use the store at "ip:port"."""
        self._call_client = HttpClient(address)
        self._watch_client = HttpClient(address)

    def close(self) -> None:
        """Close both connections."""
        self._call_client.close()
        self._watch_client.close()

    async def pages(self, prefix: str) -> t.AsyncIterator[ItemBatch]:
        """Yield what is under a prefix, page by page.

        Pages are not of one moment: each has the revision of the first,
        so that a watch from there misses nothing.

        :raises StoreUnavailable: if the store does not answer
        """
        revision = None
        after = ""
        for _ in range(MAX_PAGES):
            query = {"prefix": prefix}
            if after:
                query["after"] = after
            page = await self._fetch_page(query)
            revision = page.storeRevision if revision is None else revision
            yield ItemBatch(tuple(page.items), revision)
            if not page.morePages or not page.items:
                return
            after = page.items[-1].key
        raise StoreUnavailable("a list of the store has no end")

    async def watch(self, prefix: str, after: int) -> ItemBatch:
        """Wait for what changes after a revision; there may be nothing.

        :raises HistoryLost: if the store has forgotten
        :raises StoreUnavailable: if the store does not answer
        """
        query = {
            "prefix": prefix,
            "after": str(after),
            "waitMs": str(int(WATCH_DURATION * 1000)),
        }
        path = f"/chicorycove/kv-watch?{urllib.parse.urlencode(query)}"
        try:
            timeout = WATCH_DURATION + WATCH_TIMEOUT_MARGIN
            reply = await self._watch_client.call("GET", path, timeout=timeout)
        except CallFailed as error:
            raise StoreUnavailable(str(error)) from None
        if reply.status == 410:
            raise HistoryLost("the store has forgotten its history")
        changes = _decode(_events_decoder, reply)
        return ItemBatch(tuple(changes.events), changes.storeRevision)

    async def grant(self, ttl: float) -> int:
        """Return the number of a new lease of some seconds.

        :raises StoreUnavailable: if there is none
        """
        body = msgspec.json.encode({"ttlMs": int(ttl * 1000)})
        reply = await self._call("POST", "/chicorycove/kv-lease", {}, body)
        return _decode(_lease_decoder, reply).lease

    async def renew(self, lease: int) -> None:
        """Renew a lease.

        :raises LeaseLost: if it has ended
        :raises StoreUnavailable: if the store does not answer
        """
        reply = await self._call("POST", f"/chicorycove/kv-keep/{lease}", {})
        if reply.status == 404:
            raise LeaseLost(f"lease {lease} has ended")
        _check(reply)

    async def revoke(self, lease: int) -> None:
        """End a lease and remove its keys.

        :raises StoreUnavailable: if the store does not answer
        """
        await self._call("DELETE", f"/chicorycove/kv-lease-end/{lease}", {})

    async def put(self, key: str, value: bytes, lease: int) -> None:
        """Write a key that goes with a lease.

        :raises LeaseLost: if the lease has ended
        :raises StoreUnavailable: if the store did not do it
        """
        item = {"key": key, "value": base64.b64encode(value).decode(), "lease": lease}
        body = msgspec.json.encode({"expected": [], "puts": [item], "remove": []})
        reply = await self._call("POST", "/chicorycove/kv-txn", {}, body)
        if reply.status == 404:
            raise LeaseLost(f"lease {lease} has ended")
        _check(reply)

    async def _fetch_page(self, query: dict[str, str]) -> _Range:
        """Return a page; one after the first is worth some tries."""
        tries_left = MAX_PAGE_TRIES if "after" in query else 1
        while True:
            reply = await self._call("GET", "/chicorycove/kv-range", query)
            tries_left -= 1
            if reply.status != TOO_MANY_REQUESTS or not tries_left:
                return _decode(_range_decoder, reply)
            await asyncio.sleep(PAGE_RETRY_DELAY)

    async def _call(
        self, method: str, path: str, query: dict[str, str], body: bytes = b""
    ) -> Reply:
        if query:
            path = f"{path}?{urllib.parse.urlencode(query)}"
        try:
            return await self._call_client.call(method, path, body, CALL_TIMEOUT)
        except CallFailed as error:
            if error.sent and method != "GET":
                raise StoreUnknown(str(error)) from None
            raise StoreUnavailable(str(error)) from None


def _check(reply: Reply) -> None:
    if reply.status != 200:
        raise StoreUnavailable(f"the store answered {reply.status}")


def _decode(decoder: "msgspec.json.Decoder[DecodedT]", reply: Reply) -> DecodedT:
    _check(reply)
    try:
        return decoder.decode(reply.body)
    except msgspec.MsgspecError as error:
        raise StoreUnavailable(f"the store's answer: {error}") from None
