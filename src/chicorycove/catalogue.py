"""The catalogue: the entries that operators declare, a class for each kind."""

import dataclasses
import enum
import hashlib
import typing as t

frozen = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


@frozen
class Limits:
    """Limits on the use of an entry; None means no limit."""

    requests_per_second: float | None = None
    tokens_per_second: float | None = None
    memory_tokens: int | None = None


@frozen
class Workspace:
    """A workspace: its API keys, its priority class and its limits."""

    name: str
    owner: str
    priority_class: str
    limits: Limits = Limits()
    key_digests: tuple[str, ...] = ()
    weight: float = 1.0


@frozen
class PriorityClass:
    """The priority and deadline of requests; times are in seconds."""

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
    """Whether the targets of a service are engines or plain services."""

    ENGINE = "engine"
    PLAIN = "plain"


@frozen
class PathRule:
    """Whether requests to a path are idempotent, and their priority class."""

    prefix: str
    methods: tuple[str, ...] = ("POST", "PUT", "PATCH", "DELETE")
    idempotent: bool = False
    priority_class: str | None = None


@frozen
class Service:
    """A set of targets, selected by their labels in the host list."""

    name: str
    owner: str
    kind: ServiceKind
    priority_class: str | None = None
    selector: t.Mapping[str, str] = dataclasses.field(default_factory=dict)
    paths: tuple[PathRule, ...] = ()
    limits: Limits = Limits()


@frozen
class Target:
    """Whether a target is drained."""

    name: str
    owner: str
    drained: bool = False


@frozen
class Operator:
    """An operator's keys, and the entries that it may change."""

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

KIND_NAMES: dict[type[Entry], str] = {cls: kind for kind, cls in KINDS.items()}

FIELDS: dict[str, str] = {
    "workspace": "workspaces",
    "class": "classes",
    "model": "models",
    "service": "services",
    "target": "targets",
    "operator": "operators",
}


class EntryId(t.NamedTuple):
    """The kind and name that identify an entry."""

    kind: str
    name: str

    def __str__(self) -> str:
        return f"{self.kind}/{self.name}"


def entry_id(entry: Entry) -> EntryId:
    """Return the id of an entry."""
    return EntryId(KIND_NAMES[type(entry)], entry.name)


def key_digest(key: str) -> str:
    """Return the digest that the catalogue holds in place of a key."""
    return hashlib.sha256(key.encode()).hexdigest()


@frozen
class Catalogue:
    """Every entry of one revision, by kind and name."""

    revision: int = 0
    workspaces: t.Mapping[str, Workspace] = dataclasses.field(default_factory=dict)
    classes: t.Mapping[str, PriorityClass] = dataclasses.field(default_factory=dict)
    models: t.Mapping[str, Model] = dataclasses.field(default_factory=dict)
    services: t.Mapping[str, Service] = dataclasses.field(default_factory=dict)
    targets: t.Mapping[str, Target] = dataclasses.field(default_factory=dict)
    operators: t.Mapping[str, Operator] = dataclasses.field(default_factory=dict)

    @classmethod
    def build(cls, entries: t.Iterable[Entry], revision: int = 0) -> "Catalogue":
        """Return a catalogue of entries; of two with one name, the last."""
        fields: dict[str, dict[str, Entry]] = {field: {} for field in FIELDS.values()}
        for entry in entries:
            fields[FIELDS[KIND_NAMES[type(entry)]]][entry.name] = entry
        return cls(revision=revision, **fields)

    def of_kind(self, kind: str) -> t.Mapping[str, Entry]:
        """Return the entries of a kind by name."""
        return getattr(self, FIELDS[kind])

    def find(self, id: EntryId) -> Entry | None:
        """Return an entry, or None if there is none."""
        return self.of_kind(id.kind).get(id.name)

    def entries(self) -> t.Iterator[Entry]:
        """Yield every entry, by kind and then by name."""
        for kind in FIELDS:
            for _, entry in sorted(self.of_kind(kind).items()):
                yield entry

    def with_edits(
        self, edits: t.Mapping[EntryId, Entry | None], revision: int
    ) -> "Catalogue":
        """Return a copy with entries replaced, or removed if they are None."""
        fields = {field: getattr(self, field) for field in FIELDS.values()}
        for kind in {id.kind for id in edits}:
            fields[FIELDS[kind]] = dict(fields[FIELDS[kind]])
        for id, entry in edits.items():
            fields[FIELDS[id.kind]].pop(id.name, None)
            if entry is not None:
                fields[FIELDS[id.kind]][id.name] = entry
        return Catalogue(revision=revision, **fields)
