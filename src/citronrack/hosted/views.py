"""Builds the routing view from the configuration, node entries and rollouts."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping

from ..calls import PoolTarget, RouteIndex, RouteShare, RoutingView
from ..calls.confirmation import Confirmation
from ..config import ConfigSet, KeyIndex
from ..validators import split_address
from .entry import NodeEntry
from .rollout_record import VersionShare

ANY_VERSION = ""
"""Version key of the pool with all targets of a service."""


def other_versions(version: str) -> str:
    """Return the version key of the pool with all targets that do not run ``version``."""
    return f"!{version}"


def build_view(
    config: ConfigSet,
    entries: Iterable[NodeEntry],
    rollouts: Mapping[str, VersionShare],
    *,
    evacuated: frozenset[str] = frozenset(),
    complete: bool,
    before: RoutingView,
    confirmation: Confirmation,
) -> RoutingView:
    """Return the view by which calls are routed.

    Args:
        config: Active configuration; a version of -1 means that there is none yet.
        entries: Entries of all nodes.
        rollouts: Division of calls by service.
        evacuated: Zones whose targets get no calls.
        complete: Whether the configuration is confirmed to be the newest.
        before: The view that this one replaces.
        confirmation: How recently the configuration was known to be the newest.
    """
    ready = config.version >= 0
    unchanged = config is before.config
    index = before.index if unchanged else RouteIndex(config.routes.values())
    keys = before.keys if unchanged else KeyIndex(config.workspaces.values())
    return RoutingView(
        ready=ready,
        complete=complete,
        reason="" if ready else "the node holds no configuration yet",
        config=config,
        pools=_pools(
            [entry for entry in entries if entry.availability_zone not in evacuated], rollouts
        ),
        index=index,
        keys=keys,
        confirmation=confirmation,
        service_shares={
            service: RouteShare(
                move_id=str(rollout.order_id),
                from_version=other_versions(rollout.target_version),
                to_version=rollout.target_version,
                share=rollout.share,
            )
            for service, rollout in rollouts.items()
        },
    )


def _pools(
    entries: Iterable[NodeEntry], rollouts: Mapping[str, VersionShare]
) -> dict[tuple[str, str], tuple[PoolTarget, ...]]:
    """Return targets by service and version key; non-serving ones only in pools without others."""
    serving: dict[tuple[str, str], list[PoolTarget]] = defaultdict(list)
    not_serving: dict[tuple[str, str], list[PoolTarget]] = defaultdict(list)
    for entry in entries:
        if not entry.service:
            continue
        pools = serving if entry.serving else not_serving
        target = _target(entry)
        for pool in _pool_names(entry, rollouts.get(entry.service)):
            pools[entry.service, pool].append(target)
    return {key: tuple(serving.get(key) or not_serving[key]) for key in {*serving, *not_serving}}


def _pool_names(entry: NodeEntry, rollout: VersionShare | None) -> tuple[str, ...]:
    """Return the version keys of the pools of a target; one of a withdrawn version is in none."""
    if rollout is None:
        return (ANY_VERSION,)
    if entry.service_version == rollout.target_version:
        return ANY_VERSION, rollout.target_version
    if entry.service_version in rollout.withdrawn:
        return ()
    return ANY_VERSION, other_versions(rollout.target_version)


def _target(entry: NodeEntry) -> PoolTarget:
    return PoolTarget(
        name=entry.name,
        deliver_address=split_address(entry.deliver_address),
        availability_zone=entry.availability_zone,
        slots=entry.slots,
        target_id=entry.target_id,
        limit_per_s=entry.limit_per_s,
        started_ms=entry.target_started_ms,
    )
