"""Retry budgets of services, with many nodes and sliding windows."""

from __future__ import annotations

import unittest
from collections.abc import Iterable, Iterator

import numpy as np
import numpy.typing as npt

from citronrack.calls.budget import RetryBudgets

WINDOW_S = 10.0
RATIO = 0.2
SLACK = 430.0
SHARE = 0.5
"""Fraction of the allowed retries that the nodes use; the rest covers repeated nested calls."""


def largest_excess(calls: Iterable[float], retries: Iterable[float]) -> float:
    """Return the largest number of retries beyond the allowance in any sliding window.

    The calls are counted in that window, the one before it or the one half a window before it,
    whichever has most.
    """
    call_times, ends = np.sort(list(calls)), np.sort(list(retries))
    in_window = count_in_windows(ends, ends)
    calls_in = np.max(
        [count_in_windows(call_times, ends - back * WINDOW_S) for back in (0.0, 0.5, 1.0)], axis=0
    )
    return float(np.max(in_window - SHARE * (RATIO * calls_in + SLACK), initial=-SLACK))


def count_in_windows(
    times: npt.NDArray[np.float64], ends: npt.NDArray[np.float64]
) -> npt.NDArray[np.int64]:
    """Return how many of the sorted times lie in the windows with these ends."""
    return np.searchsorted(times, ends, side="right") - np.searchsorted(
        times, ends - WINDOW_S, side="right"
    )


class RetryBudgetsTest(unittest.TestCase):
    """How many retries all nodes together send to one service."""

    def test_calls_to_one_service_do_not_pay_for_retries_at_another(self) -> None:
        """Guards against a failing service that gets retries for the traffic of all others."""
        budgets = RetryBudgets(ratio=0.1)
        budgets.set_burst(2.0)
        for index in range(1_000):
            budgets.record_call("schedules", index / 1_000)
            if index % 10 == 0:
                budgets.record_call("routing", index / 1_000)
        retries = sum(budgets.try_withdraw("routing", 1.0) for _ in range(100))
        self.assertLessEqual(retries, 0.1 * 100 + 2)
        self.assertGreaterEqual(retries, 2)

    def test_allowance_holds_over_every_window_with_uneven_traffic(self) -> None:
        """Guards against 195 nodes that exceed the allowance together, or leave it unused.

        A tenth of the nodes has ten times the traffic of the others. All calls fail from the fifth
        second on, and every failure asks for a retry.
        """
        random = np.random.default_rng(7)
        nodes = 195
        rates = [50.0 if index % 10 == 0 else 5.0 for index in range(nodes)]
        calls, retries = [], []
        for rate in rates:
            budgets = RetryBudgets(ratio=SHARE * RATIO)
            budgets.set_burst(SHARE * SLACK / nodes)
            for at in self.arrivals(random, rate, 20.0):
                budgets.record_call("catalogue", at)
                calls.append(at)
                if at >= 5.0 and budgets.try_withdraw("catalogue", at):
                    retries.append(at)
        # Each node counts its own calls, so it may be off by a part of a retry.
        self.assertLessEqual(largest_excess(calls, retries), nodes)
        failing = sum(at >= 5.0 for at in calls)
        self.assertGreater(len(retries), 0.9 * SHARE * RATIO * failing)

    def test_short_failure_uses_what_the_seconds_before_left(self) -> None:
        """Guards against a node whose calls fail in a clump while its allowance lies unused."""
        budgets = RetryBudgets(ratio=0.1)
        budgets.set_burst(1.1)
        for index in range(100):
            budgets.record_call("catalogue", index / 10)
        retries = sum(budgets.try_withdraw("catalogue", 10.0) for _ in range(5))
        self.assertEqual(retries, 5)

    def test_unused_allowance_is_forgotten(self) -> None:
        """Guards against retries that are paid for by calls of a window long past."""
        budgets = RetryBudgets(ratio=0.1)
        budgets.set_burst(1.0)
        for index in range(1_000):
            budgets.record_call("catalogue", index / 1_000)
        retries = sum(budgets.try_withdraw("catalogue", 2.0 + WINDOW_S) for _ in range(100))
        self.assertLessEqual(retries, 1)

    @staticmethod
    def arrivals(random: np.random.Generator, rate: float, seconds: float) -> Iterator[float]:
        """Yield the times of a Poisson process."""
        at = 0.0
        while (at := at + random.exponential(1 / rate)) < seconds:
            yield at
