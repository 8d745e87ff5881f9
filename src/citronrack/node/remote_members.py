"""The nodes of other zones, looked at no more often than needed."""

from __future__ import annotations

from collections.abc import Sequence

from ..clock import Clock
from ..membership import RemoteMember, ZoneDirectory

REFRESH_INTERVAL_S = 1.0  # a pass over 3,267 nodes takes some milliseconds


class RemoteMemberCache:
    """Returns the same object until a node of another zone has changed.

    Args:
        clock: Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._next_refresh = clock.monotonic()
        self._cached: Sequence[RemoteMember] = ()

    def members(self, directory: ZoneDirectory) -> Sequence[RemoteMember]:
        """Return the nodes of other zones."""
        now = self._clock.monotonic()
        if now >= self._next_refresh:
            self._next_refresh = now + REFRESH_INTERVAL_S
            found = [m for zone in directory.zones() for m in directory.members(zone)]
            if not _same_nodes(found, self._cached):
                self._cached = found
        return self._cached


def _same_nodes(first: Sequence[RemoteMember], second: Sequence[RemoteMember]) -> bool:
    """Return whether two looks found the same descriptions; only the ages may differ."""
    if len(first) != len(second):
        return False
    pairs = zip(first, second, strict=True)
    return all(a.summary is b.summary and a.known == b.known for a, b in pairs)
