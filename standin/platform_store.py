"""A stand-in for the users' platform's store: items, leases and watches."""

import asyncio
import base64
import dataclasses
import time

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from . import server

PAGE_SIZE = 500  # items
MAX_PAGE_BYTES = 1_000_000  # of the values, after which a page ends
PROTECTED = ("op/", "servers/")  # prefixes that transactions may not write


@dataclasses.dataclass(slots=True)
class Item:
    """A key and its value."""

    key: str
    value: bytes
    revision: int  # of the last change
    created: int  # revision of the creation
    lease: int = 0  # id, or 0 for none

    def as_json(self) -> dict:
        """Return the item in its JSON form."""
        value = base64.b64encode(self.value).decode()
        return {**dataclasses.asdict(self), "value": value}


@dataclasses.dataclass(frozen=True, slots=True)
class Copy:
    """What a store held at a revision."""

    revision: int
    items: dict[str, Item]
    events: tuple[tuple[int, dict], ...]
    leases: dict[int, tuple[float, float]]


@dataclasses.dataclass(slots=True)
class Faults:
    """The faults in effect; delays are in seconds."""

    down: bool = False  # every call is answered with 503
    unresponsive: bool = False  # no call is answered
    delay: float = 0.0  # of every call
    rate_limited: int = 0  # next calls that are answered with 429
    page_delay: float = 0.0  # of each page of a list after the first
    watches_stalled: bool = False  # watches receive no events
    abort_watches: bool = False  # waiting watches are aborted


