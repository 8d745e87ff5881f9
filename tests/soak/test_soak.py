"""Short soaks for CI: a fixed seed, and every seed that has failed before."""

from __future__ import annotations

import unittest
from pathlib import Path

from .run import Soak

SEEDS = Path(__file__).with_name("seeds.txt")
SHORT_SEED = 7
SECONDS = 6.0


def failed_seeds() -> list[int]:
    """Return the seeds of the list."""
    lines = SEEDS.read_text(encoding="utf-8").splitlines()
    return [int(line.split()[0]) for line in lines if line and not line.startswith("#")]


class SoakTest(unittest.TestCase):
    """Guarantees under overlapping faults."""

    def test_guarantees_hold_under_faults(self) -> None:
        """Fails if a guarantee is violated while several parts fail at once."""
        for seed in [SHORT_SEED, *failed_seeds()]:
            with self.subTest(seed=seed):
                soak = Soak(seed=seed, seconds=SECONDS)
                self.assertEqual(soak.run(), [])
                self.assertGreater(sum(sent.status == 200 for sent in soak.sent), 100)
