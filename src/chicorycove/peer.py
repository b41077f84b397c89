"""Connects a process with its peers by UDP and, for large messages, TCP."""

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
    CataloguePush,
    InstallState,
    PushScope,
    ReportSpread,
)
from .change import Change, State
from .clock import monotonic_time
from .conversion import Address
from .dissemination import SPREAD_TIMEOUT, EntryPeer
from .log import LOGGER, log_failure
from .membership import Member, Membership, Role, SendMessage
from .registry import Laggard, ProcessStatus, SpreadReport
from .settings import PeerSettings, Settings
from .stream import CONNECTION_ERRORS, MessageStream
from .utils import cancel_all
from .wire import peer_pb2 as pb

TICK_PERIOD = 0.1  # seconds between ticks of the peer
MAX_DATAGRAM_SIZE = 1400  # bytes, to fit an Ethernet frame; larger messages go by TCP
# Seconds to connect by TCP, and in which the next part of a message is sent.
MAX_SILENCE = 1.0
MAX_MESSAGE_SIZE = 16 * 1024 * 1024  # bytes
CLOSE_GRACE_TIME = 0.2  # seconds to finish sending when the transport closes


_Kind = tuple[type[CatalogueMessage], PushScope | None]


def _find_kind(message: CatalogueMessage) -> _Kind:
    """Return what a message shares with those that it supersedes.

    A push without a scope takes no place of one that is to be spread further.
    """
    scope = message.scope if isinstance(message, CataloguePush) else None
    return type(message), scope


class _LargeMessages:
    """The messages of one kind that are sent to one address by TCP.

    One is sent at a time, so that copies do not share a thin link, and only
    the newest one waits.
    """

    def __init__(self, first: pb.PeerMessage) -> None:
        self._sending: pb.PeerMessage | None = None
        self._next: pb.PeerMessage | None = first

    def add(self, message: pb.PeerMessage) -> None:
        """Let a message be sent next, unless the same one is being sent."""
        if message != self._sending:
            self._next = message

    def take(self) -> pb.PeerMessage | None:
        """Return the message to send now, if there is one."""
        self._sending, self._next = self._next, None
        return self._sending


