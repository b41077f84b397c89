"""How a request ends, and what is given back with it."""

from ..attempt import is_live
from ..lifecycle import FailRequest
from ..reason import Reason
from ..verdict import Verdict
from .board import DirectBoard, DirectRequest
from .command import AbortAnswer, CancelAttempt, DirectCommand, UpdatePeers
from .reservation import Reservations
from .work import WorkTracker


class RequestCompletion:
    """Ends requests and their attempts."""

    def __init__(
        self, board: DirectBoard, reservations: Reservations, work: WorkTracker
    ) -> None:
        self._board = board
        self._reservations = reservations
        self._work = work

    def fail(
        self, state: DirectRequest, reason: Reason, retry_after: float | None
    ) -> list[DirectCommand]:
        """Answer a caller with a failure, and say whether anything has run.

        An answer that has begun is broken off; retry_after is in seconds.
        """
        if state.answer_started:
            return self.abort(state, reason)
        verdict = Verdict.MAY_HAVE_RUN if state.may_have_run else Verdict.NOT_RUN
        commands = self._drop_live(state)
        fail = FailRequest(state.inbound.request.id, reason, verdict, retry_after)
        return [*commands, fail, *self.remove(state)]

    def abort(self, state: DirectRequest, reason: Reason) -> list[DirectCommand]:
        """Break an answer off."""
        commands = self._drop_live(state)
        abort = AbortAnswer(state.inbound.request.id, reason)
        return [*commands, abort, *self.remove(state)]

    def cancel(self, state: DirectRequest) -> list[DirectCommand]:
        """Stop what runs for a caller who has gone."""
        return [*self._drop_live(state), *self.remove(state)]

    def remove(self, state: DirectRequest) -> list[DirectCommand]:
        """Drop a request from the board."""
        self._board.requests.pop(state.inbound.request.id, None)
        return self.release_work(state)

    def release_work(self, state: DirectRequest) -> list[DirectCommand]:
        """Give back what the newest attempt holds on targets."""
        commands = self._reservations.release(state.inbound.request.id)
        ended = self._work.remove(state)
        return [*commands, UpdatePeers((), ended)] if ended else commands

    def _drop_live(self, state: DirectRequest) -> list[DirectCommand]:
        return [
            CancelAttempt(record.id) for record in state.attempts if is_live(record)
        ]
