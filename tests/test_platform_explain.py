"""Tests of explanations through the platform's process and the command."""

import asyncio
import json
import sys
import urllib.parse

from bench.deployment import free_port

from .platform_case import HOST, KEY, Caller, PlatformTestCase, config, new_boot

ASK = {"host": HOST, "path": "/ask/x", "tokens": "1000", "output_tokens": "460"}


class ExplainTestCase(PlatformTestCase):
    """A test case that asks the entry on the address of its metrics."""

    @property
    def address(self):
        return f"{self.boot.ip}:{self.boot.metrics_port}"

    async def get(self, query, key=KEY):
        """Return the answer to a query, which may be malformed."""
        if isinstance(query, dict):
            query = urllib.parse.urlencode(query)
        caller = await Caller.open(self.address)
        try:
            return await caller.request(f"/explain?{query}", method="GET", key=key)
        finally:
            caller.close()

    async def explain(self, key=KEY, **fields):
        answer = await self.get({**ASK, **fields}, key)
        self.assertEqual(answer.status, 200, answer.body)
        self.assertEqual(answer.headers["content-type"], "application/json")
        return json.loads(answer.body)


class ExplainPageTest(ExplainTestCase):
    async def test_request_goes_where_the_explanation_says(self):
        explanation = await self.explain()
        self.assertIsNone(explanation["refusal"])
        self.assertEqual(self.runs(), [])
        target = explanation["placement"]["target"]
        self.assertEqual((await self.request_stream("/ask/x")).status, 200)
        ran = [server.id for server in self.model_servers if server.runs]
        self.assertEqual(ran, [target])

    async def test_explanation_says_how_recent_the_view_is(self):
        revision = self.store.put("op/config", json.dumps(config(2)).encode())

        async def followed():
            return (await self.explain())["store_revision"] >= revision

        await self.wait_until(followed)
        explanation = await self.explain()
        self.assertEqual(explanation["workspace"], "toolroom")
        self.assertLess(explanation["store_heard_ago"], 5.0)
        self.assertEqual(explanation["entry_count"], 1)
        self.assertEqual(explanation["heard_entry_count"], 1)

    async def test_refusals_are_those_that_callers_get(self):
        refusal = (await self.explain(path="/none/x"))["refusal"]
        self.assertEqual((refusal["reason"], refusal["status"]), ("unknown_path", 404))
        refusal = (await self.explain(key="other"))["refusal"]
        self.assertEqual(
            (refusal["reason"], refusal["status"]), ("unauthenticated", 401)
        )
        refusal = (await self.explain(deadline="0.1", tokens="100000"))["refusal"]
        self.assertEqual(refusal["reason"], "deadline_infeasible")
        self.assertEqual(refusal["status"], 503)
        self.assertGreater(refusal["retry_after"], 0.0)

    async def test_evacuated_and_leaving_targets_are_named(self):
        self.register_server(self.model_servers[0], state="draining")
        self.store.put(f"op/evacuate/{self.boot.failure_domain}", b"{}")

        async def evacuated():
            return (await self.explain())["refusal"] is not None

        await self.wait_until(evacuated)
        explanation = await self.explain()
        self.assertEqual(explanation["refusal"]["reason"], "service_evacuated")
        excluded = {each["target"]: each["excluded"] for each in explanation["targets"]}
        self.assertEqual(
            excluded,
            {
                self.model_servers[0].id: "leaving",
                self.model_servers[1].id: "evacuated",
            },
        )

    async def test_model_and_workspace_replace_path_and_key(self):
        query = {"model": "model", "workspace": "toolroom"}
        answer = await self.get(
            {**query, "tokens": "1000", "output_tokens": "460"}, None
        )
        explanation = json.loads(answer.body)
        self.assertEqual(explanation["route"], "ask")
        self.assertIsNotNone(explanation["placement"])
        self.assertTrue(all(each["cost_parts"] for each in explanation["targets"]))

    async def test_services_of_a_route_can_be_named(self):
        routes = [dict(config()["routes"][0])]
        routes[0].pop("service")
        routes[0]["trafficSplit"] = [
            {"service": "shop", "weight": 1},
            {"service": "model", "weight": 3},
        ]
        self.write_config(config(2, routes))
        query = {"host": HOST, "path": "/lookup/x"}

        async def service(**fields):
            body = (await self.get({**query, **fields})).body
            return json.loads(body).get("service")

        async def in_force():
            return await service() == "model"

        await self.wait_until(in_force)
        self.assertEqual(await service(model="shop"), "shop")
        self.assertEqual(await service(model="model"), "model")

    async def test_malformed_queries_are_answered_400_and_end_nothing(self):
        valid = urllib.parse.urlencode(ASK)
        queries = [
            "",
            "host",
            "=&=",
            "%ff",
            "host=%ff&path=/",
            f"host={HOST}",
            f"host={HOST}&path=ask",
            f"host={HOST}&path=/ask/x&tokens=5",
            f"host={HOST}&path=/%E2%82%AC",
            f"{valid}&other=1",
            f"{valid}&host={HOST}",
            f"{valid}&" + "&".join(["a=1"] * 200),
            f"{valid}&model=none",
            f"{valid}&workspace=toolroom",
            f"{valid}&body_size=-1",
            f"{valid}&deadline=nan",
            f"{valid}&deadline=-1",
            f"{valid}&deadline=1e9",
            f"{valid}&prompt_prefix=%E2%82%AC",
            "model=none",
            valid.replace("1000", "1" * 200),
            valid.replace("1000", "%D9%A3"),
            valid.replace("1000", "1e3"),
            valid.replace("1000", ""),
        ]
        started = asyncio.create_task(self.request_stream("/ask/x"))
        for query in queries:
            with self.subTest(query=query):
                answer = await self.get(query)
                self.assertEqual(answer.status, 400)
                self.assertTrue(answer.body)
        self.assertEqual((await started).status, 200)
        self.assertIsNone((await self.explain())["refusal"])

    async def test_only_the_address_of_the_metrics_explains(self):
        path = f"/explain?{urllib.parse.urlencode(ASK)}"
        for address in (self.boot.readiness, self.boot.callers):
            answer = await self.get_page(address, path)
            self.assertNotEqual(answer.status, 200)

    async def test_entry_without_a_configuration_says_so(self):
        boot = new_boot(store=f"127.0.0.1:{free_port()}")
        await self.start_entry(boot, wait_ready=False)
        explanation = await self.explain()
        self.assertEqual(explanation["refusal"]["reason"], "not_ready")
        self.assertIsNone(explanation["store_heard_ago"])


