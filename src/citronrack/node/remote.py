"""The nodes of other zones, looked at no more often than needed."""

from __future__ import annotations

from collections.abc import Sequence

from ..clock import Clock
from ..membership import KnownMember, ZoneDirectory

LOOK_INTERVAL_S = 1.0  # a pass over 3,267 nodes takes some milliseconds


class RemoteLook:
    """Returns the same object until a node of another zone has changed.

    Args:
        clock: Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._next_look = clock.monotonic()
        self._found: Sequence[KnownMember] = ()

    def members(self, directory: ZoneDirectory) -> Sequence[KnownMember]:
        """Return the nodes of other zones."""
        now = self._clock.monotonic()
        if now >= self._next_look:
            self._next_look = now + LOOK_INTERVAL_S
            found = [m for zone in directory.zones() for m in directory.members(zone)]
            if not _same_nodes(found, self._found):
                self._found = found
        return self._found


def _same_nodes(first: Sequence[KnownMember], second: Sequence[KnownMember]) -> bool:
    """Return whether two looks found the same descriptions; only the ages may differ."""
    if len(first) != len(second):
        return False
    pairs = zip(first, second, strict=True)
    return all(a.summary is b.summary and a.known == b.known for a, b in pairs)
