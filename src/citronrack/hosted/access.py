"""This node's reader role and the state of its reads from the store."""

from __future__ import annotations

from collections.abc import Iterable

from ..clock import Clock
from ..telemetry import Event, EventLog
from .dependencies import CoreCallbacks
from .entry import NodeEntry
from .readers import ReaderHeartbeat, ReaderRole, ReaderTimings


class StoreAccess:
    """Tracks the reader role of this node, and failing reads.

    Args:
        own: Entry of this node.
        clock: Clock that keeps running while the instance is suspended.
        events: Event log.
        callbacks: Invoked when this node starts or stops to read.
        timings: Timeouts of the reader role.
        reading: Whether this node reads from its start on.
    """

    def __init__(
        self,
        own: NodeEntry,
        *,
        clock: Clock,
        events: EventLog,
        callbacks: CoreCallbacks,
        timings: ReaderTimings,
        reading: bool = True,
    ) -> None:
        self._role = ReaderRole(own, clock, timings, reading=reading)
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
        """Whether this node forwards what it reads."""
        return self._role.leading

    @property
    def current(self) -> bool:
        """Whether the replica of the operator topic is fresh."""
        return self._role.current

    @property
    def age_s(self) -> float:
        """Seconds since the replica of the operator topic was confirmed to be complete."""
        return self._role.age_s

    @property
    def available(self) -> bool:
        """Whether the latest reads of all topics succeeded; true for a node that does not read."""
        return not self._failing

    def on_read_succeeded(self, topic: str) -> None:
        """Record a successful read of a topic."""
        if self._failing.pop(topic, None) is not None:
            self._events.write(Event.LOG_RECOVERED, topic=topic)

    def on_read_failed(self, topic: str, reason: str) -> None:
        """Record a failed read of a topic."""
        if not self.reading:
            return  # The last read of a node that has given up the reader role.
        if topic not in self._failing:
            self._events.write(Event.LOG_UNAVAILABLE, topic=topic, reason=reason)
        self._failing[topic] = reason

    def on_end_confirmed(self, confirmed_at: float) -> bool:
        """Record that the store confirmed the end of the operator topic.

        Args:
            confirmed_at: Time at which the store may have confirmed it.

        Returns:
            Whether to send a heartbeat.
        """
        return self._role.on_read(confirmed_at)

    def on_peer_confirmed(self, age_s: float) -> None:
        """Record that another node had the same records confirmed ``age_s`` ago."""
        self._role.on_confirmed(age_s)

    def on_tick(self, others: Iterable[NodeEntry], *, hold: bool = False) -> bool:
        """Start to read when the replica has become stale, and log changes of its freshness.

        Args:
            others: Entries of the other nodes.
            hold: Whether this node must not start to read yet.

        Returns:
            Whether `current` has changed since the last tick.
        """
        was_reading = self.reading
        if not hold:
            self._role.on_tick(others)
        self._apply_role_change(was_reading)
        if self.current is self._was_current:
            return False
        self._was_current = self.current
        event = Event.TOPIC_CURRENT if self.current else Event.TOPIC_STALE
        self._events.write(event, reading=self.reading, age_s=round(self.age_s, 2))
        return True

    def on_heartbeat(self, heartbeat: ReaderHeartbeat, *, position: int) -> None:
        """Handle the heartbeat of another reader.

        Args:
            heartbeat: The heartbeat.
            position: First position that this node does not cover.
        """
        was_reading = self.reading
        self._role.on_heartbeat(heartbeat, position=position, store_answers=self.available)
        self._apply_role_change(was_reading)

    def _apply_role_change(self, was_reading: bool) -> None:
        if self.reading is was_reading:
            return
        if not self.reading:
            self._failing.clear()
        self._callbacks.read_topics(self.reading)
        self._events.write(Event.TOPIC_READER, reading=self.reading, age_s=round(self.age_s, 2))
