"""Hosts and targets as the platform's host list shows them."""

import dataclasses
import enum
import typing as t


class HostState(enum.Enum):
    """Whether a host stays."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Host:
    """A target's host, with the agent that stands beside the target."""

    name: str  # of the target, too
    agent: str  # "ip:port" where the agent listens
    address: str = ""  # "ip:port" of the target, for the members of a group
    region: str
    failure_domain: str
    state: HostState = HostState.LIVE
    labels: t.Mapping[str, str] = dataclasses.field(default_factory=dict)
