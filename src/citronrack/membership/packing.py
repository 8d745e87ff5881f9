"""Compressed lists of descriptions; names and addresses of a zone compress well."""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from typing import TypeVar

from ..codec import MAX_MESSAGE_BYTES, decode, encode, inflate
from ..errors import MessageRejected

T = TypeVar("T")

COMPRESSION_LEVEL = 6


def pack_all(entries: Iterable[object]) -> bytes:
    """Return the compressed form of attrs instances of one class."""
    return zlib.compress(encode(tuple(entries)), COMPRESSION_LEVEL)


def unpack_all(data: bytes, kind: type[T]) -> tuple[T, ...]:
    """Return the instances of ``kind`` in ``data``, none if it is malformed or too large.

    The frame was authentic, so malformed data indicates a faulty release of the sender.
    """
    try:
        return _unpack(data, kind)
    except MessageRejected:
        return ()


def _unpack(data: bytes, kind: type[T]) -> tuple[T, ...]:
    plain = inflate(data, limit=MAX_MESSAGE_BYTES, damaged="malformed")
    return decode(plain, tuple[kind, ...])  # type: ignore[valid-type]
