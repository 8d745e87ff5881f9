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
from .readers import ReaderHeartbeat
from .replica import TopicReplica
from .store import MESH_TOPIC, KeyedRecord

STORE = "store"
"""Source of records that this node has read itself; otherwise it is the address of a node."""


@frozen
class AppliedPage:
    """What a page of the store has brought.

    Attributes:
        changed: Records that are newer than what was known.
        sends: Messages to the zone.
    """

    changed: tuple[KeyedRecord, ...] = ()
    sends: tuple[Send, ...] = ()


class TopicReplication:
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

    def apply_page(self, message: PageRead, *, own: NodeEntry) -> AppliedPage:
        """Take in a page that a watch has read.

        Args:
            mail: The page.
            own: Entry of this node.
        """
        self._access.on_read_succeeded(message.topic)
        replica = self._replicas.get(message.topic)
        if replica is None:
            return AppliedPage()
        before, start = replica.records(), replica.position
        changed = replica.replace(message.page) if message.full else replica.apply(message.page)
        zone = self._table.others_in(own.availability_zone)
        sends: list[Send] = []
        # Nodes learn each other's entries by gossip, so whole pages of them are not passed on.
        if changed and self._access.leading and not (message.full and message.topic == MESH_TOPIC):
            push = self._gossip.push(message.topic, replica.since(start), before=before)
            sends += self._gossip.send_to(push, zone)
        if message.topic == self._operator and message.page.complete:
            sends += self._send_heartbeat(message.created_at, own, zone)
        return AppliedPage(tuple(changed), tuple(sends))

    def on_heartbeat(self, sender: str, beat: ReaderHeartbeat) -> list[Send]:
        """Take a reader's word on the end of the operator's topic; ask it for what is missing."""
        position = self._replicas[self._operator].position
        self._access.on_heartbeat(beat, position=position)
        return [self._gossip.request_records(sender)] if beat.position > position else []

    def _send_heartbeat(
        self, created_at: float, own: NodeEntry, zone: list[NodeEntry]
    ) -> list[Send]:
        """Tell the zone where the operator's topic ended at a time of the boot clock."""
        position = self._replicas[self._operator].position
        if not self._access.on_end_confirmed(created_at) or not position:
            return []
        age_s = self._clock.monotonic() - created_at
        return self._gossip.send_to(ReaderHeartbeat.of(own, position, age_s=age_s), zone)
