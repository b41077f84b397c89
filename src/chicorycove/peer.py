"""Carries messages between peers: small ones in datagrams, others by TCP."""

import asyncio
import contextlib
import dataclasses
import random
import time
import typing as t

from . import codec
from .agent_peer import AgentPeer
from .catalogue_message import (
    CatalogueCommand,
    CatalogueMessage,
    InstallState,
    ReportSpread,
)
from .change import Change, State
from .conversion import Address
from .dissemination import SPREAD_TIMEOUT, EntryPeer
from .log import LOGGER
from .membership import Member, Membership, Role, SendMessage
from .registry import Laggard, ProcessStatus, SpreadReport
from .settings import PeerSettings, Settings
from .stream import CONNECTION_ERRORS, MessageStream
from .utils import cancel_all
from .wire import peer_pb2 as pb

TICK = 0.1  # seconds
MAX_DATAGRAM = 1400  # bytes, to fit a frame; what is larger goes by TCP
CALL_TIMEOUT = 1.0  # seconds
MAX_MESSAGE = 16 * 1024 * 1024  # bytes
GRACE = 0.2  # seconds for messages at hand when the transport closes


class Transport(asyncio.DatagramProtocol):
    """Sends and receives messages on one address, by UDP and by TCP."""

    def __init__(self, receive: t.Callable[[CatalogueMessage], None]) -> None:
        self._receive = receive
        self._datagrams: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        self._readers: set[asyncio.Task] = set()
        self.address = ""

    async def start(self, address: Address) -> None:
        """Listen; port 0 picks one.

        :raises OSError: if the address cannot be listened on
        """
        self._server = await asyncio.start_server(
            self._serve, address.host, address.port
        )
        port = self._server.sockets[0].getsockname()[1]
        loop = asyncio.get_running_loop()
        self._datagrams, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(address.host, port)
        )
        self.address = f"{address.host}:{port}"

    def send(self, address: str, message: CatalogueMessage) -> None:
        """Send a message; it may be lost."""
        wire = codec.encode(message)
        octets = wire.SerializeToString()
        if len(octets) <= MAX_DATAGRAM:
            host, _, port = address.rpartition(":")
            self._datagrams.sendto(octets, (host, int(port)))
            return
        task = asyncio.create_task(self._call(address, wire))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """Stop listening and drop what is not yet sent."""
        if self._tasks:
            await asyncio.wait(list(self._tasks), timeout=GRACE)
        self._datagrams.close()
        self._server.close()
        await cancel_all(self._readers)

    def datagram_received(self, data: bytes, addr: t.Any) -> None:
        """Take a datagram in, unless it is malformed."""
        try:
            message = codec.decode(pb.PeerMessage.FromString(data))
        except Exception as error:  # whatever a stranger's octets lead to
            LOGGER.warning("malformed datagram from a peer: %s", error)
            return
        self._receive(message)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._readers.add(task)
        task.add_done_callback(self._readers.discard)
        stream = MessageStream(reader, writer, pb.PeerMessage, MAX_MESSAGE)
        with contextlib.suppress(*CONNECTION_ERRORS, asyncio.CancelledError):
            while True:
                self._receive(codec.decode(await stream.read()))
        stream.close()

    async def _call(self, address: str, wire: pb.PeerMessage) -> None:
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(CALL_TIMEOUT):
                reader, writer = await asyncio.open_connection(host, int(port))
                stream = MessageStream(reader, writer, pb.PeerMessage, MAX_MESSAGE)
                await stream.write(wire)
                stream.close()
                await writer.wait_closed()
        except (OSError, TimeoutError) as error:
            LOGGER.debug("message to peer %s lost: %r", address, error)


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """What a process says of itself."""

    name: str
    role: Role
    region: str
    failure_domain: str

    def member(self, address: str) -> Member:
        """Return the process as a member, in a new incarnation."""
        incarnation = time.time_ns() // 1_000_000
        return Member(
            self.name,
            address,
            self.role,
            self.region,
            self.failure_domain,
            incarnation,
        )


