"""Hands out the tokens of workspaces from the shares that nodes have pledged.

Load pattern: most requests of a workspace arrive at a few nodes of a zone, and the nodes change.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping
from functools import lru_cache

import xxhash
from attrs import define, field, frozen

from .tokens import Allowance, Demand, Limit, Stock, TokenBucket

SHARDS = 16
"""Parts into which workspaces are divided; each part is pledged to one allocator at a time."""

MAX_PAUSE_S = 1.0
"""Longest time that is stated until a token; callers return sooner or not at all."""

MIN_RATE_PER_S = 0.01
"""Lowest rate with which the time until a token is worked out."""

SURPLUS_S = 1.0
"""Time for which an allocator keeps the tokens that it expects to need, when others ask."""

MIN_HELD_SHARE = 0.5
"""Share of the tokens for the next moment below which an allocator asks other zones."""

MIN_SHORTAGE = 2.0
"""Tokens for the next moment from which an allocator asks other zones. Tokens that are not used
lapse, so for workspaces that rarely send, nodes ask for single ones."""


@lru_cache(maxsize=4096)
def shard_of(workspace: str) -> int:
    """Return the shard of a workspace, the same on all nodes."""
    return int(xxhash.xxh64_intdigest(workspace.encode())) % SHARDS


@frozen
class Grant:
    """Answer to a request for tokens.

    Attributes:
        tokens: Number of tokens.
        pause_s: Time until a further token is expected, in seconds; 0 if all were granted, or if
            another zone asked.
        spacing_s: Time between further tokens, in seconds.
    """

    tokens: int
    pause_s: float = 0.0
    spacing_s: float = 0.0


@define(eq=False)
class _Pool:
    """Tokens of one workspace."""

    allowance: Allowance
    bucket: TokenBucket
    stock: Stock = field(factory=Stock)
    demand: Demand = field(factory=Demand)
    promised_at: float = 0.0


class Allocator:
    """Buckets of the workspaces, refilled by the shares that are pledged to this node.

    Args:
        slack: Requests in a window that are tolerated beyond each limit.
    """

    def __init__(self, *, slack: float) -> None:
        self._slack = slack
        self._limits: Mapping[str, Limit] = {}
        self._pools: dict[str, _Pool] = {}
        self._pledges: list[dict[str, float]] = [{} for _ in range(SHARDS)]  # node: lapse
        self._nodes = 0

    def set_limits(self, limits: Mapping[str, Limit], now: float) -> None:
        """Apply the limits of the workspaces; one that is new begins with an empty bucket."""
        if limits == self._limits:
            return
        self._limits = dict(limits)
        pools: dict[str, _Pool] = {}
        for workspace, limit in limits.items():
            allowance = Allowance.of(limit, self._slack)
            pool = self._pools.get(workspace)
            if pool is None:
                pool = _Pool(allowance, TokenBucket(now))
            else:
                self._fill(workspace, pool, now)
                pool.allowance = allowance
                self._fill(workspace, pool, now)
            pools[workspace] = pool
        self._pools = pools

    def set_nodes(self, nodes: int, now: float) -> None:
        """Set the number of nodes that share the limits, 0 while it is unknown."""
        if nodes != self._nodes:
            for shard in range(SHARDS):
                self._fill_shard(shard, now)
            self._nodes = nodes

    def pledge(self, node: str, shards: Collection[int], *, until: float, now: float) -> None:
        """Record which shards a node has pledged to this allocator; the others are withdrawn.

        Args:
            node: Name of the node.
            shards: The shards.
            until: Time at which the pledge lapses.
            now: Time in seconds.
        """
        for shard, pledges in enumerate(self._pledges):
            pledged = shard in shards and until > now
            if pledged != (node in pledges):
                # The refill up to now is by the shares that were pledged until now.
                self._fill_shard(shard, now)
            if pledged:
                pledges[node] = until
            else:
                pledges.pop(node, None)

    def share(self, shard: int, now: float) -> float:
        """Return the part of the limits that is pledged for a shard, 0 to 1."""
        pledges = self._pledges[shard]
        for node in [node for node, until in pledges.items() if until <= now]:
            del pledges[node]
        return min(1.0, len(pledges) / self._nodes) if self._nodes else 0.0

    def grant(self, workspace: str, count: int, now: float, *, surplus_only: bool = False) -> Grant:
        """Take tokens of a workspace.

        Args:
            workspace: Name of the workspace.
            count: Number of tokens that are asked for.
            now: Time in seconds.
            surplus_only: Whether another zone asks, which gets only what is not needed here.
        """
        pool = self._pools.get(workspace)
        if pool is None:
            return Grant(0, MAX_PAUSE_S)
        rate_per_s = self._fill(workspace, pool, now)
        if surplus_only:
            needed = max(0.0, pool.demand.per_s(now) - rate_per_s) * SURPLUS_S
            return Grant(pool.bucket.take(count, keep=needed))
        pool.demand.count(count, now)
        tokens = pool.stock.take(count, now)
        tokens += pool.bucket.take(count - tokens)
        if tokens == count:
            return Grant(tokens)
        spacing_s = 1.0 / max(rate_per_s, MIN_RATE_PER_S)
        earliest = now + max(0.0, 1.0 - pool.bucket.level) * spacing_s
        pool.promised_at = min(max(earliest, pool.promised_at + spacing_s), now + MAX_PAUSE_S)
        return Grant(tokens, pool.promised_at - now, spacing_s)

    def receive(self, workspace: str, count: int, *, asked_at: float) -> None:
        """Add tokens of an allocator of another zone; they lapse after the usual time."""
        pool = self._pools.get(workspace)
        if pool is not None:
            pool.stock.add(count, expires_at=asked_at + pool.allowance.horizon_s)

    def shortages(self, now: float) -> dict[str, int]:
        """Return the tokens that this allocator lacks for the demand of the next moment."""
        missing: dict[str, int] = {}
        for workspace, pool in self._pools.items():
            if pool.demand.is_idle:
                continue
            rate_per_s = self._fill(workspace, pool, now)
            demand_per_s = pool.demand.per_s(now)
            needed = demand_per_s * pool.allowance.horizon_s
            held = pool.bucket.level + pool.stock.available(now)
            is_short = demand_per_s > rate_per_s and held < MIN_HELD_SHARE * needed
            if needed >= MIN_SHORTAGE and is_short:
                missing[workspace] = math.ceil(needed - held)
        return missing

    def _fill_shard(self, shard: int, now: float) -> None:
        for workspace, pool in self._pools.items():
            if shard_of(workspace) == shard:
                self._fill(workspace, pool, now)

    def _fill(self, workspace: str, pool: _Pool, now: float) -> float:
        """Refill the bucket of a workspace; return its refill in tokens per second."""
        share = self.share(shard_of(workspace), now)
        rate_per_s = share * pool.allowance.rate_per_s
        pool.bucket.fill(now, rate_per_s=rate_per_s, depth=share * pool.allowance.depth)
        return rate_per_s
