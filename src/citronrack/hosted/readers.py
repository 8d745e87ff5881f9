"""Elects the node that reads the operator topic on behalf of all nodes."""

from __future__ import annotations

from collections.abc import Iterable
from math import floor

from attrs import define, field, frozen

from ..clock import Clock
from ..rendezvous import weight
from ..transport.messages import message_codec
from .entry import NodeEntry
from .position import era_of

NOT_STATED = -1
"""Time in a message of the previous release, which does not state it."""

RANK_SCOPE = "readers"
"""Rendezvous scope by which nodes are ranked as readers."""

CONFIG_APPLY_S = 2.0
"""Time within which a change must be active if the platform states no bound."""

_LONG_POLL = 0.35
_STALE_AFTER = 0.45
_HEARTBEAT_INTERVAL = 0.05
_RANK_DELAY = 0.05
_MAX_RANK_DELAY = 0.15
"""Fractions of the time within which a change must be active. `_STALE_AFTER` and `_MAX_RANK_DELAY`
add up to 0.6; the rest covers two ticks of the core and a read."""


@frozen
class ReaderTimings:
    """Timeouts of the reader role.

    Attributes:
        wait_s: Duration of a long poll: how long the store may hold a read without new records.
        stale_after_s: Time without confirmation of the topic's end after which a node treats its
            replica as stale; longer than a wait plus the heartbeat interval, so that one slow read
            has no effect.
        heartbeat_interval_s: Shortest time between two heartbeats.
        rank_delay_s: Additional delay per better-ranked node, so that few start reading at once.
        max_rank_delay_s: Upper limit of that delay.
    """

    wait_s: float
    stale_after_s: float
    heartbeat_interval_s: float
    rank_delay_s: float
    max_rank_delay_s: float

    @classmethod
    def within(cls, config_apply_s: float = CONFIG_APPLY_S) -> ReaderTimings:
        """Return timings with which a change is active on all nodes within ``config_apply_s``."""
        return cls(
            wait_s=_LONG_POLL * config_apply_s,
            stale_after_s=_STALE_AFTER * config_apply_s,
            heartbeat_interval_s=_HEARTBEAT_INTERVAL * config_apply_s,
            rank_delay_s=_RANK_DELAY * config_apply_s,
            max_rank_delay_s=_MAX_RANK_DELAY * config_apply_s,
        )


@message_codec.register("h-beat")
@frozen
class ReaderHeartbeat:
    """A reader's confirmation of the end of the operator topic.

    A reader only sends one after a successful read, so a heartbeat shows that the topic is being
    read and not only that the reader's process is alive.

    Attributes:
        name: Name of the reader.
        position: First position that the reader does not cover, which was the end of the topic.
        link_mbps: Bandwidth of the reader's instance, in Mbit/s.
        age_ms: How long ago the store may have confirmed it, in milliseconds.
        boot: Start of the reader's process, as in its entry.
        sent_ms: Time of sending by the reader's clock, in milliseconds; `NOT_STATED` from a reader
            of the previous release.
        confirmed_ms: Time by the same clock at which the topic certainly ended there.
    """

    name: str
    position: int
    link_mbps: int = 0
    age_ms: int = 0
    boot: int = 0
    sent_ms: int = NOT_STATED
    confirmed_ms: int = 0

    @classmethod
    def of(
        cls,
        entry: NodeEntry,
        position: int,
        *,
        created_at: float = 0.0,
        confirmed_at: float = 0.0,
        now: float = 0.0,
    ) -> ReaderHeartbeat:
        """Return the heartbeat of a reader.

        Args:
            entry: Entry of the reader.
            position: First position that it does not cover.
            created_at: Time at which the store may have made the page that showed the end.
            confirmed_at: Time at which the topic certainly ended there.
            now: Time of sending.
        """
        return cls(
            entry.name,
            position,
            entry.link_mbps,
            age_ms=round((now - created_at) * 1000),
            boot=entry.boot,
            sent_ms=floor(now * 1000),
            confirmed_ms=floor(confirmed_at * 1000),
        )


