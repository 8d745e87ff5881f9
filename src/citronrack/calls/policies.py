"""Policies that choose one of several targets."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random

from ..registry import Registry
from .target_stats import TargetStats

Policy = Callable[[Sequence[TargetStats], Random, int, float], TargetStats]
"""Chooses from a non-empty sequence; also gets a random source, a turn number and the time."""

policies: Registry[Policy] = Registry("balancer")


@policies.register("round-robin")
def round_robin(
    entries: Sequence[TargetStats], _random: Random, turn: int, _now: float
) -> TargetStats:
    """Take the targets in turn."""
    return entries[turn % len(entries)]


@policies.register("least-loaded")
def least_loaded(
    entries: Sequence[TargetStats], _random: Random, turn: int, now: float
) -> TargetStats:
    """Take the target with the smallest load, by what it last reported."""
    start = turn % len(entries)
    return min(
        (*entries[start:], *entries[:start]),
        key=lambda entry: max(entry.in_flight, entry.load) / max(1, entry.target.slots),
    )


@policies.register("two-choices")
def two_choices(
    entries: Sequence[TargetStats], random: Random, _turn: int, _now: float
) -> TargetStats:
    """Take the one of two random targets that has fewer calls of this node in flight."""
    one, other = _two(entries, random)
    return one if one.in_flight <= other.in_flight else other


@policies.register("adaptive")
def adaptive(entries: Sequence[TargetStats], random: Random, _turn: int, now: float) -> TargetStats:
    """Take the one of two random targets where the call is expected to end first."""
    if len(entries) == 1:
        return entries[0]
    one, other = _two(entries, random)
    return one if one.expected_latency_s(now) <= other.expected_latency_s(now) else other


def _two(entries: Sequence[TargetStats], random: Random) -> tuple[TargetStats, TargetStats]:
    count = len(entries)
    if count == 1:
        return entries[0], entries[0]
    first = int(random.random() * count)
    second = int(random.random() * (count - 1))
    return entries[first], entries[second + (second >= first)]
