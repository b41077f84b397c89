"""The process of an agent: link server, probes, start and stop."""

import asyncio
import secrets

from . import probe
from .agent import Agent
from .application import create_app
from .clock import Clock
from .identity import AgentId
from .listener import Listener, listen
from .log import LOGGER
from .metric import Metrics
from .peer import AgentNode
from .session import LinkServer
from .settings import AgentSettings

INCARNATION_BYTES = 8
FLUSH_TIME = 0.1  # seconds in which queued frames are sent before links close


class AgentProcess:
    """Runs one agent with its link server, probes and catalogue node."""

    def __init__(self, settings: AgentSettings, node: AgentNode | None = None) -> None:
        self._settings = settings
        self._node = node
        self._metrics = Metrics(settings.target)
        incarnation = secrets.token_hex(INCARNATION_BYTES)
        agent_id = AgentId(settings.target, incarnation)
        self._agent = Agent(settings, agent_id, Clock(), self._metrics)
        self._server = LinkServer(self._agent, settings)
        self._listener: Listener | None = None

    @property
    def agent(self) -> Agent:
        """Return the agent that the process runs."""
        return self._agent

    @property
    def port(self) -> int:
        """Return the port of the link server."""
        return self._server.port

    async def start(self) -> None:
        """Start the servers and the agent."""
        await self._server.start()
        if self._node is not None:
            await self._node.start()
        routes = probe.routes(self._metrics, lambda: self._agent.ready)
        self._listener = await listen(
            create_app(routes, self._metrics.refused), self._settings.http
        )
        self._agent.start()
        LOGGER.info("agent of %s listens on port %d", self._agent.id.target, self.port)

    async def stop(self) -> None:
        """Refuse new attempts, finish the present ones, and close."""
        self._agent.stop()
        try:
            async with asyncio.timeout(self._settings.stop_timeout):
                await self._agent.exited.wait()
        except TimeoutError:
            LOGGER.warning("agent stops with work that did not finish")
        await self.close()

    async def close(self) -> None:
        """Close all links and servers and abort what still runs."""
        await asyncio.sleep(FLUSH_TIME)
        if self._node is not None:
            await self._node.close()
        await self._server.close()
        await self._agent.close()
        if self._listener is not None:
            await self._listener.close()
