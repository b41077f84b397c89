"""The operators' HTTP API under ``/admin/v1``."""

import dataclasses
import json
import typing as t

from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from .application import RefusalCounter
from .catalogue import KINDS, EntryId, Operator, entry_id
from .change import (
    Change,
    Edit,
    change_to_json,
    diff,
)
from .exceptions import (
    CatalogueError,
    ChicorycoveError,
    ConflictError,
    GrantError,
    PlatformError,
    StoreUnavailable,
    UnknownChangeError,
)
from .reason import Reason
from .registry import Registry
from .schema import Json, dump, dump_entry, json_schema, parse_entry
from .verdict import Verdict

PREFIX = "/admin/v1"
MAX_BODY_SIZE = 4_000_000  # bytes
MAX_HISTORY = 1000  # changes in one answer
PROBLEM_TYPE = "application/problem+json"


class _Unauthenticated(ChicorycoveError):
    """A request without the key of an operator."""


class Plans(t.Protocol):
    """Reads the status of the planner."""

    async def read_status(self) -> Json:
        """Return the status of the last plan.

        :raises StoreUnavailable: if it cannot be read
        """


class Administration:
    """Answers operators' requests from a registry, and counts refusals."""

    def __init__(
        self, registry: Registry, count: RefusalCounter, plans: Plans | None = None
    ) -> None:
        self._registry = registry
        self._count = count
        self._plans = plans

    def routes(self) -> list[Route]:
        """Return the routes, which an entry mounts."""
        table = [
            ("/catalogue", self._catalogue, "GET"),
            ("/entries/{kind}", self._list_entries, "GET"),
            ("/entries/{kind}/{name}", self._get_entry, "GET"),
            ("/changes", self._history, "GET"),
            ("/changes", self._apply, "POST"),
            ("/changes/{change}", self._show_change, "GET"),
            ("/changes/{change}/revert", self._revert, "POST"),
            ("/status", self._status, "GET"),
            ("/schema", self._schema, "GET"),
            ("/plan", self._plan, "GET"),
        ]
        return [
            Route(PREFIX + path, self._wrap_handler(handler), methods=[method])
            for path, handler, method in table
        ]

    def _wrap_handler(self, handler):
        async def endpoint(request: Request) -> Response:
            try:
                return JSONResponse(await handler(request))
            except ChicorycoveError as error:
                return self._refuse(error)

        return endpoint

    def _refuse(self, error: ChicorycoveError) -> Response:
        answer = _build_answer(error)
        self._count(answer.reason, answer.verdict)
        return answer.response(str(error))

    async def _catalogue(self, request: Request) -> Json:
        self._authenticate(request)
        return dump(self._registry.current)

    async def _list_entries(self, request: Request) -> Json:
        self._authenticate(request)
        kind = _read_kind(request)
        names = sorted(self._registry.current.of_kind(kind))
        return {"entries": [self._entry_to_json(EntryId(kind, name)) for name in names]}

    async def _get_entry(self, request: Request) -> Json:
        self._authenticate(request)
        id = EntryId(_read_kind(request), request.path_params["name"])
        if self._registry.current.find(id) is None:
            raise UnknownChangeError(f'there is no {id.kind} "{id.name}"')
        return self._entry_to_json(id)

    async def _history(self, request: Request) -> Json:
        self._authenticate(request)
        limit = request.query_params.get("limit", "50")
        if not limit.isdecimal() or not 0 < int(limit) <= MAX_HISTORY:
            raise CatalogueError(f"limit: expected a number from 1 to {MAX_HISTORY}")
        changes = await self._registry.history(int(limit))
        return {"changes": [await self._change_to_json(change) for change in changes]}

    async def _show_change(self, request: Request) -> Json:
        self._authenticate(request)
        change = await self._registry.find(request.path_params["change"])
        return await self._change_to_json(change) | {"diff": diff(change.replacements)}

    async def _apply(self, request: Request) -> Json:
        operator = self._authenticate(request)
        body = await _read_body(request, {"id", "reason", "base", "edits", "dry_run"})
        proposal = self._registry.create_proposal(
            operator,
            body.get("reason", ""),
            tuple(_parse_edit(item) for item in body.get("edits", ())),
            body.get("base"),
            body.get("id", ""),
        )
        return await self._carry_out(operator, proposal, body)

    async def _revert(self, request: Request) -> Json:
        operator = self._authenticate(request)
        body = await _read_body(request, {"id", "reason", "dry_run"})
        change = await self._registry.find(request.path_params["change"])
        proposal = await self._registry.create_revert(
            operator, change, body.get("reason", ""), body.get("id", "")
        )
        return await self._carry_out(operator, proposal, body)

    async def _carry_out(self, operator, proposal, body) -> Json:
        if body.get("dry_run", False):
            change = await self._registry.preview(operator, proposal)
            return {"dry_run": True, "diff": diff(change.replacements)}
        change = await self._registry.apply(operator, proposal)
        await self._registry.spread(change)
        return await self._change_to_json(change) | {"diff": diff(change.replacements)}

    async def _status(self, request: Request) -> Json:
        self._authenticate(request)
        spreader = self._registry.spreader
        own_status = (self._registry.status(),)
        processes = spreader.status() if spreader is not None else own_status
        return {
            "revision": self._registry.current.revision,
            "accepts": spreader is None or spreader.may_accept(),
            "processes": [dataclasses.asdict(process) for process in processes],
        }

    async def _schema(self, request: Request) -> Json:
        return json_schema()

    async def _plan(self, request: Request) -> Json:
        self._authenticate(request)
        return await self._plans.read_status() if self._plans is not None else {}

    def _authenticate(self, request: Request) -> Operator:
        scheme, _, key = request.headers.get("authorization", "").partition(" ")
        operator = self._registry.find_operator(key) if key else None
        if scheme.lower() != "bearer" or operator is None:
            raise _Unauthenticated("the request has no valid key of an operator")
        return operator

    def _entry_to_json(self, id: EntryId) -> Json:
        mark = self._registry.state.marks[id]
        return {
            "entry": dump_entry(self._registry.current.find(id)),
            "changed": dataclasses.asdict(mark),
        }

    async def _change_to_json(self, change: Change) -> Json:
        data = change_to_json(change)
        report = await self._registry.find_spread(change.revision)
        if report is not None:
            data["in_force_at"] = report.in_force_at
            data["members"] = report.members
            data["laggards"] = [dataclasses.asdict(each) for each in report.laggards]
        return data


