"""Encodes the store's changes for other entries."""

import base64
import typing as t
import zlib

import msgspec

from .store import Item

COMPRESSION_LEVEL = 1
MAX_DECODED_SIZE = 4_194_304  # bytes


class _Change(msgspec.Struct, array_like=True):
    """A change of a key; arrays carry no field names."""

    key: str
    revision: int
    data: bytes
    deleted: bool


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[_Change])


def encode_changes(items: t.Iterable[Item]) -> bytes:
    """Return items compressed, their values as bytes.

    Values that are not base64 become empty, which no entry can read either: a
    key whose value has turned unreadable names nothing any more.
    """
    encoded = _encoder.encode([_encode_item(item) for item in items])
    return zlib.compress(encoded, COMPRESSION_LEVEL)


def _encode_item(item: Item) -> _Change:
    try:
        data = item.data
    except ValueError:
        data = b""
    return _Change(item.key, item.revision, data, item.deleted)


def decode_changes(data: bytes) -> tuple[Item, ...]:
    """Return the items of a batch.

    :raises ValueError: if it was not encoded by ``encode_changes``
    """
    decompressor = zlib.decompressobj()
    try:
        decoded = decompressor.decompress(data, MAX_DECODED_SIZE)
        changes = _decoder.decode(decoded)
    except (zlib.error, msgspec.MsgspecError, RecursionError) as error:
        raise ValueError(f"not a batch of changes: {error}") from None
    return tuple(
        Item(
            change.key,
            change.revision,
            base64.b64encode(change.data).decode(),
            change.deleted,
        )
        for change in changes
    )
