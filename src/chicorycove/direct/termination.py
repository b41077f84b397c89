"""Ends requests before they are answered in full."""

from ..reason import Reason
from .board import DirectBoard
from .command import DirectCommand
from .completion import RequestCompletion
from .quarantine import RequestQuarantine
from .settings import DirectSettings


class RequestTermination:
    """Ends requests for a cause other than a failure of their target."""

    def __init__(
        self,
        board: DirectBoard,
        settings: DirectSettings,
        quarantine: RequestQuarantine,
        completion: RequestCompletion,
    ) -> None:
        self._board = board
        self._settings = settings
        self._quarantine = quarantine
        self._completion = completion

    def disconnect(self, request_id: str) -> list[DirectCommand]:
        """Cancel the request of a caller that has disconnected."""
        request = self._board.requests.get(request_id)
        if request is None:
            return []
        return self._completion.cancel(request)

    def expire(self, request_id: str) -> list[DirectCommand]:
        """Fail a request at its deadline."""
        request = self._board.requests.get(request_id)
        if request is None:
            return []
        return self._completion.fail(request, Reason.DEADLINE_EXCEEDED, None)

    def end_fullest(self, request_id: str, answerable: bool) -> list[DirectCommand]:
        """End the request for whose caller most is held.

        Its target has not failed: the caller or another target is slow.
        """
        request = self._board.requests.get(request_id)
        if request is None:
            return []
        if not answerable:
            return self._completion.abort(request, Reason.BUFFERS_FULL)
        retry_after = None
        if not request.may_have_run:
            retry_after = self._settings.caller_buffers.retry_after
        return self._completion.fail(request, Reason.BUFFERS_FULL, retry_after)

    def refuse_quarantined(self) -> list[DirectCommand]:
        """Refuse requests before their targets begin to answer them."""
        commands: list[DirectCommand] = []
        retry_after = self._settings.quarantine.first_trial_delay
        for request in self._quarantine.find_refused():
            commands += self._completion.fail(
                request, Reason.REQUEST_QUARANTINED, retry_after
            )
        return commands

    def fail_unfinished(self) -> list[DirectCommand]:
        """Fail all requests because the process stops."""
        commands: list[DirectCommand] = []
        for request in list(self._board.requests.values()):
            retry_after = None if request.may_have_run else 0.0
            commands += self._completion.fail(request, Reason.STOPPING, retry_after)
        return commands
