"""Decides which requests a stopping entry still accepts."""

from ..request import Prompt
from .board import DirectBoard, InboundRequest
from .settings import DirectSettings


class ShutdownPolicy:
    """Accepts what can finish before the process ends; times in seconds.

    If there is no other entry nearby, callers send requests until the end.
    """

    def __init__(self, board: DirectBoard, settings: DirectSettings) -> None:
        self._board = board
        self._settings = settings

    def accepts(self, inbound: InboundRequest, now: float) -> bool:
        """Return whether a request that is received now is to be served."""
        stopping_at = self._board.stopping_at
        if stopping_at is None or now < stopping_at + self._settings.stop_accept_time:
            return True
        finish_by = stopping_at + self._settings.stop_finish_time
        return now + self._max_answer_time(inbound) <= finish_by

    def _max_answer_time(self, inbound: InboundRequest) -> float:
        """Return how long an answer may take on a fully occupied target."""
        route = inbound.route
        work = inbound.request.work
        service = self._board.find_service(inbound.service)
        engine = service.engine if service is not None else None
        if not isinstance(work, Prompt) or engine is None:
            return route.timeout
        pass_time = engine.batch_pass_time(engine.slots, work.memory)
        decode_time = (
            engine.event_count(work.max_tokens)
            * pass_time
            * self._settings.stop_duration_factor
        )
        return min(route.objective + decode_time, route.timeout)
