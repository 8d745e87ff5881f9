"""Baselines for comparison: rates of the old version and of routes that take part in no move."""

from __future__ import annotations

import math

from attrs import define, field, frozen

from .evidence import Counts
from .sequential import CallSample

KINDS = ("failures", "slow")
BASELINE_MIN_CALLS = 200
BASELINE_SIGMAS = 3.0  # the true rate exceeds the bound with a probability of about 1 in 1,000
MAX_BASELINE_RATE = 0.5
OVERLOAD_FACTOR = 1.5
OVERLOAD_MIN_BUCKETS = 5
SHARED_FAULT_SIGMAS = 2.5
SHARED_FAULT_MIN_EXCESS = 1.0  # bad calls; one failure in a quiet bucket is not a shared fault


def call_sample(counts: Counts, kind: str) -> CallSample:
    """Return the calls of a cell and how many of them were bad in one way.

    Args:
        counts: Counters of the cell.
        kind: One of `KINDS`.
    """
    return CallSample(counts.calls, getattr(counts, kind))


@frozen
class RateIncrease:
    """How far the rate of bad calls on the other routes is above its baseline.

    Attributes:
        factor: Current rate divided by the baseline rate, at least 1.
        difference: Difference of the two rates, at least 0.
    """

    factor: float = 1.0
    difference: float = 0.0


@define
class Baseline:
    """Rate of bad calls of the old version or of the other routes, outside of shared faults."""

    calls: int = 0
    bad_calls: int = 0

    def add(self, old: CallSample) -> None:
        """Add a bucket."""
        self.calls += old.calls
        self.bad_calls += old.bad_calls

    def bound(self, rate_increase: RateIncrease) -> float | None:
        """Return an upper bound of the old version's rate under the current conditions.

        Args:
            rate_increase: Increase on the other routes in the same bucket.

        Returns:
            The bound, or None when the old version has had too few calls.
        """
        if self.calls < BASELINE_MIN_CALLS:
            return None
        rate = (self.bad_calls + BASELINE_SIGMAS * math.sqrt(self.bad_calls + 1) + 1) / self.calls
        return min(
            max(rate * rate_increase.factor, rate + rate_increase.difference), MAX_BASELINE_RATE
        )


@define
class SharedFaultDetector:
    """Detects faults that also affect routes without a move, and so are not the new version's."""

    _baselines: dict[str, Baseline] = field(
        factory=lambda: {kind: Baseline() for kind in KINDS}, init=False
    )

    def detect(self, other: Counts) -> bool:
        """Whether a bucket shows a shared fault; otherwise it is added to the baseline."""
        has_fault = any(self._exceeds_baseline(kind, call_sample(other, kind)) for kind in KINDS)
        if not has_fault:
            for kind in KINDS:
                self._baselines[kind].add(call_sample(other, kind))
        return has_fault

    def rate_increase(self, other: Counts, kind: str) -> RateIncrease:
        """Return how far the rate of a bucket is above the baseline."""
        current, baseline = call_sample(other, kind), self._baselines[kind]
        if not current.calls or not baseline.calls:
            return RateIncrease()
        rate = baseline.bad_calls / baseline.calls
        factor = (current.bad_calls + 1) / (current.calls * rate + 1)
        return RateIncrease(max(factor, 1.0), max(current.bad_calls / current.calls - rate, 0.0))

    def _exceeds_baseline(self, kind: str, current: CallSample) -> bool:
        baseline = self._baselines[kind]
        if baseline.calls < BASELINE_MIN_CALLS:
            return False
        expected = current.calls * (baseline.bad_calls + 1) / baseline.calls
        return (
            current.bad_calls
            > expected + SHARED_FAULT_SIGMAS * math.sqrt(expected) + SHARED_FAULT_MIN_EXCESS
        )


@define
class OverloadDetector:
    """Detects an overload by the number of calls on the routes with a move."""

    _calls: int = field(default=0, init=False)
    _buckets: int = field(default=0, init=False)

    def detect(self, calls: int) -> bool:
        """Whether a bucket has far more calls than the mean; otherwise it is added to the mean."""
        has_mean = self._buckets >= OVERLOAD_MIN_BUCKETS
        if has_mean and calls > OVERLOAD_FACTOR * self._calls / self._buckets:
            return True
        self._calls += calls
        self._buckets += 1
        return False
