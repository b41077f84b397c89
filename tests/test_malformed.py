"""Failure: one malformed message or unexpected exception ends the process.

Only the one message or connection may be dropped, and its cause is logged.
The entry with agents; callers, agents, targets, peers and the store.
"""

import asyncio
import random
import unittest
from unittest import mock

from chicorycove.agent_process import AgentProcess
from chicorycove.backing.store import EtcdStore
from chicorycove.catalogue import ServiceKind
from chicorycove.conversion import Address
from chicorycove.event import OutcomeUnknown, StoreUnreachable
from chicorycove.exceptions import StoreUnavailable, StoreUnknown, TargetError
from chicorycove.link import Link
from chicorycove.peer import Transport
from chicorycove.settings import AgentSettings
from chicorycove.wire import link_pb2 as wire, peer_pb2 as pb
from tests import test_local
from tests.scripted import ScriptedServer, answer

SEED = 20_261_204
TIMEOUT = 10.0  # seconds
ANY_PORT = Address("127.0.0.1:0")
STORE_ANSWERS = [
    b"{",
    b"[]",
    b"null",
    b"7",
    b"{}",
    b'{"succeeded": true}',
    b'{"succeeded": true, "header": {"revision": "x"}}',
    b'{"responses": []}',
    b'{"kvs": 7}',
    b'{"kvs": [{"key": "YQ=="}]}',
    b'{"kvs": [{"key": "YQ==", "mod_revision": []}]}',
    b'{"result": []}',
]
ENTRY_FRAMES = [
    wire.EntryFrame(),
    wire.EntryFrame(cancel=wire.Cancel(attempt="no id")),
    wire.EntryFrame(start=wire.Start(attempt="a/x/n")),
    wire.EntryFrame(prefill=wire.Prefill(attempt="")),
]
AGENT_FRAMES = [
    wire.AgentFrame(),
    wire.AgentFrame(chunk=wire.Chunk(attempt="no id")),
    wire.AgentFrame(head=wire.Head(attempt="a/x/n")),
    wire.AgentFrame(failed=wire.Failed(attempt="a/1/n", reason="odd", verdict="odd")),
    wire.AgentFrame(sealed=wire.Sealed(attempt="a/1/n", outcome="odd")),
]


def pack(message):
    data = message.SerializeToString()
    return len(data).to_bytes(4, "big") + data


class LocalCase(unittest.IsolatedAsyncioTestCase):
    """A local process, without the tests of ``test_local``."""

    asyncSetUp = test_local.LocalTest.asyncSetUp
    asyncTearDown = test_local.LocalTest.asyncTearDown
    send = test_local.LocalTest.send


class ScriptedTestCase(unittest.IsolatedAsyncioTestCase):
    async def connect(self, port):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        self.addCleanup(writer.close)
        return reader, writer


class AgentLinkTest(ScriptedTestCase):
    async def asyncSetUp(self):
        settings = AgentSettings(
            target="t",
            listen=ANY_PORT,
            http=ANY_PORT,
            address=Address("127.0.0.1:1"),
            kind=ServiceKind.PLAIN,
        )
        self.agent = AgentProcess(settings)
        await self.agent.start()
        self.addAsyncCleanup(self.agent.close)

    async def read_welcome(self, reader):
        async with asyncio.timeout(TIMEOUT):
            size = int.from_bytes(await reader.readexactly(4), "big")
            return wire.AgentBatch.FromString(await reader.readexactly(size))

    async def test_malformed_frames_are_dropped(self):
        hello = wire.EntryFrame(hello=wire.Hello(owner="e"))
        reader, writer = await self.connect(self.agent.port)
        writer.write(pack(wire.EntryBatch(frames=[hello])))
        await self.read_welcome(reader)
        with self.assertLogs("chicorycove", "WARNING") as logs:
            for frame in ENTRY_FRAMES:
                writer.write(pack(wire.EntryBatch(frames=[frame])))
            await asyncio.sleep(0.2)
        self.assertEqual(len(logs.output), len(ENTRY_FRAMES))
        reserve = wire.Reserve(attempt="a/1/n", incarnation="odd")
        frames = [wire.EntryFrame(reserve=reserve)]
        writer.write(pack(wire.EntryBatch(frames=frames)))
        batch = await self.read_welcome(reader)
        while not any(each.HasField("refused") for each in batch.frames):
            batch = await self.read_welcome(reader)

    async def test_malformed_streams_end_their_connection(self):
        rng = random.Random(SEED)
        for data in (
            b"\xff\xff\xff\xff",
            pack(wire.EntryBatch()),
            b"\x00\x00\x00\x02\xff\xff",
            *(bytes(4) + rng.randbytes(40) for _ in range(20)),
        ):
            with self.subTest(data):
                reader, writer = await self.connect(self.agent.port)
                writer.write(data)
                async with asyncio.timeout(TIMEOUT):
                    self.assertEqual(await reader.read(), b"")

    async def test_exception_in_the_ticks_does_not_end_them(self):
        agent = self.agent.agent
        with (
            mock.patch.object(agent, "_handle", side_effect=KeyError("a")),
            self.assertLogs("chicorycove", "ERROR"),
        ):
            await asyncio.sleep(0.2)
        with mock.patch.object(agent, "_handle") as handle:
            await asyncio.sleep(0.2)
        self.assertTrue(handle.called)


