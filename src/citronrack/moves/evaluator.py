"""Judges the moves of one service version by the evidence of an availability zone."""

from __future__ import annotations

from collections.abc import Sequence

from attrs import define, field, frozen

from ..config import Move
from .baseline import (
    KINDS,
    Baseline,
    OverloadDetector,
    RateIncrease,
    SharedFaultDetector,
    call_sample,
)
from .evidence import BUCKET_MS, KEPT_BUCKETS, OTHER_ROUTES, Counts, EvidenceStore, Side
from .policy import Policy
from .sequential import BaselineStratum, PairedStratum, SequentialTest, Stratum

MAX_REFUSED_FRACTION = 0.1  # more refused attempts than this keep a step from being cleared
MAX_REFUSED_RATIO = 2.0  # when they are also this many times the old version's part
EVALUATORS_PER_ZONE = 2  # per zone; each runs its own tests
SUSPICION_FRACTION = 0.1  # part of the marking value above which no step is cleared


@frozen
class Regression:
    """Why a version is bad.

    Attributes:
        reason: What the evidence showed, for people.
        route: Route on which it showed, empty for all.
        calls: Calls that the new version had received.
    """

    reason: str
    route: str
    calls: int


@define
class RouteEvaluator:
    """Evidence of one move.

    Attributes:
        move: The move.
        tests: One test per kind of hit.
        baselines: What the old version did, per kind.
        step: Number of cleared steps.
        step_from_bucket: First bucket of the present step.
        step_calls: Calls of the new version in the present step that could be compared.
        new: All calls of the new version.
        old: All calls of the old version.
        step_new: Attempts of the new version in the present step.
        step_old: Attempts of the old version in the present step.
    """

    move: Move
    tests: dict[str, SequentialTest]
    baselines: dict[str, Baseline] = field(
        factory=lambda: {kind: Baseline() for kind in KINDS}, init=False
    )
    step: int = field(default=-1, init=False)
    step_from_bucket: int = field(default=0, init=False)
    step_calls: int = field(default=0, init=False)
    new: Counts = field(factory=Counts, init=False)
    old: Counts = field(factory=Counts, init=False)
    step_new: Counts = field(factory=Counts, init=False)
    step_old: Counts = field(factory=Counts, init=False)

    def add(
        self, bucket: int, new: Counts, old: Counts, rate_increases: dict[str, RateIncrease] | None
    ) -> dict[str, Stratum]:
        """Take in one bucket and return what it says per kind of hit.

        Args:
            bucket: Number of the bucket.
            new: Calls of the new version.
            old: Calls of the old version.
            rises: What other routes show per kind, None during a shared fault or overload. The
                new version alone then says nothing.
        """
        self.new.add(new)
        self.old.add(old)
        if bucket >= self.step_from_bucket:
            self.step_new.add(new)
            self.step_old.add(old)
            self.step_calls += new.calls if old.calls else 0
        strata = {kind: self._stratum(kind, new, old, rate_increases) for kind in KINDS}
        known = {kind: stratum for kind, stratum in strata.items() if stratum is not None}
        for kind, stratum in known.items():
            self.tests[kind].add([stratum])
        return known

    def refuses_too_many(self) -> bool:
        """Whether the new version refuses far more attempts than the old one."""
        new, old = _refused_fraction(self.step_new), _refused_fraction(self.step_old)
        return new > MAX_REFUSED_FRACTION and new > MAX_REFUSED_RATIO * old

    def begin_step(self, step: int, *, from_bucket: int) -> None:
        """Count for another step, from the first bucket that lies wholly in it."""
        self.step = step
        self.step_from_bucket = from_bucket
        self.step_calls = 0
        self.step_new = Counts()
        self.step_old = Counts()

    def _stratum(
        self, kind: str, new: Counts, old: Counts, rate_increases: dict[str, RateIncrease] | None
    ) -> Stratum | None:
        if old.calls:
            if rate_increases is not None:
                self.baselines[kind].learn(call_sample(old, kind))
            return PairedStratum(call_sample(new, kind), call_sample(old, kind))
        if rate_increases is None:
            return None
        rate = self.baselines[kind].bound(rate_increases[kind])
        return BaselineStratum(call_sample(new, kind), rate) if rate is not None else None


def _refused_fraction(counts: Counts) -> float:
    attempts = counts.calls + counts.refused + counts.cold
    return counts.refused / attempts if attempts else 0.0


