"""The operators' API over HTTP, under ``/admin/v1``."""

import dataclasses
import json
import typing as t

from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from .application import Count
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
MAX_BODY = 4_000_000  # bytes
MAX_HISTORY = 1000  # changes in one answer
PROBLEM_TYPE = "application/problem+json"


class _Unauthenticated(ChicorycoveError):
    """A request without the key of an operator."""


class Plans(t.Protocol):
    """Tells what the planner is doing."""

    async def read_status(self) -> Json:
        """Return the status of the last plan.

        :raises StoreUnavailable: if it cannot be read
        """


class Administration:
    """Answers operators from a registry, and counts what it refuses."""

    def __init__(
        self, registry: Registry, count: Count, plans: Plans | None = None
    ) -> None:
        self._registry = registry
        self._count = count
        self._plans = plans

    def routes(self) -> list[Route]:
        """Return the routes, to be mounted in an entry."""
        table = [
            ("/catalogue", self._catalogue, "GET"),
            ("/entries/{kind}", self._list, "GET"),
            ("/entries/{kind}/{name}", self._get, "GET"),
            ("/changes", self._history, "GET"),
            ("/changes", self._apply, "POST"),
            ("/changes/{change}", self._show, "GET"),
            ("/changes/{change}/revert", self._revert, "POST"),
            ("/status", self._status, "GET"),
            ("/schema", self._schema, "GET"),
            ("/plan", self._plan, "GET"),
        ]
        return [
            Route(PREFIX + path, self._guarded(handler), methods=[method])
            for path, handler, method in table
        ]

    def _guarded(self, handler):
        async def endpoint(request: Request) -> Response:
            try:
                return JSONResponse(await handler(request))
            except ChicorycoveError as error:
                return self._refuse(error)

        return endpoint

    def _refuse(self, error: ChicorycoveError) -> Response:
        answer = _answer_to(error)
        self._count(answer.reason, answer.verdict)
        return answer.response(str(error))

    async def _catalogue(self, request: Request) -> Json:
        self._operator(request)
        return dump(self._registry.current)

    async def _list(self, request: Request) -> Json:
        self._operator(request)
        kind = _kind(request)
        names = sorted(self._registry.current.of_kind(kind))
        return {"entries": [self._entry(EntryId(kind, name)) for name in names]}

    async def _get(self, request: Request) -> Json:
        self._operator(request)
        id = EntryId(_kind(request), request.path_params["name"])
        if self._registry.current.find(id) is None:
            raise UnknownChangeError(f'there is no {id.kind} "{id.name}"')
        return self._entry(id)

    async def _history(self, request: Request) -> Json:
        self._operator(request)
        limit = request.query_params.get("limit", "50")
        if not limit.isdecimal() or not 0 < int(limit) <= MAX_HISTORY:
            raise CatalogueError(f"limit: expected a number from 1 to {MAX_HISTORY}")
        changes = await self._registry.history(int(limit))
        return {"changes": [await self._change(change) for change in changes]}

    async def _show(self, request: Request) -> Json:
        self._operator(request)
        change = await self._registry.find(request.path_params["change"])
        return await self._change(change) | {"diff": diff(change.replacements)}

    async def _apply(self, request: Request) -> Json:
        operator = self._operator(request)
        body = await _body(request, {"id", "reason", "base", "edits", "dry_run"})
        proposal = self._registry.proposal(
            operator,
            body.get("reason", ""),
            tuple(_edit(item) for item in body.get("edits", ())),
            body.get("base"),
            body.get("id", ""),
        )
        return await self._carry_out(operator, proposal, body)

    async def _revert(self, request: Request) -> Json:
        operator = self._operator(request)
        body = await _body(request, {"id", "reason", "dry_run"})
        change = await self._registry.find(request.path_params["change"])
        proposal = await self._registry.revert(
            operator, change, body.get("reason", ""), body.get("id", "")
        )
        return await self._carry_out(operator, proposal, body)

    async def _carry_out(self, operator, proposal, body) -> Json:
        if body.get("dry_run", False):
            change = await self._registry.preview(operator, proposal)
            return {"dry_run": True, "diff": diff(change.replacements)}
        change = await self._registry.apply(operator, proposal)
        await self._registry.spread(change)
        return await self._change(change) | {"diff": diff(change.replacements)}

    async def _status(self, request: Request) -> Json:
        self._operator(request)
        spreader = self._registry.spreader
        alone = (self._registry.status(),)
        processes = spreader.status() if spreader is not None else alone
        return {
            "revision": self._registry.current.revision,
            "accepts": spreader is None or spreader.may_accept(),
            "processes": [dataclasses.asdict(process) for process in processes],
        }

    async def _schema(self, request: Request) -> Json:
        return json_schema()

    async def _plan(self, request: Request) -> Json:
        self._operator(request)
        return await self._plans.read_status() if self._plans is not None else {}

    def _operator(self, request: Request) -> Operator:
        scheme, _, key = request.headers.get("authorization", "").partition(" ")
        operator = self._registry.operator(key) if key else None
        if scheme.lower() != "bearer" or operator is None:
            raise _Unauthenticated("an operator's key is needed")
        return operator

    def _entry(self, id: EntryId) -> Json:
        mark = self._registry.state.marks[id]
        return {
            "entry": dump_entry(self._registry.current.find(id)),
            "changed": dataclasses.asdict(mark),
        }

    async def _change(self, change: Change) -> Json:
        data = change_to_json(change)
        spread = await self._registry.spread_of(change.revision)
        if spread is not None:
            data["in_force_at"] = spread.in_force_at
            data["members"] = spread.members
            data["laggards"] = [dataclasses.asdict(each) for each in spread.laggards]
        return data


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    """How an error is answered."""

    status: int
    reason: Reason
    verdict: Verdict = Verdict.NOT_RUN

    def response(self, detail: str) -> Response:
        """Return the problem document."""
        problem = {
            "type": "about:blank",
            "title": self.reason.value.replace("_", " "),
            "status": self.status,
            "detail": detail,
            "reason": self.reason.value,
            "verdict": self.verdict.value,
        }
        return JSONResponse(problem, self.status, media_type=PROBLEM_TYPE)


