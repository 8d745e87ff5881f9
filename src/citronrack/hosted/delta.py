"""Deltas between two values of a key, for nodes that hold the older one."""

from __future__ import annotations

import zlib
from collections.abc import Iterator

import msgpack
import xxhash

from ..codec import inflate
from ..errors import MessageRejected

_ROW_SEPARATOR = b"],"
"""Separates the rows of JSON tables; a change usually affects a few rows."""

COMPRESSION_LEVEL = 1
"""zlib's fastest level; it suffices because the routes of a configuration are similar."""

MAX_VALUE_BYTES = 4 * 1024 * 1024

MIN_DELTA_BYTES = 1024
"""Values that compress to less are sent in full."""

DAMAGED = "damaged-records"
"""Reason for rejecting a message of another node."""

_Part = tuple[int, int, bytes]
"""First row and number of rows to copy from the older value, or new bytes if the number is 0."""


def compress(value: bytes | None) -> bytes:
    """Return a compressed value; empty bytes denote a removed key."""
    return zlib.compress(value, COMPRESSION_LEVEL) if value else b""


def decompress(compressed: bytes) -> bytes | None:
    """Return the value in its uncompressed form, None for a removed key.

    Raises:
        MessageRejected: If the bytes are damaged or truncated, or the value is too large.
    """
    if not compressed:
        return None
    return inflate(compressed, limit=MAX_VALUE_BYTES, damaged=DAMAGED, oversized=DAMAGED)


def make_delta(old: bytes, new: bytes) -> bytes:
    """Return the delta from which `apply_delta` builds ``new`` out of ``old``."""
    parts = tuple(_parts(old.split(_ROW_SEPARATOR), new.split(_ROW_SEPARATOR)))
    packed: bytes = msgpack.packb((xxhash.xxh64_intdigest(new), parts), use_bin_type=True)
    return compress(packed)


def apply_delta(old: bytes, delta: bytes) -> bytes | None:
    """Return the newer value, None if the delta was made for another base than ``old``.

    Raises:
        MessageRejected: If the bytes are damaged.
    """
    try:
        digest, parts = msgpack.unpackb(decompress(delta) or b"", use_list=False)
        rows = old.split(_ROW_SEPARATOR)
        rebuilt: list[bytes] = []
        for first, count, other in parts:
            rebuilt += rows[first : first + count] if count else (other,)
        new = _ROW_SEPARATOR.join(rebuilt)
    except MessageRejected:
        raise
    except Exception as error:  # msgpack raises several unrelated error classes.
        raise MessageRejected(DAMAGED) from error
    return new if xxhash.xxh64_intdigest(new) == digest else None


def _parts(old: list[bytes], new: list[bytes]) -> Iterator[_Part]:
    index_by_row = {row: index for index, row in enumerate(old)}
    first = count = 0
    for row in new:
        index = index_by_row.get(row, -1)
        if count and index == first + count:
            count += 1
            continue
        if count:
            yield first, count, b""
        first, count = index, 1
        if index < 0:
            yield 0, 0, row
            count = 0
    if count:
        yield first, count, b""
