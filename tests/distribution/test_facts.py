"""Facts are merged in any order, within bounds."""

from __future__ import annotations

import unittest
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from citronrack.distribution import Fact, FactStore, RecordStore
from citronrack.distribution.facts import MARK_RESERVE_BYTES, MAX_BYTES
from citronrack.distribution.store import EARLY_BYTES, KEPT_BYTES

facts = st.lists(
    st.builds(Fact, st.sampled_from("abcd"), st.integers(0, 3), st.binary(max_size=2)), max_size=12
)


class FactStoreTest(unittest.TestCase):
    """Guards against stores that never become equal, and marks that get lost."""

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(facts, st.integers(0, 1000))
    def test_merge_needs_no_order(self, some: list[Fact], seed: int) -> None:
        """Fails if order or repetition of merges changes the result or its digest."""
        one, other = FactStore(), FactStore()
        one.merge(some)
        shuffled = some * 2
        Random(seed).shuffle(shuffled)
        other.merge(shuffled)
        self.assertEqual(set(one.items()), set(other.items()))
        self.assertEqual(one.digest, other.digest)
        self.assertEqual(one.merge(some), [])

    def test_full_store_refuses_progress_but_no_mark(self) -> None:
        """Fails if the store grows beyond its bound, or a mark finds no place."""
        store = FactStore()
        accepted = [store.put(f"step/{number}", 1, bytes(1000)) for number in range(100)]
        self.assertFalse(accepted[-1])
        self.assertLessEqual(store.size_bytes, MAX_BYTES - MARK_RESERVE_BYTES)
        self.assertTrue(all(store.put(f"mark/{n}", 1, bytes(100)) for n in range(100)))
        self.assertLessEqual(store.size_bytes, MAX_BYTES)

    def test_pruned_facts_do_not_come_back(self) -> None:
        """Fails if a peer that has not pruned yet brings a decided entry back."""
        store = FactStore()
        store.put("mark/a", 1, b"x")
        kept = store.items()
        self.assertEqual(store.prune(lambda fact: True), 1)
        self.assertEqual(store.merge(kept), [])
        self.assertEqual(store.digest, FactStore().digest)
        self.assertTrue(store.put("mark/a", 2, b"x"))


class RecordStoreTest(unittest.TestCase):
    """Guards against memory that grows with the size of records."""

    def test_memory_is_bounded_in_bytes(self) -> None:
        """Fails if many big records, in order or early, are all kept."""
        store = RecordStore(0)
        big = bytes(100_000)
        for offset in range(100):
            store.offer(offset, big)
            store.offer(offset + 300, big)
        self.assertLessEqual(store.size_bytes, KEPT_BYTES + EARLY_BYTES)
        self.assertEqual(store.next, 100)
        self.assertEqual(len(store.page(store.first)), 1)


if __name__ == "__main__":
    unittest.main()
