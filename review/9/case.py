"""Shows streams that no client can finish once it has their last event."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins2"))

import fleet as standins  # noqa: E402

ENTRY_COUNT = 5  # as on the sheet; one of them is killed
CLIENT_COUNT = 8
EVENT_COUNT = 35
PASS_TIME = 0.045  # seconds; a server ends a stream one pass after its last event
ALLOWED_CLOSES = 3  # of the rule LOST
RESUMES = 2  # by a client
RESUME_AFTER = 0.5  # seconds


class Caller:
    """A client with a kept channel to each of two entries."""

    def __init__(self, fleet: standins.Fleet, number: int) -> None:
        self._fleet = fleet
        self._number = number
        self._first, self._second = (
            standins.Client(entry.port) for entry in fleet.entries[:2]
        )
        self.last_event = 0
        self.complete = False
        self.closes = 0

    async def warm_up(self) -> None:
        """Use both channels once, so that they are kept ones."""
        for client in (self._first, self._second):
            answer = await self._send(client, "GET", "/lookup/2f")
            if not answer.complete or answer.status != 200:
                raise standins.NotRun("a quiet request was not answered")

    async def stream(self, on_event) -> None:
        """Ask for a stream, and note its events."""

        def note(chunk: bytes) -> None:
            self._note(chunk)
            on_event()

        headers = standins.prompt_headers(EVENT_COUNT)
        answer = await self._send(self._first, "POST", "/query/2f", headers, note)
        self.complete = answer.complete

    async def resume(self) -> None:
        """Resume a broken stream at the other entry, over a kept channel."""
        headers = standins.prompt_headers(EVENT_COUNT)
        headers["Last_Event_Id"] = str(self.last_event)
        answer = await self._send(
            self._second, "POST", "/query/2f", headers, self._note
        )
        self.complete = answer.complete and answer.status == 200
        if not answer.complete:
            self.closes += 1

    def _note(self, chunk: bytes) -> None:
        for line in chunk.split(b"\n"):
            if line.startswith(b"id: "):
                self.last_event = int(line[4:])

    async def _send(self, client, method, path, headers=None, note=lambda chunk: None):
        attempt = standins.new_attempt()
        body = b"question" if method == "POST" else b""
        headers = headers or {"Chicorycove_Time_Budget_Ms": "2000"}
        request = standins.format_request(method, path, attempt, body, **headers)
        entry = 1 if client is self._first else 2
        fields = {"client": self._number, "entry": entry, "attempt": attempt}
        resumed_after = headers.get("Last_Event_Id", 0)
        self._fleet.record.write("sent", **fields, path=path, after=resumed_after)
        answer = await client.ask(request, 12.0, note)
        self._fleet.record.write(
            "answered",
            **fields,
            status=answer.status,
            bytes=len(answer.body),
            complete=answer.complete,
            last_event=self.last_event,
        )
        return answer


async def case(fleet: standins.Fleet) -> int:
    """Return 1 if resumed streams were closed without an answer."""
    await fleet.open(entry_count=ENTRY_COUNT)
    for server in fleet.servers:
        server.event_count = EVENT_COUNT
        server.event_pause = server.end_pause = PASS_TIME
    callers = [Caller(fleet, number) for number in range(CLIENT_COUNT)]
    for caller in callers:
        await caller.warm_up()
    killed = False

    def kill_at_last_events() -> None:
        nonlocal killed
        at_end = sum(caller.last_event == EVENT_COUNT for caller in callers)
        if standins.TROUBLE and not killed and at_end == CLIENT_COUNT:
            killed = True
            fleet.entries[0].signal(signal.SIGKILL)

    await asyncio.gather(*(caller.stream(kill_at_last_events) for caller in callers))
    if standins.TROUBLE and not killed:
        raise standins.NotRun("the clients did not get their last events")
    for _ in range(RESUMES):
        await asyncio.sleep(RESUME_AFTER)
        broken = [caller for caller in callers if not caller.complete]
        await asyncio.gather(*(caller.resume() for caller in broken))
    if not all(entry.running for entry in fleet.entries[1:]):
        raise standins.NotRun("another entry has ended")
    closes = sum(caller.closes for caller in callers)
    unfinished = sum(not caller.complete for caller in callers)
    fleet.record.write("closed without an answer by entry 2", count=closes)
    fleet.record.write("streams that never ended", count=unfinished)
    for line in fleet.entries[1].log_lines("target ejected"):
        fleet.record.write("log of entry 2", line=line)
    if closes > ALLOWED_CLOSES:
        fleet.record.write("broken: LOST", closes=closes, allowed=ALLOWED_CLOSES)
        return standins.EXIT_BROKEN
    return standins.EXIT_HELD


if __name__ == "__main__":
    standins.run_case(FOLDER, case)
