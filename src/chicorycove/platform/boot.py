"""The settings file that the platform gives to a process."""

import dataclasses
import os
import pathlib
import typing as t

import yaml

from ..exceptions import SettingsError

SETTINGS_VARIABLE = "CHICORYCOVE_BOOT"  # holds the path of the settings file

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


def load_boot(path: str | None = None) -> Boot:
    """Read and check the settings file.

    :raises SettingsError: with the file, the key and the expected value
    """
    settings_path = path or os.environ.get(SETTINGS_VARIABLE)
    if not settings_path:
        raise SettingsError(
            f"environment variable {SETTINGS_VARIABLE} names no settings file"
        )
    try:
        data = yaml.load(pathlib.Path(settings_path).read_bytes(), yaml.CSafeLoader)
    except OSError as error:
        raise SettingsError(f"{settings_path}: {error.strerror}") from None
    except yaml.YAMLError as error:
        detail = " ".join(str(error).split())
        raise SettingsError(f"{settings_path}: not YAML: {detail}") from None
    return _SettingsReader(settings_path, data).read_boot()


class _SettingsReader:
    """Reads and checks the values of a settings file; ignores other keys."""

    def __init__(self, path: str, data: t.Any) -> None:
        self._path = path
        self._data = data

    def read_boot(self) -> Boot:
        """Return the checked settings."""
        if not isinstance(self._data, dict):
            raise SettingsError(f"{self._path}: expected a mapping of settings")
        ports = self._get("internalPortRange", list)
        if len(ports) != 2 or not all(isinstance(port, int) for port in ports):
            raise self._invalid_value("internalPortRange", "two port numbers", ports)
        return Boot(
            name=self._get("node", str),
            ip=self._get("ip", str),
            failure_domain=self._get("zone", str),
            callers=self._get_address("listen.front"),
            readiness=self._get_address("listen.ready"),
            peer_port=ports[0],
            metrics_port=ports[0] + 1,
            store=self._get_address("platform.address"),
            grace=float(self._get("bounds.graceS", (int, float))),
            drain=self._get("bounds.drainMs", (int, float)) / 1000,
            repeat_ratio=float(self._get("bounds.retryBudgetRatio", (int, float))),
            repeat_window=float(self._get("bounds.budgetWindowS", (int, float))),
            repeat_extra=int(self._get("bounds.budgetExtra", (int, float))),
            hold_most=self._get("bounds.holdMaxMs", (int, float)) / 1000,
        )

    def _get(self, key: str, expected_type: type | tuple[type, ...]) -> t.Any:
        value = self._data
        for name in key.split("."):
            if not isinstance(value, dict) or value.get(name) is None:
                raise SettingsError(f'{self._path}: key "{key}" is missing')
            value = value[name]
        if not isinstance(value, expected_type) or isinstance(value, bool):
            types = (
                expected_type if isinstance(expected_type, tuple) else (expected_type,)
            )
            expected = " or ".join(each.__name__ for each in types)
            raise self._invalid_value(key, expected, value)
        return value

    def _get_address(self, key: str) -> str:
        value = self._get(key, str)
        host, _, port = value.rpartition(":")
        if not host or not port.isdigit() or not 0 < int(port) < 65_536:
            raise self._invalid_value(key, '"ip:port"', value)
        return value

    def _invalid_value(self, key: str, expected: str, value: t.Any) -> SettingsError:
        return SettingsError(
            f'{self._path}: key "{key}": expected {expected}, got {value!r}'
        )
