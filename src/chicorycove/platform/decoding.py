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

MS_PER_SECOND = 1000.0  # milliseconds in a second
THOUSAND = 1000.0  # tokens to which a cost per thousand tokens applies
MILLION = 1e6  # pairs to which a cost per million pairs applies


class UndecodableValue(PlatformError):
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


_config_decoder = msgspec.json.Decoder(_Config)
_server_decoder = msgspec.json.Decoder(_Server)
_LEAVING_BY_STATE = {"ready": False, "draining": True}


def decode_deployment(data: bytes) -> Deployment:
    """Read the operator's configuration.

    :raises Unreadable: if it is none
    """
    try:
        config = _config_decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise UndecodableValue(f"configuration: {error}") from None
    return Deployment(
        version=config.version,
        routes=tuple(_to_route(route) for route in config.routes),
        services=tuple(_to_service(service) for service in config.services),
        workspaces=tuple(
            WorkspaceKeys(
                name=tenant.name,
                keys=tuple(tenant.apiKeys),
                priority=tenant.priority,
            )
            for tenant in config.tenants or ()
        ),
        limits=_to_limits(config.limits) if config.limits else CallerLimits(),
        authenticated=config.tenants is not None,
    )


def decode_listing(id: str, data: bytes) -> TargetListing:
    """Read a server's entry.

    :raises Unreadable: if it names no server to use
    """
    try:
        server = _server_decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise UndecodableValue(f"server {id}: {error}") from None
    host, _, port = server.address.rpartition(":")
    if server.state not in _LEAVING_BY_STATE or not host or not port.isdigit():
        raise UndecodableValue(
            f"server {id}: state {server.state!r}, {server.address!r}"
        )
    return TargetListing(
        id=id,
        service=server.service,
        address=server.address,
        failure_domain=server.zone,
        slots=server.slots,
        leaving=_LEAVING_BY_STATE[server.state],
        started_at=server.born,
    )


def _to_route(route: _Route) -> Route:
    if route.trafficSplit:
        shares = tuple(
            Share(service=split.service, weight=split.weight)
            for split in route.trafficSplit
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
        timeout=route.timeoutMs / MS_PER_SECOND,
        objective=route.targetLatencyMs / MS_PER_SECOND,
        max_gap=route.gapTargetMs / MS_PER_SECOND,
        max_attempts=route.maxAttempts,
        priority=route.priority,
        public=route.public,
    )


def _to_service(service: _Service) -> Service:
    engine = service.engine
    profile = None
    if engine is not None:
        profile = EngineProfile(
            slots=engine.slots,
            memory=engine.kvCapacityTokens,
            step=engine.step_ms / MS_PER_SECOND,
            per_writer=engine.per_seq_ms / MS_PER_SECOND,
            per_context_token=engine.context_per_k / MS_PER_SECOND / THOUSAND,
            read_rate=engine.read_per_s,
            per_pair=engine.pairs_per_m / MS_PER_SECOND / MILLION,
            chunk=engine.chunk,
            stride=engine.stride,
            hop=engine.hopMs / MS_PER_SECOND,
        )
    return Service(name=service.name, engine=profile)


def _to_limits(limits: _Limits) -> CallerLimits:
    return CallerLimits(
        header_bytes=limits.maxHeaderBytes,
        body_bytes=limits.maxBodyBytes,
        header_timeout=limits.headerTimeoutMs / MS_PER_SECOND,
        idle_timeout=limits.idleTimeoutMs / MS_PER_SECOND,
    )
