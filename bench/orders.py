"""Orders: how fast versions roll, what fails, and what planning costs.

Rolls versions over engines that serve requests, as real processes, while the
planner is killed, or stopped past its lease and continued, or a failure
domain is lost. Planning itself is timed for fleets of three sizes.
"""

import argparse
import asyncio
import contextlib
import dataclasses
import json
import pathlib
import signal
import statistics
import tempfile
import time
import tracemalloc
import typing as t

import aiosonic

from bench.deployment import Deployment, DeploymentSpec, TargetSpec, get_json
from bench.report import save, table
from chicorycove.catalogue import Catalogue, Model, Service, ServiceKind, Version
from chicorycove.host import Host
from chicorycove.identity import AgentId
from chicorycove.order import EngineModel, EngineState
from chicorycove.plan import AgentReport, ObservedTarget
from chicorycove.planner import Planner
from chicorycove.planner_board import PlannerSettings

CATALOGUE = pathlib.Path("examples/local/catalogue.json")
SIZE = 100_000_000  # bytes of a version
LOAD_RATE = 1e8  # bytes a second
LEASE = {"ttl": 3.0, "renew_interval": 0.5, "margin": 1.0, "poll_interval": 0.5}
PLANNER = {
    "load_rate": LOAD_RATE,
    "order_timeout": 3.0,
    "rollout": {"quiet": 1.0, "max_unavailable": 0.34},
}
WORKERS = 8
TIMEOUT = 60.0  # seconds until a version must be everywhere
MODELS = 13
SIZES = (20, 400, 7_400)


@dataclasses.dataclass(frozen=True)
class Episode:
    """One roll-out and what happened to it; times are in seconds."""

    name: str
    converged: float
    requests: int
    failed: int
    loads_per_second: float


@dataclasses.dataclass(frozen=True)
class Cost:
    """What one plan costs; times in milliseconds, memory in megabytes."""

    targets: int
    models: int
    steady: float
    cold: float
    peak_memory: float


def main(argv: t.Sequence[str]) -> int:
    """Run the experiment."""
    parser = argparse.ArgumentParser(prog="python -m bench orders", description=__doc__)
    parser.add_argument("--only", choices=("episodes", "costs"))
    options = parser.parse_args(argv)
    costs = [cost(size) for size in SIZES] if options.only != "episodes" else []
    episodes = asyncio.run(run_episodes()) if options.only != "costs" else []
    for rows in (costs, episodes):
        if rows:
            print(table([dataclasses.asdict(row) for row in rows]) + "\n")
    budget = LOAD_RATE / SIZE
    if options.only is None:
        save(
            "orders",
            {
                "costs": [dataclasses.asdict(row) for row in costs],
                "episodes": [dataclasses.asdict(row) for row in episodes],
                "budget_loads_per_second": budget,
            },
        )
    bad = [e for e in episodes if e.failed or e.loads_per_second > budget * 1.05]
    return 1 if bad else 0


def cost(size: int) -> Cost:
    """Time the planner on a fleet of a size."""
    settled = [_target(number, size, True) for number in range(size)]
    empty = [_target(number, size, False) for number in range(size)]
    catalogue = _fleet_catalogue(size)
    steady = []
    planner = Planner(PlannerSettings(), 1)
    for now in range(5):
        steady.append(_timed(lambda: planner.plan(catalogue, settled, float(now))))
    cold = _timed(lambda: Planner(PlannerSettings(), 1).plan(catalogue, empty, 0.0))
    tracemalloc.start()
    planner = Planner(PlannerSettings(), 1)
    planner.plan(catalogue, settled, 0.0)
    peak = tracemalloc.get_traced_memory()[1] / 1e6
    tracemalloc.stop()
    return Cost(size, MODELS, statistics.median(steady), cold, peak)


def _timed(work: t.Callable[[], t.Any]) -> float:
    start = time.perf_counter()
    work()
    return (time.perf_counter() - start) * 1e3


