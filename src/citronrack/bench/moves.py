"""Measures the outcomes of moves to scripted versions; ``python -m citronrack.bench.moves``."""

from __future__ import annotations

import argparse
import math
import sys
from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from statistics import median

from attrs import frozen

from ..log.records import MoveResult
from ..moves import Policy, profiles
from ..moves.evaluator import EVALUATORS_PER_ZONE
from ..moves.evidence import BUCKET_MS
from ..moves.zone import SETTLE_MS
from .moves_compared import ThresholdRamp, TimedRamp
from .moves_fleet import ZONE_FACT_DELAY_S, MoveFleet
from .moves_parts import HARBOR_LANTERN, SPOORHOUT, Deployment
from .moves_versions import AT_ONCE_FAILURES, versions

DEADLINE_S = 240.0
TICK_S = 1.0
LIMIT_S = 560.0
FAULT_FROM_S = 20.0
OUTAGE_TO_S = 200.0
CUT_TO_S = 300.0  # after the deadline, so that the outcome is unknown for a while
COMPARED_AFTER_S = 60.0
COMPARED_SEEDS = 10  # results differ little between seeds
WORKERS = 2
DEPLOYMENTS: dict[str, Deployment] = {"spoorhout": SPOORHOUT, "harbor-lantern": HARBOR_LANTERN}
ONLY_WITHOUT_FAULT = ("good, overload", "good, shared fault after the end")
CONDITIONS = ("none", "outage", "cut zone")
EVIDENCE, TIMED, THRESHOLD = "evidence", "timed", "threshold"


@frozen
class Case:
    """One run.

    Attributes:
        way: How the share is decided: ``evidence``, ``timed`` or ``threshold``.
        profile: Policy.
        deployment: Name of the deployment's sizes.
        condition: Platform outage, cut-off zone or none.
        version: Name of the scripted version.
        seed: Seed of the run.
    """

    way: str
    profile: str
    deployment: str
    condition: str
    version: str
    seed: int


@frozen
class Run:
    """Result of a run.

    Attributes:
        results: Results of both moves.
        new_calls: Calls of the new version since its fault began.
        fraction: Fraction of these among all calls up to the last one of them.
        to_zero_s: Time from the first faulty call to the last call of the new version in any zone.
    """

    results: tuple[str, ...]
    new_calls: int
    fraction: float
    to_zero_s: float


def run_case(case: Case) -> Run:
    """Run one case from start to end."""
    if case.way == EVIDENCE:
        return _run_evidence(case)
    return _run_compared(case)


def _run_evidence(case: Case) -> Run:
    fleet = MoveFleet(
        DEPLOYMENTS[case.deployment],
        profile=case.profile,
        version=versions.get(case.version),
        seed=case.seed,
        deadline_s=DEADLINE_S,
        tick_s=TICK_S,
    )
    fleet.counts_bytes = False
    while not fleet.decided() and fleet.clock.monotonic() < LIMIT_S:
        _set_condition(fleet, case.condition)
        fleet.step()
    outcomes = fleet.newest.state.outcomes.values()
    return _result(fleet, tuple(outcome.result for outcome in outcomes))


def _set_condition(fleet: MoveFleet, condition: str) -> None:
    fleet.log_down = condition == "outage" and FAULT_FROM_S <= fleet.age_s < OUTAGE_TO_S
    is_cut = condition == "cut zone" and FAULT_FROM_S <= fleet.age_s < CUT_TO_S
    fleet.cut = {fleet.deployment.zones[-1]} if is_cut else set()


def _run_compared(case: Case) -> Run:
    policy: Policy = profiles.get(case.profile)
    ways = {TIMED: TimedRamp, THRESHOLD: ThresholdRamp}
    controller = ways[case.way](policy, DEADLINE_S)
    fleet = MoveFleet(
        DEPLOYMENTS[case.deployment],
        profile=case.profile,
        version=versions.get(case.version),
        seed=case.seed,
        deadline_s=DEADLINE_S,
        tick_s=TICK_S,
        controller=controller,
    )
    end_s = DEADLINE_S + COMPARED_AFTER_S
    while fleet.age_s < end_s:
        fleet.step()
    taken_back = isinstance(controller, ThresholdRamp) and controller.taken_back_s is not None
    result = MoveResult.TAKEN_BACK if taken_back else MoveResult.FINISHED_IN_TIME
    return _result(fleet, (result.value,))


def _result(fleet: MoveFleet, results: tuple[str, ...]) -> Run:
    tally = fleet.tally
    fraction = tally.new_after_fault / max(tally.all_until_last_new, 1)
    first, last = tally.first_fault_s, tally.last_new_s
    to_zero = last - first if first is not None and last is not None else 0.0
    return Run(results, tally.new_after_fault, fraction, to_zero)


