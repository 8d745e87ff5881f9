"""Measures the false-alarm rate of the sequential test on two equal sides."""

from __future__ import annotations

import argparse
import math
import sys
from collections.abc import Iterator
from random import Random

from attrs import frozen

from ..moves.baseline import Baseline, RateIncrease
from ..moves.sequential import BaselineStratum, CallSample, PairedStratum, SequentialTest

BUCKETS = 150
CALLS_PER_BUCKET = 200
ODDS = (2.0, 4.0, 16.0)
MAX_FACTOR = 1000.0
RAMP = (0.05, 0.25, 0.5)
WATCH_BUCKETS = 30
ALPHAS = (0.1, 0.05, 0.01)


@frozen
class Setting:
    """Conditions of a run whose two sides are equal.

    Attributes:
        name: Name in the table.
        rate: Fraction of failed calls on both sides.
        burst: Fraction of failed calls on both sides in the middle third.
        is_watched: Whether `WATCH_BUCKETS` buckets without calls of the old version follow.
    """

    name: str
    rate: float
    burst: float
    is_watched: bool = False


SETTINGS = (
    Setting("0.2% fail", 0.002, 0.002),
    Setting("5% fail", 0.05, 0.05),
    Setting("0.2% fail, 20% in a shared fault", 0.002, 0.2),
    Setting("0.2% fail, watched without the old version", 0.002, 0.002, is_watched=True),
    Setting("5% fail, watched without the old version", 0.05, 0.05, is_watched=True),
)


def highest_value(setting: Setting, random: Random) -> float:
    """Return the highest value of the test during one move with equal sides."""
    test = SequentialTest(odds=ODDS, buckets=BUCKETS + WATCH_BUCKETS, max_factor=MAX_FACTOR)
    baseline = Baseline()
    highest = test.value
    for bucket in range(BUCKETS):
        in_burst = BUCKETS // 3 <= bucket < 2 * BUCKETS // 3
        rate = setting.burst if in_burst else setting.rate
        share = RAMP[bucket * len(RAMP) // BUCKETS]
        new_calls = _binomial(random, CALLS_PER_BUCKET, share)
        new = CallSample(new_calls, _binomial(random, new_calls, rate))
        old_calls = CALLS_PER_BUCKET - new_calls
        old = CallSample(old_calls, _binomial(random, old_calls, rate))
        test.add([PairedStratum(new, old)])
        baseline.add(old)
        highest = max(highest, test.value)
    for _ in range(WATCH_BUCKETS if setting.is_watched else 0):
        bad_calls = _binomial(random, CALLS_PER_BUCKET, setting.rate)
        bound = baseline.bound(RateIncrease())
        if bound is not None:
            test.add([BaselineStratum(CallSample(CALLS_PER_BUCKET, bad_calls), bound)])
        highest = max(highest, test.value)
    return highest


def _binomial(random: Random, number: int, fraction: float) -> int:
    """Return a binomial random number, by geometric distances between successes."""
    if fraction <= 0:
        return 0
    successes, position = 0, -1
    scale = math.log1p(-fraction)
    while True:
        position += 1 + int(math.log(1.0 - random.random()) / scale)
        if position >= number:
            return successes
        successes += 1


def report(runs: int) -> Iterator[str]:
    """Yield the lines of a Markdown table."""
    head = ["equal sides", "runs", *(f"reached 1/{alpha:g}" for alpha in ALPHAS)]
    yield "| " + " | ".join(head) + " |"
    yield "|" + "---|" * len(head)
    for setting in SETTINGS:
        random = Random(setting.name)
        values = [highest_value(setting, random) for _ in range(runs)]
        fractions = [sum(value >= 1 / alpha for value in values) / runs for alpha in ALPHAS]
        yield f"| {setting.name} | {runs} | " + " | ".join(
            f"{fraction:.4f}" for fraction in fractions
        ) + " |"


def main() -> int:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=10_000)
    for line in report(parser.parse_args().runs):
        print(line)
    return 0


if __name__ == "__main__":
    sys.exit(main())
