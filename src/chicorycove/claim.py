"""Claims: a keyed request that may not be repeated runs at most once."""

import dataclasses
import enum
import hashlib
import random
import typing as t

import msgspec

from .command import (
    EntryCommand,
    ReadKey,
    ReplayResult,
    SealAttempt,
    SendClaimedAttempt,
    SwapKey,
)
from .event import (
    EntryEvent,
    OutcomeUnknown,
    SealAnswered,
    SealOutcome,
    StoreCallFinished,
    StoreResult,
    SwapConflicted,
    SwapSucceeded,
    ValueRead,
)
from .identity import AgentId, AttemptId
from .lifecycle import FailRequest, Tick
from .reason import Reason
from .request import Call, Request
from .timers import Timers
from .verdict import Verdict

KEY_PREFIX = "claims/"
ABSENT = 0  # the version of a key that is not in the store


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClaimSettings:
    """How claims are kept and settled; times are in seconds."""

    retention: float = 24 * 3600.0  # of a key, after its request's deadline
    result_limit: int = 64 * 1024  # bytes of a result that is kept
    settle_time: float = 60.0  # for keeping an outcome when the store is down
    retry_base: float = 0.05  # of calls to the store, doubled each time
    retry_cap: float = 2.0
    seal_wait: float = 1.0  # for an agent's answer
    patience: float = 2.0  # before a contested claim is sealed once more


class ClaimState(enum.Enum):
    """How far a claimed attempt has come."""

    CLAIMED = "claimed"
    DONE = "done"
    FAILED = "failed"  # and may have run
    RELEASED = "released"  # and has not run and never will


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Claim:
    """What the store keeps for a key; times are in seconds."""

    workspace: str
    key: str
    digest: str
    entry: str
    attempt: str
    target: str
    incarnation: str
    deadline: float
    expiry: float
    state: ClaimState = ClaimState.CLAIMED
    result: bytes | None = None

    @property
    def agent(self) -> AgentId:
        """Return the agent that the attempt is for."""
        return AgentId(self.target, self.incarnation)

    @property
    def attempt_id(self) -> AttemptId:
        """Return the attempt that the claim allows."""
        return AttemptId.parse(self.attempt)


def store_key(request: Request) -> str:
    """Return where the claim of a request's key is kept."""
    scope = f"{request.workspace}\0{request.key}".encode()
    return KEY_PREFIX + hashlib.sha256(scope).hexdigest()


def fingerprint(request: Request) -> str:
    """Return a digest that two uses of one key must share."""
    match request.work:
        case Call(service=service, method=method, path=path):
            parts = (service, method, path, request.body_digest)
        case work:
            parts = (work.model, request.body_digest)
    return hashlib.sha256("\0".join(parts).encode()).hexdigest()


def _decode(value: bytes) -> Claim | None:
    """Return a claim, or None if a later version of us wrote it."""
    try:
        claim = msgspec.json.decode(value, type=Claim)
        AttemptId.parse(claim.attempt)
    except (msgspec.MsgspecError, ValueError):
        return None
    return claim


class _Phase(enum.Enum):
    CLAIMING = enum.auto()  # our claim is being written
    READING = enum.auto()  # the write may have taken effect, or not
    SEALING = enum.auto()  # another's attempt
    WAITING = enum.auto()  # for another's result
    HELD = enum.auto()
    SETTLING = enum.auto()  # the outcome is being written
    CHECKING = enum.auto()  # that write may have taken effect, or not

    @property
    def over(self) -> bool:
        """Tell whether only the outcome is left to write."""
        return self in (_Phase.SETTLING, _Phase.CHECKING)


@dataclasses.dataclass(slots=True)
class _Claiming:
    """The way of one request to its claim, and on to the kept outcome."""

    request: Request
    ours: Claim
    phase: _Phase = _Phase.CLAIMING
    version: int = ABSENT
    call: int | None = None
    tries: int = 0
    timer: int = 0
    other: Claim | None = None
    contests: int = 0  # seals asked and claims renewed
    may_seal: bool = False
    seal_at: float = 0.0
    settle_until: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Due:
    request: str
    timer: int