class VersionEvaluator:
    """Tests all moves that bring in the same service version under the same confirmation.

    Args:
        moves: The moves; each one has its own route.
        policy: How they are judged.
        zones: Number of zones that judge the version on their own.
        first_bucket: First bucket to test.
    """

    def __init__(
        self, moves: Sequence[Move], *, policy: Policy, zones: int, first_bucket: int
    ) -> None:
        self._policy = policy
        self._next_bucket = first_bucket
        self._first_bucket = first_bucket
        self._threshold = EVALUATORS_PER_ZONE * max(zones, 1) / policy.alpha
        span_ms = max(m.deadline_ms - m.start_ms for m in moves) + policy.watch_ms
        self._buckets = span_ms // BUCKET_MS + 1
        self.routes = {move.move_id: RouteEvaluator(move, self._make_tests()) for move in moves}
        self._shared_fault_detector = SharedFaultDetector()
        self._overload_detector = OverloadDetector()
        self._is_unusual = False
        self._total = self._make_tests() if len(moves) > 1 else {}

    @property
    def value(self) -> float:
        """Mean of all tests; a mean of e-processes is one too."""
        values = [test.value for _, _, test in self._tests()]
        return sum(values) / len(values)

    @property
    def threshold(self) -> float:
        """Value at which the version is marked.

        Ville's inequality bounds each judging node's chance of a false alarm by 1 / threshold;
        the sum over the judging nodes of all zones is alpha.
        """
        return self._threshold

    @property
    def evaluated_ms(self) -> int:
        """Time for which this judge has taken in evidence, in milliseconds."""
        return (self._next_bucket - self._first_bucket) * BUCKET_MS

    def advance(self, store: EvidenceStore, *, through: int) -> None:
        """Take in the buckets up to and including ``through``, each one once.

        Cells that arrive after their bucket was taken in are not tested, so that no evidence is
        looked at twice.
        """
        self._next_bucket = max(self._next_bucket, through - KEPT_BUCKETS + 1)
        while self._next_bucket <= through:
            self._add(store, self._next_bucket)
            self._next_bucket += 1

    def clears_step(self, move_id: str) -> bool:
        """Whether the evidence of the present step is good enough to go on.

        A suspicious value asks for more calls, in proportion.
        """
        evaluator = self.routes[move_id]
        wanted = self._policy.min_calls * max(1.0, self._worst() / self._policy.clear_bound)
        return (
            evaluator.step_calls >= wanted
            and not self.is_suspicious()
            and not evaluator.refuses_too_many()
        )

    def is_clean(self) -> bool:
        """Whether no test speaks against the version, however little evidence there is."""
        return self._worst() < self._policy.clear_bound

    def is_suspicious(self) -> bool:
        """Whether the tests are on their way to a mark."""
        return self.value >= SUSPICION_FRACTION * self._threshold

    def regression(self) -> Regression | None:
        """Return why the version is bad, or None when the evidence does not show it."""
        if self.value < self._threshold:
            return None
        kind, move_id, _ = max(self._tests(), key=lambda entry: entry[2].value)
        evaluators = [self.routes[move_id]] if move_id else list(self.routes.values())
        new, old = Counts(), Counts()
        for evaluator in evaluators:
            new.add(evaluator.new)
            old.add(evaluator.old)
        what = "failed" if kind == "failures" else "was slow in"
        reason = (
            f"{what} {getattr(new, kind)} of {new.calls} calls; the old version {what} "
            f"{getattr(old, kind)} of {old.calls}"
        )
        route = evaluators[0].move.route if move_id else ""
        calls = sum(evaluator.new.calls + evaluator.new.cold for evaluator in self.routes.values())
        return Regression(reason, route, calls)

    def _add(self, store: EvidenceStore, bucket: int) -> None:
        sides = {
            move_id: (
                store.in_bucket(bucket, move_id, Side.NEW),
                store.in_bucket(bucket, move_id, Side.OLD),
            )
            for move_id in self.routes
        }
        arrived = sum(new.calls + old.calls for new, old in sides.values())
        rate_increases = self._rate_increases(
            store.in_bucket(bucket, OTHER_ROUTES, Side.OTHER), arrived
        )
        strata: dict[str, list[Stratum]] = {kind: [] for kind in KINDS}
        for move_id, evaluator in self.routes.items():
            for kind, stratum in evaluator.add(bucket, *sides[move_id], rate_increases).items():
                strata[kind].append(stratum)
        for kind, test in self._total.items():
            test.add(strata[kind])

    def _rate_increases(self, other: Counts, arrived: int) -> dict[str, RateIncrease] | None:
        """Return what other routes show, or None in and right after a shared fault or overload.

        The bucket in which it began may have looked like a fault of the new version alone, and
        the one in which it ends may do so.
        """
        others_hit, overloaded = self._shared_fault_detector.has_shared_fault(
            other
        ), self._overload_detector.is_overload(arrived)
        was_unusual, self._is_unusual = self._is_unusual, others_hit or overloaded
        if self._is_unusual and not was_unusual:
            for _, _, test in self._tests():
                test.discard_last()
        if self._is_unusual or was_unusual:
            return None
        return {kind: self._shared_fault_detector.rate_increase(other, kind) for kind in KINDS}

    def _worst(self) -> float:
        return max(test.value for _, _, test in self._tests())

    def _make_tests(self) -> dict[str, SequentialTest]:
        return {
            kind: SequentialTest(
                odds=self._policy.odds, buckets=self._buckets, max_factor=self._threshold / 2
            )
            for kind in KINDS
        }

    def _tests(self) -> list[tuple[str, str, SequentialTest]]:
        """Return ``(kind, move id or empty, test)`` of all tests."""
        entries = [
            (kind, move_id, test)
            for move_id, evaluator in self.routes.items()
            for kind, test in evaluator.tests.items()
        ]
        entries.extend((kind, "", test) for kind, test in self._total.items())
        return entries
