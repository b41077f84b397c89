"""The interface that translates between a platform's HTTP and an entry."""

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
    """A request that is refused without being dispatched."""

    status: int
    reason: Reason
    request: str = ""


@frozen
class Order:
    """A POST to a target that reserves or releases memory."""

    path: str
    body: bytes


class Dialect(t.Protocol):
    """Parses and builds the HTTP messages of one platform."""

    def parse_request(
        self, request: HttpRequest, table: RoutingTable | None, draw: float
    ) -> InboundRequest | Rejection:
        """Parse a caller's request; a draw from [0, 1) selects its service."""

    def parse_time_limit(self, request: HttpRequest) -> float | None:
        """Return the seconds for which a caller waits, if it names them."""

    def build_request(
        self,
        request: HttpRequest,
        inbound: InboundRequest,
        command: SendAttempt,
        time_left: float,
    ) -> bytes:
        """Return the bytes of an attempt's request; time left in seconds."""

    def is_answer_to(self, headers: Headers, inbound: InboundRequest) -> bool:
        """Return whether an answer belongs to a request."""

    def parse_answer_head(self, status: int, headers: Headers) -> TargetAnswer:
        """Parse the head of a target's answer."""

    def build_reserve_order(
        self, reservation: AttemptId, memory: int, duration: float
    ) -> Order:
        """Return an order to reserve memory, in tokens, for some seconds."""

    def build_release_order(self, reservation: AttemptId) -> Order:
        """Return an order to release a reservation."""

    def entry_headers(self, request: str, retry_after: float | None) -> Headers:
        """Return the headers of the entry's own answer; delay in seconds."""
