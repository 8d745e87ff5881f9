"""``citronrack intent list``."""

from __future__ import annotations

from ..base import API_OPTIONS, FORMAT_OPTION, BaseCommand
from ..exits import Exit


class IntentListCommand(BaseCommand):
    """Lists open moves and the latest outcomes."""

    name = "intent list"
    description = "Lists open moves and the latest outcomes"
    options = [FORMAT_OPTION, *API_OPTIONS]
    help = "Example: <info>citronrack intent list --format json</info>"

    def run_command(self) -> int:
        """Print one line per move."""
        response = self.client().get("/v1/moves")
        if response.status != 200:
            return self.report_refusal(response)
        if self.wants_json:
            self.write_json(response.content)
            return Exit.OK
        for move in response.content["moves"]:
            self.line(f"{move['move_id']}: {move['state']}")
        if not response.content["moves"]:
            self.line("no moves")
        return Exit.OK
