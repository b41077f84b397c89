"""The JSON form of catalogue entries and its JSON Schema."""

import collections
import dataclasses
import re
import types
import typing as t

import jsonc
import msgspec

from .catalogue import KIND_NAMES, KINDS, Catalogue, Entry, entry_id
from .exceptions import CatalogueError
from .validation import validate

# Fields with another name in JSON, where "kind" is the kind of an entry
ALIASES = {"priority_class": "class", "kind": "type"}
FIELD_NAMES = {alias: name for name, alias in ALIASES.items()}

Json = t.Any  # a decoded JSON value


def parse_entry(data: Json, where: str = "entry") -> Entry:
    """Read an entry from its JSON form.

    :raises CatalogueError: naming the entry and what is wrong with it
    """
    if not isinstance(data, dict):
        raise CatalogueError(f"{where}: expected an object")
    fields = dict(data)
    kind = fields.pop("kind", None)
    if kind not in KINDS:
        expected = ", ".join(KINDS)
        raise CatalogueError(f"{where}: kind {kind!r} is not one of {expected}")
    where = f'{kind} "{fields.get("name", "")}"'
    try:
        return msgspec.convert(_rename_keys(KINDS[kind], fields, where), KINDS[kind])
    except msgspec.ValidationError as error:
        raise CatalogueError(f"{where}: {_use_json_names(str(error))}") from None


def dump_entry(entry: Entry) -> dict[str, Json]:
    """Return the JSON form of an entry, without default values."""
    return {"kind": KIND_NAMES[type(entry)]} | _dump_fields(entry)


def parse_entries(data: Json) -> tuple[Entry, ...]:
    """Read a list of entries with distinct ids.

    :raises CatalogueError: naming the entry and what is wrong with it
    """
    if not isinstance(data, list):
        raise CatalogueError('"entries": expected an array of entries')
    entries = tuple(
        parse_entry(item, f"entry {number}") for number, item in enumerate(data, 1)
    )
    ids = collections.Counter(entry_id(entry) for entry in entries)
    for id, count in ids.items():
        if count > 1:
            raise CatalogueError(f'{id.kind} "{id.name}" is given twice')
    return entries


def parse_file(text: str) -> tuple[Entry, ...]:
    """Read the entries of a catalogue file, JSON with comments.

    :raises CatalogueError: naming the entry and what is wrong with it
    """
    try:
        data = jsonc.loads(text)
    except ValueError as error:
        raise CatalogueError(f"not JSON with comments: {error}") from None
    if not isinstance(data, dict) or "entries" not in data:
        raise CatalogueError('expected an object with the key "entries"')
    for key in data.keys() - {"entries", "revision"}:
        raise CatalogueError(f'unknown key "{key}": expected "entries" or "revision"')
    return parse_entries(data["entries"])


def parse(text: str, revision: int = 0) -> Catalogue:
    """Read a catalogue file and validate the catalogue.

    :raises CatalogueError: naming each entry that is wrong
    """
    catalogue = Catalogue.build(parse_file(text), revision)
    validate(catalogue)
    return catalogue


def dump(catalogue: Catalogue) -> dict[str, Json]:
    """Return the JSON form of a catalogue."""
    entries = [dump_entry(entry) for entry in catalogue.entries()]
    return {"revision": catalogue.revision, "entries": entries}


def json_schema() -> dict[str, Json]:
    """Return the JSON Schema of a catalogue file."""
    kinds, definitions = msgspec.json.schema_components(
        KINDS.values(), ref_template="#/$defs/{name}"
    )
    definitions = {name: _finish_definition(part) for name, part in definitions.items()}
    for kind, cls in KINDS.items():
        part = definitions[cls.__name__]
        part["properties"]["kind"] = {"const": kind}
        part["required"] = ["kind", *part["required"]]
    schema = {
        "$schema": "https://json-schema.org/draft/2020-12/schema",
        "title": "chicorycove catalogue",
        "type": "object",
        "properties": {
            "revision": {"type": "integer"},
            "entries": {"type": "array", "items": {"anyOf": list(kinds)}},
        },
        "required": ["entries"],
        "additionalProperties": False,
        "$defs": definitions,
    }
    return msgspec.json.decode(msgspec.json.encode(schema))


def _use_json_names(message: str) -> str:
    for name, alias in ALIASES.items():
        message = re.sub(rf"(?<=[`.]){name}\b", alias, message)
    return message


def _finish_definition(part: dict[str, Json]) -> dict[str, Json]:
    if part.get("type") != "object":
        return part
    properties = {
        ALIASES.get(name, name): value for name, value in part["properties"].items()
    }
    required = [ALIASES.get(name, name) for name in part.get("required", ())]
    return part | {
        "properties": properties,
        "required": required,
        "additionalProperties": False,
    }


def _rename_keys(cls: type, data: dict[str, Json], where: str) -> dict[str, Json]:
    """Rename JSON keys to field names, refusing unknown keys at any depth."""
    hints = t.get_type_hints(cls)
    renamed = {}
    for key, value in data.items():
        name = FIELD_NAMES.get(key, key)
        if name not in hints or key in ALIASES:
            raise CatalogueError(f'{where}: unknown key "{key}"')
        renamed[name] = _rename_nested_keys(hints[name], value, f"{where}, {key}")
    return renamed


def _rename_nested_keys(hint: t.Any, value: Json, where: str) -> Json:
    if dataclasses.is_dataclass(hint) and isinstance(value, dict):
        return _rename_keys(hint, value, where)
    if t.get_origin(hint) is tuple and isinstance(value, list):
        item = t.get_args(hint)[0]
        return [_rename_nested_keys(item, part, where) for part in value]
    if isinstance(hint, types.UnionType):
        for option in t.get_args(hint):
            value = _rename_nested_keys(option, value, where)
    return value


def _dump_fields(value: t.Any) -> dict[str, Json]:
    data = {}
    for field in dataclasses.fields(value):
        part = getattr(value, field.name)
        if part != _field_default(field):
            data[ALIASES.get(field.name, field.name)] = _dump_value(part)
    return data


def _dump_value(value: t.Any) -> Json:
    if dataclasses.is_dataclass(value):
        return _dump_fields(value)
    if isinstance(value, tuple):
        return [_dump_value(part) for part in value]
    return msgspec.to_builtins(value)


def _field_default(field: dataclasses.Field) -> t.Any:
    if field.default_factory is not dataclasses.MISSING:
        return field.default_factory()
    return field.default
