"""Failure: one malformed message or unexpected exception ends the process.

Only the one message, connection or request may be dropped, and its cause is
logged. The cases in the lists are those that once broke something.
"""

import asyncio
import json
import math
import random
import socket
import unittest
from unittest import mock

import msgspec

from chicorycove.direct import peer_datagram
from chicorycove.direct.entry import DirectEntry
from chicorycove.direct.http import HttpRequest
from chicorycove.direct.route import RoutingTable
from chicorycove.direct.store_relay import RelayUpdate
from chicorycove.direct.store_revision import StoreRevision
from chicorycove.direct.termination import RequestTermination
from chicorycove.lifecycle import Tick
from chicorycove.platform import decoding
from chicorycove.platform.headers import PlatformDialect
from chicorycove.platform.store_view import StoreView
from standin import platform_server
from tests.direct import ORDER, DirectWorld, only_command
from tests.platform_case import KEY, PlatformTestCase, config
from tests.scripted import ScriptedServer, answer

SEED = 20_261_204
LARGE_NUMBER = "9" * 3_000
LARGER_NUMBER = "9" * 4_301  # more digits than int() accepts

# Values of a caller's headers.
CALLER_HEADERS = [
    {"Chicorycove_Token_Counts": f"{LARGE_NUMBER},1"},
    {"Chicorycove_Token_Counts": f"1,{LARGE_NUMBER}"},
    {"Chicorycove_Token_Counts": "0,0"},
    {"Chicorycove_Token_Counts": "-1,nan"},
    {"Chicorycove_Time_Budget_Ms": "1e308"},
    {"Chicorycove_Time_Budget_Ms": "-inf"},
    {"Chicorycove_Time_Budget_Ms": "-5"},
    {"Last_Event_Id": LARGE_NUMBER},
    {"Chicorycove_Prompt_Prefix": "," * 3_000},
    {"Authorization": "\xff\xfe"},
    {"Host": ":::"},
]
# What a target answers with.
TARGET_ANSWERS = [
    b"\x00" * 100,
    b"HTTP/1.1 999999 X\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\nx",
    answer(b"", ["Server-Limit: nan", "Chicorycove-Cold-Ms: -1"], 503),
    answer(b"", ["Retry-After: 1e308", "Server-Limit: 1e308"], 503),
    answer(b"", ["Server-Limit: 0", "Chicorycove-Not-Executed: 1"], 503),
    answer(b"", ["At-Server: \xff", "Server-Leaving: maybe"], 503),
    answer(b"id: " + LARGER_NUMBER.encode() + b"\ndata: x\n\n"),
    answer(b"id: -1\ndata: x\n\nid: x\n\n\n\n"),
]
# Values of keys in the store.
STORE_VALUES = [
    ("chicorycove/entries/x", b'{"address": "nowhere"}'),
    ("chicorycove/entries/x", b'{"address": "a:99999999"}'),
    ("chicorycove/entries/x", b'{"address": "a:\xc2\xb2"}'),
    ("chicorycove/entries/x", b'{"address": ":1"}'),
    ("op/evacuate/", b"\xff"),
    ("op/evacuate/\u2603", b""),
    ("op/other", b"\xff"),
    ("servers/", b"[" * 100_000),
]
SERVER = {"service": "shop", "address": "127.0.0.1:1", "zone": "here", "state": "ready"}
# Fields of a server's value that make it unusable.
SERVER_FIELDS = [
    {"address": "127.0.0.1:99999"},
    {"address": "127.0.0.1:0"},
    {"address": "127.0.0.1:\u00b2"},
    {"address": f"{'a' * 70}.example:80"},
    {"coldRemainingMs": -1},
]
# Fields of an engine, a service, a route and the limits that make a
# configuration unusable.
ENGINE_FIELDS = [
    {"slots": 0},
    {"kvCapacityTokens": 0},
    {"kvCapacityTokens": -1},
    {"stride": 0},
    {"stride": -46},
    {"read_per_s": 0},
    {"read_per_s": -1.0},
    {"chunk": 0},
    {"step_ms": -1},
    {"per_seq_ms": -1},
    {"context_per_k": -1},
    {"pairs_per_m": -1},
    {"hopMs": -1},
]
SERVICE_FIELDS = [{"coldStartS": -1}, {"coldPerS": -1}]
ROUTE_FIELDS = [
    {"timeoutMs": -1},
    {"targetLatencyMs": -1},
    {"gapTargetMs": -1},
    {"maxAttempts": -1},
    {"trafficSplit": [{"service": "shop", "weight": -1}]},
]
LIMIT_FIELDS = [
    {"maxHeaderBytes": -1},
    {"maxBodyBytes": -1},
    {"headerTimeoutMs": -1},
    {"idleTimeoutMs": -1},
]
NAN, INF = math.nan, math.inf


