"""Simulated time: an event queue and the clocks of the nodes."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

START_WALL_MS = 1_800_000_000_000


class Timeline:
    """Runs actions in order of time; actions for the same time run in the order of scheduling."""

    def __init__(self) -> None:
        self._now = 0.0
        self._order = itertools.count()
        self._actions: list[tuple[float, int, Callable[[], None]]] = []

    @property
    def now(self) -> float:
        """Simulated seconds since the start."""
        return self._now

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Run ``action`` in ``delay_s`` seconds."""
        self.at(self._now + max(delay_s, 0.0), action)

    def at(self, when_s: float, action: Callable[[], None]) -> None:
        """Run ``action`` at ``when_s`` seconds after the start."""
        heapq.heappush(self._actions, (max(when_s, self._now), next(self._order), action))

    def run_until(self, end_s: float) -> None:
        """Run all actions due up to ``end_s`` and advance the time to it."""
        while self._actions and self._actions[0][0] <= end_s:
            self._now, _, action = heapq.heappop(self._actions)
            action()
        self._now = end_s


class NodeClock:
    """Monotonic and wall clock of one node.

    Args:
        timeline: Simulated time.
        skew_ms: Offset of the wall clock in milliseconds.
    """

    def __init__(self, timeline: Timeline, *, skew_ms: int = 0) -> None:
        self._timeline = timeline
        self._skew_ms = skew_ms

    def monotonic(self) -> float:
        """Return simulated seconds."""
        return self._timeline.now

    def wall_ms(self) -> int:
        """Return simulated milliseconds since the Unix epoch, including the skew."""
        return START_WALL_MS + self._skew_ms + round(self._timeline.now * 1000)
