"""The board of an entry: the state that its decisions read and write."""

import dataclasses

from .attempt import AttemptState
from .catalogue import Catalogue
from .event import TargetLoad
from .host import Host, HostState
from .identity import AgentId, AttemptId
from .request import Request
from .timers import Timers


@dataclasses.dataclass(slots=True)
class TargetState:
    """An entry's record of a target; times are in seconds."""

    host: Host
    agent: AgentId | None = None
    load: TargetLoad = TargetLoad()
    load_received_at: float = 0.0
    # Tokens of work sent to the target, by attempt that has not ended.
    outstanding: dict[AttemptId, int] = dataclasses.field(default_factory=dict)
    # Prompt tokens sent to the target and not yet prefilled, by attempt.
    prefill: dict[AttemptId, int] = dataclasses.field(default_factory=dict)
    ejected_until: float = 0.0

    @property
    def leaving(self) -> bool:
        """Return whether the target must get no new work."""
        return self.host.state is HostState.LEAVING or self.load.leaving

    @property
    def available(self) -> bool:
        """Return whether the target is attached and not leaving."""
        return self.agent is not None and not self.leaving

    @property
    def memory_free(self) -> int:
        """Return the estimated free engine memory, in tokens.

        The work that this entry has sent may not be in the last report.
        """
        reported = self.load.memory_total - self.load.memory_free
        return self.load.memory_total - max(reported, self.outstanding_tokens)

    @property
    def outstanding_tokens(self) -> int:
        """Return the tokens of work that this entry has outstanding."""
        return sum(self.outstanding.values())


@dataclasses.dataclass(slots=True)
class RequestState:
    """The state of an admitted request."""

    request: Request
    attempts: list[AttemptState] = dataclasses.field(default_factory=list)
    relayed_bytes: int = 0  # of the answer, to the caller
    may_have_run: bool = False
    tried_targets: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class EntryBoard:
    """The state of an entry."""

    catalogue: Catalogue = Catalogue()
    targets: dict[str, TargetState] = dataclasses.field(default_factory=dict)
    requests: dict[str, RequestState] = dataclasses.field(default_factory=dict)
    attempts: dict[AttemptId, AttemptState] = dataclasses.field(default_factory=dict)
    timers: Timers = dataclasses.field(default_factory=Timers)
    stopping: bool = False
