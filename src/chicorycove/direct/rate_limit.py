"""Records the request rates that targets ask for in their answers."""

import math

from .board import DirectBoard
from .command import DirectCommand, LogChange
from .event import TargetAnswer


class TargetRateLimits:
    """Keeps each target's rate limit on the board."""

    def __init__(self, board: DirectBoard) -> None:
        self._board = board

    def record_answer(self, target: str, answer: TargetAnswer) -> list[DirectCommand]:
        """Record the limit that an answer names, or that it names none."""
        commands: list[DirectCommand] = [
            LogChange("answer header ignored", target, header)
            for header in answer.invalid_headers
        ]
        view = self._board.targets.get(target)
        if view is None or answer.wrong_instance or answer.invalid_headers:
            return commands
        rate = math.inf if answer.rate_limit is None else answer.rate_limit
        if rate == view.rate_limit:
            return commands
        view.rate_limit = rate
        detail = "none" if rate == math.inf else f"{rate:g} requests/s"
        return [*commands, LogChange("target limit changed", target, detail)]
