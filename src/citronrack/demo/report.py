"""Output of the demo."""

from __future__ import annotations

from collections.abc import Callable

from attrs import define, field


@define
class Report:
    """Prints each guarantee with the observed result, and counts failures.

    Attributes:
        write: Prints one line.
        failures: Number of guarantees that did not hold.
    """

    write: Callable[[str], None]
    failures: int = field(default=0, init=False)

    def step(self, guarantee: str, *, passed: bool, observed: str) -> None:
        """Print the result of one step."""
        self.failures += not passed
        self.write(f"{'kept  ' if passed else 'BROKEN'}  {guarantee}: {observed}")
