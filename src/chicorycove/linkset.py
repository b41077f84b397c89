"""The links of an entry, kept in line with hosts and catalogue."""

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

SEAL_LINK_TIME = 60.0  # seconds


@dataclasses.dataclass(frozen=True, slots=True)
class LinkOwner:
    """Who the links belong to: a name that lasts, and one of this life."""

    name: str
    owner: str


class LinkSet:
    """Keeps links to some targets, and the board's targets with them."""

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
        self._sealing: dict[str, float] = {}  # until when a link is kept
        self._ending: set[str] = set()  # targets that still have work of ours

    @property
    def hosts(self) -> tuple[Host, ...]:
        """Return the hosts that the host list showed last."""
        return self._hosts

    def send(self, agent: AgentId, frame: wire.EntryFrame) -> bool:
        """Queue a frame; tell whether there is a link to take it."""
        link = self._links.get(agent.target)
        return link is not None and link.send(frame)

    def open_for_seal(self, target: str) -> None:
        """Keep a link for a while to a target that gets no work from here."""
        self._sealing[target] = self._clock.now() + SEAL_LINK_TIME
        self.update()

    def set_hosts(self, hosts: tuple[Host, ...]) -> None:
        """Take in the host list."""
        if hosts != self._hosts or self._sealing or self._ending:
            self._hosts = hosts
            self.update()

    def update(self) -> None:
        """Open and close links as hosts and catalogue ask for."""
        count = self._settings.links_per_service
        wanted = choose_hosts(
            self._owner.name, self._hosts, self._board.catalogue, count
        )
        now = self._clock.now()
        self._sealing = {k: v for k, v in self._sealing.items() if v > now}
        self._ending.clear()
        for name in set(self._links) - set(wanted) - set(self._sealing):
            self._end(name)
        for name, host in wanted.items():
            self._show(name, host)
            self._open(host)
        for host in self._hosts:
            if host.name in self._sealing:
                self._open(host)

    async def close(self) -> None:
        """Drop all links."""
        await asyncio.gather(*(link.close() for link in self._links.values()))

    def _show(self, name: str, host: Host) -> None:
        if name in self._board.targets:
            self._board.targets[name].host = host
        else:
            self._board.targets[name] = TargetState(host)

    def _open(self, host: Host) -> None:
        link = self._links.get(host.name)
        if link is not None and link.address == host.agent:
            return
        if link is not None:
            self._tasks.spawn(link.close())
        self._links[host.name] = Link(
            Address(host.agent),
            self._owner.owner,
            self._settings.heartbeat,
            self._receiver,
        )

    def _end(self, name: str) -> None:
        """Close a link, or give its target no new work while it has some."""
        target = self._board.targets.get(name)
        if target is not None and target.outstanding:
            target.host = dataclasses.replace(target.host, state=HostState.LEAVING)
            self._ending.add(name)
            return
        self._board.targets.pop(name, None)
        self._tasks.spawn(self._links.pop(name).close())