class Claimer:
    """Claims keys in the store for the requests of one entry.

    An attempt may be sent only on :class:`SendClaimedAttempt`, which refers
    to the attempt and agent last passed to :meth:`claim`.  Events of the
    store and of seals, and ticks, go to :meth:`handle`.
    """

    def __init__(
        self,
        entry: str,
        settings: ClaimSettings,
        calls: t.Iterator[int],
        rng: random.Random,
    ) -> None:
        self._entry = entry
        self._settings = settings
        self._calls = calls
        self._random = rng
        self._claimings: dict[str, _Claiming] = {}
        self._by_call: dict[int, str] = {}
        self._timers = Timers()

    @property
    def busy(self) -> bool:
        """Tell whether any claim is not settled yet."""
        return bool(self._claimings)

    def holds(self, request: str) -> bool:
        """Tell whether a request's claim stands."""
        claiming = self._claimings.get(request)
        return claiming is not None and claiming.phase is _Phase.HELD

    def claim(
        self, request: Request, attempt: AttemptId, agent: AgentId, now: float
    ) -> list[EntryCommand]:
        """Claim a request's key for an attempt at an agent.

        Called again for a further attempt, once the ones before are proved
        not to run or were never sent.
        """
        ours = self._claim(request, attempt, agent)
        claiming = self._claimings.get(request.id)
        if claiming is None:
            claiming = _Claiming(request, ours)
            self._claimings[request.id] = claiming
        else:
            claiming.ours = ours
            claiming.contests += 1
            claiming.tries = 0
        return self._swap(claiming)

    def record_result(
        self, request: str, result: bytes | None, now: float
    ) -> list[EntryCommand]:
        """Keep the result of a claimed request that ran, by its id."""
        if result is not None and len(result) > self._settings.result_limit:
            result = None
        return self._settle(request, ClaimState.DONE, result, now)

    def abandon(self, request: str, verdict: Verdict, now: float) -> list[EntryCommand]:
        """Record that a claimed request, by its id, has no result."""
        if verdict is Verdict.NOT_RUN:
            return self._settle(request, ClaimState.RELEASED, None, now)
        return self._settle(request, ClaimState.FAILED, None, now)

    def expire(self, request: str, now: float) -> list[EntryCommand]:
        """Fail a request at its deadline if its claim does not stand yet."""
        claiming = self._claimings.get(request)
        if claiming is None or claiming.phase is _Phase.HELD or claiming.phase.over:
            return []
        return self._expire(claiming, now)

    def handle(self, event: EntryEvent, now: float) -> list[EntryCommand]:
        """Go on after an event."""
        match event:
            case StoreCallFinished(call=call, result=result):
                return self._on_store(call, result, now)
            case SealAnswered(attempt=attempt, outcome=outcome):
                return self._on_sealed(attempt, outcome, now)
            case Tick():
                return self._on_tick(now)
        return []

    # The store answers.

    def _on_store(
        self, call: int, result: StoreResult, now: float
    ) -> list[EntryCommand]:
        claiming = self._claimings.get(self._by_call.pop(call, ""))
        if claiming is None or claiming.call != call:
            return []
        claiming.call = None
        if claiming.phase.over:
            return self._on_settling(claiming, result, now)
        if now >= claiming.request.deadline:
            return self._expire(claiming, now)
        match result:
            case SwapSucceeded(version=version):
                return self._hold(claiming, version)
            case SwapConflicted(value=value, version=version) | ValueRead(
                value=value, version=version
            ):
                claiming.version = version
                return self._examine(claiming, value, now)
            case OutcomeUnknown() if claiming.phase is _Phase.CLAIMING:
                claiming.phase = _Phase.READING
        return self._pause(claiming, now)

    def _hold(self, claiming: _Claiming, version: int) -> list[EntryCommand]:
        claiming.phase = _Phase.HELD
        claiming.version = version
        claiming.other = None
        claiming.timer += 1
        return [SendClaimedAttempt(claiming.request.id)]

    def _examine(
        self, claiming: _Claiming, value: bytes, now: float
    ) -> list[EntryCommand]:
        """Decide on what stands in the store for the key."""
        if claiming.version == ABSENT:
            return self._swap(claiming)
        found = _decode(value)
        if found is None:
            return self._fail(claiming, Reason.CLAIM_UNSETTLED, Verdict.MAY_HAVE_RUN)
        if found.attempt == claiming.ours.attempt:
            return self._hold(claiming, claiming.version)
        if found.attempt_id.request == claiming.request.id or found.expiry <= now:
            return self._swap(claiming)
        if found.digest != claiming.ours.digest:
            return self._fail(claiming, Reason.KEY_REUSED, Verdict.NOT_RUN)
        return self._follow(claiming, found, now)

    def _follow(
        self, claiming: _Claiming, found: Claim, now: float
    ) -> list[EntryCommand]:
        """Act on another request's claim of the key."""
        match found.state:
            case ClaimState.RELEASED:
                return self._swap(claiming)
            case ClaimState.DONE if found.result is not None:
                self._drop(claiming)
                return [ReplayResult(claiming.request.id, found.result)]
            case ClaimState.DONE:
                return self._fail(claiming, Reason.RESULT_NOT_KEPT, Verdict.RAN)
            case ClaimState.FAILED:
                return self._fail(
                    claiming, Reason.CLAIM_UNSETTLED, Verdict.MAY_HAVE_RUN
                )
        return self._contest(claiming, found, now)

    def _contest(
        self, claiming: _Claiming, found: Claim, now: float
    ) -> list[EntryCommand]:
        """Wait for another's result, or seal its attempt to take over."""
        if claiming.other is None or claiming.other.attempt != found.attempt:
            claiming.other = found
            claiming.tries = 0
            claiming.may_seal = True
            claiming.seal_at = now + self._settings.patience * claiming.contests
        if claiming.may_seal and now >= claiming.seal_at:
            if not self._is_local(found):
                return self._seal(claiming, now)
        claiming.phase = _Phase.WAITING
        return self._pause(claiming, now)

    def _is_local(self, found: Claim) -> bool:
        holder = self._claimings.get(found.attempt_id.request)
        return holder is not None and holder.ours.attempt == found.attempt

    # An agent answers.

    def _on_sealed(
        self, attempt: AttemptId, outcome: SealOutcome, now: float
    ) -> list[EntryCommand]:
        commands: list[EntryCommand] = []
        text = str(attempt)
        for claiming in list(self._claimings.values()):
            if claiming.phase is _Phase.SEALING and claiming.other.attempt == text:
                commands += self._on_outcome(claiming, outcome, now)
        return commands

    def _on_outcome(
        self, claiming: _Claiming, outcome: SealOutcome, now: float
    ) -> list[EntryCommand]:
        if now >= claiming.request.deadline:
            return self._expire(claiming, now)
        if outcome is SealOutcome.NOT_STARTED:
            return self._swap(claiming)
        claiming.may_seal = False
        claiming.phase = _Phase.WAITING
        return self._pause(claiming, now)

    # Time passes.

    def _on_tick(self, now: float) -> list[EntryCommand]:
        commands: list[EntryCommand] = []
        for due in self._timers.pop(now):
            claiming = self._claimings.get(due.request)
            if claiming is not None and claiming.timer == due.timer:
                commands += self._on_due(claiming, now)
        return commands

    def _on_due(self, claiming: _Claiming, now: float) -> list[EntryCommand]:
        if claiming.phase.over:
            return self._settle_again(claiming, now)
        if now >= claiming.request.deadline:
            return self._expire(claiming, now)
        match claiming.phase:
            case _Phase.CLAIMING:
                return self._swap(claiming)
            case _Phase.SEALING:
                return self._seal(claiming, now)
        return self._read(claiming)

    def _expire(self, claiming: _Claiming, now: float) -> list[EntryCommand]:
        """Fail a request whose claim did not come to stand in time."""
        if claiming.other is None:
            return self._fail(claiming, Reason.STORE_DOWN, Verdict.NOT_RUN)
        reason = Reason.KEY_IN_PROGRESS
        if claiming.phase is _Phase.SEALING:
            reason = Reason.CLAIM_UNSETTLED
        return self._fail(claiming, reason, Verdict.MAY_HAVE_RUN)

    # The outcome is kept.

    def _settle(
        self,
        request: str,
        state: ClaimState,
        result: bytes | None,
        now: float,
    ) -> list[EntryCommand]:
        claiming = self._claimings.get(request)
        if claiming is None or claiming.phase.over:
            return []
        if claiming.phase is not _Phase.HELD:
            self._drop(claiming)
            return []
        claiming.ours = dataclasses.replace(claiming.ours, state=state, result=result)
        claiming.tries = 0
        claiming.settle_until = now + self._settings.settle_time
        return self._write_outcome(claiming)

    def _on_settling(
        self, claiming: _Claiming, result: StoreResult, now: float
    ) -> list[EntryCommand]:
        match result:
            case SwapSucceeded() | SwapConflicted():
                self._drop(claiming)
                return []
            case ValueRead(value=value, version=version):
                return self._check_outcome(claiming, value, version)
            case OutcomeUnknown() if claiming.phase is _Phase.SETTLING:
                claiming.phase = _Phase.CHECKING
        return self._pause(claiming, now)

    def _check_outcome(
        self, claiming: _Claiming, value: bytes, version: int
    ) -> list[EntryCommand]:
        if version != claiming.version:
            self._drop(claiming)
            return []
        return self._write_outcome(claiming)

    def _settle_again(self, claiming: _Claiming, now: float) -> list[EntryCommand]:
        if now >= claiming.settle_until:
            self._drop(claiming)
            return []
        if claiming.phase is _Phase.CHECKING:
            return self._read(claiming)
        return self._write_outcome(claiming)

    def _write_outcome(self, claiming: _Claiming) -> list[EntryCommand]:
        claiming.phase = _Phase.SETTLING
        return self._write(claiming)

    # Commands.

    def _swap(self, claiming: _Claiming) -> list[EntryCommand]:
        claiming.phase = _Phase.CLAIMING
        return self._write(claiming)

    def _write(self, claiming: _Claiming) -> list[EntryCommand]:
        call = self._next_call(claiming)
        key = store_key(claiming.request)
        value = msgspec.json.encode(claiming.ours)
        expiry = claiming.ours.expiry
        return [SwapKey(call, key, claiming.version, value, expiry)]

    def _read(self, claiming: _Claiming) -> list[EntryCommand]:
        call = self._next_call(claiming)
        return [ReadKey(call, store_key(claiming.request))]

    def _seal(self, claiming: _Claiming, now: float) -> list[EntryCommand]:
        if claiming.phase is not _Phase.SEALING:
            claiming.contests += 1
        claiming.phase = _Phase.SEALING
        self._wake(claiming, now + self._settings.seal_wait)
        other = claiming.other
        return [SealAttempt(other.attempt_id, other.agent, other.deadline)]

    def _fail(
        self, claiming: _Claiming, reason: Reason, verdict: Verdict
    ) -> list[EntryCommand]:
        self._drop(claiming)
        return [FailRequest(claiming.request.id, reason, verdict)]

    # Bookkeeping.

    def _claim(self, request: Request, attempt: AttemptId, agent: AgentId) -> Claim:
        return Claim(
            workspace=request.workspace,
            key=request.key,
            digest=fingerprint(request),
            entry=self._entry,
            attempt=str(attempt),
            target=agent.target,
            incarnation=agent.incarnation,
            deadline=request.deadline,
            expiry=request.deadline + self._settings.retention,
        )

    def _next_call(self, claiming: _Claiming) -> int:
        if claiming.call is not None:
            self._by_call.pop(claiming.call, None)
        claiming.call = next(self._calls)
        claiming.timer += 1
        self._by_call[claiming.call] = claiming.request.id
        return claiming.call

    def _pause(self, claiming: _Claiming, now: float) -> list[EntryCommand]:
        """Go on in a while; each pause is longer than the one before."""
        ceiling = self._settings.retry_base * 2 ** min(claiming.tries, 16)
        claiming.tries += 1
        ceiling = min(ceiling, self._settings.retry_cap)
        due = now + self._random.uniform(ceiling / 2, ceiling)
        if not claiming.phase.over:
            due = min(due, claiming.request.deadline)
        self._wake(claiming, due)
        return []

    def _wake(self, claiming: _Claiming, due: float) -> None:
        claiming.timer += 1
        self._timers.add(due, _Due(claiming.request.id, claiming.timer))

    def _drop(self, claiming: _Claiming) -> None:
        del self._claimings[claiming.request.id]
        if claiming.call is not None:
            self._by_call.pop(claiming.call, None)
