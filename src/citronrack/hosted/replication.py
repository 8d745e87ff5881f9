"""Applies pages of the store to the node's replicas and forwards them to the other nodes."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from attrs import evolve, frozen

from ..clock import Clock
from ..transport.send import Send
from .access import StoreAccess
from .entry import NodeEntry
from .fanout import Fanout
from .gossip import GossipCore
from .messages import PageRead
from .position import era_of
from .readers import ReaderHeartbeat
from .replica import TopicReplica
from .store import MESH_TOPIC, KeyedPage, KeyedRecord

STORE = "store"
"""Source of records that this node read itself; other sources are addresses of nodes."""


@frozen
class AppliedPage:
    """Result of applying a page of the store.

    Attributes:
        changed: Records that are newer than those of the replica.
        sends: Messages to other nodes.
        confirmed: Whether the page showed the end of the operator topic.
    """

    changed: tuple[KeyedRecord, ...] = ()
    sends: tuple[Send, ...] = ()
    confirmed: bool = False


class TopicReplication:
    """Applies pages of the store, and forwards their records and ends to the other nodes.

    Args:
        replicas: Replicas of topics by name.
        operator: Name of the operator topic.
        fanout: Selects peers.
        access: Reader role of this node.
        gossip: Exchange with other nodes.
        clock: Clock that keeps running while the instance is suspended.
    """

    def __init__(
        self,
        replicas: Mapping[str, TopicReplica],
        *,
        operator: str,
        fanout: Fanout,
        access: StoreAccess,
        gossip: GossipCore,
        clock: Clock,
    ) -> None:
        self._replicas = replicas
        self._operator = operator
        self._fanout = fanout
        self._access = access
        self._gossip = gossip
        self._clock = clock

    def apply_page(self, message: PageRead, *, own: NodeEntry) -> AppliedPage:
        """Apply a page that a watch has read.

        Args:
            message: The page.
            own: Entry of this node.
        """
        self._access.on_read_succeeded(message.topic)
        replica = self._replicas.get(message.topic)
        if replica is None or era_of(message.page.position) < replica.era:
            return AppliedPage()
        before, start = replica.records(), replica.position
        changed = replica.replace(message.page) if message.full else replica.apply(message.page)
        sends: list[Send] = []
        # Node entries spread by gossip, so full pages of them are not forwarded.
        if changed and self._access.leading and not (message.full and message.topic == MESH_TOPIC):
            page = _with_records(replica.since(start), changed)
            push = self._gossip.push(message.topic, page, before=before)
            sends += self._fanout.to_all(push)
        confirmed = message.topic == self._operator and message.page.complete
        if confirmed:
            sends += self._send_heartbeat(message, own)
        return AppliedPage(tuple(changed), tuple(sends), confirmed)

    def on_heartbeat(self, sender: str, heartbeat: ReaderHeartbeat) -> list[Send]:
        """Handle a reader's heartbeat; request the records that this node lacks."""
        position = self._replicas[self._operator].position
        self._access.on_heartbeat(heartbeat, position=position)
        return [self._gossip.request_records(sender)] if heartbeat.position > position else []

    def covers(self, heartbeat: ReaderHeartbeat) -> bool:
        """Return whether this node has all records up to the end that a reader states."""
        position = self._replicas[self._operator].position
        return heartbeat.position <= position and era_of(heartbeat.position) == era_of(position)

    def _send_heartbeat(self, message: PageRead, own: NodeEntry) -> list[Send]:
        """Send the end of the operator topic as of a page of the store."""
        position = self._replicas[self._operator].position
        if not self._access.on_end_confirmed(message.created_at) or not position:
            return []
        heartbeat = ReaderHeartbeat.of(
            own,
            position,
            created_at=message.created_at,
            confirmed_at=message.certain_at,
            now=self._clock.monotonic(),
        )
        return self._fanout.to_all(heartbeat)


def _with_records(page: KeyedPage, changed: Iterable[KeyedRecord]) -> KeyedPage:
    """Return a page with further records, which may lie before its start."""
    records = {record.key: record for record in (*changed, *page.records)}
    ordered = sorted(records.values(), key=lambda record: record.position)
    return evolve(page, records=tuple(ordered))
