"""``citronrack check-config``."""

from __future__ import annotations

from cleo.helpers import argument

from ...settings import load_settings
from ..base import BaseCommand
from ..exits import Exit


class CheckConfigCommand(BaseCommand):
    """Checks a settings file."""

    name = "check-config"
    description = "Checks a settings file; prints one line per error"
    arguments = [argument("settings", "Path of the settings file")]
    help = (
        "Example: <info>citronrack check-config examples/spoorhout/lowlands-a-media-2.yaml</info>"
    )

    def run_command(self) -> int:
        """Load the settings and print that they are valid."""
        settings = load_settings(self.argument("settings"))
        self.line(f"settings of node {settings.node.name} are usable")
        return Exit.OK
