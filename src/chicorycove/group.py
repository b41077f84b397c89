"""Groups of engines for prompts that exceed one engine's memory."""

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

# Makes an attempt's id from its request's id and its number
AttemptFactory = t.Callable[[str, int], AttemptId]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GroupSettings:
    """Limits and timeouts of groups; times are in seconds."""

    max_memory_share: float = 0.9  # share of an engine's memory that a member may take
    reserve_timeout: float = 30.0  # how long one member's reservation is awaited
    block_size: int = 512  # tokens; segments are whole blocks, except the last


class Phase(enum.Enum):
    """Step that a group is at."""

    RESERVING = "reserving"
    PREFILLING = "prefilling"
    SENT = "sent"


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """An engine of a group and its segment of the prompt, in tokens."""

    attempt: AttemptId
    agent: AgentId
    start: int
    stop: int
    memory: int


@dataclasses.dataclass(frozen=True, slots=True)
class Segment:
    """A planned segment of a prompt on a target, in tokens."""

    target: str
    start: int
    stop: int
    memory: int


@dataclasses.dataclass(slots=True)
class _Group:
    """The state of one request's group.

    Members reserve one after another, in the order of their targets' names,
    and prefill in the same order.
    """

    request: Request
    members: tuple[Member, ...]
    step_started_at: float
    phase: Phase = Phase.RESERVING
    reserved_count: int = 0  # members whose memory is reserved
    prefilled_count: int = 0  # members that hold the KV cache of their segment

    @property
    def decoding_member(self) -> Member:
        """Return the member that decodes."""
        return self.members[-1]

    @property
    def requested_members(self) -> tuple[Member, ...]:
        """Return the members that hold a reservation or wait for one."""
        return self.members[: self.reserved_count + 1]


