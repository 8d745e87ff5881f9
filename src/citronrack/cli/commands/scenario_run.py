"""``citronrack scenario run``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cleo.helpers import argument, option

from ...plain import to_plain
from ..base import FORMAT_OPTION, BaseCommand, UsageError
from ..exits import Exit

if TYPE_CHECKING:
    from ...proof.runner import ScenarioResult


class ScenarioRunCommand(BaseCommand):
    """Runs scenario files in simulated time."""

    name = "scenario run"
    description = "Runs scenarios and checks expectations and invariants"
    arguments = [argument("paths", "Scenario files or folders", multiple=True)]
    options = [
        option("seed", None, "Seed of all random numbers", flag=False, default="1"),
        option("checks", None, "Also print the result of each invariant checker"),
        option("trace", None, "NODE=FILE: record the node to FILE.1, FILE.2, ...", flag=False),
        FORMAT_OPTION,
    ]
    help = "Example: <info>citronrack scenario run scenarios --seed 7</info>"

    def run_command(self) -> int:
        """Run all scenarios; return exit code 1 when an expectation or invariant is violated."""
        from ...proof.runner import RunState, run_files

        results = run_files(self.argument("paths"), seed=self._seed(), traces=self._traces())
        if self.wants_json:
            self.write_json([to_plain(result) for result in results])
        else:
            for result in results:
                self._print(result)
            self._print_counts(results)
        failed = any(result.state is RunState.FAILED for result in results)
        return Exit.FAILED if failed else Exit.OK

    def _seed(self) -> int:
        try:
            return int(self.option("seed"))
        except ValueError:
            raise UsageError(f"--seed must be a number, not {self.option('seed')!r}") from None

    def _traces(self) -> dict[str, str]:
        value = self.option("trace")
        if not value:
            return {}
        node, separator, path = value.partition("=")
        if not separator or not path:
            raise UsageError(f"--trace must be NODE=FILE, not {value!r}")
        return {node: path}

    def _print(self, result: ScenarioResult) -> None:
        detail = f" (needs {', '.join(result.missing)})" if result.missing else ""
        self.line(f"{result.state.value:8} {result.name} seed {result.seed}{detail}")
        for fault in result.faults:
            self.line(f"         {fault}")
        if self.option("checks"):
            for check in result.checks:
                counted = f"{check.exercised} observations"
                self.line(f"         {check.name:4} {check.state.value}, {counted}: {check.title}")

    def _print_counts(self, results: list[ScenarioResult]) -> None:
        counts = dict.fromkeys(("passed", "failed", "skipped"), 0)
        for result in results:
            counts[result.state.value] += 1
        self.line(", ".join(f"{count} {state}" for state, count in counts.items()))
