"""Status of moves for operators."""

from __future__ import annotations

from attrs import frozen

from ..telemetry.events import Event


@frozen
class ZoneMove:
    """Progress of one zone on a move.

    Attributes:
        availability_zone: The zone.
        phase: ``unheard``, ``running``, ``full``, ``watched`` or ``taken back``.
        cleared: Number of cleared steps.
        calls: Calls that the new version had received at the last report.
    """

    availability_zone: str
    phase: str
    cleared: int
    calls: int


@frozen
class MoveStatus:
    """Status of an open move, as known to one node.

    Attributes:
        move_id: The move.
        route: Route whose traffic is shifted.
        from_version: Old service version.
        to_version: New service version.
        share: Share of the new version in this node's zone.
        steps: Number of steps.
        cleared: Number of cleared steps in this node's zone.
        deadline_ms: Wall time by which the move must have finished.
        marked: Whether the new version is marked as bad.
        reason: Reason for the current share, as text for operators.
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
    """A log event about a move, which the control task writes as one line."""

    event: Event
    move_id: str
    text: str