class _Node:
    """Runs the decisions of a peer."""

    def __init__(
        self,
        identity: Identity,
        settings: PeerSettings,
        install: t.Callable[[State, tuple[Change, ...]], t.Any],
    ) -> None:
        self._identity = identity
        self._settings = settings
        self._install = install
        self._transport = Transport(self._receive)
        self._peer: EntryPeer | AgentPeer | None = None
        self._ticker: asyncio.Task | None = None

    @property
    def address(self) -> str:
        """Return the address that peers reach this process at."""
        return self._transport.address

    @property
    def revision(self) -> int:
        """Return the revision in force here."""
        return self._peer.revision if self._peer is not None else 0

    async def start(self) -> None:
        """Listen, and make contact.

        :raises OSError: if the address cannot be listened on
        """
        await self._transport.start(self._settings.listen)
        self._peer = self._create_peer(self._identity.member(self.address))
        self._ticker = asyncio.create_task(self._tick())

    async def close(self) -> None:
        """Take leave of the peers and stop listening."""
        if self._ticker is None:
            return
        self._ticker.cancel()
        self._leave()
        await self._transport.close()

    def _create_peer(self, me: Member) -> EntryPeer | AgentPeer:
        raise NotImplementedError

    def _leave(self) -> None:
        raise NotImplementedError

    async def _tick(self) -> None:
        while True:
            self._carry_out(self._peer.tick(time.monotonic()))
            await asyncio.sleep(TICK)

    def _receive(self, message: CatalogueMessage) -> None:
        if self._peer is not None:
            self._carry_out(self._peer.receive(message, time.monotonic()))

    def _carry_out(self, commands: t.Iterable[CatalogueCommand]) -> None:
        for command in commands:
            match command:
                case SendMessage(address=address, message=message):
                    self._transport.send(address, message)
                case InstallState(state=state, changes=changes):
                    self._install(state, changes)
                case ReportSpread():
                    self._note_spread(command)

    def _note_spread(self, spread: ReportSpread) -> None:
        pass


class AgentNode(_Node):
    """An agent among its peers."""

    def _create_peer(self, me: Member) -> AgentPeer:
        return AgentPeer(me, _placeholders(self._settings.seeds), time.monotonic())

    def _leave(self) -> None:
        self._carry_out(self._peer.leave(time.monotonic()))


class EntryNode(_Node):
    """An entry among its peers; spreads what its registry accepts."""

    def __init__(self, *args: t.Any) -> None:
        super().__init__(*args)
        self._waiting: dict[int, asyncio.Future[ReportSpread]] = {}

    async def spread(self, change: Change, state: State) -> SpreadReport:
        """Push a change, and return when it is in force or time is up."""
        future = asyncio.get_running_loop().create_future()
        self._waiting[state.revision] = future
        now = time.monotonic()
        self._carry_out(self._peer.accepted((change,), state, now))
        try:
            spread = await asyncio.wait_for(future, SPREAD_TIMEOUT + 2 * TICK)
        except TimeoutError:
            spread = ReportSpread(state.revision, 1, ())
        laggards = tuple(
            Laggard(each.name, each.revision, each.cause) for each in spread.laggards
        )
        done = future.done() and not future.cancelled() and not laggards
        in_force_at = time.time() if done else None
        return SpreadReport(change.revision, spread.members, in_force_at, laggards)

    def status(self) -> tuple[ProcessStatus, ...]:
        """Return what is known of every entry and of the agents attached."""
        members = [
            *self._peer.membership.members.values(),
            *self._peer.agents.values(),
        ]
        return tuple(
            ProcessStatus(
                m.name,
                m.role.value,
                m.failure_domain,
                m.state.name.lower(),
                m.incarnation,
                m.revision,
            )
            for m in sorted(members, key=lambda m: (m.role.value, m.name))
        )

    def may_accept(self) -> bool:
        """Tell whether this entry may accept changes."""
        return self._peer.membership.in_majority(time.monotonic())

    def may_serve(self) -> bool:
        """Tell whether no accepted change can have passed this entry by."""
        return self._peer.membership.may_serve(time.monotonic())

    def watches(self) -> bool:
        """Tell whether this process is to watch the store."""
        return self._peer.membership.watches(time.monotonic())

    def store_read(self, changes: tuple[Change, ...], state: State) -> None:
        """Note that the store was read and what it holds."""
        now = time.monotonic()
        self._peer.membership.store_read(now)
        self._carry_out(self._peer.stored(changes, state, now))

    def _create_peer(self, me: Member) -> EntryPeer:
        seed = random.SystemRandom().getrandbits(64)
        seeds = tuple(s for s in self._settings.seeds if s != self.address)
        return EntryPeer(Membership(me, (), seed, time.monotonic(), seeds))

    def _leave(self) -> None:
        self._carry_out(self._peer.membership.leave(time.monotonic()))

    def _note_spread(self, spread: ReportSpread) -> None:
        future = self._waiting.pop(spread.revision, None)
        if future is not None and not future.done():
            future.set_result(spread)


def create_agent_node(settings: Settings) -> AgentNode | None:
    """Return the node of an agent, if its settings have it meet peers."""
    if settings.peer is None:
        return None
    identity = Identity(
        settings.name, Role.AGENT, settings.region, settings.failure_domain
    )
    return AgentNode(identity, settings.peer, _ignore)


def _ignore(state: State, changes: tuple[Change, ...]) -> None:
    """Let an agent's catalogue be: its entries decide by theirs."""


def _placeholders(addresses: t.Iterable[str]) -> tuple[Member, ...]:
    """Return members of which only the address is known."""
    return tuple(Member(a, a, Role.ENTRY, "", "") for a in addresses)
