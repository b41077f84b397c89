"""Frames that wait to be sent, coalesced while the writer is busy."""

import asyncio
import typing as t

F = t.TypeVar("F")

MAX_FRAMES = 256  # in one message


class Outbox(t.Generic[F]):
    """A queue whose reader takes all that waits at once."""

    def __init__(self) -> None:
        self._frames: list[F] = []
        self._waiting = asyncio.Event()
        self._closed = False

    def put(self, frame: F) -> None:
        """Queue a frame."""
        self._frames.append(frame)
        self._waiting.set()

    @property
    def last(self) -> F | None:
        """Return the frame that was queued last and still waits."""
        return self._frames[-1] if self._frames else None

    def close(self) -> None:
        """Let the reader end once it has taken everything."""
        self._closed = True
        self._waiting.set()

    async def next_batch(self) -> list[F]:
        """Wait for frames and return them, or nothing once closed."""
        await self._waiting.wait()
        frames = self._frames[:MAX_FRAMES]
        del self._frames[:MAX_FRAMES]
        if not self._frames and not self._closed:
            self._waiting.clear()
        return frames
