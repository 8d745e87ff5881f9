"""Compares the calls to a new version of a service with simultaneous ones to the old version."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping

from attrs import define, field, frozen

MIN_FAILURES = 4
"""Fewest failures for which a version is considered bad; single failures occur on all targets."""

FAILURE_RATE_FLOOR = 0.12
"""Failure rate up to which a version is never considered bad."""

FAILURE_FACTOR = 3.0
"""Ratio of the new to the expected failure rate above which the new version is considered bad."""

MIN_SLOW_CALLS = 10
"""Fewest calls to each version for which latencies are compared."""

SLOW_FACTOR = 2.5
"""Ratio of the new to the expected mean latency above which the new version is considered bad.
Single targets differ by up to three times in speed, but the means cover several targets."""

PRIOR_CALLS = 5
"""Calls at the old version's rate in all zones that are added to those in one zone, so that a few
calls there neither excuse nor accuse the new version."""


@frozen
class Stratum:
    """Calls that are compared with each other but for their version.

    Attributes:
        service_version: Version that handled the calls.
        route: Name of their route.
        availability_zone: Zone of the targets, empty if their nodes do not state it.
        time_slice: Number of the time slice since the order in which the calls ended.
    """

    service_version: str
    route: str
    availability_zone: str
    time_slice: int


@define
class CallTotals:
    """Totals over calls.

    Attributes:
        calls: Calls that ran.
        failures: Calls that failed.
        timed: Calls whose latency is included.
        latency_ms: Sum of these latencies.
    """

    calls: int = 0
    failures: int = 0
    timed: int = 0
    latency_ms: int = 0

    def add(self, other: CallTotals, sign: int = 1) -> None:
        """Add other totals, or subtract them with a ``sign`` of -1."""
        self.calls += sign * other.calls
        self.failures += sign * other.failures
        self.timed += sign * other.timed
        self.latency_ms += sign * other.latency_ms

    @property
    def failure_rate(self) -> float:
        """Fraction of calls that failed."""
        return self.failures / self.calls if self.calls else 0.0

    @property
    def mean_ms(self) -> float:
        """Mean latency."""
        return self.latency_ms / self.timed if self.timed else 0.0


Totals = Mapping[Stratum, CallTotals]


@define
class _Comparison:
    """Calls to the new version, and what the old one lets expect of them.

    A fault of a zone strikes both versions there, but they have different shares of their calls in
    that zone at that time. So the rate to expect is the old version's in each zone and time slice,
    weighted with the new version's calls in it (standardization; strata as in the test of Mantel
    and Haenszel).

    Attributes:
        new: Totals of the new version.
        old: Totals of the other versions.
        failures: Failures to expect of the new version.
        latency_ms: Latency to expect of its timed calls, in total.
    """

    new: CallTotals = field(factory=CallTotals)
    old: CallTotals = field(factory=CallTotals)
    failures: float = 0.0
    latency_ms: float = 0.0

    def expect(
        self, new: CallTotals, old: CallTotals, *, failure_rate: float, mean_ms: float
    ) -> None:
        """Add the calls of a zone and time slice.

        Args:
            new: Calls to the new version.
            old: Calls to the others.
            failure_rate: Failure rate of the others in all zones.
            mean_ms: Their mean latency in all zones.
        """
        failures = old.failures + PRIOR_CALLS * failure_rate
        latency_ms = old.latency_ms + PRIOR_CALLS * mean_ms
        self.failures += new.calls * failures / (old.calls + PRIOR_CALLS)
        self.latency_ms += new.timed * latency_ms / (old.timed + PRIOR_CALLS)

    def add(self, other: _Comparison) -> None:
        """Add the calls of another route."""
        self.new.add(other.new)
        self.old.add(other.old)
        self.failures += other.failures
        self.latency_ms += other.latency_ms

    @property
    def more_failures(self) -> str:
        """How the new version fails more often than expected, empty if it does not."""
        expected_rate = self.failures / self.new.calls if self.new.calls else 0.0
        limit = max(FAILURE_RATE_FLOOR, FAILURE_FACTOR * expected_rate)
        if self.new.failures < MIN_FAILURES or self.new.failure_rate <= limit:
            return ""
        return (
            f"{self.new.failures} of {self.new.calls} calls failed, {self.failures:.1f} to expect"
            f" from {self.old.failures} of {self.old.calls} of the old version"
        )

    @property
    def slower(self) -> str:
        """How the new version is slower than expected, empty if it is not."""
        if min(self.new.timed, self.old.timed) < MIN_SLOW_CALLS:
            return ""
        expected_ms = self.latency_ms / self.new.timed
        if self.new.mean_ms <= SLOW_FACTOR * expected_ms:
            return ""
        return f"calls take {self.new.mean_ms:.0f} ms, {expected_ms:.0f} ms on the old version"


def find_regression(totals: Totals, version: str, *, since: int = 0) -> str:
    """Return how a version regressed from the others, on one route or in total.

    Args:
        totals: Calls by version, route, zone and time slice.
        version: The new version.
        since: First time slice whose calls to the new version are judged. Where the old version has
            no calls in a slice, its rate over all slices is expected.

    Returns:
        The regression in one sentence, empty if there is none.
    """
    overall = _Comparison()
    for route in sorted({key.route for key in totals if key.service_version == version}):
        comparison = _compare(totals, version, route, since)
        overall.add(comparison)
        reason = comparison.more_failures or comparison.slower
        if reason:
            return f"route {route}: {reason}"
    return overall.more_failures


def _compare(totals: Totals, version: str, route: str, since: int) -> _Comparison:
    comparison = _Comparison()
    new: dict[tuple[int, str], CallTotals] = {}
    old: dict[tuple[int, str], CallTotals] = defaultdict(CallTotals)
    everywhere: dict[int, CallTotals] = defaultdict(CallTotals)
    for key, total in totals.items():
        if key.route != route:
            continue
        if key.service_version == version:
            if key.time_slice >= since:
                new[key.time_slice, key.availability_zone] = total
                comparison.new.add(total)
        else:
            old[key.time_slice, key.availability_zone].add(total)
            everywhere[key.time_slice].add(total)
            comparison.old.add(total)
    for (time_slice, zone), total in new.items():
        rates = everywhere[time_slice] if everywhere[time_slice].calls else comparison.old
        comparison.expect(
            total, old[time_slice, zone], failure_rate=rates.failure_rate, mean_ms=rates.mean_ms
        )
    return comparison
