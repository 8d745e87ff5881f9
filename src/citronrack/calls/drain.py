"""Counts calls in flight and waits for them during a graceful stop."""

from __future__ import annotations

import threading
import time

DRAIN_NOTICE_S = 2.0
"""Time between telling other nodes of a stop and refusing calls."""


class Drainer:
    """The state of one node's stop; shared by its listeners."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._changed = threading.Condition(self._lock)
        self._in_flight = 0
        self._draining = False

    @property
    def draining(self) -> bool:
        """Whether new work is refused."""
        return self._draining

    @property
    def in_flight(self) -> int:
        """Calls whose answer has not been sent completely."""
        return self._in_flight

    def enter(self, *, nested: bool = False) -> bool:
        """Count a call, or return False when it must be refused.

        Args:
            nested: Whether the call belongs to one that is in flight at the own target; refusing
                it would break a call that was accepted before the drain.
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

    def begin(self) -> None:
        """Refuse new work from now on."""
        with self._lock:
            self._draining = True

    def wait_idle(self, limit_s: float) -> bool:
        """Return whether no call is in flight, after at most ``limit_s`` seconds.

        Returns early only once the drain has begun.
        """
        end = time.monotonic() + limit_s
        with self._changed:
            while self._in_flight:
                left_s = end - time.monotonic()
                if left_s <= 0:
                    return False
                self._changed.wait(left_s)
            return True
