"""Keeps addresses in the log at which starting nodes can meet their zone."""

from __future__ import annotations

from collections.abc import Sequence

from ..clock import Clock
from ..log import SeedList
from ..membership import Member

LISTED_ADDRESSES = 5
MIN_LIVE_ADDRESSES = 2  # a list is replaced once fewer of its addresses belong to live members
WRITE_INTERVAL_S = 60.0


class SeedListWriter:
    """Decides when the primary reader of a zone writes a new list.

    Args:
        availability_zone: Zone of this node.
        clock: Source of time.
    """

    def __init__(self, *, availability_zone: str, clock: Clock) -> None:
        self._zone = availability_zone
        self._clock = clock
        self._next_write = clock.monotonic() + WRITE_INTERVAL_S

    def due(self, listed: Sequence[str], ranking: Sequence[Member]) -> SeedList | None:
        """Return a list to append when the present one is of little use.

        Args:
            listed: Addresses that the log holds for the zone.
            ranking: Live members of the zone, lowest rank first.
        """
        now = self._clock.monotonic()
        alive = [member.address for member in ranking]
        useful = len(frozenset(listed).intersection(alive))
        if now < self._next_write or useful >= min(MIN_LIVE_ADDRESSES, len(alive)):
            return None
        self._next_write = now + WRITE_INTERVAL_S
        return SeedList(self._zone, tuple(alive[:LISTED_ADDRESSES]))