def _answer_to(error: ChicorycoveError) -> _Answer:
    match error:
        case _Unauthenticated():
            return _Answer(401, Reason.UNAUTHENTICATED)
        case GrantError():
            return _Answer(403, Reason.FORBIDDEN)
        case UnknownChangeError():
            return _Answer(404, Reason.UNKNOWN_ENTRY)
        case ConflictError():
            return _Answer(409, Reason.CONFLICT)
        case CatalogueError():
            return _Answer(422, Reason.INVALID_CATALOGUE)
        case StoreUnavailable():
            return _Answer(503, Reason.STORE_DOWN)
        case PlatformError():
            return _Answer(503, Reason.STORE_DOWN, Verdict.MAY_HAVE_RUN)
    raise error


def _kind(request: Request) -> str:
    kind = request.path_params["kind"]
    if kind not in KINDS:
        raise UnknownChangeError(f'there is no kind "{kind}"')
    return kind


_TYPES = {"id": str, "reason": str, "base": int, "edits": list, "dry_run": bool}


async def _body(request: Request, keys: set[str]) -> Json:
    size = 0
    parts = []
    async for part in request.stream():
        size += len(part)
        if size > MAX_BODY:
            raise CatalogueError(f"the body is above {MAX_BODY} bytes")
        parts.append(part)
    try:
        body = json.loads(b"".join(parts))
    except ValueError as error:
        raise CatalogueError(f"the body is not JSON: {error}") from None
    if not isinstance(body, dict):
        raise CatalogueError("the body is not an object")
    for key, value in body.items():
        if key not in keys:
            raise CatalogueError(f'unknown key "{key}" in the body')
        if type(value) is not _TYPES[key]:
            raise CatalogueError(f'"{key}": expected {_TYPES[key].__name__}')
    return body


def _edit(data: Json) -> Edit:
    match data:
        case {"entry": entry, **rest} if not rest:
            parsed = parse_entry(entry)
            return Edit(id=entry_id(parsed), entry=parsed)
        case {"delete": {"kind": str(kind), "name": str(name), **rest}} if not rest:
            if kind not in KINDS:
                raise CatalogueError(f'there is no kind "{kind}"')
            return Edit(id=EntryId(kind, name), entry=None)
    raise CatalogueError('an edit is {"entry": {...}} or {"delete": {"kind", "name"}}')
