"""Failure: one odd entry in the store ends the process, or its following.

An entry of another writer names no target then, and the others hold.
"""

import asyncio
import json
import random
import unittest

import msgspec

from chicorycove.direct import peer_datagram
from chicorycove.direct.command import UpdatePeers
from chicorycove.direct.event import TargetAnswer, TargetAnswered, TargetListed
from chicorycove.lifecycle import Tick
from chicorycove.platform import decoding
from chicorycove.platform.follower import ENTRIES_PREFIX
from standin import platform_store

from .direct import (
    COLD_DEPLOYMENT,
    DEPLOYMENT,
    ORDER,
    REVISION,
    DirectWorld,
    make_inbound,
)
from .platform_case import (
    FailureDomainTestCase,
    PlatformTestCase,
    config,
    new_boot,
    route,
)

SEED = 20_261_205
MAX_VALUE_SIZE = 1_048_576  # bytes that the store takes
MAX_LINE_SIZE = 1_000  # bytes of a line of the log
DEPTH = 100_000
LARGE = MAX_VALUE_SIZE - 200  # characters of a field that nearly fills a value
SERVER = {
    "service": "shop",
    "address": "127.0.0.1:1",
    "zone": "here",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "coldRemainingMs": 0,
    "sequence": 0,
    "born": 1,
}
DEEP_VALUES = ["[" * DEPTH, "[" * DEPTH + "]" * DEPTH, '{"a":' * DEPTH]
# Numbers in JSON that no field takes.
NUMBERS = ["1e400", "-1e400", "1" + "0" * 400, "9" * 5_000, "NaN", "Infinity", "-1"]
INTEGERS = [*NUMBERS, "1.5", "true", '"1"', "9223372036854775808", "1" + "0" * 30]
NAMES = ["3", "null", "[]", '"\\ud800"', json.dumps("x" * LARGE)]
ADDRESSES = [
    "",
    ":",
    ":80",
    "127.0.0.1",
    "127.0.0.1:",
    "127.0.0.1:0",
    "127.0.0.1:-1",
    "127.0.0.1:65536",
    "127.0.0.1:99999999999999999999",
    "127.0.0.1:\u0663",
    "127.0.0.1: 80",
    " 127.0.0.1:80",
    "127.0.0.1:80 ",
    "127.0.0.1:80\r\nx: y",
    "127.0.0.1\0:80",
    "127.0.0.1\r\nx: y:80",
    "127.0.0.256:80",
    "127.0.0.01:80",
    "127.0.0.\u0661:80",
    "\ud800:80",
    "127.1:80",
    "[::1]:80",
    "::1:80",
    "a..b:80",
    ".:80",
    "slow.example:80",
    f"{'a' * 70}.example:80",
    f"{'.' * LARGE}:80",
    f"127.0.0.1:{'1' * LARGE}",
    "\u00fc" * 60 + ":80",
]


def server_text(**fields):
    """Return a server's value with fields in JSON."""
    values = {name: json.dumps(value) for name, value in SERVER.items()} | fields
    return "{" + ",".join(f'"{name}":{text}' for name, text in values.items()) + "}"


def server_without(name):
    return json.dumps({key: SERVER[key] for key in SERVER if key != name})


