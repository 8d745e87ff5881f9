"""Builds the input of the call path from folded state and membership."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping, Sequence
from functools import lru_cache

from attrs import define, field

from ..calls import PoolTarget, RouteIndex, RouteShare, RoutingView
from ..config import ConfigSet
from ..membership import Member, MemberState, MemberSummary, RemoteMember
from ..validators import split_address

ADDRESS_CACHE_SIZE = 8_192  # twice the two-year fleet


@lru_cache(maxsize=ADDRESS_CACHE_SIZE)
def _usable_address(text: str) -> tuple[str, int] | None:
    """Return ``(ip, port)``, None for an address that a peer with a fault has announced."""
    try:
        return split_address(text)
    except ValueError:
        return None


_PoolKey = tuple[str, str]


@define
class _Pool:
    """Targets of one service version; the second list serves only while the first is empty."""

    preferred: list[PoolTarget] = field(factory=list)
    fallback: list[PoolTarget] = field(factory=list)

    def add(
        self, node: Member | MemberSummary, availability_zone: str, *, good: bool, load: int
    ) -> None:
        """Add the target beside a node, unless its address cannot be used."""
        address = _usable_address(node.deliver_address)
        if address is None:
            return
        target = PoolTarget(
            name=node.name,
            deliver_address=address,
            availability_zone=availability_zone,
            slots=node.slots,
            load=load,
        )
        (self.preferred if good else self.fallback).append(target)


class ViewBuilder:
    """Builds routing views, and reuses what has not changed since the last one.

    A mesh of 3,500 nodes would otherwise cost 12% of a core for parsing addresses four times a
    second.
    """

    def __init__(self) -> None:
        self._members: Sequence[Member] = ()
        self._remote: Sequence[RemoteMember] = ()
        self._remote_pools: Mapping[_PoolKey, _Pool] = {}
        self._pools: Mapping[_PoolKey, tuple[PoolTarget, ...]] = {}
        self._view = RoutingView()

    def build(
        self,
        *,
        ready: bool,
        reason: str,
        config: ConfigSet,
        members: Sequence[Member],
        remote: Sequence[RemoteMember],
        shares: Mapping[str, RouteShare],
    ) -> RoutingView:
        """Return the routing view that follows from the present state.

        Args:
            ready: Whether calls are served.
            reason: Why not.
            config: Configuration in force.
            members: Known nodes of the own zone that are not gone; the same object while unchanged.
            remote: Known nodes of other zones; the same object while unchanged.
            shares: Division of calls by route name.
        """
        if remote is not self._remote:
            self._remote = remote
            self._remote_pools = self._make_remote_pools()
            self._members = ()
        if members is not self._members:
            self._members = members
            self._pools = self._make_pools()
        index = self._view.index
        if config is not self._view.config:
            index = RouteIndex(config.routes.values())
        self._view = RoutingView(
            ready=ready,
            reason=reason,
            config=config,
            shares=dict(shares),
            pools=self._pools,
            index=index,
        )
        return self._view

    def _make_pools(self) -> dict[_PoolKey, tuple[PoolTarget, ...]]:
        """Return the pools; a node that is not ready or not heard serves only where none is.

        News of readiness take a second or two to reach all nodes, and an unheard node may work.
        """
        pools: dict[_PoolKey, _Pool] = defaultdict(_Pool)
        for member in self._members:
            if member.draining:
                continue
            pool = pools[member.service, member.service_version]
            good = member.ready and member.state == MemberState.ALIVE
            pool.add(member, member.availability_zone, good=good, load=member.load)
        for key, remote in self._remote_pools.items():
            pools[key].preferred += remote.preferred
            pools[key].fallback += remote.fallback
        return {key: tuple(pool.preferred or pool.fallback) for key, pool in pools.items()}

    def _make_remote_pools(self) -> dict[_PoolKey, _Pool]:
        pools: dict[_PoolKey, _Pool] = defaultdict(_Pool)
        for known in self._remote:
            summary = known.summary
            if summary.gone or summary.draining:
                continue
            pool = pools[summary.service, summary.service_version]
            good = known.known and summary.ready
            pool.add(summary, known.availability_zone, good=good, load=0)
        return pools
