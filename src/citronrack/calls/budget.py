"""Limits the retries at each service to a fraction of the recent calls to it."""

from __future__ import annotations

import threading
from collections import deque

from attrs import define, field

RETRY_RATIO = 0.1
DEFAULT_BURST = 1.0
"""Retries in a window that a node may send in addition to the ratio."""

WINDOW_S = 10.0
"""Length of the sliding window in which calls and retries are counted."""

_BUCKETS = 20
_BUCKET_S = WINDOW_S / _BUCKETS


@define
class _Bucket:
    """Counts of one part of the window."""

    number: int
    calls: int = 0
    retries: int = 0


@define(eq=False)
class _Window:
    """Calls and retries of one service in the recent past.

    The oldest bucket lies partly outside of the window. Its retries count and its calls do not, so
    that rounding never allows a retry too many.
    """

    retries: int = 0
    buckets: deque[_Bucket] = field(factory=deque)

    @property
    def calls(self) -> int:
        """Calls in the window."""
        first = self.buckets[-1].number - _BUCKETS + 1
        return sum(bucket.calls for bucket in self.buckets if bucket.number >= first)

    def advance(self, now: float) -> _Bucket:
        """Return the bucket of the current time, after dropping those that have left the window."""
        number = int(now / _BUCKET_S)
        if not self.buckets or number > self.buckets[-1].number:
            self.buckets.append(_Bucket(number))
        current = self.buckets[-1]
        while self.buckets[0].number < current.number - _BUCKETS:
            self.retries -= self.buckets.popleft().retries
        return current


class RetryBudgets:
    """Retries allowed at each service over a sliding window; thread-safe, with the time passed in.

    In each window, the retries at a service are at most ``ratio`` times the calls to it plus the
    burst. Calls to one service do not pay for retries at another, because the retries load only the
    service that fails. The load patterns are a service that fails a large part of its calls, and
    failures that come in clumps at a node with little traffic, which may use a whole window's
    allowance at once.

    Args:
        ratio: Retries allowed per call.
        burst: Retries in a window beyond that.
    """

    def __init__(self, *, ratio: float = RETRY_RATIO, burst: float = DEFAULT_BURST) -> None:
        self._ratio = ratio
        self._burst = burst
        self._windows: dict[str, _Window] = {}
        self._lock = threading.Lock()

    def set_burst(self, retries: float) -> None:
        """Set the number of retries in a window beyond the ratio."""
        with self._lock:
            self._burst = retries

    def record_call(self, service: str, now: float) -> None:
        """Count a call.

        Args:
            service: Service that is called.
            now: Monotonic time in seconds.
        """
        with self._lock:
            self._window(service).advance(now).calls += 1

    def try_withdraw(self, service: str, now: float) -> bool:
        """Count a retry if it is allowed, and return whether it is.

        Args:
            service: Service that gets the retry.
            now: Monotonic time in seconds.
        """
        with self._lock:
            window = self._window(service)
            current = window.advance(now)
            if window.retries + 1 > self._ratio * window.calls + self._burst:
                return False
            current.retries += 1
            window.retries += 1
            return True

    def _window(self, service: str) -> _Window:
        window = self._windows.get(service)
        if window is None:
            window = self._windows[service] = _Window()
        return window
