"""One caller's request and the answer that goes back to it."""

import asyncio
import base64
import dataclasses
import typing as t

import msgspec

from .identity import AttemptId
from .problem import Problem
from .prompt import Body
from .request import Prompt, Request

HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "date",
        "keep-alive",
        "server",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)

HeaderList = t.Sequence[tuple[str, str]]


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The status and headers of an answer."""

    status: int
    headers: tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Data:
    """A piece of an answer's body."""

    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """The answer is whole."""


Part = Head | Data | Done | Problem


@dataclasses.dataclass(frozen=True, slots=True)
class Kept:
    """A whole answer as it is kept for its key; the body is in base64."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: str


class Exchange:
    """Holds a request's body, and its answer on the way to the caller.

    A streamed answer is passed on as it comes; any other one is held until it
    is whole, so that a caller never takes part of it for all.
    """

    def __init__(
        self,
        request: Request,
        method: str,
        path: str,
        headers: HeaderList,
        body: bytes,
        prompt: Body | None = None,
    ) -> None:
        self.request = request
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.prompt = prompt
        self.context = 0  # tokens of the prompt that other engines hold
        self.members: list[str] = []  # "ip:port/attempt" of other engines
        self.targets: list[str] = []
        self.first_byte: float | None = None
        self._head: Head | None = None
        self._head_of: AttemptId | None = None
        self._held = bytearray()
        self._queued = 0  # bytes in parts that wait
        self._begun = False
        self._parts: list[Part] = []
        self._ready = asyncio.Event()

    @property
    def begun(self) -> bool:
        """Tell whether the caller has got a status already."""
        return self._begun

    @property
    def held(self) -> int:
        """Return the bytes that the caller has not taken yet."""
        return len(self._held) + self._queued

    @property
    def attempt(self) -> AttemptId | None:
        """Return the attempt whose head came last."""
        return self._head_of

    def begin_attempt(self, target: str) -> None:
        """Forget what an earlier attempt left, unless it was passed on."""
        self.targets.append(target)
        if not self.request.streamed:
            self._held.clear()
            self._head = None

    def begin_group(self) -> None:
        """Forget the members of an earlier group."""
        self.members.clear()
        self.targets.clear()
        self.context = 0

    def set_head(self, attempt: AttemptId, status: int, headers: HeaderList) -> None:
        """Take in an attempt's status and headers."""
        if self._begun and self.request.streamed:
            return
        kept = [(k, v) for k, v in headers if k.lower() not in HOP_HEADERS]
        own = ("x-request-id", self.request.id), ("x-target", ",".join(self.targets))
        self._head = Head(status, (*kept, *own))
        self._head_of = attempt

    def add(self, data: bytes) -> None:
        """Take in bytes that follow those before."""
        if not self.request.streamed:
            self._held += data
            return
        if not self._begun:
            self._begun = True
            self._put(self._head)
        self._put(Data(data))
        self._queued += len(data)

    def finish(self) -> None:
        """End the answer: it is whole."""
        if not self._begun:
            self._begun = True
            self._put(self._head)
            self._put(Data(bytes(self._held)))
        self._put(Done())

    def fail(self, problem: Problem) -> None:
        """End the answer with a problem."""
        self._put(problem)

    def kept(self) -> bytes:
        """Return the whole answer in the form that is kept for its key."""
        body = base64.b64encode(self._held).decode()
        return msgspec.json.encode(Kept(self._head.status, self._head.headers, body))

    def replay(self, result: bytes) -> None:
        """Answer with a result that was kept."""
        kept = msgspec.json.decode(result, type=Kept)
        self._put(Head(kept.status, (*kept.headers, ("x-replayed", "true"))))
        self._put(Data(base64.b64decode(kept.body)))
        self._put(Done())

    async def parts(self) -> list[Part]:
        """Wait for parts of the answer and return all that are there."""
        await self._ready.wait()
        self._ready.clear()
        parts, self._parts = self._parts, []
        self._queued = 0
        return parts

    def _put(self, part: Part) -> None:
        self._parts.append(part)
        self._ready.set()


def prefill_tokens(request: Request) -> int:
    """Return the tokens of prompt that a request's target computes."""
    match request.work:
        case Prompt(tokens=tokens):
            return tokens
        case _:
            return 0
