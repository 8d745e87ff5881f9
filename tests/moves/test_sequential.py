"""The sequential test finds bad versions and leaves good ones alone."""

from __future__ import annotations

import unittest
from random import Random

from citronrack.bench.moves_alarm import ALPHAS, MAX_FACTOR, ODDS, SETTINGS, highest_value
from citronrack.moves.sequential import CallSample, PairedStratum, SequentialTest

RUNS = 60


def make_test() -> SequentialTest:
    """Return a test with usual settings."""
    return SequentialTest(odds=ODDS, buckets=180, max_factor=MAX_FACTOR)


class SequentialTestTest(unittest.TestCase):
    """Guards against false alarms above alpha and against faults that are never found."""

    def test_equal_sides_reach_the_threshold_rarely(self) -> None:
        """Fails if looking after each bucket raised the false-alarm rate above alpha."""
        for setting in SETTINGS:
            random = Random(setting.name)
            values = [highest_value(setting, random) for _ in range(RUNS)]
            alpha = ALPHAS[0]
            with self.subTest(setting.name):
                self.assertLessEqual(sum(v >= 1 / alpha for v in values) / RUNS, alpha)

    def test_one_bucket_alone_does_not_convict(self) -> None:
        """Fails if the edge of a shared fault, seen by clocks that differ, marked a version."""
        test = make_test()
        test.add([PairedStratum(CallSample(50, 50), CallSample(1_000, 0))])
        self.assertLess(test.value, MAX_FACTOR)

    def test_late_fault_is_found_in_spite_of_a_long_good_time(self) -> None:
        """Fails if failures of a good time outweighed a fault that begins later."""
        test = make_test()
        for _ in range(150):
            test.add([PairedStratum(CallSample(50, 0), CallSample(150, 3))])
        self.assertLess(test.value, 1)
        for _ in range(4):
            test.add([PairedStratum(CallSample(50, 10), CallSample(150, 3))])
        self.assertGreater(test.value, 10_000)

    def test_routes_with_different_rates_and_shares_are_not_mixed(self) -> None:
        """Fails if a failing route with a large share made equal sides look different."""
        test = make_test()
        for _ in range(100):
            failing = PairedStratum(CallSample(100, 10), CallSample(100, 10))
            sound = PairedStratum(CallSample(50, 0), CallSample(950, 0))
            test.add([failing, sound])
        self.assertLess(test.value, 2)

    def test_bad_old_version_does_not_convict_the_new_one(self) -> None:
        """Fails if the move away from a failing version were taken back."""
        test = make_test()
        for _ in range(50):
            test.add([PairedStratum(CallSample(50, 0), CallSample(150, 40))])
        self.assertLess(test.value, 1)
