"""Token buckets, and stocks of tokens that lapse.

Load pattern: the requests of a workspace come in clumps and at many nodes at once, while the limit
holds for all nodes together.
"""

from __future__ import annotations

import math
from collections import deque

from attrs import define, field, frozen

SLACK_SHARE = 0.5
"""Share of the tolerated excess of a window that the buckets use, so that a workspace with a small
limit can send a request in any zone. The rest covers nodes that count each other differently."""

MAX_HORIZON_S = 0.5
"""Longest time for which a node gets tokens in advance."""

STOCK_STAGES = 2
"""Stocks in which a token may lie one after the other: of an allocator, and of a node."""

DEMAND_WINDOW_S = 1.0
"""Time constant of the estimate of a demand."""

ROUNDING = 1e-9
"""Largest rounding error of a bucket's level that still counts as a whole token."""


@frozen
class Limit:
    """Limit of a workspace over all nodes.

    Attributes:
        rate_per_s: Requests a second.
        burst: Requests beyond the rate.
    """

    rate_per_s: float
    burst: float


@frozen
class Allowance:
    """Division of a limit between buckets and stocks.

    In a window, the nodes admit at most the refill, what the buckets hold and what lies in stocks.
    The depth of the buckets and the largest stocks add up to the burst and the used part of the
    slack.

    Attributes:
        rate_per_s: Refill of all buckets together, in tokens per second.
        depth: Depth of all buckets together, in tokens.
        horizon_s: Time after which a token in a stock lapses, in seconds.
    """

    rate_per_s: float
    depth: float
    horizon_s: float

    @classmethod
    def of(cls, limit: Limit, slack: float) -> Allowance:
        """Return the division of a limit.

        Args:
            limit: The limit; its rate is above 0.
            slack: Requests in a window that are tolerated beyond the limit.
        """
        spare = limit.burst + SLACK_SHARE * slack
        horizon_s = min(MAX_HORIZON_S, spare / (2 * STOCK_STAGES * limit.rate_per_s))
        depth = spare - STOCK_STAGES * horizon_s * limit.rate_per_s
        return cls(limit.rate_per_s, depth, horizon_s)


@define(eq=False)
class TokenBucket:
    """A token bucket that begins empty.

    Attributes:
        level: Tokens in the bucket.
        filled_at: Time up to which it has been filled; a time in the future defers the refill.
    """

    filled_at: float
    level: float = 0.0

    def fill(self, now: float, *, rate_per_s: float, depth: float) -> None:
        """Add the tokens since the last call.

        Args:
            now: Time in seconds.
            rate_per_s: Refill since then.
            depth: Largest level; a bucket with more loses the excess.
        """
        gained = max(0.0, now - self.filled_at) * rate_per_s
        self.level = min(depth, self.level + gained)
        self.filled_at = max(self.filled_at, now)

    def take(self, count: int, *, keep: float = 0.0) -> int:
        """Take up to ``count`` whole tokens, leaving ``keep``; return how many."""
        taken = max(0, min(count, math.floor(self.level - keep + ROUNDING)))
        self.level -= taken
        return taken


@define(eq=False)
class Stock:
    """Tokens that were handed out and lapse if they are not used."""

    _batches: deque[list[float]] = field(factory=deque, init=False)  # [expiry, tokens]

    def add(self, count: int, *, expires_at: float) -> None:
        """Add tokens that lapse at a time."""
        if count > 0:
            self._batches.append([expires_at, count])

    def available(self, now: float) -> int:
        """Return the number of tokens that have not lapsed."""
        return round(sum(count for expires_at, count in self._batches if expires_at > now))

    def take(self, count: int, now: float) -> int:
        """Take up to ``count`` tokens, the oldest first; return how many."""
        taken = 0
        while self._batches and taken < count:
            batch = self._batches[0]
            used = min(count - taken, round(batch[1])) if batch[0] > now else 0
            batch[1] -= used
            taken += used
            if batch[0] <= now or batch[1] <= 0:
                self._batches.popleft()
        return taken


@define(eq=False)
class Demand:
    """Estimate of the tokens that are asked for in a second, with exponential decay."""

    _per_s: float = field(default=0.0, init=False)
    _counted_at: float = field(default=0.0, init=False)

    def count(self, tokens: int, now: float) -> None:
        """Count tokens that were asked for."""
        self._per_s = self.per_s(now) + tokens / DEMAND_WINDOW_S
        self._counted_at = now

    @property
    def is_idle(self) -> bool:
        """Whether nothing was ever asked for."""
        return not self._per_s

    def per_s(self, now: float) -> float:
        """Return the estimate, in tokens per second."""
        age_s = max(0.0, now - self._counted_at)
        return self._per_s * math.exp(-age_s / DEMAND_WINDOW_S)
