"""Shows a stopping entry that passes streams on and cuts them."""

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins2"))

import engine  # noqa: E402
import fleet as standins  # noqa: E402

EARLY_AT = 2.3  # seconds from SIGTERM; these keep the entry from ending early
LATE_AT = 3.3  # seconds from SIGTERM, after the excuse of 3 s
LONG_AT = 3.6  # seconds from SIGTERM, at an entry that is not stopped
EXCUSED_FOR = 3.0  # seconds from SIGTERM
CALLERS = 3  # at each of the first two times
LONG_TOKENS = 250_000


class Caller:
    """A client with a channel that it has kept since before the stop."""

    def __init__(self, fleet: standins.Fleet, entry: standins.Entry) -> None:
        self._fleet = fleet
        self._client = standins.Client(entry.port)
        self._entry = entry

    async def warm_up(self) -> None:
        """Use the channel once."""
        request = standins.format_request(
            "GET",
            "/lookup/2f",
            standins.new_attempt(),
            Chicorycove_Time_Budget_Ms="2000",
        )
        answer = await self._client.ask(request, 3.0)
        if not answer.complete or not self._client.connected:
            raise standins.NotRun("a quiet request was not answered")

    async def ask_at(
        self, at: float, began_at: float, **prompt: int
    ) -> tuple[float, str, standins.Answer, float]:
        """Send a prompt at a time, and return what became of it."""
        await asyncio.sleep(began_at + at - time.monotonic())
        attempt = standins.new_attempt()
        headers = standins.prompt_headers(**prompt)
        path = "/history/2f" if "tokens" in prompt else "/query/2f"
        request = standins.format_request("POST", path, attempt, b"question", **headers)
        kept = self._client.connected
        fields = {"entry": self._entry.name, "attempt": attempt}
        sent_at = time.monotonic() - began_at
        self._fleet.record.write(
            "sent", **fields, kept_channel=kept, after_stop=round(sent_at, 3), **prompt
        )
        answer = await self._client.ask(request, 16.0)
        ended_at = time.monotonic() - began_at
        self._fleet.record.write(
            "ended",
            **fields,
            after_stop=round(ended_at, 3),
            status=answer.status,
            events=answer.body.count(b"id: "),
            complete=answer.complete,
        )
        return sent_at, attempt, answer, ended_at


async def case(fleet: standins.Fleet) -> int:
    """Return 1 if a stopping entry cuts a stream that it has passed on."""
    config = fleet.config()
    query = config["routes"][0]
    history = {**query, "name": "r-history", "prefix": "/history/"}
    history |= {"timeoutMs": 15000, "targetLatencyMs": 3000, "gapTargetMs": 800}
    config["routes"].append(history)
    await fleet.open(
        entry_count=3,
        services=("advisor", "purchasing"),
        server_class=engine.EngineServer,
        config=config,
    )
    stopped, other, _ = fleet.entries
    callers = [Caller(fleet, stopped) for _ in range(2 * CALLERS)]
    callers.append(Caller(fleet, other))
    for caller in callers:
        await caller.warm_up()
    began_at = time.monotonic()
    if standins.TROUBLE:
        stopped.signal(signal.SIGTERM)
    early = [caller.ask_at(EARLY_AT, began_at) for caller in callers[:CALLERS]]
    late = [caller.ask_at(LATE_AT, began_at) for caller in callers[CALLERS:-1]]
    long = callers[-1].ask_at(
        LONG_AT, began_at, events=17, budget_ms=15000, tokens=LONG_TOKENS
    )
    *outcomes, long_outcome = await asyncio.gather(*early, *late, long)
    if not all(entry.running for entry in fleet.entries[1:]):
        raise standins.NotRun("another entry has ended")
    if not long_outcome[2].complete:
        raise standins.NotRun("the long prompt was not answered")
    grace = standins.BOUNDS["graceS"]
    broken = False
    for sent_at, attempt, answer, ended_at in outcomes:
        passed_on = any(run.attempt == attempt for run in fleet.runs)
        if answer.complete or not passed_on or sent_at <= EXCUSED_FOR:
            continue
        if ended_at <= grace + 1:
            broken = True
            fleet.record.write(
                "broken: LOST",
                attempt=attempt,
                sent_after_stop=round(sent_at, 3),
                cut_after_stop=round(ended_at, 3),
                events=answer.body.count(b"id: "),
            )
    return standins.EXIT_BROKEN if broken else standins.EXIT_HELD


if __name__ == "__main__":
    standins.run_case(FOLDER, case)
