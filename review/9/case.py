"""Shows requests that get a refusal which belongs to an earlier request."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins2"))

import fleet as standins  # noqa: E402

CLIENT_COUNT = 10
# Headers that concern one channel only: an offer to go on with HTTP/2
# (RFC 7540, section 3.2), which a server may ignore (RFC 9110, section 7.8).
OFFER = {
    "Connection": "Upgrade, HTTP2-Settings",
    "Upgrade": "h2c",
    "HTTP2_Settings": "AAMAAABkAAQAAP__",
}


async def use_channel(fleet: standins.Fleet, number: int) -> list[str]:
    """Send a lookup and an order over one channel; return what was wrong."""
    entry = fleet.entries[number % len(fleet.entries)]
    client = standins.Client(entry.port)
    faults = []
    steps = [("GET", "/lookup/2f", OFFER if standins.TROUBLE else {})]
    steps.append(("POST", "/order/2f", {}))
    for method, path, headers in steps:
        attempt = standins.new_attempt()
        body = b"order" if method == "POST" else b""
        request = standins.format_request(
            method, path, attempt, body, Chicorycove_Time_Budget_Ms="2000", **headers
        )
        kept = client.connected
        answer = await client.ask(request, 3.0)
        runs = sum(run.attempt == attempt for run in fleet.runs)
        fleet.record.write(
            "request",
            client=number,
            entry=entry.name,
            path=path,
            attempt=attempt,
            kept_channel=kept,
            offers="h2c" if headers else None,
            status=answer.status,
            answer_names=answer.headers.get("chicorycove-attempt-id"),
            runs=runs,
        )
        if answer.complete and answer.status == 400:
            faults.append(f"400 to the proper request {attempt}, run {runs} times")
    client.close()
    return faults


async def case(fleet: standins.Fleet) -> int:
    """Return 1 if a client gets an answer that belongs to another request."""
    await fleet.open(entry_count=2)
    faults = []
    for number in range(CLIENT_COUNT):
        faults += await use_channel(fleet, number)
        await asyncio.sleep(0.1)
    if not all(entry.running for entry in fleet.entries):
        raise standins.NotRun("an entry has ended")
    for fault in faults:
        fleet.record.write("broken: MIXED", fault=repr(fault))
    return standins.EXIT_BROKEN if faults else standins.EXIT_HELD


if __name__ == "__main__":
    standins.run_case(FOLDER, case)
