"""What processes tell one another of revisions of the catalogue."""

import dataclasses
import enum

from .change import Change, State
from .membership import Member, Probe, SendMessage

frozen = dataclasses.dataclass(frozen=True, slots=True)


class PushScope(enum.Enum):
    """Whom the receiver of a push passes it on to."""

    DOMAIN = 0  # the entries of its failure domain and its own agents
    AGENTS = 1  # its own agents
    NONE = 2


@frozen
class CataloguePush:
    """Changes, oldest first, or the whole where they do not suffice."""

    sender: Member
    revision: int
    scope: PushScope
    changes: tuple[Change, ...] = ()
    state: State | None = None


@frozen
class CataloguePull:
    """Ask for everything newer than a revision."""

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
    """How many processes are at a revision, as far as a push's scope went."""

    sender: Member
    revision: int
    scope: PushScope
    members: int
    laggards: tuple[LaggingProcess, ...] = ()


@frozen
class AgentHeartbeat:
    """An agent is alive, attached and at a revision; or leaves."""

    sender: Member


@frozen
class EntryRoster:
    """An entry answers a heartbeat, and names entries to go to."""

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
    """A revision has spread as far as it did by now."""

    revision: int
    members: int
    laggards: tuple[LaggingProcess, ...]


CatalogueCommand = SendMessage | InstallState | ReportSpread
