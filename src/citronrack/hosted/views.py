"""Builds the routing view from the configuration, node entries and rollouts."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping

from ..calls import PoolTarget, RouteIndex, RouteShare, RoutingView
from ..config import ConfigSet
from ..validators import split_address
from .entry import NodeEntry

ANY_VERSION = ""
"""Version key of the pool with all targets of a service."""


def other_versions(version: str) -> str:
    """Return the version key of the pool with all targets that do not run ``version``."""
    return f"!{version}"


def build_view(
    config: ConfigSet,
    entries: Iterable[NodeEntry],
    rollouts: Mapping[str, tuple[str, float, int]],
    *,
    complete: bool,
    before: RoutingView,
) -> RoutingView:
    """Return the view by which calls are routed.

    Args:
        config: Active configuration; a version of -1 means that there is none yet.
        entries: Entries of all nodes.
        rollouts: Target version, share and order id by service.
        complete: Whether the configuration is confirmed to be the newest.
        before: The view that this one replaces.
    """
    ready = config.version >= 0
    index = before.index if config is before.config else RouteIndex(config.routes.values())
    return RoutingView(
        ready=ready,
        complete=complete,
        reason="" if ready else "the node holds no configuration yet",
        config=config,
        pools=_pools(entries, {service: to for service, (to, _, _) in rollouts.items()}),
        index=index,
        service_shares={
            service: RouteShare(
                move_id=str(order_id),
                from_version=other_versions(version),
                to_version=version,
                share=share,
            )
            for service, (version, share, order_id) in rollouts.items()
        },
    )


def _pools(
    entries: Iterable[NodeEntry], new_versions: Mapping[str, str]
) -> dict[tuple[str, str], tuple[PoolTarget, ...]]:
    """Return targets by service and version key; non-serving ones only in pools without others."""
    serving: dict[tuple[str, str], list[PoolTarget]] = defaultdict(list)
    not_serving: dict[tuple[str, str], list[PoolTarget]] = defaultdict(list)
    for entry in entries:
        if not entry.service:
            continue
        pools = serving if entry.serving else not_serving
        target = _target(entry)
        for pool in _pool_names(entry, new_versions.get(entry.service)):
            pools[entry.service, pool].append(target)
    return {key: tuple(serving.get(key) or not_serving[key]) for key in {*serving, *not_serving}}


def _pool_names(entry: NodeEntry, new_version: str | None) -> tuple[str, ...]:
    if new_version is None:
        return (ANY_VERSION,)
    version_key = (
        new_version if entry.service_version == new_version else other_versions(new_version)
    )
    return ANY_VERSION, version_key


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
