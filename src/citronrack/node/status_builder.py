"""Builds the status from folded state and membership."""

from __future__ import annotations

import math
from collections.abc import Sequence

from ..distribution import ZoneProgress
from ..log.state import FoldState
from ..membership import Member, MemberState, MemberTable
from ..moves import MoveStatus
from .status import MeshStatus, NodeStatus, TransportStatus, ZoneStatus


def node_status(member: Member) -> NodeStatus:
    """Return what is known about one member."""
    return NodeStatus(
        name=member.name,
        availability_zone=member.availability_zone,
        state=MemberState(member.state).name.lower(),
        version=member.version,
        ready=member.ready,
        draining=member.draining,
        service=member.service,
        service_version=member.service_version,
    )


def zone_status(progress: ZoneProgress, *, version: int) -> ZoneStatus:
    """Return how far a zone is; a member that has not reported counts as unknown."""
    return ZoneStatus(
        availability_zone=progress.availability_zone,
        nodes=progress.total,
        in_force=min(progress.count_in_force(version), progress.total - progress.unknown),
        behind=progress.behind,
        unknown=progress.unreported,
        age_s=-1.0 if math.isinf(progress.age_s) else round(progress.age_s, 3),
    )


def mesh_status(
    *,
    table: MemberTable,
    state: FoldState,
    version: int,
    readiness: str,
    reason: str,
    log_reachable: bool | None,
    reader_role: str,
    progress: Sequence[ZoneProgress],
    moves: tuple[MoveStatus, ...],
    transport: TransportStatus,
) -> MeshStatus:
    """Return the answer of the status query; the arguments are those of `MeshStatus`."""
    return MeshStatus(
        node=table.own.name,
        availability_zone=table.own.availability_zone,
        readiness=readiness,
        reason=reason,
        version=version,
        offset=state.next_offset,
        digest=f"{state.digest:016x}",
        log_reachable=log_reachable,
        reader_role=reader_role,
        zones=tuple(zone_status(zone, version=version) for zone in progress),
        nodes=tuple(node_status(member) for member in table.all_members()),
        moves=moves,
        duties={duty: lease.holder for duty, lease in state.leases.items()},
        transport=transport,
    )
