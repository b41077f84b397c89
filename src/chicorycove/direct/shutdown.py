"""What an entry that is told to stop still takes."""

from ..request import Prompt
from .board import DirectBoard, InboundRequest
from .settings import DirectSettings


class ShutdownPolicy:
    """Takes what can be finished before the process ends; times in seconds.

    Where no other entry is near, callers keep coming until the end.
    """

    def __init__(self, board: DirectBoard, settings: DirectSettings) -> None:
        self._board = board
        self._settings = settings

    def accepts(self, inbound: InboundRequest, now: float) -> bool:
        """Tell whether a request that has come now is to be served."""
        stopping_at = self._board.stopping_at
        if stopping_at is None or now < stopping_at + self._settings.stop_accept_time:
            return True
        end = stopping_at + self._settings.stop_finish_time
        return now + self._longest(inbound) <= end

    def _longest(self, inbound: InboundRequest) -> float:
        """Return how long an answer may take, at a target that is full."""
        route = inbound.route
        work = inbound.request.work
        service = self._board.service(inbound.service)
        engine = service.engine if service is not None else None
        if not isinstance(work, Prompt) or engine is None:
            return route.timeout
        each = engine.writers_time(engine.slots, work.memory)
        writing = (
            engine.events(work.max_tokens) * each * self._settings.stop_duration_factor
        )
        return min(route.objective + writing, route.timeout)