def _fleet_catalogue(size: int) -> Catalogue:
    service = Service(name="s", owner="o", kind=ServiceKind.ENGINE)
    floor = max(1, size // MODELS // 2)
    models = [
        Model(
            name=f"m{number:02}",
            owner="o",
            service="s",
            versions=(Version(name="1", weights="w", size_bytes=SIZE),),
            version="1",
            min_targets=floor,
        )
        for number in range(MODELS)
    ]
    return Catalogue.build([service, *models], 1)


def _target(number: int, size: int, loaded: bool) -> ObservedTarget:
    name = f"t{number:05}"
    host = Host(
        name=name,
        agent="127.0.0.1:1",
        region="r",
        failure_domain=f"d{number // MODELS % 8}",
    )
    models = (EngineModel(f"m{number % MODELS:02}", "1"),) if loaded else ()
    engine = EngineState(models)
    report = AgentReport(agent=AgentId(name, "i"), fence=1, engine=engine, demand=3.0)
    return ObservedTarget(host, report)


async def run_episodes() -> list[Episode]:
    """Roll versions while parts fail."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "catalogue.json"
        path.write_text(seed())
        with Deployment(spec(path)) as deployment:
            driver = Driver(deployment)
            await driver.wait_until(driver.planner_name)
            return [
                await driver.episode("roll a version", "2"),
                await driver.episode("kill the planner", "3", driver.kill_planner),
                await driver.after_restart(
                    "stop the planner", "4", driver.stop_planner
                ),
                await driver.episode("lose a failure domain", "5", driver.lose_domain),
            ]


def seed() -> str:
    """Return the local example's catalogue with versions to roll."""
    text = CATALOGUE.read_text()
    old = '{"kind": "model", "name": "advisor"'
    new = f'{old}, "version": "1", "min_targets": 2, "versions": {_versions()}'
    return text.replace(old, new)


def _versions() -> str:
    names = [str(number) for number in range(1, 10)]
    return json.dumps(
        [{"name": n, "weights": f"advisor-{n}", "size_bytes": SIZE} for n in names]
    )


def spec(catalogue: pathlib.Path, targets: int = 6) -> DeploymentSpec:
    """Return a deployment of engines in three failure domains."""
    specs = [
        TargetSpec(f"t{number}", "advisor", failure_domain="abc"[number % 3])
        for number in range(targets)
    ]
    overrides = {"planner": PLANNER, "lease": LEASE, "plan_interval": 0.2}
    return DeploymentSpec(
        catalogue, tuple(specs), time_scale=0.2, entry_overrides=overrides
    )


class Driver:
    """Drives one deployment."""

    def __init__(self, deployment: Deployment, targets: int = 6) -> None:
        self._deployment = deployment
        self._alive = {f"t{number}" for number in range(targets)}
        self._dead: str | None = None

    async def episode(
        self,
        name: str,
        version: str,
        fault: t.Callable[[], t.Awaitable[None]] | None = None,
    ) -> Episode:
        """Roll a version under load, with a fault in the middle."""
        planner = await self.wait_until(self.planner_name)
        entry = next(
            n for n in ("entry-1", "entry-2") if n not in (planner, self._dead)
        )
        if fault is None:
            entry = planner
        stop = asyncio.Event()
        statuses: list[int] = []
        workers = [
            asyncio.create_task(self._load(entry, stop, statuses))
            for _ in range(WORKERS)
        ]
        await self._change_version(entry, version)
        start = time.monotonic()
        if fault is not None:
            await self.wait_until(lambda: self._count(version, 1))
            await fault()
        await self.wait_until(lambda: self._count(version, len(self._alive)))
        took = time.monotonic() - start
        stop.set()
        await asyncio.gather(*workers)
        failed = sum(status != 200 for status in statuses)
        loads = len(self._alive)
        return Episode(name, took, len(statuses), failed, loads / took)

    async def kill_planner(self) -> None:
        """Kill the entry that plans."""
        self._dead = await self.planner_name()
        await asyncio.to_thread(self._deployment.kill, self._dead)

    async def stop_planner(self) -> None:
        """Stop the entry that plans for longer than its lease."""
        planner = await self.planner_name()
        self._deployment.signal(planner, signal.SIGSTOP)
        await asyncio.sleep(LEASE["ttl"] + 2.0)
        self._deployment.signal(planner, signal.SIGCONT)

    async def lose_domain(self) -> None:
        """Kill the engines and agents of one failure domain."""
        for name in ("t2", "t5"):
            await asyncio.to_thread(self._deployment.kill, f"agent-{name}")
            await asyncio.to_thread(self._deployment.kill, name)
            self._alive.discard(name)

    async def planner_name(self) -> str | None:
        """Return the entry that plans, if that is known."""
        for name in ("entry-1", "entry-2"):
            if name == self._dead:
                continue
            with contextlib.suppress(Exception):
                head = (await self._call(name, "GET", "/admin/v1/plan"))[1]
                if head.get("planner") != self._dead:
                    return head.get("planner")
        return None

    async def wait_until(self, condition: t.Callable[[], t.Awaitable[t.Any]]) -> t.Any:
        """Wait for a condition and return what it gave."""
        async with asyncio.timeout(TIMEOUT):
            while not (result := await condition()):
                await asyncio.sleep(0.1)
            return result

    async def after_restart(
        self, name: str, version: str, fault: t.Callable[[], t.Awaitable[None]]
    ) -> Episode:
        """Start the killed entry again, and then run an episode."""
        self._deployment.restart(self._dead)
        await asyncio.to_thread(self._deployment.wait_ready, [self._dead])
        self._dead = None
        return await self.episode(name, version, fault)

    async def _count(self, version: str, wanted: int) -> bool:
        ready = 0
        for name in self._alive:
            url = self._deployment.urls[name] + "/engine/state"
            state = await asyncio.to_thread(get_json, url)
            model = state["models"].get("advisor", {})
            ready += model == model | {"version": version, "state": "ready"}
        return ready >= wanted

    async def _change_version(self, entry: str, version: str) -> None:
        found = await self._call(entry, "GET", "/admin/v1/entries/model/advisor")
        changed = found[1]["entry"] | {"version": version}
        body = {"reason": "bench", "edits": [{"entry": changed}]}

        async def accepted() -> bool:
            status, _ = await self._call(entry, "POST", "/admin/v1/changes", body)
            return status == 200

        await self.wait_until(accepted)

    async def _call(
        self, entry: str, method: str, path: str, body: t.Any = None
    ) -> tuple[int, t.Any]:
        headers = {"Authorization": "Bearer board-key"}
        async with aiosonic.HTTPClient() as client:
            response = await client.request(
                self._deployment.urls[entry] + path, method, headers=headers, json=body
            )
            return response.status_code, await response.json()

    async def _load(self, entry: str, stop: asyncio.Event, statuses: list[int]) -> None:
        headers = {"Authorization": "Bearer toolroom-key"}
        url = self._deployment.urls[entry] + "/v1/completions"
        body = {"model": "advisor", "prompt": "gate", "max_tokens": 16}
        async with aiosonic.HTTPClient() as client:
            while not stop.is_set():
                response = await client.post(url, json=body, headers=headers)
                await response.content()
                statuses.append(response.status_code)
