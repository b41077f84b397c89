"""The blackboards: state that the decisions of a role read and write."""

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
    """What an entry knows of one target; times are in seconds."""

    host: Host
    agent: AgentId | None = None
    load: TargetLoad = TargetLoad()
    load_received_at: float = 0.0
    outstanding: dict[AttemptId, int] = dataclasses.field(default_factory=dict)
    prefill: dict[AttemptId, int] = dataclasses.field(default_factory=dict)
    ejected_until: float = 0.0

    @property
    def leaving(self) -> bool:
        """Tell whether the target is to get no new work."""
        return self.host.state is HostState.LEAVING or self.load.leaving

    @property
    def available(self) -> bool:
        """Tell whether the target could get new work."""
        return self.agent is not None and not self.leaving

    @property
    def memory_free(self) -> int:
        """Return the engine memory thought free, in tokens."""
        reported = self.load.memory_total - self.load.memory_free
        return self.load.memory_total - max(reported, self.outstanding_tokens)

    @property
    def outstanding_tokens(self) -> int:
        """Return the tokens that this entry has sent and not seen end."""
        return sum(self.outstanding.values())


@dataclasses.dataclass(slots=True)
class RequestState:
    """One admitted request; relayed counts bytes passed to the caller."""

    request: Request
    attempts: list[AttemptState] = dataclasses.field(default_factory=list)
    relayed_bytes: int = 0
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
