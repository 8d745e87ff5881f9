"""What the decisions about moves ask other parts of the node for."""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence

from attrs import define, field

from ..membership.member import Member
from .capacity import CapacityView, unknown_capacity
from .facts import Facts


@define
class MoveDependencies:
    """Other parts of the node, as `MoveCore` sees them.

    Attributes:
        facts: Spreads facts between nodes.
        ranked: Returns the live members of the own zone, lowest rank first.
        zones: Returns all zones of the mesh.
        unheard: Returns the zones from which nothing is heard at present.
        capacity: Returns what is known about a service version's targets.
        duty_term: Returns the term under which this node may write outcomes, 0 for none. None
            takes it from the folded log alone.
    """

    facts: Facts
    ranked: Callable[[], Sequence[Member]]
    zones: Callable[[], Sequence[str]]
    unreachable_zones: Callable[[], Collection[str]] = field(default=tuple)
    capacity: CapacityView = unknown_capacity
    duty_term: Callable[[], int] | None = None
