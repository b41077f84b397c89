"""Groups of engines for prompts beyond one engine's memory."""

import dataclasses
import enum
import typing as t

from .board import EntryBoard, RequestState, TargetState
from .command import AbandonGroup, EntryCommand, PrefillSegment, SendAttempt
from .event import AgentDetached, EntryEvent, SegmentPrefilled
from .identity import AgentId, AttemptId
from .lifecycle import (
    AnswerCompleted,
    AttemptFailed,
    AttemptRefused,
    MemoryReserved,
    ReleaseMemory,
    ReserveMemory,
    Tick,
)
from .reason import Reason
from .request import Prompt, Request
from .routing import Router
from .verdict import Verdict

AttemptFactory = t.Callable[[str, int], AttemptId]  # by request and number


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GroupSettings:
    """How groups are planned; times are in seconds."""

    fill: float = 0.9  # share of an engine's memory that a member may take
    reserve_timeout: float = 30.0  # for one member's reservation
    block: int = 512  # tokens to which segments are rounded


class Phase(enum.Enum):
    """How far a group is."""

    RESERVING = "reserving"
    PREFILLING = "prefilling"
    SENT = "sent"


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """One engine of a group and its segment of the prompt, in tokens."""

    attempt: AttemptId
    agent: AgentId
    start: int
    stop: int
    memory: int


@dataclasses.dataclass(frozen=True, slots=True)
class Segment:
    """A planned share of a prompt on a target, in tokens."""

    target: str
    start: int
    stop: int
    memory: int


@dataclasses.dataclass(slots=True)
class _Group:
    """The state of one request's group.

    Members reserve one after another in the order of their targets' names,
    and compute in the same order.
    """

    request: Request
    members: tuple[Member, ...]
    step_since: float
    phase: Phase = Phase.RESERVING
    reserved: int = 0  # members that hold memory
    prefilled: int = 0  # members that hold their segment

    @property
    def last(self) -> Member:
        """Return the member that decodes."""
        return self.members[-1]

    @property
    def asked(self) -> tuple[Member, ...]:
        """Return the members that hold memory or wait for it."""
        return self.members[: self.reserved + 1]


