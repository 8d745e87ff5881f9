"""``citronrack node``."""

from __future__ import annotations

from cleo.helpers import argument

from ..base import BaseCommand
from ..run_node import run_node


class NodeCommand(BaseCommand):
    """Runs a node until it receives a stop signal."""

    name = "node"
    description = "Runs a node beside a target until SIGTERM, then stops gracefully"
    arguments = [argument("settings", "Path of the settings file")]
    help = "Example: <info>citronrack node examples/spoorhout/lowlands-a-catalogue-1.yaml</info>"

    def run_command(self) -> int:
        """Run the node until the process receives a stop signal."""
        return run_node(self.argument("settings"), write_error=self.line_error)
