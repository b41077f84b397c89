"""The catalogue: what operators declare, one frozen data class a kind."""

import dataclasses
import enum
import typing as t

frozen = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


@frozen
class Limits:
    """Bounds on an entry's use; None means no bound."""

    requests_per_second: float | None = None
    tokens_per_second: float | None = None
    memory_tokens: int | None = None


@frozen
class Workspace:
    """A customer: who may call, in which class, and how much."""

    name: str
    owner: str
    priority_class: str
    limits: Limits = Limits()
    key_digests: tuple[str, ...] = ()
    weight: float = 1.0


@frozen
class PriorityClass:
    """How urgent requests are; times are in seconds."""

    name: str
    owner: str
    priority: int  # a lower number goes first
    deadline: float
    queue_limit: int = 1000
    max_wait: float | None = None
    limits: Limits = Limits()


@frozen
class Version:
    """One version of a model's weights."""

    name: str
    weights: str
    size_bytes: int = 0


@frozen
class Model:
    """A model that a service's engines serve."""

    name: str
    owner: str
    service: str
    versions: tuple[Version, ...] = ()
    version: str = ""
    adapters: tuple[str, ...] = ()
    bytes_per_token: float = 4.0
    max_tokens: int = 1024
    min_targets: int = 1
    limits: Limits = Limits()


class ServiceKind(enum.Enum):
    """What stands behind a service."""

    ENGINE = "engine"
    PLAIN = "plain"


@frozen
class PathRule:
    """Whether calls of a path may be repeated."""

    prefix: str
    methods: tuple[str, ...] = ("POST", "PUT", "PATCH", "DELETE")
    idempotent: bool = False
    priority_class: str | None = None


@frozen
class Service:
    """A set of targets, chosen by the labels of the host list."""

    name: str
    owner: str
    kind: ServiceKind
    priority_class: str | None = None
    selector: t.Mapping[str, str] = dataclasses.field(default_factory=dict)
    paths: tuple[PathRule, ...] = ()
    limits: Limits = Limits()


@frozen
class Target:
    """An operator's word on one target."""

    name: str
    owner: str
    drained: bool = False


@frozen
class Operator:
    """Who may change the catalogue, and which kinds and names of it."""

    name: str
    owner: str
    key_digests: tuple[str, ...] = ()
    grants: tuple[str, ...] = ()  # "kind/pattern", such as "workspace/*"


Entry = Workspace | PriorityClass | Model | Service | Target | Operator

KINDS: dict[str, type[Entry]] = {
    "workspace": Workspace,
    "class": PriorityClass,
    "model": Model,
    "service": Service,
    "target": Target,
    "operator": Operator,
}


@frozen
class Catalogue:
    """Every entry in force at one revision, by kind and name."""

    revision: int = 0
    workspaces: t.Mapping[str, Workspace] = dataclasses.field(default_factory=dict)
    classes: t.Mapping[str, PriorityClass] = dataclasses.field(default_factory=dict)
    models: t.Mapping[str, Model] = dataclasses.field(default_factory=dict)
    services: t.Mapping[str, Service] = dataclasses.field(default_factory=dict)
    targets: t.Mapping[str, Target] = dataclasses.field(default_factory=dict)
    operators: t.Mapping[str, Operator] = dataclasses.field(default_factory=dict)
