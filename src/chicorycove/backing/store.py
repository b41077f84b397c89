"""The key-value service: its interface, and a client of etcd's gateway."""

import asyncio
import base64
import collections
import typing as t

import aiosonic
import msgspec
from aiosonic.exceptions import (
    AiosonicError,
    ConnectionPoolAcquireTimeout,
    ConnectTimeout,
)

from ..event import (
    OutcomeUnknown,
    StoreUnreachable,
    SwapConflicted,
    SwapSucceeded,
    ValueRead,
)
from ..exceptions import LeaseLost, StoreUnavailable, StoreUnknown
from ..httpclient import exchange, new_client

MAX_VALUE_SIZE = 1024 * 1024  # bytes
WATCH_IDLE_TIMEOUT = 60.0  # seconds without a message after which a watch is broken
POOL_SIZE = 64
# Revisions of writes that are remembered. A copy of an answer arrives on the
# connection that the answer came over, soon after it.
REMEMBERED_REVISIONS = 1024

# Status codes of gRPC for calls that certainly had no effect: 7, 8, 11 and 16
# are permission denied, resource exhausted, out of range and unauthenticated.
INVALID_ARGUMENT = 3
NOT_FOUND = 5
NOT_CARRIED_OUT = {INVALID_ARGUMENT, NOT_FOUND, 7, 8, 11, 16}
NO_LEADER = "no leader"

# Raised by access to an answer that has another form than expected.
MALFORMED = (AttributeError, IndexError, KeyError, TypeError, ValueError)

CONNECTION_ERRORS = (AiosonicError, OSError, EOFError, ValueError, asyncio.TimeoutError)
NOT_SENT = (ConnectTimeout, ConnectionPoolAcquireTimeout, ConnectionRefusedError)

SwapResult = SwapSucceeded | SwapConflicted | StoreUnreachable | OutcomeUnknown


class Store(t.Protocol):
    """The interface of the key-value service; times are in seconds."""

    async def get(self, key: str) -> ValueRead | StoreUnreachable:
        """Read a key; an absent one has version 0."""

    async def swap(
        self, key: str, version: int, value: bytes, lease: int | None = None
    ) -> SwapResult:
        """Write a key if it still has a version, where 0 means absent.

        :raises LeaseLost: if the lease does not exist
        """

    async def delete(self, key: str, version: int) -> SwapResult:
        """Delete a key if it still has a version."""

    async def grant(self, ttl: float) -> int:
        """Return the id of a new lease.

        :raises StoreUnavailable: if the store did not grant it
        :raises StoreUnknown: if the store may have granted it; it then expires
        """

    async def keep_alive(self, lease: int) -> float:
        """Renew a lease and return its time to live.

        :raises LeaseLost: if the lease does not exist
        :raises StoreUnavailable: if it may not have been renewed
        """

    async def revoke(self, lease: int) -> None:
        """Revoke a lease, which deletes its keys.

        :raises StoreUnavailable: if the store did not revoke it
        :raises StoreUnknown: if the store may have revoked it
        """

    def watch(self, key: str, version: int) -> t.AsyncIterator[ValueRead]:
        """Yield a key's value whenever it is newer than a version.

        Intermediate versions may be skipped.

        :raises StoreUnavailable: when the watch ends, which is to be expected
        """


class _GatewayError(Exception):
    """An error that the gateway answered."""

    def __init__(self, code: int, message: str) -> None:
        super().__init__(f"{message} (code {code})")
        self.code = code
        self.not_carried_out = code in NOT_CARRIED_OUT or NO_LEADER in message


