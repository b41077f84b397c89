"""A stand-in for the key-value store: a subset of etcd v3's JSON gateway.

Not supported: ranges of keys, options of reads and writes besides key, value
and lease, nested transactions, users, members. It is a single process and
keeps everything in memory.
"""

import asyncio
import base64
import collections
import contextlib
import dataclasses
import itertools
import random
import time
import typing as t

import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from . import fault, server

MAX_REQUEST = 1_572_864  # bytes, etcd's default limit
LEASE_CHECK_INTERVAL = 0.02  # seconds

# gRPC status codes in the gateway's errors.
INVALID_ARGUMENT = 3
NOT_FOUND = 5
UNAVAILABLE = 14

HTTP_STATUS = {INVALID_ARGUMENT: 400, NOT_FOUND: 404, UNAVAILABLE: 503}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreSettings:
    """Settings of the store; times are in seconds."""

    progress_interval: float = 10.0  # of an idle watch's notifications
    seed: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class StoreFaults:
    """The faults in effect; the last three apply once and are reset."""

    down: bool = False  # refuse every call, as without a leader
    cut: bool = False  # abort the connection before a call is executed
    slow: float = 0.0  # seconds before each call is executed
    lose_answers: int = 0  # next calls to execute and then abort unanswered
    lose_probability: float = 0.0  # of losing any other answer
    drop_watches: bool = False  # abort all watches
    lapse_lease: int = 0  # id of a lease to end
    compact: bool = False  # drop the history of changes


@dataclasses.dataclass(frozen=True, slots=True)
class KeyValue:
    """The value of a key at one revision; version 0 marks a deletion."""

    key: bytes
    value: bytes = b""
    create_revision: int = 0
    mod_revision: int = 0
    version: int = 0
    lease: int = 0

    def to_json(self) -> dict[str, str]:
        """Return the gateway's form: integers as strings, without zeros."""
        fields = {"key": _encode_base64(self.key), "value": _encode_base64(self.value)}
        for name in ("create_revision", "mod_revision", "version", "lease"):
            fields[name] = str(getattr(self, name))
        return {k: v for k, v in fields.items() if v not in ("", "0")}


@dataclasses.dataclass(slots=True)
class Lease:
    """The time to live of a lease and when it expires, in seconds."""

    ttl: int
    expires_at: float


class StoreError(Exception):
    """An error that the gateway answers with; ``code`` is a gRPC status."""

    def __init__(self, code: int, message: str):
        super().__init__(message)
        self.code = code

    @property
    def response(self) -> Response:
        """Return the gateway's response for this error."""
        text = str(self)
        body = {"error": text, "code": self.code, "message": text}
        return JSONResponse(body, HTTP_STATUS[self.code])


def _encode_base64(data: bytes) -> str:
    return base64.b64encode(data).decode()


def _decode_key(body: dict) -> bytes:
    return base64.b64decode(body["key"])


def _get_field(body: dict, name: str) -> t.Any:
    """Return a field by its snake_case or lowerCamelCase name, or None."""
    first, *rest = name.split("_")
    return body.get(name, body.get(first + "".join(word.title() for word in rest)))


class KeySpace:
    """The keys of the store, the history of their changes, and the leases."""

    def __init__(self, clock: t.Callable[[], float]):
        self.revision = 1
        self.compacted_revision = 0
        self.leases: dict[int, Lease] = {}
        self.changed = asyncio.Event()
        self._clock = clock
        self._values: dict[bytes, KeyValue] = {}
        self._history: list[KeyValue] = []
        self._new_lease_ids = itertools.count(7_587_000_000_001)

    def get(self, key: bytes) -> KeyValue:
        """Return the value of a key, with version 0 if it does not exist."""
        return self._values.get(key, KeyValue(key))

    def put(self, key: bytes, value: bytes, lease: int) -> None:
        """Set a key at the current revision.

        :raises StoreError: if the lease does not exist
        """
        if lease and lease not in self.leases:
            raise StoreError(NOT_FOUND, "etcdserver: requested lease not found")
        old = self.get(key)
        self._append(
            KeyValue(
                key,
                value,
                old.create_revision or self.revision,
                self.revision,
                old.version + 1,
                lease,
            )
        )

    def delete(self, key: bytes) -> bool:
        """Delete a key at the current revision; return whether it existed."""
        if key not in self._values:
            return False
        self._append(KeyValue(key, mod_revision=self.revision))
        return True

    def history(self, key: bytes, start: int) -> list[KeyValue]:
        """Return the changes of a key since a revision, including it."""
        return [
            key_value
            for key_value in self._history
            if key_value.key == key and key_value.mod_revision >= start
        ]

    def notify(self) -> None:
        """Wake all watches."""
        self.changed.set()
        self.changed = asyncio.Event()

    def compact(self) -> None:
        """Drop the history up to the current revision."""
        self.compacted_revision = self.revision
        self._history.clear()

    def grant(self, ttl: int) -> int:
        """Create a lease and return its id."""
        lease = next(self._new_lease_ids)
        self.leases[lease] = Lease(ttl, self._clock() + ttl)
        return lease

    def keep_alive(self, lease: int) -> int:
        """Renew a lease and return its time to live, or 0 if it has ended."""
        if lease not in self.leases:
            return 0
        record = self.leases[lease]
        record.expires_at = self._clock() + record.ttl
        return record.ttl

    def revoke(self, lease: int) -> None:
        """End a lease and delete its keys.

        :raises StoreError: if the lease does not exist
        """
        if lease not in self.leases:
            raise StoreError(NOT_FOUND, "etcdserver: requested lease not found")
        del self.leases[lease]
        keys = [
            key_value.key
            for key_value in self._values.values()
            if key_value.lease == lease
        ]
        if keys:
            self.revision += 1
        for key in keys:
            self.delete(key)
        self.notify()

    def expire_leases(self) -> None:
        """End all leases that have expired."""
        now = self._clock()
        for lease in [
            id for id, record in self.leases.items() if record.expires_at <= now
        ]:
            self.revoke(lease)

    def _append(self, key_value: KeyValue) -> None:
        if key_value.version:
            self._values[key_value.key] = key_value
        else:
            self._values.pop(key_value.key, None)
        self._history.append(key_value)


