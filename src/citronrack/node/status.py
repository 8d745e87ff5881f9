"""Status of a node and of the mesh, for operators."""

from __future__ import annotations

from attrs import field, frozen

from ..moves.status import MoveStatus


@frozen
class NodeStatus:
    """One node.

    Attributes:
        name: Name of the node.
        availability_zone: Its zone.
        state: alive, suspect, gone or unknown.
        version: Configuration version in force at its last report, -1 for none.
        ready: Whether it serves calls.
        draining: Whether it accepts no new calls.
        service: Service of its target.
        service_version: Release of its target.
    """

    name: str
    availability_zone: str
    state: str
    version: int
    ready: bool
    draining: bool
    service: str
    service_version: str


@frozen
class ZoneStatus:
    """Progress of a zone towards the version in force on the answering node.

    Attributes:
        availability_zone: The zone.
        nodes: Number of known nodes.
        in_force: Number of nodes that reported at least this node's version.
        behind: Names of nodes that reported an older version.
        unknown: Names of nodes without a current report.
        age_s: Seconds since the last report of the zone, -1 for none.
    """

    availability_zone: str
    nodes: int
    in_force: int
    behind: tuple[str, ...]
    unknown: tuple[str, ...]
    age_s: float

    @property
    def complete(self) -> bool:
        """Whether each known node reported at least this version."""
        return self.nodes > 0 and self.in_force == self.nodes


@frozen
class TransportStatus:
    """Counters of the messages between nodes since startup.

    Attributes:
        bytes_sent: Bytes of frames sent.
        messages_sent: Frames sent.
        rejected: Dropped frames by reason.
    """

    bytes_sent: int = 0
    messages_sent: int = 0
    rejected: dict[str, int] = field(factory=dict)


@frozen
class MeshStatus:
    """Answer of the status query.

    Attributes:
        node: Name of the answering node.
        availability_zone: Its zone.
        readiness: Value of `Readiness`.
        reason: Reason why it is not ready or unproven.
        version: Configuration version in force.
        offset: Next log offset to fold.
        digest: Chained digest of the folded records, hexadecimal.
        log_reachable: Whether its last read of the log succeeded, None when it does not read.
        reader_role: Its role in reading the log.
        zones: Progress of each zone.
        nodes: The known nodes.
        moves: Open moves, as known to this node.
        duties: Lease holder by duty.
        transport: Counters of the messages between nodes.
    """

    node: str
    availability_zone: str
    readiness: str
    reason: str
    version: int
    offset: int
    digest: str
    log_reachable: bool | None
    reader_role: str
    zones: tuple[ZoneStatus, ...]
    nodes: tuple[NodeStatus, ...]
    moves: tuple[MoveStatus, ...]
    duties: dict[str, str]
    transport: TransportStatus
