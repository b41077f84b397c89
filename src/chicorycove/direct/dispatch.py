"""The life of a request at a direct entry, from arrival to its last answer."""

import dataclasses
import typing as t

from ..attempt import AttemptState, Step, advance, is_live
from ..identity import AgentId, AttemptId
from ..lifecycle import (
    CallerGone,
    Ended,
    Fail,
    Failed,
    Finish,
    Refused,
    Reserved,
    StopAsked,
    Tick,
)
from ..reason import Reason
from ..request import Prompt
from ..verdict import Verdict
from .board import DirectBoard, DirectState, Inbound
from .budget import SharedBudget
from .command import (
    Abort,
    Deliver,
    DirectCommand,
    Drop,
    Note,
    PassOn,
    ReadStore,
    SendTo,
    Tell,
)
from .condition import TargetCondition
from .event import (
    CallerSlow,
    Deployed,
    DirectEvent,
    Followed,
    Headed,
    Listed,
    PeersSeen,
    PeerTold,
    Probed,
    Received,
    Sent,
    StoreAway,
    StoreBack,
    TargetAnswer,
    Unlisted,
    Whole,
    Wrote,
)
from .freshness import Freshness
from .neighbourhood import Neighbourhood
from .patience import Doubt, Overdue, Patience, Wait
from .placement import Job, Placement, Placer, place_call
from .reservation import AnswerDue, RenewalDue, Reservations
from .settings import DirectSettings
from .target_list import TargetList
from .work import WorkBook

AttemptFactory = t.Callable[[str, int], AttemptId]

frozen = dataclasses.dataclass(frozen=True, slots=True)


@frozen
class _DeadlineDue:
    request: str


@frozen
class _PatienceDue:
    attempt: AttemptId


