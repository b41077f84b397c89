"""Tests of orders from entries through agents to stand-in engines."""

import asyncio
import contextlib

from chicorycove.agent_process import AgentProcess
from chicorycove.catalogue import (
    Catalogue,
    Model,
    PriorityClass,
    Service,
    ServiceKind,
    Target,
    Version,
    Workspace,
    key_digest,
)
from chicorycove.conversion import Address
from chicorycove.entry_process import EntryProcess
from chicorycove.host import Host
from chicorycove.lease import LeaseSettings
from chicorycove.planner_board import PlannerSettings
from chicorycove.rollout import RolloutSettings
from chicorycove.settings import (
    AgentSettings,
    EntrySettings,
    PlatformSettings,
    Role,
    Settings,
)
from standin import engine, hosts, store, weights
from standin.batch import TimeModel
from tests.served import ServedTestCase

ANY = Address("127.0.0.1:0")
KEY = "toolroom-key"
SIZE = 20_000  # bytes of each version
LEASE = LeaseSettings(
    ttl=2.0, renew_interval=0.4, margin=0.8, poll_interval=0.2, retry_interval=0.1
)
PLANNER = PlannerSettings(
    load_rate=1e6,
    order_timeout=3.0,
    retry_min=0.2,
    rollout=RolloutSettings(quiet=0.3, max_unavailable=0.34),
)
MIN_ROLLOUT_PROMPTS = 20


def model(version="1", floor=1, **fields):
    versions = tuple(
        Version(name=name, weights=f"advisor-{name}", size_bytes=SIZE)
        for name in ("1", "2", "9")
    )
    return Model(
        name="advisor",
        owner="desk",
        service="advisor",
        versions=versions,
        version=version,
        min_targets=floor,
        **fields,
    )


class FleetTestCase(ServedTestCase):
    """Base of tests with entries, three agents and engines, and a platform."""

    checks_fence = True

    async def asyncSetUp(self):
        await super().asyncSetUp()
        sizes = {"advisor-1": SIZE, "advisor-2": SIZE}
        self.weights = await self.serve(
            weights.create_app(weights.WeightsSettings(sizes=sizes))
        )
        self.engines, self.agents = {}, {}
        host_list = [await self.start_target(number) for number in range(3)]
        self.store = await self.serve(store.create_app())
        self.hosts = await self.serve(
            hosts.create_app(hosts.HostsSettings(hosts=tuple(host_list)))
        )
        self.revision = 0
        self.entries = []

    async def start_target(self, number):
        name = f"t{number}"
        settings = engine.EngineSettings(
            name=name,
            time_model=TimeModel(prefill_token=1e-6, decode_base=0.002),
            models=(),
            weights_url=self.weights.url,
            checks_fence=self.checks_fence,
        )
        self.engines[name] = await self.serve(engine.create_app(settings))
        return await self.start_agent(name, "abc"[number])

    async def start_agent(self, name, domain):
        agent = AgentProcess(
            AgentSettings(
                target=name,
                listen=ANY,
                http=ANY,
                address=Address(self.engines[name].address),
            )
        )
        await agent.start()
        self.addAsyncCleanup(self.close_ignoring_errors, agent)
        self.agents[name] = agent
        return Host(
            name=name,
            agent=f"127.0.0.1:{agent.port}",
            region="r",
            failure_domain=domain,
        )

    async def close_ignoring_errors(self, process):
        with contextlib.suppress(Exception):
            await process.close()

    async def start_entry(self, name="e1"):
        entry = EntryProcess(
            Settings(
                role=Role.ENTRY,
                name=name,
                entry=EntrySettings(
                    listen=ANY, planner=PLANNER, lease=LEASE, plan_interval=0.1
                ),
                platform=PlatformSettings(
                    store=Address(self.store.address),
                    hosts=Address(self.hosts.address),
                    hosts_interval=0.2,
                ),
            )
        )
        await entry.start()
        self.addAsyncCleanup(self.close_ignoring_errors, entry)
        self.entries.append(entry)
        self.apply_catalogue(entry)
        return entry

    def set_catalogue(self, *entries):
        """Set the declared entries as the catalogue of every entry."""
        self.declared = entries
        self.revision += 1
        for entry in self.entries:
            self.apply_catalogue(entry)

    def apply_catalogue(self, entry):
        base_entries = [
            PriorityClass(name="advisory", owner="o", priority=1, deadline=30.0),
            Workspace(
                name="toolroom",
                owner="o",
                priority_class="advisory",
                key_digests=(key_digest(KEY),),
            ),
            Service(name="advisor", owner="o", kind=ServiceKind.ENGINE),
        ]
        catalogue = Catalogue.build([*base_entries, *self.declared], self.revision)
        entry.entry.set_catalogue(catalogue)

    async def send_prompt(self, entry, number):
        return await self.post(
            f"http://{entry.listener.address}/v1/completions",
            {"model": "advisor", "prompt": f"gate {number}", "max_tokens": 8},
            {"Authorization": f"Bearer {KEY}"},
        )

    async def engine_state(self, name):
        return (await self.get(f"{self.engines[name].url}/engine/state"))[1]

    async def all_serve(self, version):
        for name in self.engines:
            models = (await self.engine_state(name))["models"]
            if models.get("advisor", {}).get("state") != "ready":
                return False
            if models["advisor"]["version"] != version:
                return False
        return True


