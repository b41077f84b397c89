"""Configuration and servers of the platform, in the project's terms.

The names of the classes' fields are the platform's; each comment says what a
name holds where it misleads.
"""

import msgspec

from ..direct.board import TargetListing
from ..direct.engine import EngineProfile
from ..direct.route import (
    CallerLimits,
    Deployment,
    Route,
    Service,
    Share,
    WorkspaceKeys,
)
from ..exceptions import PlatformError

MS = 1000.0  # milliseconds in a second
THOUSAND = 1000.0  # tokens to which a cost per thousand tokens applies
MILLION = 1e6  # pairs to which a cost per million pairs applies


class Unreadable(PlatformError):
    """An entry of the store that another writer has spoilt."""


class _Engine(msgspec.Struct):
    slots: int
    kvCapacityTokens: int
    stride: int
    step_ms: float
    per_seq_ms: float  # of a step, for each request that is writing
    context_per_k: float  # ms of a step, for each thousand tokens of context
    read_per_s: float
    pairs_per_m: float  # ms for each million pairs
    chunk: int
    hopMs: float = 0.0


class _Service(msgspec.Struct):
    name: str
    engine: _Engine | None = None


class _Split(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    name: str
    host: str
    prefix: str
    kind: str  # "safe", "unsafe" or "streaming"
    timeoutMs: float
    targetLatencyMs: float
    service: str | None = None
    trafficSplit: list[_Split] | None = None
    priority: int = 0
    maxAttempts: int = 1
    public: bool = False
    resumable: bool = False
    gapTargetMs: float = 0.0


class _Limits(msgspec.Struct):
    maxHeaderBytes: int
    maxBodyBytes: int
    headerTimeoutMs: float
    idleTimeoutMs: float


class _Tenant(msgspec.Struct):
    name: str
    apiKeys: list[str]
    priority: int | None = None


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits | None = None
    tenants: list[_Tenant] | None = None


class _Server(msgspec.Struct):
    service: str
    address: str
    zone: str
    state: str  # "ready" or "draining"
    slots: int = 1
    born: int = 0  # Unix milliseconds of the server's start


_config = msgspec.json.Decoder(_Config)
_server = msgspec.json.Decoder(_Server)
_STATES = {"ready": False, "draining": True}


def deployment(data: bytes) -> Deployment:
    """Read the operator's configuration.

    :raises Unreadable: if it is none
    """
    try:
        config = _config.decode(data)
    except msgspec.MsgspecError as error:
        raise Unreadable(f"configuration: {error}") from None
    return Deployment(
        version=config.version,
        routes=tuple(_route(route) for route in config.routes),
        services=tuple(_service(service) for service in config.services),
        workspaces=tuple(
            WorkspaceKeys(name=x.name, keys=tuple(x.apiKeys), priority=x.priority)
            for x in config.tenants or ()
        ),
        limits=_limits(config.limits) if config.limits else CallerLimits(),
        authenticated=config.tenants is not None,
    )


def listing(id: str, data: bytes) -> TargetListing:
    """Read a server's entry.

    :raises Unreadable: if it names no server to use
    """
    try:
        server = _server.decode(data)
    except msgspec.MsgspecError as error:
        raise Unreadable(f"server {id}: {error}") from None
    host, _, port = server.address.rpartition(":")
    if server.state not in _STATES or not host or not port.isdigit():
        raise Unreadable(f"server {id}: state {server.state!r}, {server.address!r}")
    return TargetListing(
        id=id,
        service=server.service,
        address=server.address,
        failure_domain=server.zone,
        slots=server.slots,
        leaving=_STATES[server.state],
        started_at=server.born,
    )


def _route(route: _Route) -> Route:
    if route.trafficSplit:
        shares = tuple(
            Share(service=x.service, weight=x.weight) for x in route.trafficSplit
        )
    else:
        shares = (Share(service=route.service or ""),)
    streamed = route.kind == "streaming"
    return Route(
        name=route.name,
        host=route.host,
        prefix=route.prefix,
        shares=shares,
        repeatable=route.kind == "safe" or (streamed and route.resumable),
        streamed=streamed,
        timeout=route.timeoutMs / MS,
        objective=route.targetLatencyMs / MS,
        max_gap=route.gapTargetMs / MS,
        max_attempts=route.maxAttempts,
        priority=route.priority,
        public=route.public,
    )


def _service(service: _Service) -> Service:
    engine = service.engine
    profile = None
    if engine is not None:
        profile = EngineProfile(
            slots=engine.slots,
            memory=engine.kvCapacityTokens,
            step_time=engine.step_ms / MS,
            time_per_sequence=engine.per_seq_ms / MS,
            time_per_context_token=engine.context_per_k / MS / THOUSAND,
            prefill_rate=engine.read_per_s,
            time_per_token_pair=engine.pairs_per_m / MS / MILLION,
            chunk_tokens=engine.chunk,
            steps_per_pass=engine.stride,
            group_step_delay=engine.hopMs / MS,
        )
    return Service(name=service.name, engine=profile)


def _limits(limits: _Limits) -> CallerLimits:
    return CallerLimits(
        header_bytes=limits.maxHeaderBytes,
        body_bytes=limits.maxBodyBytes,
        header_timeout=limits.headerTimeoutMs / MS,
        idle_timeout=limits.idleTimeoutMs / MS,
    )
