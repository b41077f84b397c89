"""The HTTP side of an agent: how it speaks to its target."""

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

CONNECT_TIMEOUT = 2.0  # seconds
CONTROL_TIMEOUT = 5.0  # seconds
POOL_SIZE = 256  # connections
NOT_RUN_STATUSES = (429, 503)
CONNECTION_ERRORS = (AiosonicError, OSError, ValueError, EOFError, asyncio.TimeoutError)

Headers = t.Sequence[tuple[str, str]]


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """One HTTP request to a target."""

    method: str
    path: str
    headers: Headers
    body: bytes
    repeatable: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The status and headers of a target's answer."""

    status: int
    headers: Headers

    def get(self, name: str) -> str:
        """Return a header's value, or an empty text."""
        return next((v for k, v in self.headers if k.lower() == name), "")


class Answer:
    """An answer that is being read."""

    def __init__(self, head: Head, response: aiosonic.HttpResponse) -> None:
        self._head = head
        self._response = response

    @property
    def head(self) -> Head:
        """Return the answer's head."""
        return self._head

    async def chunks(self) -> t.AsyncIterator[bytes]:
        """Yield the body as it comes.

        :raises TargetFailed: if it breaks off
        """
        try:
            async for data in self._response.read_chunks():
                yield bytes(data)
        except CONNECTION_ERRORS as error:
            raise TargetFailed(f"answer broke off: {error!r}") from None


@dataclasses.dataclass(frozen=True, slots=True)
class OrderAnswer:
    """An engine's answer to an order."""

    status: int
    body: t.Any


class Backend:
    """A target, reached over HTTP."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self._pooled = new_client(POOL_SIZE, CONNECT_TIMEOUT)

    async def close(self) -> None:
        """Close all connections."""
        await self._pooled.aclose()

    @contextlib.asynccontextmanager
    async def open(self, work: Work) -> t.AsyncIterator[Answer]:
        """Send a request and yield its answer.

        :raises TargetUnreachable: if nothing of the request was sent
        :raises TargetFailed: if it failed after that
        """
        if work.repeatable:
            async with self._exchange(self._pooled, work) as answer:
                yield answer
            return
        # A kept connection that its target has just closed would leave open
        # whether the call ran; a fresh one does not.
        client = new_client(1, CONNECT_TIMEOUT)
        try:
            async with self._exchange(client, work) as answer:
                yield answer
        finally:
            await client.aclose()

    async def post(self, path: str, body: t.Any = None, raw: bytes = b"") -> t.Any:
        """Make a control call and return its JSON.

        :raises TargetFailed: if the target does not answer it with success
        """
        data = raw if body is None else msgspec.json.encode(body)
        work = Work("POST", path, [("Content-Type", "application/json")], data)
        return await self._control(work)

    async def get(self, path: str) -> t.Any:
        """Read a JSON document.

        :raises TargetFailed: if the target does not answer it with success
        """
        return await self._control(Work("GET", path, [], b""))

    async def order(self, body: t.Any) -> "OrderAnswer":
        """Give an engine an order and return its answer.

        :raises TargetError: if there is none; the order may be carried out
        """
        headers = [("Content-Type", "application/json")]
        work = Work("POST", "/engine/order", headers, msgspec.json.encode(body), False)
        try:
            async with asyncio.timeout(CONTROL_TIMEOUT):
                async with self.open(work) as answer:
                    data = b"".join([chunk async for chunk in answer.chunks()])
            return OrderAnswer(answer.head.status, msgspec.json.decode(data))
        except (TimeoutError, ValueError) as error:
            raise TargetFailed(f"/engine/order: {error!r}") from None

    async def report(self) -> EngineMemoryReported:
        """Read an engine's account of its memory.

        :raises TargetFailed: if it is not to be had
        """
        load = await self.get("/engine/load")
        attempts = {
            AttemptId.parse(name): tokens for name, tokens in load["attempts"].items()
        }
        return EngineMemoryReported(
            load["memory_total"], load["memory_used"], attempts, load["as_of"]
        )

    @contextlib.asynccontextmanager
    async def _exchange(
        self, client: aiosonic.HTTPClient, work: Work
    ) -> t.AsyncIterator[Answer]:
        url = f"http://{self._address}{work.path}"
        try:
            response = await client.request(
                url,
                method=work.method,
                headers=dict(work.headers),
                data=work.body or None,
                stream=True,
            )
        except (ConnectTimeout, ConnectionRefusedError) as error:
            raise TargetUnreachable(f"{url}: {error!r}") from None
        except CONNECTION_ERRORS as error:
            raise TargetFailed(f"{url}: {error!r}") from None
        try:
            pairs = [(k, v) for k, v in response.headers.items()]
            yield Answer(Head(response.status_code, pairs), response)
        finally:
            await response.aclose()

    async def _control(self, work: Work) -> t.Any:
        try:
            async with asyncio.timeout(CONTROL_TIMEOUT):
                async with self._exchange(self._pooled, work) as answer:
                    body = b"".join([data async for data in answer.chunks()])
        except (TargetUnreachable, TimeoutError) as error:
            raise TargetFailed(f"{work.path}: {error!r}") from None
        if answer.head.status >= 400:
            raise TargetFailed(f"{work.path}: status {answer.head.status}")
        return msgspec.json.decode(body) if body else None
