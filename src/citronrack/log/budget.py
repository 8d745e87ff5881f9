"""A token bucket that limits the rate at which one node appends to the log."""

from __future__ import annotations

from ..clock import Clock

APPENDS_PER_SECOND = 0.2  # one every 5 s
APPEND_BURST = 5


class AppendBudget:
    """Provides one token for each request that may append a record.

    Args:
        clock: Source of time.
        per_second: Mean rate.
        burst: Largest number of tokens in the bucket.

    Example:
        >>> from citronrack.clock import ManualClock
        >>> budget = AppendBudget(clock=ManualClock(), per_second=0.2, burst=1)
        >>> budget.take(), budget.take(), budget.wait_s()
        (True, False, 5.0)
    """

    def __init__(
        self, *, clock: Clock, per_second: float = APPENDS_PER_SECOND, burst: int = APPEND_BURST
    ) -> None:
        self._clock = clock
        self._per_second = per_second
        self._burst = burst
        self._tokens = float(burst)
        self._refilled_at = clock.monotonic()

    def wait_s(self) -> float:
        """Return the seconds until a token is available, 0 when one is."""
        self._refill()
        return max(0.0, (1.0 - self._tokens) / self._per_second)

    def take(self) -> bool:
        """Take a token and return True, or return False when none is available."""
        if self.wait_s() > 0:
            return False
        self._tokens -= 1.0
        return True

    def _refill(self) -> None:
        now = self._clock.monotonic()
        gained = (now - self._refilled_at) * self._per_second
        self._tokens = min(float(self._burst), self._tokens + gained)
        self._refilled_at = now
        # Repeated addition can end at 0.999..., which would make a caller wait once more.
        if self._tokens > 1.0 - 1e-9:
            self._tokens = max(self._tokens, 1.0)
