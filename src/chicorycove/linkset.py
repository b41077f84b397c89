"""The links of an entry, kept up to date with hosts and catalogue."""

import asyncio
import dataclasses

from .board import EntryBoard, TargetState
from .clock import Clock
from .conversion import Address
from .host import Host, HostState
from .identity import AgentId
from .link import Link, Receiver
from .settings import EntrySettings
from .subset import choose_hosts
from .utils import Tasks
from .wire import link_pb2 as wire

SEAL_LINK_TIME = 60.0  # seconds that a link opened for a seal is kept


@dataclasses.dataclass(frozen=True, slots=True)
class LinkOwner:
    """An entry as the owner of links."""

    name: str
    owner_id: str  # name of the entry's incarnation


class LinkSet:
    """Keeps links to a subset of the targets, and that subset on the board."""

    def __init__(
        self,
        owner: LinkOwner,
        settings: EntrySettings,
        board: EntryBoard,
        clock: Clock,
        receiver: Receiver,
        tasks: Tasks,
    ) -> None:
        self._owner = owner
        self._settings = settings
        self._board = board
        self._clock = clock
        self._receiver = receiver
        self._tasks = tasks
        self._links: dict[str, Link] = {}
        self._hosts: tuple[Host, ...] = ()
        self._seal_link_ends: dict[str, float] = (
            {}
        )  # when a link opened for a seal may close
        self._closing: set[str] = set()  # targets that still run work of this entry

    @property
    def hosts(self) -> tuple[Host, ...]:
        """Return the hosts of the newest host list."""
        return self._hosts

    def send(self, agent: AgentId, frame: wire.EntryFrame) -> bool:
        """Queue a frame; return False if no link to the agent is up."""
        link = self._links.get(agent.target)
        return link is not None and link.send(frame)

    def open_for_seal(self, target: str) -> None:
        """Keep a link for a limited time to a target outside the subset."""
        self._seal_link_ends[target] = self._clock.now() + SEAL_LINK_TIME
        self.update()

    def set_hosts(self, hosts: tuple[Host, ...]) -> None:
        """Update the links for a host list."""
        if hosts != self._hosts or self._seal_link_ends or self._closing:
            self._hosts = hosts
            self.update()

    def update(self) -> None:
        """Open and close links as the hosts and the catalogue require."""
        count = self._settings.links_per_service
        desired = choose_hosts(
            self._owner.name, self._hosts, self._board.catalogue, count
        )
        now = self._clock.now()
        self._seal_link_ends = {
            name: end for name, end in self._seal_link_ends.items() if end > now
        }
        self._closing.clear()
        for name in set(self._links) - set(desired) - set(self._seal_link_ends):
            self._close_link(name)
        for name, host in desired.items():
            self._update_target(name, host)
            self._open_link(host)
        for host in self._hosts:
            if host.name in self._seal_link_ends:
                self._open_link(host)

    async def close(self) -> None:
        """Close all links."""
        await asyncio.gather(*(link.close() for link in self._links.values()))

    def _update_target(self, name: str, host: Host) -> None:
        if name in self._board.targets:
            self._board.targets[name].host = host
        else:
            self._board.targets[name] = TargetState(host)

    def _open_link(self, host: Host) -> None:
        link = self._links.get(host.name)
        if link is not None and link.address == host.agent:
            return
        if link is not None:
            self._tasks.spawn(link.close())
        self._links[host.name] = Link(
            Address(host.agent),
            self._owner.owner_id,
            self._settings.heartbeat,
            self._receiver,
        )

    def _close_link(self, name: str) -> None:
        """Close a link, or drain its target first if it has work."""
        target = self._board.targets.get(name)
        if target is not None and target.outstanding:
            target.host = dataclasses.replace(target.host, state=HostState.LEAVING)
            self._closing.add(name)
            return
        self._board.targets.pop(name, None)
        self._tasks.spawn(self._links.pop(name).close())
