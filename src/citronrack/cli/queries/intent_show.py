"""``citronrack intent show``."""

from __future__ import annotations

from cleo.helpers import argument

from ..base import API_OPTIONS, FORMAT_OPTION, BaseCommand
from ..exits import Exit


class IntentShowCommand(BaseCommand):
    """Shows the result of a plan or the state of a move."""

    name = "intent show"
    description = "Shows the result of a plan (by plan id) or the progress of a move (by move id)"
    arguments = [argument("id", "Id of a plan or a move")]
    options = [FORMAT_OPTION, *API_OPTIONS]
    help = "Example: <info>citronrack intent show lookups-2.0.0-1800000000000</info>"

    def run_command(self) -> int:
        """Look up a move with this id, and a plan when there is none."""
        client = self.client()
        response = client.get(f"/v1/moves/{self.argument('id')}")
        if response.status == 404:
            response = client.get(f"/v1/plans/{self.argument('id')}")
        if response.status != 200:
            return self.report_refusal(response)
        content = response.content
        if self.wants_json:
            self.write_json(content)
        else:
            self.line(self._text(content))
        return Exit.UNKNOWN if content.get("result") == "unknown" else Exit.OK

    @staticmethod
    def _text(content: dict[str, object]) -> str:
        if "move_id" in content:
            outcome = content.get("outcome") or {}
            detail = outcome.get("detail", "") if isinstance(outcome, dict) else ""
            return f"move {content['move_id']}: {content['state']} {detail}".rstrip()
        return f"plan {content['plan_id']}: {content['result']} {content['reason']}".rstrip()
