"""What a platform's adapter translates for a direct entry."""

import dataclasses
import typing as t

from ..identity import AttemptId
from ..reason import Reason
from .board import InboundRequest
from .command import SendAttempt
from .event import TargetAnswer
from .http import Headers, HttpRequest
from .route import RoutingTable

frozen = dataclasses.dataclass(frozen=True, slots=True)


@frozen
class Rejection:
    """A request that is refused before any decision on it."""

    status: int
    reason: Reason
    request: str = ""


@frozen
class Order:
    """A call to a target that is no request of a caller."""

    path: str
    body: bytes


class Dialect(t.Protocol):
    """Reads and writes the messages of one platform."""

    def parse_request(
        self, request: HttpRequest, table: RoutingTable | None, draw: float
    ) -> InboundRequest | Rejection:
        """Read a caller's request; a draw from [0, 1) picks its service."""

    def build_request(
        self,
        request: HttpRequest,
        inbound: InboundRequest,
        send: SendAttempt,
        left: float,
    ) -> bytes:
        """Return a request for a target that has some seconds left."""

    def is_answer_to(self, headers: Headers, inbound: InboundRequest) -> bool:
        """Tell whether an answer is to a request."""

    def parse_answer_head(self, status: int, headers: Headers) -> TargetAnswer:
        """Read the head of a target's answer."""

    def reserve(self, reservation: AttemptId, memory: int, duration: float) -> Order:
        """Return the order that holds memory, in tokens, for some seconds."""

    def release(self, reservation: AttemptId) -> Order:
        """Return the order that gives a reservation back."""

    def entry_headers(self, request: str, retry_after: float | None) -> Headers:
        """Return the headers of an answer that the entry makes itself."""
