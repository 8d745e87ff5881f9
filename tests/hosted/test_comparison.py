"""The decision about a new version, from counts alone."""

from __future__ import annotations

import unittest
from random import Random

from citronrack.calls import CallRecord
from citronrack.hosted.comparison import CallTotals, Stratum, find_regression
from citronrack.hosted.evidence import Evidence, EvidenceAggregator, EvidenceCounter
from citronrack.verdict import Verdict

OLD, NEW, ROUTE = "v1", "v2", "r"
ZONES = ("a", "b", "c")
CALLS_PER_SLICE = 150
SEEDS = 20

Counts = dict[tuple[str, str], tuple[int, int]]
"""Calls and failures by version and zone."""


def totals(*slices: Counts) -> dict[Stratum, CallTotals]:
    """Return the totals of consecutive time slices."""
    return {
        Stratum(version, ROUTE, zone, number): CallTotals(calls, failures, calls, 100 * calls)
        for number, counts in enumerate(slices)
        for (version, zone), (calls, failures) in counts.items()
    }


class SharedFaultTest(unittest.TestCase):
    """Faults that strike both versions."""

    def test_fault_of_a_zone(self) -> None:
        """Guards against a good version that is taken back while a machine of a zone is out.

        The counts are those of a day on which it was: 11 of 28 calls failed, and 29 of 936 of the
        old version, all but ten of these in the zone of the machine.
        """
        counts = {
            (NEW, "c"): (12, 11),
            (NEW, "a"): (9, 0),
            (NEW, "b"): (7, 0),
            (OLD, "c"): (29, 19),
            (OLD, "a"): (450, 5),
            (OLD, "b"): (457, 5),
        }
        self.assertEqual(find_regression(totals(counts), NEW), "")

    def test_fault_after_the_start_of_the_new_targets(self) -> None:
        """Guards against calls to the old version from before the fault that excuse nothing."""
        before = {(OLD, "c"): (150, 0), (OLD, "a"): (150, 1), (OLD, "b"): (150, 1)}
        during = {
            (NEW, "c"): (8, 4),
            (NEW, "a"): (8, 0),
            (NEW, "b"): (8, 0),
            (OLD, "c"): (50, 20),
            (OLD, "a"): (150, 3),
            (OLD, "b"): (150, 3),
        }
        self.assertEqual(find_regression(totals(before, during), NEW), "")

    def test_route_that_always_fails(self) -> None:
        """Guards against a good version that is taken back once it has all calls of a bad route."""
        before = {(OLD, zone): (2, 2) for zone in ZONES}
        now = {(NEW, "a"): (5, 5)}
        counts = totals(before, {}, {}, {}, now)
        self.assertEqual(find_regression(counts, NEW, since=2), "")
        self.assertEqual(find_regression(counts, NEW), "")

    def test_random_faults(self) -> None:
        """Guards against good versions that are taken back for a fault of both."""
        random = Random(1)
        taken_back = 0
        for _ in range(200):
            zone, rate = random.choice(ZONES), random.uniform(0.2, 0.9)
            slices = [
                self.draw(random, 0.04, lambda _, at, s=s, z=zone, r=rate: r * (s > 1 and at == z))
                for s in range(5)
            ]
            taken_back += bool(find_regression(totals(*slices), NEW))
        self.assertLessEqual(taken_back, 2)

    @staticmethod
    def draw(random: Random, share: float, rate: object) -> Counts:
        """Draw the calls of a slice; the old version has few calls in the faulty zone."""
        counts: Counts = {}
        for _ in range(CALLS_PER_SLICE):
            version = NEW if random.random() < share else OLD
            weights = (1, 1, 1) if version == NEW else (3, 3, 1)
            (zone,) = random.choices(ZONES, weights)
            failed = random.random() < rate(version, zone)  # type: ignore[operator]
            calls, failures = counts.get((version, zone), (0, 0))
            counts[version, zone] = calls + 1, failures + failed
        return counts


