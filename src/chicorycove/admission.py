"""How urgent a request is, and whether it can be answered in time."""

import dataclasses
import typing as t

from .board import TargetState
from .catalogue import Catalogue
from .request import Prompt, Request
from .routing import pending_tokens

# Prompts up to these sizes, in tokens, go before longer ones of their class.
LENGTH_BANDS = (8_192, 32_768, 131_072)
BANDS = len(LENGTH_BANDS) + 1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AdmissionSettings:
    """How an entry judges a deadline; 0 as a rate means that none is known."""

    rate_weight: float = 0.05  # of a new observation
    safety: float = 0.8  # share of the time left that the estimate may fill


@dataclasses.dataclass(frozen=True, slots=True)
class Infeasible:
    """A request that cannot be answered in time; retry_after is in seconds."""

    retry_after: float


class Admission:
    """Judges by the rate at which first tokens come."""

    def __init__(self, settings: AdmissionSettings) -> None:
        self._settings = settings
        self._rate = 0.0  # prompt tokens a second of one engine

    def observe(self, tokens: int, seconds: float) -> None:
        """Learn from a prompt that waited for nothing else."""
        if tokens <= 0 or seconds <= 0:
            return
        rate = tokens / seconds
        if not self._rate:
            self._rate = rate
        self._rate += self._settings.rate_weight * (rate - self._rate)

    def decide(
        self, request: Request, targets: t.Iterable[TargetState], now: float
    ) -> Infeasible | None:
        """Return why a request is to be refused at once, if it is.

        :param targets: those that may answer; a few of many are enough
        """
        if not self._rate or not isinstance(request.work, Prompt):
            return None
        left = (request.deadline - now) * self._settings.safety
        least = min((pending_tokens(x) for x in targets), default=0)
        own = request.work.tokens / self._rate
        if own > left:
            return Infeasible(0.0)
        return None if least / self._rate + own <= left else self._later(least)

    def _later(self, tokens: int) -> Infeasible:
        return Infeasible(max(1.0, tokens / self._rate / 2))


def urgency(request: Request, catalogue: Catalogue) -> int:
    """Return a request's place in queues and engines; lower goes first.

    Classes go first; within a class short prompts go before long ones.
    """
    priority = catalogue.classes[request.priority_class].priority * BANDS
    if not isinstance(request.work, Prompt):
        return priority
    return priority + sum(request.work.tokens > band for band in LENGTH_BANDS)