class GroupCoordinator:
    """Reserves engines for large prompts and runs the prompts over them.

    Reservations are taken in one order over all targets, and agents queue
    them with ageing; so groups that compete cannot wait for one another in a
    circle, and small work cannot pass them for ever.  A group that loses a
    member gives everything back and fails.
    """

    def __init__(
        self,
        settings: GroupSettings,
        board: EntryBoard,
        router: Router,
        make_attempt: AttemptFactory,
    ) -> None:
        self._settings = settings
        self._board = board
        self._router = router
        self._make_attempt = make_attempt
        self._groups: dict[str, _Group] = {}
        self._owners: dict[AttemptId, str] = {}

    def needed(self, request: Request) -> bool:
        """Tell whether a prompt is larger than every engine for it."""
        if not isinstance(request.work, Prompt):
            return False
        largest = self._router.largest_memory(request, self._board)
        return 0 < largest < request.work.memory

    def owns(self, attempt: AttemptId) -> bool:
        """Tell whether an attempt is a member of a group."""
        return attempt in self._owners

    def start(self, state: RequestState, now: float) -> list[EntryCommand]:
        """Plan a group for a request and ask for its first reservation."""
        request = state.request
        segments = self._plan(request, state.tried_targets, now)
        if not segments:
            failure = AbandonGroup(request.id, Reason.MEMORY_FULL, Verdict.NOT_RUN)
            return [failure]
        first = len(state.attempts) + 1
        members = tuple(
            self._member(request, number, segment)
            for number, segment in enumerate(segments, first)
        )
        group = _Group(request, members, now)
        self._groups[request.id] = group
        for member in members:
            self._enter(member)
        return [self._reserve(group)]

    def handle(self, event: EntryEvent, now: float) -> list[EntryCommand]:
        """Move the group that an event concerns."""
        match event:
            case MemoryReserved(attempt=attempt):
                return self._on_reserved(attempt, now)
            case SegmentPrefilled(attempt=attempt):
                return self._on_prefilled(attempt, now)
            case AttemptRefused(attempt=attempt, reason=reason):
                return self._on_lost(attempt, reason, Verdict.NOT_RUN)
            case AttemptFailed(attempt=attempt, reason=reason, verdict=verdict):
                return self._on_lost(attempt, reason, verdict)
            case AnswerCompleted(attempt=attempt):
                return self._on_ended(attempt)
            case AgentDetached(agent=agent):
                return self._on_detached(agent)
            case Tick():
                return self._on_tick(now)
            case _:
                return []

    def abandon(self, request: str, now: float) -> list[EntryCommand]:
        """Give all memory of a request's group back."""
        group = self._groups.get(request)
        return self._release(group) if group else []

    # Planning

    def _plan(self, request: Request, tried: set[str], now: float) -> list[Segment]:
        prompt = request.work
        targets = list(self._router.candidates(request, self._board, now))
        fresh = [x for x in targets if x.host.name not in tried]
        long_pool = fresh[: self._router.long_pool_size(request, self._board, now)]
        chosen = (
            self._cover(prompt, long_pool)
            or self._cover(prompt, fresh)
            or self._cover(prompt, targets)
        )
        chosen.sort(key=lambda target: target.host.name)
        return self._split(prompt, chosen)

    def _cover(self, prompt: Prompt, targets: list[TargetState]) -> list[TargetState]:
        """Choose targets that hold a prompt, free ones first.

        Targets come in the stable order that long prompts fill.
        """
        targets = [target for target in targets if target.load.memory_total]
        targets.sort(key=lambda target: target.memory_free < self._room(target))
        chosen = []
        room = -prompt.memory
        for target in targets:
            chosen.append(target)
            room += self._room(target)
            if room >= 0:
                return chosen
        return []

    def _split(self, prompt: Prompt, targets: list[TargetState]) -> list[Segment]:
        """Share a prompt among targets in proportion to their memory."""
        if not targets:
            return []
        total = sum(self._room(target) for target in targets)
        segments = []
        start = 0
        held = 0
        for target in targets[:-1]:
            held += self._room(target) * prompt.memory / total
            stop = min(int(held), prompt.tokens)
            stop -= stop % self._settings.block
            segments.append(Segment(target.host.name, start, stop, stop - start))
            start = stop
        memory = prompt.memory - start
        last = Segment(targets[-1].host.name, start, prompt.tokens, memory)
        return [*segments, last]

    def _room(self, target: TargetState) -> int:
        return int(target.load.memory_total * self._settings.fill)

    def _member(self, request: Request, number: int, segment: Segment) -> Member:
        agent = self._board.targets[segment.target].agent
        attempt = self._make_attempt(request.id, number)
        return Member(attempt, agent, segment.start, segment.stop, segment.memory)

    # Steps

    def _on_reserved(self, attempt: AttemptId, now: float) -> list[EntryCommand]:
        group = self._find(attempt)
        if group is None or group.phase is not Phase.RESERVING:
            return []
        if group.members[group.reserved].attempt != attempt:
            return []
        group.reserved += 1
        group.step_since = now
        if group.reserved < len(group.members):
            return [self._reserve(group)]
        group.phase = Phase.PREFILLING
        return [self._compute(group)]

    def _on_prefilled(self, attempt: AttemptId, now: float) -> list[EntryCommand]:
        group = self._find(attempt)
        if group is None or group.phase is not Phase.PREFILLING:
            return []
        if group.members[group.prefilled].attempt != attempt:
            return []
        self._stop_computing(group.members[group.prefilled])
        group.prefilled += 1
        group.step_since = now
        return [self._compute(group)]

    def _on_lost(
        self, attempt: AttemptId, reason: Reason, verdict: Verdict
    ) -> list[EntryCommand]:
        group = self._find(attempt)
        if group is None:
            return []
        if attempt != group.last.attempt:
            verdict = self._verdict(group)
        self._avoid(group, attempt)
        return self._fail(group, reason, verdict)

    def _on_ended(self, attempt: AttemptId) -> list[EntryCommand]:
        group = self._find(attempt)
        if group is None or group.last.attempt != attempt:
            return []
        return self._release(group)

    def _on_detached(self, agent: AgentId) -> list[EntryCommand]:
        commands = []
        for group in list(self._groups.values()):
            lost = [x.attempt for x in group.members if x.agent == agent]
            if lost:
                self._avoid(group, lost[0])
                verdict = self._verdict(group)
                commands += self._fail(group, Reason.LINK_LOST, verdict)
        return commands

    def _on_tick(self, now: float) -> list[EntryCommand]:
        commands = []
        for group in list(self._groups.values()):
            if group.phase is not Phase.RESERVING:
                continue
            if now >= group.step_since + self._settings.reserve_timeout:
                commands += self._fail(group, Reason.MEMORY_FULL, Verdict.NOT_RUN)
        return commands

    def _reserve(self, group: _Group) -> ReserveMemory:
        member = group.members[group.reserved]
        return ReserveMemory(member.attempt, member.agent, member.memory)

    def _compute(self, group: _Group) -> EntryCommand:
        member = group.members[group.prefilled]
        earlier = tuple(x.agent for x in group.members[: group.prefilled])
        self._start_computing(member)
        if member is not group.last:
            return PrefillSegment(
                member.attempt, member.agent, member.start, member.stop, earlier
            )
        group.phase = Phase.SENT
        return SendAttempt(member.attempt, member.agent, earlier)

    # Ends

    def _verdict(self, group: _Group) -> Verdict:
        """Return what the loss of a member says of the request."""
        if group.phase is Phase.SENT:
            return Verdict.MAY_HAVE_RUN
        return Verdict.NOT_RUN

    def _avoid(self, group: _Group, attempt: AttemptId) -> None:
        """Have the next group of a request planned past a member's target."""
        state = self._board.requests.get(group.request.id)
        if state is None:
            return
        for member in group.members:
            if member.attempt == attempt:
                state.tried_targets.add(member.agent.target)

    def _fail(
        self, group: _Group, reason: Reason, verdict: Verdict
    ) -> list[EntryCommand]:
        failure = AbandonGroup(group.request.id, reason, verdict)
        return [*self._release(group), failure]

    def _release(self, group: _Group) -> list[EntryCommand]:
        del self._groups[group.request.id]
        for member in group.members:
            self._leave(member)
        return [ReleaseMemory(member.attempt, member.agent) for member in group.asked]

    def _find(self, attempt: AttemptId) -> _Group | None:
        request = self._owners.get(attempt)
        return self._groups.get(request) if request is not None else None

    def _enter(self, member: Member) -> None:
        self._owners[member.attempt] = member.attempt.request
        target = self._board.targets[member.agent.target]
        target.outstanding[member.attempt] = member.memory

    def _start_computing(self, member: Member) -> None:
        target = self._board.targets.get(member.agent.target)
        if target is not None:
            target.prefill[member.attempt] = member.stop - member.start

    def _stop_computing(self, member: Member) -> None:
        target = self._board.targets.get(member.agent.target)
        if target is not None:
            target.prefill.pop(member.attempt, None)

    def _leave(self, member: Member) -> None:
        del self._owners[member.attempt]
        target = self._board.targets.get(member.agent.target)
        if target is not None:
            target.outstanding.pop(member.attempt, None)
            target.prefill.pop(member.attempt, None)
