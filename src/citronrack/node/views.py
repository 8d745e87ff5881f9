"""Builds the input of the call path and the status from folded state and membership."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping
from functools import lru_cache

from ..calls import PoolTarget, RouteShare, RoutingView
from ..config import ConfigSet
from ..distribution import ZoneProgress
from ..membership import KnownMember, Member, MemberState
from ..settings.checks import split_address
from .status import NodeStatus, ZoneStatus

KEPT_ADDRESSES = 8_192  # twice the two-year fleet


@lru_cache(maxsize=KEPT_ADDRESSES)
def _usable_address(text: str) -> tuple[str, int] | None:
    """Return ``(ip, port)``, None for an address that a peer with a fault has announced."""
    try:
        return split_address(text)
    except ValueError:
        return None


def build_view(
    *,
    ready: bool,
    reason: str,
    config: ConfigSet,
    members: Iterable[Member],
    remote: Iterable[KnownMember],
    shares: Mapping[str, RouteShare],
) -> RoutingView:
    """Return the routing view that follows from the present state.

    Args:
        ready: Whether calls are served.
        reason: Why not.
        config: Configuration in force.
        members: Known nodes of the own zone that are not gone.
        remote: Known nodes of other zones.
        shares: Division of calls by route name.
    """
    pools: dict[tuple[str, str], list[PoolTarget]] = defaultdict(list)
    for member in members:
        if member.draining or not member.ready or member.state != MemberState.ALIVE:
            continue
        address = _usable_address(member.deliver_address)
        if address is None:
            continue
        pools[member.service, member.service_version].append(
            PoolTarget(
                name=member.name,
                deliver_address=address,
                availability_zone=member.availability_zone,
                slots=member.slots,
                load=member.load,
            )
        )
    for known in remote:
        summary = known.summary
        if not known.known or summary.gone or summary.draining or not summary.ready:
            continue
        address = _usable_address(summary.deliver_address)
        if address is None:
            continue
        pools[summary.service, summary.service_version].append(
            PoolTarget(
                name=summary.name,
                deliver_address=address,
                availability_zone=known.availability_zone,
                slots=summary.slots,
            )
        )
    return RoutingView(
        ready=ready,
        reason=reason,
        config=config,
        shares=dict(shares),
        pools={key: tuple(targets) for key, targets in pools.items()},
        prefixes=tuple(
            sorted(config.routes.values(), key=lambda route: len(route.prefix), reverse=True)
        ),
    )


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
        unknown=progress.unheard,
        age_s=-1.0 if math.isinf(progress.age_s) else round(progress.age_s, 3),
    )
