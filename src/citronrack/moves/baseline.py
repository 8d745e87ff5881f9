"""What is usual: the old version's rates, and those of routes that take part in no move."""

from __future__ import annotations

import math

from attrs import define, field, frozen

from .evidence import Counts
from .sequential import CallSample

KINDS = ("failures", "slow")
BASELINE_MIN_CALLS = 200
BASELINE_SIGMAS = 3.0  # a true rate above the bound has a chance of about 1 in 1,000
MAX_BASELINE_RATE = 0.5
OVERLOAD_FACTOR = 1.5
OVERLOAD_MIN_BUCKETS = 5
SHARED_FAULT_SIGMAS = 2.5
SHARED_FAULT_MIN_EXCESS = 1.0  # hits; a single failure in a quiet bucket is no shared fault


def call_sample(counts: Counts, kind: str) -> CallSample:
    """Return the calls of a cell and its hits of one kind."""
    return CallSample(counts.calls, getattr(counts, kind))


@frozen
class RateIncrease:
    """How much more often than usual the other routes are hit.

    Attributes:
        factor: Present rate divided by the usual one, at least 1.
        extra: Difference of the two rates, at least 0.
    """

    factor: float = 1.0
    extra: float = 0.0


@define
class Baseline:
    """Rate of hits of the old version while it had calls."""

    calls: int = 0
    hits: int = 0

    def learn(self, old: CallSample) -> None:
        """Add a bucket."""
        self.calls += old.calls
        self.hits += old.hits

    def bound(self, rate_increase: RateIncrease) -> float | None:
        """Return an upper bound of the old version's rate under the present conditions.

        Args:
            rise: What the other routes show in the same bucket.

        Returns:
            The bound, or None when the old version was seen too little.
        """
        if self.calls < BASELINE_MIN_CALLS:
            return None
        rate = (self.hits + BASELINE_SIGMAS * math.sqrt(self.hits + 1) + 1) / self.calls
        return min(max(rate * rate_increase.factor, rate + rate_increase.extra), MAX_BASELINE_RATE)


@define
class SharedFaultDetector:
    """Watches the routes without a move, to tell a shared fault from a bad version."""

    _usual: dict[str, Baseline] = field(
        factory=lambda: {kind: Baseline() for kind in KINDS}, init=False
    )

    def has_shared_fault(self, other: Counts) -> bool:
        """Whether a bucket shows a shared fault; learns from it when it does not."""
        hit = any(self._is_unusual(kind, call_sample(other, kind)) for kind in KINDS)
        if not hit:
            for kind in KINDS:
                self._usual[kind].learn(call_sample(other, kind))
        return hit

    def rate_increase(self, other: Counts, kind: str) -> RateIncrease:
        """Return how far a bucket is above the usual rate."""
        now, usual = call_sample(other, kind), self._usual[kind]
        if not now.calls or not usual.calls:
            return RateIncrease()
        rate = usual.hits / usual.calls
        factor = (now.hits + 1) / (now.calls * rate + 1)
        return RateIncrease(max(factor, 1.0), max(now.hits / now.calls - rate, 0.0))

    def _is_unusual(self, kind: str, now: CallSample) -> bool:
        usual = self._usual[kind]
        if usual.calls < BASELINE_MIN_CALLS:
            return False
        expected = now.calls * (usual.hits + 1) / usual.calls
        return (
            now.hits
            > expected + SHARED_FAULT_SIGMAS * math.sqrt(expected) + SHARED_FAULT_MIN_EXCESS
        )


@define
class OverloadDetector:
    """Watches the number of calls of the moving routes, to tell an overload."""

    _calls: int = field(default=0, init=False)
    _buckets: int = field(default=0, init=False)

    def is_overload(self, calls: int) -> bool:
        """Whether a bucket has far more calls than usual; learns from it when it has not."""
        known = self._buckets >= OVERLOAD_MIN_BUCKETS
        if known and calls > OVERLOAD_FACTOR * self._calls / self._buckets:
            return True
        self._calls += calls
        self._buckets += 1
        return False
