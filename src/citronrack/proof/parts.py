"""Optional parts of the system that a scenario can require."""

from __future__ import annotations

from attrs import frozen

from ..distribution import core as distribution
from ..node import core, cores, duties, move_runner
from ..registry import Registry


@frozen
class Part:
    """A part of the system that this version may lack.

    Attributes:
        class_name: Class that the modules of the node's cores import when the part is present.
        meaning: Short description of the part.
    """

    class_name: str
    meaning: str

    @property
    def present(self) -> bool:
        """Whether the modules of the node's cores use the class."""
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
    """Return the named parts that are not present."""
    return tuple(name for name in names if not PARTS.get(name).present)
