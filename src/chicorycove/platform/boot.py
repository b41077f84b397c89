"""The settings of a process."""

import dataclasses
import typing as t

from .settings_file import SettingsFile, read_settings_file

BYTES_PER_MEGABYTE = 1_000_000

frozen = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


@frozen
class Boot:
    """The settings of a process; times are in seconds."""

    name: str  # name of the host
    ip: str
    failure_domain: str
    callers: str  # "ip:port" that callers connect to
    readiness: str  # "ip:port" of the load balancer's readiness check
    peer_port: int  # UDP port for updates between entries
    metrics_port: int
    store: str  # "ip:port" of the platform's store
    grace: float  # from the stop signal until the platform kills the process
    drain: float  # time in which a leaving target may still get requests
    repeat_ratio: float  # retries allowed for each request
    repeat_window: float  # sliding window of the retry budget
    repeat_extra: int  # retries besides the ratio, for all entries together
    hold_most: float  # longest lease of a memory reservation
    memory: int  # bytes that the process may use; 0 if the settings do not say
    link_rate: float  # of the host's link, in Mbit/s; 0 if the settings do not say
    regions: t.Mapping[str, str]  # by failure domain
    features: frozenset[str]  # parts of the platform's rules that are in force


def load_boot(path: str | None = None) -> Boot:
    """Read and check the settings file.

    :raises SettingsError: with the file, the key and the expected value
    """
    return create_boot(read_settings_file(path))


def create_boot(file: SettingsFile) -> Boot:
    """Return the checked settings; other keys are ignored.

    :raises SettingsError: with the file, the key and the expected value
    """
    ports = file.get("internalPortRange", list)
    if len(ports) != 2 or not all(isinstance(port, int) for port in ports):
        raise file.invalid_value("internalPortRange", "two port numbers", ports)
    return Boot(
        name=file.get("node", str),
        ip=file.get("ip", str),
        failure_domain=file.get("zone", str),
        callers=file.get_address("listen.front"),
        readiness=file.get_address("listen.ready"),
        peer_port=ports[0],
        metrics_port=ports[0] + 1,
        store=file.get_address("platform.address"),
        grace=float(file.get("bounds.graceS", (int, float))),
        drain=file.get("bounds.drainMs", (int, float)) / 1000,
        repeat_ratio=float(file.get("bounds.retryBudgetRatio", (int, float))),
        repeat_window=float(file.get("bounds.budgetWindowS", (int, float))),
        repeat_extra=int(file.get("bounds.budgetExtra", (int, float))),
        hold_most=file.get("bounds.holdMaxMs", (int, float)) / 1000,
        memory=int(
            file.get_optional("limits.memoryMb", (int, float), 0) * BYTES_PER_MEGABYTE
        ),
        link_rate=float(file.get_optional("limits.linkMbps", (int, float), 0)),
        regions=file.get_optional("zones", dict, {}),
        features=frozenset(file.get_optional("contracts", list, [])),
    )
