"""Capacity of the targets of each service version, as known to a node."""

from __future__ import annotations

from collections.abc import Mapping

from attrs import frozen

from ..membership import MemberState, MemberTable, ZoneDirectory
from ..moves import Capacity


@frozen
class CapacityTable:
    """Immutable capacity of all service versions; safe to share between threads.

    Attributes:
        entries: Capacity by service and service version.
    """

    entries: Mapping[tuple[str, str], Capacity]

    def __call__(self, service: str, service_version: str) -> Capacity:
        """Return the capacity of a service version, zero when no target announces it."""
        return self.entries.get((service, service_version), Capacity(targets=0))


class MeshCapacity:
    """Computes the capacity of service versions from the members of all zones.

    Args:
        table: Members of the own zone.
        directory: Members of other zones.
    """

    def __init__(self, *, table: MemberTable, directory: ZoneDirectory) -> None:
        self._table = table
        self._directory = directory

    def __call__(self, service: str, service_version: str) -> Capacity:
        """Return the capacity of the live targets of ``service_version`` in all reachable zones."""
        key = (service, service_version)
        own = [m for m in self._table.members() if (m.service, m.service_version) == key]
        alive = [m for m in own if m.state == MemberState.ALIVE and not m.draining]
        remote = [
            member.summary
            for zone in self._directory.zones()
            for member in self._directory.members(zone)
            if member.known and not member.summary.gone and not member.summary.draining
        ]
        others = [s for s in remote if (s.service, s.service_version) == key]
        return Capacity(
            targets=len(alive) + len(others),
            slots=sum(m.slots for m in alive) + sum(s.slots for s in others),
            load=sum(m.load for m in alive),
        )

    def table(self) -> CapacityTable:
        """Return the capacity of each service version that a live target announces."""
        names = {(m.service, m.service_version) for m in self._table.members()}
        for zone in self._directory.zones():
            for member in self._directory.members(zone):
                names.add((member.summary.service, member.summary.service_version))
        return CapacityTable({name: self(*name) for name in names})
