"""Decodes the platform's configuration and servers into the project's terms.

The fields of the private classes carry the platform's names; a comment says
what a field holds where its name may mislead.
"""

import socket
import typing as t

import msgspec

from ..direct.board import TargetListing
from ..direct.engine import EngineProfile
from ..direct.route import (
    CallerLimits,
    Deployment,
    LinkDelay,
    Route,
    Service,
    Share,
    WorkspaceKeys,
)
from ..exceptions import PlatformError

MS_PER_SECOND = 1000.0
THOUSAND = 1000.0  # tokens, of a cost per thousand tokens
MILLION = 1e6  # token pairs, of a cost per million pairs


MAX_PORT = 65_535
MAX_ADDRESS_LENGTH = len("255.255.255.255:65535")
MAX_QUOTED_LENGTH = 80  # characters of a value in a log line
MAX_NAME_LENGTH = 200  # characters of a service's or failure domain's name
MAX_INTEGER = 2**53 - 1  # above it, readers of JSON differ in what they read

# A value outside these bounds would fail each request that uses it.
_Positive = t.Annotated[int, msgspec.Meta(ge=1)]
_PositiveRate = t.Annotated[float, msgspec.Meta(gt=0.0)]
_Amount = t.Annotated[float, msgspec.Meta(ge=0.0)]
_Size = t.Annotated[int, msgspec.Meta(ge=0)]
_Name = t.Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]
_Slots = t.Annotated[int, msgspec.Meta(ge=1, le=MAX_INTEGER)]
_Count = t.Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]


class UndecodableValue(PlatformError):
    """A value in the store that cannot be decoded."""


class _LinkDelay(msgspec.Struct):
    origin: str = msgspec.field(name="from")  # failure domain
    destination: str = msgspec.field(name="targetVersion")  # failure domain
    delay_ms: _Amount  # one way


class _Engine(msgspec.Struct):
    slots: _Positive  # requests admitted at the same time
    kvCapacityTokens: _Positive
    stride: _Positive  # decode steps in a pass
    step_ms: _Amount
    per_seq_ms: _Amount  # milliseconds of a step for each request that decodes
    context_per_k: _Amount  # milliseconds of a step for each 1000 tokens of context
    read_per_s: _PositiveRate  # prefill tokens per second
    pairs_per_m: _Amount  # milliseconds of prefill for each million pairs of tokens
    chunk: _Positive  # prefill tokens in a step
    hopMs: _Amount = 0.0  # added to each step of a group
    delays: list[_LinkDelay] = []


class _Service(msgspec.Struct):
    name: str
    engine: _Engine | None = None
    coldStartS: _Amount = 0.0  # seconds for which a started server is cold
    coldPerS: _Amount = 0.0  # requests per second that a cold server takes


class _Split(msgspec.Struct):
    service: str
    weight: _Amount  # relative share of the requests


class _Route(msgspec.Struct):
    name: str
    host: str
    prefix: str
    kind: str  # "safe" (may run more than once), "unsafe" or "streaming"
    timeoutMs: _Amount
    targetLatencyMs: _Amount  # to the complete answer or the first event
    service: str | None = None
    trafficSplit: list[_Split] | None = None
    priority: int = 0  # 0 is served first
    maxAttempts: _Size = 1
    public: bool = False  # needs no API key
    resumable: bool = False
    gapTargetMs: _Amount = 0.0  # longest time between events of a stream
    allowedRegions: list[str] | None = None


class _Limits(msgspec.Struct):
    maxHeaderBytes: _Size
    maxBodyBytes: _Size
    headerTimeoutMs: _Amount
    idleTimeoutMs: _Amount


class _Tenant(msgspec.Struct):
    name: str  # name of the workspace
    apiKeys: list[str]
    priority: int | None = None  # overrides the route's
    allowedRegions: list[str] | None = None


class _Config(msgspec.Struct):
    version: int
    routes: list[msgspec.Raw]  # of _Route
    services: list[_Service]
    limits: _Limits | None = None
    tenants: list[_Tenant] | None = None


class _Server(msgspec.Struct):
    service: _Name
    address: str  # "ip:port"
    zone: _Name  # failure domain
    state: str  # "ready" or "draining"
    slots: _Slots = 1
    born: _Count = 0  # start of the server, in milliseconds since the epoch
    coldRemainingMs: _Amount | None = None
    sequence: _Count | None = None  # orders that the server has accepted


_config_decoder = msgspec.json.Decoder(_Config)
_route_decoder = msgspec.json.Decoder(_Route)
_server_decoder = msgspec.json.Decoder(_Server)
_LEAVING_BY_STATE = {"ready": False, "draining": True}


def is_address(text: str) -> bool:
    """Return whether a text is "ip:port", with an IPv4 address.

    A host name is none: to send a datagram to one, the event loop waits until
    it is resolved, and the socket is closed if it holds a NUL.
    """
    host, _, port = text.rpartition(":")
    if len(text) > MAX_ADDRESS_LENGTH or not (port.isascii() and port.isdigit()):
        return False
    try:
        socket.inet_pton(socket.AF_INET, host)
    except (OSError, ValueError):  # the latter for a NUL or a lone surrogate
        return False
    return 0 < int(port) <= MAX_PORT


