"""Exchange of store records and node entries between nodes."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from random import Random
from typing import Any

from attrs import evolve, frozen

from ..clock import Clock
from ..errors import MessageRejected
from ..transport.messages import message_codec
from ..transport.send import Send
from .delta import DAMAGED, MIN_DELTA_BYTES, apply_delta, compress, decompress, make_delta
from .entry import NodeEntry, NodeTable
from .replica import TopicReplica
from .rollout import RolloutRecord
from .store import KeyedPage, KeyedRecord

EXCHANGE_INTERVAL_S = 1.0
"""Time between exchanges of a node whose records are known to be complete."""

STALE_EXCHANGE_INTERVAL_S = 0.25
"""Time between exchanges of a node for whose records nobody vouches: a change must arrive within
2 s, and one exchange may be lost."""

STALE_PEERS = 2
"""Nodes that such a node asks at each exchange."""

JOIN_PEERS = 3
"""Nodes asked after a start; one of them answers even if others have just been killed."""

MAX_RECORDS_BYTES = 200 * 1024
"""Bytes of records in one message; the transport takes 256 KB."""


NO_BASE = -1

UNKNOWN_START = -1
"""Start of records whose sender is of the release before and does not tell it."""


@message_codec.register("h-pos")
@frozen
class Positions:
    """What the sender holds.

    Attributes:
        topics: Pairs of topic and the first offset that is not covered.
        digest: Digest of the sender's node entries.
        stale: Whether nobody vouches for the sender's records, so that it needs the receiver's.
        rollouts: Service, order and revision of the rollouts that the sender knows.
        asks: Whether the receiver should say what it holds in its turn when digests differ.
    """

    topics: tuple[tuple[str, int], ...]
    digest: int
    stale: bool
    wants_reply: bool
    rollouts: tuple[tuple[str, int, int], ...] = ()


@message_codec.register("h-rec")
@frozen
class TopicRecords:
    """Records of a topic that the receiver lacks.

    Attributes:
        topic: Name of the topic.
        records: Triples of key, compressed value and offset; an empty value stands for a removed
            key. A configuration of 70 KB to each node of a zone filled a link of 14.5 Mbit/s.
        position: First offset that the message does not cover.
        bases: For each record the offset of the older one whose delta it carries, `NO_BASE` for a
            whole value; empty when all are whole. Compressed values, each to 30 nodes, still
            filled a link of 10 Mbit/s at four changes a second.
        start: First offset that the message covers; a receiver that has less lacks a message.
    """

    topic: str
    records: tuple[tuple[str, bytes, int], ...]
    position: int
    bases: tuple[int, ...] = ()
    start: int = UNKNOWN_START


@message_codec.register("h-ask")
@frozen
class EntriesRequest:
    """Asks for the entries that are newer than the sender's.

    Attributes:
        orders: Name, boot and revision of each entry that the sender holds.
    """

    versions: tuple[tuple[str, int, int], ...]


@message_codec.register("h-ent")
@frozen
class Entries:
    """Entries of nodes.

    Attributes:
        entries: The entries.
    """

    entries: tuple[NodeEntry, ...]


class GossipCore:
    """Decides with whom to exchange and what; has no sockets.

    Args:
        replicas: Copies of topics by name.
        table: Entries of nodes.
        clock: Source of time.
        random: Source of random numbers.
        on_records: Gets the topic, the records that are new here, and the address they came from.
        on_entries: Gets entries that others have told.
        rollouts: Returns the newest record of each rollout.
    """

    def __init__(
        self,
        *,
        replicas: Mapping[str, TopicReplica],
        table: NodeTable,
        clock: Clock,
        random: Random,
        on_records: Callable[[str, Iterable[KeyedRecord], str], None],
        on_entries: Callable[[list[NodeEntry]], None],
        rollouts: Callable[[], tuple[RolloutRecord, ...]],
    ) -> None:
        self._replicas = replicas
        self._table = table
        self._clock = clock
        self._random = random
        self._on_records = on_records
        self._on_entries = on_entries
        self._rollouts = rollouts
        self._next_exchange_at = 0.0
        self._stale = True

    def on_tick(self, *, current: bool) -> list[Send]:
        """Start an exchange when one is due.

        Args:
            current: Whether this node's records are known to be complete.
        """
        self._stale = not current
        now = self._clock.monotonic()
        if now < self._next_exchange_at:
            return []
        self._next_exchange_at = now + (
            EXCHANGE_INTERVAL_S if current else STALE_EXCHANGE_INTERVAL_S
        )
        peers = list(self._table.others())
        count = min(len(peers), 1 if current else STALE_PEERS)
        chosen = self._random.sample(peers, count)
        return [Send(_address(peer), self._positions(wants_reply=True)) for peer in chosen]

    def announce(self, entry: NodeEntry) -> list[Send]:
        """Tell all nodes an entry that has just changed."""
        return self.send_to(Entries((entry,)), self._table.others())

    @staticmethod
    def send_to(message: Any, peers: Iterable[NodeEntry]) -> list[Send]:
        """Return a message to each of some nodes."""
        return [Send(_address(peer), message) for peer in peers]

    def join(self) -> list[Send]:
        """Ask some nodes for what they hold, after a start."""
        peers = list(self._table.others())
        chosen = self._random.sample(peers, min(len(peers), JOIN_PEERS))
        return self.send_to(self._positions(wants_reply=True), chosen)

    @staticmethod
    def push(topic: str, page: KeyedPage, *, before: Mapping[str, KeyedRecord]) -> TopicRecords:
        """Return the message that passes records on to nodes that do not read the topic.

        Args:
            topic: Name of the topic.
            page: What this node has just taken in.
            before: What this node held before; the other nodes hold it most likely.
        """
        triples, bases = [], []
        for record in page.records:
            short, base = _encode_value(record, before.get(record.key))
            triples.append((record.key, short, record.offset))
            bases.append(base)
        return TopicRecords(topic, tuple(triples), page.position, tuple(bases), page.start)

    def request_records(self, sender: str) -> Send:
        """Return the message that asks a node for the records that this one lacks."""
        return Send(sender, evolve(self._positions(wants_reply=False), stale=True))

    def on_message(self, sender: str, message: Any) -> list[Send]:
        """Handle a message of another node.

        Raises:
            MessageRejected: When its content is damaged.
        """
        handler = _HANDLERS.get(type(message))
        return handler(self, sender, message) if handler is not None else []

    def _positions(self, *, wants_reply: bool) -> Positions:
        topics = tuple((name, replica.position) for name, replica in self._replicas.items())
        rollouts = tuple(
            (record.service, record.order_id, record.revision) for record in self._rollouts()
        )
        return Positions(topics, self._table.digest, self._stale, wants_reply, rollouts)

    def _on_positions(self, sender: str, message: Positions) -> list[Send]:
        effects: list[Send] = []
        for topic, position in message.topics if message.stale else ():
            replica = self._replicas.get(topic)
            if replica is not None and replica.position > position:
                effects += self._record_messages(sender, replica, position)
        told = {service: (version, revision) for service, version, revision in message.rollouts}
        for record in self._rollouts():
            if (record.order_id, record.revision) > told.get(record.service, (-1, -1)):
                effects.append(Send(sender, record))
        if message.digest != self._table.digest:
            versions = ((entry.name, *entry.version) for entry in self._table.entries())
            effects.append(Send(sender, EntriesRequest(tuple(versions))))
            if message.wants_reply:
                effects.append(Send(sender, self._positions(wants_reply=False)))
        return effects

    @staticmethod
    def _record_messages(to: str, replica: TopicReplica, position: int) -> list[Send]:
        """Return messages that each cover what lies behind the one before."""
        page = replica.since(position)
        effects: list[Send] = []
        batch: list[tuple[str, bytes, int]] = []
        start, size = position, 0

        def flush(end: int) -> None:
            nonlocal batch, start, size
            records = TopicRecords(replica.topic, tuple(batch), end, start=start)
            effects.append(Send(to, records))
            batch, start, size = [], end, 0

        for record in page.records:
            value = compress(record.value)
            if batch and size + len(value) > MAX_RECORDS_BYTES:
                flush(min(batch[-1][2] + 1, page.position))
            batch.append((record.key, value, record.offset))
            size += len(value)
        flush(page.position)
        return effects

    def _on_topic_records(self, sender: str, message: TopicRecords) -> list[Send]:
        replica = self._replicas.get(message.topic)
        if replica is None:
            return []
        bases = message.bases or (NO_BASE,) * len(message.records)
        if len(bases) != len(message.records):
            raise MessageRejected(DAMAGED)
        records = []
        for (key, short, offset), base in zip(message.records, bases, strict=True):
            known = replica.record(key)
            if known is not None and known.offset >= offset:
                continue
            value = decompress(short) if base == NO_BASE else _from_delta(known, base, short)
            if base != NO_BASE and value is None:
                return [
                    self.request_records(sender)
                ]  # This node lacks the record that the delta needs.
            records.append(KeyedRecord(key, value, offset))
        stated = message.start != UNKNOWN_START
        start = message.start if stated else message.position
        changed = replica.apply(KeyedPage(tuple(records), message.position, start=start))
        if changed:
            self._on_records(message.topic, changed, sender)
        if stated and replica.position < message.position:
            return [self.request_records(sender)]  # A message before this one was lost.
        return []

    def _on_entries_request(self, sender: str, message: EntriesRequest) -> list[Send]:
        newer = self._table.newer_than(message.versions)
        return [Send(sender, Entries(newer))] if newer else []

    def _on_entries_message(self, _: str, message: Entries) -> list[Send]:
        self._on_entries(list(message.entries))
        return []


def _encode_value(record: KeyedRecord, base: KeyedRecord | None) -> tuple[bytes, int]:
    """Return a value in short form and the offset of the record that it rests on."""
    full = compress(record.value)
    if len(full) < MIN_DELTA_BYTES or not record.value or base is None or not base.value:
        return full, NO_BASE
    delta = make_delta(base.value, record.value)
    return (delta, base.offset) if len(delta) < len(full) else (full, NO_BASE)


def _from_delta(known: KeyedRecord | None, base: int, delta: bytes) -> bytes | None:
    if known is None or known.offset != base or known.value is None:
        return None
    return apply_delta(known.value, delta)


def _address(entry: NodeEntry) -> str:
    return f"tcp://{entry.peer_address}"


_HANDLERS: dict[type[Any], Callable[[GossipCore, str, Any], list[Send]]] = {
    Positions: GossipCore._on_positions,
    TopicRecords: GossipCore._on_topic_records,
    EntriesRequest: GossipCore._on_entries_request,
    Entries: GossipCore._on_entries_message,
}
