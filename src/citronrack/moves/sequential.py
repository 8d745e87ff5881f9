"""A sequential test of whether the new side of a move has more bad calls than the old one."""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import Protocol

from attrs import frozen

_INITIAL_WEIGHT = 0.5


@frozen
class CallSample:
    """A number of calls and how many of them were bad (failures, or slow responses)."""

    calls: int = 0
    bad_calls: int = 0


class Stratum(Protocol):
    """Calls of one route in one bucket, and what they are compared with."""

    def log_factor(self, odds: float) -> float:
        """Return the log likelihood ratio of ``odds`` against equal sides."""


@frozen
class PairedStratum:
    """Both sides in the same bucket.

    The number of bad calls is taken as given. If the sides are equal, each bad call is on the new
    side with a probability equal to that side's fraction of the calls.
    """

    new: CallSample
    old: CallSample

    def log_factor(self, odds: float) -> float:
        """Return the log likelihood ratio of ``odds`` against equal sides."""
        bad_calls = self.new.bad_calls + self.old.bad_calls
        if not bad_calls or not self.new.calls or not self.old.calls:
            return 0.0
        fraction = self.new.calls / (self.new.calls + self.old.calls)
        return self.new.bad_calls * math.log(odds) - bad_calls * math.log(
            fraction * odds + 1 - fraction
        )


@frozen
class BaselineStratum:
    """The new side alone, against an upper bound of the old side's rate."""

    new: CallSample
    rate: float

    def log_factor(self, odds: float) -> float:
        """Return the log likelihood ratio of a rate increased by ``odds`` against the bound."""
        raised = min(self.rate * odds, (1 + self.rate) / 2)
        gain = math.log(raised / self.rate)
        loss = math.log((1 - raised) / (1 - self.rate))
        return self.new.bad_calls * gain + (self.new.calls - self.new.bad_calls) * loss


class SequentialTest:
    """An e-process: under the null hypothesis its expectation is at most 1 at any stopping time.

    The value is a mixture over the odds that a bad version may have and over the bucket in which
    it may have become bad. Half of the weight lies on the first bucket, the rest is spread evenly
    over ``buckets``, so that a long time without faults does not outweigh a fault that begins late.

    Args:
        odds: Odds ratios of a bad call on the new side, equally weighted.
        buckets: Number of buckets over which the start of a fault is spread.
        max_factor: Largest factor of one bucket. A capped factor has a smaller expectation, so
            the bound holds, and one bucket at the edge of a shared fault is not decisive alone.
    """

    def __init__(self, *, odds: Sequence[float], buckets: int, max_factor: float) -> None:
        self._odds = tuple(odds)
        self._max_log = math.log(max_factor)
        self._weight_per_bucket = (1 - _INITIAL_WEIGHT) / max(buckets, 1)
        self._weight_left = 1 - _INITIAL_WEIGHT
        self._values = [_INITIAL_WEIGHT] * len(self._odds)
        self._before = list(self._values)

    @property
    def value(self) -> float:
        """Current value; equal sides ever reach ``x`` with a probability of at most ``1 / x``."""
        return math.fsum(self._values) / len(self._values)

    def add(self, strata: Sequence[Stratum]) -> None:
        """Add one bucket.

        Routes are separate strata: the sum of two routes with different shares and failure rates
        would look like a difference between the sides.
        """
        logs = [math.fsum(s.log_factor(odds) for s in strata) for odds in self._odds]
        if not any(logs):
            return
        self._before = list(self._values)
        weight = min(self._weight_per_bucket, self._weight_left)
        self._weight_left -= weight
        for index, log_factor in enumerate(logs):
            factor = math.exp(min(log_factor, self._max_log))
            self._values[index] = (self._values[index] + weight) * factor

    def discard_last(self) -> None:
        """Discard the gain of the last bucket; a smaller value still satisfies the bound."""
        self._values = [
            min(value, before) for value, before in zip(self._values, self._before, strict=True)
        ]