class Store:
    """A key-value store and the handlers of its HTTP interface."""

    def __init__(self, settings: StoreSettings):
        self.faults = StoreFaults()
        self.calls: collections.Counter[str] = collections.Counter()
        self.key_space = KeySpace(time.monotonic)
        self._settings = settings
        self._random = random.Random(settings.seed)
        self._watch_generation = 0

    @contextlib.asynccontextmanager
    async def lifespan(self, app: Starlette) -> t.AsyncIterator[None]:
        """Expire leases while the application is served."""
        task = asyncio.create_task(self._expire_leases())
        yield
        task.cancel()

    def routes(self) -> list[Route]:
        """Return the routes of the HTTP interface."""
        calls = {
            "/v3/kv/range": self._range,
            "/v3/kv/txn": self._txn,
            "/v3/lease/grant": self._grant,
            "/v3/lease/keepalive": self._keep_alive,
            "/v3/lease/revoke": self._revoke,
        }
        routes = [
            Route(path, self._wrap_handler(path, call), methods=["POST"])
            for path, call in calls.items()
        ]
        endpoint = fault.FaultsEndpoint(self.faults, self._on_faults_change)
        routes.append(Route("/v3/watch", self._watch, methods=["POST"]))
        routes.append(
            Route("/standin/faults", endpoint.__call__, methods=["GET", "POST"])
        )
        routes.append(Route("/standin/calls", self._list_calls))
        return routes

    def _wrap_handler(self, path: str, call: t.Callable[[dict], dict]) -> t.Callable:
        async def handle(request: Request) -> Response:
            self.calls[path] += 1
            data = await request.body()
            if not await self._apply_arrival_faults(request):
                return Response()
            if self.faults.down:
                return self._no_leader()
            try:
                if len(data) > MAX_REQUEST:
                    raise StoreError(
                        INVALID_ARGUMENT, "etcdserver: request is too large"
                    )
                answer = call(msgspec.json.decode(data))
            except StoreError as error:
                return error.response
            except (KeyError, TypeError, ValueError) as error:
                return StoreError(INVALID_ARGUMENT, f"bad request: {error!r}").response
            if self._should_lose_answer():
                await server.abort_connection(request)
                return Response()
            return JSONResponse(answer)

        return handle

    async def _apply_arrival_faults(self, request: Request) -> bool:
        if self.faults.cut:
            await server.abort_connection(request)
            return False
        if self.faults.slow:
            await asyncio.sleep(self.faults.slow)
        return True

    def _no_leader(self) -> Response:
        return StoreError(UNAVAILABLE, "etcdserver: no leader").response

    def _should_lose_answer(self) -> bool:
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return True
        return self._random.random() < self.faults.lose_probability

    def _on_faults_change(self) -> None:
        faults = self.faults
        if faults.drop_watches or faults.down or faults.cut:
            self._watch_generation += 1
            self.key_space.notify()
        if faults.lapse_lease in self.key_space.leases:
            self.key_space.revoke(faults.lapse_lease)
        if faults.compact:
            self.key_space.compact()
        faults.drop_watches = faults.compact = False
        faults.lapse_lease = 0

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(LEASE_CHECK_INTERVAL)
            if not self.faults.down:
                self.key_space.expire_leases()

    def _header(self) -> dict[str, str]:
        return {
            "cluster_id": "1",
            "member_id": "1",
            "revision": str(self.key_space.revision),
        }

    def _range(self, body: dict) -> dict:
        key_value = self.key_space.get(_decode_key(body))
        if not key_value.version:
            return {"header": self._header()}
        return {"header": self._header(), "kvs": [key_value.to_json()], "count": "1"}

    def _txn(self, body: dict) -> dict:
        succeeded = all(self._matches(compare) for compare in body.get("compare", []))
        operations = body.get("success" if succeeded else "failure", [])
        writes = [
            operation
            for operation in operations
            if _get_field(operation, "request_range") is None
        ]
        self._check_leases(writes)
        if writes:
            self.key_space.revision += 1
        responses = [self._apply_operation(operation) for operation in operations]
        if writes:
            self.key_space.notify()
        answer: dict[str, t.Any] = {"header": self._header(), "responses": responses}
        if succeeded:
            answer["succeeded"] = True
        return answer

    def _matches(self, compare: dict) -> bool:
        if compare.get("result", "EQUAL") != "EQUAL":
            raise StoreError(INVALID_ARGUMENT, "compare result must be EQUAL")
        key_value = self.key_space.get(_decode_key(compare))
        match compare.get("target", "VERSION"):
            case "MOD":
                return key_value.mod_revision == int(
                    _get_field(compare, "mod_revision") or 0
                )
            case "VERSION":
                return key_value.version == int(compare.get("version", 0))
            case target:
                raise StoreError(
                    INVALID_ARGUMENT, f"compare target {target!r} is not supported"
                )

    def _check_leases(self, operations: list[dict]) -> None:
        for operation in operations:
            put = _get_field(operation, "request_put") or {}
            lease = int(put.get("lease", 0))
            if lease and lease not in self.key_space.leases:
                raise StoreError(NOT_FOUND, "etcdserver: requested lease not found")

    def _apply_operation(self, operation: dict) -> dict:
        if (put := _get_field(operation, "request_put")) is not None:
            value = base64.b64decode(put.get("value", ""))
            self.key_space.put(_decode_key(put), value, int(put.get("lease", 0)))
            return {"response_put": {"header": self._header()}}
        if (delete := _get_field(operation, "request_delete_range")) is not None:
            deleted = self.key_space.delete(_decode_key(delete))
            answer = {"header": self._header(), "deleted": str(int(deleted))}
            return {"response_delete_range": answer}
        return {"response_range": self._range(_get_field(operation, "request_range"))}

    def _grant(self, body: dict) -> dict:
        ttl = int(body["TTL"])
        lease = self.key_space.grant(ttl)
        return {"header": self._header(), "ID": str(lease), "TTL": str(ttl)}

    def _keep_alive(self, body: dict) -> dict:
        ttl = self.key_space.keep_alive(int(body["ID"]))
        result = {"header": self._header(), "ID": str(body["ID"])}
        if ttl:
            result["TTL"] = str(ttl)
        return {"result": result}

    def _revoke(self, body: dict) -> dict:
        self.key_space.revoke(int(body["ID"]))
        return {"header": self._header()}

    async def _watch(self, request: Request) -> Response:
        self.calls["/v3/watch"] += 1
        data = await request.body()
        if not await self._apply_arrival_faults(request):
            return Response()
        if self.faults.down:
            return self._no_leader()
        try:
            create = _get_field(msgspec.json.decode(data), "create_request")
            key = _decode_key(create)
            start = int(_get_field(create, "start_revision") or 0)
        except (KeyError, TypeError, ValueError) as error:
            return StoreError(INVALID_ARGUMENT, f"bad request: {error!r}").response
        lines = self._stream_events(request, key, start or self.key_space.revision + 1)
        return StreamingResponse(lines, media_type="application/json")

    async def _stream_events(
        self, request: Request, key: bytes, start: int
    ) -> t.AsyncIterator[bytes]:
        generation = self._watch_generation
        yield self._encode_result(created=True)
        while True:
            changed = self.key_space.changed
            if generation != self._watch_generation:
                await server.abort_connection(request)
                return
            if start <= self.key_space.compacted_revision:
                compacted_revision = str(self.key_space.compacted_revision)
                yield self._encode_result(
                    canceled=True, compact_revision=compacted_revision
                )
                return
            if events := self.key_space.history(key, start):
                yield self._encode_result(
                    events=[_encode_event(key_value) for key_value in events]
                )
            start = self.key_space.revision + 1
            try:
                async with asyncio.timeout(self._settings.progress_interval):
                    await changed.wait()
            except TimeoutError:
                yield self._encode_result()

    def _encode_result(self, **fields: t.Any) -> bytes:
        result = {"header": self._header()} | fields
        return msgspec.json.encode({"result": result}) + b"\n"

    async def _list_calls(self, request: Request) -> Response:
        return JSONResponse(dict(self.calls))


def _encode_event(key_value: KeyValue) -> dict[str, t.Any]:
    if key_value.version:
        return {"kv": key_value.to_json()}
    return {"type": "DELETE", "kv": key_value.to_json()}


def create_app(settings: StoreSettings = StoreSettings()) -> Starlette:
    """Return a store's application; the store is ``app.state.store``."""
    store = Store(settings)
    app = Starlette(routes=store.routes(), lifespan=store.lifespan)
    app.state.store = store
    return app


def main() -> None:
    """Serve the store until the process receives a signal to stop."""
    options = server.create_parser(__doc__.splitlines()[0]).parse_args()
    server.run(create_app(), options.host, options.port)


if __name__ == "__main__":
    main()
