"""What a node knows about the targets of each service version."""

from __future__ import annotations

from collections.abc import Mapping

from attrs import frozen

from ..membership import MemberState, MemberTable, ZoneDirectory
from ..moves import Capacity


@frozen
class CapacityTable:
    """Capacity at one moment; safe to hand to other threads.

    Attributes:
        entries: Capacity by service and service version.
    """

    entries: Mapping[tuple[str, str], Capacity]

    def __call__(self, service: str, service_version: str) -> Capacity:
        """Return the capacity of a service version, empty when no target announces it."""
        return self.entries.get((service, service_version), Capacity(targets=0))


class MeshCapacity:
    """Answers what is known about the targets of a service version.

    Args:
        table: Members of the own zone.
        directory: Members of other zones.
    """

    def __init__(self, *, table: MemberTable, directory: ZoneDirectory) -> None:
        self._table = table
        self._directory = directory

    def __call__(self, service: str, service_version: str) -> Capacity:
        """Return the live targets of ``service_version``, in all zones that are heard."""
        wanted = (service, service_version)
        own = [m for m in self._table.members() if (m.service, m.service_version) == wanted]
        alive = [m for m in own if m.state == MemberState.ALIVE and not m.draining]
        remote = [
            known.summary
            for zone in self._directory.zones()
            for known in self._directory.members(zone)
            if known.known and not known.summary.gone and not known.summary.draining
        ]
        others = [s for s in remote if (s.service, s.service_version) == wanted]
        return Capacity(
            targets=len(alive) + len(others),
            slots=sum(m.slots for m in alive) + sum(s.slots for s in others),
            load=sum(m.load for m in alive),
        )

    def table(self) -> CapacityTable:
        """Return the capacity of each service version that a live target announces."""
        names = {(m.service, m.service_version) for m in self._table.members()}
        for zone in self._directory.zones():
            for known in self._directory.members(zone):
                names.add((known.summary.service, known.summary.service_version))
        return CapacityTable({name: self(*name) for name in names})
