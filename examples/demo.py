"""Starts everything on loopback, sends four requests, checks the answers.

With ``--serve`` it keeps running, and prints where to send requests.
"""

import argparse
import asyncio
import dataclasses
import json
import pathlib
import sys
import time
import typing as t

import aiosonic
import xxhash
from aiosonic.timeout import Timeouts

from chicorycove import log
from chicorycove.local import LocalProcess
from chicorycove.settings import load

SETTINGS = pathlib.Path(__file__).parent / "local" / "settings.json"
BYTES_PER_TOKEN = 4
READY_TIMEOUT = 30.0  # seconds
DETAIL_SIZE = 400  # bytes of a broken answer that are shown
ROW = "{:<34} {:<10} {:>10} {:<44}"


@dataclasses.dataclass(frozen=True)
class Outcome:
    """What a caller saw of one request; time is in seconds."""

    name: str
    verdict: str
    first_token: float
    targets: str
    detail: str = ""

    @property
    def good(self) -> bool:
        """Tell whether the answer is whole."""
        return self.verdict == "ran"


def prompt_of(tokens: int, subject: str) -> str:
    """Return a text of a number of the stand-in's tokens."""
    size = tokens * BYTES_PER_TOKEN
    return (f"{subject} " * (size // (len(subject) + 1) + 1))[:size]


class Caller:
    """Sends requests as an application would."""

    def __init__(self, url: str) -> None:
        self._url = url
        self._client = aiosonic.HTTPClient()

    async def wait_until_ready(self, targets: t.Callable[[], bool]) -> None:
        """Wait for the entry and all its targets."""
        async with asyncio.timeout(READY_TIMEOUT):
            while not targets():
                await asyncio.sleep(0.02)
            while (await self._client.get(f"{self._url}/readyz")).status_code != 200:
                await asyncio.sleep(0.02)

    async def complete(self, name: str, key: str, tokens: int) -> Outcome:
        """Ask for a streamed completion and check that it is whole."""
        body = {
            "model": "advisor",
            "prompt": prompt_of(tokens, name),
            "max_tokens": 32,
            "stream": True,
        }
        began = time.monotonic()
        first = 0.0
        data = b""
        response = await self._client.request(
            f"{self._url}/v1/completions",
            method="POST",
            headers={"Authorization": f"Bearer {key}"},
            json=body,
            stream=True,
            timeouts=Timeouts(sock_read=None, request_timeout=None),
        )
        async for piece in response.read_chunks():
            first = first or time.monotonic() - began
            data += piece
        targets = response.headers.get("x-target", "")
        if response.status_code != 200:
            return Outcome(name, "failed", first, targets, data.decode())
        if is_whole(data):
            return Outcome(name, "ran", first, targets)
        return Outcome(name, "cut", first, targets, data[-DETAIL_SIZE:].decode())

    async def register(self, key: str, order: str) -> Outcome:
        """Register a purchase of steel under an idempotency key."""
        began = time.monotonic()
        response = await self._client.post(
            f"{self._url}/services/purchasing/registrations",
            headers={"Authorization": f"Bearer {key}", "Idempotency-Key": order},
            json={"steel": "NAK80", "kilograms": 1200},
        )
        answer = await response.json()
        replayed = response.headers.get("x-replayed", "false") == "true"
        return Outcome(
            f"registration {order}",
            "ran" if response.status_code == 200 else answer.get("verdict", "?"),
            time.monotonic() - began,
            response.headers.get("x-target", ""),
            "replayed" if replayed else "",
        )

    async def runs_of(self, service: str) -> list[t.Any]:
        """Return what a stand-in service has run."""
        response = await self._client.get(f"{service}/service/runs")
        return await response.json()


def is_whole(stream: bytes) -> bool:
    """Tell whether a stream's text has the checksum that its engine gave."""
    text = ""
    checksum = None
    lines = [line for line in stream.decode().splitlines() if line]
    for line in lines:
        if line.startswith("data: {"):
            event = json.loads(line.removeprefix("data: "))
            choices = event.get("choices", ())
            text += "".join(choice.get("text", "") for choice in choices)
            checksum = event.get("checksum", checksum)
    ended = bool(lines) and lines[-1] == "data: [DONE]"
    return ended and checksum == xxhash.xxh64_hexdigest(text.encode())


async def send_all(process: LocalProcess) -> bool:
    """Send the demo's requests, print what came, tell whether all is well."""
    caller = Caller(f"http://{process.entry.listener.address}")
    targets = process.entry.entry.board.targets
    expected = len(process.targets)
    await caller.wait_until_ready(
        lambda: sum(x.agent is not None for x in targets.values()) == expected
    )
    outcomes = [
        await caller.complete("short question", "toolroom-key", 200),
        await caller.complete("review, 100,000 tokens", "design-office-key", 100_000),
        await caller.complete("history, 300,000 tokens", "design-office-key", 300_000),
        await caller.register("secretariat-key", "steel-2026-12"),
        await caller.register("secretariat-key", "steel-2026-12"),
    ]
    runs = await caller.runs_of(process.targets["purchasing-1"])
    print(ROW.format("request", "verdict", "first, s", "ran on"))
    for outcome in outcomes:
        place = " ".join(filter(None, (outcome.targets, outcome.detail)))
        first = f"{outcome.first_token:.3f}"
        print(ROW.format(outcome.name, outcome.verdict, first, place))
    print(f"the registration ran {len(runs)} time(s)")
    grouped = len(outcomes[2].targets.split(",")) > 2
    return all(x.good for x in outcomes) and grouped and len(runs) == 1


async def serve(process: LocalProcess) -> None:
    """Print where requests go, and serve until interrupted."""
    url = f"http://{process.entry.listener.address}"
    print(f"entry: {url}")
    for name, target in process.targets.items():
        print(f"stand-in {name}: {target}")
    print(
        f"\ncurl -N {url}/v1/completions -H 'Authorization: Bearer toolroom-key' "
        f"-H 'Content-Type: application/json' "
        f"""-d '{{"model": "advisor", "prompt": "Where does the gate go?", """
        f""""max_tokens": 16, "stream": true}}'\n"""
        f".venv/bin/chicorycove --server {url} --key board-key status",
        flush=True,
    )
    await asyncio.Event().wait()


async def run(settings: pathlib.Path, keep: bool) -> int:
    """Run the demo and return its exit code."""
    loaded = load(settings)
    log.configure(loaded.log)
    process = LocalProcess(loaded)
    await process.start()
    try:
        if keep:
            await serve(process)
        return 0 if await send_all(process) else 1
    finally:
        await process.stop()


def main() -> int:
    """Run the demo from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--settings", type=pathlib.Path, default=SETTINGS)
    parser.add_argument("--serve", action="store_true")
    options = parser.parse_args()
    try:
        return asyncio.run(run(options.settings, options.serve))
    except KeyboardInterrupt:
        return 0
    except OSError as error:
        print(f"demo: {error.strerror or error}", file=sys.stderr)
        return 1


if __name__ == "__main__":
    sys.exit(main())
