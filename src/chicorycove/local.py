"""Runs an entry, agents and stand-ins in one process on loopback."""

import asyncio
import typing as t

from standin import engine, hosts, server as standin_server, service, store

from .agent_process import AgentProcess
from .catalogue import ServiceKind
from .conversion import Address
from .entry_process import EntryProcess, read_entries
from .host import Host
from .settings import (
    AgentSettings,
    EntrySettings,
    LocalTarget,
    PlatformSettings,
    Role,
    Settings,
)

ANY_PORT = Address("127.0.0.1:0")
REGION = "local"


class LocalProcess:
    """The process of the local role, for trying out the software."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._servers: list[standin_server.Server] = []
        self._agents: list[AgentProcess] = []
        self._targets: dict[str, str] = {}
        self._entry: EntryProcess | None = None

    @property
    def entry(self) -> EntryProcess:
        """Return the process of the entry."""
        return self._entry

    @property
    def targets(self) -> t.Mapping[str, str]:
        """Return the URLs of the stand-in targets by name."""
        return self._targets

    async def start(self) -> None:
        """Start to serve."""
        local = self._settings.local
        entries = read_entries(local.catalogue)
        host_list = [await self._start_target(target) for target in local.targets]
        host_server = await self._serve(
            hosts.create_app(hosts.HostsSettings(hosts=tuple(host_list)))
        )
        store_server = await self._serve(store.create_app(store.StoreSettings()))
        self._entry = EntryProcess(
            Settings(
                role=Role.ENTRY,
                name=self._settings.name,
                entry=EntrySettings(
                    listen=local.listen,
                    max_body=local.max_body,
                    max_answer=local.max_answer,
                ),
                platform=PlatformSettings(
                    store=Address(store_server.address),
                    hosts=Address(host_server.address),
                ),
            )
        )
        await self._entry.registry.seed(entries)
        await self._entry.start()

    async def stop(self) -> None:
        """Finish all requests and close."""
        await self._entry.stop()
        await asyncio.gather(*(agent.stop() for agent in self._agents))
        await asyncio.gather(*(server.close() for server in self._servers))

    async def _serve(self, app: t.Any) -> standin_server.Server:
        server = await standin_server.serve(app)
        self._servers.append(server)
        return server

    async def _start_target(self, target: LocalTarget) -> Host:
        served = await self._serve(self._create_target(target))
        self._targets[target.name] = served.url
        agent = AgentProcess(
            AgentSettings(
                target=target.name,
                listen=ANY_PORT,
                http=ANY_PORT,
                address=Address(served.address),
                kind=target.kind,
                memory=target.memory,
            )
        )
        await agent.start()
        self._agents.append(agent)
        return Host(
            name=target.name,
            agent=f"127.0.0.1:{agent.port}",
            address=served.address,
            region=REGION,
            failure_domain=target.failure_domain,
            labels={"service": target.service},
        )

    def _create_target(self, target: LocalTarget) -> t.Any:
        match target.kind:
            case ServiceKind.ENGINE:
                return engine.create_app(
                    engine.EngineSettings(
                        name=target.name,
                        memory_tokens=target.memory,
                        time_scale=self._settings.local.time_scale,
                    )
                )
            case ServiceKind.PLAIN:
                return service.create_app(service.ServiceSettings(name=target.name))