class ExplainCommandTest(ExplainTestCase):
    async def run_command(self, *arguments):
        """Return the exit code, output and errors of the command."""
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "chicorycove.cli", "explain", *arguments),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        output, errors = await process.communicate()
        return process.returncode, output.decode(), errors.decode()

    async def run_query(self, *arguments):
        fields = {"--address": self.address, "--host": HOST, "--path": "/ask/x"}
        options = [text for option in fields.items() for text in option]
        options += ["--tokens", "1000", "--output-tokens", "460", *arguments]
        return await self.run_command(*options)

    async def test_table_and_json(self):
        code, output, errors = await self.run_query("--workspace", "toolroom")
        self.assertEqual((code, errors), (0, ""))
        lines = output.splitlines()
        self.assertTrue(lines[0].startswith("sent to "), output)
        self.assertEqual(lines[1], "route ask, service model, workspace toolroom")
        self.assertIn("1 of 1 entries heard", lines[2])
        for server in self.model_servers:
            self.assertTrue(any(line.startswith(server.id) for line in lines))
        code, output, _ = await self.run_query("--caller-key", KEY, "--json")
        self.assertEqual(code, 0)
        placement = json.loads(output)["placement"]
        self.assertTrue(lines[0].startswith(f'sent to {placement["target"]}'))
        self.assertEqual(self.runs(), [])

    async def test_refusal_is_an_answer(self):
        code, output, _ = await self.run_query("--workspace=toolroom", "--deadline=0")
        self.assertEqual(code, 0)
        self.assertTrue(output.startswith("refused: deadline_past, status 503"), output)

    async def test_exit_codes(self):
        code, _, errors = await self.run_query("--deadline", "soon")
        self.assertEqual(code, 3)
        self.assertIn("deadline: expected seconds", errors)
        code, _, errors = await self.run_command("--address", "x", "--model", "model")
        self.assertEqual(code, 2)
        self.assertIn("expected HOST:PORT", errors)
        closed = f"127.0.0.1:{free_port()}"
        code, _, _ = await self.run_command("--address", closed, "--model", "model")
        self.assertEqual(code, 7)
