"""Translates queries of what an entry would do with a request."""

import dataclasses
import urllib.parse

import msgspec

from ..direct.admission import Refusal
from ..direct.board import InboundRequest
from ..direct.dialect import Rejection
from ..direct.explanation import Explanation
from ..direct.http import HttpRequest
from ..direct.route import Route, RoutingTable, find_draw
from ..reason import Reason
from .headers import MS_PER_SECOND, PlatformDialect

MAX_NUMBER = 1_000_000_000  # tokens or bytes
MAX_DEADLINE = 86_400.0  # seconds
FIELDS = frozenset(
    {
        "host",
        "path",
        "model",
        "workspace",
        "tokens",
        "output_tokens",
        "deadline",
        "body_size",
        "prompt_prefix",
        "fingerprint",
    }
)


class InvalidQuery(ValueError):
    """A query that does not describe a request."""


def parse_query(
    request: HttpRequest, table: RoutingTable | None
) -> InboundRequest | Rejection:
    """Return the request that a query describes, or why it is rejected.

    A caller's key is in the query's own header, as in the caller's request.

    :raises InvalidQuery: if the query is malformed or names something unknown
    """
    fields = _parse_fields(request.url.partition(b"?")[2])
    headers = [(b"Chicorycove-Attempt-Id", b"explain")]
    if "deadline" in fields:
        milliseconds = _parse_deadline(fields["deadline"]) * MS_PER_SECOND
        headers.append((b"Chicorycove-Time-Budget-Ms", b"%.3f" % milliseconds))
    if ("tokens" in fields) != ("output_tokens" in fields):
        raise InvalidQuery("expected tokens and output_tokens together")
    if "tokens" in fields:
        counts = (
            _parse_number(fields, "tokens"),
            _parse_number(fields, "output_tokens"),
        )
        headers.append((b"Chicorycove-Token-Counts", b"%d,%d" % counts))
    if "prompt_prefix" in fields:
        prefix = _encode(fields["prompt_prefix"])
        headers.append((b"Chicorycove-Prompt-Prefix", prefix))
    body_size = _parse_number(fields, "body_size") if "body_size" in fields else 0
    if table is None:
        return Rejection(503, Reason.NOT_READY)
    if body_size > table.deployment.limits.body_bytes:
        return Rejection(413, Reason.BODY_TOO_LARGE)
    route = _find_named_route(fields, table)
    host = fields.get("host", route.host if route else "")
    path = fields.get("path", route.prefix if route else "")
    headers.append((b"Host", _encode(host)))
    key = _find_key(fields, request, table)
    if key is not None:
        headers.append((b"Authorization", key))
    described = HttpRequest(b"POST", _encode(path), headers, b"", request.received_at)
    draw = _find_draw(
        fields, table.find_route(host.rsplit(":", 1)[0], path.split("?", 1)[0])
    )
    inbound = PlatformDialect().parse_request(described, table, draw)
    if isinstance(inbound, Rejection):
        return inbound
    return dataclasses.replace(
        inbound,
        request=dataclasses.replace(inbound.request, body_size=body_size),
        # The digest of the described request is not that of a caller's.
        fingerprint=fields.get("fingerprint", ""),
    )


def encode_explanation(explanation: Explanation) -> bytes:
    """Return an explanation as JSON; times are in seconds."""
    return msgspec.json.encode(explanation)


def explain_rejection(rejection: Rejection) -> Explanation:
    """Return the explanation of a request that is not dispatched."""
    return Explanation(
        refusal=Refusal(reason=rejection.reason, status=rejection.status)
    )


def _parse_fields(query: bytes) -> dict[str, str]:
    try:
        pairs = urllib.parse.parse_qsl(
            query.decode("ascii"),
            keep_blank_values=True,
            strict_parsing=bool(query),
            errors="strict",
            max_num_fields=len(FIELDS),
        )
    except ValueError as error:
        raise InvalidQuery(f"expected NAME=VALUE pairs: {error}") from None
    fields = dict(pairs)
    if len(fields) < len(pairs):
        raise InvalidQuery("expected each name once")
    unknown = sorted(fields.keys() - FIELDS)
    if unknown:
        raise InvalidQuery(f"expected {', '.join(sorted(FIELDS))}; got {unknown[0]!r}")
    if ("host" in fields) != ("path" in fields):
        raise InvalidQuery("expected host and path together")
    if "host" not in fields and "model" not in fields:
        raise InvalidQuery("expected host and path, or model")
    if not fields.get("path", "/").startswith("/"):
        raise InvalidQuery(f"path: expected a leading /, got {fields['path']!r}")
    return fields


def _parse_number(fields: dict[str, str], name: str) -> int:
    text = fields[name]
    if text.isascii() and text.isdigit() and len(text) <= len(str(MAX_NUMBER)):
        if int(text) <= MAX_NUMBER:
            return int(text)
    raise InvalidQuery(f"{name}: expected a number up to {MAX_NUMBER}, got {text!r}")


def _parse_deadline(text: str) -> float:
    try:
        deadline = float(text)
    except ValueError:
        deadline = -1.0
    if not 0.0 <= deadline <= MAX_DEADLINE:
        raise InvalidQuery(
            f"deadline: expected seconds up to {MAX_DEADLINE:g}, got {text!r}"
        )
    return deadline


def _encode(text: str) -> bytes:
    try:
        return text.encode("latin-1")
    except UnicodeEncodeError:
        raise InvalidQuery(f"expected Latin-1 text, got {text!r}") from None


def _find_named_route(fields: dict[str, str], table: RoutingTable) -> Route | None:
    """Return the first route to a model, if a query has no host and path."""
    if "host" in fields:
        return None
    model = fields["model"]
    for route in table.deployment.routes:
        if find_draw(route.shares, model) is not None:
            return route
    raise InvalidQuery(f"model: no route leads to {model!r}")


def _find_draw(fields: dict[str, str], route: Route | None) -> float:
    """Return the draw that selects a query's model among a route's services.

    Without a model, it selects the service with the largest weight.
    """
    if route is None:
        return 0.0
    largest = max(route.shares, key=lambda share: share.weight).service
    model = fields.get("model", largest)
    draw = find_draw(route.shares, model)
    if draw is None:
        raise InvalidQuery(f"model: route {route.name!r} does not lead to {model!r}")
    return draw


def _find_key(
    fields: dict[str, str], request: HttpRequest, table: RoutingTable
) -> bytes | None:
    """Return the value of the header with a workspace's or caller's key."""
    key = request.header(b"authorization")
    if "workspace" not in fields:
        return key
    if key is not None:
        raise InvalidQuery("expected a workspace or a key, got both")
    name = fields["workspace"]
    for workspace in table.deployment.workspaces:
        if workspace.name == name and workspace.keys:
            return b"Bearer " + workspace.keys[0].encode("latin-1", "replace")
    raise InvalidQuery(f"workspace: {name!r} is unknown or has no key")
