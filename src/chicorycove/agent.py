"""The agent of a target: executes the commands of its controller."""

import asyncio
import contextlib
import dataclasses

import msgspec

from . import frame
from .answer import AnswerBuffer
from .backend import NOT_RUN_STATUSES, Answer, TargetClient, TargetRequest
from .backlog import Backlog, BacklogSettings
from .catalogue import ServiceKind
from .clock import Clock
from .command import (
    AgentCommand,
    ComputeSegment,
    CountDrop,
    Exit,
    ReportAccepted,
    ReportRefused,
    ReportReserved,
    ReportSealed,
    RunAttempt,
    SendResumedAnswer,
    StopAttempt,
)
from .event import (
    AgentEvent,
    AnswerStarted,
    OwnerDisconnected,
    OwnerHeartbeatReceived,
    ResumeRequested,
    RunFinished,
)
from .exceptions import TargetError, TargetFailed, TargetUnreachable
from .executor import Executor
from .gate import Gate, GateSettings
from .identity import AgentId, AttemptId
from .ledger import Ledger, LedgerSettings
from .lifecycle import StopRequested, Tick
from .log import LOGGER, for_request, log_failure
from .metric import Metrics
from .reason import Reason
from .session import Session
from .settings import AgentSettings
from .target import TargetBoard, TargetController
from .utils import Tasks
from .verdict import Verdict
from .wire import link_pb2 as wire

TICK = 0.05  # seconds
ENGINE_POLL_INTERVAL = 0.5  # seconds
RESUME_DELAYS = (0.0, 0.1, 0.5)  # seconds before each attempt to resume
STATUS_OK = 200
ANSWER_RETENTION = 30.0  # seconds for which an ended answer can be sent again
SSE_END = b"data: [DONE]\n\n"
SSE_CONTENT_TYPE = "text/event-stream"

ENGINE_REASONS = {
    "memory_full": Reason.MEMORY_FULL,
    "member_lost": Reason.RESERVATION_LOST,
    "model_not_loaded": Reason.NOT_READY,
}


@dataclasses.dataclass(frozen=True, slots=True)
class _RefusalError:
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class _Refusal:
    """The body of an engine's answer to an attempt that it did not run."""

    error: _RefusalError


