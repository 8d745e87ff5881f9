"""What operators are told about moves."""

from __future__ import annotations

from attrs import frozen

from ..telemetry.events import Event


@frozen
class ZoneMove:
    """One zone's part in a move.

    Attributes:
        availability_zone: The zone.
        phase: ``unheard``, ``running``, ``full``, ``watched`` or ``taken back``.
        cleared: Number of cleared steps.
        calls: Calls of the new version at the last report.
    """

    availability_zone: str
    phase: str
    cleared: int
    calls: int


@frozen
class MoveStatus:
    """An open move, as seen by one node.

    Attributes:
        move_id: The move.
        route: Route whose traffic shifts.
        from_version: Old service version.
        to_version: New service version.
        share: Share of the new version in this node's zone.
        steps: Number of steps.
        cleared: Number of cleared steps in this node's zone.
        deadline_ms: Wall time by which the move must have finished.
        marked: Whether the new version is marked as bad.
        reason: Why the share is what it is, for people.
        zones: Progress of each zone.
    """

    move_id: str
    route: str
    from_version: str
    to_version: str
    share: float
    steps: int
    cleared: int
    deadline_ms: int
    marked: bool
    reason: str
    zones: tuple[ZoneMove, ...]


@frozen
class MoveNotice:
    """Something that the control task writes as one log line."""

    event: Event
    move_id: str
    text: str
