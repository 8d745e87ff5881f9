"""The shipped examples are valid."""

from __future__ import annotations

import unittest
from pathlib import Path

import yaml

from citronrack.config import ConfigSet
from citronrack.moves import Intent, make_plan
from citronrack.plain import from_plain
from citronrack.settings import load_settings

EXAMPLES = Path(__file__).resolve().parent.parent.parent / "examples"
WORKERS = {"spoorhout": 8 + 3, "harbor-lantern": 8 + 4}
ZONES = {"spoorhout": 3, "harbor-lantern": 4}


class ExamplesTest(unittest.TestCase):
    """Guards against examples that no longer match the code or the sizes of the deployments."""

    def test_settings_describe_each_worker(self) -> None:
        """Fails if a settings file is refused or a worker is missing."""
        for deployment, workers in WORKERS.items():
            paths = [p for p in (EXAMPLES / deployment).glob("*.yaml") if p.stem != "intent"]
            loaded = [load_settings(path) for path in paths]
            self.assertEqual(len({settings.node.name for settings in loaded}), workers)
            zones = {settings.node.availability_zone for settings in loaded}
            self.assertEqual(len(zones), ZONES[deployment])
            self.assertEqual({settings.profile for settings in loaded}, {deployment})

    def test_intents_lead_to_a_plan(self) -> None:
        """Fails if an example intent is refused."""
        for deployment in WORKERS:
            text = (EXAMPLES / deployment / "intent.yaml").read_text(encoding="utf-8")
            intent = from_plain(yaml.safe_load(text), Intent, name="intent")
            plan = make_plan(intent, ConfigSet(), now_ms=0, default_profile=deployment)
            self.assertEqual(len(plan.change.put_routes), 4)
