"""``citronrack intent plan``."""

from __future__ import annotations

import json
from pathlib import Path

import yaml
from cleo.helpers import argument, option

from ..base import API_OPTIONS, FORMAT_OPTION, BaseCommand, UsageError
from ..exits import Exit


class IntentPlanCommand(BaseCommand):
    """Requests a plan without changing anything."""

    name = "intent plan"
    description = "Computes the plan for an intent; nothing changes until it is confirmed"
    arguments = [argument("intent", "Path of a YAML or JSON file with the intent")]
    options = [
        option("out", "o", "Where to write the plan", flag=False, default="plan.json"),
        FORMAT_OPTION,
        *API_OPTIONS,
    ]
    help = "Example: <info>citronrack intent plan examples/move.yaml -o plan.json</info>"

    def run_command(self) -> int:
        """Send the intent and write the returned plan to a file."""
        path = Path(self.argument("intent"))
        try:
            intent = yaml.safe_load(path.read_text(encoding="utf-8"))
        except (OSError, yaml.YAMLError) as error:
            raise UsageError(f"{path}: {' '.join(str(error).split())}") from error
        response = self.client().post("/v1/plans", intent)
        if response.status != 200:
            return self.report_refusal(response)
        plan = response.content
        out = self.option("out")
        Path(out).write_text(json.dumps(plan, indent=2) + "\n", encoding="utf-8")
        if self.wants_json:
            self.write_json(plan)
            return Exit.OK
        self.line(f"plan {plan['plan_id']} is based on version {plan['base_version']}")
        for line in plan["differences"]:
            self.line(f"  {line}")
        for line in plan["warnings"]:
            self.line(f"  warning: {line}")
        self.line(f"nothing has changed; confirm with: citronrack intent confirm {out}")
        return Exit.OK