class Agent:
    """Runs attempts on one target and sends their answers to entries."""

    def __init__(
        self, settings: AgentSettings, agent: AgentId, clock: Clock, metrics: Metrics
    ) -> None:
        self._settings = settings
        self._id = agent
        self._clock = clock
        self._metrics = metrics
        self._client = TargetClient(settings.address)
        self._controller = TargetController(agent, _create_board(settings, agent))
        self._executor = Executor(agent, self._client, self._controller, clock)
        self._sessions: dict[str, Session] = {}
        self._answers: dict[AttemptId, AnswerBuffer] = {}
        self._owners: dict[AttemptId, str] = {}
        self._starts: dict[AttemptId, wire.Start] = {}
        self._prefills: dict[AttemptId, wire.Prefill] = {}
        self._run_tasks: dict[AttemptId, asyncio.Task] = {}
        self._resume_offsets: dict[AttemptId, int] = {}
        self._exited = asyncio.Event()
        self._tasks = Tasks(LOGGER)

    @property
    def id(self) -> AgentId:
        """Return the agent's name and incarnation."""
        return self._id

    @property
    def exited(self) -> asyncio.Event:
        """Return the event set once a stopped agent has finished its work."""
        return self._exited

    @property
    def ready(self) -> bool:
        """Return whether the agent accepts new attempts."""
        return not self._controller.load.leaving

    @property
    def controller(self) -> TargetController:
        """Return the controller that decides for this agent."""
        return self._controller

    def start(self) -> None:
        """Start the background tasks."""
        self._tasks.spawn(self._tick())
        self._tasks.spawn(self._report_load())
        if self._settings.kind is ServiceKind.ENGINE:
            self._tasks.spawn(self._poll_engine_memory())
            self._tasks.spawn(self._executor.run())

    def stop(self) -> None:
        """Refuse new attempts; ``exited`` is set once the rest have ended."""
        self._handle(StopRequested())
        self._broadcast_load()

    async def close(self) -> None:
        """Abort what still runs and close all sessions."""
        await self._tasks.cancel()
        for session in self._sessions.values():
            session.close()
        await self._client.close()

    def attach(self, owner: str) -> Session:
        """Begin a session with an entry, replacing an older one."""
        previous = self._sessions.pop(owner, None)
        if previous is not None:
            previous.close()
        session = self._sessions[owner] = Session(owner)
        load = frame.load_message(self._controller.load)
        welcome = wire.Welcome(
            target=self._id.target, incarnation=self._id.incarnation, load=load
        )
        session.send(wire.AgentFrame(welcome=welcome))
        self._handle(OwnerHeartbeatReceived(owner))
        return session

    def detach(self, session: Session) -> None:
        """End a session."""
        session.close()
        if self._sessions.get(session.owner) is session:
            del self._sessions[session.owner]
            self._handle(OwnerDisconnected(session.owner))

    def receive(self, message: wire.EntryFrame, owner: str) -> None:
        """Handle a frame from an entry or a planner."""
        if message.WhichOneof("frame") == "direct":
            report = self._executor.handle_direct(message.direct)
            self._send_frame(owner, wire.AgentFrame(report=report))
            return
        event = frame.read_entry_frame(message, owner)
        match message.WhichOneof("frame"):
            case "start":
                self._register(event.offer.attempt, owner)
                self._starts.setdefault(event.offer.attempt, message.start)
            case "reserve":
                self._register(event.offer.attempt, owner)
            case "prefill":
                self._prefills[event.attempt] = message.prefill
            case "resume":
                self._owners.setdefault(event.attempt, owner)
                self._resume_offsets[event.attempt] = message.resume.offset
        self._handle(event)
        if isinstance(event, ResumeRequested):
            self._resume_offsets.pop(event.attempt, None)

    def _register(self, attempt: AttemptId, owner: str) -> None:
        self._owners[attempt] = owner
        self._answers.setdefault(attempt, AnswerBuffer(str(attempt)))

    def _handle(self, event: AgentEvent) -> None:
        for command in self._controller.handle(event, self._clock.now()):
            self._execute(command)

    def _execute(self, command: AgentCommand) -> None:
        match command:
            case RunAttempt(attempt):
                self._metrics.decided("run")
                self._run_tasks[attempt] = self._tasks.spawn(self._run(attempt))
            case ComputeSegment(attempt):
                self._metrics.decided("prefill")
                self._run_tasks[attempt] = self._tasks.spawn(
                    self._compute_segment(attempt)
                )
            case StopAttempt(attempt):
                self._tasks.spawn(self._stop_attempt(attempt))
            case ReportAccepted(attempt):
                accepted = wire.Accepted(attempt=str(attempt))
                self._send_to_owner(attempt, wire.AgentFrame(accepted=accepted))
            case ReportReserved(attempt):
                reserved = wire.Reserved(attempt=str(attempt))
                self._send_to_owner(attempt, wire.AgentFrame(reserved=reserved))
            case ReportRefused(attempt, reason, retry_after):
                self._refuse(attempt, reason, retry_after)
            case SendResumedAnswer(attempt):
                self._send_resumed_answer(attempt)
            case ReportSealed(attempt, owner, outcome):
                sealed = wire.Sealed(attempt=str(attempt), outcome=outcome.value)
                self._send_frame(owner, wire.AgentFrame(sealed=sealed))
            case CountDrop(kind):
                self._metrics.dropped(kind)
            case Exit():
                self._exited.set()

    def _refuse(
        self, attempt: AttemptId, reason: Reason, retry_after: float | None
    ) -> None:
        self._metrics.decided(reason.value)
        refused = wire.Refused(
            attempt=str(attempt), reason=reason.value, retry_after=retry_after or 0.0
        )
        self._send_to_owner(attempt, wire.AgentFrame(refused=refused))
        self._remove(attempt)

    def _send_resumed_answer(self, attempt: AttemptId) -> None:
        answer = self._answers.get(attempt)
        session = self._sessions.get(self._owners.get(attempt, ""))
        if session is None:
            return
        if answer is None:
            reason, verdict = Reason.STREAM_BROKEN, Verdict.MAY_HAVE_RUN
            self._send_to_owner(attempt, _failed_frame(attempt, reason, verdict))
            return
        session.resend_answer(answer, self._resume_offsets.get(attempt, 0))

    def _send_to_owner(self, attempt: AttemptId, message: wire.AgentFrame) -> None:
        self._send_frame(self._owners.get(attempt, ""), message)

    def _send_frame(self, owner: str, message: wire.AgentFrame) -> None:
        session = self._sessions.get(owner)
        if session is not None:
            session.send(message)

    def _flush(self, attempt: AttemptId) -> None:
        session = self._sessions.get(self._owners.get(attempt, ""))
        if session is not None:
            session.send_answer(self._answers[attempt])

    def _remove(self, attempt: AttemptId) -> None:
        for table in (self._answers, self._owners, self._starts, self._prefills):
            table.pop(attempt, None)

    async def _run(self, attempt: AttemptId) -> None:
        start = self._starts[attempt]
        self._send_to_owner(
            attempt, wire.AgentFrame(started=wire.Started(attempt=str(attempt)))
        )
        try:
            await self._run_on_target(attempt, start)
        except TargetUnreachable as error:
            for_request(attempt.request).warning("target unreachable: %s", error)
            self._refuse(attempt, Reason.TARGET_UNREACHABLE, None)
        except TargetFailed as error:
            for_request(attempt.request).warning("target failed: %s", error)
            self._executor.count_failure()
            reason, verdict = Reason.TARGET_FAILED, Verdict.MAY_HAVE_RUN
            self._end_answer(attempt, _failed_frame(attempt, reason, verdict))
        except Exception:  # it must neither keep its slot nor its caller waiting
            for_request(attempt.request).error("run failed", exc_info=True)
            reason, verdict = Reason.TARGET_FAILED, Verdict.MAY_HAVE_RUN
            self._end_answer(attempt, _failed_frame(attempt, reason, verdict))
        finally:
            self._run_tasks.pop(attempt, None)
        self._handle(RunFinished(attempt))

    async def _run_on_target(self, attempt: AttemptId, start: wire.Start) -> None:
        """Run an attempt, and resume an engine's answer that is interrupted.

        :raises TargetUnreachable: if nothing was sent
        :raises TargetFailed: if the answer cannot be completed
        """
        try:
            async with self._client.stream(_target_request(start)) as answer:
                await self._relay_answer(attempt, start, answer)
        except TargetFailed as error:
            if start.plain:
                raise
            for_request(attempt.request).info("answer interrupted, resuming: %s", error)
            await self._resume_from_engine(attempt, start)

    async def _resume_from_engine(self, attempt: AttemptId, start: wire.Start) -> None:
        """Read the rest of an answer, which the engine keeps for a while.

        :raises TargetFailed: if the answer cannot be resumed
        """
        for delay in RESUME_DELAYS:
            await asyncio.sleep(delay)
            size = self._answers[attempt].size
            path = f"/engine/streams/{attempt}?offset={size}"
            try:
                async with self._client.stream(
                    TargetRequest("GET", path, [], b"")
                ) as answer:
                    if answer.head.status != STATUS_OK:
                        raise TargetFailed(f"{path}: status {answer.head.status}")
                    await self._relay_answer(attempt, start, answer)
                    return
            except TargetError as error:
                for_request(attempt.request).info("answer not resumed: %s", error)
        raise TargetFailed(f"answer ended early, after {size} bytes")

    async def _relay_answer(
        self, attempt: AttemptId, start: wire.Start, answer: Answer
    ) -> None:
        buffer = self._answers[attempt]
        head_read_at = self._clock.now()
        if not start.plain and answer.head.status in NOT_RUN_STATUSES:
            body = b"".join([chunk async for chunk in answer.chunks()])
            reason = refusal_reason(body)
            if reason is None:
                detail = f"status {answer.head.status} without an engine's reason"
                raise TargetFailed(detail)
            self._refuse(attempt, reason, None)
            return
        head = wire.Head(
            attempt=str(attempt),
            status=answer.head.status,
            headers=frame.header_messages(answer.head.headers),
        )
        if buffer.head is None:
            buffer.head = wire.AgentFrame(head=head)
            self._send_to_owner(attempt, buffer.head)
        time_to_first_byte = None
        streamed = SSE_CONTENT_TYPE in answer.head.get("content-type")
        async for chunk in answer.chunks():
            if not buffer.size:
                time_to_first_byte = self._clock.now() - head_read_at
                self._handle(AnswerStarted(attempt, streamed))
            buffer.append(chunk)
            self._flush(attempt)
        if SSE_CONTENT_TYPE in answer.head.get("content-type") and not start.plain:
            if buffer.tail(len(SSE_END)) != SSE_END:
                raise TargetFailed("stream ended without its last event, data: [DONE]")
        if buffer.size and time_to_first_byte is not None:
            self._executor.count_answer(time_to_first_byte)
        ended = wire.Ended(attempt=str(attempt), size=buffer.size)
        self._end_answer(attempt, wire.AgentFrame(ended=ended))

    def _end_answer(self, attempt: AttemptId, message: wire.AgentFrame) -> None:
        self._answers[attempt].end = message
        self._send_to_owner(attempt, message)
        loop = asyncio.get_running_loop()
        loop.call_later(ANSWER_RETENTION, self._remove, attempt)

    async def _compute_segment(self, attempt: AttemptId) -> None:
        prefill = self._prefills.pop(attempt)
        path = (
            f"/engine/prefill?attempt={attempt}&start={prefill.start}"
            f"&stop={prefill.stop}&model={prefill.model}"
            f"&members={','.join(prefill.members)}"
        )
        try:
            await self._post_segment(path, prefill.body)
        except TargetError as error:
            for_request(attempt.request).warning("prefill failed: %s", error)
            reason, verdict = Reason.TARGET_FAILED, Verdict.MAY_HAVE_RUN
            self._send_to_owner(attempt, _failed_frame(attempt, reason, verdict))
            self._handle(RunFinished(attempt))
        else:
            prefilled = wire.Prefilled(attempt=str(attempt))
            self._send_to_owner(attempt, wire.AgentFrame(prefilled=prefilled))
        finally:
            self._run_tasks.pop(attempt, None)

    async def _post_segment(self, path: str, body: bytes) -> None:
        request = TargetRequest(
            "POST", path, [("Content-Type", "application/octet-stream")], body
        )
        async with self._client.stream(request) as answer:
            async for _ in answer.chunks():
                pass
            if answer.head.status >= 400:
                raise TargetFailed(f"{path}: status {answer.head.status}")

    async def _stop_attempt(self, attempt: AttemptId) -> None:
        task = self._run_tasks.get(attempt)
        if task is not None:
            task.cancel()
        if self._settings.kind is ServiceKind.ENGINE:
            with contextlib.suppress(TargetFailed):
                await self._client.post("/engine/cancel", {"attempt": str(attempt)})
        self._handle(RunFinished(attempt))
        self._remove(attempt)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK)
            with log_failure("tick failed"):
                self._handle(Tick())

    async def _report_load(self) -> None:
        while True:
            await asyncio.sleep(self._settings.load_interval)
            with log_failure("load not reported"):
                self._broadcast_load()

    def _broadcast_load(self) -> None:
        message = frame.load_frame(self._controller.load)
        for session in self._sessions.values():
            session.send(message)

    async def _poll_engine_memory(self) -> None:
        while True:
            with log_failure("engine memory not handled"):
                try:
                    self._handle(await self._client.read_memory())
                except TargetError as error:
                    LOGGER.debug("engine memory not read: %s", error)
            await asyncio.sleep(ENGINE_POLL_INTERVAL)