def work_item(**fields):
    values = {
        "number": 1,
        "target": "t",
        "tokens": 1,
        "prefill_time": 1.0,
        "memory": 1,
        "context_tokens": 1.0,
        "generates_answer": True,
        "events_left": 1,
        "max_gap": 1.0,
        "value": 1.0,
        "placed_ago": 0.0,
        "prefill_end_in": 1.0,
        "objective_in": 1.0,
        "preempting": False,
        "decoding": False,
        "missed_objective": False,
    }
    return peer_datagram.WorkItemUpdate(**{**values, **fields})


def peer_update(**fields):
    values = {"owner": "p", "work_items": [], "ended": [], "unreachable": []}
    return peer_datagram.PeerUpdate(**{**values, "store_revision": 1, **fields})


# Datagrams that msgspec accepts by their types.
DATAGRAMS = [
    *(
        peer_update(work_items=[work_item(**{name: value})])
        for name in (
            "prefill_time",
            "context_tokens",
            "max_gap",
            "value",
            "placed_ago",
            "prefill_end_in",
            "objective_in",
        )
        for value in (NAN, INF, -INF, 1e300)
    ),
    *(
        peer_update(work_items=[work_item(**{name: value})])
        for name in ("tokens", "memory", "events_left", "number")
        for value in (-1, 2**63)
    ),
    peer_update(work_items=[work_item(prefill_time=-1.0)]),
    peer_update(store_revision=-1),
    peer_update(store_revision=2**63),
    peer_update(store_era=-1),
    peer_update(store_era=2**63),
    *(
        peer_update(rate_limits=[peer_datagram.RateLimitUpdate("t", rate, ago, "1")])
        for rate, ago in ((NAN, 0.0), (-1.0, 0.0), (1.0, NAN), (1.0, -INF), (1.0, INF))
    ),
    *(
        peer_update(crashes=[peer_datagram.CrashUpdate("t", "1", ["a"], ago)])
        for ago in (NAN, INF, -INF)
    ),
    *(
        peer_update(answered=[peer_datagram.AnsweredUpdate(["a"], ago)])
        for ago in (NAN, INF, -INF)
    ),
    *(
        peer_update(quarantines=[peer_datagram.QuarantineUpdate(["a"], *times)])
        for times in (
            (NAN, 1.0, 1, 1.0),
            (1.0, INF, 1, 1.0),
            (1.0, 1.0, 2**63, 1.0),
            (1.0, 1.0, -1, 1.0),
            (1.0, 1.0, 1, -INF),
        )
    ),
    *(
        peer_update(notices=[peer_datagram.NoticeUpdate("t", "1", left, False)])
        for left in (NAN, INF, -INF, 1e300)
    ),
    peer_update(work_items=[work_item()] * 10_000),
    peer_update(ended=[1] * 100_000),
    peer_update(unreachable=["t"] * 30_000),
]


