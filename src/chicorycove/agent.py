"""The agent beside a target: carries out what its controller decides."""

import asyncio
import contextlib
import dataclasses

import msgspec

from . import frame
from .answer import AnswerBuffer
from .backend import NOT_RUN_STATUSES, Answer, Backend, Work
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
from .log import LOGGER, for_request
from .metric import Metrics
from .reason import Reason
from .session import Session
from .settings import AgentSettings
from .target import TargetBoard, TargetController
from .utils import Tasks
from .verdict import Verdict
from .wire import link_pb2 as wire

TICK = 0.05  # seconds
REPORT_INTERVAL = 0.5  # seconds
RESUME_DELAYS = (0.0, 0.1, 0.5)  # seconds before each try
STATUS_OK = 200
KEEP_ANSWER = 30.0  # seconds that an ended answer can be sent again
SSE_END = b"data: [DONE]\n\n"
SSE_TYPE = "text/event-stream"

ENGINE_REASONS = {
    "memory_full": Reason.MEMORY_FULL,
    "member_lost": Reason.RESERVATION_LOST,
    "model_not_loaded": Reason.NOT_READY,
}


@dataclasses.dataclass(frozen=True, slots=True)
class _RefusalError:
    reason: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class _Refusal:
    """The body of an engine's answer that an attempt has not run."""

    error: _RefusalError


