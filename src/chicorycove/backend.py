"""An agent's HTTP client for its target."""

import asyncio
import contextlib
import dataclasses
import typing as t

import aiosonic
import msgspec
from aiosonic.exceptions import AiosonicError, ConnectTimeout

from .conversion import Address
from .event import EngineMemoryReported
from .exceptions import TargetFailed, TargetUnreachable
from .httpclient import new_client
from .identity import AttemptId
from .status import FINAL_STATUSES

CONNECT_TIMEOUT = 2.0  # seconds
CONTROL_TIMEOUT = 5.0  # seconds, for control calls and orders
POOL_SIZE = 256  # connections
NOT_RUN_STATUSES = (429, 503)  # of an engine that says why it did not run an attempt
CONNECTION_ERRORS = (AiosonicError, OSError, ValueError, EOFError, asyncio.TimeoutError)

Headers = t.Sequence[tuple[str, str]]


@dataclasses.dataclass(frozen=True, slots=True)
class TargetRequest:
    """One HTTP request to a target."""

    method: str
    path: str
    headers: Headers
    body: bytes
    idempotent: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerHead:
    """The status and headers of a target's answer."""

    status: int
    headers: Headers

    def get(self, name: str) -> str:
        """Return a header's value by its lower-case name, or an empty text."""
        return next((value for key, value in self.headers if key.lower() == name), "")


class Answer:
    """A target's answer, whose body is read as it arrives."""

    def __init__(self, head: AnswerHead, response: aiosonic.HttpResponse) -> None:
        self._head = head
        self._response = response

    @property
    def head(self) -> AnswerHead:
        """Return the answer's status and headers."""
        return self._head

    async def chunks(self) -> t.AsyncIterator[bytes]:
        """Yield the body as it arrives.

        :raises TargetFailed: if the answer ends early
        """
        try:
            async for data in self._response.read_chunks():
                yield bytes(data)
        except CONNECTION_ERRORS as error:
            raise TargetFailed(f"answer interrupted: {error!r}") from None


@dataclasses.dataclass(frozen=True, slots=True)
class OrderAnswer:
    """An engine's answer to an order."""

    status: int
    body: t.Any


class TargetClient:
    """An HTTP client of one target."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self._pooled_client = new_client(POOL_SIZE, CONNECT_TIMEOUT)
        # Attempts of different callers share no connection: a late second copy
        # of an answer would be read as the answer to the next attempt.
        self._attempt_client = new_client(
            POOL_SIZE, CONNECT_TIMEOUT, reuse_connections=False
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._pooled_client.aclose()
        await self._attempt_client.aclose()

    @contextlib.asynccontextmanager
    async def stream(self, request: TargetRequest) -> t.AsyncIterator[Answer]:
        """Send a request and yield its answer.

        :raises TargetUnreachable: if nothing of the request was sent
        :raises TargetFailed: if the request failed after that
        """
        if request.idempotent:
            async with self._send(self._attempt_client, request) as answer:
                yield answer
            return
        # If the target has just closed a pooled connection, it is unknown
        # whether a request sent over it ran. A new connection avoids that,
        # and a client of its own never waits for one.
        client = new_client(1, CONNECT_TIMEOUT)
        try:
            async with self._send(client, request) as answer:
                yield answer
        finally:
            await client.aclose()

    async def post(self, path: str, body: t.Any = None, raw: bytes = b"") -> t.Any:
        """Make a control call and return the JSON of its answer.

        :raises TargetFailed: if the target does not answer with success
        """
        data = raw if body is None else msgspec.json.encode(body)
        request = TargetRequest(
            "POST", path, [("Content-Type", "application/json")], data
        )
        return await self._call(request)

    async def get(self, path: str) -> t.Any:
        """Return a JSON document of the target.

        :raises TargetFailed: if the target does not answer with success
        """
        return await self._call(TargetRequest("GET", path, [], b""))

    async def send_order(self, body: t.Any) -> "OrderAnswer":
        """Send an engine an order and return its answer.

        :raises TargetError: if there is no answer; the order may be executed
        """
        headers = [("Content-Type", "application/json")]
        request = TargetRequest(
            "POST", "/engine/order", headers, msgspec.json.encode(body), False
        )
        try:
            async with asyncio.timeout(CONTROL_TIMEOUT):
                async with self.stream(request) as answer:
                    data = b"".join([chunk async for chunk in answer.chunks()])
            return OrderAnswer(answer.head.status, msgspec.json.decode(data))
        except (TimeoutError, ValueError) as error:
            raise TargetFailed(f"/engine/order: {error!r}") from None

    async def read_memory(self) -> EngineMemoryReported:
        """Return an engine's report on its memory.

        :raises TargetFailed: if the engine does not answer with success
        """
        load = await self.get("/engine/load")
        try:
            attempts = {
                AttemptId.parse(name): int(tokens)
                for name, tokens in load["attempts"].items()
            }
            return EngineMemoryReported(
                int(load["memory_total"]),
                int(load["memory_used"]),
                attempts,
                float(load["as_of"]),
            )
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            raise TargetFailed(f"engine load is malformed: {error!r}") from None

    @contextlib.asynccontextmanager
    async def _send(
        self, client: aiosonic.HTTPClient, request: TargetRequest
    ) -> t.AsyncIterator[Answer]:
        url = f"http://{self._address}{request.path}"
        try:
            response = await client.request(
                url,
                method=request.method,
                headers=dict(request.headers),
                data=request.body or None,
                stream=True,
            )
        except (ConnectTimeout, ConnectionRefusedError) as error:
            raise TargetUnreachable(f"{url}: {error!r}") from None
        except CONNECTION_ERRORS as error:
            raise TargetFailed(f"{url}: {error!r}") from None
        try:
            if response.status_code not in FINAL_STATUSES:
                raise TargetFailed(f"{url}: status {response.status_code:03}")
            headers = [(name, value) for name, value in response.headers.items()]
            yield Answer(AnswerHead(response.status_code, headers), response)
        finally:
            await response.aclose()

    async def _call(self, request: TargetRequest) -> t.Any:
        try:
            async with asyncio.timeout(CONTROL_TIMEOUT):
                async with self._send(self._pooled_client, request) as answer:
                    body = b"".join([data async for data in answer.chunks()])
        except (TargetUnreachable, TimeoutError) as error:
            raise TargetFailed(f"{request.path}: {error!r}") from None
        if answer.head.status >= 400:
            raise TargetFailed(f"{request.path}: status {answer.head.status}")
        try:
            return msgspec.json.decode(body) if body else None
        except msgspec.DecodeError as error:
            raise TargetFailed(f"{request.path}: {error}") from None
