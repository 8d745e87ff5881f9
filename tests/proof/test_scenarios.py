"""The scenario language: errors state the line, runs are reproducible, the page is complete."""

from __future__ import annotations

import unittest
from pathlib import Path

from citronrack.proof.language_page import PAGE, scenarios_page
from citronrack.proof.runner import find_scenarios, run_scenario
from citronrack.proof.source import ScenarioError, load_scenario, parse_scenario

ROOT = Path(__file__).resolve().parent.parent.parent
HEAD = "name: x\nabout: y\nseconds: 10\nworld:\n  deployment: spoorhout\n"


class ScenarioTest(unittest.TestCase):
    """Guards against scenarios that do not do what their author intended."""

    def test_faults_name_file_line_and_key(self) -> None:
        """Fails if an error message does not locate the error, or a typing error is ignored."""
        cases = {
            HEAD + "extra: 1\n": "s.yaml:6: extra: unknown key",
            HEAD + "  links: {loss: 2}\n": "s.yaml:6: world.links.loss: expected 0 to 1",
            HEAD + "needs: [magic]\n": "s.yaml:6: needs[0]: expected one of",
            HEAD + "events:\n  - {at: 1, do: explode}\n": "s.yaml:7: events[0].do: unknown event",
            HEAD
            + "events:\n  - at: 1\n    do: crash\n    node: n\n": "s.yaml:9: events[0].node: unk",
            HEAD + "events:\n  - {at: 99, do: heal}\n": "s.yaml:7: events[0].at: is after the end",
            HEAD + "expect:\n  - {that: plan_result, plan: p, result: accepted}\n": "s.yaml:7: ",
            "a: [": "s.yaml:1: is not valid YAML",
            "": "s.yaml:1: scenario: expected a map",
        }
        for text, expected in cases.items():
            with self.subTest(expected):
                with self.assertRaises(ScenarioError) as caught:
                    parse_scenario(text.encode(), source="s.yaml")
                self.assertTrue(caught.exception.faults[0].startswith(expected))

    def test_same_seed_same_run(self) -> None:
        """Fails if a run depends on anything but its file and seed."""
        path = ROOT / "scenarios/faults/operators-racing.yaml"
        runs = [run_scenario(load_scenario(path), seed=seed) for seed in (3, 3, 4)]
        self.assertEqual(runs[0], runs[1])
        self.assertNotEqual(runs[0].fingerprint, runs[2].fingerprint)

    def test_scenario_library_is_valid(self) -> None:
        """Fails if a file of the scenario library is not valid."""
        for path in find_scenarios([str(ROOT / "scenarios")]):
            load_scenario(path)

    def test_page_lists_the_whole_language(self) -> None:
        """Fails if docs/scenarios.md does not match the registries."""
        self.assertEqual((ROOT / PAGE).read_text(encoding="utf-8"), scenarios_page())
