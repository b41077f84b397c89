"""A stand-in for a model engine, as docs/design/engine.md describes it.

Simplifications: weights take no memory. Attempts don't share KV memory, so a
cached prefix saves only time. The members of a group exchange no data; the
engine of the last segment checks that the others still hold theirs. Adapters
don't change the text. An answer whose connection is lost is computed until
it is cancelled. The time model has no noise.
"""

import asyncio
import contextlib
import dataclasses
import random
import time
import typing as t

import aiosonic
import msgspec
import xxhash
from aiosonic.exceptions import AiosonicError
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from . import fault, server
from .batch import LIVE_STAGES, Batch, Sequence, Stage, TimeModel
from .kvcache import EventLog, KVMemory, block_hashes, token_count

VOCABULARY = (
    "gate runner cavity steel core vent draft parting press mould insert ejector "
    "cooling shrink weld flash sprue clamp shot polish notice digest desk shift"
).split()
DEFAULT_MAX_TOKENS = 16
MEMBER_CHECK_INTERVAL = 0.25  # seconds between checks of a group's members
JSON_MEDIA_TYPE = "application/json"
SSE_MEDIA_TYPE = "text/event-stream"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineSettings:
    """Settings of an engine; times are in seconds, sizes in tokens."""

    name: str = "engine"
    memory_tokens: int = 131_072
    time_model: TimeModel = TimeModel()
    time_scale: float = 1.0  # factor on the times of the model and on load_time
    models: tuple[str, ...] = ("advisor",)
    version: str = "1"
    role: str = "mixed"
    checks_fence: bool = True
    load_lag: float = 0.2  # between updates of the load report
    event_lag: float = 0.5  # until a cache event is published
    event_gap_rate: float = 0.05  # share of cache events that are lost
    answer_retention: float = 30.0  # while a finished answer can be resumed
    load_time: float = 1.0  # to load weights without a weight store
    weights_url: str = ""
    seed: int = 0


@dataclasses.dataclass(slots=True)
class Run:
    """An attempt that started to run, as ``/engine/runs`` reports it."""

    attempt: str
    request: str
    digest: str
    checksum: str
    finished: bool = False


@dataclasses.dataclass(slots=True)
class ModelState:
    """The state of a model, as ``/engine/state`` reports it."""

    version: str
    state: str = "ready"
    adapters: list[str] = dataclasses.field(default_factory=list)
    error: str = ""


class Order(msgspec.Struct, forbid_unknown_fields=True):
    """An order to load or unload a model or adapter, or to change the role."""

    kind: t.Literal[
        "load_model", "unload_model", "load_adapter", "unload_adapter", "role"
    ]
    model: str = ""
    version: str = ""
    adapter: str = ""
    role: str = ""
    fence: int | None = None
    weights: str = ""


