"""What a node does once after the store has returned from a copy."""

from __future__ import annotations

from random import Random

from ..clock import Clock
from ..telemetry import Event, EventLog

SPREAD_S = 1.0
"""Time over which the nodes spread what they write again, so that they are no herd at the store."""


class Restoration:
    """Decides when this node writes again what it owns, once for each return of the store.

    Args:
        clock: Source of time.
        random: Source of random numbers.
        events: Event log.
    """

    def __init__(self, *, clock: Clock, random: Random, events: EventLog) -> None:
        self._clock = clock
        self._random = random
        self._events = events
        self._era: int | None = None
        self._reread_era: int | None = None
        self._write_at: float | None = None

    def on_era(self, era: int) -> bool:
        """Follow the era of the store; return whether to write again now.

        Args:
            era: How often the store has returned, as far as this node knows.
        """
        if self._era is None:
            self._era = era
        elif era > self._era:
            self._era = era
            self._write_at = self._clock.monotonic() + SPREAD_S * self._random.random()
            self._events.write(Event.STORE_RETURNED, era=era)
        if self._write_at is None or self._clock.monotonic() < self._write_at:
            return False
        self._write_at = None
        return True

    def may_reread(self, era: int) -> bool:
        """Return whether the operator's topic has not been read in full for an era yet."""
        if self._reread_era == era:
            return False
        self._reread_era = era
        return True