class GroupCoordinator:
    """Reserves engines for large prompts and runs the prompts over them.

    All groups reserve in one order of targets, so competing groups cannot
    deadlock.  Agents queue reservations with ageing, so smaller requests
    cannot starve them.  A group that loses a member releases all its memory
    and fails.
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
        self._request_ids: dict[AttemptId, str] = {}

    def needs_group(self, request: Request) -> bool:
        """Return whether a prompt exceeds the memory of each engine for it."""
        if not isinstance(request.work, Prompt):
            return False
        largest = self._router.largest_memory(request, self._board)
        return 0 < largest < request.work.memory

    def owns(self, attempt: AttemptId) -> bool:
        """Return whether an attempt is a member of a group."""
        return attempt in self._request_ids

    def start(self, state: RequestState, now: float) -> list[EntryCommand]:
        """Plan a group for a request and request its first reservation."""
        request = state.request
        segments = self._plan(request, state.tried_targets, now)
        if not segments:
            failure = AbandonGroup(request.id, Reason.MEMORY_FULL, Verdict.NOT_RUN)
            return [failure]
        first = len(state.attempts) + 1
        members = tuple(
            self._create_member(request, number, segment)
            for number, segment in enumerate(segments, first)
        )
        group = _Group(request, members, now)
        self._groups[request.id] = group
        for member in members:
            self._add_member(member)
        return [self._reserve(group)]

    def handle(self, event: EntryEvent, now: float) -> list[EntryCommand]:
        """Return the commands that an event leads to."""
        match event:
            case MemoryReserved(attempt=attempt):
                return self._on_reserved(attempt, now)
            case SegmentPrefilled(attempt=attempt):
                return self._on_prefilled(attempt, now)
            case AttemptRefused(attempt=attempt, reason=reason):
                return self._on_member_lost(attempt, reason, Verdict.NOT_RUN)
            case AttemptFailed(attempt=attempt, reason=reason, verdict=verdict):
                return self._on_member_lost(attempt, reason, verdict)
            case AnswerCompleted(attempt=attempt):
                return self._on_answer_completed(attempt)
            case AgentDetached(agent=agent):
                return self._on_detached(agent)
            case Tick():
                return self._on_tick(now)
            case _:
                return []

    def abandon(self, request: str, now: float) -> list[EntryCommand]:
        """Release all memory of a request's group."""
        group = self._groups.get(request)
        return self._release(group) if group else []

    # Planning

    def _plan(self, request: Request, tried: set[str], now: float) -> list[Segment]:
        prompt = request.work
        targets = list(self._router.candidates(request, self._board, now))
        untried = [target for target in targets if target.host.name not in tried]
        long_pool = untried[: self._router.long_pool_size(request, self._board, now)]
        chosen = (
            self._cover(prompt, long_pool)
            or self._cover(prompt, untried)
            or self._cover(prompt, targets)
        )
        chosen.sort(key=lambda target: target.host.name)
        return self._split(prompt, chosen)

    def _cover(self, prompt: Prompt, targets: list[TargetState]) -> list[TargetState]:
        """Choose targets whose memory covers a prompt, free ones first.

        Targets are given in the stable order in which long prompts fill
        them.
        """
        targets = [target for target in targets if target.load.memory_total]
        targets.sort(
            key=lambda target: target.memory_free < self._usable_memory(target)
        )
        chosen = []
        surplus = -prompt.memory
        for target in targets:
            chosen.append(target)
            surplus += self._usable_memory(target)
            if surplus >= 0:
                return chosen
        return []

    def _split(self, prompt: Prompt, targets: list[TargetState]) -> list[Segment]:
        """Split a prompt among targets in proportion to their memory."""
        if not targets:
            return []
        total = sum(self._usable_memory(target) for target in targets)
        segments = []
        start = 0
        covered = 0
        for target in targets[:-1]:
            covered += self._usable_memory(target) * prompt.memory / total
            stop = min(int(covered), prompt.tokens)
            stop -= stop % self._settings.block_size
            segments.append(Segment(target.host.name, start, stop, stop - start))
            start = stop
        memory = prompt.memory - start
        last = Segment(targets[-1].host.name, start, prompt.tokens, memory)
        return [*segments, last]

    def _usable_memory(self, target: TargetState) -> int:
        return int(target.load.memory_total * self._settings.max_memory_share)

    def _create_member(self, request: Request, number: int, segment: Segment) -> Member:
        agent = self._board.targets[segment.target].agent
        attempt = self._make_attempt(request.id, number)
        return Member(attempt, agent, segment.start, segment.stop, segment.memory)

    # Steps

    def _on_reserved(self, attempt: AttemptId, now: float) -> list[EntryCommand]:
        group = self._find_group(attempt)
        if group is None or group.phase is not Phase.RESERVING:
            return []
        if group.members[group.reserved_count].attempt != attempt:
            return []
        group.reserved_count += 1
        group.step_started_at = now
        if group.reserved_count < len(group.members):
            return [self._reserve(group)]
        group.phase = Phase.PREFILLING
        return [self._start_next_step(group)]

    def _on_prefilled(self, attempt: AttemptId, now: float) -> list[EntryCommand]:
        group = self._find_group(attempt)
        if group is None or group.phase is not Phase.PREFILLING:
            return []
        if group.members[group.prefilled_count].attempt != attempt:
            return []
        self._remove_prefill(group.members[group.prefilled_count])
        group.prefilled_count += 1
        group.step_started_at = now
        return [self._start_next_step(group)]

    def _on_member_lost(
        self, attempt: AttemptId, reason: Reason, verdict: Verdict
    ) -> list[EntryCommand]:
        group = self._find_group(attempt)
        if group is None:
            return []
        if attempt != group.decoding_member.attempt:
            verdict = self._verdict(group)
        self._mark_tried(group, attempt)
        return self._fail(group, reason, verdict)

    def _on_answer_completed(self, attempt: AttemptId) -> list[EntryCommand]:
        group = self._find_group(attempt)
        if group is None or group.decoding_member.attempt != attempt:
            return []
        return self._release(group)

    def _on_detached(self, agent: AgentId) -> list[EntryCommand]:
        commands = []
        for group in list(self._groups.values()):
            lost = [member.attempt for member in group.members if member.agent == agent]
            if lost:
                self._mark_tried(group, lost[0])
                verdict = self._verdict(group)
                commands += self._fail(group, Reason.LINK_LOST, verdict)
        return commands

    def _on_tick(self, now: float) -> list[EntryCommand]:
        commands = []
        for group in list(self._groups.values()):
            if group.phase is not Phase.RESERVING:
                continue
            if now >= group.step_started_at + self._settings.reserve_timeout:
                commands += self._fail(group, Reason.MEMORY_FULL, Verdict.NOT_RUN)
        return commands

    def _reserve(self, group: _Group) -> ReserveMemory:
        member = group.members[group.reserved_count]
        return ReserveMemory(member.attempt, member.agent, member.memory)

    def _start_next_step(self, group: _Group) -> EntryCommand:
        member = group.members[group.prefilled_count]
        earlier = tuple(each.agent for each in group.members[: group.prefilled_count])
        self._add_prefill(member)
        if member is not group.decoding_member:
            return PrefillSegment(
                member.attempt, member.agent, member.start, member.stop, earlier
            )
        group.phase = Phase.SENT
        return SendAttempt(member.attempt, member.agent, earlier)

    # Failure and release

    def _verdict(self, group: _Group) -> Verdict:
        """Return the request's verdict if a member is lost."""
        if group.phase is Phase.SENT:
            return Verdict.MAY_HAVE_RUN
        return Verdict.NOT_RUN

    def _mark_tried(self, group: _Group, attempt: AttemptId) -> None:
        """Exclude a member's target from the request's next group."""
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
            self._remove_member(member)
        return [
            ReleaseMemory(member.attempt, member.agent)
            for member in group.requested_members
        ]

    def _find_group(self, attempt: AttemptId) -> _Group | None:
        request = self._request_ids.get(attempt)
        return self._groups.get(request) if request is not None else None

    def _add_member(self, member: Member) -> None:
        self._request_ids[member.attempt] = member.attempt.request
        target = self._board.targets[member.agent.target]
        target.outstanding[member.attempt] = member.memory

    def _add_prefill(self, member: Member) -> None:
        target = self._board.targets.get(member.agent.target)
        if target is not None:
            target.prefill[member.attempt] = member.stop - member.start

    def _remove_prefill(self, member: Member) -> None:
        target = self._board.targets.get(member.agent.target)
        if target is not None:
            target.prefill.pop(member.attempt, None)

    def _remove_member(self, member: Member) -> None:
        del self._request_ids[member.attempt]
        target = self._board.targets.get(member.agent.target)
        if target is not None:
            target.outstanding.pop(member.attempt, None)
            target.prefill.pop(member.attempt, None)
