"""The settings of a process, read from JSON with comments."""

import dataclasses
import enum
import pathlib
import typing as t

import jsonc

from .catalogue import ServiceKind
from .conversion import Address, convert
from .exceptions import SettingsError
from .lease import LeaseSettings
from .planner_board import PlannerSettings

frozen = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


class Role(enum.Enum):
    """What a process does."""

    ENTRY = "entry"
    AGENT = "agent"
    LOCAL = "local"


class LogLevel(enum.Enum):
    """The least level that is logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class LogFormat(enum.Enum):
    """How a log line is written."""

    JSON = "json"
    TEXT = "text"


@frozen
class LogSettings:
    """What is logged, and how."""

    level: LogLevel = LogLevel.INFO
    format: LogFormat = LogFormat.JSON


@frozen
class PlatformSettings:
    """Where the platform's services are; times are in seconds."""

    store: Address
    hosts: Address
    store_timeout: float = 1.0
    store_calls: int = 32  # under way at the same time; claims go first
    hosts_interval: float = 1.0


@frozen
class PeerSettings:
    """Where a process meets its peers: by UDP and TCP on one address."""

    listen: Address
    seeds: tuple[Address, ...] = ()  # of entries, to make first contact


class PolicyName(enum.Enum):
    """How an entry chooses targets."""

    LENGTH_AWARE = "length_aware"
    LEAST_OUTSTANDING = "least_outstanding"
    ROUND_ROBIN = "round_robin"


@frozen
class EntrySettings:
    """Settings of an entry; times are in seconds, sizes in bytes."""

    listen: Address
    share_listen: bool = False  # with other entry processes of this host
    max_body: int = 32 * 1024 * 1024
    max_answer: int = 16 * 1024 * 1024
    max_deadline: float = 3600.0
    stop_timeout: float = 600.0
    heartbeat: float = 1.0
    reattach_timeout: float = 2.0
    links_per_service: int = 24
    seed: int | None = None
    planner: PlannerSettings = PlannerSettings()
    lease: LeaseSettings = LeaseSettings()
    plan_interval: float = 1.0
    seed_catalogue: str | None = None  # a file, put in force if there is none
    routing: PolicyName = PolicyName.LENGTH_AWARE
    quota_entries: int = 1  # the most that run at once; each may use a share


@frozen
class AgentSettings:
    """Settings of an agent; times are in seconds, memory in tokens."""

    target: str
    listen: Address
    http: Address
    address: Address  # of the target
    kind: ServiceKind = ServiceKind.ENGINE
    memory: int = 131_072
    max_running: int = 64
    queue_limit: int = 1000
    owner_lease: float = 5.0
    load_interval: float = 0.25
    clock_skew: float = 0.5
    stop_timeout: float = 600.0
    max_body: int = 32 * 1024 * 1024


@frozen
class LocalTarget:
    """A stand-in target of the local role."""

    name: str
    service: str
    failure_domain: str
    kind: ServiceKind = ServiceKind.ENGINE
    memory: int = 131_072


@frozen
class LocalSettings:
    """Settings of the local role: everything on loopback in one process."""

    listen: Address
    catalogue: str
    targets: tuple[LocalTarget, ...]
    time_scale: float = 1.0
    max_body: int = 32 * 1024 * 1024  # bytes
    max_answer: int = 16 * 1024 * 1024  # bytes


@frozen
class Settings:
    """The settings of one process."""

    role: Role
    name: str
    region: str = "local"
    failure_domain: str = "local"
    log: LogSettings = LogSettings()
    platform: PlatformSettings | None = None
    peer: PeerSettings | None = None
    entry: EntrySettings | None = None
    agent: AgentSettings | None = None
    local: LocalSettings | None = None


def load(path: pathlib.Path, role: str | None = None) -> Settings:
    """Read and check a settings file; a role given here goes first.

    :raises SettingsError: naming file, key and what was expected
    """
    where = str(path)
    try:
        data = jsonc.loads(path.read_text())
    except OSError as error:
        raise SettingsError(f"{where}: {error.strerror}") from None
    except ValueError as error:
        raise SettingsError(f"{where}: not JSON with comments: {error}") from None
    if not isinstance(data, dict):
        raise SettingsError(f"{where}: expected an object")
    if role is not None:
        data["role"] = role
    settings = convert(data, Settings, where)
    _check(settings, where)
    return settings


def _check(settings: Settings, where: str) -> None:
    sections: dict[Role, tuple[str, ...]] = {
        Role.ENTRY: ("entry", "platform"),
        Role.AGENT: ("agent", "platform"),
        Role.LOCAL: ("local",),
    }
    for section in sections[settings.role]:
        if getattr(settings, section) is None:
            raise SettingsError(
                f'{where}: key "{section}" is missing, expected an object, '
                f'since the role is "{settings.role.value}"'
            )
    for section in (settings.entry, settings.agent, settings.local):
        _check_positive(section, where)


def _check_positive(section: t.Any, where: str) -> None:
    if section is None:
        return
    for field in dataclasses.fields(section):
        value = getattr(section, field.name)
        if isinstance(value, (int, float)) and field.name != "seed" and value < 0:
            raise SettingsError(
                f'{where}: key "{field.name}": expected a number of at least 0, '
                f"got {value}"
            )
