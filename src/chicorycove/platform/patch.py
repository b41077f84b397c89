"""Encodes a value as its differences from an earlier value of the same key."""

import re
import zlib

import msgspec

MAX_PATCHED_SIZE = 4_194_304  # bytes
# Lists of objects, of which few change, are divided after each object.
_CHUNK = re.compile(rb"[^}]*}|[^}]+")


class PatchMismatch(ValueError):
    """A patch does not apply to a value."""


class _Patch(msgspec.Struct, array_like=True):
    # Literal bytes, or an offset and a length in the earlier value.
    parts: list[bytes | tuple[int, int]]
    checksum: int  # of the patched value


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_Patch)


def create_patch(base: bytes, value: bytes) -> bytes:
    """Return the patch that turns a base into a value."""
    base_chunks = _CHUNK.findall(base)
    offsets = [0]
    for chunk in base_chunks:
        offsets.append(offsets[-1] + len(chunk))
    indexes = {chunk: index for index, chunk in enumerate(base_chunks)}
    parts: list[bytes | tuple[int, int]] = []
    literal: list[bytes] = []
    first = end = 0  # of the copied chunks
    for chunk in _CHUNK.findall(value):
        if first < end < len(base_chunks) and base_chunks[end] == chunk:
            end += 1
            continue
        if first < end:
            parts.append((offsets[first], offsets[end] - offsets[first]))
        index = indexes.get(chunk)
        if index is None:
            literal.append(chunk)
            first = end = 0
            continue
        if literal:
            parts.append(b"".join(literal))
            literal = []
        first, end = index, index + 1
    if first < end:
        parts.append((offsets[first], offsets[end] - offsets[first]))
    if literal:
        parts.append(b"".join(literal))
    return _encoder.encode(_Patch(parts, zlib.crc32(value)))


def apply_patch(base: bytes, patch: bytes) -> bytes:
    """Return the value that a patch makes of a base.

    :raises PatchMismatch: if it is no patch of this base
    """
    try:
        decoded = _decoder.decode(patch)
    except msgspec.MsgspecError as error:
        raise PatchMismatch(f"not a patch: {error}") from None
    pieces: list[bytes] = []
    size = 0
    for part in decoded.parts:
        if isinstance(part, bytes):
            piece = part
        else:
            offset, length = part
            if not 0 <= offset <= offset + length <= len(base):
                raise PatchMismatch(f"no {length} bytes at {offset} of {len(base)}")
            piece = base[offset : offset + length]
        size += len(piece)
        if size > MAX_PATCHED_SIZE:
            raise PatchMismatch(f"the value exceeds {MAX_PATCHED_SIZE} bytes")
        pieces.append(piece)
    value = b"".join(pieces)
    if zlib.crc32(value) != decoded.checksum:
        raise PatchMismatch("the patched value has another checksum")
    return value