def cases(seeds: int) -> Iterator[Case]:
    """Yield all runs.

    Each profile also runs on the deployment of the other one. This combination is the slowest, so
    it has neither an outage nor a cut-off zone.
    """
    for seed in range(1, seeds + 1):
        for version in versions:
            for name in DEPLOYMENTS:
                for condition in CONDITIONS if version not in ONLY_WITHOUT_FAULT else ("none",):
                    yield Case(EVIDENCE, name, name, condition, version, seed)
                other = next(profile for profile in DEPLOYMENTS if profile != name)
                yield Case(EVIDENCE, other, name, "none", version, seed)
                for way in (TIMED, THRESHOLD) if seed <= COMPARED_SEEDS else ():
                    yield Case(way, name, name, "none", version, seed)


Key = tuple[str, str, str, str, str]


def _rows(results: Iterable[tuple[Case, Run]]) -> dict[Key, list[Run]]:
    rows: dict[Key, list[Run]] = defaultdict(list)
    for case, run in results:
        key = (case.way, case.profile, case.deployment, case.condition, case.version)
        rows[key].append(run)
    return rows


def _cells(key: Key, runs: Sequence[Run]) -> Iterator[str]:
    is_bad = versions.get(key[4]).bad_from_s is not None
    number = len(runs)
    in_time = sum(set(run.results) == {MoveResult.FINISHED_IN_TIME.value} for run in runs)
    back = sum(set(run.results) == {MoveResult.TAKEN_BACK.value} for run in runs)
    yield from key
    yield f"{in_time}/{number}"
    yield f"{back}/{number}"
    if not is_bad:
        yield from ("", "", "")
        return
    yield _median_and_worst([run.new_calls for run in runs], "{:.0f}")
    yield _median_and_worst([100 * run.fraction for run in runs], "{:.1f}")
    yield _median_and_worst([run.to_zero_s for run in runs], "{:.0f}")


def _median_and_worst(values: Sequence[float], form: str) -> str:
    return f"{form.format(median(values))} / {form.format(max(values))}"


def bad_calls_bound(policy: Policy, sizes: Deployment) -> float:
    """Return the most calls that the version "bad at once" gets while no zone reaches another.

    Each zone needs up to ``K`` failed calls to mark the version, twice the number that raises one
    test value above the threshold when the old version does not fail. Until then, and while two
    buckets are closed and the mark spreads, the version receives the unproven share.
    """
    zones = len(sizes.zones)
    tests = 6  # failures and slow calls of two routes and of both together
    threshold = EVALUATORS_PER_ZONE * zones / policy.alpha
    wanted = math.log(threshold * tests * len(policy.odds) * 2) / math.log(max(policy.odds))
    failures = 2 * math.ceil(wanted)
    settle_s = 3 * BUCKET_MS / 1000 + policy.evidence_interval_s + SETTLE_MS / 1000
    spread_s = ZONE_FACT_DELAY_S + 3 * TICK_S
    rate = policy.unproven_share * sizes.calls_per_second
    return zones * failures / AT_ONCE_FAILURES + rate * (settle_s + spread_s)


def bound_lines(results: Iterable[tuple[Case, Run]]) -> Iterator[str]:
    """Yield the bound and the worst run of "bad at once" for each profile and size."""
    rows = _rows(results)
    for key, runs in sorted(rows.items()):
        if key[0] == EVIDENCE and key[4] == "bad at once":
            bound = bad_calls_bound(profiles.get(key[1]), DEPLOYMENTS[key[2]])
            worst = max(run.new_calls for run in runs)
            kept = "kept" if worst <= bound else "BROKEN"
            yield f"bound on bad calls, {', '.join(key[1:4])}: worst {worst}, {bound:.0f}: {kept}"


def table(results: Iterable[tuple[Case, Run]]) -> Iterator[str]:
    """Yield the lines of a Markdown table."""
    head = (
        "way",
        "profile",
        "sizes",
        "fault",
        "version",
        "in time",
        "taken back",
        "bad calls (median / worst)",
        "their share in %",
        "s to share 0",
    )
    yield "| " + " | ".join(head) + " |"
    yield "|" + "---|" * len(head)
    for key, runs in sorted(_rows(results).items()):
        yield "| " + " | ".join(_cells(key, runs)) + " |"


def main() -> int:
    """Run all cases on `WORKERS` processes and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=40)
    parser.add_argument("--versions", nargs="*", default=[], help="only these scripted versions")
    options = parser.parse_args()
    chosen = [
        c for c in cases(options.seeds) if not options.versions or c.version in options.versions
    ]
    with ProcessPoolExecutor(WORKERS) as pool:
        runs = list(pool.map(run_case, chosen, chunksize=8))
    results = list(zip(chosen, runs, strict=True))
    for line in (*table(results), *bound_lines(results)):
        print(line)
    return 0


if __name__ == "__main__":
    sys.exit(main())
