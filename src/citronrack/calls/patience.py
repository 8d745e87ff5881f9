"""Estimates how long ago a caller began to wait, from the time that it has left."""

from __future__ import annotations

import threading

from attrs import define

WINDOW_S = 10.0
"""Time over which the timeouts of a route's callers are compared."""

TOLERANCE = 0.02
"""Relative difference up to which two timeouts count as equal."""

MIN_SHARE = 0.5
"""Share of the calls that must have the longest timeout. If the timeouts of a route differ for
other reasons than repetition, they say nothing about the age of a call."""


@define(eq=False)
class _Timeouts:
    """Timeouts of one route in the current window.

    Attributes:
        began_at: Start of the window.
        longest_ms: Longest timeout.
        calls: Number of calls.
        at_longest: Number of calls with the longest timeout.
    """

    began_at: float
    longest_ms: float
    calls: int = 0
    at_longest: int = 0


class CallerPatience:
    """Tells first tries from repeated ones; thread-safe, with the time passed in.

    A caller that returns after a refusal states the time that it has left of its own timeout, which
    is less than that of a first try. The load pattern is an overload in which returning callers,
    whose answers would be late, take the slots of callers that can still be served in time.
    """

    def __init__(self) -> None:
        self._routes: dict[str, _Timeouts] = {}
        self._lock = threading.Lock()

    def age_s(self, route: str, timeout_ms: int | None, now: float) -> float:
        """Record a call and return for how long its caller has been waiting, 0 if that is unknown.

        Args:
            route: Name of the route.
            timeout_ms: Time that the caller has left, None if it states none.
            now: Monotonic time in seconds.
        """
        if timeout_ms is None:
            return 0.0
        with self._lock:
            known = self._routes.get(route)
            if known is None or now - known.began_at > WINDOW_S:
                longest_ms = float(timeout_ms)
                if known is not None and known.at_longest:
                    longest_ms = max(longest_ms, known.longest_ms)
                known = self._routes[route] = _Timeouts(now, longest_ms)
            if timeout_ms > known.longest_ms * (1 + TOLERANCE):
                known.longest_ms, known.at_longest = float(timeout_ms), 0
            known.calls += 1
            if timeout_ms >= known.longest_ms * (1 - TOLERANCE):
                known.at_longest += 1
                return 0.0
            if known.at_longest < MIN_SHARE * known.calls:
                return 0.0
            return (known.longest_ms - timeout_ms) / 1000
