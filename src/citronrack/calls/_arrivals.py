"""Counts the calls that were passed to the local target lately."""

from __future__ import annotations

import threading
from collections import deque

from attrs import define, field

WINDOW_S = 4.0
"""Time over which the platform compares the calls of a target with its limit."""

REPORT_INTERVAL_S = 1.0
"""Shortest time between two reports of the count."""


@define(eq=False)
class ArrivalWindow:
    """Times at which calls were passed to the target within the window; thread-safe."""

    _times: deque[float] = field(factory=deque, init=False)
    _next_report_at: float = field(default=0.0, init=False)
    _lock: threading.Lock = field(factory=threading.Lock, init=False)

    def record(self, now: float) -> int | None:
        """Count a call; return the count of the window if a report is due, None otherwise."""
        with self._lock:
            self._times.append(now)
            while self._times[0] <= now - WINDOW_S:
                self._times.popleft()
            if now < self._next_report_at:
                return None
            self._next_report_at = now + REPORT_INTERVAL_S
            return len(self._times)
