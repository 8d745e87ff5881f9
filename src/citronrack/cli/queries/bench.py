"""``citronrack bench``."""

from __future__ import annotations

import runpy
import sys

from cleo.helpers import argument

from ..base import BaseCommand, UsageError

BENCHES = {
    "balancing": "policies of target choice, in one process",
    "calls": "latency that a node adds, calls per second, overload; real processes",
    "directory": "memory and time of what a node knows about other zones, at the target's size",
    "distribution": "ways of distributing, in one process",
    "log_load": "appends and reads of a herd restart, in one process",
    "moves": "good and bad versions under all faults, in one process",
    "moves_alarm": "false alarms of the sequential test",
    "moves_bytes": "bytes of evidence",
    "processes": "convergence, control bytes, processor time, memory; real processes",
}


class BenchCommand(BaseCommand):
    """Runs one measurement."""

    name = "bench"
    description = "Runs one measurement; without a name, lists them"
    arguments = [
        argument("name", "Name of the measurement", optional=True),
        argument("arguments", "Its arguments; put them behind --", optional=True, multiple=True),
    ]
    help = "Example: <info>citronrack bench processes -- --nodes 12 30</info>"

    def run_command(self) -> int:
        """Run the measurement with its own arguments."""
        name = self.argument("name")
        if not name:
            for known, meaning in BENCHES.items():
                self.line(f"{known}: {meaning}")
            return 0
        if name not in BENCHES:
            raise UsageError(f"unknown measurement {name!r}; known: {', '.join(BENCHES)}")
        # Each measurement is a module with a command line of its own.
        sys.argv = [f"citronrack bench {name}", *self.argument("arguments")]
        try:
            runpy.run_module(f"citronrack.bench.{name}", run_name="__main__", alter_sys=True)
        except SystemExit as stop:
            return int(stop.code or 0)
        return 0
