"""What a node tells operators about itself and the mesh."""

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
        version: Configuration version in force when it was last heard, -1 for none.
        ready: Whether it serves calls.
        draining: Whether it takes no new calls.
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
    """How far a zone is with the version in force here.

    Attributes:
        availability_zone: The zone.
        nodes: Number of known nodes.
        in_force: Number of nodes that reported at least this node's version.
        behind: Names of nodes that reported an older version.
        unknown: Names of nodes that are not heard at present.
        age_s: Seconds since the zone was last heard, -1 for never.
    """

    availability_zone: str
    nodes: int
    in_force: int
    behind: tuple[str, ...]
    unknown: tuple[str, ...]
    age_s: float

    @property
    def complete(self) -> bool:
        """Whether each known node reported this version."""
        return self.nodes > 0 and self.in_force == self.nodes


@frozen
class TransportStatus:
    """Counters of the messages between nodes since the start.

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
        reason: Why it is not ready or not proven.
        version: Configuration version in force.
        offset: Next log offset that it folds.
        digest: Chained digest of the folded records, hexadecimal.
        log_reachable: Whether its last read of the log succeeded, None when it does not read.
        reader_role: Its part in reading the log.
        zones: Per zone, how far the nodes are.
        nodes: The known nodes.
        moves: Open moves as this node sees them.
        duties: Holder by duty.
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
