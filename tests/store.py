"""An in-memory store with injected faults."""

import asyncio

from chicorycove.commit import DeleteKey, ReadKey, Sleep, SwapKey
from chicorycove.event import (
    OutcomeUnknown,
    StoreUnreachable,
    SwapConflicted,
    SwapSucceeded,
    ValueRead,
)


class DictStore:
    """A store in a dictionary whose calls fail as ``faults`` says."""

    def __init__(self):
        self.values = {}
        self.version = 0
        self.calls = 0
        self.faults = []  # "down", "lost", "delayed" or "" for each later call
        self.down = False
        self.delayed_writes = []  # writes that have not taken effect yet

    def carry_out(self, call):
        """Return the result of a call, after its fault if one is set."""
        if isinstance(call, Sleep):
            return None
        self.calls += 1
        fault = self.faults.pop(0) if self.faults else ""
        if self.down or fault == "down":
            return StoreUnreachable()
        if fault == "delayed" and not isinstance(call, ReadKey):
            self.delayed_writes.append(call)
            return OutcomeUnknown()
        result = self._carry_out(call)
        lost = fault == "lost" and not isinstance(call, ReadKey)
        return OutcomeUnknown() if lost else result

    def apply_delayed_write(self):
        """Execute the oldest delayed write, whose outcome was unknown."""
        self._carry_out(self.delayed_writes.pop(0))

    def run(self, calls):
        """Carry out every call of a generator and return its result."""
        result = None
        while True:
            try:
                result = self.carry_out(calls.send(result))
            except StopIteration as stop:
                return stop.value

    def _carry_out(self, call):
        value, version = self.values.get(call.key, (b"", 0))
        match call:
            case ReadKey():
                return ValueRead(value, version)
            case SwapKey() | DeleteKey() if call.version != version:
                return SwapConflicted(value, version)
            case SwapKey(key=key, value=new):
                self.version += 1
                self.values[key] = (new, self.version)
            case DeleteKey(key=key):
                self.version += 1
                del self.values[key]
        return SwapSucceeded(self.version)


class AsyncStore:
    """A ``DictStore`` with the interface of the key-value service's client."""

    def __init__(self, store=None):
        self.store = store or DictStore()

    async def get(self, key):
        return self.store.carry_out(ReadKey(key))

    async def swap(self, key, version, value):
        return self.store.carry_out(SwapKey(key, version, value))

    async def delete(self, key, version):
        return self.store.carry_out(DeleteKey(key, version))

    async def watch(self, key, version):
        while True:
            await asyncio.sleep(0.01)
            found = self.store.carry_out(ReadKey(key))
            if isinstance(found, StoreUnreachable):
                return
            if found.version > version:
                version = found.version
                yield found
