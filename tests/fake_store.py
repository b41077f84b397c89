"""An in-memory store that can lose answers or become unavailable."""

from chicorycove.command import ReadKey, SwapKey
from chicorycove.event import (
    OutcomeUnknown,
    StoreUnreachable,
    SwapConflicted,
    SwapSucceeded,
    ValueRead,
)


class FakeStore:
    def __init__(self):
        self.down = False
        self.lose = False  # loses the answers of calls that take effect
        self.calls = 0
        self._values = {}
        self._version = 0

    def carry_out(self, command):
        self.calls += 1
        if self.down:
            return StoreUnreachable()
        match command:
            case ReadKey():
                result = ValueRead(*self.get(command.key))
            case SwapKey():
                result = self._swap(command)
        return OutcomeUnknown() if self.lose else result

    def get(self, key):
        return self._values.get(key, (b"", 0))

    def _swap(self, command):
        value, version = self.get(command.key)
        if version != command.version:
            return SwapConflicted(value, version)
        self._version += 1
        self._values[command.key] = (command.value, self._version)
        return SwapSucceeded(self._version)