@dataclasses.dataclass(slots=True)
class Answer:
    """The answer to an attempt, rendered while its sequence is computed."""

    sequence: Sequence
    request_id: str
    model: str
    chat: bool
    stream: bool
    digest: str
    prompt_tokens: int
    finished_at: float | None = None
    _data: bytearray = dataclasses.field(default_factory=bytearray)
    _rendered_events: int = 0
    _end_rendered: bool = False

    @property
    def text(self) -> str:
        """Return the complete text."""
        return " ".join(self.sequence.words)

    @property
    def checksum(self) -> str:
        """Return the checksum of the complete text."""
        return xxhash.xxh64_hexdigest(self.text.encode())

    @property
    def media_type(self) -> str:
        """Return the answer's content type."""
        return SSE_MEDIA_TYPE if self.stream else JSON_MEDIA_TYPE

    def render(self) -> bytearray:
        """Return all bytes of the answer that can be sent by now."""
        if self.stream:
            while self._rendered_events < self.sequence.emitted:
                self._data += self._render_event(
                    self._text_delta(self._rendered_events), None
                )
                self._rendered_events += 1
        if self.sequence.stage is Stage.FINISHED and not self._end_rendered:
            self._end_rendered = True
            self._data += self._render_end()
        return self._data

    def _text_delta(self, index: int) -> str:
        word = self.sequence.words[index]
        return word if index == 0 else " " + word

    def _render_end(self) -> bytes:
        if self.stream:
            last = self._render_event("", "length", checksum=self.checksum)
            return last + b"data: [DONE]\n\n"
        return msgspec.json.encode(
            self._render_body(self.text, "length", checksum=self.checksum)
        )

    def _render_event(
        self, text: str, finish_reason: str | None, **extra: t.Any
    ) -> bytes:
        body = msgspec.json.encode(self._render_body(text, finish_reason, **extra))
        return b"data: " + body + b"\n\n"

    def _render_body(
        self, text: str, finish_reason: str | None, **extra: t.Any
    ) -> dict:
        kind = "chat.completion" if self.chat else "text_completion"
        choice: dict[str, t.Any] = {"index": 0, "finish_reason": finish_reason}
        message = {"role": "assistant", "content": text}
        match self.chat, self.stream:
            case True, True:
                kind = "chat.completion.chunk"
                choice["delta"] = message
            case True, False:
                choice["message"] = message
            case _:
                choice["text"] = text
        body = {
            "id": f"cmpl-{self.request_id}",
            "object": kind,
            "created": 0,
            "model": self.model,
            "choices": [choice],
        }
        if finish_reason:
            body["usage"] = {
                "prompt_tokens": self.prompt_tokens,
                "completion_tokens": len(self.sequence.words),
                "total_tokens": self.prompt_tokens + len(self.sequence.words),
            }
        return body | extra


class _RequestRefused(Exception):
    """Raised for a request that is not run; holds the response to it."""

    def __init__(self, status: int, reason: str):
        super().__init__(reason)
        self.response = JSONResponse({"error": {"reason": reason}}, status)


def _prompt_text(body: dict, chat: bool) -> str:
    if not chat:
        return body["prompt"]
    return "".join(message["content"] for message in body["messages"])


def _random_words(seed: str, count: int) -> tuple[str, ...]:
    rng = random.Random(xxhash.xxh64_intdigest(seed.encode()))
    return tuple(rng.choices(VOCABULARY, k=count))


