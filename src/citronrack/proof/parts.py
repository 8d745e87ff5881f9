"""Parts of the system that a scenario can need."""

from __future__ import annotations

from attrs import frozen

from ..distribution import core as distribution
from ..node import core, cores, duties, move_runner
from ..registry import Registry


@frozen
class Part:
    """A part that may not be wired yet.

    Attributes:
        class_name: Class whose use in the node's cores shows that the part is wired.
        meaning: What it adds.
    """

    class_name: str
    meaning: str

    @property
    def present(self) -> bool:
        """Whether the cores of the node use the class."""
        return any(
            hasattr(module, self.class_name)
            for module in (core, cores, duties, move_runner, distribution)
        )


PARTS: Registry[Part] = Registry("part")
PARTS.register("moves")(Part("MoveCore", "shares, evidence, marks and outcomes of moves"))
PARTS.register("leases")(Part("LeaseManager", "duties, snapshots and outcomes under a lease"))
PARTS.register("zones")(Part("ZoneDirectory", "members of other zones and relays"))
PARTS.register("facts")(Part("FactStore", "marks that spread without the log"))


def missing_parts(names: tuple[str, ...]) -> tuple[str, ...]:
    """Return those of the named parts that are not wired."""
    return tuple(name for name in names if not PARTS.get(name).present)
