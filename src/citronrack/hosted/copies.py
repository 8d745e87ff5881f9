"""A node's copies of the topics: filled from the store, passed on to its zone."""

from __future__ import annotations

from collections.abc import Mapping

from attrs import frozen

from ..clock import Clock
from ..transport.send import Send
from .access import StoreAccess
from .entry import NodeEntry, NodeTable
from .gossip import GossipCore
from .messages import PageRead
from .readers import ReaderBeat
from .replica import TopicReplica
from .store import MESH_TOPIC, KeyedRecord

STORE = "store"
"""Source of records that this node has read itself; otherwise it is the address of a node."""


@frozen
class Taken:
    """What a page of the store has brought.

    Attributes:
        changed: Records that are newer than what was known.
        sends: Messages to the zone.
    """

    changed: tuple[KeyedRecord, ...] = ()
    sends: tuple[Send, ...] = ()


class TopicCopies:
    """Takes pages of the store and passes on what they hold, and the word on where a topic ends.

    Args:
        replicas: Copies of topics by name.
        operator: Name of the operator's topic.
        table: Entries of nodes.
        access: Whether this node reads for its zone.
        gossip: Exchange with other nodes.
        clock: Source of time that goes on while the instance is suspended.
    """

    def __init__(
        self,
        replicas: Mapping[str, TopicReplica],
        *,
        operator: str,
        table: NodeTable,
        access: StoreAccess,
        gossip: GossipCore,
        clock: Clock,
    ) -> None:
        self._replicas = replicas
        self._operator = operator
        self._table = table
        self._access = access
        self._gossip = gossip
        self._clock = clock

    def take(self, mail: PageRead, *, own: NodeEntry) -> Taken:
        """Take in a page that a watch has read.

        Args:
            mail: The page.
            own: Entry of this node.
        """
        self._access.answered(mail.topic)
        replica = self._replicas.get(mail.topic)
        if replica is None:
            return Taken()
        before, start = replica.records(), replica.position
        changed = replica.replace(mail.page) if mail.whole else replica.apply(mail.page)
        zone = self._table.others_in(own.availability_zone)
        sends: list[Send] = []
        # Nodes learn each other's entries by gossip, so whole pages of them are not passed on.
        if changed and self._access.leading and not (mail.whole and mail.topic == MESH_TOPIC):
            push = self._gossip.push(mail.topic, replica.since(start), before=before)
            sends += self._gossip.tell(push, zone)
        if mail.topic == self._operator and mail.page.complete:
            sends += self._vouch(mail.made_at, own, zone)
        return Taken(tuple(changed), tuple(sends))

    def on_beat(self, sender: str, beat: ReaderBeat) -> list[Send]:
        """Take a reader's word on the end of the operator's topic; ask it for what is missing."""
        position = self._replicas[self._operator].position
        self._access.on_beat(beat, position=position)
        return [self._gossip.ask(sender)] if beat.position > position else []

    def _vouch(self, made_at: float, own: NodeEntry, zone: list[NodeEntry]) -> list[Send]:
        """Tell the zone where the operator's topic ended at a time of the boot clock."""
        position = self._replicas[self._operator].position
        if not self._access.confirmed(made_at) or not position:
            return []
        age_s = self._clock.monotonic() - made_at
        return self._gossip.tell(ReaderBeat.of(own, position, age_s=age_s), zone)
