"""Test callers' requests through the local role, end to end on loopback."""

import asyncio
import json
import unittest

import aiosonic
from aiosonic.timeout import Timeouts

from chicorycove.catalogue import ServiceKind
from chicorycove.conversion import Address
from chicorycove.local import LocalProcess
from chicorycove.settings import LocalSettings, LocalTarget, Role, Settings
from examples.demo import Caller

MAX_BODY = 1_000_000  # bytes
MAX_ANSWER = 6_000  # bytes; above any stream here, below an answer of 1,024 words
TIMEOUT = 60.0  # seconds; far above the time of any step

PROMPT = {"model": "advisor", "prompt": "Where does the gate go?"}

# Name and request of each case, and the expected status and reason.
BAD_INPUT = [
    ("broken JSON", {"data": b"{"}, 400, "bad_request"),
    ("empty body", {"data": b""}, 400, "bad_request"),
    ("not an object", {"data": b"[1]"}, 400, "bad_request"),
    ("no model", {"json": {"prompt": "x"}}, 400, "bad_request"),
    ("no prompt", {"json": {"model": "advisor"}}, 400, "bad_request"),
    ("model unknown", {"json": PROMPT | {"model": "x"}}, 404, "unknown_model"),
    ("stream not a bool", {"json": PROMPT | {"stream": "yes"}}, 400, "bad_request"),
    ("no tokens requested", {"json": PROMPT | {"max_tokens": 0}}, 400, "bad_request"),
    ("key unknown", {"key": "wrong"}, 401, "unauthenticated"),
    ("key empty", {"key": ""}, 401, "unauthenticated"),
    ("path unknown", {"path": "/v1/nothing"}, 404, "unknown_path"),
    ("service unknown", {"path": "/services/x/y"}, 404, "unknown_service"),
    ("body too large", {"data": b"x" * (MAX_BODY + 1)}, 413, "body_too_large"),
    ("deadline past", {"timeout": "-1"}, 400, "deadline_past"),
    ("deadline no number", {"timeout": "soon"}, 400, "bad_request"),
    ("deadline not a number", {"timeout": "nan"}, 400, "bad_request"),
    ("deadline too far", {"timeout": "1e9"}, 400, "bad_request"),
    ("key too long", {"idempotency_key": "k" * 256}, 400, "bad_request"),
]


def settings(engines=2, memory=4096):
    targets = [
        LocalTarget(
            name=f"advisor-{number}",
            service="advisor",
            failure_domain="a",
            memory=memory,
        )
        for number in range(1, engines + 1)
    ]
    plain = LocalTarget(
        name="purchasing-1",
        service="purchasing",
        failure_domain="a",
        kind=ServiceKind.PLAIN,
    )
    return Settings(
        role=Role.LOCAL,
        name="local",
        local=LocalSettings(
            listen=Address("127.0.0.1:0"),
            catalogue="examples/local/catalogue.json",
            targets=(*targets, plain),
            time_scale=0.01,
            max_body=MAX_BODY,
            max_answer=MAX_ANSWER,
        ),
    )


class LocalTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.process = LocalProcess(settings())
        await self.process.start()
        self.url = f"http://{self.process.entry.listener.address}"
        self.client = aiosonic.HTTPClient()
        self.caller = Caller(self.url)
        targets = self.process.entry.entry.board.targets
        await self.caller.wait_until_ready(
            lambda: sum(target.agent is not None for target in targets.values()) == 3
        )

    async def asyncTearDown(self):
        await self.client.aclose()
        await self.process.stop()

    async def send(
        self,
        path="/v1/completions",
        key="toolroom-key",
        timeout=None,
        idempotency_key=None,
        **body,
    ):
        headers = {"Authorization": f"Bearer {key}"}
        if timeout is not None:
            headers["X-Request-Timeout"] = timeout
        if idempotency_key is not None:
            headers["Idempotency-Key"] = idempotency_key
        if not body:
            body = {"json": PROMPT}
        return await self.client.post(
            self.url + path,
            headers=headers,
            timeouts=Timeouts(sock_read=None, request_timeout=TIMEOUT),
            **body,
        )

    async def runs(self):
        result = []
        for name, url in self.process.targets.items():
            kind = "service" if name.startswith("purchasing") else "engine"
            response = await self.client.get(f"{url}/{kind}/runs")
            result += await response.json()
        return result

    async def test_bad_input_is_refused_and_nothing_runs(self):
        for name, change, status, reason in BAD_INPUT:
            with self.subTest(name):
                response = await self.send(**change)
                problem = await response.json()
                self.assertEqual(response.status_code, status, problem)
                self.assertEqual(problem["reason"], reason)
                self.assertEqual(problem["verdict"], "not_run")
                self.assertTrue(problem["detail"])
                self.assertIn("problem+json", response.headers["content-type"])
        self.assertEqual(await self.runs(), [])
        self.assertFalse(self.process.entry.entry.busy)

    async def test_complete_answer_is_what_the_engine_sent(self):
        response = await self.send(json=PROMPT | {"max_tokens": 9})
        answer = await response.json()
        (run,) = await self.runs()
        self.assertEqual(answer["checksum"], run["checksum"])
        self.assertEqual(response.headers["x-request-id"], run["request"])

    async def test_answers_are_byte_equal_to_the_engines(self):
        for stream in (False, True):
            body = json.dumps(PROMPT | {"max_tokens": 9, "stream": stream}).encode()
            with self.subTest(stream=stream):
                relayed = await self.send(data=body)
                name = relayed.headers["x-target"]
                direct = await self.client.post(
                    f"{self.process.targets[name]}/v1/completions",
                    headers={
                        "X-Request-Id": relayed.headers["x-request-id"],
                        "X-Attempt-Id": f"direct/{int(stream)}/n",
                    },
                    data=body,
                )
                self.assertEqual(await relayed.content(), await direct.content())

    async def test_prompt_beyond_one_engine_runs_on_a_group(self):
        outcome = await self.caller.complete("history", "design-office-key", 7000)
        self.assertEqual(outcome.verdict, "ran", outcome.detail)
        self.assertEqual(len(outcome.targets.split(",")), 2)

    async def test_keyed_registration_runs_once(self):
        first = await self.caller.register("secretariat-key", "steel-1")
        repeated = await self.caller.register("secretariat-key", "steel-1")
        other = await self.caller.register("secretariat-key", "steel-2")
        self.assertEqual([first.verdict, repeated.verdict, other.verdict], ["ran"] * 3)
        self.assertEqual([first.detail, repeated.detail], ["", "replayed"])
        self.assertEqual(len(await self.runs()), 2)

    async def test_key_with_another_body_is_refused(self):
        await self.caller.register("secretariat-key", "steel-1")
        response = await self.send(
            path="/services/purchasing/registrations",
            key="secretariat-key",
            idempotency_key="steel-1",
            json={"steel": "SKD61"},
        )
        self.assertEqual(response.status_code, 422)
        self.assertEqual((await response.json())["reason"], "key_reused")
        self.assertEqual(len(await self.runs()), 1)

    async def test_complete_answer_beyond_the_limit_is_a_problem(self):
        response = await self.send(json=PROMPT | {"max_tokens": 1024})
        problem = await response.json()
        self.assertEqual(problem["reason"], "answer_too_large")
        self.assertEqual(problem["verdict"], "may_have_run")

    async def test_answer_that_the_engine_lost_is_resumed(self):
        for url in self.engines():
            await self.client.post(f"{url}/engine/faults", json={"lose_answers": 1})
        outcomes = [
            await self.caller.complete("lost", "toolroom-key", 50) for _ in range(4)
        ]
        self.assertEqual(
            [outcome.verdict for outcome in outcomes], ["ran"] * 4, outcomes
        )
        response = await self.send(json=PROMPT | {"max_tokens": 9})
        self.assertEqual(response.status_code, 200)
        self.assertEqual(len(await self.runs()), 5)

    async def test_disconnected_caller_frees_the_engine(self):
        body = json.dumps(PROMPT | {"max_tokens": 1024, "stream": True}).encode()
        address = self.process.entry.listener.address
        reader, writer = await asyncio.open_connection(address.host, address.port)
        head = (
            "POST /v1/completions HTTP/1.1\r\nHost: entry\r\n"
            "Authorization: Bearer toolroom-key\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        for url in self.engines():
            await self.client.post(f"{url}/engine/faults", json={"slow": 1000.0})
        writer.write(head.encode() + body)
        self.assertIn(b"200", await reader.readline())
        async with asyncio.timeout(TIMEOUT):
            while not await self.attempts_in_memory():
                await asyncio.sleep(0.05)
            writer.close()
            while await self.attempts_in_memory() or self.process.entry.entry.busy:
                await asyncio.sleep(0.05)
        (run,) = await self.runs()
        self.assertFalse(run["finished"])

    def engines(self):
        targets = self.process.targets.items()
        return [url for name, url in targets if name.startswith("advisor")]

    async def attempts_in_memory(self):
        """Return the attempts that hold memory at any engine."""
        result = {}
        for url in self.engines():
            response = await self.client.get(f"{url}/engine/load")
            result |= (await response.json())["attempts"]
        return result

    async def test_concurrent_requests_each_get_their_own_answer(self):
        async def one(number):
            text = f"question {number}"
            return await self.caller.complete(text, "toolroom-key", 50 + number)

        outcomes = await asyncio.gather(*(one(number) for number in range(40)))
        self.assertEqual([outcome.verdict for outcome in outcomes], ["ran"] * 40)

    async def test_probes(self):
        for path, text in [("/healthz", "ok\n"), ("/readyz", "ready\n")]:
            response = await self.client.get(self.url + path)
            self.assertEqual(await response.text(), text)
        await self.send(key="wrong")
        await self.client.get(f"{self.url}/v1/models")
        await self.client.get(f"{self.url}/v1/nothing")
        page = await (await self.client.get(f"{self.url}/metrics")).text()
        self.assertIn('reason="unauthenticated",verdict="not_run"} 2', page)
        self.assertIn('reason="unknown_path",verdict="not_run"} 1', page)
