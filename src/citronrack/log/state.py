"""The state that results from folding the log's records."""

from __future__ import annotations

from attrs import define, field

from ..config import ConfigSet
from .records import Marked, MoveOutcome


@define
class WriterState:
    """Sequence numbers of a writer that were folded.

    Attributes:
        sequence: Highest sequence number that was folded.
        offset: Offset of the writer's newest record.
        skipped: Ranges of lower numbers that have not arrived, lowest first, bounded. A late record
            in one of them is superseded by a newer one; any other lower number is a duplicate.
    """

    sequence: int
    offset: int
    skipped: tuple[tuple[int, int], ...] = ()


@define
class PlanState:
    """Result of a confirmed plan.

    Attributes:
        accepted: Whether the plan took effect.
        offset: Offset of the record that decided it.
        reason: Why it was refused, empty otherwise.
    """

    accepted: bool
    offset: int
    reason: str = ""


@define
class LeaseState:
    """Current term of a duty."""

    term: int
    holder: str
    lease_ms: int
    offset: int


@define
class FoldState:
    """State of all folded records; the content of a snapshot.

    Attributes:
        next_offset: Offset of the next record to fold.
        digest: Chained hash over all accepted records.
        config: Configuration in force.
        writers: Highest sequence number by writer.
        plans: Decided plans by id, oldest first, bounded.
        leases: Current lease by duty.
        marks: Bad service versions by ``service/service_version/epoch``; see `log.marks` for how
            long they are kept.
        outcomes: Decided moves by id, oldest first, bounded.
        seeds: Addresses of nodes by availability zone.
        snapshot_through: Offset below which the newest snapshot covers everything.
        snapshot_offset: Offset of the newest snapshot in the snapshots stream, -1 for none.
        snapshot_announced: Offset of the record that announced it, -1 for none.
    """

    next_offset: int = 0
    digest: int = 0
    config: ConfigSet = field(factory=ConfigSet)
    writers: dict[str, WriterState] = field(factory=dict)
    plans: dict[str, PlanState] = field(factory=dict)
    leases: dict[str, LeaseState] = field(factory=dict)
    marks: dict[str, Marked] = field(factory=dict)
    outcomes: dict[str, MoveOutcome] = field(factory=dict)
    seeds: dict[str, tuple[str, ...]] = field(factory=dict)
    snapshot_through: int = 0
    snapshot_offset: int = -1
    snapshot_announced: int = -1