class Engine:
    """An engine and the handlers of its HTTP interface."""

    def __init__(self, settings: EngineSettings):
        self.faults = fault.Faults()
        self.runs: list[Run] = []
        self._settings = settings
        self._events = EventLog(
            settings.event_lag, settings.event_gap_rate, settings.seed
        )
        self._memory = KVMemory(settings.memory_tokens, self._events)
        self._time_scale = settings.time_model.scale * settings.time_scale
        time_model = dataclasses.replace(settings.time_model, scale=self._time_scale)
        self._batch = Batch(time_model, self._memory, time.monotonic, self._on_start)
        self._answers: dict[str, Answer] = {}
        self._models = {name: ModelState(settings.version) for name in settings.models}
        self._role = settings.role
        self._fence = 0
        self._load_report: dict[str, t.Any] = {}
        self._tasks: set[asyncio.Task] = set()
        self._client: aiosonic.HTTPClient | None = None

    @contextlib.asynccontextmanager
    async def lifespan(self, app: Starlette) -> t.AsyncIterator[None]:
        """Run the engine's tasks while the application is served."""
        self._client = aiosonic.HTTPClient()
        tasks = [
            asyncio.create_task(self._batch.run()),
            asyncio.create_task(self._run_maintenance()),
        ]
        yield
        for task in [*tasks, *self._tasks]:
            task.cancel()
        await self._client.aclose()

    def routes(self) -> list[Route]:
        """Return the routes of the HTTP interface."""
        calls = [
            ("/v1/completions", self._complete, "POST"),
            ("/v1/chat/completions", self._complete, "POST"),
            ("/engine/streams/{attempt:path}", self._resume, "GET"),
            ("/engine/attempts/{attempt:path}", self._show_attempt, "GET"),
            ("/engine/cancel", self._cancel, "POST"),
            ("/engine/prefill", self._prefill, "POST"),
            ("/engine/export", self._export, "POST"),
            ("/engine/import", self._import, "POST"),
            ("/engine/load", self._show_load, "GET"),
            ("/engine/events", self._list_cache_events, "GET"),
            ("/engine/state", self._show_state, "GET"),
            ("/engine/order", self._order, "POST"),
        ]
        routes = [
            Route(path, self._wrap_handler(call), methods=[method])
            for path, call, method in calls
        ]
        endpoint = fault.FaultsEndpoint(self.faults, self._on_faults_change)
        routes.append(
            Route("/engine/faults", endpoint.__call__, methods=["GET", "POST"])
        )
        routes.append(Route("/engine/runs", self._list_runs))
        return routes

    def _wrap_handler(self, call: t.Callable) -> t.Callable:
        async def handle(request: Request) -> Response:
            if not await fault.apply_arrival_faults(request, self.faults):
                return Response()
            try:
                return await call(request)
            except _RequestRefused as refused:
                return refused.response
            except (KeyError, TypeError, ValueError) as error:
                detail = f"{type(error).__name__}: {error}"
                return JSONResponse(
                    {"error": {"reason": "bad_request", "detail": detail}}, 400
                )

        return handle

    def _on_faults_change(self) -> None:
        self._batch.slowdown = self.faults.slow
        self._batch.hanging = self.faults.hang
        if self.faults.die:
            self._batch.clear()
            self._answers.clear()

    def _on_start(self, sequence: Sequence) -> None:
        answer = self._answers.get(sequence.attempt)
        if answer is not None and not sequence.imported:
            run = Run(
                sequence.attempt, answer.request_id, answer.digest, answer.checksum
            )
            self.runs.append(run)

    # Answers

    async def _complete(self, request: Request) -> Response:
        chat = request.url.path.endswith("/chat/completions")
        answer = self._create_answer(await request.body(), request.headers, chat)
        if not await self._members_alive(answer.sequence):
            raise _RequestRefused(503, "member_lost")
        if answer.sequence.attempt in self._batch.sequences:
            raise _RequestRefused(409, "attempt_duplicate")
        self._answers[answer.sequence.attempt] = answer
        if not self._batch.add(answer.sequence):
            del self._answers[answer.sequence.attempt]
            raise _RequestRefused(429, "memory_full")
        if answer.sequence.members:
            self._spawn(self._watch_members(answer.sequence))
        return await self._respond(request, answer, 0)

    def _create_answer(
        self, data: bytes, headers: t.Mapping[str, str], chat: bool
    ) -> Answer:
        body = msgspec.json.decode(data)
        prompt = _prompt_text(body, chat).encode()
        model = body["model"]
        loaded = self._models.get(model)
        if loaded is None or loaded.state != "ready":
            raise _RequestRefused(503, "model_not_loaded")
        attempt = headers.get("x-attempt-id", f"anonymous-{time.monotonic_ns()}")
        request_id = headers.get("x-request-id", attempt)
        digest = xxhash.xxh64_hexdigest(data)
        seed = f"{request_id} {digest} {model} {loaded.version}"
        if body.get("temperature", 0) > 0 and "seed" not in body:
            seed += attempt
        count = int(body.get("max_tokens") or DEFAULT_MAX_TOKENS)
        if count < 1:
            raise ValueError("max_tokens must be at least 1")
        members = headers.get("x-members", "")
        sequence = Sequence(
            attempt=attempt,
            priority=int(headers.get("x-priority", "0")),
            start=int(headers.get("x-context", "0")),
            stop=token_count(prompt),
            words=_random_words(seed, count),
            members=tuple(name for name in members.split(",") if name),
            blocks=block_hashes(prompt),
        )
        return Answer(
            sequence,
            request_id,
            model,
            chat,
            bool(body.get("stream")),
            digest,
            sequence.stop,
        )

    async def _respond(self, request: Request, answer: Answer, offset: int) -> Response:
        if self.faults.late:
            await asyncio.sleep(self.faults.late)
        if answer.stream and self.faults.lose_answers <= 0:
            return StreamingResponse(
                self._stream_answer(request, answer, offset),
                media_type=answer.media_type,
            )
        if (
            not await self._wait_until_finished(answer)
            or self.faults.should_lose_answer()
        ):
            await server.abort_connection(request)
            return Response()
        data = bytes(answer.render()[offset:])
        return Response(data, media_type=answer.media_type)

    async def _wait_until_finished(self, answer: Answer) -> bool:
        sequence = answer.sequence
        while sequence.stage in LIVE_STAGES:
            await sequence.changed.wait()
        return sequence.stage is Stage.FINISHED

    async def _stream_answer(
        self, request: Request, answer: Answer, offset: int
    ) -> t.AsyncIterator[bytes]:
        sequence = answer.sequence
        while True:
            changed = sequence.changed
            data = answer.render()
            if len(data) > offset:
                chunk = bytes(data[offset:])
                offset += len(chunk)
                yield chunk
                await self.faults.wait_while_hanging()
                continue
            if sequence.stage is Stage.FINISHED:
                return
            if sequence.stage not in LIVE_STAGES:
                await server.abort_connection(request)
                return
            await changed.wait()

    async def _resume(self, request: Request) -> Response:
        answer = self._answers.get(request.path_params["attempt"])
        if answer is None:
            raise _RequestRefused(404, "unknown_attempt")
        offset = int(request.query_params.get("offset", "0"))
        return await self._respond(request, answer, offset)

    async def _cancel(self, request: Request) -> Response:
        attempt = msgspec.json.decode(await request.body())["attempt"]
        return JSONResponse({"freed": self._batch.abort(attempt)})

    # Groups

    async def _prefill(self, request: Request) -> Response:
        query = request.query_params
        await request.body()
        if query["model"] not in self._models:
            raise _RequestRefused(503, "model_not_loaded")
        sequence = Sequence(
            attempt=query["attempt"],
            priority=int(request.headers.get("x-priority", "0")),
            start=int(query["start"]),
            stop=int(query["stop"]),
        )
        if sequence.stop <= sequence.start:
            raise ValueError("stop must be greater than start")
        if not self._batch.add(sequence):
            raise _RequestRefused(429, "memory_full")
        while sequence.stage in (Stage.QUEUED, Stage.PREFILL):
            await sequence.changed.wait()
        if sequence.stage is not Stage.HELD or self.faults.should_lose_answer():
            await server.abort_connection(request)
        return JSONResponse({"held": sequence.stop - sequence.start})

    async def _show_attempt(self, request: Request) -> Response:
        sequence = self._batch.sequences.get(request.path_params["attempt"])
        if sequence is None or sequence.stage not in LIVE_STAGES:
            raise _RequestRefused(404, "unknown_attempt")
        return JSONResponse({"stage": sequence.stage.value})

    async def _watch_members(self, sequence: Sequence) -> None:
        while sequence.stage in LIVE_STAGES:
            await asyncio.sleep(MEMBER_CHECK_INTERVAL)
            if not await self._members_alive(sequence):
                self._batch.abort(sequence.attempt)

    async def _members_alive(self, sequence: Sequence) -> bool:
        for member in sequence.members:
            address, _, attempt = member.partition("/")
            url = f"http://{address}/engine/attempts/{attempt}"
            try:
                response = await self._client.get(url)
                await response.content()
            except (OSError, AiosonicError, asyncio.TimeoutError):
                return False
            if response.status_code != 200:
                return False
        return True

    # Moving an attempt

    async def _export(self, request: Request) -> Response:
        attempt = msgspec.json.decode(await request.body())["attempt"]
        answer = self._answers.get(attempt)
        if answer is None or answer.sequence.stage not in LIVE_STAGES:
            raise _RequestRefused(404, "unknown_attempt")
        state = _ExportedAttempt.from_answer(answer)
        self._batch.abort(attempt)
        del self._answers[attempt]
        data = msgspec.json.encode(state)
        return Response(data, media_type="application/octet-stream")

    async def _import(self, request: Request) -> Response:
        state = msgspec.json.decode(await request.body(), type=_ExportedAttempt)
        answer = state.to_answer(request.query_params["attempt"])
        if not self._batch.add(answer.sequence):
            raise _RequestRefused(429, "memory_full")
        self._answers[answer.sequence.attempt] = answer
        return JSONResponse({"attempt": answer.sequence.attempt})

    # Reports

    def _measure_load(self) -> dict[str, t.Any]:
        return {
            "running": len(self._batch.running),
            "queued": len(self._batch.queued),
            "queued_prefill": self._batch.queued_prefill,
            "memory_used": self._memory.used,
            "memory_total": self._memory.total,
            "attempts": dict(self._memory.reserved),
            "as_of": time.time(),
        }

    async def _show_load(self, request: Request) -> Response:
        use_report = self._settings.load_lag > 0 and self._load_report
        return JSONResponse(self._load_report if use_report else self._measure_load())

    async def _list_cache_events(self, request: Request) -> Response:
        after = int(request.query_params.get("after", "0"))
        events = self._events.after(after, time.monotonic())
        shown = [
            {"n": event.number, "kind": event.kind, "blocks": list(event.blocks)}
            for event in events
        ]
        return JSONResponse(
            {"next": shown[-1]["n"] if shown else after, "events": shown}
        )

    async def _show_state(self, request: Request) -> Response:
        models = {
            name: dataclasses.asdict(model) for name, model in self._models.items()
        }
        return JSONResponse(
            {"models": models, "role": self._role, "fence": self._fence}
        )

    async def _list_runs(self, request: Request) -> Response:
        for run in self.runs:
            answer = self._answers.get(run.attempt)
            if answer is not None and answer.sequence.stage is Stage.FINISHED:
                run.finished = True
        return JSONResponse([dataclasses.asdict(run) for run in self.runs])

    async def _run_maintenance(self) -> None:
        """Refresh the load report and drop expired answers periodically."""
        while True:
            self._load_report = self._measure_load()
            self._drop_expired(time.monotonic())
            await asyncio.sleep(
                self._settings.load_lag or self._settings.answer_retention
            )

    def _drop_expired(self, now: float) -> None:
        unfinished = {run.attempt: run for run in self.runs if not run.finished}
        for attempt, answer in list(self._answers.items()):
            if answer.sequence.stage in LIVE_STAGES:
                continue
            if answer.finished_at is None:
                answer.finished_at = now
                if attempt in unfinished and answer.sequence.stage is Stage.FINISHED:
                    unfinished[attempt].finished = True
            if now >= answer.finished_at + self._settings.answer_retention:
                del self._answers[attempt]
                self._batch.sequences.pop(attempt, None)

    # Orders

    async def _order(self, request: Request) -> Response:
        order = msgspec.json.decode(await request.body(), type=Order)
        if self._settings.checks_fence and order.fence is not None:
            if order.fence < self._fence:
                body = {"reason": "stale_fence", "fence": self._fence}
                return JSONResponse(body, 409)
            self._fence = order.fence
        self._apply_order(order)
        if self.faults.should_lose_answer():
            await server.abort_connection(request)
        return await self._show_state(request)

    def _apply_order(self, order: Order) -> None:
        match order.kind:
            case "load_model":
                self._load_model(order)
            case "unload_model":
                self._models.pop(order.model, None)
            case "load_adapter":
                adapters = self._models[order.model].adapters
                if order.adapter not in adapters:
                    adapters.append(order.adapter)
            case "unload_adapter":
                adapters = self._models[order.model].adapters
                if order.adapter in adapters:
                    adapters.remove(order.adapter)
            case "role":
                self._role = order.role

    def _load_model(self, order: Order) -> None:
        loaded = self._models.get(order.model)
        same = loaded is not None and loaded.version == order.version
        if same and loaded.state != "failed":
            return
        loaded = self._models[order.model] = ModelState(order.version, "loading")
        name = order.weights or f"{order.model}-{order.version}"
        self._spawn(self._load_weights(loaded, name))

    def _spawn(self, work: t.Coroutine[t.Any, t.Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _load_weights(self, loaded: ModelState, weights: str) -> None:
        if not self._settings.weights_url:
            await asyncio.sleep(self._settings.load_time * self._time_scale)
            loaded.state = "ready"
            return
        url = f"{self._settings.weights_url}/weights/{weights}"
        try:
            async with self._client.stream("GET", url) as response:
                if response.status_code != 200:
                    raise OSError(f"weights {weights!r}: status {response.status_code}")
                async for _ in response.read_chunks():
                    pass
            loaded.state = "ready"
        except (OSError, ValueError, AiosonicError) as error:
            loaded.state = "failed"
            loaded.error = str(error)


class _ExportedAttempt(msgspec.Struct):
    """The state of an attempt, as it is moved to another engine."""

    request: str
    model: str
    chat: bool
    stream: bool
    digest: str
    priority: int
    start: int
    stop: int
    computed: int
    emitted: int
    words: tuple[str, ...]

    @classmethod
    def from_answer(cls, answer: Answer) -> "_ExportedAttempt":
        """Return the state of an answer's attempt."""
        sequence = answer.sequence
        return cls(
            answer.request_id,
            answer.model,
            answer.chat,
            answer.stream,
            answer.digest,
            sequence.priority,
            sequence.start,
            sequence.stop,
            sequence.computed,
            sequence.emitted,
            sequence.words,
        )

    def to_answer(self, attempt: str) -> Answer:
        """Return the answer, to be continued as the given attempt."""
        computed = self.computed == self.stop - self.start
        sequence = Sequence(
            attempt=attempt,
            priority=self.priority,
            start=self.start,
            stop=self.stop,
            words=self.words,
            computed=self.computed,
            emitted=self.emitted,
            stage=Stage.DECODE if computed and self.emitted else Stage.QUEUED,
            imported=True,
        )
        return Answer(
            sequence,
            self.request,
            self.model,
            self.chat,
            self.stream,
            self.digest,
            self.stop,
        )


def create_app(settings: EngineSettings = EngineSettings()) -> Starlette:
    """Return an engine's application; the engine is ``app.state.engine``."""
    engine = Engine(settings)
    app = Starlette(routes=engine.routes(), lifespan=engine.lifespan)
    app.state.engine = engine
    return app


def main() -> None:
    """Serve an engine until the process receives a signal to stop."""
    parser = server.create_parser(__doc__.splitlines()[0])
    parser.add_argument("--name", default="engine")
    parser.add_argument("--memory-tokens", type=int, default=131_072)
    parser.add_argument("--time-scale", type=float, default=1.0)
    parser.add_argument("--load-lag", type=float, default=0.2)
    parser.add_argument("--event-lag", type=float, default=0.5)
    parser.add_argument("--event-gap-rate", type=float, default=0.05)
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument("--ignore-fence", action="store_true")
    parser.add_argument("--model", action="append", default=[])
    parser.add_argument("--version", default="1")
    parser.add_argument("--weights-url", default="")
    options = parser.parse_args()
    settings = EngineSettings(
        name=options.name,
        memory_tokens=options.memory_tokens,
        time_scale=options.time_scale,
        models=tuple(options.model or ["advisor"]),
        version=options.version,
        checks_fence=not options.ignore_fence,
        load_lag=options.load_lag,
        event_lag=options.event_lag,
        event_gap_rate=options.event_gap_rate,
        weights_url=options.weights_url,
        seed=options.seed,
    )
    server.run(create_app(settings), options.host, options.port)


if __name__ == "__main__":
    main()
