"""Deltas between values, and their delivery to nodes that hold the older value."""

from __future__ import annotations

import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from citronrack.clock import ManualClock
from citronrack.errors import MessageRejected
from citronrack.hosted.delta import apply_delta, compress, decompress, make_delta
from citronrack.hosted.gossip import GossipCore, Positions, TopicRecords
from citronrack.hosted.replica import TopicReplica
from citronrack.hosted.store import KeyedPage, KeyedRecord

from .mesh import make_gossip

TOPIC = "operator"
ROWS = 800
ZONE_NODES = 30
CHANGES_PER_S = 4
LINK_BYTES_PER_S = 10e6 / 8


def value(version: int, *, changed: int = 0) -> bytes:
    """Return a configuration in which one row contains the version."""
    rows = [[f"r{i}", f"h{i}.example", f"/p{i * 7919}/", "1s"] for i in range(ROWS)]
    rows[changed][3] = f"{version}ms"
    return json.dumps({"version": version, "routes": {"rows": rows}}).encode()


class DeltaTest(unittest.TestCase):
    """Values that are rebuilt from an older one."""

    @settings(max_examples=100, derandomize=True, deadline=None)
    @given(
        st.lists(st.sampled_from([b"[1", b"[2", b"", b"x"]), max_size=12),
        st.lists(st.sampled_from([b"[1", b"[2", b"", b"y"]), max_size=12),
    )
    def test_every_value_is_rebuilt(self, old: list[bytes], new: list[bytes]) -> None:
        """Guards against a delta that loses, repeats or reorders rows."""
        first, second = b"],".join(old), b"],".join(new)
        self.assertEqual(apply_delta(first, make_delta(first, second)), second)

    def test_other_base_is_noticed(self) -> None:
        """Guards against applying a delta to another base than the sender's."""
        delta = make_delta(value(1), value(2, changed=5))
        self.assertIsNone(apply_delta(value(3, changed=9), delta))

    def test_damaged_delta_is_refused(self) -> None:
        """Guards against a damaged message that terminates the receiving task."""
        for delta in (b"\x00", compress(b"\xc1"), compress(b"\x93\x01\x02\x03"), b""):
            with self.subTest(delta), self.assertRaises(MessageRejected):
                apply_delta(value(1), delta)
        with self.assertRaises(MessageRejected):
            decompress(b"\x01")


class PushTest(unittest.TestCase):
    """Records that a reader forwards."""

    def setUp(self) -> None:
        """Create a reader and another node that hold the same record."""
        self.reader, self.other = TopicReplica(TOPIC, clock=ManualClock()), TopicReplica(
            TOPIC, clock=ManualClock()
        )
        for replica in (self.reader, self.other):
            replica.apply(KeyedPage((KeyedRecord("config", value(1), 1),), 2))
        self.gossip = make_gossip(self.other, ManualClock())

    def push(self, version: int) -> TopicRecords:
        """Return the message that the reader sends after a change."""
        before, start = self.reader.records(), self.reader.position
        record = KeyedRecord("config", value(version, changed=version), version)
        self.reader.apply(KeyedPage((record,), version + 1, start=start))
        return GossipCore.push(TOPIC, self.reader.since(start), before=before)

    def test_changes_fit_a_slow_link(self) -> None:
        """Guards against saturating a reader's link with changes of one row.

        Four changes a second, sent to the 30 nodes of a zone, delayed calls by more than a second
        on a link of 10 Mbit/s.
        """
        push = self.push(2)
        sent = sum(len(compressed) for _, compressed, _ in push.records)
        self.assertLess(sent * ZONE_NODES * CHANGES_PER_S, 0.1 * LINK_BYTES_PER_S)
        self.assertEqual(self.gossip.on_message("tcp://r", push), [])
        self.assertEqual(self.other.value("config"), value(2, changed=2))
        self.assertEqual(self.other.position, 3)

    def test_node_without_the_base_requests_records(self) -> None:
        """Guards against a node that misses one change and cannot apply later deltas."""
        self.push(2)
        requests = self.gossip.on_message("tcp://r", self.push(3))
        self.assertEqual(self.other.position, 2)
        self.assertEqual([send.to for send in requests], ["tcp://r"])
        request = requests[0].message
        assert isinstance(request, Positions)
        for send in make_gossip(self.reader, ManualClock()).on_message("tcp://n", request):
            self.gossip.on_message("tcp://r", send.message)
        self.assertEqual(self.other.value("config"), value(3, changed=3))
        self.assertEqual(self.other.position, 4)

    def test_message_without_bases_holds_full_values(self) -> None:
        """Guards against a node that does not understand messages of the previous release."""
        message = TopicRecords(TOPIC, (("config", compress(value(2)), 2),), 3)
        self.gossip.on_message("tcp://r", message)
        self.assertEqual(self.other.value("config"), value(2))
