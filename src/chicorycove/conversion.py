"""Converts parsed JSON to frozen data classes, with checks."""

import dataclasses
import enum
import ipaddress
import typing as t

import msgspec

from .exceptions import SettingsError

T = t.TypeVar("T")

MAX_PORT = 65535


class Address(str):
    """An IP address and a port, such as "127.0.0.1:8000"."""

    @property
    def host(self) -> str:
        """Return the IP address."""
        return self.rpartition(":")[0].strip("[]")

    @property
    def port(self) -> int:
        """Return the port."""
        return int(self.rpartition(":")[2])

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Return the address that a text holds.

        :raises ValueError: if the text is not an IP address and a port
        """
        address = cls(text)
        try:
            ipaddress.ip_address(address.host)
            valid = 0 <= address.port <= MAX_PORT
        except ValueError:
            valid = False
        if not valid:
            raise ValueError(
                f'expected an IP address and a port such as "127.0.0.1:8000", '
                f'got "{text}"'
            )
        return address


def convert(data: t.Any, cls: type[T], where: str) -> T:
    """Build a data class from parsed JSON.

    :raises SettingsError: with the invalid key and the expected value
    """
    _reject_unknown_keys(data, cls, where, "")
    try:
        return msgspec.convert(data, cls, dec_hook=_decode)
    except msgspec.ValidationError as error:
        message, _, path = str(error).partition(" - at `$")
        key = path.strip("`.")
        location = f'{where}: key "{key}"' if key else where
        raise SettingsError(f"{location}: {message}") from None


def to_json(value: t.Any) -> t.Any:
    """Convert data classes to plain JSON values."""
    return msgspec.to_builtins(value, enc_hook=str)


def _decode(cls: type, value: t.Any) -> t.Any:
    if cls is Address and isinstance(value, str):
        return Address.parse(value)
    raise ValueError(f"expected `{cls.__name__}`")


def _reject_unknown_keys(data: t.Any, cls: t.Any, where: str, path: str) -> None:
    for data_class in _find_data_classes(cls):
        if not isinstance(data, dict):
            continue
        hints = t.get_type_hints(data_class)
        for key, value in data.items():
            name = f"{path}.{key}" if path else key
            if key not in hints:
                known_keys = ", ".join(sorted(hints))
                raise SettingsError(
                    f'{where}: key "{name}" is not known, expected one of: {known_keys}'
                )
            _reject_unknown_choice(value, hints[key], where, name)
            _reject_unknown_keys(value, hints[key], where, name)
    for item in _find_item_classes(cls):
        for index, value in enumerate(data if isinstance(data, list) else ()):
            _reject_unknown_keys(value, item, where, f"{path}[{index}]")


def _reject_unknown_choice(value: t.Any, hint: t.Any, where: str, name: str) -> None:
    if not (isinstance(hint, type) and issubclass(hint, enum.Enum)):
        return
    choices = [choice.value for choice in hint]
    if value not in choices:
        raise SettingsError(
            f'{where}: key "{name}": expected one of {", ".join(choices)}, '
            f"got {value!r}"
        )


def _find_data_classes(hint: t.Any) -> list[type]:
    if dataclasses.is_dataclass(hint):
        return [hint]
    found = []
    for arg in t.get_args(hint):
        if t.get_origin(hint) not in (tuple, list, dict):
            found.extend(_find_data_classes(arg))
    return found[:1]


def _find_item_classes(hint: t.Any) -> list[t.Any]:
    if t.get_origin(hint) in (tuple, list):
        return [arg for arg in t.get_args(hint)[:1]]
    return []