@define(eq=False)
class ReaderRole:
    """The reader role of this node and the freshness of its replica of the operator topic.

    The best-ranked node that reaches the store reads. Another node starts to read when its replica
    becomes stale, and stops when a better-ranked reader confirms the replica. In each zone that
    hears no reader, the best-ranked node starts first, so a zone that is cut off from the others
    has its own reader. Nodes with fast links rank first, because a reader receives each change in
    full and forwards it.

    Attributes:
        own: Entry of this node.
        clock: Clock that keeps running while the instance is suspended.
        timings: Timeouts of the role.
        reading: Whether this node reads.
    """

    own: NodeEntry
    clock: Clock
    timings: ReaderTimings = field(factory=ReaderTimings.within)
    reading: bool = True
    _current_at: float = field(init=False)
    _better_reader_at: float = field(init=False)
    _next_heartbeat_at: float = 0.0

    def __attrs_post_init__(self) -> None:
        self._current_at = self._better_reader_at = (
            self.clock.monotonic() - self.timings.stale_after_s
        )

    @property
    def age_s(self) -> float:
        """Seconds since the replica was last confirmed to be complete."""
        return self.clock.monotonic() - self._current_at

    @property
    def current(self) -> bool:
        """Whether the replica was confirmed to be complete within ``stale_after_s``."""
        return self.age_s < self.timings.stale_after_s

    @property
    def leading(self) -> bool:
        """Whether this node forwards records; of several readers only the best-ranked one does."""
        since_better_s = self.clock.monotonic() - self._better_reader_at
        return self.reading and since_better_s >= self.timings.stale_after_s

    def on_read(self, confirmed_at: float) -> bool:
        """Record that the store confirmed the end of the topic; return whether to send a heartbeat.

        Args:
            confirmed_at: Time at which the store may have confirmed it.
        """
        now = self.clock.monotonic()
        self._current_at = max(self._current_at, confirmed_at)
        if not self.reading or now < self._next_heartbeat_at:
            return False
        self._next_heartbeat_at = now + self.timings.heartbeat_interval_s
        return True

    def on_heartbeat(
        self, heartbeat: ReaderHeartbeat, *, position: int, store_answers: bool
    ) -> None:
        """Handle another node's heartbeat.

        Args:
            heartbeat: The heartbeat.
            position: First position that this node does not cover.
            store_answers: Whether this node reaches the store itself.
        """
        if era_of(heartbeat.position) < era_of(position):
            return  # The store has returned from a copy since the reader's last read.
        better = _rank(heartbeat) < _rank(self.own)
        if better:
            self._better_reader_at = self.clock.monotonic()
        if heartbeat.position > position:
            return  # This node lacks records, so it reads itself until it has caught up.
        confirmed_at = self.clock.monotonic() - heartbeat.age_ms / 1000
        self._current_at = max(self._current_at, confirmed_at)
        if better or not store_answers:
            self.reading = False

    def on_confirmed(self, age_s: float) -> None:
        """Record that a node with the same records had them confirmed ``age_s`` ago."""
        self._current_at = max(self._current_at, self.clock.monotonic() - age_s)

    def on_tick(self, others: Iterable[NodeEntry]) -> None:
        """Start to read when the replica has become stale.

        Args:
            others: Entries of the other nodes.
        """
        if self.reading or self.age_s <= self.timings.stale_after_s:
            return
        if self.age_s > self.timings.stale_after_s + self._rank_delay_s(others):
            self.reading = True

    def _rank_delay_s(self, others: Iterable[NodeEntry]) -> float:
        """Return the additional delay: a step for each better node of the zone, one for others."""
        own, zone = _rank(self.own), self.own.availability_zone
        better = [node.availability_zone == zone for node in others if _rank(node) < own]
        steps = sum(better) + (not all(better))
        return min(steps * self.timings.rank_delay_s, self.timings.max_rank_delay_s)


def _rank(node: NodeEntry | ReaderHeartbeat) -> tuple[int, int]:
    return -node.link_mbps, weight(RANK_SCOPE, node.name)
