"""An operator's deployment: routes, services and keys."""

import dataclasses
import typing as t

from .engine import EngineProfile

frozen = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


@frozen
class LinkDelay:
    """The one-way delay between two failure domains, in seconds."""

    domains: frozenset[str]
    delay: float


@frozen
class Service:
    """A kind of target; one with an engine profile answers prompts."""

    name: str
    engine: EngineProfile | None = None
    cold_duration: float = 0.0  # seconds for which a started target is cold
    # Requests per second that a cold target takes from all entries together; 0
    # if the service has no cold starts.
    cold_rate: float = 0.0
    link_delays: tuple[LinkDelay, ...] = ()


@frozen
class Share:
    """A service and its weight among those of a route."""

    service: str
    weight: float = 1.0


@frozen
class Route:
    """Requests of one host and path prefix; times are in seconds."""

    name: str
    host: str
    prefix: str
    shares: tuple[Share, ...]
    repeatable: bool  # requests may run more than once, or be resumed
    streamed: bool
    timeout: float
    objective: float  # time to the complete answer or first event
    max_gap: float = 0.0  # objective for the time between events
    max_attempts: int = 1
    priority: int = 0  # 0 is served first
    public: bool = False
    allowed_regions: frozenset[str] | None = None  # None for any region


@frozen
class WorkspaceKeys:
    """A workspace and the keys that identify its callers."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None  # replaces the route's priority
    allowed_regions: frozenset[str] | None = None  # None for any region


@frozen
class CallerLimits:
    """Limits on the size and duration of callers' requests."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout: float = 3.0  # seconds
    idle_timeout: float = 15.0  # seconds


@frozen
class Deployment:
    """One version of the operator's configuration."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    workspaces: tuple[WorkspaceKeys, ...] = ()
    limits: CallerLimits = CallerLimits()
    authenticated: bool = False  # whether requests must carry keys


class RoutingTable:
    """Finds routes and workspaces in one version of a deployment."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.services = {service.name: service for service in deployment.services}
        self._hosts: dict[str, dict[str, Route]] = {}
        self._longest_objectives: dict[str, float] = {}
        for route in deployment.routes:
            self._hosts.setdefault(route.host.lower(), {})[route.prefix] = route
            for share in route.shares:
                self._longest_objectives[share.service] = max(
                    route.objective, self.longest_objective(share.service)
                )
        self._keys: dict[str, WorkspaceKeys] = {}
        for workspace in deployment.workspaces:
            for key in workspace.keys:
                self._keys[key] = workspace

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest matching prefix, if any."""
        prefixes = self._hosts.get(host.lower())
        if prefixes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def longest_objective(self, service: str) -> float:
        """Return the longest objective of a service's routes, in seconds."""
        return self._longest_objectives.get(service, 0.0)

    def find_workspace(self, key: str | None) -> WorkspaceKeys | None:
        """Return the workspace that a key belongs to, if any."""
        return self._keys.get(key) if key is not None else None


def pick_service(shares: t.Sequence[Share], draw: float) -> str:
    """Return the service that a draw from [0, 1) selects by weight."""
    remaining = draw * sum(share.weight for share in shares)
    for share in shares:
        remaining -= share.weight
        if remaining < 0:
            return share.service
    return shares[-1].service


def find_draw(shares: t.Sequence[Share], service: str) -> float | None:
    """Return a draw that selects a service, or None if none does."""
    total = sum(share.weight for share in shares)
    preceding = 0.0
    for share in shares:
        if share.service == service and share.weight > 0:
            return (preceding + share.weight / 2) / total
        preceding += share.weight
    return None
