"""Compressed lists of descriptions; names and addresses of a zone have much in common."""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from typing import TypeVar

from ..codec import MAX_MESSAGE_BYTES, decode, encode
from ..errors import MessageRejected

T = TypeVar("T")

COMPRESSION_LEVEL = 6


def pack_all(entries: Iterable[object]) -> bytes:
    """Return the compressed form of attrs instances of one class."""
    return zlib.compress(encode(tuple(entries)), COMPRESSION_LEVEL)


def unpack_all(data: bytes, kind: type[T]) -> tuple[T, ...]:
    """Return the instances of ``kind`` that ``data`` holds.

    Raises:
        MessageRejected: When the bytes are malformed or expand beyond the limit of a message.
    """
    inflater = zlib.decompressobj()
    try:
        plain = inflater.decompress(data, MAX_MESSAGE_BYTES)
    except zlib.error as error:
        raise MessageRejected("malformed") from error
    if inflater.unconsumed_tail or not inflater.eof:
        raise MessageRejected("oversized")
    return decode(plain, tuple[kind, ...])  # type: ignore[valid-type]
