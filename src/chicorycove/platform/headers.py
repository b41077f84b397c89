"""Requests and answers of the platform's HTTP, in the project's terms."""

import math

import msgspec

from ..direct.board import InboundRequest
from ..direct.command import GroupMember, SendAttempt
from ..direct.dialect import Order, Rejection
from ..direct.event import TargetAnswer
from ..direct.http import Headers, HttpRequest, end_to_end, request_bytes
from ..direct.route import Route, RoutingTable, pick_service
from ..identity import AttemptId
from ..reason import Reason
from ..request import Call, Prompt, Request

ATTEMPT = b"chicorycove-attempt-id"  # a caller's request; each of its tries has one
BUDGET = b"chicorycove-time-budget-ms"  # how long the caller waits
COUNTS = b"chicorycove-token-counts"  # tokens of the prompt, most of the answer
MODEL = b"chicorycove-model"
LAST_EVENT = b"last-event-id"
EXPECT = b"chicorycove-expect-instance"  # the only target that may run it
TENANT = b"chicorycove-tenant"  # the workspace
HELPERS = b"chicorycove-helpers"  # the other members of a group
PRIORITY = b"chicorycove-request-priority"
NOT_RUN = b"chicorycove-not-executed"
FAULTY = b"at-server"  # the member at fault

# Set here, whatever a caller sent.
OWN = frozenset(
    {b"authorization", BUDGET, EXPECT, TENANT, HELPERS, PRIORITY, LAST_EVENT}
)

ORDER_PATH = "/chicorycove/order"
LAST_PRIORITY = 9  # of a request that may wait for all others
MISDIRECTED = 421
MS = 1000.0  # milliseconds in a second


class PlatformDialect:
    """Reads callers' requests and targets' answers."""

    def parse_request(
        self, request: HttpRequest, table: RoutingTable | None, draw: float
    ) -> InboundRequest | Rejection:
        """Read a caller's request; a draw from [0, 1) picks its service."""
        id = _text(request.header(ATTEMPT))
        if table is None:
            return Rejection(503, Reason.NOT_READY, id)
        if not id:
            return Rejection(400, Reason.BAD_REQUEST)
        host = _text(request.header(b"host")).rsplit(":", 1)[0]
        path = request.target.split(b"?", 1)[0].decode("latin-1")
        route = table.find_route(host, path)
        if route is None:
            return Rejection(404, Reason.UNKNOWN_PATH, id)
        workspace = ""
        priority = route.priority
        if table.deployment.authenticated and not route.public:
            holder = table.find_workspace(_bearer(request.header(b"authorization")))
            if holder is None:
                return Rejection(401, Reason.UNAUTHENTICATED, id)
            workspace = holder.name
            if holder.priority is not None:
                priority = holder.priority
        return self._inbound(id, request, route, workspace, priority, draw)

    def build_request(
        self,
        request: HttpRequest,
        inbound: InboundRequest,
        send: SendAttempt,
        left: float,
    ) -> bytes:
        """Return a request for a target that has some seconds left."""
        headers = [x for x in end_to_end(request.headers) if x[0].lower() not in OWN]
        headers.append((b"Chicorycove-Time-Budget-Ms", b"%d" % max(left * MS, 1)))
        headers.append((b"Chicorycove-Expect-Instance", send.target.target.encode()))
        if inbound.request.workspace:
            name = inbound.request.workspace.encode()
            headers.append((b"Chicorycove-Tenant", name))
        priority = min(max(inbound.priority, 0), LAST_PRIORITY)
        headers.append((b"Chicorycove-Request-Priority", b"%d" % priority))
        if send.last_event_id is not None:
            headers.append((b"Last-Event-Id", b"%d" % send.last_event_id))
        if send.members:
            helpers = ",".join(_helper(member) for member in send.members)
            headers.append((b"Chicorycove-Helpers", helpers.encode()))
        return request_bytes(request.method, request.target, headers, request.body)

    def is_answer_to(self, headers: Headers, inbound: InboundRequest) -> bool:
        """Tell whether an answer is to a request."""
        echoed = _find(headers, ATTEMPT)
        return echoed is None or _text(echoed) == inbound.request.id

    def parse_answer_head(self, status: int, headers: Headers) -> TargetAnswer:
        """Read the head of a target's answer."""
        return TargetAnswer(
            status=status,
            not_run=_find(headers, NOT_RUN) is not None,
            wrong_instance=status == MISDIRECTED,
            faulty_address=_text(_find(headers, FAULTY)) or None,
        )

    def reserve(self, reservation: AttemptId, memory: int, duration: float) -> Order:
        """Return the order that holds memory, in tokens, for some seconds."""
        body = {
            "operation": "reserve",
            "id": _ticket(reservation),
            "tokens": memory,
            "holdMs": int(duration * MS),
            "wait": False,
        }
        return Order(ORDER_PATH, msgspec.json.encode(body))

    def release(self, reservation: AttemptId) -> Order:
        """Return the order that gives a reservation back."""
        body = {"operation": "release", "id": _ticket(reservation)}
        return Order(ORDER_PATH, msgspec.json.encode(body))

    def entry_headers(self, request: str, retry_after: float | None) -> Headers:
        """Return the headers of an answer that the entry makes itself."""
        headers = []
        if request:
            headers.append((b"Chicorycove-Attempt-Id", request.encode("latin-1")))
        if retry_after is not None:
            headers.append((b"Retry-After", b"%.3f" % max(retry_after, 0.0)))
        return headers

    def _inbound(
        self,
        id: str,
        request: HttpRequest,
        route: Route,
        workspace: str,
        priority: int,
        draw: float,
    ) -> InboundRequest:
        left = _number(request.header(BUDGET))
        if left is None:
            left = route.timeout * MS
        service = pick_service(route.shares, draw)
        work = self._work(request, route, service)
        return InboundRequest(
            Request(
                id=id,
                workspace=workspace,
                priority_class=route.name,
                work=work,
                arrived=request.read_at,
                deadline=request.read_at + min(left / MS, route.timeout),
            ),
            route,
            service,
            priority,
            _whole(request.header(LAST_EVENT)),
        )

    def _work(self, request: HttpRequest, route: Route, service: str) -> Prompt | Call:
        counts = _text(request.header(COUNTS)).split(",")
        if not route.streamed or len(counts) != 2:
            method = request.method.decode("latin-1")
            path = request.target.decode("latin-1")
            return Call(service, method, path, route.repeatable)
        tokens, output = (_whole(count.strip().encode()) or 1 for count in counts)
        model = _text(request.header(MODEL))
        return Prompt(model, tokens, output, True, route.repeatable)


def _ticket(reservation: AttemptId) -> str:
    return f"{reservation.request}-{reservation.nonce}"


def _helper(member: GroupMember) -> str:
    if member.reservation is None:
        return member.address
    return f"{member.address}/{_ticket(member.reservation)}"


def _find(headers: Headers, name: bytes) -> bytes | None:
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def _text(value: bytes | None) -> str:
    return value.decode("latin-1").strip() if value is not None else ""


def _whole(value: bytes | None) -> int | None:
    return int(value) if value is not None and value.isdigit() else None


def _number(value: bytes | None) -> float | None:
    try:
        number = float(value) if value is not None else None
    except ValueError:
        return None
    return number if number is not None and math.isfinite(number) else None


def _bearer(value: bytes | None) -> str | None:
    scheme, _, key = _text(value).partition(" ")
    return key.strip() if scheme.lower() == "bearer" else None
