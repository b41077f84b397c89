import asyncio
import unittest

from chicorycove import utils
from chicorycove.utils import cancel_all


async def ignore_cancellations(count):
    """Ignore a number of cancellations, as a loop around wait_for may."""
    while True:
        try:
            await asyncio.sleep(60)
        except asyncio.CancelledError:
            count -= 1
            if count < 0:
                raise


class CancelAllTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        interval = utils.CANCEL_INTERVAL
        self.addCleanup(setattr, utils, "CANCEL_INTERVAL", interval)
        utils.CANCEL_INTERVAL = 0.01

    async def test_tasks_that_ignore_cancellations_end(self):
        tasks = [asyncio.create_task(ignore_cancellations(n)) for n in range(4)]
        await asyncio.sleep(0)
        await cancel_all(tasks)
        self.assertTrue(all(task.cancelled() for task in tasks))

    async def test_finished_tasks_are_unchanged(self):
        task = asyncio.create_task(asyncio.sleep(0, "result"))
        await task
        await cancel_all([task])
        self.assertEqual(task.result(), "result")
