"""Merging evidence is independent of order and repetition, and its memory is bounded."""

from __future__ import annotations

import unittest
from functools import reduce
from random import Random

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from citronrack.moves.evidence import (
    KEPT_BUCKETS,
    Counts,
    EvidenceCell,
    EvidenceStore,
    Side,
    Source,
)

SOURCES = [Source(node, "1", "m", "r", side) for node in "ab" for side in (Side.OLD, Side.NEW)]
counts = st.builds(Counts, *(st.integers(0, 50) for _ in range(5)))
cells = st.builds(EvidenceCell, st.sampled_from(SOURCES), st.integers(100, 103), counts)


def copied(cell: EvidenceCell) -> EvidenceCell:
    """Return the cell with its own counters, like one from a decoded message."""
    return attrs.evolve(cell, counts=attrs.evolve(cell.counts))


def content(store: EvidenceStore) -> dict[tuple[Source, int], Counts]:
    """Return all cells of a store."""
    return {(s, b): c for b in range(100, 104) for s, c in store.cells(b)}


class EvidenceTest(unittest.TestCase):
    """Guards against lost, double-counted or unbounded evidence."""

    @settings(max_examples=60, derandomize=True, deadline=None)
    @given(st.lists(cells, max_size=12), st.randoms(use_true_random=False))
    def test_merge_is_independent_of_order_and_repetition(
        self, known: list[EvidenceCell], random: Random
    ) -> None:
        """Fails if two evaluating nodes with the same messages could have different evidence."""
        one, other = EvidenceStore(), EvidenceStore()
        one.merge(map(copied, known), now_bucket=103)
        shuffled = [*known, *random.sample(known, len(known) // 2)]
        random.shuffle(shuffled)
        for cell in shuffled:
            other.merge([copied(cell)], now_bucket=103)
        self.assertEqual(content(one), content(other))

    @settings(max_examples=100, derandomize=True, deadline=None)
    @given(counts, counts, counts)
    def test_cell_merge_is_a_maximum(self, a: Counts, b: Counts, c: Counts) -> None:
        """Fails if merging were not idempotent, commutative and associative."""
        x, y, z = (EvidenceCell(SOURCES[0], 1, k) for k in (a, b, c))
        self.assertEqual(x.merged(x), x)
        self.assertEqual(x.merged(y), y.merged(x))
        self.assertEqual(x.merged(y).merged(z), x.merged(y.merged(z)))
        self.assertEqual(
            reduce(EvidenceCell.merged, [x, y, z, x]).counts.calls, max(a.calls, b.calls, c.calls)
        )

    def test_repeated_message_after_folding_counts_once(self) -> None:
        """Fails if a late copy of a folded bucket were added to the total again."""
        store = EvidenceStore()
        cell = EvidenceCell(SOURCES[1], 100, Counts(calls=7))
        for now in (100, 100 + KEPT_BUCKETS, 101 + KEPT_BUCKETS):
            store.merge([copied(cell)], now_bucket=now)
            store.fold(now_bucket=now)
        self.assertEqual(store.total("m", Side.NEW).calls, 7)

    def test_number_of_cells_is_bounded(self) -> None:
        """Fails if a peer could make the memory of this node grow without bound."""
        store = EvidenceStore(max_cells=50)
        for bucket in range(100, 140):
            sources = [Source(f"n{i}", "1", "m", "r", Side.NEW) for i in range(80)]
            store.merge(
                (EvidenceCell(s, bucket, Counts(calls=1)) for s in sources), now_bucket=bucket
            )
            store.fold(now_bucket=bucket)
            self.assertLessEqual(len(store), 50)
        future = EvidenceCell(SOURCES[0], 10_000, Counts(calls=1))
        store.merge([future], now_bucket=140)
        self.assertEqual(store.in_bucket(10_000, "m", Side.OLD).calls, 0)
