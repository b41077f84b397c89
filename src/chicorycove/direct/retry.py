"""Decides whether a request may be sent again."""

from .board import DirectBoard, DirectRequest
from .budget import SharedRetryBudget
from .settings import DirectSettings


class DirectRetryPolicy:
    """Limits retries by route, deadline and budget; times are in seconds."""

    def __init__(self, board: DirectBoard, settings: DirectSettings) -> None:
        self._board = board
        self._min_send_time = settings.min_send_time
        self._budget = SharedRetryBudget(settings.budget)

    def count_request(self, service: str, now: float) -> None:
        """Count a caller's request, which adds to the retry budget."""
        self._budget.count_request(service, now)

    def is_too_late(self, request: DirectRequest, now: float) -> bool:
        """Return whether too little time is left to send a request."""
        return now + self._min_send_time >= request.inbound.request.deadline

    def may_retry(self, request: DirectRequest, now: float) -> bool:
        """Return whether a request that may have run can be sent again."""
        route = request.inbound.route
        if not route.repeatable or request.run_count >= route.max_attempts:
            return False
        if self.is_too_late(request, now):
            return False
        service = request.inbound.service
        return self._budget.available(service, self._board.entry_count, now) >= 1

    def consume(self, request: DirectRequest, now: float) -> bool:
        """Consume a retry if this is one; return False if none is left."""
        if not request.sent_count:
            return True
        return self._budget.consume(
            request.inbound.service, self._board.entry_count, now
        )