class Agent:
    """Stands in the path of every request to one target."""

    def __init__(
        self, settings: AgentSettings, agent: AgentId, clock: Clock, metrics: Metrics
    ) -> None:
        self._settings = settings
        self._id = agent
        self._clock = clock
        self._metrics = metrics
        self._backend = Backend(settings.address)
        self._controller = TargetController(agent, _board(settings, agent))
        self._executor = Executor(agent, self._backend, self._controller, clock)
        self._sessions: dict[str, Session] = {}
        self._answers: dict[AttemptId, AnswerBuffer] = {}
        self._owners: dict[AttemptId, str] = {}
        self._work: dict[AttemptId, wire.Start] = {}
        self._prefills: dict[AttemptId, wire.Prefill] = {}
        self._runs: dict[AttemptId, asyncio.Task] = {}
        self._offsets: dict[AttemptId, int] = {}
        self._exited = asyncio.Event()
        self._tasks = Tasks(LOGGER)

    @property
    def id(self) -> AgentId:
        """Return the agent's name and incarnation."""
        return self._id

    @property
    def exited(self) -> asyncio.Event:
        """Return the event that is set once nothing is left to finish."""
        return self._exited

    @property
    def ready(self) -> bool:
        """Tell whether the agent takes new work."""
        return not self._controller.load.leaving

    @property
    def controller(self) -> TargetController:
        """Return the agent's decisions."""
        return self._controller

    def start(self) -> None:
        """Begin to keep time and to watch the engine."""
        self._tasks.spawn(self._keep_time())
        self._tasks.spawn(self._report_load())
        if self._settings.kind is ServiceKind.ENGINE:
            self._tasks.spawn(self._watch_engine())
            self._tasks.spawn(self._executor.run())

    def stop(self) -> None:
        """Take no new work; ``exited`` is set when all is finished."""
        self._feed(StopRequested())
        self._broadcast_load()

    async def close(self) -> None:
        """Drop everything."""
        await self._tasks.cancel()
        for session in self._sessions.values():
            session.close()
        await self._backend.close()

    def attach(self, owner: str) -> Session:
        """Begin a session with an entry, in place of an older one."""
        old = self._sessions.pop(owner, None)
        if old is not None:
            old.close()
        session = self._sessions[owner] = Session(owner)
        load = frame.load_message(self._controller.load)
        welcome = wire.Welcome(
            target=self._id.target, incarnation=self._id.incarnation, load=load
        )
        session.send(wire.AgentFrame(welcome=welcome))
        self._feed(OwnerHeartbeatReceived(owner))
        return session

    def detach(self, session: Session) -> None:
        """End a session."""
        session.close()
        if self._sessions.get(session.owner) is session:
            del self._sessions[session.owner]
            self._feed(OwnerDisconnected(session.owner))

    def receive(self, message: wire.EntryFrame, owner: str) -> None:
        """Take in a frame from an entry or a planner."""
        if message.WhichOneof("frame") == "direct":
            report = self._executor.direct(message.direct)
            self._send(owner, wire.AgentFrame(report=report))
            return
        event = frame.read_entry_frame(message, owner)
        match message.WhichOneof("frame"):
            case "start":
                self._keep(event.offer.attempt, owner)
                self._work.setdefault(event.offer.attempt, message.start)
            case "reserve":
                self._keep(event.offer.attempt, owner)
            case "prefill":
                self._prefills[event.attempt] = message.prefill
            case "resume":
                self._owners.setdefault(event.attempt, owner)
                self._offsets[event.attempt] = message.resume.offset
        self._feed(event)
        if isinstance(event, ResumeRequested):
            self._offsets.pop(event.attempt, None)

    def _keep(self, attempt: AttemptId, owner: str) -> None:
        self._owners[attempt] = owner
        self._answers.setdefault(attempt, AnswerBuffer(str(attempt)))

    def _feed(self, event: AgentEvent) -> None:
        for command in self._controller.handle(event, self._clock.now()):
            self._carry_out(command)

    def _carry_out(self, command: AgentCommand) -> None:
        match command:
            case RunAttempt(attempt):
                self._metrics.decided("run")
                self._runs[attempt] = self._tasks.spawn(self._run(attempt))
            case ComputeSegment(attempt):
                self._metrics.decided("prefill")
                self._runs[attempt] = self._tasks.spawn(self._compute(attempt))
            case StopAttempt(attempt):
                self._tasks.spawn(self._cancel(attempt))
            case ReportAccepted(attempt):
                accepted = wire.Accepted(attempt=str(attempt))
                self._tell(attempt, wire.AgentFrame(accepted=accepted))
            case ReportReserved(attempt):
                reserved = wire.Reserved(attempt=str(attempt))
                self._tell(attempt, wire.AgentFrame(reserved=reserved))
            case ReportRefused(attempt, reason, retry_after):
                self._refuse(attempt, reason, retry_after)
            case SendResumedAnswer(attempt):
                self._replay(attempt)
            case ReportSealed(attempt, owner, outcome):
                sealed = wire.Sealed(attempt=str(attempt), outcome=outcome.value)
                self._send(owner, wire.AgentFrame(sealed=sealed))
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
        self._tell(attempt, wire.AgentFrame(refused=refused))
        self._drop(attempt)

    def _replay(self, attempt: AttemptId) -> None:
        answer = self._answers.get(attempt)
        session = self._sessions.get(self._owners.get(attempt, ""))
        if session is None:
            return
        if answer is None:
            reason, verdict = Reason.STREAM_BROKEN, Verdict.MAY_HAVE_RUN
            self._tell(attempt, _failed(attempt, reason, verdict))
            return
        session.replay(answer, self._offsets.get(attempt, 0))

    def _tell(self, attempt: AttemptId, message: wire.AgentFrame) -> None:
        self._send(self._owners.get(attempt, ""), message)

    def _send(self, owner: str, message: wire.AgentFrame) -> None:
        session = self._sessions.get(owner)
        if session is not None:
            session.send(message)

    def _flush(self, attempt: AttemptId) -> None:
        session = self._sessions.get(self._owners.get(attempt, ""))
        if session is not None:
            session.flush(self._answers[attempt])

    def _drop(self, attempt: AttemptId) -> None:
        for table in (self._answers, self._owners, self._work, self._prefills):
            table.pop(attempt, None)

    async def _run(self, attempt: AttemptId) -> None:
        start = self._work[attempt]
        self._tell(attempt, wire.AgentFrame(started=wire.Started(attempt=str(attempt))))
        try:
            await self._answer(attempt, start)
        except TargetUnreachable as error:
            for_request(attempt.request).warning("target unreachable: %s", error)
            self._refuse(attempt, Reason.TARGET_UNREACHABLE, None)
        except TargetFailed as error:
            for_request(attempt.request).warning("target failed: %s", error)
            self._executor.note_failure()
            reason, verdict = Reason.TARGET_FAILED, Verdict.MAY_HAVE_RUN
            self._end(attempt, _failed(attempt, reason, verdict))
        finally:
            self._runs.pop(attempt, None)
        self._feed(RunFinished(attempt))

    async def _answer(self, attempt: AttemptId, start: wire.Start) -> None:
        """Have the target answer; go on with an engine whose answer breaks.

        :raises TargetUnreachable: if nothing was sent
        :raises TargetFailed: if the answer is not to be had
        """
        try:
            async with self._backend.open(_work(start)) as answer:
                await self._read(attempt, start, answer)
        except TargetFailed as error:
            if start.plain:
                raise
            for_request(attempt.request).info("answer broke, resuming: %s", error)
            await self._resume(attempt, start)

    async def _resume(self, attempt: AttemptId, start: wire.Start) -> None:
        """Read the rest of an answer that the engine still keeps.

        :raises TargetFailed: if it does not
        """
        for delay in RESUME_DELAYS:
            await asyncio.sleep(delay)
            size = self._answers[attempt].size
            path = f"/engine/streams/{attempt}?offset={size}"
            try:
                async with self._backend.open(Work("GET", path, [], b"")) as answer:
                    if answer.head.status != STATUS_OK:
                        raise TargetFailed(f"{path}: status {answer.head.status}")
                    await self._read(attempt, start, answer)
                    return
            except TargetError as error:
                for_request(attempt.request).info("not resumed: %s", error)
        raise TargetFailed(f"answer broke off after {size} bytes")

    async def _read(
        self, attempt: AttemptId, start: wire.Start, answer: Answer
    ) -> None:
        buffer = self._answers[attempt]
        begun = self._clock.now()
        if not start.plain and answer.head.status in NOT_RUN_STATUSES:
            body = b"".join([data async for data in answer.chunks()])
            self._refuse(attempt, refusal_reason(body), None)
            return
        head = wire.Head(
            attempt=str(attempt),
            status=answer.head.status,
            headers=frame.header_messages(answer.head.headers),
        )
        if buffer.head is None:
            buffer.head = wire.AgentFrame(head=head)
            self._tell(attempt, buffer.head)
        first = None
        streamed = SSE_TYPE in answer.head.get("content-type")
        async for data in answer.chunks():
            if not buffer.size:
                first = self._clock.now() - begun
                self._feed(AnswerStarted(attempt, streamed))
            buffer.append(data)
            self._flush(attempt)
        if SSE_TYPE in answer.head.get("content-type") and not start.plain:
            if buffer.tail(len(SSE_END)) != SSE_END:
                raise TargetFailed("the stream ended before its last event")
        if buffer.size and first is not None:
            self._executor.note_answer(first)
        ended = wire.Ended(attempt=str(attempt), size=buffer.size)
        self._end(attempt, wire.AgentFrame(ended=ended))

    def _end(self, attempt: AttemptId, message: wire.AgentFrame) -> None:
        self._answers[attempt].end = message
        self._tell(attempt, message)
        loop = asyncio.get_running_loop()
        loop.call_later(KEEP_ANSWER, self._drop, attempt)

    async def _compute(self, attempt: AttemptId) -> None:
        prefill = self._prefills.pop(attempt)
        path = (
            f"/engine/prefill?attempt={attempt}&start={prefill.start}"
            f"&stop={prefill.stop}&model={prefill.model}"
            f"&members={','.join(prefill.members)}"
        )
        try:
            await self._prefill(path, prefill.body)
        except TargetError as error:
            for_request(attempt.request).warning("prefill failed: %s", error)
            reason, verdict = Reason.TARGET_FAILED, Verdict.MAY_HAVE_RUN
            self._tell(attempt, _failed(attempt, reason, verdict))
            self._feed(RunFinished(attempt))
        else:
            done = wire.Prefilled(attempt=str(attempt))
            self._tell(attempt, wire.AgentFrame(prefilled=done))
        finally:
            self._runs.pop(attempt, None)

    async def _prefill(self, path: str, body: bytes) -> None:
        work = Work("POST", path, [("Content-Type", "application/octet-stream")], body)
        async with self._backend.open(work) as answer:
            async for _ in answer.chunks():
                pass
            if answer.head.status >= 400:
                raise TargetFailed(f"{path}: status {answer.head.status}")

    async def _cancel(self, attempt: AttemptId) -> None:
        task = self._runs.get(attempt)
        if task is not None:
            task.cancel()
        if self._settings.kind is ServiceKind.ENGINE:
            with contextlib.suppress(TargetFailed):
                await self._backend.post("/engine/cancel", {"attempt": str(attempt)})
        self._feed(RunFinished(attempt))
        self._drop(attempt)

    async def _keep_time(self) -> None:
        while True:
            await asyncio.sleep(TICK)
            self._feed(Tick())

    async def _report_load(self) -> None:
        while True:
            await asyncio.sleep(self._settings.load_interval)
            self._broadcast_load()

    def _broadcast_load(self) -> None:
        message = frame.load_frame(self._controller.load)
        for session in self._sessions.values():
            session.send(message)

    async def _watch_engine(self) -> None:
        while True:
            try:
                self._feed(await self._backend.report())
            except TargetError as error:
                LOGGER.debug("engine gave no report: %s", error)
            await asyncio.sleep(REPORT_INTERVAL)


def _board(settings: AgentSettings, agent: AgentId) -> TargetBoard:
    ledger = LedgerSettings(lease=settings.owner_lease)
    return TargetBoard(
        gate=Gate(agent, GateSettings(clock_skew=settings.clock_skew)),
        ledger=Ledger(settings.memory, ledger),
        backlog=Backlog(BacklogSettings(limit=settings.queue_limit)),
        max_running=settings.max_running,
    )


def refusal_reason(body: bytes) -> Reason:
    """Return why an engine did not run an attempt."""
    try:
        error = msgspec.json.decode(body, type=_Refusal).error
    except msgspec.MsgspecError:
        return Reason.NOT_READY
    return ENGINE_REASONS.get(error.reason, Reason.NOT_READY)


def _work(start: wire.Start) -> Work:
    headers = [(header.name, header.value) for header in start.headers]
    if start.members:
        headers.append(("X-Members", ",".join(start.members)))
    return Work(start.method, start.path, headers, start.body, start.idempotent)


def _failed(attempt: AttemptId, reason: Reason, verdict: Verdict) -> wire.AgentFrame:
    failed = wire.Failed(
        attempt=str(attempt), reason=reason.value, verdict=verdict.value
    )
    return wire.AgentFrame(failed=failed)
