"""Decides which nodes of a zone read the operator's topic for all of them."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import define, field, frozen

from ..clock import Clock
from ..rendezvous import weight
from ..transport.messages import message_codec
from .entry import NodeEntry

BEAT_S = 0.4
"""How often a reader tells its zone that it reads."""

SILENCE_S = 1.0
"""Time without a reader after which a node reads itself: two beats may be lost, and a change has
to be in force within two seconds."""

READERS = "readers"
"""Scope of the order in which the nodes of a zone read."""

RANK_DELAY_S = 0.1
MAX_RANK_DELAY_S = 0.8
"""Further silence for each node of a better rank, so that few nodes begin at once."""


@message_codec.register("h-beat")
@frozen
class ReaderBeat:
    """A node reads the operator's topic for its zone.

    Attributes:
        name: Name of the node.
        position: First offset that it does not cover.
        link_mbps: Rate of its instance's link, in Mbit/s.
    """

    name: str
    position: int
    link_mbps: int = 0

    @classmethod
    def of(cls, entry: NodeEntry, position: int) -> ReaderBeat:
        """Return the beat of a node that reads."""
        return cls(entry.name, position, entry.link_mbps)


@define(eq=False)
class ReaderRole:
    """Whether this node reads, by the beats of the other nodes of its zone.

    The node with the best rank that reaches the store reads. Others begin when no reader is heard,
    and stop when one of a better rank is as far as they are. Fast links rank first: a reader gets
    each change whole and passes it on to all nodes of its zone.

    Attributes:
        own: Entry of this node.
        clock: Source of time.
        reading: Whether this node reads.
    """

    own: NodeEntry
    clock: Clock
    reading: bool = True
    _heard_at: float = field(init=False)
    _better_at: float = field(init=False)
    _next_beat: float = 0.0

    def __attrs_post_init__(self) -> None:
        self._heard_at = self.clock.monotonic()
        self._better_at = self._heard_at - SILENCE_S

    @property
    def leading(self) -> bool:
        """Whether this node passes records on: of several readers only the best one does."""
        return self.reading and self.clock.monotonic() - self._better_at >= SILENCE_S

    @property
    def silent_s(self) -> float:
        """Seconds since a reader was heard that was as far as this node."""
        return self.clock.monotonic() - self._heard_at

    def on_beat(self, beat: ReaderBeat, *, position: int, store_answers: bool) -> None:
        """Take another node's beat.

        Args:
            beat: The beat.
            position: First offset that this node does not cover.
            store_answers: Whether this node reaches the store itself.
        """
        better = _rank(beat) < _rank(self.own)
        if better:
            self._better_at = self.clock.monotonic()
        if beat.position != position:
            return  # One of both lacks records; as long as that lasts, both read.
        self._heard_at = self.clock.monotonic()
        if better or not store_answers:
            self.reading = False

    def on_tick(self, zone: Iterable[NodeEntry]) -> bool:
        """Begin to read when no reader is heard; return whether a beat is due.

        Args:
            zone: Entries of the other nodes of the zone.
        """
        now = self.clock.monotonic()
        own = _rank(self.own)
        better = sum(_rank(entry) < own for entry in zone)
        delay_s = min(better * RANK_DELAY_S, MAX_RANK_DELAY_S)
        if now - self._heard_at > SILENCE_S + delay_s:
            self.reading = True
        if not self.reading or now < self._next_beat:
            return False
        self._next_beat = now + BEAT_S
        return True


def _rank(node: NodeEntry | ReaderBeat) -> tuple[int, int]:
    return -node.link_mbps, weight(READERS, node.name)
