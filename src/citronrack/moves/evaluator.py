"""Evaluates the moves of one service version by the evidence of an availability zone."""

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

# A step is not cleared while the new version's fraction of refused attempts exceeds both limits.
MAX_REFUSED_FRACTION = 0.1
MAX_REFUSED_RATIO = 2.0  # of the new version's fraction to that of the old one
EVALUATORS_PER_ZONE = 2  # each runs its own tests
SUSPICION_FRACTION = 0.1  # of the threshold for a mark; above it no step is cleared


@frozen
class Regression:
    """A detected regression of the new version.

    Attributes:
        reason: Description of the evidence for operators.
        route: Route on which the regression was detected, empty for all routes.
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
        tests: One test per kind of bad call.
        baselines: Rates of the old version, per kind.
        step: Number of cleared steps.
        step_from_bucket: First bucket of the current step.
        step_calls: Calls of the new version in the current step that could be compared.
        new: All calls of the new version.
        old: All calls of the old version.
        step_new: Attempts of the new version in the current step.
        step_old: Attempts of the old version in the current step.
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
        """Add one bucket and return its strata by kind of bad call.

        Args:
            bucket: Number of the bucket.
            new: Calls of the new version.
            old: Calls of the old version.
            rate_increases: Increases on other routes by kind, None during a shared fault or an
                overload. The new version is then not tested without calls of the old one.
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
        """Whether the new version refuses far more of its attempts than the old one."""
        new, old = _refused_fraction(self.step_new), _refused_fraction(self.step_old)
        return new > MAX_REFUSED_FRACTION and new > MAX_REFUSED_RATIO * old

    def begin_step(self, step: int, *, from_bucket: int) -> None:
        """Start counting for another step, from the first bucket that lies entirely in it."""
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
                self.baselines[kind].add(call_sample(old, kind))
            return PairedStratum(call_sample(new, kind), call_sample(old, kind))
        if rate_increases is None:
            return None
        rate = self.baselines[kind].bound(rate_increases[kind])
        return BaselineStratum(call_sample(new, kind), rate) if rate is not None else None


def _refused_fraction(counts: Counts) -> float:
    attempts = counts.calls + counts.refused + counts.cold
    return counts.refused / attempts if attempts else 0.0


class VersionEvaluator:
    """Tests all moves to the same service version that were confirmed together.

    Args:
        moves: The moves; each one has its own route.
        policy: Policy of the moves.
        zones: Number of zones that evaluate the version independently.
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
        self._shared_faults = SharedFaultDetector()
        self._overloads = OverloadDetector()
        self._has_anomaly = False
        self._total_tests = self._make_tests() if len(moves) > 1 else {}

    @property
    def value(self) -> float:
        """Mean of all test values; the mean of e-processes is an e-process."""
        values = [test.value for _, _, test in self._tests()]
        return sum(values) / len(values)

    @property
    def threshold(self) -> float:
        """Value at which the version is marked.

        Ville's inequality bounds the probability of a false alarm of each evaluating node by
        1 / threshold; the sum over the evaluating nodes of all zones is alpha.
        """
        return self._threshold

    @property
    def evaluated_ms(self) -> int:
        """Length of the evaluated time, in milliseconds."""
        return (self._next_bucket - self._first_bucket) * BUCKET_MS

    def advance(self, store: EvidenceStore, *, through: int) -> None:
        """Evaluate the buckets up to and including ``through``, each one once.

        Cells that arrive after their bucket was evaluated are ignored, so that no evidence is
        tested twice.
        """
        self._next_bucket = max(self._next_bucket, through - KEPT_BUCKETS + 1)
        while self._next_bucket <= through:
            self._add(store, self._next_bucket)
            self._next_bucket += 1

    def clears_step(self, move_id: str) -> bool:
        """Whether the evidence of the current step is sufficient to clear it.

        A test value above the bound raises the required number of calls in proportion.
        """
        evaluator = self.routes[move_id]
        required = self._policy.min_calls * max(
            1.0, self._highest_value() / self._policy.clear_bound
        )
        return (
            evaluator.step_calls >= required
            and not self.is_suspicious()
            and not evaluator.refuses_too_many()
        )

    def is_clean(self) -> bool:
        """Whether every test value is below the bound, regardless of the amount of evidence."""
        return self._highest_value() < self._policy.clear_bound

    def is_suspicious(self) -> bool:
        """Whether the value is high enough to stop the ramp."""
        return self.value >= SUSPICION_FRACTION * self._threshold

    def regression(self) -> Regression | None:
        """Return the detected regression, or None when the evidence shows none."""
        if self.value < self._threshold:
            return None
        kind, move_id, _ = max(self._tests(), key=lambda entry: entry[2].value)
        evaluators = [self.routes[move_id]] if move_id else list(self.routes.values())
        new, old = Counts(), Counts()
        for evaluator in evaluators:
            new.add(evaluator.new)
            old.add(evaluator.old)
        predicate = "failed" if kind == "failures" else "was slow in"
        reason = (
            f"{predicate} {getattr(new, kind)} of {new.calls} calls; the old version {predicate} "
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
        calls = sum(new.calls + old.calls for new, old in sides.values())
        rate_increases = self._rate_increases(
            store.in_bucket(bucket, OTHER_ROUTES, Side.OTHER), calls
        )
        strata: dict[str, list[Stratum]] = {kind: [] for kind in KINDS}
        for move_id, evaluator in self.routes.items():
            for kind, stratum in evaluator.add(bucket, *sides[move_id], rate_increases).items():
                strata[kind].append(stratum)
        for kind, test in self._total_tests.items():
            test.add(strata[kind])

    def _rate_increases(self, other: Counts, calls: int) -> dict[str, RateIncrease] | None:
        """Return the increases on other routes, None during and right after a shared anomaly.

        An anomaly is a shared fault or an overload. The buckets in which it begins and ends may
        look like a fault of the new version alone. Hence the gain of the bucket before the
        detection is discarded, and the bucket after the anomaly counts as part of it.
        """
        shared_fault, overload = self._shared_faults.detect(other), self._overloads.detect(calls)
        had_anomaly, self._has_anomaly = self._has_anomaly, shared_fault or overload
        if self._has_anomaly and not had_anomaly:
            for _, _, test in self._tests():
                test.discard_last()
        if self._has_anomaly or had_anomaly:
            return None
        return {kind: self._shared_faults.rate_increase(other, kind) for kind in KINDS}

    def _highest_value(self) -> float:
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
        entries.extend((kind, "", test) for kind, test in self._total_tests.items())
        return entries
