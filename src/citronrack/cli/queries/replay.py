"""``citronrack replay``."""

from __future__ import annotations

from cleo.helpers import argument, option

from ...plain import to_plain
from ..base import FORMAT_OPTION, BaseCommand
from ..exits import Exit


class ReplayCommand(BaseCommand):
    """Replays a recorded trace."""

    name = "replay"
    description = "Replays the inputs of a recorded node and reports the first differing decision"
    arguments = [argument("trace", "Trace file of a node")]
    options = [
        option("expect", None, "Trace of the same inputs with the expected decisions", flag=False),
        option("write", None, "File to write the decisions of this run to", flag=False),
        FORMAT_OPTION,
    ]
    help = "Example: <info>citronrack replay lowlands-a-1.trace</info>"

    def run_command(self) -> int:
        """Replay the trace; return exit code 1 on a difference or a violated invariant."""
        from ...proof.checker import CheckState
        from ...proof.replay import replay

        result = replay(
            self.argument("trace"), expect=self.option("expect"), write=self.option("write")
        )
        broken = [check for check in result.checks if check.state is CheckState.BROKEN]
        if self.wants_json:
            self.write_json(to_plain(result))
        else:
            self.line(f"node {result.node}: {result.steps} steps, recording ended: {result.end}")
            if result.difference is not None:
                difference = result.difference
                self.line(
                    f"line {difference.line}, step {difference.step}: {difference.name} was "
                    f"{difference.expected}, is {difference.found}"
                )
            for check in broken:
                self.line(f"{check.name} ({check.title}): {check.violations[0].text}")
            if result.difference is None and not broken:
                self.line("all decisions are equal")
        return Exit.FAILED if result.difference is not None or broken else Exit.OK
