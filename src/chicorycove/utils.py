"""Helpers for asyncio tasks."""

import asyncio
import logging
import typing as t

CANCEL_INTERVAL = 1.0  # seconds between cancellations of a task


async def cancel_all(tasks: t.Iterable[asyncio.Task]) -> None:
    """Cancel tasks and wait until they have ended.

    A task that is still running is cancelled again: ``asyncio.wait_for``
    loses a cancellation that arrives just as the awaited call returns.
    """
    pending = {task for task in tasks if not task.done()}
    while pending:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=CANCEL_INTERVAL)


class Tasks:
    """A group of tasks; failures are logged."""

    def __init__(self, logger: logging.Logger) -> None:
        self._logger = logger
        self._tasks: set[asyncio.Task] = set()

    def spawn(self, work: t.Coroutine) -> asyncio.Task:
        """Start a task."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._handle_task_end)
        return task

    async def cancel(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        await cancel_all(self._tasks)

    def _handle_task_end(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._logger.error("task failed", exc_info=task.exception())
