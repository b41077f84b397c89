"""Test peers over UDP and TCP on loopback, with an in-memory store."""

import asyncio
import socket
import unittest
from unittest import mock

from chicorycove import dissemination, peer
from chicorycove.catalogue import EntryId, Operator, Target, key_digest
from chicorycove.catalogue_message import CataloguePush, EntryRoster, PushScope
from chicorycove.change import Edit
from chicorycove.conversion import Address
from chicorycove.exceptions import StoreUnavailable
from chicorycove.membership import Member, Role
from chicorycove.peer import AgentNode, EntryNode, Identity, Transport
from chicorycove.registry import Registry
from chicorycove.settings import PeerSettings

from .store import AsyncStore, DictStore

ANY_PORT = Address("127.0.0.1:0")
TIMEOUT = 30.0  # seconds
LINK_RATE = 4_000_000  # bytes per second
PATCHED_TIMEOUTS = (
    (dissemination, "AGENT_TIMEOUT"),
    (dissemination, "DOMAIN_TIMEOUT"),
    (dissemination, "SPREAD_TIMEOUT"),
    (peer, "SPREAD_TIMEOUT"),
)
OPERATOR = Operator(
    name="op", owner="board", grants=("*/*",), key_digests=(key_digest("k"),)
)


async def wait_for(condition):
    """Wait until a condition holds.

    :raises TimeoutError: if it does not
    """
    async with asyncio.timeout(TIMEOUT):
        while not condition():
            await asyncio.sleep(0.02)


class Process:
    """An entry's registry and node."""

    def __init__(self, name, store, seeds):
        self.registry = Registry(AsyncStore(store), name)
        identity = Identity(name, Role.ENTRY, "r", "d" + name[-1])
        settings = PeerSettings(listen=ANY_PORT, seeds=seeds)
        self.node = EntryNode(identity, settings, self.registry.install)
        self.registry.spreader = self.node
        self._follower = None

    async def start(self):
        await self.node.start()
        self._follower = asyncio.create_task(self.registry.follow())

    async def close(self):
        self._follower.cancel()
        await self.node.close()


class PeerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        for module, name in PATCHED_TIMEOUTS:
            # A busy host may exceed the timeouts of a real fleet.
            self.enterContext(mock.patch.object(module, name, TIMEOUT))
        self.store = DictStore()
        self.entries = []
        self.agents = []
        for number in range(3):
            await self.start_entry(f"entry-{number}")
        for number in range(4):
            await self.start_agent(f"agent-{number}")
        await wait_for(
            lambda: all(self.known_entry_count(p) == 3 for p in self.entries)
        )
        await wait_for(lambda: self.attached_agent_count() == 4)
        await wait_for(lambda: all(p.node.may_accept() for p in self.entries))

    async def asyncTearDown(self):
        for process in (*self.agents, *self.entries):
            await process.close()

    @property
    def seeds(self):
        return tuple(Address(p.node.address) for p in self.entries)

    async def start_entry(self, name):
        process = Process(name, self.store, self.seeds[:1])
        await process.start()
        self.entries.append(process)
        return process

    async def start_agent(self, name):
        identity = Identity(name, Role.AGENT, "r", "d" + name[-1])
        settings = PeerSettings(listen=ANY_PORT, seeds=self.seeds)
        node = AgentNode(identity, settings, lambda state, changes: None)
        await node.start()
        self.agents.append(node)

    def known_entry_count(self, process):
        """Return how many entries a process has in its view, with itself."""
        return sum(row.role == "entry" for row in process.node.status())

    def attached_agent_count(self):
        """Return how many agents are attached to the entries."""
        rows = [row for p in self.entries for row in p.node.status()]
        return sum(row.role == "agent" for row in rows)

    async def apply(self, owner, process=None):
        """Apply a change at an entry, and return how far it has spread."""
        process = process or self.entries[0]
        entry = Target(name="t", owner=owner)
        edits = (Edit(id=EntryId("target", "t"), entry=entry),)
        proposal = process.registry.create_proposal(OPERATOR, "r", edits)
        change = await process.registry.apply(OPERATOR, proposal)
        return await process.registry.spread(change)

    async def test_a_change_is_in_force_everywhere(self):
        for process in self.entries:
            spread = await self.apply(process.node.address, process)
            self.assertEqual((spread.members, spread.laggards), (7, ()))
            revisions = {p.registry.current.revision for p in self.entries}
            revisions |= {agent.revision for agent in self.agents}
            self.assertEqual(revisions, {spread.revision})

    async def test_a_change_too_large_for_a_datagram(self):
        spread = await self.apply("".join(map(str, range(5000))))
        self.assertEqual((spread.members, spread.laggards), (7, ()))

    async def test_a_restart_with_the_store_down_gets_the_state_from_peers(self):
        await self.apply("a")
        process = self.entries.pop()
        await process.close()
        self.store.down = True
        process = await self.start_entry("entry-2")
        await wait_for(lambda: process.registry.current.revision == 1)
        await wait_for(process.node.may_serve)
        with self.assertRaises(StoreUnavailable):
            await self.apply("b")
        self.store.down = False
        spread = await self.apply("c")
        self.assertEqual(spread.laggards, ())

    async def test_a_stopped_entry_is_not_waited_for(self):
        process = self.entries.pop()
        await process.close()
        await wait_for(lambda: self.attached_agent_count() == 4)
        spread = await self.apply("a")
        self.assertEqual((spread.members, spread.laggards), (6, ()))


