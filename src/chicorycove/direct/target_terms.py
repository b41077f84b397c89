"""What incarnations of targets say of the requests that they take."""

import dataclasses
import math

from ..identity import AgentId

MAX_UNLISTED_TERMS = 1024  # incarnations; the oldest are dropped


@dataclasses.dataclass(slots=True)
class RateLimit:
    """The request rate that a target takes, and a token bucket for it."""

    rate: float  # requests per second from all entries; infinite once it ended
    named_at: float  # time of the answer that named it, in seconds
    balance: float = 1.0  # requests that may be sent now; negative after an excess
    refilled_at: float = 0.0


@dataclasses.dataclass(slots=True)
class TargetTerms:
    """What one incarnation of a target has said; times are in seconds."""

    rate_limit: RateLimit | None = None  # None if it never named one
    # Time until which it asked this entry, or a peer, to send nothing.
    backoff_until: float = 0.0
    peer_backoff_until: float = 0.0
    backoff_began_at: float = 0.0
    backoff_calls: int = 0  # orders and probes sent since then
    # Whether it said that it leaves, to any entry or to this one.
    leaving_announced: bool = False
    leaving_announced_here: bool = False

    @property
    def names_rate_limit(self) -> bool:
        """Return whether the target asks for a limited rate of requests."""
        return self.rate_limit is not None and self.rate_limit.rate < math.inf


class UnlistedTerms:
    """Keeps the terms of incarnations that the platform does not list.

    A target may be listed again without having been restarted, so its terms
    must outlast its listing.
    """

    def __init__(self, capacity: int = MAX_UNLISTED_TERMS) -> None:
        self._capacity = capacity
        self._terms: dict[AgentId, TargetTerms] = {}

    def keep(self, agent: AgentId, terms: TargetTerms) -> None:
        """Keep terms, unless the incarnation has said nothing."""
        self._terms.pop(agent, None)
        if terms == TargetTerms():
            return
        self._terms[agent] = terms
        if len(self._terms) > self._capacity:
            del self._terms[next(iter(self._terms))]

    def find(self, agent: AgentId) -> TargetTerms:
        """Return an incarnation's terms, empty ones if none are kept."""
        return self._terms.get(agent) or TargetTerms()

    def take(self, agent: AgentId) -> TargetTerms:
        """Remove and return the terms of an incarnation that is listed."""
        return self._terms.pop(agent, None) or TargetTerms()
