"""Claims on idempotency keys, by which a keyed request runs at most once.

A request writes a claim to its key's record in the store, holds the claim
while its attempt runs, and then writes the outcome.  If it is unknown whether
a write took effect, the key is read.  If another request holds the claim, its
attempt is sealed or its result is awaited.  Sealing an attempt asks its agent
never to start it.
"""

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
ABSENT_VERSION = 0  # version of a key that is not in the store


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClaimSettings:
    """Limits and timeouts of claims; times are in seconds."""

    retention: float = 24 * 3600.0  # how long a claim outlives its request's deadline
    max_result_size: int = 64 * 1024  # bytes; larger results are not stored
    settle_timeout: float = 60.0  # how long writing an outcome is retried
    retry_base: float = 0.05  # longest first wait for a retry or a result
    retry_cap: float = 2.0  # upper bound of that wait, which doubles each time
    seal_timeout: float = 1.0  # seconds without an answer before a seal is repeated
    reseal_delay: float = 2.0  # extra wait per earlier seal or further own attempt


class ClaimState(enum.Enum):
    """State of a claimed attempt."""

    CLAIMED = "claimed"
    DONE = "done"
    FAILED = "failed"  # it may have run
    RELEASED = "released"  # it has not run and never will


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Claim:
    """Record of a key in the store; times are in seconds since the epoch."""

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
        """Return the agent that the attempt is sent to."""
        return AgentId(self.target, self.incarnation)

    @property
    def attempt_id(self) -> AttemptId:
        """Return the id of the attempt that the claim permits."""
        return AttemptId.parse(self.attempt)


def store_key(request: Request) -> str:
    """Return the store key of the claim on a request's idempotency key."""
    scoped_key = f"{request.workspace}\0{request.key}".encode()
    return KEY_PREFIX + hashlib.sha256(scoped_key).hexdigest()


def fingerprint(request: Request) -> str:
    """Return a digest that all requests with the same key must share."""
    match request.work:
        case Call(service=service, method=method, path=path):
            parts = (service, method, path, request.body_digest)
        case work:
            parts = (work.model, request.body_digest)
    return hashlib.sha256("\0".join(parts).encode()).hexdigest()


def _decode(value: bytes) -> Claim | None:
    """Return a stored claim, or None if it is malformed.

    A newer release may have written such a claim.
    """
    try:
        claim = msgspec.json.decode(value, type=Claim)
        AttemptId.parse(claim.attempt)
    except (msgspec.MsgspecError, ValueError):
        return None
    return claim


class _Phase(enum.Enum):
    CLAIMING = enum.auto()  # the claim is being written
    READING = enum.auto()  # it is unknown if the claim was written; the key is read
    SEALING = enum.auto()  # another request's attempt is being sealed
    WAITING = enum.auto()  # another request's result is awaited
    HELD = enum.auto()  # the attempt may be sent
    SETTLING = enum.auto()  # the outcome is being written
    CHECKING = enum.auto()  # it is unknown if the outcome was written; the key is read

    @property
    def is_settling(self) -> bool:
        """Return whether only the outcome remains to be stored."""
        return self in (_Phase.SETTLING, _Phase.CHECKING)


@dataclasses.dataclass(slots=True)
class _OpenClaim:
    """Progress of one request's claim until its outcome is stored."""

    request: Request
    claim: Claim
    phase: _Phase = _Phase.CLAIMING
    version: int = ABSENT_VERSION
    call: int | None = None  # number of the store call in flight
    retries: int = 0
    timer: int = 0  # number of the newest timer; older ones are ignored
    other_claim: Claim | None = None  # another request's claim of the key
    # Seals begun, not counting repeats for want of an answer, plus own claims
    # of further attempts.
    contest_count: int = 0
    # Whether the other claim's attempt may be sealed; False once a seal showed
    # that it started or that this is unknown.
    may_seal: bool = False
    seal_at: float = 0.0
    settle_deadline: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class _TimerDue:
    """Timer of a request's claim."""

    request: str
    timer: int


