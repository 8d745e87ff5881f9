"""How many calls the platform allows at a target that names a limit."""

from __future__ import annotations

from bisect import bisect_left

WINDOW_S = 4.0
EXCESS = 1.5
SLACK = 5


def allowed(limit_per_s: float) -> float:
    """Return the number of calls that a target with a limit may get in any window."""
    return EXCESS * WINDOW_S * limit_per_s + SLACK


def most_in_window(times: list[float], window_s: float = WINDOW_S) -> int:
    """Return the greatest number of ascending times within any window."""
    ends = (bisect_left(times, start + window_s) for start in times)
    return max((end - index for index, end in enumerate(ends)), default=0)