class Transport(asyncio.DatagramProtocol):
    """Sends and receives messages by UDP and TCP on one address."""

    def __init__(self, receive: t.Callable[[CatalogueMessage], None]) -> None:
        self._receive = receive
        self._datagrams: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None
        # By the address and the kind of message.
        self._large: dict[tuple[str, _Kind], _LargeMessages] = {}
        self._send_tasks: set[asyncio.Task] = set()
        self._reader_tasks: set[asyncio.Task] = set()
        self.address = ""

    async def start(self, address: Address) -> None:
        """Listen; port 0 picks a free port.

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
        """Send a message, without a guarantee of delivery."""
        wire = codec.encode(message)
        data = wire.SerializeToString()
        if len(data) <= MAX_DATAGRAM_SIZE:
            host, _, port = address.rpartition(":")
            self._datagrams.sendto(data, (host, int(port)))
            return
        key = (address, _find_kind(message))
        if key in self._large:
            self._large[key].add(wire)
            return
        self._large[key] = _LargeMessages(wire)
        task = asyncio.create_task(self._send_large(key))
        self._send_tasks.add(task)
        task.add_done_callback(self._send_tasks.discard)

    async def close(self) -> None:
        """Stop listening, and drop messages not sent within a grace time."""
        if self._send_tasks:
            await asyncio.wait(list(self._send_tasks), timeout=CLOSE_GRACE_TIME)
        self._datagrams.close()
        self._server.close()
        await cancel_all(self._reader_tasks)

    def datagram_received(self, data: bytes, addr: t.Any) -> None:
        """Handle a datagram, or drop it if it is malformed."""
        try:
            message = codec.decode(pb.PeerMessage.FromString(data))
        except Exception as error:  # any sender may send any bytes
            LOGGER.warning("malformed datagram from a peer: %s", error)
            return
        with log_failure("datagram from a peer dropped"):
            self._receive(message)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._reader_tasks.add(task)
        task.add_done_callback(self._reader_tasks.discard)
        stream = MessageStream(reader, writer, pb.PeerMessage, MAX_MESSAGE_SIZE)
        with contextlib.suppress(*CONNECTION_ERRORS, asyncio.CancelledError):
            while True:
                message = await stream.read()
                try:
                    self._receive(codec.decode(message))
                except Exception as error:  # any sender may send any bytes
                    LOGGER.warning("malformed message from a peer: %s", error)
                    break
        stream.close()

    async def _send_large(self, key: tuple[str, _Kind]) -> None:
        address, _ = key
        try:
            while (wire := self._large[key].take()) is not None:
                try:
                    await self._send_by_tcp(address, wire)
                except (OSError, TimeoutError) as error:
                    LOGGER.debug("message to peer %s lost: %r", address, error)
        finally:
            del self._large[key]

    async def _send_by_tcp(self, address: str, wire: pb.PeerMessage) -> None:
        """Send a message, as long as its parts leave this host.

        :raises OSError: if the connection fails
        :raises TimeoutError: if it carries nothing for ``MAX_SILENCE``
        """
        host, _, port = address.rpartition(":")
        async with asyncio.timeout(MAX_SILENCE):
            reader, writer = await asyncio.open_connection(host, int(port))
        stream = MessageStream(reader, writer, pb.PeerMessage, MAX_MESSAGE_SIZE)
        try:
            await stream.write_parts(wire, MAX_SILENCE)
            stream.close()
            async with asyncio.timeout(MAX_SILENCE):
                await writer.wait_closed()
        finally:
            writer.transport.abort()


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """The name, role and location of a process."""

    name: str
    role: Role
    region: str
    failure_domain: str

    def create_member(self, address: str) -> Member:
        """Return the process as a member with a new incarnation."""
        incarnation = time.time_ns() // 1_000_000
        return Member(
            self.name,
            address,
            self.role,
            self.region,
            self.failure_domain,
            incarnation,
        )


class _PeerNode:
    """Runs a peer on a clock and a transport, and carries out its commands."""

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
        self._tick_task: asyncio.Task | None = None

    @property
    def address(self) -> str:
        """Return the address at which peers reach this process."""
        return self._transport.address

    @property
    def revision(self) -> int:
        """Return the revision in force in this process."""
        return self._peer.revision if self._peer is not None else 0

    async def start(self) -> None:
        """Listen, and start to contact peers.

        :raises OSError: if the address cannot be listened on
        """
        await self._transport.start(self._settings.listen)
        self._peer = self._create_peer(self._identity.create_member(self.address))
        self._tick_task = asyncio.create_task(self._run_ticks())

    async def close(self) -> None:
        """Notify peers that this process leaves, and stop listening."""
        if self._tick_task is None:
            return
        self._tick_task.cancel()
        self._leave()
        await self._transport.close()

    def _create_peer(self, local_member: Member) -> EntryPeer | AgentPeer:
        raise NotImplementedError

    def _leave(self) -> None:
        raise NotImplementedError

    async def _run_ticks(self) -> None:
        while True:
            with log_failure("tick of the peer failed"):
                self._carry_out(self._peer.tick(monotonic_time()))
            await asyncio.sleep(TICK_PERIOD)

    def _receive(self, message: CatalogueMessage) -> None:
        if self._peer is not None:
            self._carry_out(self._peer.receive(message, monotonic_time()))

    def _carry_out(self, commands: t.Iterable[CatalogueCommand]) -> None:
        for command in commands:
            match command:
                case SendMessage(address=address, message=message):
                    self._transport.send(address, message)
                case InstallState(state=state, changes=changes):
                    self._install(state, changes)
                case ReportSpread():
                    self._handle_spread(command)

    def _handle_spread(self, spread: ReportSpread) -> None:
        pass


class AgentNode(_PeerNode):
    """Connects an agent with the entries."""

    def _create_peer(self, local_member: Member) -> AgentPeer:
        return AgentPeer(
            local_member, _seed_members(self._settings.seeds), monotonic_time()
        )

    def _leave(self) -> None:
        self._carry_out(self._peer.leave(monotonic_time()))


class EntryNode(_PeerNode):
    """Connects an entry with its peers, and spreads accepted changes."""

    def __init__(self, *args: t.Any) -> None:
        super().__init__(*args)
        self._spread_waiters: dict[int, asyncio.Future[ReportSpread]] = {}

    async def spread(self, change: Change, state: State) -> SpreadReport:
        """Spread a change, and return once it is in force or timed out."""
        future = asyncio.get_running_loop().create_future()
        self._spread_waiters[state.revision] = future
        now = monotonic_time()
        self._carry_out(self._peer.spread_accepted((change,), state, now))
        try:
            spread = await asyncio.wait_for(future, SPREAD_TIMEOUT + 2 * TICK_PERIOD)
        except TimeoutError:
            spread = ReportSpread(state.revision, 1, ())
        laggards = tuple(
            Laggard(each.name, each.revision, each.cause) for each in spread.laggards
        )
        in_force = future.done() and not future.cancelled() and not laggards
        in_force_at = time.time() if in_force else None
        return SpreadReport(change.revision, spread.members, in_force_at, laggards)

    def status(self) -> tuple[ProcessStatus, ...]:
        """Return the status of every entry and of the attached agents."""
        members = [
            *self._peer.membership.members.values(),
            *self._peer.agents.values(),
        ]
        return tuple(
            ProcessStatus(
                member.name,
                member.role.value,
                member.failure_domain,
                member.state.name.lower(),
                member.incarnation,
                member.revision,
            )
            for member in sorted(
                members, key=lambda member: (member.role.value, member.name)
            )
        )

    def may_accept(self) -> bool:
        """Return whether this entry may accept changes."""
        return self._peer.membership.in_majority(monotonic_time())

    def may_serve(self) -> bool:
        """Return whether this entry cannot have missed an accepted change."""
        return self._peer.membership.may_serve(monotonic_time())

    def watches(self) -> bool:
        """Return whether this process should watch the store."""
        return self._peer.membership.watches(monotonic_time())

    def store_read(self, changes: tuple[Change, ...], state: State) -> None:
        """Record that the store was read, and spread what is new."""
        now = monotonic_time()
        self._peer.membership.store_read(now)
        self._carry_out(self._peer.spread_stored(changes, state, now))

    def _create_peer(self, local_member: Member) -> EntryPeer:
        seed = random.SystemRandom().getrandbits(64)
        seeds = tuple(s for s in self._settings.seeds if s != self.address)
        return EntryPeer(Membership(local_member, (), seed, monotonic_time(), seeds))

    def _leave(self) -> None:
        self._carry_out(self._peer.membership.leave(monotonic_time()))

    def _handle_spread(self, spread: ReportSpread) -> None:
        future = self._spread_waiters.pop(spread.revision, None)
        if future is not None and not future.done():
            future.set_result(spread)


def create_agent_node(settings: Settings) -> AgentNode | None:
    """Return the node of an agent, or None without peer settings."""
    if settings.peer is None:
        return None
    identity = Identity(
        settings.name, Role.AGENT, settings.region, settings.failure_domain
    )
    return AgentNode(identity, settings.peer, _ignore_state)


def _ignore_state(state: State, changes: tuple[Change, ...]) -> None:
    """Ignore new states: only entries use the catalogue for decisions."""


def _seed_members(addresses: t.Iterable[str]) -> tuple[Member, ...]:
    """Return members for seeds of which only the address is known."""
    return tuple(Member(a, a, Role.ENTRY, "", "") for a in addresses)
