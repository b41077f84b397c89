"""HTTP interface for callers."""

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
from .exchange import AnswerData, AnswerEnd, AnswerHead, Exchange
from .problem import Problem
from .prompt import Body, build_prompt, parse_body
from .reason import Reason
from .request import Call, Prompt, Request

TIMEOUT_HEADER = "x-request-timeout"  # seconds from the request's arrival
KEY_HEADER = "idempotency-key"
MAX_KEY_LENGTH = 255  # characters of an idempotency key
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"})
CALL_METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]
# Headers of a caller's request that are not forwarded to targets
UNFORWARDED_HEADERS = frozenset(
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


class Frontend:
    """Reads callers' requests and sends their answers."""

    def __init__(self, entry: Entry, max_body: int, max_deadline: float) -> None:
        self._entry = entry
        self._max_body = max_body
        self._max_deadline = max_deadline
        self._api_keys = ApiKeyIndex()

    def routes(self) -> list[BaseRoute]:
        """Return the routes of the interface for callers."""
        return [
            Route("/v1/models", self._list_models, methods=["GET"]),
            Route(
                "/v1/completions",
                _Endpoint(self, self._submit_completion),
                methods=["POST"],
            ),
            Route(
                "/v1/chat/completions",
                _Endpoint(self, self._submit_chat),
                methods=["POST"],
            ),
            Route(
                "/services/{service}/{path:path}",
                _Endpoint(self, self._submit_call),
                methods=CALL_METHODS,
            ),
        ]

    async def _list_models(self, http_request: HttpRequest) -> Response:
        try:
            self._authenticate(http_request)
        except Refusal as refusal:
            return self.refuse(refusal)
        models = [
            {"id": name, "object": "model", "owned_by": model.owner}
            for name, model in sorted(self._entry.catalogue.models.items())
        ]
        return JSONResponse({"object": "list", "data": models})

    async def _submit_completion(self, http_request: HttpRequest) -> Exchange:
        return await self._submit_prompt(http_request, chat=False)

    async def _submit_chat(self, http_request: HttpRequest) -> Exchange:
        return await self._submit_prompt(http_request, chat=True)

    async def _submit_prompt(self, http_request: HttpRequest, chat: bool) -> Exchange:
        workspace = self._authenticate(http_request)
        data = await self._read_body(http_request)
        try:
            body = parse_body(data, chat)
        except ValueError as error:
            raise Refusal(Reason.BAD_REQUEST, str(error)) from None
        try:
            prompt = build_prompt(body, self._entry.catalogue)
        except KeyError:
            detail = f'model "{body.model}" does not exist'
            raise Refusal(Reason.UNKNOWN_MODEL, detail) from None
        request = self._build_request(
            http_request, workspace, workspace.priority_class, prompt, data
        )
        return self._submit(http_request, request, data, body)

    async def _submit_call(self, http_request: HttpRequest) -> Exchange:
        workspace = self._authenticate(http_request)
        name = http_request.path_params["service"]
        service = self._entry.catalogue.services.get(name)
        if service is None:
            raise Refusal(Reason.UNKNOWN_SERVICE, f'service "{name}" does not exist')
        data = await self._read_body(http_request)
        path = "/" + http_request.path_params["path"]
        rule = find_rule(service, http_request.method, path)
        call = Call(
            name,
            http_request.method,
            _path_with_query(path, http_request),
            _is_idempotent(http_request, rule),
        )
        rule_class = rule.priority_class if rule else None
        class_name = rule_class or service.priority_class or workspace.priority_class
        request = self._build_request(http_request, workspace, class_name, call, data)
        return self._submit(http_request, request, data)

    def _submit(
        self,
        http_request: HttpRequest,
        request: Request,
        data: bytes,
        body: Body | None = None,
    ) -> Exchange:
        headers = [
            (name, value)
            for name, value in http_request.headers.items()
            if name not in UNFORWARDED_HEADERS
        ]
        match request.work:
            case Call(path=path):
                pass
            case _:
                path = http_request.url.path
        exchange = Exchange(request, http_request.method, path, headers, data, body)
        self._entry.submit(exchange)
        return exchange

    def _build_request(
        self,
        http_request: HttpRequest,
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
            deadline=now + self._read_timeout(http_request, class_name),
            key=_idempotency_key(http_request),
            body_digest=xxhash.xxh3_128_hexdigest(data),
            body_size=len(data),
        )

    def _read_timeout(self, http_request: HttpRequest, class_name: str) -> float:
        text = http_request.headers.get(TIMEOUT_HEADER)
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

    def _authenticate(self, http_request: HttpRequest) -> Workspace:
        if not self._entry.catalogue.revision:
            raise Refusal(Reason.NOT_READY, "no catalogue has been read yet")
        if not self._entry.may_serve:
            raise Refusal(Reason.NOT_READY, "no contact with most entries or the store")
        scheme, _, key = http_request.headers.get("authorization", "").partition(" ")
        workspace = self._api_keys.find(self._entry.catalogue, key.strip())
        if scheme.lower() != "bearer" or workspace is None:
            raise Refusal(Reason.UNAUTHENTICATED, "the key is not known")
        return workspace

    async def _read_body(self, http_request: HttpRequest) -> bytes:
        parts = []
        size = 0
        async for part in http_request.stream():
            size += len(part)
            if size > self._max_body:
                detail = f"the body is larger than {self._max_body} bytes"
                raise Refusal(Reason.BODY_TOO_LARGE, detail)
            parts.append(part)
        return b"".join(parts)

    def cancel_request(self, exchange: Exchange) -> None:
        """Cancel a request whose caller has disconnected."""
        self._entry.cancel_request(exchange)

    def refuse(self, refusal: Refusal) -> Response:
        """Count a refusal and return its response."""
        self._entry.count_refusal(refusal.reason)
        return problem_response(refusal, self._entry.new_id())


class ApiKeyIndex:
    """Finds workspaces by the SHA-256 digests of their API keys."""

    def __init__(self) -> None:
        self._catalogue: Catalogue | None = None
        self._workspaces_by_digest: dict[str, Workspace] = {}

    def find(self, catalogue: Catalogue, key: str) -> Workspace | None:
        """Return the workspace that an API key belongs to, if any."""
        if catalogue is not self._catalogue:
            self._workspaces_by_digest = {
                digest: workspace
                for workspace in catalogue.workspaces.values()
                for digest in workspace.key_digests
            }
            self._catalogue = catalogue
        return self._workspaces_by_digest.get(hashlib.sha256(key.encode()).hexdigest())


class _Endpoint:
    """ASGI application for one kind of request."""

    def __init__(
        self,
        frontend: Frontend,
        submit: t.Callable[[HttpRequest], t.Awaitable[Exchange]],
    ) -> None:
        self._frontend = frontend
        self._submit = submit

    async def __call__(self, scope: t.Any, receive: t.Any, send: t.Any) -> None:
        http_request = HttpRequest(scope, receive)
        try:
            exchange = await self._submit(http_request)
        except Refusal as refusal:
            await self._frontend.refuse(refusal)(scope, receive, send)
            return
        except ClientDisconnect:
            return
        watcher = asyncio.create_task(self._wait_for_disconnect(receive, exchange))
        try:
            await _send_answer(exchange, send)
        finally:
            watcher.cancel()

    async def _wait_for_disconnect(self, receive: t.Any, exchange: Exchange) -> None:
        while (await receive())["type"] != "http.disconnect":
            pass
        self._frontend.cancel_request(exchange)


async def _send_answer(exchange: Exchange, send: t.Any) -> None:
    """Send the parts of an answer until it ends."""
    head_sent = False
    while True:
        body = bytearray()
        for part in await exchange.next_parts():
            match part:
                case AnswerHead():
                    await send(
                        _start_message(part.status, _encode_headers(part.headers))
                    )
                    head_sent = True
                case AnswerData(data):
                    body += data
                case AnswerEnd():
                    await send(_body_message(bytes(body), more=False))
                    return
                case Problem():
                    if not head_sent:
                        await send(_start_message(part.status, part.headers))
                        await send(_body_message(part.body(), more=False))
                        return
                    event = b"event: error\ndata: " + part.body() + b"\n\n"
                    await send(_body_message(bytes(body) + event, more=False))
                    return
        if body:
            await send(_body_message(bytes(body), more=True))


def _start_message(status: int, headers: list[tuple[bytes, bytes]]) -> dict[str, t.Any]:
    return {"type": "http.response.start", "status": status, "headers": headers}


def _body_message(data: bytes, more: bool) -> dict[str, t.Any]:
    return {"type": "http.response.body", "body": data, "more_body": more}


def _encode_headers(pairs: t.Iterable[tuple[str, str]]) -> list[tuple[bytes, bytes]]:
    return [(name.lower().encode(), value.encode()) for name, value in pairs]


def find_rule(service: Service, method: str, path: str) -> PathRule | None:
    """Return the rule with the longest prefix that matches a call, if any."""
    rules = [
        rule
        for rule in service.paths
        if method in rule.methods and path.startswith(rule.prefix)
    ]
    return max(rules, key=lambda rule: len(rule.prefix), default=None)


def _is_idempotent(http_request: HttpRequest, rule: PathRule | None) -> bool:
    if rule is not None:
        return rule.idempotent
    return http_request.method in IDEMPOTENT_METHODS


def _path_with_query(path: str, http_request: HttpRequest) -> str:
    return f"{path}?{http_request.url.query}" if http_request.url.query else path


def _idempotency_key(http_request: HttpRequest) -> str | None:
    key = http_request.headers.get(KEY_HEADER)
    if key is None:
        return None
    key = key.strip().strip('"')
    if not 0 < len(key) <= MAX_KEY_LENGTH:
        detail = f'header "{KEY_HEADER}": expected 1 to {MAX_KEY_LENGTH} characters'
        raise Refusal(Reason.BAD_REQUEST, detail)
    return key
