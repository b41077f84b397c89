"""A stand-in of a server of the platform, as PROTOCOL.md describes it."""

import asyncio
import dataclasses
import time

from . import http
from .store import PlatformStore

HEALTH_PATH = "/health"
HEARTBEAT = 1.2  # seconds, the settings' heartbeatMs
SILENT_HEARTBEATS = 3  # after which the store removes an entry


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request that reached a server and was not turned away with 421."""

    attempt: str
    at: float  # time.monotonic()
    born: int  # lifetime of the server that got it
    cold: bool
    service: str


@dataclasses.dataclass(frozen=True)
class ServerSettings:
    """How a server works; times are in seconds."""

    service: str
    zone: str
    host: str
    slots: int = 6
    work_time: float = 0.02
    cold_time: float = 0.0  # after a start during traffic


class PlatformServer:
    """A server that answers plain calls and checks in at the store."""

    def __init__(self, id: str, settings: ServerSettings, store: PlatformStore) -> None:
        self.id = id
        self.settings = settings
        self.arrivals: list[Arrival] = []
        self.leaving = False
        self.born = 0
        self.port = 0
        self.cut_off = False  # from the store, not from the entries
        self._sequence = 0
        self._written_at = 0.0
        self._store = store
        self._cold_until = 0.0
        self._running = 0
        self._free = asyncio.Semaphore(settings.slots)
        self._server: asyncio.Server | None = None
        self._beating: asyncio.Task | None = None
        self._connections: dict[asyncio.StreamWriter, asyncio.Task] = {}

    @property
    def cold(self) -> bool:
        """Return whether the server is cold."""
        return time.monotonic() < self._cold_until

    async def start(self, cold: bool = False) -> None:
        """Begin a lifetime at the same address, and check in."""
        settings = self.settings
        self._server = await asyncio.start_server(
            self._serve, settings.host, self.port, reuse_address=True
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self.born = int(time.time() * 1000)
        self.leaving = False
        self._free = asyncio.Semaphore(settings.slots)
        self._running = 0
        if cold:
            self._cold_until = time.monotonic() + settings.cold_time
        self._beating = asyncio.create_task(self._check_in_periodically())

    async def crash(self) -> None:
        """End without a word; its entry stays in the store for a while."""
        self._beating.cancel()
        self._server.close()
        for writer, task in list(self._connections.items()):
            task.cancel()
            writer.transport.abort()
        self._connections.clear()

    async def leave(self, serve_for: float) -> None:
        """Report that the server drains, serve on, and exit."""
        self.leaving = True
        self.check_in()
        await asyncio.sleep(serve_for)
        self._store.remove(f"servers/{self.id}")
        await self.crash()

    async def leave_unannounced(self) -> None:
        """Have the entry removed, and serve on; all answers say it."""
        self._beating.cancel()
        self.leaving = True
        self._store.remove(f"servers/{self.id}")

    def check_in(self) -> bool:
        """Write the entry; return False while the store isn't reached."""
        if self.cut_off:
            return False
        settings = self.settings
        self._sequence += 1
        cold_left = max(self._cold_until - time.monotonic(), 0.0)
        entry = {
            "service": settings.service,
            "address": f"{settings.host}:{self.port}",
            "zone": settings.zone,
            "version": "v1",
            "slots": settings.slots,
            "state": "draining" if self.leaving else "ready",
            "coldRemainingMs": int(cold_left * 1000),
            "sequence": self._sequence,
            "born": self.born,
        }
        written = self._store.put(f"servers/{self.id}", entry)
        if written:
            self._written_at = time.monotonic()
        return written

    async def wait_checked_in(self) -> None:
        """Wait until the entry has been written anew."""
        before = self._written_at
        while self._written_at == before:
            await asyncio.sleep(0.01)

    async def cut_from_store(self, duration: float) -> None:
        """Cut the server off from the store, which removes a silent entry."""
        self.cut_off = True
        heals_at = time.monotonic() + duration
        silent_at = self._written_at + SILENT_HEARTBEATS * HEARTBEAT
        if silent_at < heals_at:
            await asyncio.sleep(silent_at - time.monotonic())
            self._store.remove(f"servers/{self.id}")
        await asyncio.sleep(heals_at - time.monotonic())
        self.cut_off = False

    async def _check_in_periodically(self) -> None:
        while True:
            self.check_in()
            await asyncio.sleep(HEARTBEAT)

    def _health(self) -> dict[str, str]:
        """Return the headers of an answer to a liveness check."""
        headers = {"Chicorycove-Instance-Id": self.id}
        if self.cold:
            left = self._cold_until - time.monotonic()
            headers["Chicorycove-Cold-Ms"] = str(int(left * 1000))
        return headers

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._connections[writer] = asyncio.current_task()
        try:
            while True:
                request = await http.read_message(reader)
                writer.write(await self._answer(request))
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._connections.pop(writer, None)
            writer.transport.abort()

    async def _answer(self, request: http.Message) -> bytes:
        headers = request.headers
        if request.start.split()[1] == HEALTH_PATH:
            return http.format_answer(503 if self.leaving else 200, self._health())
        expected = headers.get("chicorycove-expect-instance", self.id)
        if expected != self.id:
            return http.format_answer(421, {"Chicorycove-Instance-Id": self.id})
        attempt = headers.get("chicorycove-attempt-id", "")
        own = {"Chicorycove-Attempt-Id": attempt}
        if self.leaving:
            own["Server-Leaving"] = "1"
        if not attempt:
            return http.format_answer(400, {**own, "Chicorycove-Not-Executed": "1"})
        service = self.settings.service
        self.arrivals.append(
            Arrival(attempt, time.monotonic(), self.born, self.cold, service)
        )
        async with self._free:
            await asyncio.sleep(self.settings.work_time)
        if self.leaving:
            own["Server-Leaving"] = "1"
        own["Chicorycove-Response-Signature"] = f"{self.id}.{self.born}.{attempt}"
        return http.format_answer(200, own, b"done by " + self.id.encode())
