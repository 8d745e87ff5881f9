"""``citronrack status``."""

from __future__ import annotations

from typing import Any

from ..base import API_OPTIONS, FORMAT_OPTION, BaseCommand
from ..exits import Exit


class StatusCommand(BaseCommand):
    """Shows which configuration version is in force in each availability zone."""

    name = "status"
    description = "Shows which configuration version is in force per availability zone"
    options = [FORMAT_OPTION, *API_OPTIONS]
    help = "Example: <info>citronrack status --api http://127.0.0.1:7400 --token ...</info>"

    def run_command(self) -> int:
        """Print the status of the node and the mesh."""
        response = self.client().get("/v1/status")
        if response.status != 200:
            return self.report_refusal(response)
        if self.wants_json:
            self.write_json(response.content)
        else:
            self._write_text(response.content)
        return Exit.OK

    def _write_text(self, status: dict[str, Any]) -> None:
        reason = f" ({status['reason']})" if status["reason"] else ""
        self.line(f"node {status['node']}: {status['readiness']}{reason}")
        self.line(f"version {status['version']} in force, log offset {status['offset']}")
        if status["log_reachable"] is False:
            self.line("the platform's log does not answer")
        for zone in status["zones"]:
            missing = zone["nodes"] - zone["in_force"] - len(zone["behind"])
            unknown_note = f", {missing} unknown" if missing > 0 else ""
            self.line(
                f"zone {zone['availability_zone']}: "
                f"{zone['in_force']} of {zone['nodes']} nodes{unknown_note}"
            )
            for kind in ("behind", "unknown"):
                if zone[kind]:
                    self.line(f"  {kind}: {', '.join(zone[kind])}")
        for move in status["moves"]:
            self.line(
                f"move {move['move_id']}: share {move['share']:.2f}, "
                f"{move['cleared']} of {move['steps']} steps cleared; {move['reason']}"
            )