class EtcdStore:
    """A client of the JSON gateway of etcd v3."""

    def __init__(self, address: str, timeout: float) -> None:
        """Use the gateway at "ip:port".

        The timeout, in seconds, holds until an answer begins and between its
        parts.
        """
        self._url = f"http://{address}/v3"
        self._timeout = timeout
        self._client = new_client(POOL_SIZE, timeout)
        self._write_revisions: collections.deque[int] = collections.deque(
            maxlen=REMEMBERED_REVISIONS
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def get(self, key: str) -> ValueRead | StoreUnreachable:
        """Read a key; an absent one has version 0."""
        try:
            return _decode_range(await self._read_range(key), key)
        except StoreUnavailable:
            return StoreUnreachable()

    async def swap(
        self, key: str, version: int, value: bytes, lease: int | None = None
    ) -> SwapResult:
        """Write a key if it still has a version, where 0 means absent.

        :raises LeaseLost: if the lease does not exist
        :raises ValueError: if the value is too large
        """
        if len(value) > MAX_VALUE_SIZE:
            raise ValueError(f'value of key "{key}" is too large: {len(value)} bytes')
        put = {"key": _encode_key(key), "value": base64.b64encode(value).decode()}
        if lease is not None:
            put["lease"] = str(lease)
        result = await self._commit(key, version, {"requestPut": put})
        if isinstance(result, SwapSucceeded):
            # Each write has a revision of its own; an answer with that of an
            # earlier write is a late copy of that write's answer.
            if result.version in self._write_revisions:
                return OutcomeUnknown()
            self._write_revisions.append(result.version)
        return result

    async def delete(self, key: str, version: int) -> SwapResult:
        """Delete a key if it still has a version."""
        return await self._commit(
            key, version, {"requestDeleteRange": {"key": _encode_key(key)}}
        )

    async def grant(self, ttl: float) -> int:
        """Return the id of a new lease.

        :raises StoreUnavailable: if the store did not grant it
        :raises StoreUnknown: if the store may have granted it; it then expires
        """
        seconds = max(1, round(ttl))
        answer = await self._write("lease/grant", {"TTL": str(seconds), "ID": "0"})
        try:
            return int(answer["ID"])
        except MALFORMED as error:
            raise StoreUnknown(f"lease/grant: malformed answer: {error!r}") from None

    async def keep_alive(self, lease: int) -> float:
        """Renew a lease and return its time to live, in seconds.

        :raises LeaseLost: if the lease does not exist
        :raises StoreUnavailable: if it may not have been renewed
        """
        try:
            answer = await self._write("lease/keepalive", {"ID": str(lease)})
        except StoreUnknown as error:
            raise StoreUnavailable(str(error)) from None
        try:
            ttl = float(answer["result"].get("TTL", 0))
        except MALFORMED as error:
            raise StoreUnavailable(
                f"lease/keepalive: malformed answer: {error!r}"
            ) from None
        if ttl <= 0:
            raise LeaseLost(f"lease {lease} has expired")
        return ttl

    async def revoke(self, lease: int) -> None:
        """Revoke a lease, which deletes its keys.

        :raises StoreUnavailable: if the store did not revoke it
        :raises StoreUnknown: if the store may have revoked it
        """
        try:
            await self._write("lease/revoke", {"ID": str(lease)})
        except LeaseLost:
            pass

    async def watch(self, key: str, version: int) -> t.AsyncIterator[ValueRead]:
        """Yield a key's value whenever it is newer than a version.

        :raises StoreUnavailable: when the watch ends, which is to be expected
        """
        while True:
            answer = await self._read_range(key)
            found = _decode_range(answer, key)
            if found.version != version:
                version = found.version
                yield found
            try:
                start = int(answer["header"]["revision"]) + 1
            except MALFORMED as error:
                raise StoreUnavailable(f'cannot watch "{key}": {error!r}') from None
            async for found in self._watch_events(key, start):
                version = found.version
                yield found
            # The changes since then were compacted: read the key again.

    async def _read_range(self, key: str) -> dict:
        try:
            answer = await self._call("kv/range", {"key": _encode_key(key)})
            _decode_range(answer, key)
            return answer
        except (_GatewayError, *MALFORMED, *CONNECTION_ERRORS) as error:
            raise StoreUnavailable(f'cannot read "{key}": {error!r}') from None

    async def _commit(self, key: str, version: int, operation: dict) -> SwapResult:
        compare = {
            "key": _encode_key(key),
            "target": "MOD",
            "result": "EQUAL",
            "modRevision": str(version),
        }
        body = {
            "compare": [compare],
            "success": [operation],
            "failure": [{"requestRange": {"key": _encode_key(key)}}],
        }
        try:
            answer = await self._write("kv/txn", body)
        except StoreUnavailable:
            return StoreUnreachable()
        except StoreUnknown:
            return OutcomeUnknown()
        try:
            if answer.get("succeeded"):
                return SwapSucceeded(int(answer["header"]["revision"]))
            found = _decode_range(answer["responses"][0]["response_range"], key)
        except MALFORMED:
            return OutcomeUnknown()
        return SwapConflicted(found.value, found.version)

    async def _write(self, path: str, body: dict) -> dict:
        try:
            return await self._call(path, body)
        except NOT_SENT as error:
            raise StoreUnavailable(f"{path}: {error!r}") from None
        except _GatewayError as error:
            if error.code == NOT_FOUND:
                raise LeaseLost(str(error)) from None
            if error.not_carried_out:
                raise StoreUnavailable(f"{path}: {error}") from None
            raise StoreUnknown(f"{path}: {error}") from None
        except CONNECTION_ERRORS as error:
            raise StoreUnknown(f"{path}: {error!r}") from None

    async def _call(self, path: str, body: dict) -> dict:
        status, content = await exchange(
            self._client,
            "POST",
            f"{self._url}/{path}",
            self._timeout,
            msgspec.json.encode(body),
        )
        if status == 200:
            return msgspec.json.decode(content)
        raise _parse_error(content)

    async def _watch_events(self, key: str, start: int) -> t.AsyncIterator[ValueRead]:
        create = {
            "key": _encode_key(key),
            "start_revision": str(start),
            "progress_notify": True,
        }
        body = msgspec.json.encode({"create_request": create})
        try:
            async with asyncio.timeout(self._timeout):
                response = await self._client.request(
                    f"{self._url}/watch", "POST", data=body, stream=True
                )
        except CONNECTION_ERRORS as error:
            raise StoreUnavailable(f'cannot watch "{key}": {error!r}') from None
        try:
            if response.status_code != 200:
                raise StoreUnavailable(f'cannot watch "{key}"')
            async for line in _read_lines(response):
                result = msgspec.json.decode(line)["result"]
                if result.get("canceled"):
                    return
                for event in result.get("events", ()):
                    yield _decode_event(event)
        except (*MALFORMED, *CONNECTION_ERRORS) as error:
            raise StoreUnavailable(f'watch of "{key}" ended: {error!r}') from None
        finally:
            await response.aclose()


def _encode_key(key: str) -> str:
    return base64.b64encode(key.encode()).decode()


def _decode_range(answer: dict, key: str) -> ValueRead:
    """Return the value of a key in an answer.

    :raises ValueError: if the answer is about another key, as a late copy is
    """
    for record in answer.get("kvs", ()):
        if record["key"] != _encode_key(key):
            raise ValueError(f'expected key "{key}" (base64), got {record["key"]!r}')
        return _decode_value(record)
    return ValueRead(b"", 0)


def _decode_value(record: dict) -> ValueRead:
    return ValueRead(
        base64.b64decode(record.get("value", "")), int(record["mod_revision"])
    )


def _decode_event(event: dict) -> ValueRead:
    if event.get("type") == "DELETE":
        return ValueRead(b"", 0)
    return _decode_value(event["kv"])


def _parse_error(content: bytes) -> _GatewayError:
    try:
        body = msgspec.json.decode(content)
        return _GatewayError(int(body["code"]), str(body.get("message", "")))
    except (KeyError, TypeError, ValueError):
        return _GatewayError(-1, "unexpected answer, not from the gateway")


async def _read_lines(response: aiosonic.HttpResponse) -> t.AsyncIterator[bytes]:
    """Yield the lines of a stream, which is expected not to end.

    :raises EOFError: if the stream ends
    :raises TimeoutError: if the stream is idle for too long
    """
    chunks = response.read_chunks()
    pending = b""
    while True:
        async with asyncio.timeout(WATCH_IDLE_TIMEOUT):
            chunk = await anext(chunks, None)
        if chunk is None:
            raise EOFError("the stream ended")
        *lines, pending = (pending + chunk).split(b"\n")
        for line in lines:
            if line.strip():
                yield line