class Claimer:
    """Claims idempotency keys in the store for the requests of one entry.

    Send an attempt only after :class:`SendClaimedAttempt`, which refers to the
    attempt and agent last passed to :meth:`claim`.  Pass the store's results,
    the answers to seals, and ticks to :meth:`handle`.
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
        self._open_claims: dict[str, _OpenClaim] = {}
        self._requests_by_call: dict[int, str] = {}
        self._timers = Timers()

    @property
    def busy(self) -> bool:
        """Return whether any claim is not settled yet."""
        return bool(self._open_claims)

    def holds(self, request: str) -> bool:
        """Return whether a request's claim is held."""
        open_claim = self._open_claims.get(request)
        return open_claim is not None and open_claim.phase is _Phase.HELD

    def claim(
        self, request: Request, attempt: AttemptId, agent: AgentId, now: float
    ) -> list[EntryCommand]:
        """Claim a request's key for an attempt at an agent.

        It may be called again for a further attempt once the earlier ones
        are known never to run or were never sent.
        """
        claim = self._new_claim(request, attempt, agent)
        open_claim = self._open_claims.get(request.id)
        if open_claim is None:
            open_claim = _OpenClaim(request, claim)
            self._open_claims[request.id] = open_claim
        else:
            open_claim.claim = claim
            open_claim.contest_count += 1
            open_claim.retries = 0
        return self._write_claim(open_claim)

    def record_result(
        self, request: str, result: bytes | None, now: float
    ) -> list[EntryCommand]:
        """Store the result of a claimed request.

        For a result above the size limit, store only that the request ran.
        """
        if result is not None and len(result) > self._settings.max_result_size:
            result = None
        return self._settle(request, ClaimState.DONE, result, now)

    def abandon(self, request: str, verdict: Verdict, now: float) -> list[EntryCommand]:
        """Store that a claimed request ended without a result."""
        if verdict is Verdict.NOT_RUN:
            return self._settle(request, ClaimState.RELEASED, None, now)
        return self._settle(request, ClaimState.FAILED, None, now)

    def expire(self, request: str, now: float) -> list[EntryCommand]:
        """Fail a request at its deadline if its claim is not held yet."""
        open_claim = self._open_claims.get(request)
        if (
            open_claim is None
            or open_claim.phase is _Phase.HELD
            or open_claim.phase.is_settling
        ):
            return []
        return self._expire(open_claim, now)

    def handle(self, event: EntryEvent, now: float) -> list[EntryCommand]:
        """Return the commands that an event leads to."""
        match event:
            case StoreCallFinished(call=call, result=result):
                return self._on_store_result(call, result, now)
            case SealAnswered(attempt=attempt, outcome=outcome):
                return self._on_seal_answered(attempt, outcome, now)
            case Tick():
                return self._on_tick(now)
        return []

    # Results of store calls

    def _on_store_result(
        self, call: int, result: StoreResult, now: float
    ) -> list[EntryCommand]:
        open_claim = self._open_claims.get(self._requests_by_call.pop(call, ""))
        if open_claim is None or open_claim.call != call:
            return []
        open_claim.call = None
        if open_claim.phase.is_settling:
            return self._on_settle_result(open_claim, result, now)
        if now >= open_claim.request.deadline:
            return self._expire(open_claim, now)
        match result:
            case SwapSucceeded(version=version):
                return self._mark_held(open_claim, version)
            case SwapConflicted(value=value, version=version) | ValueRead(
                value=value, version=version
            ):
                open_claim.version = version
                return self._handle_stored_value(open_claim, value, now)
            case OutcomeUnknown() if open_claim.phase is _Phase.CLAIMING:
                open_claim.phase = _Phase.READING
        return self._back_off(open_claim, now)

    def _mark_held(self, open_claim: _OpenClaim, version: int) -> list[EntryCommand]:
        open_claim.phase = _Phase.HELD
        open_claim.version = version
        open_claim.other_claim = None
        open_claim.timer += 1
        return [SendClaimedAttempt(open_claim.request.id)]

    def _handle_stored_value(
        self, open_claim: _OpenClaim, value: bytes, now: float
    ) -> list[EntryCommand]:
        """Return the next step, given the key's value in the store."""
        if open_claim.version == ABSENT_VERSION:
            return self._write_claim(open_claim)
        stored = _decode(value)
        if stored is None:
            return self._fail(open_claim, Reason.CLAIM_UNSETTLED, Verdict.MAY_HAVE_RUN)
        if stored.attempt == open_claim.claim.attempt:
            return self._mark_held(open_claim, open_claim.version)
        if stored.attempt_id.request == open_claim.request.id or stored.expiry <= now:
            return self._write_claim(open_claim)
        if stored.digest != open_claim.claim.digest:
            return self._fail(open_claim, Reason.KEY_REUSED, Verdict.NOT_RUN)
        return self._handle_other_claim(open_claim, stored, now)

    def _handle_other_claim(
        self, open_claim: _OpenClaim, stored: Claim, now: float
    ) -> list[EntryCommand]:
        """Act on another request's claim of the key."""
        match stored.state:
            case ClaimState.RELEASED:
                return self._write_claim(open_claim)
            case ClaimState.DONE if stored.result is not None:
                self._remove(open_claim)
                return [ReplayResult(open_claim.request.id, stored.result)]
            case ClaimState.DONE:
                return self._fail(open_claim, Reason.RESULT_NOT_KEPT, Verdict.RAN)
            case ClaimState.FAILED:
                return self._fail(
                    open_claim, Reason.CLAIM_UNSETTLED, Verdict.MAY_HAVE_RUN
                )
        return self._wait_or_seal(open_claim, stored, now)

    def _wait_or_seal(
        self, open_claim: _OpenClaim, stored: Claim, now: float
    ) -> list[EntryCommand]:
        """Wait for the other request's result, or seal its attempt."""
        if (
            open_claim.other_claim is None
            or open_claim.other_claim.attempt != stored.attempt
        ):
            open_claim.other_claim = stored
            open_claim.retries = 0
            open_claim.may_seal = True
            open_claim.seal_at = (
                now + self._settings.reseal_delay * open_claim.contest_count
            )
        if open_claim.may_seal and now >= open_claim.seal_at:
            if not self._is_at_this_entry(stored):
                return self._seal_other(open_claim, now)
        open_claim.phase = _Phase.WAITING
        return self._back_off(open_claim, now)

    def _is_at_this_entry(self, stored: Claim) -> bool:
        """Return whether an open request of this entry made the claim."""
        holder = self._open_claims.get(stored.attempt_id.request)
        return holder is not None and holder.claim.attempt == stored.attempt

    # Answers to seals

    def _on_seal_answered(
        self, attempt: AttemptId, outcome: SealOutcome, now: float
    ) -> list[EntryCommand]:
        commands: list[EntryCommand] = []
        sealed_attempt = str(attempt)
        for open_claim in list(self._open_claims.values()):
            if (
                open_claim.phase is _Phase.SEALING
                and open_claim.other_claim.attempt == sealed_attempt
            ):
                commands += self._on_seal_outcome(open_claim, outcome, now)
        return commands

    def _on_seal_outcome(
        self, open_claim: _OpenClaim, outcome: SealOutcome, now: float
    ) -> list[EntryCommand]:
        if now >= open_claim.request.deadline:
            return self._expire(open_claim, now)
        if outcome is SealOutcome.NOT_STARTED:
            return self._write_claim(open_claim)
        open_claim.may_seal = False
        open_claim.phase = _Phase.WAITING
        return self._back_off(open_claim, now)

    # Timers

    def _on_tick(self, now: float) -> list[EntryCommand]:
        commands: list[EntryCommand] = []
        for due in self._timers.pop(now):
            open_claim = self._open_claims.get(due.request)
            if open_claim is not None and open_claim.timer == due.timer:
                commands += self._on_timer(open_claim, now)
        return commands

    def _on_timer(self, open_claim: _OpenClaim, now: float) -> list[EntryCommand]:
        if open_claim.phase.is_settling:
            return self._retry_settling(open_claim, now)
        if now >= open_claim.request.deadline:
            return self._expire(open_claim, now)
        match open_claim.phase:
            case _Phase.CLAIMING:
                return self._write_claim(open_claim)
            case _Phase.SEALING:
                return self._seal_other(open_claim, now)
        return self._read_key(open_claim)

    def _expire(self, open_claim: _OpenClaim, now: float) -> list[EntryCommand]:
        """Fail a request whose claim was not held by its deadline."""
        if open_claim.other_claim is None:
            return self._fail(open_claim, Reason.STORE_DOWN, Verdict.NOT_RUN)
        reason = Reason.KEY_IN_PROGRESS
        if open_claim.phase is _Phase.SEALING:
            reason = Reason.CLAIM_UNSETTLED
        return self._fail(open_claim, reason, Verdict.MAY_HAVE_RUN)

    # Outcomes

    def _settle(
        self,
        request: str,
        state: ClaimState,
        result: bytes | None,
        now: float,
    ) -> list[EntryCommand]:
        open_claim = self._open_claims.get(request)
        if open_claim is None or open_claim.phase.is_settling:
            return []
        if open_claim.phase is not _Phase.HELD:
            self._remove(open_claim)
            return []
        open_claim.claim = dataclasses.replace(
            open_claim.claim, state=state, result=result
        )
        open_claim.retries = 0
        open_claim.settle_deadline = now + self._settings.settle_timeout
        return self._write_outcome(open_claim)

    def _on_settle_result(
        self, open_claim: _OpenClaim, result: StoreResult, now: float
    ) -> list[EntryCommand]:
        match result:
            case SwapSucceeded() | SwapConflicted():
                self._remove(open_claim)
                return []
            case ValueRead(value=value, version=version):
                return self._check_outcome(open_claim, value, version)
            case OutcomeUnknown() if open_claim.phase is _Phase.SETTLING:
                open_claim.phase = _Phase.CHECKING
        return self._back_off(open_claim, now)

    def _check_outcome(
        self, open_claim: _OpenClaim, value: bytes, version: int
    ) -> list[EntryCommand]:
        if version != open_claim.version:
            self._remove(open_claim)
            return []
        return self._write_outcome(open_claim)

    def _retry_settling(self, open_claim: _OpenClaim, now: float) -> list[EntryCommand]:
        if now >= open_claim.settle_deadline:
            self._remove(open_claim)
            return []
        if open_claim.phase is _Phase.CHECKING:
            return self._read_key(open_claim)
        return self._write_outcome(open_claim)

    def _write_outcome(self, open_claim: _OpenClaim) -> list[EntryCommand]:
        open_claim.phase = _Phase.SETTLING
        return self._swap_key(open_claim)

    # Commands

    def _write_claim(self, open_claim: _OpenClaim) -> list[EntryCommand]:
        open_claim.phase = _Phase.CLAIMING
        return self._swap_key(open_claim)

    def _swap_key(self, open_claim: _OpenClaim) -> list[EntryCommand]:
        call = self._next_call(open_claim)
        key = store_key(open_claim.request)
        value = msgspec.json.encode(open_claim.claim)
        expiry = open_claim.claim.expiry
        return [SwapKey(call, key, open_claim.version, value, expiry)]

    def _read_key(self, open_claim: _OpenClaim) -> list[EntryCommand]:
        call = self._next_call(open_claim)
        return [ReadKey(call, store_key(open_claim.request))]

    def _seal_other(self, open_claim: _OpenClaim, now: float) -> list[EntryCommand]:
        if open_claim.phase is not _Phase.SEALING:
            open_claim.contest_count += 1
        open_claim.phase = _Phase.SEALING
        self._set_timer(open_claim, now + self._settings.seal_timeout)
        other_claim = open_claim.other_claim
        return [
            SealAttempt(other_claim.attempt_id, other_claim.agent, other_claim.deadline)
        ]

    def _fail(
        self, open_claim: _OpenClaim, reason: Reason, verdict: Verdict
    ) -> list[EntryCommand]:
        self._remove(open_claim)
        return [FailRequest(open_claim.request.id, reason, verdict)]

    # Helpers

    def _new_claim(self, request: Request, attempt: AttemptId, agent: AgentId) -> Claim:
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

    def _next_call(self, open_claim: _OpenClaim) -> int:
        if open_claim.call is not None:
            self._requests_by_call.pop(open_claim.call, None)
        open_claim.call = next(self._calls)
        open_claim.timer += 1
        self._requests_by_call[open_claim.call] = open_claim.request.id
        return open_claim.call

    def _back_off(self, open_claim: _OpenClaim, now: float) -> list[EntryCommand]:
        """Schedule the next step after an exponential backoff with jitter."""
        max_delay = self._settings.retry_base * 2 ** min(open_claim.retries, 16)
        open_claim.retries += 1
        max_delay = min(max_delay, self._settings.retry_cap)
        due = now + self._random.uniform(max_delay / 2, max_delay)
        if not open_claim.phase.is_settling:
            due = min(due, open_claim.request.deadline)
        self._set_timer(open_claim, due)
        return []

    def _set_timer(self, open_claim: _OpenClaim, due: float) -> None:
        open_claim.timer += 1
        self._timers.add(due, _TimerDue(open_claim.request.id, open_claim.timer))

    def _remove(self, open_claim: _OpenClaim) -> None:
        del self._open_claims[open_claim.request.id]
        if open_claim.call is not None:
            self._requests_by_call.pop(open_claim.call, None)
