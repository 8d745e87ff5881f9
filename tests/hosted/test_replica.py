"""Replicas of topics."""

from __future__ import annotations

import unittest

from citronrack.clock import ManualClock
from citronrack.hosted.replica import TopicReplica
from citronrack.hosted.store import KeyedPage, KeyedRecord


def page(*records: tuple[str, bytes | None, int], position: int) -> KeyedPage:
    """Return a page of key, value and offset."""
    return KeyedPage(tuple(KeyedRecord(*record) for record in records), position)


class TopicReplicaTest(unittest.TestCase):
    """Pages of the store and of other nodes, in any order."""

    def test_older_records_do_not_replace_newer_ones(self) -> None:
        """Guards against a late page that replaces a configuration with an older one."""
        replica = TopicReplica("t", clock=ManualClock())
        replica.apply(page(("a", b"new", 7), position=8))
        self.assertEqual(replica.apply(page(("a", b"old", 3), position=4)), [])
        self.assertEqual((replica.value("a"), replica.position), (b"new", 8))

    def test_full_page_removes_missing_keys(self) -> None:
        """Guards against removed keys that remain after the store has dropped its history."""
        replica = TopicReplica("t", clock=ManualClock())
        replica.apply(page(("a", b"1", 1), ("b", b"2", 2), position=3))
        changed = replica.replace(page(("b", b"2", 2), position=9))
        self.assertEqual([(record.key, record.value) for record in changed], [("a", None)])
        self.assertIsNone(replica.value("a"))

    def test_page_with_unreadable_records_removes_nothing(self) -> None:
        """Guards against losing a key because its record could not be read this time."""
        replica = TopicReplica("t", clock=ManualClock())
        replica.apply(page(("a", b"1", 1), position=2))
        replica.replace(KeyedPage((), 9, unreadable=1))
        self.assertEqual(replica.value("a"), b"1")

    def test_full_page_keeps_newer_records(self) -> None:
        """Guards against a slow read that overwrites records forwarded by another node."""
        replica = TopicReplica("t", clock=ManualClock())
        replica.apply(page(("a", b"1", 12), position=13))
        replica.replace(page(position=9))
        self.assertEqual(replica.value("a"), b"1")

    def test_replicas_converge(self) -> None:
        """Guards against a node without the store that misses a record or a removal."""
        source, cut = TopicReplica("t", clock=ManualClock()), TopicReplica("t", clock=ManualClock())
        source.apply(page(("a", b"1", 0), ("b", b"2", 1), ("a", None, 2), position=3))
        cut.apply(page(("a", b"1", 0), position=1))
        cut.apply(source.since(cut.position))
        self.assertEqual((cut.value("a"), cut.value("b")), (None, b"2"))
        self.assertEqual(cut.position, source.position)

    def test_position_stays_before_a_gap(self) -> None:
        """Guards against a replica that advances its position past a lost record."""
        replica = TopicReplica("t", clock=ManualClock())
        replica.apply(page(("a", b"1", 0), position=1))
        late = KeyedPage((KeyedRecord("b", b"2", 2),), 3, start=2)
        self.assertEqual([record.key for record in replica.apply(late)], ["b"])
        self.assertEqual((replica.value("b"), replica.position), (b"2", 1))
        replica.apply(KeyedPage((KeyedRecord("a", b"3", 1),), 3, start=1))
        self.assertEqual((replica.value("a"), replica.position), (b"3", 3))
