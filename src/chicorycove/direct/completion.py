"""Ends requests and releases what they hold."""

from ..attempt import is_live
from ..lifecycle import FailRequest
from ..reason import Reason
from ..verdict import Verdict
from .board import DirectBoard, DirectRequest
from .command import AbortAnswer, CancelAttempt, DirectCommand, UpdatePeers
from .reservation import Reservations
from .work import WorkTracker


class RequestCompletion:
    """Ends requests, their attempts and their work on targets."""

    def __init__(
        self, board: DirectBoard, reservations: Reservations, work: WorkTracker
    ) -> None:
        self._board = board
        self._reservations = reservations
        self._work = work

    def fail(
        self, request: DirectRequest, reason: Reason, retry_after: float | None
    ) -> list[DirectCommand]:
        """Fail a request with a verdict on whether it may have run.

        An answer that has started is aborted; retry_after is in seconds.
        """
        if request.answer_started:
            return self.abort(request, reason)
        verdict = Verdict.MAY_HAVE_RUN if request.may_have_run else Verdict.NOT_RUN
        commands = self._cancel_live_attempts(request)
        failure = FailRequest(request.inbound.request.id, reason, verdict, retry_after)
        return [*commands, failure, *self.remove(request)]

    def abort(self, request: DirectRequest, reason: Reason) -> list[DirectCommand]:
        """Abort a partly sent answer."""
        commands = self._cancel_live_attempts(request)
        abort = AbortAnswer(request.inbound.request.id, reason)
        return [*commands, abort, *self.remove(request)]

    def cancel(self, request: DirectRequest) -> list[DirectCommand]:
        """Cancel the attempts of a caller that has disconnected."""
        return [*self._cancel_live_attempts(request), *self.remove(request)]

    def remove(self, request: DirectRequest) -> list[DirectCommand]:
        """Remove a request from the board and release its work."""
        self._board.requests.pop(request.inbound.request.id, None)
        return self.release_work(request)

    def release_work(self, request: DirectRequest) -> list[DirectCommand]:
        """Release what the newest attempt holds on targets."""
        commands = self._reservations.release(request.inbound.request.id)
        ended = self._work.remove(request)
        return [*commands, UpdatePeers((), ended)] if ended else commands

    def _cancel_live_attempts(self, request: DirectRequest) -> list[DirectCommand]:
        return [
            CancelAttempt(attempt.id)
            for attempt in request.attempts
            if is_live(attempt)
        ]