ODD_TEXTS = [
    *DEEP_VALUES,
    *(server_text(more=text) for text in DEEP_VALUES),
    *("", " ", "null", "[]", "3", '"x"', "{", "{}", server_text()[:-1]),
    *(server_without(name) for name in ("service", "address", "zone", "state")),
    *(server_text(slots=text) for text in [*INTEGERS, "0", "null"]),
    *(server_text(born=text) for text in [*INTEGERS, "null"]),
    *(server_text(sequence=text) for text in INTEGERS),
    *(server_text(coldRemainingMs=text) for text in [*NUMBERS, '"1"', "[]"]),
    *(server_text(service=text) for text in NAMES),
    *(server_text(zone=text) for text in NAMES),
    *(server_text(state=text) for text in [*NAMES, '""', '"odd"', '"Ready"']),
    *(server_text(address=text) for text in ("3", "null", '["127.0.0.1:80"]')),
    *(server_text(address=json.dumps(text)) for text in ADDRESSES),
    server_text()[:-1] + ',"state":"odd"}',
]
ODD_VALUES = [
    *(text.encode() for text in ODD_TEXTS),
    *(b"\xff\xfe", b"\x00" * 100, b"\xef\xbb\xbf" + server_text().encode()),
    server_text().encode("utf-16"),
    server_text(zone='"\xff"').encode("latin-1"),
    random.Random(SEED).randbytes(MAX_VALUE_SIZE),
]
# Keys at which a sound value names no server.
ODD_KEYS = [f"servers/{id}" for id in ("", " ", "a b", "a\r\nx: y", "a\0", "\u2603")]
LIST_PATH = "/chicorycove/kv-range"
UNEXPECTED_EVENTS = {
    "command not executed",
    "event not handled",
    "history lost",
    "periodic task failed",
    "relayed changes unreadable",
    "store lost",
    "store not followed",
    "timer not handled",
    "unexpected exception",
}
ODD_IDS = ["", " ", "a b", "a\r\nx: y", "a\0", "\u00fc", "\u2603", "\ud800"]


class DecodingTest(unittest.TestCase):
    def test_odd_value_names_no_server(self):
        decoding.decode_listing("i", server_text().encode(), {})
        for value in ODD_VALUES:
            with self.subTest(value[:120]):
                with self.assertRaises(decoding.UndecodableValue) as caught:
                    decoding.decode_listing("i", value, {})
                self.assertLess(len(str(caught.exception)), MAX_LINE_SIZE / 2)

    def test_odd_id_names_no_server(self):
        for id in ODD_IDS:
            with self.subTest(ascii(id)):
                with self.assertRaises(decoding.UndecodableValue):
                    decoding.decode_listing(id, server_text().encode(), {})

    def test_only_an_ip_address_and_a_port_is_an_address(self):
        self.assertTrue(decoding.is_address("255.255.255.255:65535"))
        for text in ADDRESSES:
            with self.subTest(text[:80]):
                self.assertFalse(decoding.is_address(text))

    def test_odd_configuration_is_refused(self):
        for text in DEEP_VALUES:
            for value in (text, '{"version":2,"more":' + text):
                with self.assertRaises(decoding.UndecodableValue):
                    decoding.decode_deployment(value.encode())

    def test_deeply_nested_datagrams_are_refused(self):
        update = peer_datagram.PeerUpdate("p", [], [], [], 1)
        relay = ["p", 1, 0, 0, 0, b"", None, 0]
        encode = msgspec.msgpack.encode
        # One element more than the fields: that of a later version.
        fields = msgspec.to_builtins(update)
        nested = b"\x91" * 60_000
        for decode, values in (
            (lambda data: peer_datagram.decode(data, 0.0), fields),
            (peer_datagram.decode_relay, relay),
        ):
            data = bytes([0x90 + len(values) + 1]) + encode(values)[1:] + nested
            with self.assertRaises(msgspec.MsgspecError):
                decode(data)


class LargestValueTest(unittest.TestCase):
    """What the largest values of a listing do after it was decoded."""

    def setUp(self):
        largest = str(decoding.MAX_INTEGER)
        text = server_text(
            slots=largest, born=largest, sequence=largest, coldRemainingMs="1e308"
        )
        self.listing = decoding.decode_listing("i", text.encode(), {})

    def list_target(self, deployment):
        world = DirectWorld(engines=0, shops=0, deployment=deployment)
        world.handle(TargetListed(self.listing))
        return world

    def test_target_is_used_and_explained(self):
        world = self.list_target(DEPLOYMENT)
        self.assertEqual(world.send("a", ORDER).target, self.listing.agent)
        inbound = make_inbound("b", ORDER)
        msgspec.json.encode(world.dispatcher.explain(inbound, world.now))

    def test_target_is_cold_for_a_bounded_time_and_reported(self):
        world = self.list_target(COLD_DEPLOYMENT)
        cold = TargetAnswer(status=200, not_run=False, cold_time_left=1e305)
        commands = world.handle(TargetAnswered(self.listing.agent, cold))
        commands += world.command_log + world.dispatcher.report_to_peers(world.now)
        updates = [command for command in commands if isinstance(command, UpdatePeers)]
        reports = [
            report
            for update in updates
            for data in peer_datagram.encode("p", update, REVISION, world.now)
            for report in peer_datagram.decode(data, world.now).cold_targets
        ]
        self.assertTrue(reports)
        world.now = 1e6
        world.handle(Tick())
        self.assertFalse(world.board.targets["i"].terms.cold)


