"""Queue of updates that are piggybacked on pings and acks."""

from __future__ import annotations

import math
from typing import Generic, TypeVar

T = TypeVar("T")

TRANSMISSION_FACTOR = 3  # times log2(n); reaches every member with high probability (SWIM)
MAX_QUEUED = 1_024


class PiggybackQueue(Generic[T]):
    """Returns each item a bounded number of times, the least transmitted first."""

    def __init__(self) -> None:
        self._items: dict[str, tuple[int, T]] = {}

    def __len__(self) -> int:
        return len(self._items)

    def add(self, key: str, item: T) -> None:
        """Queue an item; a newer one under the same key replaces the older one."""
        self._items.pop(key, None)
        if len(self._items) >= MAX_QUEUED:  # table repair sends dropped items
            del self._items[max(self._items, key=lambda name: self._items[name][0])]
        self._items[key] = (0, item)

    def discard(self, key: str) -> None:
        """Remove an item if it is queued."""
        self._items.pop(key, None)

    def take(self, limit: int, *, members: int) -> tuple[T, ...]:
        """Return up to ``limit`` items and increment their transmission counts.

        Args:
            limit: Maximum number of items.
            members: Size of the zone, which determines the number of transmissions.
        """
        max_transmissions = max(1, math.ceil(TRANSMISSION_FACTOR * math.log2(max(2, members))))
        chosen = sorted(self._items, key=lambda key: self._items[key][0])[:limit]
        taken = []
        for key in chosen:
            sent, item = self._items[key]
            taken.append(item)
            if sent + 1 >= max_transmissions:
                del self._items[key]
            else:
                self._items[key] = (sent + 1, item)
        return tuple(taken)
