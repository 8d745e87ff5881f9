"""What this node has observed of each target."""

from __future__ import annotations

from attrs import define

from .view import PoolTarget

LATENCY_SMOOTHING = 0.2
INITIAL_LATENCY_S = 0.005
LOAD_MAX_AGE_S = 5.0
FAILURES_TO_EJECT = 5
FAILURE_SMOOTHING = 0.1
FAILURE_RATE_TO_EJECT = 0.5
EJECTION_BASE_S = 2.0
EJECTION_CAP_S = 60.0
UNREACHABLE_BASE_S = 1.0
UNREACHABLE_CAP_S = 4.0
"""Longest ejection of a target that could not be reached: a cut ends within seconds, and a trial
costs one call the time of a connection attempt."""

MAX_EJECTED_DIVISOR = 3  # at most one in three targets of a pool is ejected


@define(eq=False)
class TargetStats:
    """One target as this node sees it.

    Attributes:
        target: Entry of the routing view.
        in_flight: Calls of this node that wait for its answer.
        latency_s: Recent mean time to the head of an answer.
        assumed_latency_s: Latency that is assumed while none is known.
        load: Calls in flight or waiting at the target's node when it last said so.
        load_at: Monotonic time of that report.
        failures: Failures since the last success.
        failure_rate: Recent part of calls that failed.
        ejections: Ejections since the target was last healthy for `EJECTION_CAP_S`.
        restored_at: Monotonic time of the last restoration.
        ejected_until: Monotonic time until which it gets no calls, 0 for not ejected.
        probing: Whether one call tries out a target whose ejection has passed.
    """

    target: PoolTarget
    in_flight: int = 0
    latency_s: float = INITIAL_LATENCY_S
    has_latency: bool = False
    assumed_latency_s: float = INITIAL_LATENCY_S
    load: int = 0
    load_at: float = -LOAD_MAX_AGE_S
    failures: int = 0
    failure_rate: float = 0.0
    ejections: int = 0
    restored_at: float = 0.0
    ejected_until: float = 0.0
    probing: bool = False

    @property
    def failing(self) -> bool:
        """Whether the target should be ejected."""
        return self.failures >= FAILURES_TO_EJECT or self.failure_rate >= FAILURE_RATE_TO_EJECT

    def expected_latency_s(self, now: float) -> float:
        """Return the likely time that a new call would take.

        Calls of this node count in full. A reported load counts less the older it is, and the
        load that membership carries only while there is no report.
        """
        busy = float(self.in_flight)
        age = now - self.load_at
        if age < LOAD_MAX_AGE_S:
            others = max(0, self.load - self.in_flight)
            busy += others * (1.0 - age / LOAD_MAX_AGE_S)
        elif self.target.load_age_s < LOAD_MAX_AGE_S:
            busy = max(busy, self.target.load * (1.0 - self.target.load_age_s / LOAD_MAX_AGE_S))
        slots = max(1, self.target.slots)
        # Failures are often fast; without this factor a failing target would attract calls.
        succeeding = 1.0 - min(self.failure_rate, 0.9)
        latency_s = self.latency_s if self.has_latency else self.assumed_latency_s
        return latency_s * (1.0 + busy / slots) / succeeding

    def record_start(self) -> None:
        """Count a call that was sent."""
        self.in_flight += 1

    def record_end(self, *, latency_s: float | None, failed: bool) -> None:
        """Count the end of a call.

        Args:
            latency_s: Time to the head of the answer, None when there was none.
            failed: Whether the target failed; a refusal is no failure.
        """
        self.in_flight -= 1
        self.probing = False
        if latency_s is not None:
            if self.has_latency:
                self.latency_s += LATENCY_SMOOTHING * (latency_s - self.latency_s)
            else:
                self.latency_s, self.has_latency = latency_s, True
        self.failures = self.failures + 1 if failed else 0
        self.failure_rate += FAILURE_SMOOTHING * (failed - self.failure_rate)

    def record_load(self, load: int, now: float) -> None:
        """Take the load that an answer carried."""
        self.load, self.load_at = load, now


def eject(entry: TargetStats, now: float, *, unreachable: bool = False) -> float:
    """Take a target out for a time that doubles with each ejection; return the seconds.

    Args:
        entry: The target.
        now: Monotonic time in seconds.
        unreachable: Whether there was no connection, rather than a failure.
    """
    if now - entry.restored_at > EJECTION_CAP_S:
        entry.ejections = 0
    base_s, cap_s = EJECTION_BASE_S, EJECTION_CAP_S
    if unreachable:
        base_s, cap_s = UNREACHABLE_BASE_S, UNREACHABLE_CAP_S
    duration = min(cap_s, base_s * 2.0 ** min(entry.ejections, 10))
    entry.ejections += 1
    entry.ejected_until = now + duration
    return duration


def restore(entry: TargetStats, now: float) -> None:
    """Let an ejected target get calls again."""
    entry.ejected_until = 0.0
    entry.restored_at = now
    entry.failures = 0
    entry.failure_rate = 0.0
    entry.probing = False
