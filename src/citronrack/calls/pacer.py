"""Paces calls to a rate; without threads or a clock."""

from __future__ import annotations

from attrs import define

MIN_RATE_PER_S = 0.5
"""Lowest pace. A target that takes next to nothing is still asked now and then, because only its
answers show that its limit has ended."""

BURST_S = 1.0
"""Time for which an unused rate is kept, so that calls that come in clumps can use it. The platform
allows a target one and a half times its limit in any 4 s, which is twice this time in excess."""

COLD_BURST_S = 0.25
"""The same time for the rate of a cold target. The platform allows one and a half times that rate
in any second, which is twice this time in excess; the rest covers calls that arrive in clumps."""

COLD_START_DEBT_S = 1.0
"""Longest time for which calls that run when a target becomes cold hold back further ones. The
platform counts in windows of a second."""

NO_WAIT = 1e-9
"""Shortest wait that counts, in seconds; sums of floating-point times are not exact."""


@define(eq=False)
class Pacer:
    """A token bucket; without a limit it lets all calls through.

    Attributes:
        limit_per_s: Calls a second, the lower one of the limit that the target names and of its
            rate while it is cold; None for neither.
    """

    limit_per_s: float | None = None
    _named_per_s: float | None = None
    _cold_per_s: float | None = None
    _cold_burst_s: float = COLD_BURST_S
    _tokens: float = 0.0
    _filled_at: float = 0.0

    @property
    def _rate(self) -> float:
        return max(self.limit_per_s or 0.0, MIN_RATE_PER_S)

    @property
    def _depth(self) -> float:
        burst_s = BURST_S if self._cold_per_s is None else self._cold_burst_s
        return max(1.0, self._rate * burst_s)

    def set_limit(self, limit_per_s: float | None, now: float) -> None:
        """Change the limit that the target names; a new one begins without unused rate.

        Args:
            limit_per_s: Calls a second, None for no limit.
            now: Monotonic time in seconds.
        """
        self._fill(now)
        self._named_per_s = limit_per_s
        self._apply(now)

    def set_cold_rate(
        self,
        rate_per_s: float | None,
        now: float,
        *,
        burst_s: float = COLD_BURST_S,
        running: int = 0,
    ) -> None:
        """Change the rate that holds because the target is cold.

        A cold phase begins without unused rate. Calls that run at that time may not have reached
        the target yet, so they count as if they had just started.

        Args:
            rate_per_s: Calls a second, None for a warm target.
            now: Monotonic time in seconds.
            burst_s: Time for which an unused rate is kept, in seconds.
            running: Calls that have started and not ended.
        """
        self._fill(now)
        begins = self._cold_per_s is None and rate_per_s is not None
        self._cold_per_s, self._cold_burst_s = rate_per_s, burst_s
        self._apply(now)
        if begins:
            self._tokens = -min(float(running), self._rate * COLD_START_DEBT_S)

    def wait_s(self, now: float, *, ahead: int = 0) -> float:
        """Return the time until a call may start.

        Args:
            now: Monotonic time in seconds.
            ahead: Number of calls that go first.
        """
        if self.limit_per_s is None:
            return 0.0
        missing = ahead + 1 - self._available(now)
        wait_s = missing / self._rate
        return wait_s if wait_s > NO_WAIT else 0.0

    def take(self, now: float) -> None:
        """Count a call that starts now."""
        self._fill(now)
        if self.limit_per_s is not None:
            self._tokens -= 1.0

    def _apply(self, now: float) -> None:
        """Put the lower one of the two limits in force; the tokens are up to date."""
        if self.limit_per_s is None:
            self._tokens = 0.0
        limits = [self._named_per_s, self._cold_per_s]
        self.limit_per_s = min((limit for limit in limits if limit is not None), default=None)
        self._tokens = min(self._tokens, self._depth)
        self._filled_at = max(self._filled_at, now)

    def _available(self, now: float) -> float:
        gained = max(0.0, now - self._filled_at) * self._rate
        return min(self._depth, self._tokens + gained)

    def _fill(self, now: float) -> None:
        if self.limit_per_s is not None:
            self._tokens = self._available(now)
            self._filled_at = max(self._filled_at, now)
