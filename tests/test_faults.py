"""Test kills, pauses, lost answers and stops of real processes end to end."""

import asyncio
import json
import signal
import unittest

import xxhash
from aiosonic.timeout import Timeouts

from bench.deployment import Deployment, DeploymentSpec, TargetSpec, get_json, put_json
from bench.once import CATALOGUE, CONNECTION_ERRORS, PATH
from chicorycove.httpclient import new_client

TIMEOUT = 60.0  # seconds
TARGETS = (
    TargetSpec("advisor-1", "advisor"),
    TargetSpec("advisor-2", "advisor"),
    TargetSpec("purchasing-1", "purchasing", "plain", options=("--work-time", "0.3")),
)
DONE = b"data: [DONE]\n\n"


class FaultTest(unittest.IsolatedAsyncioTestCase):
    @classmethod
    def setUpClass(cls):
        spec = DeploymentSpec(CATALOGUE, TARGETS, entries=2, log_level="error")
        cls.deployment = Deployment(spec)
        cls.deployment.__enter__()
        cls.addClassCleanup(cls.deployment.close)

    async def asyncSetUp(self):
        self.client = new_client(64, TIMEOUT)
        self.addAsyncCleanup(self.client.aclose)
        for number in range(len(self.deployment.entries)):
            await self.wait_until_serving(number)

    async def wait_until_serving(self, entry):
        """Wait until an entry has links to the targets of both services."""
        async with asyncio.timeout(TIMEOUT):
            for path, key, body in (
                ("/services/purchasing/ping", "secretariat-key", None),
                ("/v1/completions", "toolroom-key", prompt(2)),
            ):
                while await self.status(entry, path, key, body) != 200:
                    await asyncio.sleep(0.1)

    async def status(self, entry, path, key, body):
        headers = {"Authorization": f"Bearer {key}"}
        url = self.deployment.entries[entry] + path
        method = "GET" if body is None else "POST"
        try:
            response = await self.client.request(
                url, method, headers=headers, data=body
            )
            await response.content()
        except CONNECTION_ERRORS:
            return 0
        return response.status_code

    async def register(self, entry, order, timeout=20):
        """Return the status and the JSON body of a registration."""
        response = await self.client.post(
            self.deployment.entries[entry] + PATH,
            headers={
                "Authorization": "Bearer secretariat-key",
                "Idempotency-Key": order,
                "X-Request-Timeout": str(timeout),
            },
            data=order.encode(),
            timeouts=Timeouts(sock_read=None, request_timeout=None),
        )
        return response.status_code, json.loads(await response.content())

    async def stream(self, entry, tokens):
        """Return the status and the complete body of a streamed completion."""
        response = await self.client.request(
            self.deployment.entries[entry] + "/v1/completions",
            "POST",
            headers={"Authorization": "Bearer toolroom-key"},
            data=prompt(tokens),
            stream=True,
            timeouts=Timeouts(sock_read=None, request_timeout=None),
        )
        data = b""
        async for chunk in response.read_chunks():
            data += chunk
        return response.status_code, data

    def executed_requests(self):
        url = self.deployment.urls["purchasing-1"]
        return [
            run["request"]
            for run in get_json(f"{url}/service/runs")
            if run["method"] == "POST"
        ]

    def set_store_faults(self, **faults):
        url = f"{self.deployment.urls['store']}/standin/faults"
        put_json(url, faults, "POST")

    async def wait_until_running(self):
        """Wait until an agent runs a stream, and return the agent's name."""
        async with asyncio.timeout(TIMEOUT):
            while True:
                for target in ("advisor-1", "advisor-2"):
                    url = f"{self.deployment.urls[target]}/engine/load"
                    if get_json(url)["running"]:
                        return f"agent-{target}"
                await asyncio.sleep(0.02)

    async def test_agent_killed_in_a_stream(self):
        task = asyncio.create_task(self.stream(0, 100))
        agent = await self.wait_until_running()
        self.deployment.kill(agent)
        try:
            status, data = await task
        finally:
            self.deployment.restart(agent)
        self.assertEqual(status, 200)
        self.assertTrue(data.endswith(DONE))
        text, checksum = parse_stream(data)
        self.assertEqual(xxhash.xxh64_hexdigest(text.encode()), checksum)

    async def test_entry_killed_after_its_claim(self):
        count_before = len(self.executed_requests())
        task = asyncio.create_task(self.register(0, "killed"))
        await asyncio.sleep(0.15)
        self.deployment.kill("entry-1")
        with self.assertRaises(CONNECTION_ERRORS):
            await task
        try:
            status, document = await self.register(1, "killed", timeout=3)
        finally:
            self.deployment.restart("entry-1")
        run_count = len(self.executed_requests()) - count_before
        self.assertLessEqual(run_count, 1)
        if status == 200:
            self.assertEqual(run_count, 1)
        else:
            self.assertEqual(document["verdict"], "may_have_run")

    async def test_entry_stopped_past_its_claim(self):
        count_before = len(self.executed_requests())
        task = asyncio.create_task(self.register(0, "stopped", timeout=2))
        await asyncio.sleep(0.15)
        self.deployment.signal("entry-1", signal.SIGSTOP)
        try:
            await self.register(1, "stopped", timeout=3)
        finally:
            self.deployment.signal("entry-1", signal.SIGCONT)
        await task
        status, _ = await self.register(1, "stopped", timeout=2)
        self.assertIn(status, (200, 504, 409))
        self.assertEqual(len(self.executed_requests()) - count_before, 1)

    async def test_answer_lost_after_the_work(self):
        count_before = len(self.executed_requests())
        faults = f"{self.deployment.urls['purchasing-1']}/service/faults"
        put_json(faults, {"lose_answers": 1}, "POST")
        status, document = await self.register(0, "lost")
        self.assertEqual((status, document["verdict"]), (502, "may_have_run"))
        status, document = await self.register(1, "lost")
        self.assertEqual((status, document["verdict"]), (504, "may_have_run"))
        self.assertEqual(len(self.executed_requests()) - count_before, 1)

    async def test_store_down_and_its_answers_lost(self):
        count_before = len(self.executed_requests())
        self.set_store_faults(lose_answers=1)
        status, first = await self.register(0, "unsure")
        self.assertEqual(status, 200)
        self.set_store_faults(down=True)
        try:
            status, document = await self.register(0, "outage", timeout=2)
        finally:
            self.set_store_faults(down=False)
        refusal = (status, document["reason"], document["verdict"])
        self.assertEqual(refusal, (503, "store_down", "not_run"))
        status, repeated = await self.register(1, "unsure")
        self.assertEqual((status, repeated), (200, first))
        self.assertEqual(len(self.executed_requests()) - count_before, 1)

    async def test_planned_stops_cut_no_request(self):
        for process_name in ("agent-advisor-1", "entry-1"):
            with self.subTest(process_name=process_name):
                tasks = [asyncio.create_task(self.stream(0, 100)) for _ in range(8)] + [
                    asyncio.create_task(self.register(0, f"{process_name}-{n}"))
                    for n in "ab"
                ]
                await asyncio.sleep(0.2)
                # A second signal ends nothing early.
                for number in (signal.SIGTERM, signal.SIGTERM, signal.SIGINT):
                    self.deployment.signal(process_name, number)
                    await asyncio.sleep(0.05)
                answers = await asyncio.gather(*tasks)
                exit_code = await asyncio.to_thread(
                    self.deployment.wait, process_name, TIMEOUT
                )
                self.deployment.restart(process_name)
                self.assertEqual(exit_code, 0)
                self.assertEqual({status for status, _ in answers}, {200})
                for _, data in answers[:8]:
                    self.assertTrue(data.endswith(DONE))


def prompt(tokens):
    body = {"model": "advisor", "prompt": "Where?" * 40, "max_tokens": tokens}
    return json.dumps(body | {"stream": True, "seed": 1}).encode()


def parse_stream(data):
    """Return the text and the checksum that the events of a stream carry."""
    lines = data.split(b"\n")
    events = [json.loads(line[6:]) for line in lines if line.startswith(b"data: {")]
    choices = [choice for event in events for choice in event.get("choices", ())]
    text = "".join(choice.get("text", "") for choice in choices)
    return text, events[-1].get("checksum")
