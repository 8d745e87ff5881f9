"""Sources of time, handed to every component that measures it."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """A monotonic clock and a wall clock."""

    def monotonic(self) -> float:
        """Return seconds since an arbitrary point; never goes back."""

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch; may jump."""


class SystemClock:
    """The clocks of the operating system."""

    def monotonic(self) -> float:
        """Return seconds of ``CLOCK_MONOTONIC``."""
        return time.monotonic()

    def wall_ms(self) -> int:
        """Return milliseconds of ``CLOCK_REALTIME``."""
        return time.time_ns() // 1_000_000


class BootClock(SystemClock):
    """The clocks of the operating system, where time also passes while the instance is suspended.

    What a node knows of others grows old in that time; its own waits and limits do not.
    """

    def monotonic(self) -> float:
        """Return seconds of ``CLOCK_BOOTTIME``."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock:
    """A clock that moves only when told to, for tests and replays.

    Args:
        start_ms: Wall time at the start, in milliseconds.
        skew_ms: Constant error added to the wall time, in milliseconds.
    """

    def __init__(self, *, start_ms: int = 1_800_000_000_000, skew_ms: int = 0) -> None:
        self._start_ms = start_ms
        self._elapsed = 0.0
        self.skew_ms = skew_ms

    def advance(self, seconds: float) -> None:
        """Move both clocks forward by ``seconds``."""
        self._elapsed += seconds

    def monotonic(self) -> float:
        """Return seconds since the clock was made."""
        return self._elapsed

    def wall_ms(self) -> int:
        """Return the wall time with the configured skew, in milliseconds."""
        return self._start_ms + self.skew_ms + round(self._elapsed * 1000)