@dataclasses.dataclass(frozen=True, slots=True)
class _ErrorAnswer:
    """The status, reason and verdict of the answer to an error."""

    status: int
    reason: Reason
    verdict: Verdict = Verdict.NOT_RUN

    def response(self, detail: str) -> Response:
        """Return the answer, a problem document with a detail."""
        problem = {
            "type": "about:blank",
            "title": self.reason.value.replace("_", " "),
            "status": self.status,
            "detail": detail,
            "reason": self.reason.value,
            "verdict": self.verdict.value,
        }
        return JSONResponse(problem, self.status, media_type=PROBLEM_TYPE)


def _build_answer(error: ChicorycoveError) -> _ErrorAnswer:
    match error:
        case _Unauthenticated():
            return _ErrorAnswer(401, Reason.UNAUTHENTICATED)
        case GrantError():
            return _ErrorAnswer(403, Reason.FORBIDDEN)
        case UnknownChangeError():
            return _ErrorAnswer(404, Reason.UNKNOWN_ENTRY)
        case ConflictError():
            return _ErrorAnswer(409, Reason.CONFLICT)
        case CatalogueError():
            return _ErrorAnswer(422, Reason.INVALID_CATALOGUE)
        case StoreUnavailable():
            return _ErrorAnswer(503, Reason.STORE_DOWN)
        case PlatformError():
            return _ErrorAnswer(503, Reason.STORE_DOWN, Verdict.MAY_HAVE_RUN)
    raise error


def _read_kind(request: Request) -> str:
    kind = request.path_params["kind"]
    if kind not in KINDS:
        raise UnknownChangeError(f'there is no kind "{kind}"')
    return kind


_BODY_TYPES = {"id": str, "reason": str, "base": int, "edits": list, "dry_run": bool}


async def _read_body(request: Request, keys: set[str]) -> Json:
    size = 0
    parts = []
    async for part in request.stream():
        size += len(part)
        if size > MAX_BODY_SIZE:
            raise CatalogueError(f"the body is larger than {MAX_BODY_SIZE} bytes")
        parts.append(part)
    try:
        body = json.loads(b"".join(parts))
    except ValueError as error:
        raise CatalogueError(f"the body is not JSON: {error}") from None
    if not isinstance(body, dict):
        raise CatalogueError("the body is not a JSON object")
    for key, value in body.items():
        if key not in keys:
            raise CatalogueError(f'unknown key "{key}" in the body')
        if type(value) is not _BODY_TYPES[key]:
            raise CatalogueError(f'"{key}": expected {_BODY_TYPES[key].__name__}')
    return body


def _parse_edit(data: Json) -> Edit:
    match data:
        case {"entry": entry, **rest} if not rest:
            parsed = parse_entry(entry)
            return Edit(id=entry_id(parsed), entry=parsed)
        case {"delete": {"kind": str(kind), "name": str(name), **rest}} if not rest:
            if kind not in KINDS:
                raise CatalogueError(f'there is no kind "{kind}"')
            return Edit(id=EntryId(kind, name), entry=None)
    raise CatalogueError(
        'an edit must be {"entry": {...}} or {"delete": {"kind", "name"}}'
    )
