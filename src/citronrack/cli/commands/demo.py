"""``citronrack demo``."""

from __future__ import annotations

from ..base import BaseCommand


class DemoCommand(BaseCommand):
    """Runs the demo."""

    name = "demo"
    description = "Runs a small mesh on loopback addresses and checks its guarantees"
    help = "Example: <info>citronrack demo</info>"

    def run_command(self) -> int:
        """Run all steps; return exit code 1 when a guarantee does not hold."""
        from ...demo.run import run_demo

        return run_demo(self.line)
