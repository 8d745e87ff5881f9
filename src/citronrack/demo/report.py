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
    broken: int = field(default=0, init=False)

    def step(self, promise: str, *, kept: bool, seen: str) -> None:
        """Print one step."""
        self.broken += not kept
        self.write(f"{'kept  ' if kept else 'BROKEN'}  {promise}: {seen}")