def is_header_value(text: str) -> bool:
    """Return whether a text can be sent in a header, and is read unchanged."""
    return bool(text) and text.isascii() and text.isprintable() and " " not in text


def shorten(text: str) -> str:
    """Return the beginning of a text of any length, quoted."""
    return repr(text[:MAX_QUOTED_LENGTH])


class DeploymentDecoder:
    """Decodes versions of the operator's configuration.

    Routes that are the same as in the version before are not decoded again.
    """

    def __init__(self) -> None:
        self._routes: dict[bytes, Route] = {}

    def decode(self, data: bytes) -> Deployment:
        """Decode a version.

        :raises UndecodableValue: if it is not a configuration
        """
        routes: dict[bytes, Route] = {}
        try:
            config = _config_decoder.decode(data)
            encoded_routes = [bytes(raw) for raw in config.routes]
            for encoded in encoded_routes:
                known = self._routes.get(encoded)
                routes[encoded] = known or _to_route(_route_decoder.decode(encoded))
        except (msgspec.MsgspecError, RecursionError) as error:
            raise UndecodableValue(f"invalid configuration: {error}") from None
        self._routes = routes
        return _to_deployment(config, [routes[encoded] for encoded in encoded_routes])


def decode_deployment(data: bytes) -> Deployment:
    """Decode one version of the operator's configuration.

    :raises UndecodableValue: if it is not a configuration
    """
    return DeploymentDecoder().decode(data)


def _to_deployment(config: _Config, routes: t.Iterable[Route]) -> Deployment:
    return Deployment(
        version=config.version,
        routes=tuple(routes),
        services=tuple(_to_service(service) for service in config.services),
        workspaces=tuple(
            WorkspaceKeys(
                name=tenant.name,
                keys=tuple(tenant.apiKeys),
                priority=tenant.priority,
                allowed_regions=_to_regions(tenant.allowedRegions),
            )
            for tenant in config.tenants or ()
        ),
        limits=_to_limits(config.limits) if config.limits else CallerLimits(),
        authenticated=config.tenants is not None,
    )


def decode_listing(id: str, data: bytes, regions: t.Mapping[str, str]) -> TargetListing:
    """Decode a server's value in the store; regions by failure domain.

    :raises UndecodableValue: if it is not a server that can be used
    """
    if not is_header_value(id):
        raise UndecodableValue(f"invalid server {id!r}: its id fits no header")
    try:
        server = _server_decoder.decode(data)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise UndecodableValue(f"invalid server {id}: {error}") from None
    if server.state not in _LEAVING_BY_STATE or not is_address(server.address):
        raise UndecodableValue(
            f"invalid server {id}: state {shorten(server.state)}, "
            f"address {shorten(server.address)}"
        )
    return TargetListing(
        id=id,
        service=server.service,
        address=server.address,
        failure_domain=server.zone,
        slots=server.slots,
        leaving=_LEAVING_BY_STATE[server.state],
        started_at=server.born,
        region=regions.get(server.zone, ""),
        cold_time_left=_to_seconds(server.coldRemainingMs),
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
        allowed_regions=_to_regions(route.allowedRegions),
    )


def _to_service(service: _Service) -> Service:
    engine = service.engine
    profile = None
    link_delays: tuple[LinkDelay, ...] = ()
    if engine is not None:
        profile = EngineProfile(
            slots=engine.slots,
            memory=engine.kvCapacityTokens,
            step_time=engine.step_ms / MS_PER_SECOND,
            time_per_sequence=engine.per_seq_ms / MS_PER_SECOND,
            time_per_context_token=engine.context_per_k / MS_PER_SECOND / THOUSAND,
            prefill_rate=engine.read_per_s,
            time_per_token_pair=engine.pairs_per_m / MS_PER_SECOND / MILLION,
            chunk_tokens=engine.chunk,
            steps_per_pass=engine.stride,
            group_step_delay=engine.hopMs / MS_PER_SECOND,
        )
        link_delays = tuple(
            LinkDelay(
                domains=frozenset((link.origin, link.destination)),
                delay=link.delay_ms / MS_PER_SECOND,
            )
            for link in engine.delays
        )
    return Service(
        name=service.name,
        engine=profile,
        cold_duration=service.coldStartS,
        cold_rate=service.coldPerS,
        link_delays=link_delays,
    )


def _to_regions(names: list[str] | None) -> frozenset[str] | None:
    return frozenset(names) if names is not None else None


def _to_seconds(milliseconds: float | None) -> float | None:
    return milliseconds / MS_PER_SECOND if milliseconds is not None else None


def _to_limits(limits: _Limits) -> CallerLimits:
    return CallerLimits(
        header_bytes=limits.maxHeaderBytes,
        body_bytes=limits.maxBodyBytes,
        header_timeout=limits.headerTimeoutMs / MS_PER_SECOND,
        idle_timeout=limits.idleTimeoutMs / MS_PER_SECOND,
    )
