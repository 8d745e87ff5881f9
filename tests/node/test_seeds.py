"""The log always lists addresses at which a starting node can meet its zone."""

from __future__ import annotations

import unittest

import attrs

from citronrack.clock import ManualClock
from citronrack.node.seeds import LISTED_ADDRESSES, WRITE_INTERVAL_S, SeedListWriter
from tests.node.test_views import MEMBER

RANKING = [attrs.evolve(MEMBER, name=f"a-{i}", address=f"tcp://127.0.0.1:{i}") for i in range(1, 9)]


class SeedListWriterTest(unittest.TestCase):
    """Guards against a stale list and against a record for each change of membership."""

    def test_writes_only_when_the_list_is_of_little_use(self) -> None:
        """Fails if a stale list stays, or appends follow each change."""
        clock = ManualClock()
        keeper = SeedListWriter(availability_zone="a", clock=clock)
        self.assertIsNone(keeper.due((), RANKING))
        clock.advance(WRITE_INTERVAL_S)
        due = keeper.due((), RANKING)
        assert due is not None
        self.assertEqual(due.addresses, tuple(m.address for m in RANKING[:LISTED_ADDRESSES]))
        self.assertIsNone(keeper.due((), RANKING))
        clock.advance(WRITE_INTERVAL_S)
        self.assertIsNone(keeper.due(due.addresses, RANKING[3:]))
        self.assertIsNotNone(keeper.due(due.addresses, RANKING[4:]))
