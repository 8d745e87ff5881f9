"""Decides which nodes of a zone read the operator's topic for all of them."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import define, field, frozen

from ..clock import Clock
from ..rendezvous import weight
from ..transport.messages import message_codec
from .entry import NodeEntry

RANK_SCOPE = "readers"
"""Scope of the order in which the nodes of a zone read."""

CONFIG_APPLY_S = 2.0
"""Time in which a change has to be in force where the platform states none."""

_LONG_POLL = 0.35
_STALE_AFTER = 0.45
_HEARTBEAT_INTERVAL = 0.05
_RANK_DELAY = 0.05
_MAX_RANK_DELAY = 0.15
"""Parts of the time in which a change has to be in force. Silence and the longest delay by rank add
up to 0.6; what is left covers two ticks of the core and a read."""


@frozen
class ReaderTimings:
    """Times by which the nodes of a zone read in turn.

    Attributes:
        wait_s: How long the store may hold a read in which nothing changes.
        stale_after_s: Time without word on the end of the topic after which a node takes its copy for
            stale; longer than a wait and a pause of the beats, so that one slow read costs nothing.
        heartbeat_interval_s: Shortest time between two beats.
        rank_delay_s: Further silence for each node of a better rank, so that few begin at once.
        max_rank_delay_s: Longest further silence.
    """

    wait_s: float
    stale_after_s: float
    heartbeat_interval_s: float
    rank_delay_s: float
    max_rank_delay_s: float

    @classmethod
    def within(cls, config_apply_s: float = CONFIG_APPLY_S) -> ReaderTimings:
        """Return the times for changes that have to be in force within ``config_apply_s``."""
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
    """The store has just told a reader that the operator's topic ends here.

    A reader whose reads are not answered sends none, so a beat vouches for the topic and not only
    for the reader's process.

    Attributes:
        name: Name of the node.
        position: First offset that it does not cover; the topic ended there.
        link_mbps: Rate of its instance's link, in Mbit/s.
        age_ms: How long ago the store may have told it, in milliseconds.
    """

    name: str
    position: int
    link_mbps: int = 0
    age_ms: int = 0

    @classmethod
    def of(cls, entry: NodeEntry, position: int, *, age_s: float) -> ReaderHeartbeat:
        """Return the beat of a node that reads."""
        return cls(entry.name, position, entry.link_mbps, round(age_s * 1000))


@define(eq=False)
class ReaderRole:
    """Whether this node reads, and whether its copy of the topic is known to be complete.

    The node with the best rank that reaches the store reads. Others begin when nobody has vouched
    for their copy, and stop when one of a better rank does. Fast links rank first: a reader gets
    each change whole and passes it on to all nodes of its zone.

    Attributes:
        own: Entry of this node.
        clock: Source of time that goes on while the instance is suspended.
        timings: Times by which the nodes read in turn.
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
        """Seconds since this node's copy of the topic was last known to be complete."""
        return self.clock.monotonic() - self._current_at

    @property
    def current(self) -> bool:
        """Whether somebody has vouched for this node's copy lately."""
        return self.age_s < self.timings.stale_after_s

    @property
    def leading(self) -> bool:
        """Whether this node passes records on: of several readers only the best one does."""
        since_better_s = self.clock.monotonic() - self._better_reader_at
        return self.reading and since_better_s >= self.timings.stale_after_s

    def on_read(self, confirmed_at: float) -> bool:
        """Note that the store has told where the topic ends; return whether a beat is due.

        Args:
            confirmed_at: When the store may have told it.
        """
        now = self.clock.monotonic()
        self._current_at = max(self._current_at, confirmed_at)
        if not self.reading or now < self._next_heartbeat_at:
            return False
        self._next_heartbeat_at = now + self.timings.heartbeat_interval_s
        return True

    def on_heartbeat(self, beat: ReaderHeartbeat, *, position: int, store_answers: bool) -> None:
        """Take another node's beat.

        Args:
            beat: The beat.
            position: First offset that this node does not cover.
            store_answers: Whether this node reaches the store itself.
        """
        better = _rank(beat) < _rank(self.own)
        if better:
            self._better_reader_at = self.clock.monotonic()
        if beat.position > position:
            return  # This node lacks records, and reads itself as long as that lasts.
        confirmed_at = self.clock.monotonic() - beat.age_ms / 1000
        self._current_at = max(self._current_at, confirmed_at)
        if better or not store_answers:
            self.reading = False

    def on_tick(self, zone: Iterable[NodeEntry]) -> None:
        """Begin to read when nobody has vouched for this node's copy.

        Args:
            zone: Entries of the other nodes of the zone.
        """
        own = _rank(self.own)
        better = sum(_rank(entry) < own for entry in zone)
        times = self.timings
        delay_s = min(better * times.rank_delay_s, times.max_rank_delay_s)
        if self.age_s > times.stale_after_s + delay_s:
            self.reading = True


def _rank(node: NodeEntry | ReaderHeartbeat) -> tuple[int, int]:
    return -node.link_mbps, weight(RANK_SCOPE, node.name)
