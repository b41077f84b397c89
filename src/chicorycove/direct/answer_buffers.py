"""Bounds the memory of answers that are buffered until they are complete.

The load it answers: targets that send bytes without end, to many requests at
the same time, beside targets whose answers are small.
"""

MAX_ANSWER_SIZE = 8_388_608  # bytes of an answer that is not streamed
SMALL_ANSWER_SIZE = 65_536  # bytes that each answer may have
MAX_BUFFERED_SIZE = 67_108_864  # bytes of all answers beyond these


class AnswerBuffers:
    """Counts the bytes of all buffered answers; sizes are in bytes."""

    def __init__(self, max_size: int = MAX_BUFFERED_SIZE) -> None:
        self._max_size = max_size
        self._size = 0

    def resize(self, old_size: int, new_size: int) -> bool:
        """Count the growth of an answer; return False if it is too large."""
        growth = _counted_size(new_size) - _counted_size(old_size)
        if new_size > MAX_ANSWER_SIZE or self._size + growth > self._max_size:
            return False
        self._size += growth
        return True

    def release(self, size: int) -> None:
        """Count the end of an answer."""
        self._size -= _counted_size(size)


def _counted_size(size: int) -> int:
    return max(size - SMALL_ANSWER_SIZE, 0)
