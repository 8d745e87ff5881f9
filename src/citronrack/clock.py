"""Clocks, injected into every component that measures time."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """A monotonic clock and a wall clock."""

    def monotonic(self) -> float:
        """Return seconds since an arbitrary point; never decreases."""

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
    """The clocks of the operating system; the monotonic one includes time in suspend.

    State received from other nodes ages while the instance is suspended; the node's own timeouts,
    which use `SystemClock`, do not.
    """

    def monotonic(self) -> float:
        """Return seconds of ``CLOCK_BOOTTIME``."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock:
    """A clock that is advanced explicitly, for tests and replays.

    Args:
        start_ms: Wall time at the start, in milliseconds.
        skew_ms: Constant offset of the wall time, in milliseconds.
    """

    def __init__(self, *, start_ms: int = 1_800_000_000_000, skew_ms: int = 0) -> None:
        self._start_ms = start_ms
        self._elapsed = 0.0
        self.skew_ms = skew_ms

    def advance(self, seconds: float) -> None:
        """Move both clocks forward by ``seconds``."""
        self._elapsed += seconds

    def monotonic(self) -> float:
        """Return seconds since the clock was created."""
        return self._elapsed

    def wall_ms(self) -> int:
        """Return the wall time with the configured skew, in milliseconds."""
        return self._start_ms + self.skew_ms + round(self._elapsed * 1000)
