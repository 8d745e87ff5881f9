"""Collects calls to the old and new version of a rollout and compares them."""

from __future__ import annotations

from collections import deque
from typing import Any, TypeVar

from attrs import astuple, define, field, frozen

from ..calls import CallRecord
from ..transport.messages import message_codec
from .comparison import CallTotals, Stratum, find_regression

SLICE_S = 1.0
"""Length of the time slices in which calls are counted. Only calls of one slice are compared, and
the evidence of two nodes may differ by half a second."""

WINDOW_SLICES = 3
"""Complete slices of the recent window that is compared besides the whole time, so that earlier
calls do not mask a late fault."""

SENT_SLICES = 4
"""Slices that a node sends again, so that a lost message or a new holder loses no calls of the
recent window."""

MAX_SLICES = 64
"""Slices that a holder keeps."""

DEPENDENCY_S = 0.3
"""Longest time between a failed call to another service and a failure of the local target that is
taken for its consequence. Either may be seen first: a target that gives its call up fails at once,
and its node notices a closed connection within a quarter of a second."""

LOCAL_CALLS = 20
"""Number of recent calls by which a node judges its local target."""

MAX_REMEMBERED = 100
"""Failures that a node remembers for that time; more than a target has in it."""

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
        availability_zone: Zone of the node, empty from a node of the previous release.
        slices: Number of a recent time slice, and then the same as in ``routes`` for its calls.
    """

    order_id: int
    service: str
    node: str
    service_version: str
    routes: tuple[tuple[str, int, int, int, int], ...]
    availability_zone: str = ""
    slices: tuple[tuple[int, str, int, int, int, int], ...] = ()


_Row = tuple[int, str, int, int, int, int]
"""Number of a time slice, route, calls, failures, timed calls, and their total latency in ms."""


class EvidenceCounter:
    """Counts the calls at the local target during a rollout."""

    def __init__(self) -> None:
        self._order_id = -1
        self._totals: dict[str, CallTotals] = {}
        self._slices: dict[tuple[int, str], CallTotals] = {}
        self._dependency_failures: deque[tuple[float]] = deque(maxlen=MAX_REMEMBERED)
        self._failures: deque[tuple[float, tuple[int, str], CallTotals]] = deque(
            maxlen=MAX_REMEMBERED
        )
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
            self._totals, self._slices = {}, {}
            self._dependency_failures.clear()
            self._failures.clear()
            self._recent.clear()

    def observe(self, record: CallRecord, *, elapsed_s: float, cold: bool = False) -> None:
        """Count a call at the local target, unless it failed for a call that the target made.

        Args:
            record: The call.
            elapsed_s: Time since the order.
            cold: Whether the target has just started, so that the latency is ignored.
        """
        if record.refused or record.service_version != self._version:
            return
        failed = record.status >= 500
        if failed and _take_recent(self._dependency_failures, elapsed_s):
            return
        call = CallTotals(1, int(failed))
        if not cold:
            call.timed, call.latency_ms = 1, int(record.latency_s * 1000)
        key = (int(elapsed_s / SLICE_S), record.route)
        self._count(key, call)
        self._recent.append(failed)
        if failed:
            self._failures.append((elapsed_s, key, call))

    def on_dependency_failed(self, elapsed_s: float) -> None:
        """Excuse one failure of a moment ago or the next one, which most likely follows from it.

        Args:
            elapsed_s: Time since the order.
        """
        excused = _take_recent(self._failures, elapsed_s)
        if excused is None:
            self._dependency_failures.append((elapsed_s,))
            return
        _, key, call = excused
        self._count(key, call, sign=-1)
        if True in self._recent:
            self._recent.remove(True)

    def _count(self, key: tuple[int, str], call: CallTotals, sign: int = 1) -> None:
        """Add a call of a time slice and route, or take it back with a ``sign`` of -1."""
        self._totals.setdefault(key[1], CallTotals()).add(call, sign)
        self._slices.setdefault(key, CallTotals()).add(call, sign)

    def evidence(self, *, service: str, node: str, availability_zone: str = "") -> Evidence:
        """Return the counts."""
        newest = max((number for number, _ in self._slices), default=0)
        for key in [key for key in self._slices if key[0] <= newest - SENT_SLICES]:
            del self._slices[key]
        return Evidence(
            self._order_id,
            service,
            node,
            self._version,
            tuple((route, *astuple(total)) for route, total in self._totals.items()),
            availability_zone,
            tuple((*key, *astuple(total)) for key, total in self._slices.items()),
        )


_Timed = TypeVar("_Timed", bound=tuple[Any, ...])


def _take_recent(entries: deque[_Timed], now: float) -> _Timed | None:
    """Remove and return the oldest entry that begins with a recent time, None without one."""
    while entries and now - entries[0][0] > DEPENDENCY_S:
        entries.popleft()
    return entries.popleft() if entries else None


@define(eq=False)
class EvidenceAggregator:
    """Aggregates the evidence of all nodes at the holder of a rollout."""

    _latest: dict[tuple[str, str], Evidence] = field(factory=dict)
    _strata: dict[Stratum, CallTotals] = field(factory=dict)
    _at_step: dict[str, int] = field(factory=dict)

    def put(self, evidence: Evidence) -> None:
        """Store the newest evidence of a node."""
        known = self._latest.get((evidence.node, evidence.service_version))
        # Rows that both contain are replaced if they differ, earlier ones stay.
        before = {row[:2]: row for row in _rows(known)} if known is not None else {}
        for row in _rows(evidence):
            earlier = before.get(row[:2])
            if earlier == row:
                continue
            if earlier is not None:
                self._count(evidence, earlier, sign=-1)
            self._count(evidence, row)
        self._latest[evidence.node, evidence.service_version] = evidence
        newest = max((key.time_slice for key in self._strata), default=0)
        if newest >= MAX_SLICES:
            for key in [key for key in self._strata if key.time_slice <= newest - MAX_SLICES]:
                del self._strata[key]

    def _count(self, evidence: Evidence, row: _Row, sign: int = 1) -> None:
        number, route, *counts = row
        zone = evidence.availability_zone
        key = Stratum(evidence.service_version, route, zone, number)
        self._strata.setdefault(key, CallTotals()).add(CallTotals(*counts), sign)

    def begin_step(self) -> None:
        """Let `calls_since_step` count from now on."""
        versions = {version for _, version in self._latest}
        self._at_step = {version: self._calls_to(version) for version in versions}

    def calls_since_step(self, version: str) -> int:
        """Return the calls to a version that were heard of since the step began."""
        return self._calls_to(version) - self._at_step.get(version, 0)

    def fault(self, version: str) -> str:
        """Return why a version is bad, empty if no regression is found."""
        newest = max((key.time_slice for key in self._strata), default=0)
        recent = newest - WINDOW_SLICES
        return find_regression(self._strata, version) or find_regression(
            self._strata, version, since=recent
        )

    def summary(self) -> list[str]:
        """Return the calls of each version, route, zone and time slice for the log."""
        return [
            f"{key.time_slice} {key.service_version} {key.route} {key.availability_zone}:"
            f" {total.calls} calls, {total.failures} failed, {total.latency_ms} ms in {total.timed}"
            for key, total in self._strata.items()
        ]

    def _calls_to(self, version: str) -> int:
        evidences = (known for known in self._latest.values() if known.service_version == version)
        return sum(calls for known in evidences for _, calls, *_ in known.routes)


def _rows(evidence: Evidence) -> list[_Row]:
    """Return the rows of an evidence by time slice; the previous release counts one slice only."""
    if evidence.slices or evidence.availability_zone:
        return list(evidence.slices)
    return [(0, *row) for row in evidence.routes]
