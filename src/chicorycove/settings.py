"""Defines the settings of a process, and reads them from a file."""

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
    """The kind of a process."""

    ENTRY = "entry"
    AGENT = "agent"
    LOCAL = "local"


class LogLevel(enum.Enum):
    """The lowest level that is logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class LogFormat(enum.Enum):
    """The format of a log line."""

    JSON = "json"
    TEXT = "text"


@frozen
class LogSettings:
    """Level and format of the log."""

    level: LogLevel = LogLevel.INFO
    format: LogFormat = LogFormat.JSON


@frozen
class PlatformSettings:
    """Addresses and limits of the platform's services; times in seconds."""

    store: Address
    hosts: Address
    store_timeout: float = 1.0
    store_calls: int = 32  # most calls in flight; those of claims go first
    hosts_interval: float = 1.0


@frozen
class PeerSettings:
    """The address for messages of peers, by UDP and TCP, and the seeds."""

    listen: Address
    seeds: tuple[Address, ...] = ()  # entries to contact first


class PolicyName(enum.Enum):
    """The policy by which an entry chooses targets."""

    LENGTH_AWARE = "length_aware"
    LEAST_OUTSTANDING = "least_outstanding"
    ROUND_ROBIN = "round_robin"


@frozen
class EntrySettings:
    """Settings of an entry; times are in seconds, sizes in bytes."""

    listen: Address
    share_listen: bool = False  # listen with other entry processes of this host
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
    seed_catalogue: str | None = None  # a file, used if the store has no catalogue
    routing: PolicyName = PolicyName.LENGTH_AWARE
    quota_entries: int = 1  # most entries that run concurrently; each may use a share


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
    """Settings of the local role, which runs all parts in one process."""

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
    """Read and check a settings file; a given role overrides the one in it.

    :raises SettingsError: with the file, the key and the expected value
    """
    source = str(path)
    try:
        data = jsonc.loads(path.read_text())
    except OSError as error:
        raise SettingsError(f"{source}: {error.strerror}") from None
    except ValueError as error:
        raise SettingsError(f"{source}: not JSON with comments: {error}") from None
    if not isinstance(data, dict):
        raise SettingsError(f"{source}: expected an object")
    if role is not None:
        data["role"] = role
    settings = convert(data, Settings, source)
    _check_sections(settings, source)
    return settings


def _check_sections(settings: Settings, source: str) -> None:
    sections: dict[Role, tuple[str, ...]] = {
        Role.ENTRY: ("entry", "platform"),
        Role.AGENT: ("agent", "platform"),
        Role.LOCAL: ("local",),
    }
    for section in sections[settings.role]:
        if getattr(settings, section) is None:
            raise SettingsError(
                f'{source}: key "{section}" is missing, expected an object, '
                f'since the role is "{settings.role.value}"'
            )
    for section in (settings.entry, settings.agent, settings.local):
        _check_positive(section, source)


def _check_positive(section: t.Any, source: str) -> None:
    if section is None:
        return
    for field in dataclasses.fields(section):
        value = getattr(section, field.name)
        if isinstance(value, (int, float)) and field.name != "seed" and value < 0:
            raise SettingsError(
                f'{source}: key "{field.name}": expected a number of at least 0, '
                f"got {value}"
            )
