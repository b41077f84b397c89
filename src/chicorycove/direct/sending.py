"""Sends requests to targets."""

import dataclasses
import typing as t

from ..attempt import AttemptState, AttemptStep, advance
from ..identity import AttemptId
from .admission import Admission, Refusal
from .board import DirectBoard, DirectRequest
from .command import CancelAttempt, DirectCommand, LogChange, SendAttempt, UpdatePeers
from .completion import RequestCompletion
from .evacuation import Evacuation
from .placement import Placement
from .progress import ProgressMonitor
from .reservation import Reservations
from .settings import DirectSettings
from .target_limits import TargetLimits
from .target_pace import TargetPace
from .work import WorkTracker

AttemptFactory = t.Callable[[str, int], AttemptId]


@dataclasses.dataclass(frozen=True, slots=True)
class WorkRepeatDue:
    """The work of an attempt is to be reported again."""

    attempt: AttemptId


class AttemptSender:
    """Starts attempts, and withdraws them before their targets get them."""

    def __init__(
        self,
        board: DirectBoard,
        settings: DirectSettings,
        admission: Admission,
        evacuation: Evacuation,
        target_limits: TargetLimits,
        reservations: Reservations,
        work: WorkTracker,
        completion: RequestCompletion,
        progress: ProgressMonitor,
        pace: TargetPace,
        make_attempt: AttemptFactory,
    ) -> None:
        self._board = board
        self._settings = settings
        self._admission = admission
        self._evacuation = evacuation
        self._target_limits = target_limits
        self._reservations = reservations
        self._work = work
        self._completion = completion
        self._progress = progress
        self._pace = pace
        self._make_attempt = make_attempt

    def place(self, request: DirectRequest, now: float) -> list[DirectCommand]:
        """Send a request to the best target or group, or fail it."""
        match self._admission.decide(request, now):
            case Refusal(reason=reason, retry_after=retry_after):
                return self._completion.fail(request, reason, retry_after)
            case Placement() as placement:
                return self.start(request, placement, now)

    def start(
        self, request: DirectRequest, placement: Placement, now: float
    ) -> list[DirectCommand]:
        """Send a request, or first reserve the memory of its group."""
        caller_request = request.inbound.request
        view = self._board.targets[placement.target]
        attempt_id = self._make_attempt(caller_request.id, len(request.attempts) + 1)
        request.attempts.append(AttemptState(attempt_id, view.listing.agent))
        request.attempt_domains = frozenset(
            self._board.targets[target].listing.failure_domain
            for target in placement.targets
        )
        request.expects_slot = placement.free_slots > 0
        request.newest_answer_began = False
        update = UpdatePeers(self._work.add(request, placement, now))
        repeat_at = now + self._settings.work_repeat_delay
        self._board.timers.add(repeat_at, WorkRepeatDue(attempt_id))
        if any(member.held_tokens for member in placement.members):
            return [update, *self._reservations.start(attempt_id, placement, now)]
        return [self.send(request, placement, now), update]

    def send(
        self, request: DirectRequest, placement: Placement, now: float
    ) -> SendAttempt:
        """Return the command that sends the newest attempt."""
        caller_request = request.inbound.request
        attempt = request.attempts[-1]
        view = self._board.targets[placement.target]
        request.last_progress_at = now
        self._progress.start(request, now)
        return SendAttempt(
            attempt.id,
            attempt.agent,
            view.listing.address,
            caller_request.deadline,
            placement,
            self._reservations.members(caller_request.id, placement),
            request.last_event_id,
        )

    def begin(self, attempt_id: AttemptId, now: float) -> list[DirectCommand]:
        """Count an attempt as sent, or withdraw it if it must not be sent.

        What applies to its targets may have changed while its connection
        opened.
        """
        request = self._board.current_request(attempt_id)
        if request is None:
            return [CancelAttempt(attempt_id)]
        attempt = request.attempts[-1]
        if self._evacuation.affects(request):
            return self.withdraw(request, "evacuation", now)
        view = self._board.find_incarnation(attempt.agent)
        if view is None or not view.available:
            return self.withdraw(request, "target leaving", now)
        cause = self._target_limits.withdrawal_cause(attempt.agent, now)
        if cause is not None:
            request.tried_targets.add(attempt.agent.target)
            return self.withdraw(request, cause, now)
        if self._reservations.have_lapsed(attempt_id.request, now):
            return self.withdraw(request, "reserved memory lapsed", now)
        advance(attempt, AttemptStep.START)
        self.count_sent(request)
        self._pace.start_prefill(request, now)
        return []

    def count_sent(self, request: DirectRequest) -> None:
        """Count the newest attempt as one that may have run."""
        request.sent_count += 1
        request.run_count += 1

    def withdraw(
        self, request: DirectRequest, cause: str, now: float
    ) -> list[DirectCommand]:
        """Send a request elsewhere before its target has got it."""
        attempt = request.attempts[-1]
        advance(attempt, AttemptStep.REFUSE)
        return [
            CancelAttempt(attempt.id),
            LogChange("attempt withdrawn", attempt.agent.target, cause),
            *self._completion.release_work(request),
            *self.place(request, now),
        ]

    def repeat_work_update(self, attempt_id: AttemptId) -> list[DirectCommand]:
        """Report a prompt to peers again, unless it has been prefilled.

        The load it answers: peers that miss the first report, as datagrams may
        be lost, place prompts on the same target.
        """
        request = self._board.current_request(attempt_id)
        if request is None or not request.work_items:
            return []
        if request.work_items[0].decoding or not request.work_items[0].tokens:
            return []
        return [UpdatePeers(tuple(request.work_items))]
