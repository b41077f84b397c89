"""The HTTP interface that callers use."""

import asyncio
import hashlib
import typing as t

import xxhash
from starlette.requests import ClientDisconnect, Request as HttpRequest
from starlette.responses import JSONResponse, Response
from starlette.routing import BaseRoute, Route

from .application import Refusal, problem_response
from .catalogue import Catalogue, PathRule, Service, Workspace
from .entry import Entry
from .exchange import Data, Done, Exchange, Head
from .problem import Problem
from .prompt import Body, build_prompt, parse_body
from .reason import Reason
from .request import Call, Prompt, Request

TIMEOUT_HEADER = "x-request-timeout"  # seconds from now
KEY_HEADER = "idempotency-key"
MAX_KEY = 255  # characters
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"})
METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]
PRIVATE_HEADERS = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-attempt-id",
        "x-context",
        "x-members",
        "x-priority",
        "x-request-id",
    }
)


class Front:
    """Reads callers' requests and writes their answers."""

    def __init__(self, entry: Entry, max_body: int, max_deadline: float) -> None:
        self._entry = entry
        self._max_body = max_body
        self._max_deadline = max_deadline
        self._keys = KeyIndex()

    def routes(self) -> list[BaseRoute]:
        """Return the routes of the callers' interface."""
        return [
            Route("/v1/models", self._models, methods=["GET"]),
            Route(
                "/v1/completions", _Endpoint(self, self._completion), methods=["POST"]
            ),
            Route(
                "/v1/chat/completions", _Endpoint(self, self._chat), methods=["POST"]
            ),
            Route(
                "/services/{service}/{path:path}",
                _Endpoint(self, self._call),
                methods=METHODS,
            ),
        ]

    async def _models(self, http: HttpRequest) -> Response:
        try:
            self._authenticate(http)
        except Refusal as refusal:
            return self.refuse(refusal)
        models = [
            {"id": name, "object": "model", "owned_by": model.owner}
            for name, model in sorted(self._entry.catalogue.models.items())
        ]
        return JSONResponse({"object": "list", "data": models})

    async def _completion(self, http: HttpRequest) -> Exchange:
        return await self._prompted(http, chat=False)

    async def _chat(self, http: HttpRequest) -> Exchange:
        return await self._prompted(http, chat=True)

    async def _prompted(self, http: HttpRequest, chat: bool) -> Exchange:
        workspace = self._authenticate(http)
        data = await self._read(http)
        try:
            body = parse_body(data, chat)
        except ValueError as error:
            raise Refusal(Reason.BAD_REQUEST, str(error)) from None
        try:
            prompt = build_prompt(body, self._entry.catalogue)
        except KeyError:
            detail = f'model "{body.model}" does not exist'
            raise Refusal(Reason.UNKNOWN_MODEL, detail) from None
        request = self._request(http, workspace, workspace.priority_class, prompt, data)
        return self._submit(http, request, data, body)

    async def _call(self, http: HttpRequest) -> Exchange:
        workspace = self._authenticate(http)
        name = http.path_params["service"]
        service = self._entry.catalogue.services.get(name)
        if service is None:
            raise Refusal(Reason.UNKNOWN_SERVICE, f'service "{name}" does not exist')
        data = await self._read(http)
        path = "/" + http.path_params["path"]
        rule = find_rule(service, http.method, path)
        call = Call(name, http.method, _target(path, http), _repeatable(http, rule))
        chosen = rule.priority_class if rule else None
        class_name = chosen or service.priority_class or workspace.priority_class
        request = self._request(http, workspace, class_name, call, data)
        return self._submit(http, request, data)

    def _submit(
        self,
        http: HttpRequest,
        request: Request,
        data: bytes,
        body: Body | None = None,
    ) -> Exchange:
        pairs = [
            (name, value)
            for name, value in http.headers.items()
            if name not in PRIVATE_HEADERS
        ]
        match request.work:
            case Call(path=path):
                pass
            case _:
                path = http.url.path
        exchange = Exchange(request, http.method, path, pairs, data, body)
        self._entry.submit(exchange)
        return exchange

    def _request(
        self,
        http: HttpRequest,
        workspace: Workspace,
        class_name: str,
        work: Prompt | Call,
        data: bytes,
    ) -> Request:
        now = self._entry.clock.now()
        return Request(
            id=self._entry.new_id(),
            workspace=workspace.name,
            priority_class=class_name,
            work=work,
            arrived=now,
            deadline=now + self._timeout(http, class_name),
            key=_key(http),
            body_digest=xxhash.xxh3_128_hexdigest(data),
            body_size=len(data),
        )

    def _timeout(self, http: HttpRequest, class_name: str) -> float:
        text = http.headers.get(TIMEOUT_HEADER)
        if text is None:
            return self._entry.catalogue.classes[class_name].deadline
        try:
            seconds = float(text)
        except ValueError:
            seconds = float("nan")
        if not seconds <= self._max_deadline:
            detail = (
                f'header "{TIMEOUT_HEADER}": expected seconds, at most '
                f'{self._max_deadline:g}, got "{text}"'
            )
            raise Refusal(Reason.BAD_REQUEST, detail)
        if seconds <= 0:
            raise Refusal(
                Reason.DEADLINE_PAST, f"the deadline passed {-seconds:g} s ago"
            )
        return seconds

    def _authenticate(self, http: HttpRequest) -> Workspace:
        if not self._entry.catalogue.revision:
            raise Refusal(Reason.NOT_READY, "no catalogue has been read yet")
        if not self._entry.in_touch:
            raise Refusal(Reason.NOT_READY, "no contact with most entries or the store")
        scheme, _, key = http.headers.get("authorization", "").partition(" ")
        workspace = self._keys.find(self._entry.catalogue, key.strip())
        if scheme.lower() != "bearer" or workspace is None:
            raise Refusal(Reason.UNAUTHENTICATED, "the key is not known")
        return workspace

    async def _read(self, http: HttpRequest) -> bytes:
        parts = []
        size = 0
        async for part in http.stream():
            size += len(part)
            if size > self._max_body:
                detail = f"the body is larger than {self._max_body} bytes"
                raise Refusal(Reason.BODY_TOO_LARGE, detail)
            parts.append(part)
        return b"".join(parts)

    def hang_up(self, exchange: Exchange) -> None:
        """Tell the entry that a caller has gone."""
        self._entry.hang_up(exchange)

    def refuse(self, refusal: Refusal) -> Response:
        """Return the answer to a request that is not admitted."""
        self._entry.count_refusal(refusal.reason)
        return problem_response(refusal, self._entry.new_id())


