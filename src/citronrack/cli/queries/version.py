"""``citronrack version``."""

from __future__ import annotations

from ... import __version__
from ..base import BaseCommand
from ..exits import Exit


class VersionCommand(BaseCommand):
    """Shows the version of the program."""

    name = "version"
    description = "Shows the version of the program"

    def run_command(self) -> int:
        """Print the version."""
        self.line(f"citronrack {__version__}")
        return Exit.OK