class OddEntryTestCase(PlatformTestCase):
    model_count = 0

    def put_odd(self):
        """Write odd entries before and after those of the sound servers."""
        for number, value in enumerate(ODD_VALUES):
            self.store.put(f"servers/{'az'[number % 2]}-{number}", value)
        sound = server_text(address=json.dumps(self.shop_servers[0].address)).encode()
        for key in ODD_KEYS:
            self.store.put(key, sound)

    async def wait_for_targets(self, *servers):
        ids = {server.id for server in servers}

        async def have_targets():
            return all(set(each._board.targets) == ids for each in self.followers())

        await self.wait_until(have_targets)

    def followers(self):
        """Return the entries that follow the store."""
        return [self.process]

    async def assert_follows(self):
        """Assert that changes are applied and that requests are served."""
        added = await self.add_server("shop")
        left = self.shop_servers.pop(0)
        self.store.remove(f"servers/{left.id}")
        self.shop_servers.append(added)
        await self.wait_for_targets(*self.shop_servers)
        await self.assert_served_by(*self.shop_servers)
        self.assertEqual(left.runs, [])
        for path in ("/explain?model=shop", "/metrics"):
            page = await self.get_page(f"127.0.0.1:{self.boot.metrics_port}", path)
            self.assertEqual(page.status, 200)
        events = {line["event"] for line in await self.log_lines()}
        self.assertEqual(events & UNEXPECTED_EVENTS, set())
        self.log.seek(0)
        self.assertLess(max(map(len, self.log.read().splitlines())), MAX_LINE_SIZE)

    async def assert_served_by(self, *servers):
        """Assert that just these servers serve simultaneous requests."""
        counts = [len(server.runs) for server in servers]
        for server in servers:
            server.faults.hang = True
        requests = [self.request("/order/x", b"y") for _ in range(2 * len(servers))]
        tasks = [asyncio.create_task(request) for request in requests]

        async def have_run():
            ran = [len(server.runs) for server in servers]
            return sum(ran) - sum(counts) == len(tasks)

        await self.wait_until(have_run)
        for server, count in zip(servers, counts, strict=True):
            self.assertGreater(len(server.runs), count)
            server.faults.hang = False
        for answer in await asyncio.gather(*tasks):
            self.assertEqual(answer.body, b"y")

    async def count_unreadable(self):
        lines = await self.log_lines()
        return sum(line["event"] == "entry unreadable" for line in lines)


class OddEntryTest(OddEntryTestCase):
    async def test_odd_entries_written_meanwhile_keep_no_change_from_use(self):
        lists = self.store.calls.count(LIST_PATH)
        self.put_odd()
        await self.assert_follows()
        self.assertEqual(self.store.calls.count(LIST_PATH), lists)
        count = len(ODD_VALUES) + len(ODD_KEYS)
        self.assertEqual(await self.count_unreadable(), count)

    async def test_odd_entries_on_several_pages_at_the_start_keep_no_change_from_use(
        self,
    ):
        for number in range(platform_store.PAGE_SIZE):
            self.store.put(f"servers/a-{number:05}", b"{}")
        self.put_odd()
        await self.process.stop()
        self.process = await self.start_entry(new_boot(store=self.boot.store))
        await self.assert_follows()

    async def test_server_of_a_service_that_is_configured_later_is_used_then(self):
        await self.add_server("shop")
        later = await self.add_server("later")
        await self.wait_until(lambda: self.is_listed(later))
        self.assertEqual((await self.request("/later/x")).status, 404)
        changed = config(2, [route("later", service="later")])
        changed["services"].append({"name": "later", "maxConnections": 100})
        self.write_config(changed)
        await asyncio.sleep(0.6)
        self.assertEqual((await self.request("/later/x", b"y")).body, b"y")
        self.assertEqual(len(later.runs), 1)

    async def is_listed(self, server):
        return server.id in self.process._board.targets


