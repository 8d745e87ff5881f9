"""Load-balancing policies."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random

from ..registry import Registry
from .target_stats import TargetStats

Policy = Callable[[Sequence[TargetStats], Random, int, float], TargetStats]
"""Chooses from a non-empty sequence; also receives a random source, a call counter and the time."""

policies: Registry[Policy] = Registry("balancer")


@policies.register("round-robin")
def round_robin(
    entries: Sequence[TargetStats], _random: Random, call_number: int, _now: float
) -> TargetStats:
    """Choose the targets in turn."""
    return entries[call_number % len(entries)]


@policies.register("least-loaded")
def least_loaded(
    entries: Sequence[TargetStats], _random: Random, call_number: int, now: float
) -> TargetStats:
    """Choose the target with the smallest load per slot.

    The load is the last reported one, or the number of calls of this node in flight if larger.
    """
    start = call_number % len(entries)
    return min(
        (*entries[start:], *entries[:start]),
        key=lambda stats: max(stats.in_flight, stats.load) / max(1, stats.target.slots),
    )


@policies.register("two-choices")
def two_choices(
    entries: Sequence[TargetStats], random: Random, _call_number: int, _now: float
) -> TargetStats:
    """Choose the one of two random targets that has fewer calls of this node in flight."""
    one, other = _two(entries, random)
    return one if one.in_flight <= other.in_flight else other


@policies.register("adaptive")
def adaptive(
    entries: Sequence[TargetStats], random: Random, _call_number: int, now: float
) -> TargetStats:
    """Choose the one of two random targets where the call is expected to end first."""
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