class PlatformStore:
    """A store and the handlers of its HTTP interface."""

    def __init__(self) -> None:
        self.faults = Faults()
        self.calls: list[str] = []
        self._items: dict[str, Item] = {}
        self._events: list[tuple[int, dict]] = []
        self._compacted_revision = 0  # watches from before it get 410
        self._revision = 1
        self._era = 1
        self._leases: dict[int, tuple[float, float]] = {}  # expiry, time to live
        self._newest_lease = 0
        self._kept_copy: Copy | None = None
        self._changed = asyncio.Event()

    # Access of the operator and the servers, which may write every key

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write an item and return its revision."""
        self._revision += 1
        old = self._items.get(key)
        created = old.created if old else self._revision
        item = Item(key, value, self._revision, created, lease)
        self._items[key] = item
        self._append_event(item.as_json())
        return self._revision

    def remove(self, key: str) -> None:
        """Delete an item if it exists."""
        if self._items.pop(key, None) is not None:
            self._revision += 1
            event = {"key": key, "revision": self._revision, "deleted": True}
            self._append_event(event)

    def compact(self) -> None:
        """Drop the history; watches of older revisions are answered 410."""
        self._events.clear()
        self._compacted_revision = self._revision
        self._notify_watches()

    def copy(self) -> Copy:
        """Return a copy of what the store holds."""
        return Copy(
            self._revision, dict(self._items), tuple(self._events), dict(self._leases)
        )

    def restore(self, copy: Copy) -> None:
        """Begin an era with what a copy holds.

        What was written since is lost, leases too, and the numbers of
        revisions and leases are assigned again.
        """
        self._era += 1
        self._revision, self._items = copy.revision, dict(copy.items)
        self._events = list(copy.events)
        now = time.monotonic()
        self._leases = {id: (now + ttl, ttl) for id, (_, ttl) in copy.leases.items()}
        self._newest_lease = max(self._leases, default=0)
        self._notify_watches()

    def keys(self, prefix: str = "") -> list[str]:
        """Return the keys with a prefix, sorted."""
        self._expire_leases()
        return sorted(key for key in self._items if key.startswith(prefix))

    def _append_event(self, event: dict) -> None:
        self._events.append((self._revision, event))
        self._notify_watches()

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _expire_leases(self) -> None:
        now = time.monotonic()
        for lease, (expires_at, _) in list(self._leases.items()):
            if expires_at <= now:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for key in [item.key for item in self._items.values() if item.lease == lease]:
            self.remove(key)

    # Handlers of the HTTP interface

    def app(self) -> Starlette:
        """Return the application of the HTTP interface."""
        calls = [
            ("/chicorycove/kv-key", self._key, "GET"),
            ("/chicorycove/kv-range", self._range, "GET"),
            ("/chicorycove/kv-watch", self._watch, "GET"),
            ("/chicorycove/kv-txn", self._txn, "POST"),
            ("/chicorycove/kv-lease", self._grant, "POST"),
            ("/chicorycove/kv-keep/{id:int}", self._keep_alive, "POST"),
            ("/chicorycove/kv-lease-end/{id:int}", self._revoke, "DELETE"),
        ]
        return Starlette(
            routes=[
                Route(path, self._with_faults(call), methods=[method])
                for path, call, method in calls
            ]
            + [
                Route("/operator/items", self._write_unchecked, methods=["POST"]),
                Route("/operator/compact", self._compact, methods=["POST"]),
                Route("/operator/copy", self._keep_copy, methods=["POST"]),
                Route("/operator/restore", self._restore_copy, methods=["POST"]),
            ]
        )

    def _with_faults(self, call):
        async def answer(request: Request) -> Response:
            response = await self._answer(call, request)
            response.headers["Store-Era"] = str(self._era)
            return response

        return answer

    async def _answer(self, call, request: Request) -> Response:
        self.calls.append(request.url.path)
        while self.faults.unresponsive:
            await asyncio.sleep(0.02)
        await asyncio.sleep(self.faults.delay)
        if self.faults.down:
            return Response(status_code=503)
        if self.faults.rate_limited:
            self.faults.rate_limited -= 1
            return Response(status_code=429)
        self._expire_leases()
        return await call(request)

    async def _write_unchecked(self, request: Request) -> Response:
        """Write or delete an item for the operator or a server."""
        body = await request.json()
        if body.get("value") is None:
            self.remove(body["key"])
        else:
            self.put(body["key"], body["value"].encode())
        return JSONResponse({"revision": self._revision})

    async def _compact(self, request: Request) -> Response:
        self.compact()
        return Response()

    async def _keep_copy(self, request: Request) -> Response:
        self._kept_copy = self.copy()
        return Response()

    async def _restore_copy(self, request: Request) -> Response:
        if self._kept_copy is not None:
            self.restore(self._kept_copy)
        return Response()

    async def _key(self, request: Request) -> Response:
        item = self._items.get(request.query_params["key"])
        if item is None:
            return Response(status_code=404)
        return JSONResponse({**item.as_json(), "storeRevision": self._revision})

    async def _range(self, request: Request) -> Response:
        query = request.query_params
        after = query.get("after", "")
        if after:
            await asyncio.sleep(self.faults.page_delay)
        keys = [key for key in self.keys(query.get("prefix", "")) if key > after]
        page: list[dict] = []
        size = 0
        for key in keys[:PAGE_SIZE]:
            page.append(self._items[key].as_json())
            size += len(page[-1]["value"])
            if size > MAX_PAGE_BYTES:
                break
        more = len(keys) > len(page)
        answer = {"items": page, "morePages": more, "storeRevision": self._revision}
        return JSONResponse(answer)

    async def _watch(self, request: Request) -> Response:
        query = request.query_params
        after = int(query["after"])
        deadline = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            if self.faults.down:
                return Response(status_code=503)
            if self.faults.abort_watches:
                await server.abort_connection(request)
                return Response()
            if self.faults.watches_stalled:
                await asyncio.sleep(0.05)
                continue
            if not self._compacted_revision <= after <= self._revision:
                return Response(status_code=410)
            events = [
                event
                for revision, event in self._events
                if revision > after and event["key"].startswith(query["prefix"])
            ]
            remaining = deadline - time.monotonic()
            if events or remaining <= 0:
                answer = {"events": events, "storeRevision": self._revision}
                return JSONResponse(answer)
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), min(remaining, 0.05))
            except TimeoutError:
                self._expire_leases()

    async def _txn(self, request: Request) -> Response:
        body = await request.json()
        keys = [put["key"] for put in body["puts"]] + body["remove"]
        if any(key.startswith(PROTECTED) for key in keys):
            return Response(status_code=403)
        for expected in body["expected"]:
            item = self._items.get(expected["key"])
            if (item.revision if item else 0) != expected["revision"]:
                return JSONResponse({"items": []}, 412)
        for put in body["puts"]:
            lease = put.get("lease", 0)
            if lease and lease not in self._leases:
                return Response(status_code=404)
        for put in body["puts"]:
            value = base64.b64decode(put["value"])
            self.put(put["key"], value, put.get("lease", 0))
        for key in body["remove"]:
            self.remove(key)
        return JSONResponse({"revision": self._revision})

    async def _grant(self, request: Request) -> Response:
        ttl = (await request.json())["ttlMs"]
        self._newest_lease += 1
        lease = self._newest_lease
        self._leases[lease] = (time.monotonic() + ttl / 1000, ttl / 1000)
        return JSONResponse({"lease": lease, "ttlMs": ttl})

    async def _keep_alive(self, request: Request) -> Response:
        lease = request.path_params["id"]
        if lease not in self._leases:
            return Response(status_code=404)
        ttl = self._leases[lease][1]
        self._leases[lease] = (time.monotonic() + ttl, ttl)
        return JSONResponse({"ttlMs": int(ttl * 1000)})

    async def _revoke(self, request: Request) -> Response:
        self._end_lease(request.path_params["id"])
        return JSONResponse({})


def main() -> None:
    """Serve an empty store until the process receives a signal to stop."""
    options = server.create_parser(__doc__).parse_args()
    server.run(PlatformStore().app(), options.host, options.port)


async def start() -> tuple[PlatformStore, server.Server]:
    """Serve a new, empty store on loopback."""
    store = PlatformStore()
    return store, await server.serve(store.app())


if __name__ == "__main__":
    main()
