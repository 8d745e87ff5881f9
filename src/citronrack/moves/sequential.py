"""A sequential test of whether the new side of a move is hit more often than the old one."""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import Protocol

from attrs import frozen

_INITIAL_WEIGHT = 0.5


@frozen
class CallSample:
    """Calls and how many of them were hits (failures, or slow answers)."""

    calls: int = 0
    hits: int = 0


class Stratum(Protocol):
    """Calls of one route in one bucket, with what they are compared with."""

    def log_factor(self, odds: float) -> float:
        """Return the log likelihood ratio of ``odds`` against equal sides."""


@frozen
class PairedStratum:
    """Both sides in the same bucket.

    Given the number of hits, each one lies on the new side with the probability of that side's
    part of the calls when the sides are equal.
    """

    new: CallSample
    old: CallSample

    def log_factor(self, odds: float) -> float:
        """Return the log likelihood ratio of ``odds`` against equal sides."""
        hits = self.new.hits + self.old.hits
        if not hits or not self.new.calls or not self.old.calls:
            return 0.0
        part = self.new.calls / (self.new.calls + self.old.calls)
        return self.new.hits * math.log(odds) - hits * math.log(part * odds + 1 - part)


@frozen
class BaselineStratum:
    """The new side alone, against an upper bound of the old side's rate."""

    new: CallSample
    rate: float

    def log_factor(self, odds: float) -> float:
        """Return the log likelihood ratio of a rate raised by ``odds`` against the bound."""
        raised = min(self.rate * odds, (1 + self.rate) / 2)
        gain = math.log(raised / self.rate)
        loss = math.log((1 - raised) / (1 - self.rate))
        return self.new.hits * gain + (self.new.calls - self.new.hits) * loss


class SequentialTest:
    """An e-process: under the null hypothesis its expectation is at most 1 at any stopping time.

    The value is a mixture over the odds that a bad version may have and over the bucket in which
    it may have become bad. Half of the weight lies on the first bucket, the rest is spread evenly
    over ``buckets``, so that a fault that begins late is not outweighed by a long good time.

    Args:
        odds: Odds of a hit on the new side, equally weighted.
        buckets: Number of buckets over which the start of a fault is spread.
        max_factor: Largest factor of one bucket. A capped factor has a smaller expectation, so
            the bound holds, and one bucket at the edge of a shared fault cannot decide alone.
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
        """Present value; equal sides ever reach ``x`` with probability at most ``1 / x``."""
        return math.fsum(self._values) / len(self._values)

    def add(self, strata: Sequence[Stratum]) -> None:
        """Take in one bucket.

        Routes are strata and not summed: two routes with different shares and failure rates
        would look like different sides.
        """
        logs = [math.fsum(s.log_factor(odds) for s in strata) for odds in self._odds]
        if not any(logs):
            return
        self._before = list(self._values)
        added = min(self._weight_per_bucket, self._weight_left)
        self._weight_left -= added
        for index, log_factor in enumerate(logs):
            factor = math.exp(min(log_factor, self._max_log))
            self._values[index] = (self._values[index] + added) * factor

    def discard_last(self) -> None:
        """Give up what the last bucket has gained; a smaller value keeps the bound."""
        self._values = [
            min(now, then) for now, then in zip(self._values, self._before, strict=True)
        ]
