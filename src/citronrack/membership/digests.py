"""Digests by which two nodes find the entries in which their tables differ."""

from __future__ import annotations

from functools import lru_cache

import xxhash

BUCKETS = 16  # a single change among 233 members resends about 15 entries


@lru_cache(maxsize=8_192)
def entry_hash(key: str, rank: int) -> int:
    """Return the 64-bit hash of one entry."""
    return int(xxhash.xxh64_intdigest(f"{key}/{rank}".encode()))


@lru_cache(maxsize=8_192)
def bucket_of(key: str) -> int:
    """Return the bucket in which the entry of ``key`` is counted."""
    return int(xxhash.xxh32_intdigest(key.encode())) % BUCKETS


def differing(own: tuple[int, ...], other: tuple[int, ...]) -> frozenset[int]:
    """Return the buckets with different digests; a malformed digest differs everywhere."""
    if len(other) != BUCKETS:
        return frozenset(range(BUCKETS))
    pairs = zip(own, other, strict=True)
    return frozenset(index for index, (left, right) in enumerate(pairs) if left != right)


class BucketDigests:
    """Exclusive-or of entry hashes per bucket, kept up to date with each change."""

    def __init__(self) -> None:
        self._buckets = [0] * BUCKETS
        self._whole = 0

    @property
    def combined(self) -> int:
        """Digest of all entries."""
        return self._whole

    @property
    def buckets(self) -> tuple[int, ...]:
        """Digest of each bucket."""
        return tuple(self._buckets)

    def toggle(self, key: str, rank: int) -> None:
        """Add an entry, or remove it when it was added before."""
        value = entry_hash(key, rank)
        self._buckets[bucket_of(key)] ^= value
        self._whole ^= value
