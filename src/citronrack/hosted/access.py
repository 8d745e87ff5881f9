"""Whether this node reads the store for its zone, and whether the store answers it."""

from __future__ import annotations

from collections.abc import Iterable

from ..clock import Clock
from ..telemetry import Event, EventLog
from .dependencies import CoreCallbacks
from .entry import NodeEntry
from .readers import ReaderHeartbeat, ReaderRole, ReaderTimings


class StoreAccess:
    """Follows the role of this node among the readers of its zone.

    Args:
        own: Entry of this node.
        clock: Source of time that goes on while the instance is suspended.
        events: Log lines.
        steering: Is told when this node has to read and when not.
        timings: Times by which the nodes of a zone read in turn.
    """

    def __init__(
        self,
        own: NodeEntry,
        *,
        clock: Clock,
        events: EventLog,
        callbacks: CoreCallbacks,
        timings: ReaderTimings,
    ) -> None:
        self._role = ReaderRole(own, clock, timings)
        self._events = events
        self._callbacks = callbacks
        self._failing: dict[str, str] = {}
        self._was_current = False

    @property
    def reading(self) -> bool:
        """Whether this node reads."""
        return self._role.reading

    @property
    def leading(self) -> bool:
        """Whether this node passes on what it reads."""
        return self._role.leading

    @property
    def current(self) -> bool:
        """Whether the own copy of the operator's topic was known to be complete lately."""
        return self._role.current

    @property
    def age_s(self) -> float:
        """Seconds since the own copy of the operator's topic was known to be complete."""
        return self._role.age_s

    @property
    def available(self) -> bool:
        """Whether all topics could be read lately; true for a node that does not read."""
        return not self._failing

    def on_read_succeeded(self, topic: str) -> None:
        """Note that a topic was read."""
        if self._failing.pop(topic, None) is not None:
            self._events.write(Event.LOG_RECOVERED, topic=topic)

    def on_read_failed(self, topic: str, reason: str) -> None:
        """Note that a topic could not be read."""
        if not self.reading:
            return  # The last read of a node that has stopped to read.
        if topic not in self._failing:
            self._events.write(Event.LOG_UNAVAILABLE, topic=topic, reason=reason)
        self._failing[topic] = reason

    def on_end_confirmed(self, confirmed_at: float) -> bool:
        """Note that the store has told where the operator's topic ends.

        Args:
            confirmed_at: When the store may have told it.

        Returns:
            Whether the zone is to be told.
        """
        return self._role.on_read(confirmed_at)

    def on_tick(self, zone: Iterable[NodeEntry]) -> bool:
        """Begin to read when nobody vouches for the own copy.

        Args:
            zone: Entries of the other nodes of the zone.

        Returns:
            Whether `current` has changed since the last tick.
        """
        before = self.reading
        self._role.on_tick(zone)
        self._apply_role_change(before)
        if self.current is self._was_current:
            return False
        self._was_current = self.current
        event = Event.TOPIC_CURRENT if self.current else Event.TOPIC_STALE
        self._events.write(event, reading=self.reading, age_s=round(self.age_s, 2))
        return True

    def on_heartbeat(self, beat: ReaderHeartbeat, *, position: int) -> None:
        """Take the beat of another reader.

        Args:
            beat: The beat.
            position: First offset that this node does not cover.
        """
        before = self.reading
        self._role.on_heartbeat(beat, position=position, store_answers=self.available)
        self._apply_role_change(before)

    def _apply_role_change(self, before: bool) -> None:
        if self.reading is before:
            return
        if not self.reading:
            self._failing.clear()
        self._callbacks.read_topics(self.reading)
        self._events.write(Event.TOPIC_READER, reading=self.reading, age_s=round(self.age_s, 2))
