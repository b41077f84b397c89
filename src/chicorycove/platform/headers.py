"""Translates the platform's HTTP headers and orders to the project's terms."""

import dataclasses
import math

import msgspec

from ..direct.board import InboundRequest
from ..direct.command import GroupMember, SendAttempt
from ..direct.dialect import Order, Rejection
from ..direct.event import TargetAnswer
from ..direct.http import (
    Headers,
    HttpRequest,
    compute_fingerprint,
    end_to_end_headers,
    format_request,
)
from ..direct.route import Route, RoutingTable, pick_service
from ..identity import AttemptId
from ..reason import Reason
from ..request import Call, Prompt, Request

# Each try of a caller has its own id; here it identifies a request.
ATTEMPT_ID = b"chicorycove-attempt-id"
TIME_BUDGET = b"chicorycove-time-budget-ms"  # time that the caller waits
TOKEN_COUNTS = b"chicorycove-token-counts"  # tokens: prompt, maximum of the answer
PROMPT_PREFIX = b"chicorycove-prompt-prefix"  # parts of the prompt, as id:tokens
MODEL = b"chicorycove-model"
LAST_EVENT_ID = b"last-event-id"
EXPECTED_INSTANCE = b"chicorycove-expect-instance"  # id of the only target allowed
TENANT = b"chicorycove-tenant"  # name of the workspace
HELPERS = b"chicorycove-helpers"  # addresses of the other members of a group
PRIORITY = b"chicorycove-request-priority"
NOT_EXECUTED = b"chicorycove-not-executed"  # the target did not run the request
FAULTY_SERVER = b"at-server"  # address of the group member that failed
RATE_LIMIT = b"server-limit"  # requests per second from all entries together
RETRY_AFTER = b"retry-after"  # seconds for which this entry is to back off
LEAVING = b"server-leaving"  # "1": the target is about to end
CONTENT_TYPE = b"content-type"
COLD_TIME_LEFT = b"chicorycove-cold-ms"  # how much longer the target is cold

# Removed from a caller's request and, where a target needs them, set anew.
REPLACED_HEADERS = frozenset(
    {
        b"authorization",
        TIME_BUDGET,
        EXPECTED_INSTANCE,
        TENANT,
        HELPERS,
        PRIORITY,
        LAST_EVENT_ID,
    }
)

ORDER_PATH = "/chicorycove/order"
LOWEST_PRIORITY = 9  # of a request that all others precede
MISDIRECTED_REQUEST = 421  # the target is not the expected instance
UNAVAILABLE = 503
# By these statuses callers are promised that a request has not run.
PROMISING_STATUSES = frozenset({408, MISDIRECTED_REQUEST, 429, UNAVAILABLE})
MAX_SHARED_PARTS = 64  # of a prompt; further ones are ignored
MAX_PART_ID_LENGTH = 64  # characters
MS_PER_SECOND = 1000.0
# Python converts no more than 4300 digits to an integer, and no integer beyond
# 1e308 to a float.
MAX_DIGITS = 16
MAX_INTEGER = 10**15


