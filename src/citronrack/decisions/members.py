"""Counts the nodes that share the limits of workspaces.

Load pattern: nodes that are replaced, and nodes that are all killed and return.
"""

from __future__ import annotations

from collections.abc import Mapping

MEMBER_S = 6.0
"""Time after its last pledge for which a node counts. A node that restarts keeps its place, and one
that is gone for good leaves its share to the others."""


class ZoneMembers:
    """Members of each zone, as allocators have seen and reported them.

    A zone that cannot be heard keeps its last count, because its nodes may go on with their shares.

    Args:
        own_zone: Zone of this allocator.
        own_name: Name of this allocator.
    """

    def __init__(self, own_zone: str, own_name: str) -> None:
        self._own_zone = own_zone
        self._own_name = own_name
        self._seen: dict[str, float] = {}
        self._reports: dict[str, dict[str, tuple[int, float]]] = {}

    def see(self, node: str, now: float) -> None:
        """Record that a node of the own zone has pledged its share."""
        self._seen[node] = now

    def own_count(self, now: float) -> int:
        """Return the number of nodes that have pledged to this allocator lately."""
        for node in [node for node, at in self._seen.items() if at <= now - MEMBER_S]:
            del self._seen[node]
        return len(self._seen)

    def report(self, zone: str, allocator: str, count: int, now: float) -> None:
        """Record the count of an allocator of any zone."""
        self._reports.setdefault(zone, {})[allocator] = (count, now)

    def total(self, known: Mapping[str, int], now: float) -> int:
        """Return the number of nodes that share the limits.

        Args:
            known: Number of nodes with an entry by zone; it holds for zones without a report.
            now: Time in seconds.
        """
        self.report(self._own_zone, self._own_name, self.own_count(now), now)
        return sum(self._count(zone, entries, now) for zone, entries in known.items())

    def _count(self, zone: str, entries: int, now: float) -> int:
        reports = self._reports.get(zone)
        if not reports:
            return entries
        # A node that has just become an allocator has seen few pledges, so the largest count holds.
        recent = {name: seen for name, seen in reports.items() if seen[1] > now - MEMBER_S}
        if recent:
            self._reports[zone] = recent
        return max(count for count, _ in (recent or reports).values())
