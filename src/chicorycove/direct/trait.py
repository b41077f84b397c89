"""Traits: what requests that crash their targets may have in common.

A trait is a part that prompts share, or the fingerprint of one request.
"""

from ..request import Prompt
from .board import InboundRequest

Traits = frozenset[str]

FINGERPRINT_PREFIX = "request:"  # not the beginning of any part: no part has a colon


def is_fingerprint(trait: str) -> bool:
    """Return whether a trait belongs to the repeats of one request only."""
    return trait.startswith(FINGERPRINT_PREFIX)


def get_fingerprint_trait(inbound: InboundRequest) -> Traits:
    """Return the trait that only repeats of a request share, if known."""
    if not inbound.fingerprint:
        return frozenset()
    return frozenset((FINGERPRINT_PREFIX + inbound.fingerprint,))


def get_traits(inbound: InboundRequest) -> Traits:
    """Return all traits of a request."""
    work = inbound.request.work
    parts = work.shared_parts if isinstance(work, Prompt) else ()
    return get_fingerprint_trait(inbound).union(parts)
