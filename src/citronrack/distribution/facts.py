"""Small facts that spread without the log."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import xxhash
from attrs import frozen

from ..membership.digests import BucketDigests, bucket_of

MAX_BYTES = 64 * 1024
MARK_RESERVE_BYTES = 16 * 1024  # only marks may use this part
MARK_PREFIX = "mark/"
MAX_KEY_BYTES = 256
MAX_PAYLOAD_BYTES = 4 * 1024
ENTRY_OVERHEAD_BYTES = 16
MAX_PRUNED = 4_096


@frozen
class Fact:
    """One entry of the map.

    Attributes:
        key: Path-like name; marks begin with ``mark/`` and are never refused for lack of space.
        rank: The greater rank wins.
        payload: Content.
    """

    key: str
    rank: int
    payload: bytes

    @property
    def size(self) -> int:
        """Bytes that count against the bound."""
        return len(self.key.encode()) + len(self.payload) + ENTRY_OVERHEAD_BYTES

    @property
    def precedence(self) -> tuple[int, bytes]:
        """Order of two facts under one key; the payload decides between equal ranks."""
        return self.rank, self.payload


class FactStore:
    """A map that only grows until entries are pruned; a merge is idempotent and needs no order."""

    def __init__(self) -> None:
        self._facts: dict[str, Fact] = {}
        self._pruned: dict[str, int] = {}
        self._bytes = 0
        self._digest = BucketDigests()

    @property
    def digest(self) -> int:
        """Digest of all facts."""
        return self._digest.combined

    @property
    def buckets(self) -> tuple[int, ...]:
        """Digests of parts, by which two stores find their differences."""
        return self._digest.buckets

    @property
    def size_bytes(self) -> int:
        """Size of all facts."""
        return self._bytes

    def put(self, key: str, rank: int, payload: bytes) -> bool:
        """Add a fact; returns whether the store has changed."""
        return self._merge_one(Fact(key, rank, payload))

    def get(self, key: str) -> Fact | None:
        """Return the fact under ``key``."""
        return self._facts.get(key)

    def items(self, prefix: str = "") -> tuple[Fact, ...]:
        """Return the facts whose keys begin with ``prefix``."""
        return tuple(fact for key, fact in self._facts.items() if key.startswith(prefix))

    def in_buckets(self, buckets: frozenset[int]) -> tuple[Fact, ...]:
        """Return the facts of some parts."""
        return tuple(fact for key, fact in self._facts.items() if bucket_of(key) in buckets)

    def merge(self, facts: Iterable[Fact]) -> list[Fact]:
        """Take over greater ranks and return the facts that changed something."""
        return [fact for fact in facts if self._merge_one(fact)]

    def prune(self, decided: Callable[[Fact], bool]) -> int:
        """Remove facts for good and return how many.

        Args:
            decided: Whether a fact is no longer needed: the log holds the mark, or the move is
                decided. The same fact is not taken over again from a peer.
        """
        due = [fact for fact in self._facts.values() if decided(fact)]
        for fact in due:
            self._remove(fact)
            self._pruned.pop(fact.key, None)
            self._pruned[fact.key] = fact.rank
        while len(self._pruned) > MAX_PRUNED:
            del self._pruned[next(iter(self._pruned))]
        return len(due)

    def _merge_one(self, fact: Fact) -> bool:
        known = self._facts.get(fact.key)
        if known is not None and fact.precedence <= known.precedence:
            return False
        if fact.rank <= self._pruned.get(fact.key, fact.rank - 1):
            return False
        if len(fact.key.encode()) > MAX_KEY_BYTES or len(fact.payload) > MAX_PAYLOAD_BYTES:
            return False
        if not self._has_room(fact, known):
            return False
        if known is not None:
            self._remove(known)
        self._facts[fact.key] = fact
        self._bytes += fact.size
        self._toggle(fact)
        return True

    def _has_room(self, fact: Fact, known: Fact | None) -> bool:
        if fact.key.startswith(MARK_PREFIX):
            return True
        size = self._bytes + fact.size - (known.size if known is not None else 0)
        return size <= MAX_BYTES - MARK_RESERVE_BYTES

    def _remove(self, fact: Fact) -> None:
        del self._facts[fact.key]
        self._bytes -= fact.size
        self._toggle(fact)

    def _toggle(self, fact: Fact) -> None:
        """Count rank and payload, so that equal ranks with other payloads differ too."""
        seed = fact.rank & 0xFFFF_FFFF_FFFF_FFFF
        self._digest.toggle(fact.key, xxhash.xxh64_intdigest(fact.payload, seed=seed))
