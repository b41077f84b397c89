"""Tests that the stand-in service records each call that ran."""

from standin.service import create_app
from tests.served import ServedTestCase


class RunTest(ServedTestCase):
    async def test_calls_are_numbered_in_order(self):
        service = await self.serve(create_app())
        headers = {"X-Request-Id": "r1", "X-Attempt-Id": "r1/1/n"}
        _, first = await self.post(f"{service.url}/steel", {"kg": 40}, headers)
        _, second = await self.send_request("PUT", f"{service.url}/steel/2", data=b"x")
        self.assertEqual([first["order"], second["order"]], [1, 2])
        _, runs = await self.get(f"{service.url}/service/runs")
        self.assertEqual([run["path"] for run in runs], ["/steel", "/steel/2"])
        self.assertEqual(runs[0]["attempt"], "r1/1/n")

    async def test_request_with_a_lost_answer_has_run(self):
        service = await self.serve(create_app())
        await self.post(f"{service.url}/service/faults", {"lose_answers": 1})
        with self.assertRaises(Exception):
            await self.post(f"{service.url}/steel", {"kg": 40})
        _, runs = await self.get(f"{service.url}/service/runs")
        self.assertEqual(len(runs), 1)
