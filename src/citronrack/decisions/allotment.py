"""Admits the requests of workspaces at one node, with tokens that allocators hand out.

Load pattern: a workspace sends many times its usual, while others stay within their limits at nodes
where they rarely send.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping
from enum import Enum

from attrs import define, field, frozen

from .allocator import MAX_PAUSE_S, SHARDS, Grant, shard_of
from .members import MEMBER_S
from .tokens import Allowance, Demand, Limit, Stock, TokenBucket

PLEDGE_S = 2.0
"""Validity of a pledge: four intervals between pledges, so that two lost messages end none."""

MIN_DENIAL_S = 0.1
"""Shortest time for which allocators are not asked again after a refusal, which bounds the messages
about a workspace that sends many times its limit."""

MIN_ADVANCE = 1.0
"""Tokens for the next moment from which a node asks in advance; below, it asks for each request."""


class AdmissionStatus(Enum):
    """Answers that carry no figure.

    Attributes:
        ADMITTED: The request has a token, or needs none.
        ASK: An allocator has to be asked.
        UNKNOWN: No allocator has answered.
    """

    ADMITTED = "admitted"
    ASK = "ask"
    UNKNOWN = "unknown"


@frozen
class OverLimit:
    """The request is beyond the limit.

    Attributes:
        retry_after_s: Time after which a request is expected to be admitted, in seconds.
    """

    retry_after_s: float


Admission = AdmissionStatus | OverLimit
"""Whether a request is admitted, refused, or an allocator has to be asked."""


@define(eq=False)
class _Denial:
    """The last statement of an allocator that it has no token.

    Attributes:
        until: Time of the next token, until which the allocator is not asked again.
        promised_at: Time that the next refused caller is told.
        spacing_s: Time between further tokens.
    """

    until: float
    promised_at: float
    spacing_s: float


@define(eq=False)
class _Account:
    """Tokens of one workspace at this node."""

    allowance: Allowance
    own: TokenBucket
    stock: Stock = field(factory=Stock)
    demand: Demand = field(factory=Demand)
    denial: _Denial | None = None


class AllotmentNode:
    """Shares and stocks of one node.

    The node owns an equal share of each limit. Each shard of the workspaces is either pledged to
    one allocator, or the node uses its share itself, never both.

    Args:
        slack: Requests in a window that are tolerated beyond each limit.
        now: Time in seconds; an earlier process of the node may have pledged its share until
            shortly before.
    """

    def __init__(self, *, slack: float, now: float) -> None:
        self._slack = slack
        self._limits: Mapping[str, Limit] = {}
        self._accounts: dict[str, _Account] = {}
        self._free_at = [now + PLEDGE_S] * SHARDS
        self._allocators: list[str] = [""] * SHARDS
        self._nodes = 0
        self._counted_until = 0.0

    def set_limits(self, limits: Mapping[str, Limit]) -> None:
        """Apply the limits of the workspaces; one whose limit has changed loses its stock."""
        if limits == self._limits:
            return
        accounts: dict[str, _Account] = {}
        for workspace, limit in limits.items():
            known = self._accounts.get(workspace)
            if known is None or self._limits[workspace] != limit:
                free_at = self._free_at[shard_of(workspace)]
                known = _Account(Allowance.of(limit, self._slack), TokenBucket(free_at))
            accounts[workspace] = known
        self._limits, self._accounts = dict(limits), accounts

    def set_nodes(self, nodes: int, now: float) -> None:
        """Set the number of nodes that share the limits, as an allocator has stated it."""
        self._nodes, self._counted_until = nodes, now + MEMBER_S

    def admit(self, workspace: str, now: float, *, counted: bool = True) -> Admission:
        """Take a token for a request.

        Args:
            workspace: Name of the workspace.
            now: Time in seconds.
            counted: Whether the request is a new one, which counts as demand.
        """
        account = self._accounts.get(workspace)
        if account is None:
            return AdmissionStatus.ADMITTED
        if counted:
            account.demand.count(1, now)
        if account.stock.take(1, now) or self._take_own(workspace, account, now):
            return AdmissionStatus.ADMITTED
        denial = account.denial
        if denial is None or denial.until <= now:
            return AdmissionStatus.ASK
        retry_after_s = denial.promised_at - now
        # Callers that are refused together are told different times, one token apart.
        denial.promised_at = min(denial.promised_at + denial.spacing_s, now + MAX_PAUSE_S)
        return OverLimit(max(0.0, retry_after_s))

    def refund(self, workspace: str, now: float) -> None:
        """Return the token of a request that did not run."""
        account = self._accounts.get(workspace)
        if account is not None:
            account.stock.add(1, expires_at=now + account.allowance.horizon_s)

    def add(self, workspace: str, tokens: int, *, asked_at: float) -> None:
        """Add tokens that were asked for at a time."""
        account = self._accounts.get(workspace)
        if account is not None:
            account.stock.add(tokens, expires_at=asked_at + account.allowance.horizon_s)

    def deny(self, workspace: str, grant: Grant, now: float) -> None:
        """Record that no allocator has a further token for some time."""
        account = self._accounts.get(workspace)
        if account is not None and grant.pause_s:
            until = now + max(grant.pause_s, MIN_DENIAL_S)
            account.denial = _Denial(until, now + grant.pause_s, grant.spacing_s)

    def advances(self, now: float) -> dict[str, int]:
        """Return the tokens to ask for in advance, by workspace."""
        wanted = {workspace: self.advance(workspace, now) for workspace in self._accounts}
        return {workspace: count for workspace, count in wanted.items() if count > 0}

    def advance(self, workspace: str, now: float) -> int:
        """Return the tokens of a workspace to ask for in advance, 0 for none."""
        account = self._accounts.get(workspace)
        if account is None or account.demand.is_idle:
            return 0
        needed = account.demand.per_s(now) * account.allowance.horizon_s
        if needed < MIN_ADVANCE or (account.denial is not None and account.denial.until > now):
            return 0
        return max(0, math.ceil(needed - account.stock.available(now)))

    def pledge(self, allocator: str, shards: Collection[int], now: float) -> tuple[int, ...]:
        """Pledge this node's share of some shards, and return those for which that is possible.

        It is not while an earlier pledge to another allocator may still be in force there.

        Args:
            allocator: Name of the allocator.
            shards: The shards.
            now: Time at which the pledge is sent, in seconds.
        """
        pledged = tuple(
            shard
            for shard in shards
            if self._allocators[shard] in ("", allocator) or now >= self._free_at[shard]
        )
        for shard in pledged:
            self._allocators[shard] = allocator
            self._free_at[shard] = now + PLEDGE_S
        for workspace, account in self._accounts.items():
            if shard_of(workspace) in pledged:
                account.own = TokenBucket(now + PLEDGE_S)
        return pledged

    def _take_own(self, workspace: str, account: _Account, now: float) -> int:
        """Take a token of this node's own share, which refills once no pledge is in force.

        A node that has heard no allocator for some time is no longer counted and has no share.
        """
        share = 1.0 / self._nodes if self._nodes and now < self._counted_until else 0.0
        account.own.fill(
            now,
            rate_per_s=share * account.allowance.rate_per_s,
            depth=share * account.allowance.depth,
        )
        return account.own.take(1)
