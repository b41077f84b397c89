"""Failure: one malformed message or unexpected exception ends the process.

Only the one message, connection or request may be dropped, and its cause is
logged. The cases in the lists are those that once broke something.
"""

import json
import math
import random
import unittest

import msgspec

from chicorycove.direct import peers
from chicorycove.direct.http import HttpRequest
from chicorycove.direct.route import RoutingTable
from chicorycove.direct.store_relay import RelayUpdate
from chicorycove.platform import decoding
from chicorycove.platform.headers import PlatformDialect
from tests.platform_case import KEY, config

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
    return peers.WorkItemUpdate(**{**values, **fields})


def peer_update(**fields):
    values = {"owner": "p", "work_items": [], "ended": [], "unreachable": []}
    return peers.PeerUpdate(**{**values, "store_revision": 1, **fields})


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
    *(
        peer_update(rate_limits=[peers.RateLimitUpdate("t", rate, ago, "1")])
        for rate, ago in ((NAN, 0.0), (-1.0, 0.0), (1.0, NAN), (1.0, -INF), (1.0, INF))
    ),
    *(
        peer_update(crashes=[peers.CrashUpdate("t", "1", ["a"], ago)])
        for ago in (NAN, INF, -INF)
    ),
    *(
        peer_update(answered=[peers.AnsweredUpdate(["a"], ago)])
        for ago in (NAN, INF, -INF)
    ),
    *(
        peer_update(quarantines=[peers.QuarantineUpdate(["a"], *times)])
        for times in (
            (NAN, 1.0, 1, 1.0),
            (1.0, INF, 1, 1.0),
            (1.0, 1.0, 2**63, 1.0),
            (1.0, 1.0, -1, 1.0),
            (1.0, 1.0, 1, -INF),
        )
    ),
    *(
        peer_update(notices=[peers.NoticeUpdate("t", "1", left, False)])
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
                    peers.decode(encoder.encode(update), 100.0)

    def test_mutated_datagrams_are_refused_or_finite(self):
        rng = random.Random(SEED)
        encoder = msgspec.msgpack.Encoder()
        update = peer_update(
            work_items=[work_item()],
            rate_limits=[peers.RateLimitUpdate("t", 5.0, 1.0, "1")],
            notices=[peers.NoticeUpdate("t", "1", 1.0, False)],
            quarantines=[peers.QuarantineUpdate(["a"], 1.0, 1.0, 1, 1.0)],
        )
        data = encoder.encode(update)
        accepted = 0
        for _ in range(20_000):
            mutated = bytearray(data)
            for _ in range(rng.randint(1, 3)):
                mutated[rng.randrange(len(mutated))] = rng.randrange(256)
            try:
                decoded = peers.decode(bytes(mutated), 100.0)
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
            owner="p", revision=5, after=4, part=0, part_count=1, data=b"data"
        )
        data = peers.encode_relay(update)
        for _ in range(5_000):
            mutated = bytearray(data)
            mutated[rng.randrange(1, len(mutated))] = rng.randrange(256)
            try:
                decoded = peers.decode_relay(bytes(mutated))
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
