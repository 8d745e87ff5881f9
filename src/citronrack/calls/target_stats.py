"""Statistics of each target, from the calls of this node."""

from __future__ import annotations

from attrs import define

from .pacer import MIN_RATE_PER_S
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
"""Longest ejection of an unreachable target: partitions end within seconds, and a probe costs one
call the time of a connection attempt."""

MAX_EJECTED_DIVISOR = 3  # at most a third of a pool is ejected


@define(eq=False)
class TargetStats:
    """Observed state of one target.

    Attributes:
        target: Entry of the routing view.
        in_flight: Calls of this node that wait for a response.
        latency_s: Moving average of the time to the head of a response.
        has_latency: Whether ``latency_s`` has been measured.
        assumed_latency_s: Latency that is assumed while none is measured.
        load: Calls in flight or waiting at the target's node, as last reported.
        load_at: Monotonic time of that report.
        failures: Consecutive failures.
        failure_rate: Moving average of the fraction of failed calls.
        ejections: Ejections since the target was last healthy for `EJECTION_CAP_S`.
        restored_at: Monotonic time of the last restoration.
        ejected_until: Monotonic time until which it gets no calls, 0 for not ejected.
        probing: Whether a call is probing the target after its ejection.
        paused_until: Monotonic time from which its limit is expected to let a further call start.
        leaving: Whether an answer has said that the target's process is about to end.
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
    paused_until: float = 0.0
    leaving: bool = False

    @property
    def failing(self) -> bool:
        """Whether the target should be ejected."""
        return self.failures >= FAILURES_TO_EJECT or self.failure_rate >= FAILURE_RATE_TO_EJECT

    def expected_latency_s(self, now: float) -> float:
        """Return the expected time of a new call.

        Calls of this node count in full. The weight of a reported load decreases with its age. The
        load from membership counts only while there is no recent report.
        """
        busy = float(self.in_flight)
        age = now - self.load_at
        if age < LOAD_MAX_AGE_S:
            others = max(0, self.load - self.in_flight)
            busy += others * (1.0 - age / LOAD_MAX_AGE_S)
        elif self.target.load_age_s < LOAD_MAX_AGE_S:
            busy = max(busy, self.target.load * (1.0 - self.target.load_age_s / LOAD_MAX_AGE_S))
        slots = max(1, self.target.slots)
        # Failures are often fast; without this factor, a failing target would attract calls.
        succeeding = 1.0 - min(self.failure_rate, 0.9)
        latency_s = self.latency_s if self.has_latency else self.assumed_latency_s
        return self.pause_s(now) + latency_s * (1.0 + busy / slots) / succeeding

    def pause_s(self, now: float) -> float:
        """Return the time until the limit of the target lets a further call start."""
        return max(0.0, self.paused_until - now)

    def fits(self, now: float, patience_s: float) -> bool:
        """Return whether a call that waits for the limit is expected to end within a time."""
        pause_s = self.pause_s(now)
        latency_s = self.latency_s if self.has_latency else self.assumed_latency_s
        return not pause_s or pause_s + latency_s <= patience_s

    def record_start(self, now: float) -> None:
        """Record that a call was sent."""
        self.in_flight += 1
        if self.target.limit_per_s is not None:
            interval_s = 1.0 / max(self.target.limit_per_s, MIN_RATE_PER_S)
            self.paused_until = max(self.paused_until, now) + interval_s

    def record_end(self, *, latency_s: float | None, failed: bool) -> None:
        """Record the end of a call.

        Args:
            latency_s: Time to the head of the response, None when there was none.
            failed: Whether the target failed; a refusal is not a failure.
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

    def record_pause(self, pause_s: float | None, now: float) -> None:
        """Record the pause that a response stated, None for a target without a limit."""
        self.paused_until = now + pause_s if pause_s is not None else 0.0

    def record_load(self, load: int, now: float) -> None:
        """Record the load that a response carried."""
        self.load, self.load_at = load, now


def eject(stats: TargetStats, now: float, *, unreachable: bool = False) -> float:
    """Eject a target and return the duration, which doubles with each ejection.

    Args:
        stats: The target.
        now: Monotonic time in seconds.
        unreachable: Whether the connection failed, rather than the call.
    """
    if now - stats.restored_at > EJECTION_CAP_S:
        stats.ejections = 0
    base_s, cap_s = EJECTION_BASE_S, EJECTION_CAP_S
    if unreachable:
        base_s, cap_s = UNREACHABLE_BASE_S, UNREACHABLE_CAP_S
    duration = min(cap_s, base_s * 2.0 ** min(stats.ejections, 10))
    stats.ejections += 1
    stats.ejected_until = now + duration
    return duration


def restore(stats: TargetStats, now: float) -> None:
    """Return an ejected target to the pool."""
    stats.ejected_until = 0.0
    stats.restored_at = now
    stats.failures = 0
    stats.failure_rate = 0.0
    stats.probing = False