class TurnedOddTest(OddEntryTestCase):
    """A sound server's entry is overwritten with an odd value."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.turned, self.other = self.shop_servers
        self.key = f"servers/{self.turned.id}"

    async def turn_odd(self, value=b"{}"):
        self.store.put(self.key, value)
        await self.wait_for_targets(self.other)

    async def turn_back(self, **fields):
        self.register_server(self.turned, **fields)
        await self.wait_for_targets(self.turned, self.other)

    async def test_server_whose_entry_turned_odd_is_used_by_no_entry(self):
        await self.turn_odd()
        await self.assert_served_by(self.other)
        self.assertEqual(self.turned.runs, [])
        newer = await self.start_entry(new_boot(store=self.boot.store, name="entry-2"))
        self.assertEqual(newer._board.targets.keys(), {self.other.id})

    async def test_entry_that_turned_odd_while_the_store_was_away_names_no_server(self):
        self.store.faults.down = True
        await asyncio.sleep(0.3)
        self.store.put(self.key, b"[" * DEPTH)
        self.store.faults.down = False
        await self.wait_for_targets(self.other)

    async def test_server_is_used_again_once_its_entry_is_sound(self):
        for value in (b"{}", b"[" * DEPTH):
            await self.turn_odd(value)
            await self.turn_back()
            await self.assert_served_by(self.turned, self.other)

    async def test_server_that_started_again_is_used_as_another_incarnation(self):
        await self.turn_odd()
        await self.turn_back(born=2)
        view = self.process._board.targets[self.turned.id]
        self.assertEqual(view.listing.started_at, 2)
        await self.assert_served_by(self.turned, self.other)

    async def test_server_that_left_behind_an_odd_value_stays_left(self):
        self.register_server(self.turned, state="draining")
        await self.turn_odd()
        self.store.remove(self.key)
        await asyncio.sleep(0.6)
        await self.assert_served_by(self.other)
        self.assertEqual(self.turned.runs, [])

    async def test_answer_of_a_server_whose_entry_turns_odd_is_delivered(self):
        self.store.remove(f"servers/{self.other.id}")
        await self.wait_for_targets(self.turned)
        self.turned.faults.hang = True
        task = asyncio.create_task(self.request("/order/x", b"y"))
        await self.wait_until(self.has_run)
        self.store.put(self.key, b"{}")
        await self.wait_for_targets()
        self.turned.faults.hang = False
        self.assertEqual((await task).body, b"y")

    async def has_run(self):
        return bool(self.turned.runs)


class OddPeerTest(FailureDomainTestCase, OddEntryTestCase):
    """Odd values among the keys of four entries, two of them followers."""

    shop_count = 2

    def followers(self):
        return self.processes

    async def test_relayed_odd_entries_keep_no_change_from_use(self):
        lists = self.store.calls.count(LIST_PATH)
        self.put_odd()
        await self.assert_follows()
        self.assertTrue(await self.two_follow())
        self.assertEqual(self.store.calls.count(LIST_PATH), lists)

    async def test_addresses_of_odd_peers_stop_no_datagram(self):
        self.store.calls.clear()
        for number, address in enumerate(ADDRESSES):
            value = {"address": address, "failure_domain": "here"}
            self.store.put(f"{ENTRIES_PREFIX}{number}", json.dumps(value).encode())
        for text in DEEP_VALUES:
            self.store.put(f"{ENTRIES_PREFIX}z", text.encode())
        # Longer than heartbeats may be missing.
        await asyncio.sleep(2.0)
        self.assertTrue(await self.two_follow())
        await self.assert_follows()

    async def test_server_whose_entry_turned_odd_is_used_by_no_follower(self):
        self.store.put(f"servers/{self.shop_servers[0].id}", b"{}")
        await self.wait_for_targets(self.shop_servers[1])

    async def test_peer_whose_entry_turned_odd_is_still_heard(self):
        (key,) = self.store.keys(f"{ENTRIES_PREFIX}entry-4.")
        self.store.put(key, b"[" * DEPTH)
        await asyncio.sleep(2.0)  # longer than updates may be missing
        counts = [len(process._board.peer_names) for process in self.processes]
        self.assertEqual(counts, [4] * 4)
        await self.assert_follows()
