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

    Values that are not base64 are left out: no entry can read them.
    """
    changes = []
    for item in items:
        try:
            changes.append(_Change(item.key, item.revision, item.data, item.deleted))
        except ValueError:
            continue
    return zlib.compress(_encoder.encode(changes), COMPRESSION_LEVEL)


def decode_changes(data: bytes) -> tuple[Item, ...]:
    """Return the items of a batch.

    :raises ValueError: if it was not encoded by ``encode_changes``
    """
    decompressor = zlib.decompressobj()
    try:
        decoded = decompressor.decompress(data, MAX_DECODED_SIZE)
        changes = _decoder.decode(decoded)
    except (zlib.error, msgspec.MsgspecError) as error:
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
