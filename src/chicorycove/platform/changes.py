"""Encodes the store's changes for other entries."""

import base64
import dataclasses
import typing as t
import zlib

import msgspec

from .patch import PatchMismatch, apply_patch, create_patch
from .store import Item

COMPRESSION_LEVEL = 1
MAX_DECODED_SIZE = 4_194_304  # bytes


class BaseMissing(ValueError):
    """A change refers to an earlier value that this entry does not hold."""


@dataclasses.dataclass(frozen=True, slots=True)
class PatchBase:
    """A key's value at a revision, from which later values differ little."""

    key: str
    revision: int
    data: bytes


class _Change(msgspec.Struct, array_like=True):
    """A change of a key; arrays carry no field names."""

    key: str
    revision: int
    data: bytes
    deleted: bool
    # Revision of the value that the data is a patch of; 0 if it is the value.
    base: int = 0


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[_Change])


def encode_changes(items: t.Iterable[Item], base: PatchBase | None = None) -> bytes:
    """Return items compressed, their values as bytes.

    The values of the base's key are patches, each of the one before.  Values
    that are not base64 become empty, which no entry can read either: a key
    whose value has turned unreadable names nothing any more.
    """
    changes = []
    for item in items:
        change = _encode_item(item)
        if base is not None and item.key == base.key and not item.deleted:
            next_base = PatchBase(item.key, item.revision, change.data)
            change.data = create_patch(base.data, change.data)
            change.base = base.revision
            base = next_base
        changes.append(change)
    return zlib.compress(_encoder.encode(changes), COMPRESSION_LEVEL)


def _encode_item(item: Item) -> _Change:
    try:
        data = item.data
    except ValueError:
        data = b""
    return _Change(item.key, item.revision, data, item.deleted)


def decode_changes(data: bytes, base: PatchBase | None = None) -> tuple[Item, ...]:
    """Return the items of a batch, without values older than the base.

    :raises BaseMissing: if a value is a patch of another base
    :raises ValueError: if it was not encoded by ``encode_changes``
    """
    decompressor = zlib.decompressobj()
    try:
        decoded = decompressor.decompress(data, MAX_DECODED_SIZE)
        changes = _decoder.decode(decoded)
    except (zlib.error, msgspec.MsgspecError, RecursionError) as error:
        raise ValueError(f"not a batch of changes: {error}") from None
    items = []
    for change in changes:
        if base is not None and change.key == base.key:
            if change.revision <= base.revision:
                continue
        if change.base:
            change.data = _apply_patch(change, base)
            base = PatchBase(change.key, change.revision, change.data)
        value = base64.b64encode(change.data).decode()
        items.append(Item(change.key, change.revision, value, change.deleted))
    return tuple(items)


def _apply_patch(change: _Change, base: PatchBase | None) -> bytes:
    if base is None or (change.key, change.base) != (base.key, base.revision):
        held = base.revision if base is not None else None
        raise BaseMissing(
            f"revision {change.revision} of {change.key} differs from revision "
            f"{change.base}, not from {held}"
        )
    try:
        return apply_patch(base.data, change.data)
    except PatchMismatch as error:
        raise BaseMissing(str(error)) from None
