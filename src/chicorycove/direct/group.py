"""Sends requests to groups once their memory is reserved."""

from ..attempt import AttemptStep, advance
from ..identity import AttemptId
from ..reason import Reason
from .board import DirectBoard, DirectRequest
from .command import DirectCommand
from .completion import RequestCompletion
from .evacuation import Evacuation
from .reservation import Reservations
from .sending import AttemptSender
from .settings import DirectSettings


class GroupSender:
    """Sends to groups, or tries others if memory cannot be reserved."""

    def __init__(
        self,
        board: DirectBoard,
        settings: DirectSettings,
        evacuation: Evacuation,
        reservations: Reservations,
        completion: RequestCompletion,
        sender: AttemptSender,
    ) -> None:
        self._board = board
        self._settings = settings
        self._evacuation = evacuation
        self._reservations = reservations
        self._completion = completion
        self._sender = sender

    def confirm(self, reservation_id: AttemptId, now: float) -> list[DirectCommand]:
        """Send a group's request once all its memory is reserved."""
        placement = self._reservations.confirm(reservation_id, now)
        request = self._board.requests.get(reservation_id.request)
        if placement is None or request is None:
            return []
        if self._evacuation.affects(request):
            return self._sender.withdraw(request, "evacuation", now)
        for target in placement.targets:
            view = self._board.targets.get(target)
            if view is None or view.is_excluded(now):
                return self._try_other_group(request, target, now)
        return [self._sender.send(request, placement, now)]

    def handle_failure(
        self, reservation_id: AttemptId, now: float
    ) -> list[DirectCommand]:
        """Try another group if memory was not reserved in time."""
        request = self._board.requests.get(reservation_id.request)
        if request is None or not self._reservations.is_pending(reservation_id):
            return []  # the answer itself shows a refused renewal
        target = self._reservations.target_of(reservation_id)
        return self._try_other_group(request, target, now)

    def _try_other_group(
        self, request: DirectRequest, target: str, now: float
    ) -> list[DirectCommand]:
        """Try another group after one whose memory was not reserved."""
        request.tried_targets.add(target)
        advance(request.attempts[-1], AttemptStep.REFUSE)
        commands = self._completion.release_work(request)
        if len(request.attempts) >= self._settings.reservation.max_groups:
            retry_after = self._settings.retry_after_no_target
            return commands + self._completion.fail(
                request, Reason.MEMORY_FULL, retry_after
            )
        return commands + self._sender.place(request, now)