class PlatformDialect:
    """The dialect of the users' platform."""

    def parse_request(
        self, request: HttpRequest, table: RoutingTable | None, draw: float
    ) -> InboundRequest | Rejection:
        """Parse a caller's request; a draw from [0, 1) selects its service."""
        id = _decode_text(request.header(ATTEMPT_ID))
        if table is None:
            return Rejection(503, Reason.NOT_READY, id)
        if not id:
            return Rejection(400, Reason.BAD_REQUEST)
        host = _decode_text(request.header(b"host")).rsplit(":", 1)[0]
        path = request.url.split(b"?", 1)[0].decode("latin-1")
        route = table.find_route(host, path)
        if route is None:
            return Rejection(404, Reason.UNKNOWN_PATH, id)
        workspace = ""
        priority = route.priority
        allowed_regions = route.allowed_regions
        if table.deployment.authenticated and not route.public:
            workspace_keys = table.find_workspace(
                _parse_bearer_key(request.header(b"authorization"))
            )
            if workspace_keys is None:
                return Rejection(401, Reason.UNAUTHENTICATED, id)
            workspace = workspace_keys.name
            if workspace_keys.priority is not None:
                priority = workspace_keys.priority
            allowed_regions = _intersect(
                allowed_regions, workspace_keys.allowed_regions
            )
        inbound = self._build_inbound(id, request, route, workspace, priority, draw)
        return dataclasses.replace(inbound, allowed_regions=allowed_regions)

    def parse_time_limit(self, request: HttpRequest) -> float | None:
        """Return the seconds for which a caller waits, if it names them."""
        budget_ms = _parse_number(request.header(TIME_BUDGET))
        return budget_ms / MS_PER_SECOND if budget_ms is not None else None

    def build_request(
        self,
        request: HttpRequest,
        inbound: InboundRequest,
        command: SendAttempt,
        time_left: float,
    ) -> bytes:
        """Return the bytes of an attempt's request; time left in seconds."""
        headers = [
            header
            for header in end_to_end_headers(request.headers)
            if header[0].lower() not in REPLACED_HEADERS
        ]
        headers.append(
            (b"Chicorycove-Time-Budget-Ms", b"%d" % max(time_left * MS_PER_SECOND, 1))
        )
        headers.append((b"Chicorycove-Expect-Instance", command.target.target.encode()))
        if inbound.request.workspace:
            name = inbound.request.workspace.encode()
            headers.append((b"Chicorycove-Tenant", name))
        priority = min(max(inbound.priority, 0), LOWEST_PRIORITY)
        headers.append((b"Chicorycove-Request-Priority", b"%d" % priority))
        if command.last_event_id is not None:
            headers.append((b"Last-Event-Id", b"%d" % command.last_event_id))
        if command.members:
            helpers = ",".join(_format_helper(member) for member in command.members)
            headers.append((b"Chicorycove-Helpers", helpers.encode()))
        return format_request(request.method, request.url, headers, request.body)

    def is_answer_to(self, headers: Headers, inbound: InboundRequest) -> bool:
        """Return whether an answer belongs to a request."""
        echoed = _find_header(headers, ATTEMPT_ID)
        return echoed is None or _decode_text(echoed) == inbound.request.id

    def parse_answer_head(self, status: int, headers: Headers) -> TargetAnswer:
        """Parse the head of a target's answer."""
        invalid_headers: list[str] = []
        rate_limit = _find_positive_number(headers, RATE_LIMIT, invalid_headers)
        rate_limit_invalid = bool(invalid_headers)
        retry_after = None
        if status == UNAVAILABLE:
            retry_after = _find_positive_number(headers, RETRY_AFTER, invalid_headers)
        cold_ms = _find_positive_number(headers, COLD_TIME_LEFT, invalid_headers)
        return TargetAnswer(
            status=status,
            not_run=_find_header(headers, NOT_EXECUTED) is not None,
            status_implies_not_run=status in PROMISING_STATUSES,
            wrong_instance=status == MISDIRECTED_REQUEST,
            faulty_address=_decode_text(_find_header(headers, FAULTY_SERVER)) or None,
            rate_limit=rate_limit,
            rate_limit_invalid=rate_limit_invalid,
            retry_after=retry_after,
            leaving=_find_flag(headers, LEAVING, invalid_headers),
            cold_time_left=cold_ms / MS_PER_SECOND if cold_ms is not None else None,
            invalid_headers=tuple(invalid_headers),
            media_type=_parse_media_type(_find_header(headers, CONTENT_TYPE)),
        )

    def build_reserve_order(
        self, reservation: AttemptId, memory: int, duration: float
    ) -> Order:
        """Return an order to reserve memory, in tokens, for some seconds."""
        body = {
            "operation": "reserve",
            "id": _format_ticket_id(reservation),
            "tokens": memory,
            "holdMs": int(duration * MS_PER_SECOND),
            "wait": False,
        }
        return Order(ORDER_PATH, msgspec.json.encode(body))

    def build_release_order(self, reservation: AttemptId) -> Order:
        """Return an order to release a reservation."""
        body = {"operation": "release", "id": _format_ticket_id(reservation)}
        return Order(ORDER_PATH, msgspec.json.encode(body))

    def entry_headers(self, request: str, retry_after: float | None) -> Headers:
        """Return the headers of the entry's own answer; delay in seconds."""
        headers = []
        if request:
            headers.append((b"Chicorycove-Attempt-Id", request.encode("latin-1")))
        if retry_after is not None:
            headers.append((b"Retry-After", b"%.3f" % max(retry_after, 0.0)))
        return headers

    def _build_inbound(
        self,
        id: str,
        request: HttpRequest,
        route: Route,
        workspace: str,
        priority: int,
        draw: float,
    ) -> InboundRequest:
        budget_ms = _parse_number(request.header(TIME_BUDGET))
        if budget_ms is None:
            budget_ms = route.timeout * MS_PER_SECOND
        service = pick_service(route.shares, draw)
        work = self._parse_work(request, route, service)
        return InboundRequest(
            Request(
                id=id,
                workspace=workspace,
                priority_class=route.name,
                work=work,
                arrived=request.received_at,
                deadline=request.received_at
                + min(budget_ms / MS_PER_SECOND, route.timeout),
                body_size=len(request.body),
            ),
            route,
            service,
            priority,
            _parse_integer(request.header(LAST_EVENT_ID)),
            compute_fingerprint(request, workspace),
        )

    def _parse_work(
        self, request: HttpRequest, route: Route, service: str
    ) -> Prompt | Call:
        counts = _decode_text(request.header(TOKEN_COUNTS)).split(",")
        if not route.streamed or len(counts) != 2:
            method = request.method.decode("latin-1")
            path = request.url.decode("latin-1")
            return Call(service, method, path, route.repeatable)
        tokens, output = (
            _parse_integer(count.strip().encode()) or 1 for count in counts
        )
        model = _decode_text(request.header(MODEL))
        parts = _parse_shared_parts(request.header(PROMPT_PREFIX))
        return Prompt(model, tokens, output, True, route.repeatable, shared_parts=parts)


