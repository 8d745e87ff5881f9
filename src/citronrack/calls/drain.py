"""Counts calls in flight and waits for them during a graceful stop."""

from __future__ import annotations

import math
import threading
import time

DRAIN_NOTICE_S = 2.0
"""Time between announcing a stop to other nodes and refusing calls."""


class Drainer:
    """Drain state of a node, shared by its listeners."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._changed = threading.Condition(self._lock)
        self._in_flight = 0
        self._draining = False
        self._latest_end = math.inf

    @property
    def draining(self) -> bool:
        """Whether new calls are refused."""
        return self._draining

    @property
    def latest_end(self) -> float:
        """Monotonic time by which new calls must have ended, infinite before a stop."""
        return self._latest_end

    @property
    def in_flight(self) -> int:
        """Calls whose response has not been sent completely."""
        return self._in_flight

    def enter(self, *, nested: bool = False) -> bool:
        """Count a call as in flight; return False when it must be refused.

        Args:
            nested: Whether the call was made by the local target for a call in flight; refusing it
                would break a call that was accepted before the drain.
        """
        with self._lock:
            if self._draining and not nested:
                return False
            self._in_flight += 1
            return True

    def leave(self) -> None:
        """Count the end of a call."""
        with self._lock:
            self._in_flight -= 1
            if self._draining and not self._in_flight:
                self._changed.notify_all()

    def announce(self, latest_end: float) -> None:
        """Bound the time of new calls, which are still accepted.

        Args:
            latest_end: Monotonic time at which the stop ends.
        """
        self._latest_end = latest_end

    def begin(self) -> None:
        """Begin the drain: new calls are refused from now on."""
        with self._lock:
            self._draining = True

    def wait_idle(self, limit_s: float) -> bool:
        """Wait until no call is in flight; return False after ``limit_s`` seconds.

        With calls in flight, returns before the limit only while draining, because `leave` signals
        the end of the last call only then.
        """
        end = time.monotonic() + limit_s
        with self._changed:
            while self._in_flight:
                left_s = end - time.monotonic()
                if left_s <= 0:
                    return False
                self._changed.wait(left_s)
            return True
