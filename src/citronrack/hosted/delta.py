"""What changed between two values of a key, for nodes that hold the older one."""

from __future__ import annotations

import zlib
from collections.abc import Iterator

import msgpack
import xxhash

from ..codec import inflate
from ..errors import MessageRejected

_ROW_SEPARATOR = b"],"
"""Values are JSON tables; a change touches a few of their rows."""

COMPRESSION_LEVEL = 1
"""Level of compression; the routes of a configuration differ little from each other."""

MAX_VALUE_BYTES = 4 * 1024 * 1024

MIN_DELTA_BYTES = 1024
"""Values that compress to less are sent whole."""

DAMAGED = "damaged-records"
"""Reason for refusing what another node has sent."""

_Part = tuple[int, int, bytes]
"""First row and number of rows of the older value, or other bytes where the number is 0."""


def compress(value: bytes | None) -> bytes:
    """Return the short form of a value; an empty one stands for a removed key."""
    return zlib.compress(value, COMPRESSION_LEVEL) if value else b""


def decompress(short: bytes) -> bytes | None:
    """Return the value of a short form.

    Raises:
        MessageRejected: When the bytes are damaged or cut short, or the value is too large.
    """
    if not short:
        return None
    return inflate(short, limit=MAX_VALUE_BYTES, damaged=DAMAGED, oversized=DAMAGED)


def make_delta(old: bytes, new: bytes) -> bytes:
    """Return what `apply_delta` needs to make ``new`` from ``old``."""
    parts = tuple(_parts(old.split(_ROW_SEPARATOR), new.split(_ROW_SEPARATOR)))
    packed: bytes = msgpack.packb((xxhash.xxh64_intdigest(new), parts), use_bin_type=True)
    return compress(packed)


def apply_delta(old: bytes, delta: bytes) -> bytes | None:
    """Return the newer value, None when it was made from another older one.

    Raises:
        MessageRejected: When the bytes are damaged.
    """
    try:
        digest, parts = msgpack.unpackb(decompress(delta) or b"", use_list=False)
        rows = old.split(_ROW_SEPARATOR)
        made: list[bytes] = []
        for first, count, other in parts:
            made += rows[first : first + count] if count else (other,)
        new = _ROW_SEPARATOR.join(made)
    except MessageRejected:
        raise
    except Exception as error:  # msgpack raises several unrelated error classes.
        raise MessageRejected(DAMAGED) from error
    return new if xxhash.xxh64_intdigest(new) == digest else None


def _parts(old: list[bytes], new: list[bytes]) -> Iterator[_Part]:
    place = {row: index for index, row in enumerate(old)}
    first = count = 0
    for row in new:
        index = place.get(row, -1)
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