def _format_ticket_id(reservation: AttemptId) -> str:
    return f"{reservation.request}-{reservation.nonce}"


def _format_helper(member: GroupMember) -> str:
    if member.reservation is None:
        return member.address
    return f"{member.address}/{_format_ticket_id(member.reservation)}"


def _find_header(headers: Headers, name: bytes) -> bytes | None:
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def _find_positive_number(
    headers: Headers, name: bytes, invalid_headers: list[str]
) -> float | None:
    """Return the number in a header, or add its value to the invalid ones."""
    value = _find_header(headers, name)
    if value is None:
        return None
    number = _parse_number(value)
    if number is None or number < 0:
        invalid_headers.append(f"{name.decode()}: {_decode_text(value)}")
        return None
    return number


def _find_flag(headers: Headers, name: bytes, invalid_headers: list[str]) -> bool:
    """Return whether a header is 1; a value besides 0 and 1 is invalid."""
    value = _decode_text(_find_header(headers, name)) or "0"
    if value not in ("0", "1"):
        invalid_headers.append(f"{name.decode()}: {value}")
    return value == "1"


def _intersect(
    first: frozenset[str] | None, second: frozenset[str] | None
) -> frozenset[str] | None:
    """Return the regions that both allow; None allows any."""
    if first is None or second is None:
        return second if first is None else first
    return first & second


def _decode_text(value: bytes | None) -> str:
    return value.decode("latin-1").strip() if value is not None else ""


def _parse_media_type(value: bytes | None) -> str:
    return _decode_text(value).partition(";")[0].strip().lower()


def _parse_shared_parts(value: bytes | None) -> tuple[str, ...]:
    """Return the ids of all parts but the last, which is the request's own."""
    parts = _decode_text(value).split(",")[:-1][:MAX_SHARED_PARTS]
    return tuple(part.partition(":")[0].strip()[:MAX_PART_ID_LENGTH] for part in parts)


def _parse_integer(value: bytes | None) -> int | None:
    """Return the integer in a header, at most ``MAX_INTEGER``."""
    if value is None or not value.isdigit():
        return None
    digits = value.lstrip(b"0") or b"0"
    return min(int(digits[:MAX_DIGITS]), MAX_INTEGER)


def _parse_number(value: bytes | None) -> float | None:
    try:
        number = float(value) if value is not None else None
    except ValueError:
        return None
    return number if number is not None and math.isfinite(number) else None


def _parse_bearer_key(value: bytes | None) -> str | None:
    scheme, _, key = _decode_text(value).partition(" ")
    return key.strip() if scheme.lower() == "bearer" else None
