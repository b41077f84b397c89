"""Small helpers that several adapters share."""

import asyncio
import typing as t

CANCEL_INTERVAL = 1.0  # seconds


async def cancel_all(tasks: t.Iterable[asyncio.Task]) -> None:
    """Cancel tasks and wait until they have ended.

    A task that goes on is cancelled again: ``asyncio.wait_for`` loses a
    cancellation that comes just as the awaited call returns.
    """
    pending = {task for task in tasks if not task.done()}
    while pending:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=CANCEL_INTERVAL)