class DecodingTest(unittest.TestCase):
    def test_absurd_datagrams_are_refused(self):
        encoder = msgspec.msgpack.Encoder()
        for update in DATAGRAMS:
            with self.subTest(str(update)[:200]):
                with self.assertRaises(msgspec.MsgspecError):
                    peer_datagram.decode(encoder.encode(update), 100.0)

    def test_mutated_datagrams_are_refused_or_finite(self):
        rng = random.Random(SEED)
        encoder = msgspec.msgpack.Encoder()
        update = peer_update(
            work_items=[work_item()],
            rate_limits=[peer_datagram.RateLimitUpdate("t", 5.0, 1.0, "1")],
            notices=[peer_datagram.NoticeUpdate("t", "1", 1.0, False)],
            quarantines=[peer_datagram.QuarantineUpdate(["a"], 1.0, 1.0, 1, 1.0)],
        )
        data = encoder.encode(update)
        accepted = 0
        for _ in range(20_000):
            mutated = bytearray(data)
            for _ in range(rng.randint(1, 3)):
                mutated[rng.randrange(len(mutated))] = rng.randrange(256)
            try:
                decoded = peer_datagram.decode(bytes(mutated), 100.0)
            except msgspec.MsgspecError:
                continue
            accepted += 1
            for item in decoded.work_items:
                self.assertTrue(math.isfinite(item.placed_at + item.value))
                self.assertTrue(math.isfinite(item.expected_prefill_end))
        self.assertGreater(accepted, 1_000)

    def test_mutated_relay_datagrams_are_refused_or_decoded(self):
        rng = random.Random(SEED)
        update = RelayUpdate(
            owner="p",
            revision=StoreRevision(1, 5),
            after=4,
            part=0,
            part_count=1,
            data=b"data",
        )
        data = peer_datagram.encode_relay(update)
        for _ in range(5_000):
            mutated = bytearray(data)
            mutated[rng.randrange(1, len(mutated))] = rng.randrange(256)
            try:
                decoded = peer_datagram.decode_relay(bytes(mutated))
            except msgspec.MsgspecError:
                continue
            self.assertLessEqual(0, min(decoded.part, decoded.part_count))

    def test_unusable_servers_are_refused(self):
        decoding.decode_listing("i", json.dumps(SERVER).encode(), {})
        for fields in SERVER_FIELDS:
            with self.subTest(fields):
                with self.assertRaises(decoding.UndecodableValue):
                    data = json.dumps({**SERVER, **fields}).encode()
                    decoding.decode_listing("i", data, {})

    def test_unusable_configurations_are_refused(self):
        cases = [
            (place, fields)
            for place, all_fields in (
                (lambda each: each["services"][1]["engine"], ENGINE_FIELDS),
                (lambda each: each["services"][0], SERVICE_FIELDS),
                (lambda each: each["routes"][0], ROUTE_FIELDS),
                (lambda each: each["limits"], LIMIT_FIELDS),
            )
            for fields in all_fields
        ]
        decoding.decode_deployment(json.dumps(config()).encode())
        for place, fields in cases:
            with self.subTest(fields):
                document = json.loads(json.dumps(config()))
                place(document).update(fields)
                with self.assertRaises(decoding.UndecodableValue):
                    decoding.decode_deployment(json.dumps(document).encode())

    def test_mutated_configurations_are_refused_or_decoded(self):
        rng = random.Random(SEED)
        data = json.dumps(config()).encode()
        for _ in range(3_000):
            mutated = bytearray(data)
            for _ in range(rng.randint(1, 4)):
                mutated[rng.randrange(len(mutated))] = rng.randrange(256)
            try:
                deployment = decoding.decode_deployment(bytes(mutated))
            except decoding.UndecodableValue:
                continue
            RoutingTable(deployment)

    def test_duplicated_names_of_a_configuration_are_accepted(self):
        document = config()
        for name in ("routes", "services", "tenants"):
            document[name] = document[name] * 2
        table = RoutingTable(decoding.decode_deployment(json.dumps(document).encode()))
        self.assertEqual(table.find_route("desk.example", "/order/x").name, "order")

    def test_headers_of_callers_are_parsed_or_refused(self):
        rng = random.Random(SEED)
        table = RoutingTable(decoding.decode_deployment(json.dumps(config()).encode()))
        dialect = PlatformDialect()
        names = [name.replace("_", "-") for each in CALLER_HEADERS for name in each]
        values = [value for each in CALLER_HEADERS for value in each.values()]
        values += [LARGER_NUMBER, f"{LARGER_NUMBER},1", "\u00b2,1", "1,1", "", " "]
        for _ in range(3_000):
            headers = [
                (b"Host", b"desk.example"),
                (b"Authorization", b"Bearer " + KEY.encode()),
                (b"Chicorycove-Attempt-Id", b"a"),
            ]
            for _ in range(rng.randint(1, 4)):
                value = rng.choice(values).encode("latin-1")
                headers.insert(0, (rng.choice(names).encode(), value))
            path = rng.choice([b"/ask/x", b"/order/x", b"\xff", b"*", b"?"])
            request = HttpRequest(b"POST", path, headers, b"", 0.0)
            dialect.parse_request(request, table, rng.random())
            dialect.parse_time_limit(request)


