"""What nodes have seen of the two sides of a rollout."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping

from attrs import define, field, frozen

from ..calls import CallRecord
from ..transport.messages import message_codec

WINDOW_S = 3.0
"""Span of the recent calls that are compared; a fault that begins late shows in it undiluted."""

MIN_FAILURES = 4
"""Failures without which no version is called bad; single failures happen on all targets."""

FAILURE_RATE_FLOOR = 0.12
"""Failure rate below which a version is not called bad."""

FAILURE_FACTOR = 3.0
"""How much more often than the old version the new one must fail."""

MIN_SLOW_CALLS = 10
"""Calls of each side without which latencies are not compared."""

SLOW_FACTOR = 2.5
"""How much longer than on the old version calls must take; targets differ by up to three times in
speed, but several of them are compared."""

LOCAL_CALLS = 20
"""Recent calls from which a node judges its own target."""

LOCAL_FAILURES = 5
"""Failures among `LOCAL_CALLS` after which a node stops giving calls to a new version."""


@message_codec.register("h-evi")
@frozen
class Evidence:
    """Calls at the target beside a node since an order, by route.

    Attributes:
        order_id: The order.
        service: The service.
        node: Name and start of the node.
        service_version: Version of the target.
        routes: Route, calls, failures, calls with a latency, and their summed latency in ms.
    """

    order_id: int
    service: str
    node: str
    service_version: str
    routes: tuple[tuple[str, int, int, int, int], ...]


@define
class CallTotals:
    """Sums of calls.

    Attributes:
        calls: Calls that ran.
        failures: Calls that failed.
        timed: Calls whose latency counts.
        latency_ms: Sum of these latencies.
    """

    calls: int = 0
    failures: int = 0
    timed: int = 0
    latency_ms: int = 0

    def add(self, other: CallTotals, sign: int = 1) -> None:
        """Add the sums of another tally, or subtract them."""
        self.calls += sign * other.calls
        self.failures += sign * other.failures
        self.timed += sign * other.timed
        self.latency_ms += sign * other.latency_ms

    @property
    def failure_rate(self) -> float:
        """Part of the calls that failed."""
        return self.failures / self.calls if self.calls else 0.0

    @property
    def mean_ms(self) -> float:
        """Mean latency."""
        return self.latency_ms / self.timed if self.timed else 0.0


_TotalsByRoute = dict[tuple[str, str], CallTotals]
"""Tallies by service version and route."""


class EvidenceCounter:
    """Counts the calls at the own target while a rollout runs."""

    def __init__(self) -> None:
        self._order_id = -1
        self._tallies: dict[str, CallTotals] = {}
        self._recent: deque[bool] = deque(maxlen=LOCAL_CALLS)
        self._version = ""

    @property
    def failing(self) -> bool:
        """Whether the own target fails too often to get calls of a new version."""
        return sum(self._recent) >= LOCAL_FAILURES

    def begin(self, order_id: int, version: str) -> None:
        """Count from zero for a new order or another version of the target."""
        if (order_id, version) != (self._order_id, self._version):
            self._order_id, self._version = order_id, version
            self._tallies = {}
            self._recent.clear()

    def observe(self, record: CallRecord, *, cold: bool = False) -> None:
        """Count a call that this node gave to its target; a cold target's latency says nothing."""
        if record.refused or record.service_version != self._version:
            return
        failed = record.status >= 500
        tally = self._tallies.setdefault(record.route, CallTotals())
        tally.calls += 1
        tally.failures += failed
        self._recent.append(failed)
        if not cold:
            tally.timed += 1
            tally.latency_ms += int(record.latency_s * 1000)

    def evidence(self, *, service: str, node: str) -> Evidence:
        """Return what was counted."""
        routes = tuple(
            (route, tally.calls, tally.failures, tally.timed, tally.latency_ms)
            for route, tally in self._tallies.items()
        )
        return Evidence(self._order_id, service, node, self._version, routes)


@define(eq=False)
class EvidenceAggregator:
    """Evidence of all nodes, kept by the node that leads a rollout."""

    _latest: dict[tuple[str, str], Evidence] = field(factory=dict)
    _samples: deque[tuple[float, _TotalsByRoute]] = field(factory=deque)

    def put(self, evidence: Evidence) -> None:
        """Take the newest evidence of a node."""
        self._latest[evidence.node, evidence.service_version] = evidence

    def sample(self, now: float) -> None:
        """Note the sums at a time, for comparisons over `WINDOW_S`."""
        self._samples.append((now, self._current_totals()))
        while len(self._samples) > 1 and now - self._samples[0][0] > 2 * WINDOW_S:
            self._samples.popleft()

    def calls_since(self, version: str, since: float) -> int:
        """Return the calls of a version after a time that lies at most two windows back."""
        if not self._samples:
            return 0
        before = next((sums for at, sums in reversed(self._samples) if at <= since), {})
        return _call_count(self._samples[-1][1], version) - _call_count(before, version)

    def fault(self, version: str) -> str:
        """Return why a version is bad, empty when nothing speaks against it."""
        if not self._samples:
            return ""
        now, sums = self._samples[-1]
        recent_from = next((old for at, old in self._samples if now - at <= WINDOW_S), {})
        return _compare(sums, version) or _compare(_difference(sums, recent_from), version)

    def _current_totals(self) -> _TotalsByRoute:
        sums: _TotalsByRoute = {}
        for evidence in self._latest.values():
            for route, calls, failures, timed, latency_ms in evidence.routes:
                tally = sums.setdefault((evidence.service_version, route), CallTotals())
                tally.add(CallTotals(calls, failures, timed, latency_ms))
        return sums


def _call_count(sums: Mapping[tuple[str, str], CallTotals], version: str) -> int:
    return sum(tally.calls for (of, _), tally in sums.items() if of == version)


def _difference(sums: _TotalsByRoute, before: _TotalsByRoute) -> _TotalsByRoute:
    result: _TotalsByRoute = {}
    for key, tally in sums.items():
        part = CallTotals()
        part.add(tally)
        if key in before:
            part.add(before[key], sign=-1)
        result[key] = part
    return result


def _compare(sums: _TotalsByRoute, version: str) -> str:
    """Return why ``version`` is worse than the others, on one route or on all."""
    routes = {route for of, route in sums if of == version}
    new_all, old_all = CallTotals(), CallTotals()
    for route in sorted(routes):
        new = sums[version, route]
        old = _baseline(sums, version, route)
        new_all.add(new)
        old_all.add(old)
        reason = _find_regression(new, old)
        if reason:
            return f"route {route}: {reason}"
    return _compare_failures(new_all, old_all)


def _baseline(sums: _TotalsByRoute, version: str, route: str) -> CallTotals:
    old = CallTotals()
    for (of, on), tally in sums.items():
        if of != version and on == route:
            old.add(tally)
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
