"""Hosts and their targets, as the platform's host list reports them."""

import dataclasses
import enum
import typing as t


class HostState(enum.Enum):
    """Whether a host is in service or about to leave."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Host:
    """The host of a target and of the target's agent."""

    name: str  # also the target's name
    agent: str  # "ip:port" of the agent
    address: str = ""  # "ip:port" of the target, which a group's members use
    region: str
    failure_domain: str
    state: HostState = HostState.LIVE
    labels: t.Mapping[str, str] = dataclasses.field(default_factory=dict)
