"""``citronrack node``."""

from __future__ import annotations

from cleo.helpers import argument

from ..base import BaseCommand
from ..run_node import run_node


class NodeCommand(BaseCommand):
    """Runs a node until it is told to stop."""

    name = "node"
    description = "Runs a node beside a target until SIGTERM, then stops gracefully"
    arguments = [argument("settings", "Path of the settings file")]
    help = "Example: <info>citronrack node examples/spoorhout/lowlands-a-catalogue-1.yaml</info>"

    def run_command(self) -> int:
        """Serve until the process is told to stop."""
        return run_node(self.argument("settings"), write_error=self.line_error)