class LoadTest(FleetTestCase):
    async def test_empty_engines_get_the_model_and_serve(self):
        self.set_catalogue(model())
        entry = await self.start_entry()
        await self.wait_until(lambda: self.all_serve("1"))
        status, answer = await self.send_prompt(entry, 1)
        self.assertEqual(status, 200, answer)
        plan_status = await entry.orchestrator.read_status()
        self.assertEqual(plan_status["planner"], "e1")

    async def test_missing_weights_are_reported(self):
        self.set_catalogue(model("9"), Target(name="ghost", owner="o"))
        entry = await self.start_entry()

        async def causes_are_reported():
            plan_status = await entry.orchestrator.read_status()
            causes = [problem["cause"] for problem in plan_status.get("problems", ())]
            return any("404" in cause for cause in causes) and (
                "not in the host list" in causes
            )

        await self.wait_until(causes_are_reported)


class RolloutTest(FleetTestCase):
    """Tests of a roll-out while callers send prompts."""

    async def test_rollout_under_load_fails_no_request(self):
        self.set_catalogue(model("1", floor=2))
        entry = await self.start_entry()
        await self.wait_until(lambda: self.all_serve("1"))
        statuses = []
        stop = asyncio.Event()

        async def send_prompts(worker):
            number = 0
            while not stop.is_set():
                number += 1
                statuses.append(
                    (await self.send_prompt(entry, f"{worker} {number}"))[0]
                )

        async def load_has_begun():
            states = [await self.engine_state(name) for name in self.engines]
            return any(
                state["models"]["advisor"]["state"] == "loading" for state in states
            )

        async def enough_are_answered():
            return len(statuses) > MIN_ROLLOUT_PROMPTS

        # The first engine's weights arrive only after enough prompts, so that
        # the roll-out meets them on a machine of any speed.
        await self.post(f"{self.weights.url}/standin/faults", {"hang": True})
        self.set_catalogue(model("2", floor=2))
        await self.wait_until(load_has_begun)
        workers = [asyncio.create_task(send_prompts(worker)) for worker in range(4)]
        await self.wait_until(enough_are_answered)
        await self.post(f"{self.weights.url}/standin/faults", {"hang": False})
        await self.wait_until(lambda: self.all_serve("2"))
        stop.set()
        await asyncio.gather(*workers)
        self.assertEqual(set(statuses), {200})


class TakeoverTest(FleetTestCase):
    async def test_another_entry_plans_when_the_leader_fails(self):
        self.set_catalogue(model())
        first = await self.start_entry("e1")
        await self.wait_until(lambda: self.all_serve("1"))
        second = await self.start_entry("e2")
        fence = first.orchestrator.fence
        await first.orchestrator.close()  # leaves the lease to expire

        async def second_leads():
            return second.orchestrator.fence is not None

        await self.wait_until(second_leads)
        self.assertGreater(second.orchestrator.fence, fence)
        self.set_catalogue(model("2"))
        await self.wait_until(lambda: self.all_serve("2"))
        state = await self.engine_state("t0")
        self.assertEqual(state["fence"], second.orchestrator.fence)

    async def test_unreachable_store_keeps_placements_and_stops_planning(self):
        self.set_catalogue(model())
        entry = await self.start_entry()
        await self.wait_until(lambda: self.all_serve("1"))
        await self.post(f"{self.store.url}/standin/faults", {"down": True})

        async def leadership_is_lost():
            return entry.orchestrator.fence is None

        await self.wait_until(leadership_is_lost)
        self.set_catalogue(model("2"))
        await asyncio.sleep(0.5)
        self.assertTrue(await self.all_serve("1"))
        self.assertEqual((await self.send_prompt(entry, 1))[0], 200)
        await self.post(f"{self.store.url}/standin/faults", {"down": False})
        await self.wait_until(lambda: self.all_serve("2"))


class UnfencedEngineTest(FleetTestCase):
    checks_fence = False

    async def test_stale_order_sent_directly_to_an_engine_is_corrected(self):
        self.set_catalogue(model("2"))
        await self.start_entry()
        await self.wait_until(lambda: self.all_serve("2"))
        stale_order = {
            "kind": "load_model",
            "model": "advisor",
            "version": "1",
            "fence": 1,
        }
        _, state = await self.post(
            f"{self.engines['t0'].url}/engine/order", stale_order
        )
        self.assertEqual(state["models"]["advisor"]["version"], "1")
        await self.wait_until(lambda: self.all_serve("2"))