class EntryLinkTest(ScriptedTestCase):
    async def test_malformed_frames_do_not_end_the_link(self):
        receiver = mock.Mock()
        receiver.on_report.side_effect = KeyError("unforeseen")
        batches = [wire.AgentBatch(frames=[frame]) for frame in AGENT_FRAMES]
        report = wire.AgentFrame(report=wire.Report())
        batches.append(wire.AgentBatch(frames=[report]))
        welcome = wire.AgentFrame(welcome=wire.Welcome(target="t", incarnation="1"))
        connections = []

        async def serve(reader, writer):
            connections.append(writer)
            writer.write(pack(wire.AgentBatch(frames=[welcome])))
            for batch in batches:
                writer.write(pack(batch))
            writer.write(pack(wire.AgentBatch(frames=[load_frame()])))

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        with self.assertLogs("chicorycove", "WARNING") as logs:
            link = Link(Address(f"127.0.0.1:{port}"), "e", 5.0, receiver)
            self.addAsyncCleanup(link.close)
            await asyncio.sleep(0.3)
        self.assertEqual(len(logs.output), len(batches))
        self.assertEqual(receiver.on_event.call_count, 3)  # both loads, attached
        self.assertEqual(len(connections), 1)

    async def test_malformed_stream_is_connected_again(self):
        connections = []

        async def serve(reader, writer):
            connections.append(writer)
            writer.write(b"\x00\x00\x00\x02\xff\xff")

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        link = Link(Address(f"127.0.0.1:{port}"), "e", 5.0, mock.Mock())
        self.addAsyncCleanup(link.close)
        async with asyncio.timeout(TIMEOUT):
            while len(connections) < 3:
                await asyncio.sleep(0.02)


class PeerTest(ScriptedTestCase):
    async def test_malformed_messages_are_dropped(self):
        received = []
        transport = Transport(received.append)
        await transport.start(ANY_PORT)
        self.addAsyncCleanup(transport.close)
        port = int(transport.address.rpartition(":")[2])
        for data in (pack(pb.PeerMessage()), b"\xff" * 8, bytes(4) + b"\xff" * 8):
            with self.subTest(data):
                reader, writer = await self.connect(port)
                writer.write(data)
                async with asyncio.timeout(TIMEOUT):
                    self.assertEqual(await reader.read(), b"")
        with self.assertLogs("chicorycove", "WARNING"):
            transport.datagram_received(b"\xff" * 8, None)
        self.assertEqual(received, [])


class StoreTest(ScriptedTestCase):
    async def test_malformed_answers_are_failed_calls(self):
        documents = iter(())

        async def handle(request):
            request.send(answer(next(documents)))

        server = await ScriptedServer.start(handle)
        self.addAsyncCleanup(server.close)
        store = EtcdStore(server.address, 5.0)
        self.addAsyncCleanup(store.close)
        for document in STORE_ANSWERS:
            with self.subTest(document):
                documents = iter([document] * 5)
                found = await store.get("a")
                if document not in (b"{}", *STORE_ANSWERS[5:8], STORE_ANSWERS[11]):
                    self.assertEqual(found, StoreUnreachable())
                self.assertEqual(await store.swap("a", 0, b"x"), OutcomeUnknown())
                with self.assertRaises(StoreUnknown):
                    await store.grant(1.0)
                with self.assertRaises(StoreUnavailable):
                    await store.keep_alive(1)


class EngineTest(LocalCase):
    """Malformed answers of a target to an agent's own calls."""

    async def test_malformed_reports_on_memory_are_failed_calls(self):
        async def handle(request):
            request.send(answer(next(documents)))

        server = await ScriptedServer.start(handle)
        self.addAsyncCleanup(server.close)
        agent = self.process._agents[0].agent
        client = type(agent._client)(Address(server.address))
        self.addAsyncCleanup(client.close)
        for document in (b"{", b"[]", b"", b"{}", b'{"attempts": {"x": 1}}'):
            with self.subTest(document):
                documents = iter([document])
                with self.assertRaises(TargetError):
                    await client.read_memory()

    async def test_only_an_engines_reason_proves_that_a_prompt_has_not_run(self):
        async def handle(request):
            request.send(answer(body, status=503))

        server = await ScriptedServer.start(handle)
        self.addAsyncCleanup(server.close)
        for each in self.process._agents:
            agent = each.agent
            client = type(agent._client)(Address(server.address))
            self.addAsyncCleanup(client.close)
            patch = mock.patch.object(agent, "_client", client)
            patch.start()
            self.addCleanup(patch.stop)
        cases = {
            b"<html>try later</html>": "may_have_run",
            b'{"error": {}}': "may_have_run",
            b'{"error": {"reason": "memory_full"}}': "not_run",
        }
        for body, verdict in cases.items():
            with self.subTest(body):
                async with asyncio.timeout(TIMEOUT):
                    problem = await (await self.send()).json()
                self.assertEqual(problem["verdict"], verdict)

    async def test_exception_in_a_run_ends_only_its_request(self):
        agents = [each.agent for each in self.process._agents]
        for agent in agents:
            patch = mock.patch.object(
                agent, "_relay_answer", side_effect=KeyError("unforeseen")
            )
            patch.start()
            self.addCleanup(patch.stop)
        async with asyncio.timeout(TIMEOUT):
            response = await self.send()
        problem = await response.json()
        self.assertEqual(
            (response.status_code, problem["verdict"]), (502, "may_have_run")
        )
        mock.patch.stopall()
        self.assertEqual((await self.send()).status_code, 200)


def load_frame():
    return wire.AgentFrame(load=wire.Load(running=1))
