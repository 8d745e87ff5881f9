"""``citronrack bench``."""

from __future__ import annotations

import runpy
import sys

from cleo.helpers import argument

from ..base import BaseCommand, UsageError

BENCHES = {
    "balancing": "policies for choosing a target, in one process",
    "calls": "latency added by a node, calls per second, overload; real processes",
    "directory": "memory and time of a node's directory of other zones, at the planned size",
    "distribution": "methods of distribution, in one process",
    "log_load": "appends and reads of a herd restart, in one process",
    "moves": "good and bad service versions under all faults, in one process",
    "moves_alarm": "false alarms of the sequential test",
    "moves_bytes": "size of the evidence messages",
    "processes": "convergence, control traffic, processor time, memory; real processes",
}


class BenchCommand(BaseCommand):
    """Runs one benchmark."""

    name = "bench"
    description = "Runs one benchmark; without a name, lists all of them"
    arguments = [
        argument("name", "Name of the benchmark", optional=True),
        argument("arguments", "Arguments of the benchmark, after --", optional=True, multiple=True),
    ]
    help = "Example: <info>citronrack bench processes -- --nodes 12 30</info>"

    def run_command(self) -> int:
        """Run the benchmark with its own arguments."""
        name = self.argument("name")
        if not name:
            for known, meaning in BENCHES.items():
                self.line(f"{known}: {meaning}")
            return 0
        if name not in BENCHES:
            raise UsageError(f"unknown benchmark {name!r}; known: {', '.join(BENCHES)}")
        # Each benchmark is a module with its own command line.
        sys.argv = [f"citronrack bench {name}", *self.argument("arguments")]
        try:
            runpy.run_module(f"citronrack.bench.{name}", run_name="__main__", alter_sys=True)
        except SystemExit as stop:
            return int(stop.code or 0)
        return 0
