"""``citronrack intent confirm``."""

from __future__ import annotations

import json
from pathlib import Path

from cleo.helpers import argument

from ..base import API_OPTIONS, FORMAT_OPTION, BaseCommand, UsageError
from ..exits import Exit


class IntentConfirmCommand(BaseCommand):
    """Puts a plan in force."""

    name = "intent confirm"
    description = "Confirms a plan; exit code 4 when it is unknown whether it took effect"
    arguments = [argument("plan", "Path of the plan file")]
    options = [FORMAT_OPTION, *API_OPTIONS]
    help = "Example: <info>citronrack intent confirm plan.json</info>"

    def run_command(self) -> int:
        """Send the plan and print the result of its confirmation."""
        path = Path(self.argument("plan"))
        try:
            plan = json.loads(path.read_text(encoding="utf-8"))
        except (OSError, ValueError) as error:
            raise UsageError(f"{path}: {error}") from error
        response = self.client().post("/v1/plans/confirm", plan)
        if response.status not in (200, 202):
            return self.report_refusal(response)
        result = response.content
        if self.wants_json:
            self.write_json(result)
        elif result["result"] == "accepted":
            self.line(f"accepted as version {result['version']}")
        else:
            self.line(f"unknown: {result['reason']}")
        return Exit.OK if result["result"] == "accepted" else Exit.UNKNOWN