class DirectDispatcher:
    """Decides what a direct entry does; times are in seconds."""

    def __init__(
        self,
        board: DirectBoard,
        settings: DirectSettings,
        domain: str,
        name: str,
        make_attempt: AttemptFactory,
    ) -> None:
        self._board = board
        self._settings = settings
        self._domain = domain
        self._make_attempt = make_attempt
        self._placer = Placer(settings.placement)
        self._budget = SharedBudget(settings.budget)
        self._condition = TargetCondition(board, settings)
        self._targets = TargetList(board, settings)
        self._reservations = Reservations(board, settings.reservation)
        self._work = WorkBook(board, settings, name)
        self._patience = Patience(settings.patience, self._work)
        self._freshness = Freshness(settings.behind)
        self._neighbourhood = Neighbourhood(board, settings.targets, name)

    def handle(self, event: DirectEvent, now: float) -> list[DirectCommand]:
        """Return what is to be done about an event."""
        match event:
            case Wrote(attempt, events, last):
                return self._wrote(attempt, events, last, now)
            case Received(inbound):
                return self._received(inbound, now)
            case Sent(attempt):
                return self._sent(attempt, now)
            case Headed(attempt, answer):
                return self._headed(attempt, answer, now)
            case Whole(attempt, answer):
                return self._whole(attempt, answer, now)
            case Ended(attempt):
                return self._ended(attempt, now)
            case Failed(attempt, reason, verdict):
                return self._failed(attempt, reason, verdict, now)
            case Reserved(reservation):
                return self._reserved(reservation, now)
            case Refused(reservation):
                return self._not_reserved(reservation, now)
            case CallerGone(request):
                return self._caller_gone(request)
            case CallerSlow(request, slow):
                return self._caller_slow(request, slow, now)
            case Probed(target, alive):
                return self._probed(target, alive, now)
            case Deployed(table):
                self._board.table = table
                return []
            case Listed() | Unlisted() | StoreAway() | StoreBack():
                if isinstance(event, Unlisted):
                    self._condition.forget(event.target)
                return self._targets.handle(event, now)
            case Followed(revision):
                self._freshness.followed(revision)
                return []
            case PeersSeen(names):
                self._board.names = names
                self._board.peers = self._neighbourhood.peers()
                return self._work.handle(event, now)
            case PeerTold(owner, revision=revision):
                commands = self._work.handle(event, now)
                return commands + self._compare(owner, revision, now)
            case StopAsked():
                self._board.stopping_at = now
                return []
            case Tick():
                return self._tick(now)

    def _current(self, attempt: AttemptId) -> DirectState | None:
        """Return the request that an attempt may still answer, if any."""
        state = self._board.requests.get(attempt.request)
        if state is None or not state.attempts or state.attempts[-1].id != attempt:
            return None
        return state

    def _compare(self, peer: str, revision: int, now: float) -> list[DirectCommand]:
        """Read the store anew if a peer has seen more of it for long."""
        if not self._freshness.told(revision, now):
            return []
        seen = f"revision {self._freshness.revision}, its {revision}"
        return [Note("behind a peer", peer, seen), ReadStore()]

    # Arrival and placing

    def _received(self, inbound: Inbound, now: float) -> list[DirectCommand]:
        request = inbound.request
        self._budget.note_request(inbound.service, now)
        if self._stopped_accepting(now):
            return [Fail(request.id, Reason.STOPPING, Verdict.NOT_RUN, 0.0)]
        state = DirectState(inbound, last_event=inbound.resumed_after)
        self._board.requests[request.id] = state
        self._board.timers.add(request.deadline, _DeadlineDue(request.id))
        return self._place(state, now)

    def _stopped_accepting(self, now: float) -> bool:
        stopping_at = self._board.stopping_at
        if stopping_at is None:
            return False
        return now >= stopping_at + self._settings.stop_accepting

    def _place(self, state: DirectState, now: float) -> list[DirectCommand]:
        request = state.inbound.request
        if now + self._settings.least_time >= request.deadline:
            return self._fail(state, Reason.DEADLINE_PAST, None)
        placement = self._choose(state, now)
        if placement is None:
            after = self._settings.retry_after_no_target
            return self._fail(state, Reason.NO_TARGET, after)
        if now + placement.first_event > request.deadline:
            after = placement.first_event - (request.deadline - now)
            return self._fail(state, Reason.DEADLINE_INFEASIBLE, after)
        return self._begin(state, placement, now)

    def _choose(self, state: DirectState, now: float) -> Placement | None:
        service = state.inbound.service
        near = self._neighbourhood.views(service)
        near = near or list(self._board.targets_of(service))
        views = [x for x in near if x.listing.id not in state.tried] or near
        profile = self._board.service(service)
        work = state.inbound.request.work
        if isinstance(work, Prompt) and profile and profile.engine:
            job = self._job(state, work)
            return self._placer.place(job, profile.engine, views, now, self._board.turn)
        view = place_call(views, self._domain, now)
        if view is None:
            return None
        return Placement(target=view.listing.id, candidates=len(views))

    def _job(self, state: DirectState, work: Prompt) -> Job:
        inbound = state.inbound
        value = 1.0 + work.tokens / self._settings.tokens_per_value
        return Job(
            tokens=work.tokens,
            output=work.max_tokens,
            expected_output=work.max_tokens,
            objective_at=inbound.request.arrived + inbound.route.objective,
            deadline=inbound.request.deadline,
            max_gap=inbound.route.max_gap,
            value=value,
            domain=self._domain,
        )

    def _begin(
        self, state: DirectState, placement: Placement, now: float
    ) -> list[DirectCommand]:
        """Send a request, or reserve what its group is to hold first."""
        request = state.inbound.request
        view = self._board.targets[placement.target]
        target = AgentId(placement.target, str(view.listing.born))
        attempt = self._make_attempt(request.id, len(state.attempts) + 1)
        state.attempts.append(AttemptState(attempt, target))
        told = Tell(self._work.place(state, placement, now))
        if any(member.held for member in placement.members):
            return [told, *self._reservations.start(attempt, placement, now)]
        return [self._send(state, placement, now), told]

    def _send(self, state: DirectState, placement: Placement, now: float) -> SendTo:
        request = state.inbound.request
        record = state.attempts[-1]
        view = self._board.targets[placement.target]
        state.last_progress = now
        due = self._patience.overdue_at(state, now)
        self._board.timers.add(due, _PatienceDue(record.id))
        return SendTo(
            record.id,
            record.agent,
            view.listing.address,
            request.deadline,
            placement,
            self._reservations.members(request.id, placement),
            state.last_event,
        )

    def _reserved(self, reservation: AttemptId, now: float) -> list[DirectCommand]:
        placement = self._reservations.reserved(reservation, now)
        state = self._board.requests.get(reservation.request)
        if placement is None or state is None:
            return []
        if placement.target not in self._board.targets:
            return self._group_refused(state, placement.target, now)
        return [self._send(state, placement, now)]

    def _not_reserved(self, reservation: AttemptId, now: float) -> list[DirectCommand]:
        state = self._board.requests.get(reservation.request)
        if state is None or not self._reservations.is_awaited(reservation):
            return []  # a renewal that is refused shows in the answer itself
        target = self._reservations.target_of(reservation)
        return self._group_refused(state, target, now)

    def _group_refused(
        self, state: DirectState, target: str, now: float
    ) -> list[DirectCommand]:
        """Try another group after one whose memory could not be held."""
        state.tried.add(target)
        advance(state.attempts[-1], Step.REFUSE)
        commands = self._end_work(state)
        if len(state.attempts) >= self._settings.reservation.tries:
            after = self._settings.retry_after_no_target
            return commands + self._fail(state, Reason.MEMORY_FULL, after)
        return commands + self._place(state, now)

    # Answers

    def _sent(self, attempt: AttemptId, now: float) -> list[DirectCommand]:
        state = self._current(attempt)
        if state is not None:
            advance(state.attempts[-1], Step.START)
            state.sends += 1
            state.runs += 1
        return []

    def _headed(
        self, attempt: AttemptId, answer: TargetAnswer, now: float
    ) -> list[DirectCommand]:
        state = self._current(attempt)
        if state is None:
            return [Drop(attempt)]
        if answer.not_run or answer.wrong_instance:
            return self._refused(state, answer, now)
        if not state.inbound.route.streamed or not answer.succeeded:
            return []  # judged when it is whole
        state.answering = True
        return [PassOn(attempt.request, attempt)]

    def _refused(
        self, state: DirectState, answer: TargetAnswer, now: float
    ) -> list[DirectCommand]:
        """Go on after a target has said that it did not run an attempt."""
        record = state.attempts[-1]
        target = record.agent.target
        advance(record, Step.REFUSE)
        state.runs -= 1
        state.refusals += 1
        if answer.wrong_instance:
            commands = self._targets.replaced(target)
        else:
            commands = []
        if answer.faulty is not None:
            self._condition.suspect_address(answer.faulty, now)
        state.tried.add(target)
        commands.append(Drop(record.id))
        return commands + self._again(state, Reason.QUEUE_FULL, Verdict.NOT_RUN, now)

    def _whole(
        self, attempt: AttemptId, answer: TargetAnswer, now: float
    ) -> list[DirectCommand]:
        state = self._current(attempt)
        if state is None:
            return [Drop(attempt)]
        if answer.not_run or answer.wrong_instance:
            return self._refused(state, answer, now)
        record = state.attempts[-1]
        if answer.status >= 500:
            self._note_failure(state, now)
            if self._may_repeat(state, now):
                advance(record, Step.FAIL)
                state.tried.add(record.agent.target)
                return self._again(
                    state, Reason.TARGET_FAILED, Verdict.MAY_HAVE_RUN, now
                )
        else:
            self._condition.note_success(record.agent.target)
        advance(record, Step.END)
        if state.answering:
            return self._abort(state, Reason.TARGET_FAILED)
        return [Deliver(attempt.request, attempt), *self._forget(state)]

    def _ended(self, attempt: AttemptId, now: float) -> list[DirectCommand]:
        state = self._current(attempt)
        if state is None:
            return []
        record = state.attempts[-1]
        advance(record, Step.END)
        self._condition.note_success(record.agent.target)
        return [Finish(attempt.request), *self._forget(state)]

    def _wrote(
        self, attempt: AttemptId, events: int, last: int | None, now: float
    ) -> list[DirectCommand]:
        state = self._current(attempt)
        if state is None:
            return []
        state.last_progress = now
        if last is not None:
            state.last_event = last
        works = self._work.wrote(state, events, now)
        return [Tell(works)] if works else []

    # Failures

    def _failed(
        self, attempt: AttemptId, reason: Reason, verdict: Verdict, now: float
    ) -> list[DirectCommand]:
        state = self._current(attempt)
        if state is None:
            return []
        record = state.attempts[-1]
        target = record.agent.target
        state.tried.add(target)
        commands: list[DirectCommand] = []
        if verdict is Verdict.NOT_RUN:
            advance(record, Step.REFUSE)
            commands += self._condition.suspect(target, now)
        else:
            advance(record, Step.FAIL)
            self._note_failure(state, now)
            commands += self._condition.probe(target)
        return commands + self._again(state, reason, verdict, now)

    def _may_repeat(self, state: DirectState, now: float) -> bool:
        """Tell whether what may have run is to be sent once more."""
        route = state.inbound.route
        request = state.inbound.request
        if not route.repeatable or state.runs >= route.max_attempts:
            return False
        if now + self._settings.least_time >= request.deadline:
            return False
        left = self._budget.left(state.inbound.service, self._board.entries, now)
        return left >= 1

    def _again(
        self, state: DirectState, reason: Reason, verdict: Verdict, now: float
    ) -> list[DirectCommand]:
        commands = self._end_work(state)
        if verdict is not Verdict.NOT_RUN and not self._may_repeat(state, now):
            return commands + self._fail(state, reason, None)
        if state.sends and not self._budget.take(
            state.inbound.service, self._board.entries, now
        ):
            return commands + self._fail(state, Reason.RETRY_BUDGET, 0.5)
        return commands + self._place(state, now)

    def _fail(
        self, state: DirectState, reason: Reason, retry_after: float | None
    ) -> list[DirectCommand]:
        if state.answering:
            return self._abort(state, reason)
        verdict = Verdict.MAY_HAVE_RUN if state.may_have_run else Verdict.NOT_RUN
        commands = self._drop_live(state)
        fail = Fail(state.inbound.request.id, reason, verdict, retry_after)
        return [*commands, fail, *self._forget(state)]

    def _abort(self, state: DirectState, reason: Reason) -> list[DirectCommand]:
        commands = self._drop_live(state)
        abort = Abort(state.inbound.request.id, reason)
        return [*commands, abort, *self._forget(state)]

    def _drop_live(self, state: DirectState) -> list[DirectCommand]:
        return [Drop(record.id) for record in state.attempts if is_live(record)]

    def _caller_gone(self, request: str) -> list[DirectCommand]:
        state = self._board.requests.get(request)
        if state is None:
            return []
        return [*self._drop_live(state), *self._forget(state)]

    def _caller_slow(self, request: str, slow: bool, now: float) -> list[DirectCommand]:
        """Excuse a target from silence while its caller takes nothing."""
        state = self._board.requests.get(request)
        if state is not None:
            state.caller_slow = slow
            state.last_progress = now
        return []

    def _forget(self, state: DirectState) -> list[DirectCommand]:
        self._board.requests.pop(state.inbound.request.id, None)
        return self._end_work(state)

    def _end_work(self, state: DirectState) -> list[DirectCommand]:
        """Give back what the newest attempt holds on targets."""
        commands = self._reservations.release(state.inbound.request.id)
        ended = self._work.end(state)
        return [*commands, Tell((), ended)] if ended else commands

    # Health

    def _note_failure(self, state: DirectState, now: float) -> None:
        target = state.attempts[-1].agent.target
        self._condition.note_failure(target, state.inbound.service, now)

    def _probed(self, target: str, alive: bool, now: float) -> list[DirectCommand]:
        """Give up what runs on a target that cannot be reached."""
        if alive:
            return []
        commands = self._condition.suspect(target, now)
        for state in list(self._board.requests.values()):
            record = state.attempts[-1] if state.attempts else None
            if record is None or not is_live(record):
                continue
            if record.agent.target == target and state.inbound.route.repeatable:
                commands.append(Drop(record.id))
                commands += self._lost(state, now)
        return commands

    def _lost(self, state: DirectState, now: float) -> list[DirectCommand]:
        """Go on after a target with a live attempt has died."""
        record = state.attempts[-1]
        advance(record, Step.FAIL)
        state.tried.add(record.agent.target)
        state.runs -= 1  # a target that is gone runs nothing
        return self._again(state, Reason.LINK_LOST, Verdict.MAY_HAVE_RUN, now)

    # Time

    def _tick(self, now: float) -> list[DirectCommand]:
        commands: list[DirectCommand] = []
        for item in self._board.timers.pop(now):
            match item:
                case _DeadlineDue(request):
                    commands += self._deadline_due(request)
                case _PatienceDue(attempt):
                    commands += self._patience_due(attempt, now)
                case AnswerDue(_, reservation):
                    commands += self._not_reserved(reservation, now)
                case RenewalDue():
                    commands += self._reservations.renew(item, now)
                case _:
                    commands += self._targets.due(item, now)
        return commands

    def _deadline_due(self, request: str) -> list[DirectCommand]:
        state = self._board.requests.get(request)
        if state is None:
            return []
        return self._fail(state, Reason.DEADLINE_EXCEEDED, None)

    def _patience_due(self, attempt: AttemptId, now: float) -> list[DirectCommand]:
        state = self._current(attempt)
        if state is None or not is_live(state.attempts[-1]):
            return []
        match self._patience.judge(state, now):
            case Wait(until):
                self._board.timers.add(until, _PatienceDue(attempt))
                return []
            case Doubt(until):
                self._board.timers.add(until, _PatienceDue(attempt))
                return self._condition.probe(state.attempts[-1].agent.target)
            case Overdue():
                return self._overdue(state, now)

    def _overdue(self, state: DirectState, now: float) -> list[DirectCommand]:
        """Repeat what has been silent for too long, if it may be."""
        if self._may_repeat(state, now):
            return self._give_up_on(state, now)
        if not state.inbound.route.streamed:
            return []
        record = state.attempts[-1]
        due = now + self._settings.patience.overdue
        self._board.timers.add(due, _PatienceDue(record.id))
        return self._condition.probe(record.agent.target)

    def _give_up_on(self, state: DirectState, now: float) -> list[DirectCommand]:
        record = state.attempts[-1]
        advance(record, Step.FAIL)
        self._note_failure(state, now)
        state.tried.add(record.agent.target)
        again = self._again(state, Reason.TARGET_FAILED, Verdict.MAY_HAVE_RUN, now)
        return [Drop(record.id), *again]
