"""A caller's request and the answer that is sent back to the caller."""

import asyncio
import base64
import dataclasses
import typing as t

import msgspec

from .identity import AttemptId
from .problem import Problem
from .prompt import Body
from .request import Prompt, Request

# Headers of a target's answer that are not relayed to the caller
HOP_BY_HOP_HEADERS = frozenset(
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
class AnswerHead:
    """The status and headers of an answer."""

    status: int
    headers: tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerData:
    """A piece of an answer's body."""

    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerEnd:
    """The end of a complete answer."""


AnswerPart = AnswerHead | AnswerData | AnswerEnd | Problem


@dataclasses.dataclass(frozen=True, slots=True)
class StoredAnswer:
    """A complete answer as stored for its key; the body is in base64."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: str


class Exchange:
    """Holds a request's body, and its answer on the way to the caller.

    A streamed answer is relayed as it arrives.  Any other answer is buffered
    until it is complete, so that a caller never mistakes a part of it for
    the complete answer.
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
        self.context_tokens = 0  # tokens of the prompt on other group members
        self.members: list[str] = []  # "ip:port/attempt" of other members
        self.targets: list[str] = []  # names of the targets used so far
        self.first_byte_at: float | None = None
        self._head: AnswerHead | None = None
        self._head_attempt: AttemptId | None = None
        self._buffer = bytearray()
        self._queued_bytes = 0  # bytes in parts not fetched yet
        self._head_sent = False
        self._parts: list[AnswerPart] = []
        self._ready = asyncio.Event()

    @property
    def head_sent(self) -> bool:
        """Return whether the caller was already sent a status."""
        return self._head_sent

    @property
    def buffered_bytes(self) -> int:
        """Return the number of bytes that are buffered or queued."""
        return len(self._buffer) + self._queued_bytes

    @property
    def head_attempt(self) -> AttemptId | None:
        """Return the attempt whose head was received last."""
        return self._head_attempt

    def start_attempt(self, target: str) -> None:
        """Record an attempt's target and discard any buffered answer."""
        self.targets.append(target)
        if not self.request.streamed:
            self._buffer.clear()
            self._head = None

    def start_group(self) -> None:
        """Discard the members of an earlier group."""
        self.members.clear()
        self.targets.clear()
        self.context_tokens = 0

    def continues(self, status: int, headers: HeaderList) -> bool:
        """Return whether an answer may follow what the caller has of one."""
        if not (self._head_sent and self.request.streamed):
            return True
        return status == self._head.status and _find_media_type(
            headers
        ) == _find_media_type(self._head.headers)

    def set_head(self, attempt: AttemptId, status: int, headers: HeaderList) -> None:
        """Set the status and headers of an attempt's answer."""
        if self._head_sent and self.request.streamed:
            return
        relayed = [
            (name, value)
            for name, value in headers
            if name.lower() not in HOP_BY_HOP_HEADERS
        ]
        added = ("x-request-id", self.request.id), ("x-target", ",".join(self.targets))
        self._head = AnswerHead(status, (*relayed, *added))
        self._head_attempt = attempt

    def add_data(self, data: bytes) -> None:
        """Append bytes to the answer's body."""
        if not self.request.streamed:
            self._buffer += data
            return
        if not self._head_sent:
            self._head_sent = True
            self._put(self._head)
        self._put(AnswerData(data))
        self._queued_bytes += len(data)

    def finish(self) -> None:
        """End the answer, which is complete."""
        if not self._head_sent:
            self._head_sent = True
            self._put(self._head)
            self._put(AnswerData(bytes(self._buffer)))
        self._put(AnswerEnd())

    def fail(self, problem: Problem) -> None:
        """End the answer with a problem."""
        self._put(problem)

    def stored_answer(self) -> bytes:
        """Return the complete answer, encoded to be stored for its key."""
        body = base64.b64encode(self._buffer).decode()
        return msgspec.json.encode(
            StoredAnswer(self._head.status, self._head.headers, body)
        )

    def replay(self, result: bytes) -> None:
        """Answer with the stored result of an earlier request."""
        stored = msgspec.json.decode(result, type=StoredAnswer)
        self._put(AnswerHead(stored.status, (*stored.headers, ("x-replayed", "true"))))
        self._put(AnswerData(base64.b64decode(stored.body)))
        self._put(AnswerEnd())

    async def next_parts(self) -> list[AnswerPart]:
        """Wait for parts of the answer and return all that are queued."""
        await self._ready.wait()
        self._ready.clear()
        parts, self._parts = self._parts, []
        self._queued_bytes = 0
        return parts

    def _put(self, part: AnswerPart) -> None:
        self._parts.append(part)
        self._ready.set()


def _find_media_type(headers: HeaderList) -> str:
    """Return the media type of an answer, without parameters."""
    for name, value in headers:
        if name.lower() == "content-type":
            return value.partition(";")[0].strip().lower()
    return ""


def prefill_tokens(request: Request) -> int:
    """Return the number of prompt tokens that a request's target prefills."""
    match request.work:
        case Prompt(tokens=tokens):
            return tokens
        case _:
            return 0
