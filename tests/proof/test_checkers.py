"""Each invariant checker reports a faulty part, and reports nothing in a run without faults."""

from __future__ import annotations

import contextlib
import unittest
from collections.abc import Callable
from contextlib import AbstractContextManager
from functools import partial
from typing import Any
from unittest import mock

from citronrack.log import Marked
from citronrack.proof.checker import CHECKERS, CheckState
from citronrack.proof.fake_calls import CallRules
from citronrack.proof.runner import ScenarioResult, run_scenario
from citronrack.proof.source import parse_scenario
from citronrack.proof.world import World

from . import broken

EVERYTHING = b"""
name: everything
about: exercises all ten invariants
seconds: 30
world:
  deployment: spoorhout
  targets: [{service: catalogue, service_version: 2.5.0, count: 3}]
  load: {calls_per_s: 70}
events:
  - {at: 0, do: bad_version, service: catalogue, service_version: 2.5.0}
  - {at: 0, do: bad_version, service: media, service_version: 1.8.0, kind: slow, slow_factor: 10}
  - {at: 5, do: publish, route: lookups, timeout_ms: 3000}
  - {at: 8, do: publish_invalid, route: orders}
  - {at: 9, do: move, route: lookups, to_version: 2.5.0, deadline_s: 300}
  - {at: 10, do: move, route: orders, to_version: 2.5.0, deadline_s: 300}
  - {at: 12, do: drain, node: media-1}
  - {at: 15, do: restart, node: catalogue-2}
  - {at: 20, do: crash, node: catalogue-3}
  - {at: 20, do: crash, node: media-2}
  - {at: 22, do: crash, node: catalogue-1}
  - {at: 24, do: crash, node: catalogue-4}
"""
QUIET = b"""
name: quiet
about: exercises little
seconds: 5
world: {deployment: harbor-lantern}
"""
MARK_AT_S = 20.0
FaultContext = Callable[[], AbstractContextManager[Any]]

FAULTY_PARTS: dict[str, tuple[type[broken.RampRules], FaultContext]] = {
    "R1": (broken.RampRules, partial(broken.use_core_class, broken.RevertingCore)),
    "R2": (broken.RampRules, partial(broken.use_core_class, broken.DanglingCore)),
    "R3": (broken.RampRules, partial(broken.use_core_class, broken.PartialCore)),
    "R4": (broken.ExcessiveShareRules, contextlib.nullcontext),
    "R4 marked": (broken.MarkIgnoringRules, contextlib.nullcontext),
    "R5": (broken.RampRules, partial(broken.use_target_class, broken.ResponseSwappingTarget)),
    "R6": (broken.FalseNotRunRules, contextlib.nullcontext),
    "R7": (broken.AlwaysRetryingRules, contextlib.nullcontext),
    "R8": (broken.RampRules, broken.unannounced_drain),
    "R9": (broken.RampRules, broken.stop_without_waiting),
    "R10": (broken.RampRules, partial(broken.use_core_class, broken.StuckCore)),
}


def run(data: bytes, rules: CallRules | None = None, *, seed: int = 1) -> ScenarioResult:
    """Run a scenario given as text."""
    return run_scenario(parse_scenario(data, source="inline.yaml"), seed=seed, rules=rules)


def run_marked(rules: broken.RampRules, *, seed: int) -> ScenarioResult:
    """Run `EVERYTHING` and mark the bad version at `MARK_AT_S`."""
    begin = World.begin

    def mark(world: World) -> None:
        move = max(world.log.fold.config.moves.values(), key=lambda move: move.epoch)
        body = Marked("catalogue", move.to_version, move.epoch, "test", "", 0, 0, "lowlands-a")
        world.append_body(body)
        rules.marked.add(move.to_version)

    def begin_and_mark(world: World) -> None:
        begin(world)
        world.timeline.at(MARK_AT_S, lambda: mark(world))

    with mock.patch.object(World, "begin", begin_and_mark):
        return run(EVERYTHING, rules, seed=seed)


class CheckerTest(unittest.TestCase):
    """Guards against checkers that miss violations or report false ones."""

    def states(self, result: ScenarioResult) -> dict[str, CheckState]:
        """Return the state of each checker."""
        return {check.name: check.state for check in result.checks}

    def test_all_invariants_are_watched_and_kept(self) -> None:
        """Fails if a checker is missing, checks nothing or reports a violation without a fault."""
        for seed in (1, 2):
            with self.subTest(seed=seed), broken.drain_notice(8.0):
                result = run_marked(broken.RampRules(), seed=seed)
                expected = dict.fromkeys((f"R{n}" for n in range(1, 11)), CheckState.KEPT)
                self.assertEqual(self.states(result), expected, result.faults)

    def test_each_checker_reports_a_faulty_part(self) -> None:
        """Fails if a faulty part can violate an invariant without being reported."""
        self.assertEqual({name.split()[0] for name in FAULTY_PARTS}, set(CHECKERS))
        for name, (rules, inject_fault) in FAULTY_PARTS.items():
            with self.subTest(name), inject_fault():
                result = run_marked(rules(), seed=1)
                self.assertIs(self.states(result)[name.split()[0]], CheckState.BROKEN)

    def test_unexercised_invariant_is_not_reported_as_kept(self) -> None:
        """Fails if a run without a drain or a bad version reports their invariants as kept."""
        states = self.states(run(QUIET))
        for name in ("R3", "R4", "R8", "R9"):
            self.assertIs(states[name], CheckState.NOT_EXERCISED)
        self.assertIs(states["R5"], CheckState.KEPT)
