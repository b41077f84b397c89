"""Prints the memory of an entry that holds requests without a configuration.

Run it by ``python -m tests.measure_held_requests``.
"""

import argparse
import asyncio
import pathlib
import tempfile

from soak.fleet import Entry

from .platform_case import Caller

WAIT_TIME = 3.0  # seconds for which callers are left waiting
CASES = ((0, 0), (256, 800), (256, 65_536), (16, 1_048_576), (512, 65_536))


def read_memory(pid):
    """Return the resident memory of a process and its peak, in MB."""
    lines = pathlib.Path(f"/proc/{pid}/status").read_text().splitlines()
    fields = dict(line.split(":", 1) for line in lines)
    return [int(fields[name].split()[0]) / 1024 for name in ("VmRSS", "VmHWM")]


async def wait_for_caller(entry):
    """Return a connection to an entry as soon as it listens."""
    async with asyncio.timeout(15.0):
        while True:
            try:
                return await Caller.open(f"127.0.0.1:{entry.caller_port}")
            except OSError:
                await asyncio.sleep(0.1)


async def measure(count, size):
    """Let callers send requests to an entry whose store never answers."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="held-"))
    store = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
    entry = Entry(folder, "entry", store.sockets[0].getsockname()[1])
    await entry.proxy.start()
    entry.write_boot()
    entry.start()
    try:
        callers = [await wait_for_caller(entry)]
        await asyncio.sleep(1.0)
        callers += [await wait_for_caller(entry) for _ in range(count - 1)]
        for caller in callers[:count]:
            caller.send("/ask/x", bytes(size), Chicorycove_Time_Budget_Ms="10000")
            await caller.writer.drain()
        await asyncio.sleep(WAIT_TIME)
        held = sum("request held" in line for line in read_log(folder))
        memory, peak = read_memory(entry.pid)
        print(
            f"{count} requests of {size} bytes: {held} held, "
            f"{memory:.1f} MB resident, {peak:.1f} MB at most"
        )
        for caller in callers:
            caller.close()
    finally:
        entry.kill()
        await entry.proxy.close()
        store.close()


def read_log(folder):
    return (folder / "entry.log").read_text().splitlines()


def main():
    argparse.ArgumentParser(description=__doc__).parse_args()
    for count, size in CASES:
        asyncio.run(measure(count, size))


if __name__ == "__main__":
    main()
