"""An entry's link to an agent, on the agent's side."""

import typing as t

from .answer import AnswerBuffer
from .outbox import Outbox
from .wire import link_pb2 as wire


class Session:
    """Sends frames and answers to one entry, in order and coalesced."""

    def __init__(self, owner: str) -> None:
        self._owner = owner
        self._outbox: Outbox[wire.AgentFrame | AnswerBuffer] = Outbox()

    @property
    def owner(self) -> str:
        """Return the name of the entry's process."""
        return self._owner

    def send(self, frame: wire.AgentFrame) -> None:
        """Queue a frame."""
        self._outbox.put(frame)

    def flush(self, answer: AnswerBuffer) -> None:
        """Queue what an answer has that was not sent yet."""
        if self._outbox.last is not answer:
            self._outbox.put(answer)

    def replay(self, answer: AnswerBuffer, offset: int) -> None:
        """Queue an answer from an offset in bytes."""
        answer.rewind(offset)
        if answer.head is not None:
            self.send(answer.head)
        self.flush(answer)
        if answer.end is not None:
            self.send(answer.end)

    def close(self) -> None:
        """End the stream once all is sent."""
        self._outbox.close()

    async def batches(self) -> t.AsyncIterator[wire.AgentBatch]:
        """Yield messages for the stream until the session is closed."""
        while items := await self._outbox.take():
            frames = [frame for frame in map(_frame, items) if frame is not None]
            if frames:
                yield wire.AgentBatch(frames=frames)


def _frame(item: wire.AgentFrame | AnswerBuffer) -> wire.AgentFrame | None:
    if isinstance(item, AnswerBuffer):
        return item.next_chunk()
    return item
