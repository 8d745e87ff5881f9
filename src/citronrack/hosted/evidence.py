"""Collects calls to the old and new version of a rollout and compares them."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping

from attrs import define, field, frozen

from ..calls import CallRecord
from ..transport.messages import message_codec

WINDOW_S = 3.0
"""Length of the recent window that is compared, so that earlier calls do not mask a late fault."""

MIN_FAILURES = 4
"""Fewest failures for which a version is considered bad; single failures occur on all targets."""

FAILURE_RATE_FLOOR = 0.12
"""Failure rate up to which a version is never considered bad."""

FAILURE_FACTOR = 3.0
"""Ratio of the new to the old failure rate above which the new version is considered bad."""

MIN_SLOW_CALLS = 10
"""Fewest calls to each version for which latencies are compared."""

SLOW_FACTOR = 2.5
"""Ratio of the new to the old mean latency above which the new version is considered bad. Single
targets differ by up to three times in speed, but the means cover several targets."""

LOCAL_CALLS = 20
"""Number of recent calls by which a node judges its local target."""

LOCAL_FAILURES = 5
"""Failures among `LOCAL_CALLS` after which a node stops routing calls to a new version."""


@message_codec.register("h-evi")
@frozen
class Evidence:
    """Calls at a node's target since an order, by route.

    Attributes:
        order_id: Id of the order.
        service: The service.
        node: Name and boot number of the node.
        service_version: Version of the target.
        routes: Route, calls, failures, timed calls, and their total latency in ms.
    """

    order_id: int
    service: str
    node: str
    service_version: str
    routes: tuple[tuple[str, int, int, int, int], ...]


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


_TotalsByRoute = dict[tuple[str, str], CallTotals]
"""Totals by service version and route."""


class EvidenceCounter:
    """Counts the calls at the local target during a rollout."""

    def __init__(self) -> None:
        self._order_id = -1
        self._totals: dict[str, CallTotals] = {}
        self._recent: deque[bool] = deque(maxlen=LOCAL_CALLS)
        self._version = ""

    @property
    def failing(self) -> bool:
        """Whether the local target fails too often to receive calls to a new version."""
        return sum(self._recent) >= LOCAL_FAILURES

    def begin(self, order_id: int, version: str) -> None:
        """Reset the counts if the order or the version of the target has changed."""
        if (order_id, version) != (self._order_id, self._version):
            self._order_id, self._version = order_id, version
            self._totals = {}
            self._recent.clear()

    def observe(self, record: CallRecord, *, cold: bool = False) -> None:
        """Count a call at the local target; the latency of a cold target is ignored."""
        if record.refused or record.service_version != self._version:
            return
        failed = record.status >= 500
        total = self._totals.setdefault(record.route, CallTotals())
        total.calls += 1
        total.failures += failed
        self._recent.append(failed)
        if not cold:
            total.timed += 1
            total.latency_ms += int(record.latency_s * 1000)

    def evidence(self, *, service: str, node: str) -> Evidence:
        """Return the counts."""
        routes = tuple(
            (route, total.calls, total.failures, total.timed, total.latency_ms)
            for route, total in self._totals.items()
        )
        return Evidence(self._order_id, service, node, self._version, routes)


@define(eq=False)
class EvidenceAggregator:
    """Aggregates the evidence of all nodes at the holder of a rollout."""

    _latest: dict[tuple[str, str], Evidence] = field(factory=dict)
    _samples: deque[tuple[float, _TotalsByRoute]] = field(factory=deque)
    _at_step: _TotalsByRoute = field(factory=dict)

    def put(self, evidence: Evidence) -> None:
        """Store the newest evidence of a node."""
        self._latest[evidence.node, evidence.service_version] = evidence

    def sample(self, now: float) -> None:
        """Record the totals at a time, for comparisons over `WINDOW_S`."""
        self._samples.append((now, self._current_totals()))
        while len(self._samples) > 1 and now - self._samples[0][0] > 2 * WINDOW_S:
            self._samples.popleft()

    def begin_step(self) -> None:
        """Let `calls_since_step` count from now on."""
        self._at_step = self._current_totals()

    def calls_since_step(self, version: str) -> int:
        """Return the calls to a version that were heard of since the step began."""
        before = _call_count(self._at_step, version)
        return _call_count(self._current_totals(), version) - before

    def fault(self, version: str) -> str:
        """Return why a version is bad, empty if no regression is found."""
        if not self._samples:
            return ""
        now, totals = self._samples[-1]
        window_start = next((old for at, old in self._samples if now - at <= WINDOW_S), {})
        return _compare(totals, version) or _compare(_difference(totals, window_start), version)

    def _current_totals(self) -> _TotalsByRoute:
        totals: _TotalsByRoute = {}
        for evidence in self._latest.values():
            for route, calls, failures, timed, latency_ms in evidence.routes:
                total = totals.setdefault((evidence.service_version, route), CallTotals())
                total.add(CallTotals(calls, failures, timed, latency_ms))
        return totals


def _call_count(totals: Mapping[tuple[str, str], CallTotals], version: str) -> int:
    return sum(total.calls for (key_version, _), total in totals.items() if key_version == version)


def _difference(totals: _TotalsByRoute, before: _TotalsByRoute) -> _TotalsByRoute:
    result: _TotalsByRoute = {}
    for key, total in totals.items():
        change = CallTotals()
        change.add(total)
        if key in before:
            change.add(before[key], sign=-1)
        result[key] = change
    return result


def _compare(totals: _TotalsByRoute, version: str) -> str:
    """Return how ``version`` regressed from the others, on one route or in total."""
    routes = {route for key_version, route in totals if key_version == version}
    new_all, old_all = CallTotals(), CallTotals()
    for route in sorted(routes):
        new = totals[version, route]
        old = _baseline(totals, version, route)
        new_all.add(new)
        old_all.add(old)
        reason = _find_regression(new, old)
        if reason:
            return f"route {route}: {reason}"
    return _compare_failures(new_all, old_all)


def _baseline(totals: _TotalsByRoute, version: str, route: str) -> CallTotals:
    old = CallTotals()
    for (key_version, key_route), total in totals.items():
        if key_version != version and key_route == route:
            old.add(total)
    return old


def _find_regression(new: CallTotals, old: CallTotals) -> str:
    return _compare_failures(new, old) or _compare_latencies(new, old)


def _compare_failures(new: CallTotals, old: CallTotals) -> str:
    limit = max(FAILURE_RATE_FLOOR, FAILURE_FACTOR * old.failure_rate)
    if new.failures >= MIN_FAILURES and new.failure_rate > limit:
        return (
            f"{new.failures} of {new.calls} calls failed,"
            f" {old.failures} of {old.calls} of the old version"
        )
    return ""


def _compare_latencies(new: CallTotals, old: CallTotals) -> str:
    enough = min(new.timed, old.timed) >= MIN_SLOW_CALLS
    if enough and new.mean_ms > SLOW_FACTOR * old.mean_ms:
        return f"calls take {new.mean_ms:.0f} ms, {old.mean_ms:.0f} ms on the old version"
    return ""
