"""Orders with real processes, while the planner is killed or paused."""

import pathlib
import tempfile
import unittest

from bench import orders
from bench.deployment import Deployment


class PlannerFaultTest(unittest.IsolatedAsyncioTestCase):
    async def test_kill_and_stop_past_the_lease_fail_no_request(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "catalogue.json"
            path.write_text(orders.seed())
            with Deployment(orders.spec(path, targets=3)) as deployment:
                driver = orders.Driver(deployment, targets=3)
                await driver.wait_until(driver.planner_name)
                stopped = await driver.episode("stop", "2", driver.stop_planner)
                killed = await driver.episode("kill", "3", driver.kill_planner)
        for episode in (stopped, killed):
            with self.subTest(episode=episode.name):
                self.assertGreater(episode.requests, 0)
                self.assertEqual(episode.failed, 0)