def _create_board(settings: AgentSettings, agent: AgentId) -> TargetBoard:
    ledger_settings = LedgerSettings(lease_duration=settings.owner_lease)
    return TargetBoard(
        gate=Gate(agent, GateSettings(clock_skew=settings.clock_skew)),
        ledger=Ledger(settings.memory, ledger_settings),
        backlog=Backlog(BacklogSettings(limit=settings.queue_limit)),
        max_running=settings.max_running,
    )


def refusal_reason(body: bytes) -> Reason | None:
    """Return why an engine did not run an attempt, if it says so."""
    try:
        error = msgspec.json.decode(body, type=_Refusal).error
    except msgspec.MsgspecError:
        return None
    return ENGINE_REASONS.get(error.reason, Reason.NOT_READY)


def _target_request(start: wire.Start) -> TargetRequest:
    headers = [(header.name, header.value) for header in start.headers]
    if start.members:
        headers.append(("X-Members", ",".join(start.members)))
    return TargetRequest(
        start.method, start.path, headers, start.body, start.idempotent
    )


def _failed_frame(
    attempt: AttemptId, reason: Reason, verdict: Verdict
) -> wire.AgentFrame:
    failed = wire.Failed(
        attempt=str(attempt), reason=reason.value, verdict=verdict.value
    )
    return wire.AgentFrame(failed=failed)
