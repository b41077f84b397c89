"""What incarnations of targets say of the requests that they take."""

import collections
import dataclasses
import math

from ..identity import AgentId

MAX_UNLISTED_TERMS = 1024  # incarnations; the oldest are dropped


@dataclasses.dataclass(slots=True)
class RateLimit:
    """The request rate that a target names, and a token bucket.

    The bucket is used for a cold target also if the target names no rate.
    """

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
    # Time until which it is cold, as listings or answers to any entry say, and
    # as an answer to this entry said.
    cold_until: float = -math.inf
    cold_announced_until: float = -math.inf
    presumed_cold_at: float = -math.inf  # since then, for its service's time
    cold: bool = False  # as last recorded; it may have ended since
    # Times of this entry's latest requests, if its service has cold starts.
    own_placements: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )

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
