"""The seed list in the log, through which starting nodes join their zone."""

from __future__ import annotations

import unittest

import attrs

from citronrack.clock import ManualClock
from citronrack.node.seeds import LISTED_ADDRESSES, WRITE_INTERVAL_S, SeedListWriter
from tests.node.test_views import MEMBER

RANKING = [attrs.evolve(MEMBER, name=f"a-{i}", address=f"tcp://127.0.0.1:{i}") for i in range(1, 9)]


class SeedListWriterTest(unittest.TestCase):
    """Guards against a stale list, and against a record per membership change."""

    def test_writes_only_when_too_few_addresses_are_live(self) -> None:
        """Fails if a stale list is not replaced, or each membership change appends a list."""
        clock = ManualClock()
        writer = SeedListWriter(availability_zone="a", clock=clock)
        self.assertIsNone(writer.due((), RANKING))
        clock.advance(WRITE_INTERVAL_S)
        due = writer.due((), RANKING)
        assert due is not None
        self.assertEqual(due.addresses, tuple(m.address for m in RANKING[:LISTED_ADDRESSES]))
        self.assertIsNone(writer.due((), RANKING))
        clock.advance(WRITE_INTERVAL_S)
        self.assertIsNone(writer.due(due.addresses, RANKING[3:]))
        self.assertIsNotNone(writer.due(due.addresses, RANKING[4:]))