class BadVersionTest(unittest.TestCase):
    """Versions that are worse than the old one."""

    def calls_until_found(
        self, random: Random, zones: tuple[str, ...], *, late: int, strata: bool
    ) -> int:
        """Return the calls to a version, half of which fail, until it is found.

        Args:
            random: Source of random numbers.
            zones: Zones with targets of the version.
            late: Slice from which on it is bad.
            strata: Whether the zones and slices are compared one by one.
        """
        counts: dict[Stratum, CallTotals] = {}
        new_calls = 0
        for number in range(4000):
            slice_ = number // CALLS_PER_SLICE
            version = NEW if random.random() < 0.04 else OLD
            zone = random.choice(zones if version == NEW else ZONES)
            bad = version == NEW and slice_ >= late
            failed = random.random() < (0.5 if bad else 0.005)
            new_calls += bad
            key = Stratum(version, ROUTE, zone if strata else "", slice_ if strata else 0)
            counts.setdefault(key, CallTotals()).add(CallTotals(1, int(failed), 1, 100))
            if bad and find_regression(counts, NEW):
                return new_calls
        return 4000

    def test_found_as_early_as_without_strata(self) -> None:
        """Guards against strata that hide a bad version, also in one zone or one that turns bad."""
        for zones, late in ((ZONES, 0), (("b",), 0), (ZONES, 4), (("b",), 4)):
            with self.subTest(zones=zones, late=late):
                with_strata, without = (
                    sum(
                        self.calls_until_found(Random(seed), zones, late=late, strata=strata)
                        for seed in range(SEEDS)
                    )
                    for strata in (True, False)
                )
                self.assertLessEqual(with_strata, without)

    def test_old_version_without_calls(self) -> None:
        """Guards against a bad version that has all calls, and nothing to be compared with."""
        before = {(OLD, zone): (50, 0) for zone in ZONES}
        counts = {(NEW, zone): (20, 5) for zone in ZONES}
        self.assertIn("15 of 60 calls failed", find_regression(totals(before, counts), NEW))

    def test_slow_version(self) -> None:
        """Guards against a slow version, and against one that is slow where the old one is, too."""
        for old_ms, is_slow in ((100, True), (800, False)):
            counts = totals({(OLD, z): (50, 0) for z in ZONES} | {(NEW, "b"): (20, 0)})
            counts[Stratum(NEW, ROUTE, "b", 0)].latency_ms = 20 * 800
            counts[Stratum(OLD, ROUTE, "b", 0)].latency_ms = 50 * old_ms
            with self.subTest(old_ms=old_ms):
                self.assertEqual(bool(find_regression(counts, NEW)), is_slow)


class SlicesTest(unittest.TestCase):
    """Evidence of nodes that is sent again and again."""

    def evidence(self, version: str, *slices: tuple[int, int], zone: str = "a") -> Evidence:
        """Return evidence of one node with the calls of some slices, half of which failed."""
        rows = tuple((number, ROUTE, calls, calls // 2, 0, 0) for number, calls in slices)
        return Evidence(5, "s", "n1/1", version, (), zone, rows)

    def test_slices_are_counted_once(self) -> None:
        """Guards against calls that count again with each message."""
        evidence = EvidenceAggregator()
        for sent in (
            self.evidence(NEW, (0, 2)),
            self.evidence(NEW, (0, 4), (1, 2)),
            self.evidence(NEW, (1, 6)),
            self.evidence(NEW, (1, 6), (2, 8)),
        ):
            evidence.put(sent)
        self.assertEqual(
            [line.split(" ms")[0] for line in evidence.summary()],
            [
                "0 v2 r a: 4 calls, 2 failed, 0",
                "1 v2 r a: 6 calls, 3 failed, 0",
                "2 v2 r a: 8 calls, 4 failed, 0",
            ],
        )

    def test_previous_release(self) -> None:
        """Guards against the evidence of older nodes that is lost during an upgrade."""
        evidence = EvidenceAggregator()
        for calls in (6, 12):
            evidence.put(Evidence(5, "s", "n1/1", NEW, ((ROUTE, calls, calls // 2, 0, 0),)))
        self.assertIn("6 of 12 calls failed", evidence.fault(NEW))


class DependencyTest(unittest.TestCase):
    """Failures of the local target that follow from its own calls."""

    def observe(self, *events: tuple[float, str]) -> tuple[int, int, bool]:
        """Return calls and failures in the evidence, and whether the target is stopped."""
        counter = EvidenceCounter()
        counter.begin(5, NEW)
        for at, event in events:
            if event == "dependency":
                counter.on_dependency_failed(at)
                continue
            status = 500 if event == "failure" else 200
            record = CallRecord(ROUTE, "s", NEW, "GET", status, 0.1, Verdict.RAN)
            counter.observe(record, elapsed_s=at)
        rows = counter.evidence(service="s", node="n1/1", availability_zone="a").slices
        calls, failures = sum(row[2] for row in rows), sum(row[3] for row in rows)
        return calls, failures, counter.failing

    def test_failure_that_follows_from_a_failed_call(self) -> None:
        """Guards against a version that is blamed for a service which its targets call."""
        before, after = (1.0, "dependency"), (1.2, "dependency")
        self.assertEqual(self.observe(before, (1.1, "failure"), (1.2, "success"))[:2], (1, 0))
        self.assertEqual(self.observe((1.1, "failure"), after, (1.2, "success"))[:2], (1, 0))

    def test_failures_of_its_own(self) -> None:
        """Guards against a bad version that few failed calls excuse."""
        failures = tuple((1.0 + n / 100, "failure") for n in range(8))
        self.assertEqual(self.observe((0.9, "dependency"), *failures), (7, 7, True))
        self.assertEqual(self.observe((0.5, "dependency"), *failures), (8, 8, True))
        both = [entry for failure in failures for entry in ((failure[0], "dependency"), failure)]
        self.assertEqual(self.observe(*both), (0, 0, False))