class TimerTest(unittest.TestCase):
    def test_exception_at_one_timer_keeps_no_other_from_being_handled(self):
        world = DirectWorld()
        for name in "ab":
            world.send(name, ORDER)
        world.now = ORDER.timeout
        expire = RequestTermination.expire

        def fail_once(termination, request):
            if request == "a":
                raise KeyError("unforeseen")
            return expire(termination, request)

        with mock.patch.object(RequestTermination, "expire", fail_once):
            commands = world.handle(Tick())
        self.assertEqual(only_command(commands, "FailRequest").request, "b")
        self.assertEqual(
            only_command(commands, "LogChange").detail, "KeyError('unforeseen')"
        )


class ProcessTest(PlatformTestCase):
    async def assert_serving(self):
        self.assertEqual((await self.request("/order/x", b"y")).body, b"y")
        self.assertTrue((await self.request_stream()).complete)

    async def logged(self, event):
        lines = await self.log_lines()
        return [line for line in lines if line["event"] == event]

    async def test_malformed_headers_end_only_their_request(self):
        for headers in CALLER_HEADERS:
            with self.subTest(str(headers)[:80]):
                fields = {"Chicorycove_Token_Counts": "1000,460", **headers}
                stream = await self.request("/ask/x", **fields)
                self.assertIn(stream.status, (200, 400, 401, 404, 503))
        await self.assert_serving()

    async def test_malformed_answers_end_only_their_request(self):
        async def handle(request):
            request.send(TARGET_ANSWERS[request.number % len(TARGET_ANSWERS)])

        for server in (*self.model_servers, *self.shop_servers):
            self.store.remove(f"servers/{server.id}")
        listeners = []
        for service in ("shop", "model"):
            target = await ScriptedServer.start(handle)
            self.addAsyncCleanup(target.close)
            server = platform_server.PlatformServer(service)
            server.address = target.address
            self.register_server(server)
            listeners.append(server)
        await asyncio.sleep(0.5)
        statuses = []
        for number in range(3 * len(TARGET_ANSWERS)):
            path = ("/order/x", "/say/x")[number % 2]
            async with asyncio.timeout(5.0):
                found = await self.request(
                    path,
                    Chicorycove_Token_Counts="1000,46",
                    Chicorycove_Time_Budget_Ms="1000",
                )
            statuses.append(found.status)
        self.assertLessEqual(set(statuses), {200, 502, 503, 504})
        # An answer that does not parse ends its attempt at once. Only an
        # interim one, 101, has the request wait for its deadline.
        self.assertLessEqual(statuses.count(504), 6)
        for server in listeners:
            self.store.remove(f"servers/{server.id}")
        for server in (*self.model_servers, *self.shop_servers):
            server.id += "-again"
            self.register_server(server)
        await asyncio.sleep(0.6)
        await self.assert_serving()

    async def test_malformed_store_values_do_not_end_the_watch(self):
        for number, (key, value) in enumerate(STORE_VALUES):
            with self.subTest(key=key, value=value[:40]):
                self.store.put(key, value)
                await asyncio.sleep(0.4)
                keys = (f"key-{number}",)
                self.write_config(config(number + 2, keys=keys))
                await asyncio.sleep(0.5)
                found = await self.request("/order/x", b"y", key=keys[0])
                self.assertEqual(found.status, 200)
        lines = await self.logged("entry unreadable")
        self.assertTrue(all(line["cause"] for line in lines))

    async def test_exception_while_following_the_store_is_survived(self):
        with mock.patch.object(
            StoreView, "_report_entries", side_effect=KeyError("unforeseen")
        ):
            self.write_config(config(2, keys=("key-2",)))
            await asyncio.sleep(0.6)
        self.write_config(config(3, keys=("key-3",)))
        await asyncio.sleep(1.0)
        self.assertEqual((await self.request("/order/x", key="key-3")).status, 200)
        causes = {line["cause"] for line in await self.logged("store not followed")}
        self.assertEqual(causes, {"KeyError('unforeseen')"})

    async def test_exception_at_one_key_keeps_no_other_from_use(self):
        with mock.patch.object(
            decoding, "decode_listing", side_effect=KeyError("unforeseen")
        ):
            self.register_server(self.shop_servers[0])
            self.write_config(config(2, keys=("key-2",)))
            await asyncio.sleep(0.6)
        self.assertEqual((await self.request("/order/x", key="key-2")).status, 200)
        causes = {line["cause"] for line in await self.logged("entry unreadable")}
        self.assertEqual(causes, {"KeyError('unforeseen')"})

    async def test_datagrams_do_not_end_the_updates(self):
        encoder = msgspec.msgpack.Encoder()
        rng = random.Random(SEED)
        datagrams = [encoder.encode(each) for each in DATAGRAMS]
        datagrams += [rng.randbytes(rng.randint(0, 60)) for _ in range(200)]
        datagrams += [b"\xc1" + each for each in datagrams[-200:]]
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer:
            for data in datagrams:
                if len(data) < 60_000:
                    peer.sendto(data, (self.boot.ip, self.boot.peer_port))
                    await asyncio.sleep(0)
        await asyncio.sleep(0.2)
        await self.assert_serving()
        self.assertTrue(await self.logged("datagram unreadable"))

    async def test_exception_while_a_request_is_handled_ends_only_it(self):
        other = asyncio.create_task(self.request_stream())
        caller = await self.open_caller()
        for where in (
            "chicorycove.platform.headers.PlatformDialect.parse_request",
            "chicorycove.direct.selection.TargetSelector.choose",
            "chicorycove.direct.exchange.Exchange.start_attempt",
            "chicorycove.platform.headers.PlatformDialect.build_request",
            "chicorycove.platform.headers.PlatformDialect.parse_answer_head",
            "chicorycove.direct.exchange.Exchange.deliver",
        ):
            with self.subTest(where):
                count = len(self.runs())
                with mock.patch(where, side_effect=KeyError("unforeseen")):
                    async with asyncio.timeout(2.0):
                        found = await caller.request("/order/x", b"y")
                ran = len(self.runs()) - count
                self.assertIn(found.status, (502,) if ran else (502, 503))
                lines = await self.log_lines()
                causes = [
                    line for line in lines if "unforeseen" in str(line.get("cause"))
                ]
                self.assertTrue(causes)
                self.assertEqual(
                    (await caller.request("/order/x", b"next")).body, b"next"
                )
        self.assertTrue((await other).complete)
        await self.assert_serving()

    async def test_request_that_is_answered_as_not_run_is_not_sent_later(self):
        begin = "chicorycove.direct.sending.AttemptSender.begin"
        for where in (
            "chicorycove.direct.termination.RequestTermination.disconnect",
            "chicorycove.direct.exchange.TargetAttempt.close",
        ):
            with self.subTest(where):
                count = len(self.runs())
                error = KeyError("unforeseen")
                with (
                    mock.patch(begin, side_effect=error),
                    mock.patch(where, side_effect=error),
                ):
                    found = await self.request("/order/x", b"y")
                    await asyncio.sleep(0.1)
                ran = len(self.runs()) - count
                self.assertIn((found.status, ran), [(502, 0), (502, 1), (503, 0)])
                await self.assert_serving()

    async def test_exception_after_the_admission_ends_what_was_begun(self):
        schedule_timer = DirectEntry._schedule_timer
        raised = []

        def raise_once(entry):
            if entry.busy and not raised:
                raised.append(KeyError("unforeseen"))
                raise raised[0]
            schedule_timer(entry)

        with mock.patch.object(DirectEntry, "_schedule_timer", raise_once):
            found = await self.request("/order/x", b"y")
            await asyncio.sleep(0.1)
        self.assertTrue(raised)
        self.assertEqual((found.status, self.runs()), (503, []))
        await self.assert_serving()

    async def test_exception_in_a_periodic_task_does_not_end_it(self):
        with (
            mock.patch.object(
                DirectEntry, "limits", mock.PropertyMock(side_effect=KeyError("a"))
            ),
            mock.patch(
                "chicorycove.direct.dispatch.DirectDispatcher.report_to_peers",
                side_effect=KeyError("b"),
            ),
            mock.patch(
                "chicorycove.direct.peer_link.PeerLink.prune", side_effect=KeyError("c")
            ),
        ):
            await asyncio.sleep(0.8)
        causes = {line["cause"] for line in await self.logged("periodic task failed")}
        self.assertEqual(causes, {"KeyError('a')", "KeyError('b')", "KeyError('c')"})
        caller = await self.open_caller()
        caller.writer.write(b"POST /order/x HTTP/1.1\r\n")
        self.assertEqual((await caller.read()).status, 408)  # by a periodic task
        await self.assert_serving()

    async def test_reload_of_malformed_settings_is_refused(self):
        for error in (KeyError("unforeseen"), ValueError("x"), RecursionError()):
            with mock.patch(
                "chicorycove.platform.process.load_boot", side_effect=error
            ):
                self.process.reload()
        self.assertEqual(len(await self.logged("reload refused")), 3)
        await self.assert_serving()
