"""Encoding of snapshots: an 8-byte xxhash64, then the zlib-compressed MessagePack state."""

from __future__ import annotations

import zlib

import xxhash

from ..codec import decode, encode, inflate
from ..errors import MessageRejected
from .state import FoldState

MAX_STATE_BYTES = 8 * 1024 * 1024  # before compression; bounds the expansion of a damaged record
MAX_SNAPSHOT_BYTES = 4 * 1024 * 1024  # after compression; below the log client's largest page
_DIGEST_BYTES = 8
_COMPRESSION_LEVEL = 6


def pack_state(state: FoldState) -> bytes:
    """Return ``state`` encoded as a snapshot."""
    content = zlib.compress(encode(state), _COMPRESSION_LEVEL)
    return xxhash.xxh64_digest(content) + content


def unpack_state(data: bytes) -> FoldState:
    """Return the state that a snapshot contains.

    Raises:
        MessageRejected: When the bytes are oversized, damaged or not a snapshot.
    """
    if len(data) > MAX_SNAPSHOT_BYTES:
        raise MessageRejected("oversized")
    content = data[_DIGEST_BYTES:]
    if len(data) <= _DIGEST_BYTES or xxhash.xxh64_digest(content) != data[:_DIGEST_BYTES]:
        raise MessageRejected("damaged")
    plain = inflate(content, limit=MAX_STATE_BYTES)
    return decode(plain, FoldState, limit=MAX_STATE_BYTES)
