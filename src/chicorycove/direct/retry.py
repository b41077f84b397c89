"""Whether a request may be sent to a target once more."""

from .board import DirectBoard, DirectRequest
from .budget import SharedRetryBudget
from .settings import DirectSettings


class DirectRetryPolicy:
    """Judges repeats by route, time and budget; times are in seconds."""

    def __init__(self, board: DirectBoard, settings: DirectSettings) -> None:
        self._board = board
        self._min_send_time = settings.min_send_time
        self._budget = SharedRetryBudget(settings.budget)

    def count_request(self, service: str, now: float) -> None:
        """Count a caller's request, which the budget grows by."""
        self._budget.count_request(service, now)

    def is_too_late(self, request: DirectRequest, now: float) -> bool:
        """Tell whether too little time is left to send anything."""
        return now + self._min_send_time >= request.inbound.request.deadline

    def may_retry(self, request: DirectRequest, now: float) -> bool:
        """Tell whether what may have run is to be sent once more."""
        route = request.inbound.route
        if not route.repeatable or request.run_count >= route.max_attempts:
            return False
        if self.is_too_late(request, now):
            return False
        service = request.inbound.service
        return self._budget.available(service, self._board.entry_count, now) >= 1

    def consume(self, request: DirectRequest, now: float) -> bool:
        """Use a repeat up, if this is one; False if none is left."""
        if not request.sent_count:
            return True
        return self._budget.consume(
            request.inbound.service, self._board.entry_count, now
        )
