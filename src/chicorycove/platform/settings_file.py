"""Reads the settings file that the platform gives to a process.

It is imported before the sockets listen, so it needs no slow imports.
"""

import json
import os
import typing as t

from ..exceptions import SettingsError

SETTINGS_VARIABLE = "CHICORYCOVE_BOOT"  # holds the path of the settings file


def read_settings_file(path: str | None = None) -> "SettingsFile":
    """Read a settings file, by default the one that the environment names.

    :raises SettingsError: if it cannot be read or is not a mapping
    """
    settings_path = path or os.environ.get(SETTINGS_VARIABLE)
    if not settings_path:
        raise SettingsError(
            f"environment variable {SETTINGS_VARIABLE} names no settings file"
        )
    try:
        with open(settings_path, "rb") as file:
            content = file.read()
    except OSError as error:
        raise SettingsError(f"{settings_path}: {error.strerror}") from None
    return SettingsFile(settings_path, _parse(settings_path, content))


def _parse(path: str, content: bytes) -> t.Any:
    try:
        return json.loads(content)
    except ValueError:
        return _parse_yaml(path, content)


def _parse_yaml(path: str, content: bytes) -> t.Any:
    import yaml  # the file is JSON where the deploy file's template is in use

    try:
        return yaml.load(content, yaml.CSafeLoader)
    except yaml.YAMLError as error:
        detail = " ".join(str(error).split())
        raise SettingsError(f"{path}: not YAML: {detail}") from None


class SettingsFile:
    """The values of a settings file, checked as they are read."""

    def __init__(self, path: str, data: t.Any) -> None:
        if not isinstance(data, dict):
            raise SettingsError(f"{path}: expected a mapping of settings")
        self._path = path
        self._data = data

    def get(self, key: str, expected_type: type | tuple[type, ...]) -> t.Any:
        """Return the value of a dotted key.

        :raises SettingsError: if it is missing or has another type
        """
        value = self._find(key)
        if value is None:
            raise SettingsError(f'{self._path}: key "{key}" is missing')
        if not isinstance(value, expected_type) or isinstance(value, bool):
            types = (
                expected_type if isinstance(expected_type, tuple) else (expected_type,)
            )
            expected = " or ".join(each.__name__ for each in types)
            raise self.invalid_value(key, expected, value)
        return value

    def get_optional(
        self, key: str, expected_type: type | tuple[type, ...], default: t.Any
    ) -> t.Any:
        """Return the value of a dotted key, or a default if it is missing.

        :raises SettingsError: if it has another type
        """
        if self._find(key) is None:
            return default
        return self.get(key, expected_type)

    def get_address(self, key: str) -> str:
        """Return the value of a key that holds "ip:port".

        :raises SettingsError: if it is missing or not an address
        """
        value = self.get(key, str)
        host, _, port = value.rpartition(":")
        if not host or not port.isdigit() or not 0 < int(port) < 65_536:
            raise self.invalid_value(key, '"ip:port"', value)
        return value

    def _find(self, key: str) -> t.Any:
        value = self._data
        for name in key.split("."):
            if not isinstance(value, dict):
                return None
            value = value.get(name)
        return value

    def invalid_value(self, key: str, expected: str, value: t.Any) -> SettingsError:
        """Return the error for a value that is not as expected."""
        return SettingsError(
            f'{self._path}: key "{key}": expected {expected}, got {value!r}'
        )
