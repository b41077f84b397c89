"""A stand-in of the platform's store, as PROTOCOL.md describes it."""

import asyncio
import base64
import copy
import json
import time
import urllib.parse

from . import http

ANSWER_TIME = 0.004  # seconds
PAGE_ITEMS = 500


class PlatformStore:
    """Items, leases and watches in one process, without a limit of calls."""

    def __init__(self) -> None:
        self.address = ""
        self.era = 1
        self._revision = 100
        self._items: dict[str, dict] = {}
        self._events: list[dict] = []
        self._oldest = 100  # revision from which the history is known
        self._leases: dict[int, list[float]] = {}  # expiry and time to live
        self._newest_lease = 7000
        self._away = False
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str) -> None:
        """Serve on a free port of a loopback address."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    async def close(self) -> None:
        """Stop serving."""
        self._server.close()
        self._cut_connections()

    # The operator and the servers

    def put(self, key: str, value: dict) -> bool:
        """Write a value; return False while the store is away.

        An item that would not change otherwise is left as it is.
        """
        if self._away:
            return False
        data = base64.b64encode(json.dumps(value).encode()).decode()
        old = self._items.get(key)
        if old is None or _without_sequence(old["value"]) != _without_sequence(data):
            self._write(key, data, 0)
        return True

    def remove(self, key: str) -> bool:
        """Delete an item; return False while the store is away."""
        if self._away:
            return False
        if self._items.pop(key, None) is not None:
            self._revision += 1
            event = {"key": key, "revision": self._revision, "deleted": True}
            self._add_event(event)
        return True

    def snapshot(self) -> tuple:
        """Return a copy of what the store holds."""
        state = (self._revision, self._items, self._events, self._oldest, self._leases)
        return copy.deepcopy(state)

    async def restore(self, snapshot: tuple, away: float) -> None:
        """Go away for some seconds and come back with what a copy holds."""
        self._away = True
        self._cut_connections()
        await asyncio.sleep(away)
        state = copy.deepcopy(snapshot)
        self._revision, self._items, self._events, self._oldest, self._leases = state
        self._newest_lease = max(self._leases, default=7000)
        self.era += 1
        self._away = False
        self._notify()

    def _cut_connections(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    def _write(self, key: str, data: str, lease: int) -> int:
        self._revision += 1
        old = self._items.get(key)
        item = {
            "key": key,
            "value": data,
            "revision": self._revision,
            "created": old["created"] if old else self._revision,
            "lease": lease,
        }
        self._items[key] = item
        self._add_event(item)
        return self._revision

    def _add_event(self, event: dict) -> None:
        self._events.append(dict(event))
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _expire_leases(self) -> None:
        now = time.monotonic()
        for lease in [id for id, (end, _) in self._leases.items() if end <= now]:
            del self._leases[lease]
            for key in [k for k, i in self._items.items() if i["lease"] == lease]:
                self.remove(key)

    # Calls

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while not self._away:
                request = await http.read_message(reader)
                await asyncio.sleep(ANSWER_TIME)
                self._expire_leases()
                status, body = await self._answer(request)
                headers = {"Content-Type": "application/json"}
                headers["Store-Era"] = str(self.era)
                writer.write(
                    http.format_answer(status, headers, json.dumps(body).encode())
                )
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _answer(self, request: http.Message) -> tuple[int, dict]:
        method, target, _ = request.start.split()
        path, _, query = target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        name = path.removeprefix("/chicorycove/")
        if name == "kv-range":
            return 200, self._range(fields)
        if name == "kv-watch":
            return await self._watch(fields)
        if name == "kv-key":
            item = self._items.get(fields["key"])
            return (
                (200, {**item, "storeRevision": self._revision}) if item else (404, {})
            )
        if name == "kv-lease":
            return 200, self._grant(json.loads(request.body)["ttlMs"] / 1000)
        if name.startswith("kv-keep/"):
            return self._renew(int(name.partition("/")[2]))
        if name.startswith("kv-lease-end/"):
            self._leases.pop(int(name.partition("/")[2]), None)
            return 200, {}
        if name == "kv-txn":
            return self._commit(json.loads(request.body))
        return 400, {}

    def _range(self, fields: dict[str, str]) -> dict:
        prefix, after = fields.get("prefix", ""), fields.get("after", "")
        keys = sorted(k for k in self._items if k.startswith(prefix) and k > after)
        return {
            "items": [self._items[key] for key in keys[:PAGE_ITEMS]],
            "morePages": len(keys) > PAGE_ITEMS,
            "storeRevision": self._revision,
        }

    async def _watch(self, fields: dict[str, str]) -> tuple[int, dict]:
        after, era = int(fields["after"]), self.era
        until = time.monotonic() + int(fields["waitMs"]) / 1000
        while True:
            if not self._oldest <= after <= self._revision or era != self.era:
                return 410, {}
            events = [
                event
                for event in self._events
                if event["revision"] > after
                and event["key"].startswith(fields.get("prefix", ""))
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "storeRevision": self._revision}
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), min(left, 0.2))
            except TimeoutError:
                self._expire_leases()

    def _grant(self, ttl: float) -> dict:
        self._newest_lease += 1
        self._leases[self._newest_lease] = [time.monotonic() + ttl, ttl]
        return {"lease": self._newest_lease, "ttlMs": int(ttl * 1000)}

    def _renew(self, lease: int) -> tuple[int, dict]:
        if lease not in self._leases:
            return 404, {}
        ttl = self._leases[lease][1]
        self._leases[lease][0] = time.monotonic() + ttl
        return 200, {"ttlMs": int(ttl * 1000)}

    def _commit(self, body: dict) -> tuple[int, dict]:
        for row in body.get("expected", []):
            item = self._items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [item] if item else []}
        for put in body.get("puts", []):
            if put.get("lease") and put["lease"] not in self._leases:
                return 404, {}
        for put in body.get("puts", []):
            self._write(put["key"], put["value"], put.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self._revision}


def _without_sequence(data: str) -> dict:
    value = json.loads(base64.b64decode(data))
    return {name: value[name] for name in value if name != "sequence"}
