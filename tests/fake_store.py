"""A store in memory that loses answers and goes down on request."""

from chicorycove.command import StoreRead, StoreSwap
from chicorycove.event import Found, Lost, Swapped, Unavailable, Unknown


class FakeStore:
    def __init__(self):
        self.down = False
        self.lose = False  # the answers of calls that take effect
        self.calls = 0
        self._values = {}
        self._version = 0

    def carry_out(self, command):
        self.calls += 1
        if self.down:
            return Unavailable()
        match command:
            case StoreRead():
                result = Found(*self.get(command.key))
            case StoreSwap():
                result = self._swap(command)
        return Unknown() if self.lose else result

    def get(self, key):
        return self._values.get(key, (b"", 0))

    def _swap(self, command):
        value, version = self.get(command.key)
        if version != command.version:
            return Lost(value, version)
        self._version += 1
        self._values[command.key] = (command.value, self._version)
        return Swapped(self._version)
