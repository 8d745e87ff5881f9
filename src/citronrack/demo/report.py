"""What the demo prints."""

from __future__ import annotations

from collections.abc import Callable

from attrs import define, field


@define
class Report:
    """Prints what was promised and what was seen, and counts broken promises.

    Attributes:
        write: Prints one line.
        broken: Number of broken promises.
    """

    write: Callable[[str], None]
    failures: int = field(default=0, init=False)

    def step(self, guarantee: str, *, passed: bool, observed: str) -> None:
        """Print one step."""
        self.failures += not passed
        self.write(f"{'kept  ' if passed else 'BROKEN'}  {guarantee}: {observed}")
