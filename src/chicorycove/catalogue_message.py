"""Messages and commands that spread revisions of the catalogue."""

import dataclasses
import enum

from .change import Change, State
from .membership import Member, Probe, SendMessage

frozen = dataclasses.dataclass(frozen=True, slots=True)


class PushScope(enum.Enum):
    """The processes to which the receiver of a push forwards it."""

    DOMAIN = 0  # the entries of its failure domain and its own agents
    AGENTS = 1  # its own agents
    NONE = 2


@frozen
class CataloguePush:
    """Newer changes, oldest first, or the state if changes are missing."""

    sender: Member
    revision: int
    scope: PushScope
    changes: tuple[Change, ...] = ()
    state: State | None = None


@frozen
class CataloguePull:
    """A request for everything newer than the sender's revision."""

    sender: Member
    have: int


@frozen
class LaggingProcess:
    """A process that has not applied a revision in time."""

    name: str
    revision: int
    cause: str


@frozen
class RevisionApplied:
    """The number of processes within a push's scope that are at a revision."""

    sender: Member
    revision: int
    scope: PushScope
    members: int
    laggards: tuple[LaggingProcess, ...] = ()


@frozen
class AgentHeartbeat:
    """A heartbeat of an attached agent, or the notice that it leaves."""

    sender: Member


@frozen
class EntryRoster:
    """An entry's answer to a heartbeat, with entries to fail over to."""

    sender: Member
    entries: tuple[Member, ...]


CatalogueMessage = (
    Probe
    | CataloguePush
    | CataloguePull
    | RevisionApplied
    | AgentHeartbeat
    | EntryRoster
)


@frozen
class InstallState:
    """Put a state in force in this process."""

    state: State
    changes: tuple[Change, ...]


@frozen
class ReportSpread:
    """Report to this process how far a revision has spread."""

    revision: int
    members: int
    laggards: tuple[LaggingProcess, ...]


CatalogueCommand = SendMessage | InstallState | ReportSpread
