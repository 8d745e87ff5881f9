"""``citronrack intent cancel``."""

from __future__ import annotations

from cleo.helpers import argument

from ..base import API_OPTIONS, FORMAT_OPTION, BaseCommand
from ..exits import Exit


class IntentCancelCommand(BaseCommand):
    """Cancels an open move."""

    name = "intent cancel"
    description = "Cancels an open move; its route returns to the old service version"
    arguments = [argument("move", "Id of the move")]
    options = [FORMAT_OPTION, *API_OPTIONS]
    help = "Example: <info>citronrack intent cancel lookups-2.0.0-1800000000000</info>"

    def run_command(self) -> int:
        """Send the request and print its result."""
        response = self.client().post(f"/v1/moves/{self.argument('move')}/cancel", {})
        if response.status not in (200, 202):
            return self.report_refusal(response)
        if self.wants_json:
            self.write_json(response.content)
        else:
            self.line(f"{response.content['result']} {response.content['reason']}".strip())
        return Exit.OK if response.status == 200 else Exit.UNKNOWN
