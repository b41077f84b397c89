"""Queue of frames to be sent, coalesced while the writer is busy."""

import asyncio
import typing as t

FrameT = t.TypeVar("FrameT")

MAX_BATCH_FRAMES = 256  # frames in one message


class Outbox(t.Generic[FrameT]):
    """Queue that is read in batches."""

    def __init__(self) -> None:
        self._frames: list[FrameT] = []
        self._ready = asyncio.Event()
        self._closed = False

    def put(self, frame: FrameT) -> None:
        """Queue a frame."""
        self._frames.append(frame)
        self._ready.set()

    @property
    def last(self) -> FrameT | None:
        """Return the newest frame that is still queued, if any."""
        return self._frames[-1] if self._frames else None

    def close(self) -> None:
        """End the batches once all queued frames are read."""
        self._closed = True
        self._ready.set()

    async def next_batch(self) -> list[FrameT]:
        """Wait for frames and return a batch, which is empty once closed."""
        await self._ready.wait()
        frames = self._frames[:MAX_BATCH_FRAMES]
        del self._frames[:MAX_BATCH_FRAMES]
        if not self._frames and not self._closed:
            self._ready.clear()
        return frames
