"""The settings that the platform gives a process."""

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
    """What a process learns at its start; times are in seconds."""

    name: str  # of the host
    ip: str
    failure_domain: str
    callers: str  # the address that callers reach, "ip:port"
    readiness: str  # the address that the balancer asks
    peer_port: int  # the first port for messages between hosts
    metrics_port: int
    store: str
    grace: float  # from the stop signal until the process is killed
    drain: float  # until a leaving target must get nothing more
    repeat_ratio: float
    repeat_window: float
    repeat_extra: int
    hold_most: float  # a ticket's longest lease


def load_boot(path: str | None = None) -> Boot:
    """Read and check the settings file.

    :raises SettingsError: naming the file, the key and what was expected
    """
    settings_path = path or os.environ.get(SETTINGS_VARIABLE)
    if not settings_path:
        raise SettingsError(f"the variable {SETTINGS_VARIABLE} names no settings file")
    try:
        data = yaml.load(pathlib.Path(settings_path).read_bytes(), yaml.CSafeLoader)
    except OSError as error:
        raise SettingsError(f"{settings_path}: {error.strerror}") from None
    except yaml.YAMLError as error:
        detail = " ".join(str(error).split())
        raise SettingsError(f"{settings_path}: not YAML: {detail}") from None
    return _SettingsReader(settings_path, data).read_boot()


class _SettingsReader:
    """Takes checked values out of the file; unknown keys are left alone."""

    def __init__(self, path: str, data: t.Any) -> None:
        self._path = path
        self._data = data

    def read_boot(self) -> Boot:
        """Return the settings."""
        if not isinstance(self._data, dict):
            raise SettingsError(f"{self._path}: expected a table of settings")
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
