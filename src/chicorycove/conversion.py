"""Checked conversion of parsed JSON to frozen data classes."""

import dataclasses
import enum
import ipaddress
import typing as t

import msgspec

from .exceptions import SettingsError

T = t.TypeVar("T")

MAX_PORT = 65535


class Address(str):
    """An IP number and a port, such as "127.0.0.1:8000"."""

    @property
    def host(self) -> str:
        """Return the IP number."""
        return self.rpartition(":")[0].strip("[]")

    @property
    def port(self) -> int:
        """Return the port."""
        return int(self.rpartition(":")[2])

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Check that a text is an address.

        :raises ValueError: if the text is not an IP number and a port
        """
        address = cls(text)
        try:
            ipaddress.ip_address(address.host)
            valid = 0 <= address.port <= MAX_PORT
        except ValueError:
            valid = False
        if not valid:
            raise ValueError(
                f'expected an IP number and a port such as "127.0.0.1:8000", '
                f'got "{text}"'
            )
        return address


def convert(data: t.Any, cls: type[T], where: str) -> T:
    """Build a data class from parsed JSON.

    :raises SettingsError: naming the key at fault and what was expected
    """
    _refuse_unknown(data, cls, where, "")
    try:
        return msgspec.convert(data, cls, dec_hook=_decode)
    except msgspec.ValidationError as error:
        message, _, path = str(error).partition(" - at `$")
        key = path.strip("`.")
        place = f'{where}: key "{key}"' if key else where
        raise SettingsError(f"{place}: {message}") from None


def to_json(value: t.Any) -> t.Any:
    """Turn data classes into plain JSON values."""
    return msgspec.to_builtins(value, enc_hook=str)


def _decode(cls: type, value: t.Any) -> t.Any:
    if cls is Address and isinstance(value, str):
        return Address.parse(value)
    raise ValueError(f"expected `{cls.__name__}`")


def _refuse_unknown(data: t.Any, cls: t.Any, where: str, path: str) -> None:
    for kind in _classes(cls):
        if not isinstance(data, dict):
            continue
        hints = t.get_type_hints(kind)
        for key, value in data.items():
            name = f"{path}.{key}" if path else key
            if key not in hints:
                known = ", ".join(sorted(hints))
                raise SettingsError(
                    f'{where}: key "{name}" is not known, expected one of: {known}'
                )
            _refuse_choice(value, hints[key], where, name)
            _refuse_unknown(value, hints[key], where, name)
    for item in _item_classes(cls):
        for number, value in enumerate(data if isinstance(data, list) else ()):
            _refuse_unknown(value, item, where, f"{path}[{number}]")


def _refuse_choice(value: t.Any, hint: t.Any, where: str, name: str) -> None:
    if not (isinstance(hint, type) and issubclass(hint, enum.Enum)):
        return
    choices = [choice.value for choice in hint]
    if value not in choices:
        raise SettingsError(
            f'{where}: key "{name}": expected one of {", ".join(choices)}, '
            f"got {value!r}"
        )


def _classes(hint: t.Any) -> list[type]:
    if dataclasses.is_dataclass(hint):
        return [hint]
    found = []
    for arg in t.get_args(hint):
        if t.get_origin(hint) not in (tuple, list, dict):
            found.extend(_classes(arg))
    return found[:1]


def _item_classes(hint: t.Any) -> list[t.Any]:
    if t.get_origin(hint) in (tuple, list):
        return [arg for arg in t.get_args(hint)[:1]]
    return []
