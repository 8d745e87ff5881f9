"""Runs scenarios and collects failed expectations and violated invariants."""

from __future__ import annotations

import hashlib
from collections.abc import Mapping
from enum import StrEnum
from functools import partial
from pathlib import Path

from attrs import frozen

from ..errors import CitronrackError
from .checker import CheckResult, CheckState
from .checkers import CHECKERS
from .fake_calls import CallRules
from .language import END_OF_RUN, Expectation
from .observations import Observation, ObservationDispatcher
from .parts import missing_parts
from .source import Scenario, ScenarioError, load_scenario
from .world import World

DEFAULT_SEED = 1


class RunState(StrEnum):
    """Outcome of a scenario."""

    PASSED = "passed"
    FAILED = "failed"
    SKIPPED = "skipped"


@frozen
class ScenarioResult:
    """Result of one scenario.

    Attributes:
        path: Path of the scenario file.
        name: Name of the scenario.
        seed: Seed of the run.
        state: Outcome of the run.
        faults: Failed expectations, each with file and line, and violated invariants.
        checks: Result of each invariant checker.
        fingerprint: Digest of all observations; equal for identical runs.
        missing: Required parts that are not present.
    """

    path: str
    name: str
    seed: int
    state: RunState
    faults: tuple[str, ...] = ()
    checks: tuple[CheckResult, ...] = ()
    fingerprint: str = ""
    missing: tuple[str, ...] = ()


class Fingerprint:
    """Hash of the class and exact time of all observations.

    The times depend on all random numbers, so that runs with different seeds differ.
    """

    def __init__(self) -> None:
        self._hash = hashlib.blake2b(digest_size=8)

    def observe(self, observation: Observation) -> None:
        """Add an observation to the hash."""
        self._hash.update(f"{type(observation).__name__} {observation.at!r}".encode())

    def text(self) -> str:
        """Return the digest."""
        return self._hash.hexdigest()


class _Expectations:
    """Checks the expectations of a scenario at their times."""

    def __init__(self, scenario: Scenario, world: World) -> None:
        self._scenario = scenario
        self._world = world
        self.faults: list[str] = []

    def schedule(self) -> None:
        """Schedule the checks that have a time."""
        for entry, line in self._entries():
            if entry.at != END_OF_RUN:
                self._world.timeline.at(entry.at, partial(self._check, entry, line))

    def finish(self) -> None:
        """Check the expectations without a time."""
        for entry, line in self._entries():
            if entry.at == END_OF_RUN:
                self._check(entry, line)

    def _entries(self) -> list[tuple[Expectation, int]]:
        return list(zip(self._scenario.expect, self._scenario.lines, strict=True))

    def _check(self, entry: Expectation, line: int) -> None:
        try:
            fault = entry.fault(self._world)
        except LookupError as error:
            fault = str(error.args[0])
        if fault:
            at = self._world.timeline.now
            self.faults.append(f"{self._scenario.path}:{line}: at {at:.1f} s: {fault}")


def run_scenario(
    scenario: Scenario,
    *,
    seed: int = DEFAULT_SEED,
    rules: CallRules | None = None,
    traces: Mapping[str, str] | None = None,
) -> ScenarioResult:
    """Run one scenario; the same seed gives the same result.

    Args:
        scenario: A validated scenario.
        seed: Seed for all random numbers.
        rules: Decisions of the call path, replaced by tests.
        traces: Paths of trace files by node; each process appends its boot number to the path.
    """
    missing = missing_parts(scenario.head.needs)
    if missing:
        return ScenarioResult(scenario.path, scenario.name, seed, RunState.SKIPPED, missing=missing)
    checkers = {name: CHECKERS.get(name)() for name in CHECKERS}
    fingerprint = Fingerprint()
    emit = ObservationDispatcher()
    emit.subscribe(fingerprint.observe)
    for checker in checkers.values():
        checker.subscribe_to(emit)
    world = World(scenario.head.world, seed=seed, emit=emit, rules=rules, traces=traces)
    for event in scenario.events:
        world.timeline.at(event.at, partial(event.apply, world))
    expectations = _Expectations(scenario, world)
    expectations.schedule()
    world.begin()
    world.timeline.run_until(scenario.head.seconds)
    expectations.finish()
    world.end_traces()
    for checker in checkers.values():
        checker.finish(scenario.head.seconds)
    checks = tuple(
        checkers[name].result(name) for name in sorted(checkers, key=lambda name: int(name[1:]))
    )
    faults = [*expectations.faults, *_violations(checks)]
    state = RunState.FAILED if faults else RunState.PASSED
    return ScenarioResult(
        scenario.path, scenario.name, seed, state, tuple(faults), checks, fingerprint.text()
    )


def _violations(checks: tuple[CheckResult, ...]) -> list[str]:
    return [
        f"{check.name} ({check.title}) at {violation.at:.1f} s: {violation.text}"
        for check in checks
        if check.state is CheckState.BROKEN
        for violation in check.violations
    ]


def find_scenarios(paths: list[str]) -> list[Path]:
    """Return the scenario files at the paths; folders are searched recursively.

    Raises:
        ScenarioError: When a path does not exist or contains no scenario.
    """
    found: list[Path] = []
    for text in paths:
        path = Path(text)
        files = sorted(path.rglob("*.yaml")) if path.is_dir() else [path]
        if not files or not path.exists():
            raise ScenarioError([f"{text}: contains no scenario"])
        found.extend(files)
    return found


def run_files(
    paths: list[str], *, seed: int, traces: Mapping[str, str] | None = None
) -> list[ScenarioResult]:
    """Load and run all scenarios at the paths; an invalid file gives a failed result.

    Raises:
        ScenarioError: When a path does not exist or contains no scenario.
    """
    results = []
    for path in find_scenarios(paths):
        try:
            results.append(run_scenario(load_scenario(path), seed=seed, traces=traces))
        except ScenarioError as error:
            results.append(
                ScenarioResult(str(path), path.stem, seed, RunState.FAILED, error.faults)
            )
        except CitronrackError as error:
            text = f"{path}:1: {type(error).__name__}: {error}"
            results.append(ScenarioResult(str(path), path.stem, seed, RunState.FAILED, (text,)))
    return results