class KeyIndex:
    """Finds workspaces by the digests of their keys."""

    def __init__(self) -> None:
        self._catalogue: Catalogue | None = None
        self._workspaces: dict[str, Workspace] = {}

    def find(self, catalogue: Catalogue, key: str) -> Workspace | None:
        """Return the workspace that a key belongs to, if any."""
        if catalogue is not self._catalogue:
            self._workspaces = {
                digest: workspace
                for workspace in catalogue.workspaces.values()
                for digest in workspace.key_digests
            }
            self._catalogue = catalogue
        return self._workspaces.get(hashlib.sha256(key.encode()).hexdigest())


class _Endpoint:
    """An ASGI application that answers one kind of request."""

    def __init__(
        self, front: Front, begin: t.Callable[[HttpRequest], t.Awaitable[Exchange]]
    ) -> None:
        self._front = front
        self._begin = begin

    async def __call__(self, scope: t.Any, receive: t.Any, send: t.Any) -> None:
        http = HttpRequest(scope, receive)
        try:
            exchange = await self._begin(http)
        except Refusal as refusal:
            await self._front.refuse(refusal)(scope, receive, send)
            return
        except ClientDisconnect:
            return
        watcher = asyncio.create_task(self._watch(receive, exchange))
        try:
            await _answer(exchange, send)
        finally:
            watcher.cancel()

    async def _watch(self, receive: t.Any, exchange: Exchange) -> None:
        while (await receive())["type"] != "http.disconnect":
            pass
        self._front.hang_up(exchange)


async def _answer(exchange: Exchange, send: t.Any) -> None:
    """Write an answer's parts until it ends."""
    begun = False
    while True:
        body = bytearray()
        for part in await exchange.parts():
            match part:
                case Head():
                    await send(_start(part.status, _encode(part.headers)))
                    begun = True
                case Data(data):
                    body += data
                case Done():
                    await send(_body(bytes(body), more=False))
                    return
                case Problem():
                    if not begun:
                        await send(_start(part.status, part.headers))
                        await send(_body(part.body(), more=False))
                        return
                    event = b"event: error\ndata: " + part.body() + b"\n\n"
                    await send(_body(bytes(body) + event, more=False))
                    return
        if body:
            await send(_body(bytes(body), more=True))


def _start(status: int, headers: list[tuple[bytes, bytes]]) -> dict[str, t.Any]:
    return {"type": "http.response.start", "status": status, "headers": headers}


def _body(data: bytes, more: bool) -> dict[str, t.Any]:
    return {"type": "http.response.body", "body": data, "more_body": more}


def _encode(pairs: t.Iterable[tuple[str, str]]) -> list[tuple[bytes, bytes]]:
    return [(name.lower().encode(), value.encode()) for name, value in pairs]


def find_rule(service: Service, method: str, path: str) -> PathRule | None:
    """Return the rule with the longest prefix that covers a call, if any."""
    rules = [
        rule
        for rule in service.paths
        if method in rule.methods and path.startswith(rule.prefix)
    ]
    return max(rules, key=lambda rule: len(rule.prefix), default=None)


def _repeatable(http: HttpRequest, rule: PathRule | None) -> bool:
    if rule is not None:
        return rule.idempotent
    return http.method in IDEMPOTENT_METHODS


def _target(path: str, http: HttpRequest) -> str:
    return f"{path}?{http.url.query}" if http.url.query else path


def _key(http: HttpRequest) -> str | None:
    key = http.headers.get(KEY_HEADER)
    if key is None:
        return None
    key = key.strip().strip('"')
    if not 0 < len(key) <= MAX_KEY:
        detail = f'header "{KEY_HEADER}": expected 1 to {MAX_KEY} characters'
        raise Refusal(Reason.BAD_REQUEST, detail)
    return key
