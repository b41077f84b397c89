"""The settings that the platform gives a process."""

import dataclasses
import os
import pathlib
import typing as t

import yaml

from ..exceptions import SettingsError

VARIABLE = "CHICORYCOVE_BOOT"  # holds the path of the settings file

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


def load(path: str | None = None) -> Boot:
    """Read and check the settings file.

    :raises SettingsError: naming the file, the key and what was expected
    """
    where = path or os.environ.get(VARIABLE)
    if not where:
        raise SettingsError(f"the variable {VARIABLE} names no settings file")
    try:
        data = yaml.load(pathlib.Path(where).read_bytes(), yaml.CSafeLoader)
    except OSError as error:
        raise SettingsError(f"{where}: {error.strerror}") from None
    except yaml.YAMLError as error:
        detail = " ".join(str(error).split())
        raise SettingsError(f"{where}: not YAML: {detail}") from None
    return _Reader(where, data).boot()


class _Reader:
    """Takes checked values out of the file; unknown keys are left alone."""

    def __init__(self, where: str, data: t.Any) -> None:
        self._where = where
        self._data = data

    def boot(self) -> Boot:
        """Return the settings."""
        if not isinstance(self._data, dict):
            raise SettingsError(f"{self._where}: expected a table of settings")
        ports = self._value("internalPortRange", list)
        if len(ports) != 2 or not all(isinstance(port, int) for port in ports):
            raise self._error("internalPortRange", "two port numbers", ports)
        return Boot(
            name=self._value("node", str),
            ip=self._value("ip", str),
            failure_domain=self._value("zone", str),
            callers=self._address("listen.front"),
            readiness=self._address("listen.ready"),
            peer_port=ports[0],
            metrics_port=ports[0] + 1,
            store=self._address("platform.address"),
            grace=float(self._value("bounds.graceS", (int, float))),
            drain=self._value("bounds.drainMs", (int, float)) / 1000,
            repeat_ratio=float(self._value("bounds.retryBudgetRatio", (int, float))),
            repeat_window=float(self._value("bounds.budgetWindowS", (int, float))),
            repeat_extra=int(self._value("bounds.budgetExtra", (int, float))),
            hold_most=self._value("bounds.holdMaxMs", (int, float)) / 1000,
        )

    def _value(self, key: str, kind: type | tuple[type, ...]) -> t.Any:
        value = self._data
        for name in key.split("."):
            if not isinstance(value, dict) or value.get(name) is None:
                raise SettingsError(f'{self._where}: key "{key}" is missing')
            value = value[name]
        if not isinstance(value, kind) or isinstance(value, bool):
            names = kind if isinstance(kind, tuple) else (kind,)
            expected = " or ".join(each.__name__ for each in names)
            raise self._error(key, expected, value)
        return value

    def _address(self, key: str) -> str:
        value = self._value(key, str)
        host, _, port = value.rpartition(":")
        if not host or not port.isdigit() or not 0 < int(port) < 65_536:
            raise self._error(key, '"ip:port"', value)
        return value

    def _error(self, key: str, expected: str, value: t.Any) -> SettingsError:
        return SettingsError(
            f'{self._where}: key "{key}": expected {expected}, got {value!r}'
        )
