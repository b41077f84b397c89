"""Priorities of requests."""

from .catalogue import Catalogue
from .request import Prompt, Request

# Sizes in tokens. Prompts up to each go before longer ones of their class.
LENGTH_BANDS = (8_192, 32_768, 131_072)
BAND_COUNT = len(LENGTH_BANDS) + 1


def request_priority(
    request: Request, catalogue: Catalogue, by_length: bool = True
) -> int:
    """Return a request's priority in queues and engines; lower goes first.

    The priority class decides first, the length of the prompt second.
    """
    priority = catalogue.classes[request.priority_class].priority * BAND_COUNT
    if not by_length or not isinstance(request.work, Prompt):
        return priority
    return priority + sum(request.work.tokens > limit for limit in LENGTH_BANDS)
