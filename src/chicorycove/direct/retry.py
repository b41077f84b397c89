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

    def is_too_late(self, state: DirectRequest, now: float) -> bool:
        """Tell whether too little time is left to send anything."""
        return now + self._min_send_time >= state.inbound.request.deadline

    def may_retry(self, state: DirectRequest, now: float) -> bool:
        """Tell whether what may have run is to be sent once more."""
        route = state.inbound.route
        if not route.repeatable or state.runs >= route.max_attempts:
            return False
        if self.is_too_late(state, now):
            return False
        service = state.inbound.service
        return self._budget.available(service, self._board.entry_count, now) >= 1

    def consume(self, state: DirectRequest, now: float) -> bool:
        """Use a repeat up, if this is one; False if none is left."""
        if not state.sends:
            return True
        return self._budget.consume(state.inbound.service, self._board.entry_count, now)