class ThinLinkTest(unittest.IsolatedAsyncioTestCase):
    """Large messages reach a peer whose link takes seconds for each."""

    async def asyncSetUp(self):
        self.sizes = []  # of the messages that arrived, with their lengths
        sock = socket.create_server(("127.0.0.1", 0))
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
        server = await asyncio.start_server(self.read_slowly, sock=sock, limit=65_536)
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        self.address = "127.0.0.1:%d" % sock.getsockname()[1]
        self.transport = Transport(lambda message: None)
        await self.transport.start(ANY_PORT)
        self.addAsyncCleanup(self.transport.close)

    async def read_slowly(self, reader, writer):
        length = int.from_bytes(await reader.readexactly(4), "big")
        size = 0
        while data := await reader.read(65_536):
            size += len(data)
            await asyncio.sleep(len(data) / LINK_RATE)
        writer.close()
        self.sizes.append((size, length))

    def roster(self, count):
        """Return a message of a kilobyte for each of a number of members."""
        members = [
            Member(f"{number:01000}", "127.0.0.1:1", Role.ENTRY, "r", "d")
            for number in range(count)
        ]
        return EntryRoster(members[0], tuple(members))

    async def send(self, messages):
        """Send messages while the first one is in progress."""
        self.transport.send(self.address, messages[0])
        await asyncio.sleep(0)
        for message in messages[1:]:
            self.transport.send(self.address, message)

    async def test_message_is_not_lost_after_a_second(self):
        self.transport.send(self.address, self.roster(12_000))
        await wait_for(lambda: self.sizes)
        ((size, length),) = self.sizes
        self.assertEqual(size, length)
        self.assertGreater(size, 12_000_000)

    async def test_copies_of_a_message_do_not_share_the_link(self):
        await self.send(5 * [self.roster(100)])
        await wait_for(lambda: self.sizes)
        await asyncio.sleep(0.2)
        self.assertEqual(len(self.sizes), 1)

    async def test_answer_of_a_pull_takes_no_place_of_a_push_to_be_spread(self):
        sender = Member("x" * 2_000, "127.0.0.1:1", Role.ENTRY, "r", "d")
        none, domain = PushScope.NONE, PushScope.DOMAIN
        scopes = (none, domain, none, none)
        await self.send(
            [
                CataloguePush(sender, number, scope)
                for number, scope in enumerate(scopes)
            ]
        )
        await wait_for(lambda: len(self.sizes) == 3)
        await asyncio.sleep(0.2)
        self.assertEqual(len(self.sizes), 3)

    async def test_newest_message_follows_the_one_in_progress(self):
        await self.send([self.roster(count) for count in range(100, 105)])
        await wait_for(lambda: len(self.sizes) == 2)
        await asyncio.sleep(0.2)
        self.assertEqual(len(self.sizes), 2)
        (first, _), (second, _) = self.sizes
        self.assertEqual(second // 1000 - first // 1000, 4)


class SingleEntryTest(unittest.IsolatedAsyncioTestCase):
    async def test_an_entry_without_store_or_peers_does_not_serve(self):
        store = DictStore()
        store.down = True
        process = Process("entry-0", store, (Address("127.0.0.1:9"),))
        await process.start()
        await asyncio.sleep(1)
        self.assertFalse(process.node.may_serve())
        store.down = False
        await wait_for(process.node.may_serve)
        await process.close()

    async def test_malformed_datagrams_are_dropped(self):
        process = Process("entry-0", DictStore(), ())
        await process.start()
        for data in (b"", b"x", b"\x0a\x02\x08\x63", bytes(range(256))):
            process.node._transport.datagram_received(data, None)
        self.assertTrue(process.node.may_serve())
        await process.close()
