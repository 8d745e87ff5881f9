"""Exchange of store records and node entries between nodes."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping
from random import Random
from typing import Any

from attrs import evolve, frozen

from ..clock import Clock
from ..errors import MessageRejected
from ..transport.messages import message_codec
from ..transport.send import Send
from .delta import DAMAGED, MIN_DELTA_BYTES, apply_delta, compress, decompress, make_delta
from .entry import DIGEST_BUCKETS, NodeEntry, NodeTable
from .fanout import Fanout, send_to
from .position import era_of
from .replica import TopicReplica
from .rollout_record import RolloutRecord
from .store import KeyedPage, KeyedRecord
from .trust import ConfigTrust

EXCHANGE_INTERVAL_S = 1.0
"""Time between exchanges of a node whose replicas are fresh."""

STALE_EXCHANGE_INTERVAL_S = 0.25
"""Time between exchanges of a node with stale replicas: a change must arrive within 2 s even if one
exchange is lost."""

STALE_PEERS = 2
"""Peers that a node with stale replicas contacts in each exchange, one of them in another zone: its
own zone may have missed the same message."""

OTHER_ZONE_SHARE = 0.25
"""Share of the exchanges of a node that go to another zone. Bytes between zones cost more, and one
exchange brings a lost entry to a whole zone."""

JOIN_PEERS = 3
"""Peers contacted after a start, so that one answers even if others have just been killed."""

NOT_CONFIRMED = -1
"""Age of records from a sender whose replica is not fresh."""

MAX_CERTAIN_S = 600.0
"""Age from which what is certain of a topic is not told any more."""

MAX_RECORDS_BYTES = 200 * 1024
"""Limit of the records in one message; the transport accepts 256 KB."""


NO_BASE = -1
"""Base of a record that is sent as a full value and not as a delta."""

UNKNOWN_VERSION = -2
"""Version of a sender of the previous release, which does not send it."""

NOT_ASKED = -1
"""Time of a question that was not asked, or not by a node of this release."""

UNKNOWN_START = -1
"""Start of records from a sender of the previous release, which does not send it."""


@message_codec.register("h-pos")
@frozen
class Positions:
    """Summary of the sender's state.

    Attributes:
        topics: Pairs of topic and the first position that the sender does not cover.
        digest: Digest of the sender's node entries.
        digests: Digests of the buckets of the sender's node entries; empty from a sender of the
            previous release.
        stale: Whether the sender's replicas are stale, so that it needs the receiver's records.
        rollouts: Service, order id and revision of the rollouts that the sender knows.
        wants_reply: Whether the receiver replies with its own summary if the digests differ.
        version: Version of the configuration in force.
        checked: Whether the sender has compared that version with another node's since its start.
        asked_ms: Time of sending by the sender's clock, which an answer repeats.
    """

    topics: tuple[tuple[str, int], ...]
    digest: int
    stale: bool
    wants_reply: bool
    rollouts: tuple[tuple[str, int, int], ...] = ()
    digests: tuple[int, ...] = ()
    version: int = UNKNOWN_VERSION
    checked: bool = True
    asked_ms: int = NOT_ASKED


@message_codec.register("h-rec")
@frozen
class TopicRecords:
    """Records of a topic that the receiver lacks.

    Attributes:
        topic: Name of the topic.
        records: Triples of key, compressed value or delta, and position; an empty value denotes a
            removed key. Values are compressed because a configuration of 70 KB, sent to each node
            of a zone, saturated a link of 14.5 Mbit/s.
        position: First position that the message does not cover.
        bases: For each record the position of the older record that its delta applies to, `NO_BASE`
            for a full value; empty if all values are full. Deltas are needed because compressed
            values, sent to 30 nodes at four changes a second, still saturated a link of 10 Mbit/s.
        start: First position that the message covers; a receiver whose position is lower has missed
            a message.
        age_ms: How long ago the store may have confirmed that the topic ends at ``position``, in
            milliseconds; `NOT_CONFIRMED` if that is unknown.
        asked_ms: Time of the question by the receiver's clock; `NOT_ASKED` without one.
        certain_ms: How long ago the topic certainly ended at ``position``, in milliseconds.
    """

    topic: str
    records: tuple[tuple[str, bytes, int], ...]
    position: int
    bases: tuple[int, ...] = ()
    start: int = UNKNOWN_START
    age_ms: int = NOT_CONFIRMED
    asked_ms: int = NOT_ASKED
    certain_ms: int = NOT_CONFIRMED


@message_codec.register("h-ask")
@frozen
class EntriesRequest:
    """Requests the entries that are newer than the sender's.

    Attributes:
        versions: Name, boot and revision of each entry that the sender holds in the buckets.
        buckets: Buckets of entries that are requested; empty for all.
    """

    versions: tuple[tuple[str, int, int], ...]
    buckets: tuple[int, ...] = ()


@message_codec.register("h-ent")
@frozen
class Entries:
    """Node entries; sent on a request or when an entry changes.

    Attributes:
        entries: The entries.
    """

    entries: tuple[NodeEntry, ...]


class GossipCore:
    """Anti-entropy between nodes: selects the peers and the state to exchange; has no sockets.

    Args:
        replicas: Replicas of topics by name.
        table: Entries of nodes.
        fanout: Selects peers.
        clock: Source of time.
        random: Source of random numbers.
        on_records: Called with the topic, the records that are new here, and the sender's address.
        on_entries: Called with the entries that another node has sent.
        rollouts: Returns the newest record of each rollout.
        confirmed_age_s: Returns how long ago the end of this node's replica of a topic was
            confirmed, None if it is not fresh.
        on_confirmed: Called with a topic and an age when another node confirms the end of this
            node's replica.
        for_new_node: Returns further messages for a node that has just started.
        trust: Tracks how recently the configuration was known to be the newest.
        versioned: Topic with the configuration, empty for none.
    """

    def __init__(
        self,
        *,
        replicas: Mapping[str, TopicReplica],
        table: NodeTable,
        fanout: Fanout,
        clock: Clock,
        random: Random,
        on_records: Callable[[str, Iterable[KeyedRecord], str], None],
        on_entries: Callable[[list[NodeEntry]], None],
        rollouts: Callable[[], tuple[RolloutRecord, ...]],
        confirmed_age_s: Callable[[str], float | None] = lambda topic: None,
        on_confirmed: Callable[[str, float], None] = lambda topic, age_s: None,
        for_new_node: Callable[[], list[Any]] = list,
        trust: ConfigTrust | None = None,
        versioned: str = "",
    ) -> None:
        self._trust = trust if trust is not None else ConfigTrust(clock)
        self._versioned = versioned
        self._fanout = fanout
        self._confirmed_age_s = confirmed_age_s
        self._on_confirmed = on_confirmed
        self._replicas = replicas
        self._table = table
        self._clock = clock
        self._random = random
        self._on_records = on_records
        self._on_entries = on_entries
        self._rollouts = rollouts
        self._for_new_node = for_new_node
        self._next_exchange_at = 0.0
        self._stale = True

    def on_tick(self, *, current: bool, young: bool = False) -> list[Send]:
        """Start an exchange when one is due.

        Args:
            current: Whether this node's replica of the operator topic is fresh.
            young: Whether this node started a moment ago and may lack many entries.
        """
        self._stale = not current
        now = self._clock.monotonic()
        if now < self._next_exchange_at:
            return []
        self._next_exchange_at = now + (
            EXCHANGE_INTERVAL_S if current and not young else STALE_EXCHANGE_INTERVAL_S
        )
        peers = self._fanout.exchange_peers(
            count=1 if current else STALE_PEERS,
            other_zone=not current or self._random.random() < OTHER_ZONE_SHARE,
        )
        return send_to(self._positions(wants_reply=True), peers)

    def announce(self, entry: NodeEntry) -> list[Send]:
        """Send an entry that has just changed to all nodes."""
        return self._fanout.to_all(Entries((entry,)))

    def join(self) -> list[Send]:
        """Request the state of a few nodes after a start."""
        peers = list(self._table.others())
        chosen = self._random.sample(peers, min(len(peers), JOIN_PEERS))
        return send_to(self._positions(wants_reply=True), chosen)

    def ask(self, address: str) -> Send:
        """Return the request for the state of a node that has no entry here."""
        return Send(address, evolve(self._positions(wants_reply=True), stale=True))

    @staticmethod
    def push(topic: str, page: KeyedPage, *, before: Mapping[str, KeyedRecord]) -> TopicRecords:
        """Return the message that forwards records to nodes that do not read the topic.

        Args:
            topic: Name of the topic.
            page: Records that this node has just applied.
            before: Records that this node held before; the other nodes most likely hold them too.
        """
        triples, bases = [], []
        for record in page.records:
            encoded, base = _encode_value(record, before.get(record.key))
            triples.append((record.key, encoded, record.position))
            bases.append(base)
        return TopicRecords(topic, tuple(triples), page.position, tuple(bases), page.start)

    def request_records(self, sender: str) -> Send:
        """Return the request for the records that this node lacks."""
        return Send(sender, evolve(self._positions(wants_reply=False), stale=True))

    def on_message(self, sender: str, message: Any) -> list[Send]:
        """Handle a message of another node.

        Raises:
            MessageRejected: If its content is damaged.
        """
        handler = _HANDLERS.get(type(message))
        return handler(self, sender, message) if handler is not None else []

    def _positions(self, *, wants_reply: bool) -> Positions:
        topics = tuple((name, replica.position) for name, replica in self._replicas.items())
        rollouts = tuple(
            (record.service, record.order_id, record.revision) for record in self._rollouts()
        )
        return Positions(
            topics,
            self._table.digest,
            self._stale,
            wants_reply,
            rollouts,
            self._table.digests,
            version=self._trust.version,
            checked=self._trust.checked,
            asked_ms=self._trust.now_ms(),
        )

    def _on_positions(self, sender: str, message: Positions) -> list[Send]:
        sends = self._remind(sender, message) + self._compare_versions(sender, message)
        # Rollouts come first, so that a node that starts knows which versions get no calls.
        known = {service: (order_id, revision) for service, order_id, revision in message.rollouts}
        for record in self._rollouts():
            if (record.order_id, record.revision) > known.get(record.service, (-1, -1)):
                sends.append(Send(sender, record))
        for topic, position in message.topics:
            replica = self._replicas.get(topic)
            if replica is not None and era_of(position) > replica.era:
                # The store has returned from a copy.
                return [*sends, self.request_records(sender)]
            if not message.stale or replica is None or replica.position < position:
                continue
            age_s = self._confirmed_age_s(topic)
            starts = not position and replica.known
            certain_ms = self._certain_ms(topic, message)
            if replica.position > position or age_s is not None or starts or certain_ms >= 0:
                sends += self._record_messages(sender, replica, position, age_s=age_s)
                last = evolve(sends[-1].message, asked_ms=message.asked_ms, certain_ms=certain_ms)
                sends[-1] = Send(sender, last)
        if not message.checked and message.wants_reply and message.digest == self._table.digest:
            sends.append(Send(sender, self._positions(wants_reply=False)))
        if message.digest != self._table.digest:
            buckets = self._table.differing_buckets(message.digests)
            sends.append(Send(sender, EntriesRequest(self._table.versions(buckets), buckets)))
            if message.wants_reply:
                sends.append(Send(sender, self._positions(wants_reply=False)))
        return sends

    def _certain_ms(self, topic: str, message: Positions) -> int:
        """Return the age of what is certain of a topic, `NOT_CONFIRMED` if nothing is."""
        if topic != self._versioned or message.asked_ms == NOT_ASKED:
            return NOT_CONFIRMED
        age_s = self._trust.age_s
        return math.ceil(age_s * 1000) if age_s < MAX_CERTAIN_S else NOT_CONFIRMED

    def _compare_versions(self, sender: str, message: Positions) -> list[Send]:
        """Return messages that give the newer configuration to the node that lacks it.

        Positions do not show that: a node that has read a copy of the store, or a late append, is
        at the same position with an older version.
        """
        replica = self._replicas.get(self._versioned)
        if message.version == UNKNOWN_VERSION or replica is None:
            return []
        self._trust.on_peer(message.version, checked=message.checked)
        position = dict(message.topics).get(self._versioned, 0)
        if message.version > self._trust.version:
            asks = message.wants_reply and position <= replica.position
            return [self.request_records(sender)] if asks else []
        if message.version == self._trust.version:
            return []
        records = [
            (record.key, compress(record.value), record.position)
            for record in replica.overtaken(position)
        ]
        if not records:
            return []
        covers_nothing = TopicRecords(replica.topic, tuple(records), position, start=position)
        return [Send(sender, covers_nothing)]

    def _remind(self, sender: str, message: Positions) -> list[Send]:
        """Return what a node that has just started must know before it takes calls.

        This is its last entry if its target had left, and what other parts of the node add. The
        messages precede the records, without which the node takes no calls for its target.
        """
        if any(position for _, position in message.topics):
            return []
        messages = self._for_new_node()
        known = self._table.at(sender)
        if known is not None and known.left:
            messages.append(Entries((known,)))
        return [Send(sender, message) for message in messages]

    @staticmethod
    def _record_messages(
        to: str, replica: TopicReplica, position: int, *, age_s: float | None = None
    ) -> list[Send]:
        """Return messages with the records from a position on; each starts where the last ends.

        Args:
            to: Address of the receiver.
            replica: The replica.
            position: First position that the receiver does not cover.
            age_s: Age of the confirmation of the replica's end, None if it is not fresh.
        """
        page = replica.since(position)
        sends: list[Send] = []
        batch: list[tuple[str, bytes, int]] = []
        start, size = position, 0

        def flush(end: int, age_ms: int = NOT_CONFIRMED) -> None:
            nonlocal batch, start, size
            records = TopicRecords(replica.topic, tuple(batch), end, start=start, age_ms=age_ms)
            sends.append(Send(to, records))
            batch, start, size = [], end, 0

        for record in page.records:
            value = compress(record.value)
            if batch and size + len(value) > MAX_RECORDS_BYTES:
                flush(min(batch[-1][2] + 1, page.position))
            batch.append((record.key, value, record.position))
            size += len(value)
        flush(page.position, NOT_CONFIRMED if age_s is None else round(age_s * 1000))
        return sends

    def _on_topic_records(self, sender: str, message: TopicRecords) -> list[Send]:
        replica = self._replicas.get(message.topic)
        if replica is None:
            return []
        bases = message.bases or (NO_BASE,) * len(message.records)
        if len(bases) != len(message.records):
            raise MessageRejected(DAMAGED)
        records = []
        for (key, encoded, position), base in zip(message.records, bases, strict=True):
            known = replica.record(key)
            if known is not None and self._is_not_newer(message.topic, known, position, base):
                continue
            value = decompress(encoded) if base == NO_BASE else _from_delta(known, base, encoded)
            if base != NO_BASE and value is None:
                return [self.request_records(sender)]  # The base of the delta is missing here.
            records.append(KeyedRecord(key, value, position))
        has_start = message.start != UNKNOWN_START
        start = message.start if has_start else message.position
        changed = replica.apply(KeyedPage(tuple(records), message.position, start=start))
        if changed:
            self._on_records(message.topic, changed, sender)
        if has_start and replica.position < message.position:
            return [self.request_records(sender)]  # An earlier message was lost.
        same_era = replica.era == era_of(message.position)
        if message.age_ms != NOT_CONFIRMED and same_era and replica.position >= message.position:
            self._on_confirmed(message.topic, message.age_ms / 1000)
        certain = message.certain_ms != NOT_CONFIRMED and message.topic == self._versioned
        if certain and same_era and replica.position >= message.position:
            self._trust.on_answer(message.asked_ms, message.certain_ms)
        return []

    def _is_not_newer(self, topic: str, known: KeyedRecord, position: int, base: int) -> bool:
        """Return whether a record is not worth decoding; only a version counts more than order."""
        if topic == self._versioned and base == NO_BASE:
            return known.position == position
        return known.position >= position

    def _on_entries_request(self, sender: str, message: EntriesRequest) -> list[Send]:
        buckets = message.buckets or range(DIGEST_BUCKETS)
        newer = self._table.newer_than(message.versions, buckets)
        return [Send(sender, Entries(newer))] if newer else []

    def _on_entries_message(self, _: str, message: Entries) -> list[Send]:
        self._on_entries(list(message.entries))
        return []


def _encode_value(record: KeyedRecord, base: KeyedRecord | None) -> tuple[bytes, int]:
    """Return a compressed value or delta, and the position of the delta's base or `NO_BASE`."""
    full = compress(record.value)
    if len(full) < MIN_DELTA_BYTES or not record.value or base is None or not base.value:
        return full, NO_BASE
    delta = make_delta(base.value, record.value)
    return (delta, base.position) if len(delta) < len(full) else (full, NO_BASE)


def _from_delta(known: KeyedRecord | None, base: int, delta: bytes) -> bytes | None:
    if known is None or known.position != base or known.value is None:
        return None
    return apply_delta(known.value, delta)


_HANDLERS: dict[type[Any], Callable[[GossipCore, str, Any], list[Send]]] = {
    Positions: GossipCore._on_positions,
    TopicRecords: GossipCore._on_topic_records,
    EntriesRequest: GossipCore._on_entries_request,
    Entries: GossipCore._on_entries_message,
}
