"""Whether this node reads the store for its zone, and whether the store answers it."""

from __future__ import annotations

from collections.abc import Iterable

from ..clock import Clock
from ..telemetry import Event, EventLog
from .entry import NodeEntry
from .parts import Steering
from .readers import ReaderBeat, ReaderRole


class StoreAccess:
    """Follows the role of this node among the readers of its zone.

    Args:
        own: Entry of this node.
        clock: Source of time.
        events: Log lines.
        steering: Is told when this node has to read and when not.
    """

    def __init__(
        self, own: NodeEntry, *, clock: Clock, events: EventLog, steering: Steering
    ) -> None:
        self._role = ReaderRole(own, clock)
        self._events = events
        self._steering = steering
        self._failing: dict[str, str] = {}

    @property
    def reading(self) -> bool:
        """Whether this node reads."""
        return self._role.reading

    @property
    def leading(self) -> bool:
        """Whether this node passes on what it reads."""
        return self._role.leading

    @property
    def answers(self) -> bool:
        """Whether all topics could be read lately; true for a node that does not read."""
        return not self._failing

    def answered(self, topic: str) -> None:
        """Note that a topic was read."""
        if self._failing.pop(topic, None) is not None:
            self._events.write(Event.LOG_RECOVERED, topic=topic)

    def failed(self, topic: str, reason: str) -> None:
        """Note that a topic could not be read."""
        if not self.reading:
            return  # The last read of a node that has stopped to read.
        if topic not in self._failing:
            self._events.write(Event.LOG_UNAVAILABLE, topic=topic, reason=reason)
        self._failing[topic] = reason

    def on_tick(self, zone: Iterable[NodeEntry]) -> bool:
        """Begin to read when no reader is heard; return whether the zone is to be told.

        Args:
            zone: Entries of the other nodes of the zone.
        """
        before = self.reading
        beat_due = self._role.on_tick(zone)
        self._follow(before)
        return beat_due and self.answers

    def on_beat(self, beat: ReaderBeat, *, position: int) -> None:
        """Take the beat of another reader.

        Args:
            beat: The beat.
            position: First offset that this node does not cover.
        """
        before = self.reading
        self._role.on_beat(beat, position=position, store_answers=self.answers)
        self._follow(before)

    def _follow(self, before: bool) -> None:
        if self.reading is before:
            return
        if not self.reading:
            self._failing.clear()
        self._steering.read_topics(self.reading)
        self._events.write(
            Event.TOPIC_READER, reading=self.reading, silent_s=round(self._role.silent_s, 2)
        )
