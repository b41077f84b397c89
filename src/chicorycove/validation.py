"""Validation of a catalogue: values of its entries and their references."""

import re
import typing as t

from .catalogue import (
    KINDS,
    Catalogue,
    Entry,
    EntryId,
    Limits,
    Model,
    Operator,
    PriorityClass,
    Service,
    ServiceKind,
    Workspace,
    entry_id,
)
from .exceptions import CatalogueError

NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,127}")
DIGEST = re.compile(r"[0-9a-f]{64}")


def validate(catalogue: Catalogue) -> None:
    """Check that a catalogue is valid.

    :raises CatalogueError: with one line for each fault
    """
    faults = list(find_faults(catalogue))
    if faults:
        raise CatalogueError("\n".join(faults))


def find_faults(catalogue: Catalogue) -> t.Iterator[str]:
    """Yield each fault of an entry, and each reference to an unknown entry."""
    for entry in catalogue.entries():
        id = entry_id(entry)
        for fault in _value_faults(entry):
            yield f'{id.kind} "{id.name}" {fault}'
        for reference in find_references(entry):
            if catalogue.find(reference) is None:
                yield (
                    f'{id.kind} "{id.name}" names {reference.kind} '
                    f'"{reference.name}", which does not exist'
                )
    yield from _shared_digests(catalogue)


def find_references(entry: Entry) -> t.Iterator[EntryId]:
    """Yield the ids of the entries that an entry names."""
    match entry:
        case Workspace(priority_class=name):
            yield EntryId("class", name)
        case Model(service=name):
            yield EntryId("service", name)
        case Service(priority_class=name, paths=paths):
            for each in (name, *(path.priority_class for path in paths)):
                if each is not None:
                    yield EntryId("class", each)


def _value_faults(entry: Entry) -> t.Iterator[str]:
    if not NAME.fullmatch(entry.name):
        yield "has a name other than 1 to 128 of A-Z a-z 0-9 . _ : -"
    if not entry.owner.strip():
        yield "has no owner"
    yield from _limit_faults(getattr(entry, "limits", Limits()))
    for digest in getattr(entry, "key_digests", ()):
        if not DIGEST.fullmatch(digest):
            yield "has a key digest that is not a SHA-256 in hex"
    yield from _kind_faults(entry)


def _limit_faults(limits: Limits) -> t.Iterator[str]:
    for name in ("requests_per_second", "tokens_per_second", "memory_tokens"):
        value = getattr(limits, name)
        if value is not None and not value >= 0:
            yield f"has a negative limit {name}"


def _kind_faults(entry: Entry) -> t.Iterator[str]:
    match entry:
        case Workspace(weight=weight) if not weight > 0:
            yield "has a weight that is not above 0"
        case PriorityClass(deadline=deadline) if not deadline > 0:
            yield "has a deadline that is not above 0 s"
        case PriorityClass(queue_limit=limit) if limit < 0:
            yield "has a negative queue_limit"
        case Model():
            yield from _model_faults(entry)
        case Service(kind=ServiceKind.ENGINE, paths=paths) if paths:
            yield "is an engine and has path rules"
        case Service(paths=paths):
            for path in paths:
                if not path.prefix.startswith("/"):
                    yield f'has a path rule "{path.prefix}" that does not start with /'
        case Operator(grants=grants):
            yield from _grant_faults(grants)


def _model_faults(model: Model) -> t.Iterator[str]:
    names = [version.name for version in model.versions]
    if len(set(names)) < len(names):
        yield "has two versions of one name"
    if model.version and model.version not in names:
        yield f'names version "{model.version}", which it does not have'
    if not model.bytes_per_token > 0 or model.max_tokens < 1 or model.min_targets < 0:
        yield "has bytes_per_token, max_tokens or min_targets out of range"


def _grant_faults(grants: tuple[str, ...]) -> t.Iterator[str]:
    for grant in grants:
        kind, slash, pattern = grant.partition("/")
        if not slash or not pattern or kind not in {*KINDS, "*"}:
            yield f'has a grant "{grant}" that is not of the form kind/pattern'


def _shared_digests(catalogue: Catalogue) -> t.Iterator[str]:
    for kind in ("workspace", "operator"):
        owners: dict[str, str] = {}
        for name, entry in sorted(catalogue.of_kind(kind).items()):
            for digest in entry.key_digests:
                if owners.setdefault(digest, name) != name:
                    yield f'{kind} "{name}" has a key of {kind} "{owners[digest]}"'
